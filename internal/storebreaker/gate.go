// Package storebreaker decides which of a node's calls of the durable log go out while that
// answers none of them, or only those on some partitions: one circuit breaker for the node
// and one for each partition. While one is open, the calls that it covers are probes, which
// all nodes together keep within a part of what the store takes.
//
// The load that it answers: a site whose nodes each have something to write to every
// partition makes tens of thousands of calls in an outage of seconds if each writer repeats
// on its own, and all of them at once at its end.
package storebreaker

import (
	"time"

	"stepseam.example/stepseam/internal/logstore"
)

const (
	// probePart is the part of the reading calls that the store takes which all nodes'
	// probes may come to.
	probePart = 0.05
	// leastProbePause is the least time between two probes of one node.
	leastProbePause = 150 * time.Millisecond
	// probeSpread is the part of the pause by which single pauses differ, to both sides.
	probeSpread = 0.2
	// staleTime is how long failures tell something of the store where a node makes no more
	// calls that fail: then the next one shows. It is above the time of the longest call.
	staleTime = 2 * time.Second
	// stalePauses is the same in pauses between probes, for large sites.
	stalePauses = 3
	// returnSpread is the time over which the calls that wait go out after the store's
	// return, short against what a turn may take.
	returnSpread = 100 * time.Millisecond
)

// Conditions is what a decision depends on besides the calls.
type Conditions struct {
	// Now is a monotonic reading.
	Now time.Duration
	// Nodes is how many nodes are known, this one among them.
	Nodes int
	// Random is a random number in [0,1).
	Random float64
}

// Decision is what becomes of a call.
type Decision struct {
	// Allow lets the call out, as a probe where Probe is set.
	Allow, Probe bool
	// RetryAfter is after how long to ask again otherwise.
	RetryAfter time.Duration
}

// Breaker decides for one node. It is not safe for concurrent use.
//
// Invariant: between two probes of the node lies 1-probeSpread of probePause at least,
// unless a peer has said meanwhile that the store answers it; then leastProbePause.
type Breaker struct {
	// callsPerSecond is how many reading calls of all nodes the store takes; 0 is not known.
	callsPerSecond float64
	node           breaker
	partitions     map[logstore.Partition]*partition
	// failed is when a call failed last; failing tells that one has since all breakers were
	// closed.
	failed  time.Duration
	failing bool
	// probing tells that a call has been held back since the store's last return; then
	// probed is when the last probe went out, and nextProbe when the next one may.
	probing           bool
	probed, nextProbe time.Duration
}

// partition is what the gate knows of one partition.
type partition struct {
	breaker
	// held tells that a call has been held back since the last one went out.
	held bool
	// release is when calls go out that waited for the store's return.
	release time.Duration
}

// New returns a closed gate; callsPerSecond is how many reading calls of all nodes the
// store takes, 0 where that is not known.
func New(callsPerSecond float64) *Breaker {
	return &Breaker{callsPerSecond: callsPerSecond, node: breaker{after: nodeAwayAfter}, partitions: map[logstore.Partition]*partition{}}
}

func (g *Breaker) at(place logstore.Partition) *partition {
	kept, known := g.partitions[place]
	if !known {
		kept = &partition{breaker: breaker{after: partitionAwayAfter}}
		g.partitions[place] = kept
	}
	return kept
}

// ProbePause returns the mean time between two probes of one node.
func (g *Breaker) ProbePause(members int) time.Duration {
	if g.callsPerSecond <= 0 {
		return leastProbePause
	}
	return max(leastProbePause, time.Duration(float64(members)/(g.callsPerSecond*probePart)*float64(time.Second)))
}

// stale tells that what has failed says nothing any more.
func (g *Breaker) stale(s Conditions) bool {
	return s.Now-g.failed >= max(staleTime, stalePauses*g.ProbePause(s.Nodes))
}

// NodeAnswered tells whether the store answers this node, as far as is known.
func (g *Breaker) NodeAnswered(s Conditions) bool { return !g.node.isOpen(s.Now) || g.stale(s) }

// Answered tells whether calls on a partition are answered, as far as is known.
func (g *Breaker) Answered(place logstore.Partition, s Conditions) bool {
	return g.stale(s) || !g.node.isOpen(s.Now) && !g.at(place).isOpen(s.Now)
}

// Admit decides on a call. One that waits is let out a little later after the store's return,
// so that not all that wait come back together.
func (g *Breaker) Admit(place logstore.Partition, waits bool, s Conditions) Decision {
	asked := g.at(place)
	if !g.Answered(place, s) {
		return g.askProbe(asked, s)
	}
	if asked.held {
		asked.held = false
		asked.release = s.Now + time.Duration(s.Random*float64(returnSpread))
	}
	if waits && s.Now < asked.release {
		return Decision{RetryAfter: asked.release - s.Now}
	}
	return Decision{Allow: true}
}

func (g *Breaker) askProbe(asked *partition, s Conditions) Decision {
	pause := float64(g.ProbePause(s.Nodes))
	if !g.probing { // the first, staggered among the nodes
		g.probing, g.nextProbe = true, s.Now+time.Duration(s.Random*pause)
	}
	if s.Now < g.nextProbe {
		asked.held = true
		return Decision{RetryAfter: g.nextProbe - s.Now}
	}
	g.probed = s.Now
	g.nextProbe = s.Now + time.Duration(pause*(1-probeSpread+2*probeSpread*s.Random))
	return Decision{Allow: true, Probe: true}
}

// PeerAnswered notes that the store answers another node: this one probes at once.
func (g *Breaker) PeerAnswered(s Conditions) {
	if g.probing && !g.NodeAnswered(s) {
		g.nextProbe = min(g.nextProbe, max(s.Now, g.probed+leastProbePause))
	}
}

// Record takes the outcome of a call that went out, and tells whether calls are let out by it
// that were held back.
func (g *Breaker) Record(place logstore.Partition, answered bool, s Conditions) (returned bool) {
	noted := g.at(place)
	if !answered {
		// A partition that is known to be away says nothing of the others.
		if !noted.isOpen(s.Now) || g.node.isOpen(s.Now) {
			g.node.failed(s.Now)
		}
		noted.failed(s.Now)
		g.failed, g.failing = s.Now, true
		return false
	}
	returned, whole := !g.Answered(place, s), !g.NodeAnswered(s)
	forgotten := g.failing && g.stale(s)
	g.node.answered()
	noted.answered()
	if returned || forgotten {
		g.returned(whole || forgotten)
	}
	return returned
}

// returned lets calls out on each partition that is away, since what has come back is mostly
// the whole. Where the store was away as a whole, nothing is known of a single partition, and
// a refusal on it, as of a store that gets many calls at once, is the first one; else the
// next failure shows that it is still away.
func (g *Breaker) returned(whole bool) {
	g.probing = false
	g.failing = g.failing && !whole
	for _, other := range g.partitions {
		if whole {
			other.answered()
		} else {
			other.doubt()
		}
	}
}

// OpenPartitions returns how many partitions have their breaker open.
func (g *Breaker) OpenPartitions(s Conditions) int {
	away := 0
	for _, known := range g.partitions {
		if known.isOpen(s.Now) && !g.stale(s) {
			away++
		}
	}
	return away
}
