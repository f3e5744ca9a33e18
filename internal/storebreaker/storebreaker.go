// Package storebreaker decides which of a node's calls of the durable log go out while the log
// is unavailable as a whole or on some partitions. It has one circuit breaker for the node and
// one for each partition. While one is open, the calls that it covers are limited to probes,
// and the probes of all nodes together to a fraction of the store's capacity.
//
// Without that limit, nodes that each have something to write to every partition would make
// tens of thousands of calls in an outage of seconds, and all of them at once at its end.
package storebreaker

import (
	"time"

	"stepseam.example/stepseam/internal/logstore"
)

const (
	// probeFraction is the fraction of the store's capacity for reads that the probes of all
	// nodes may use.
	probeFraction = 0.05
	// minProbeInterval is the minimum time between two probes of one node.
	minProbeInterval = 150 * time.Millisecond
	// probeJitter is the relative deviation of single intervals, in both directions.
	probeJitter = 0.2
	// failureTTL is how long the last failure is taken into account if no further call fails.
	// After that the next call is tried. It is longer than the longest call.
	failureTTL = 2 * time.Second
	// failureTTLProbes is the same in intervals between probes, for large clusters.
	failureTTLProbes = 3
	// recoverySpread is the time over which delayed calls go out after a recovery. It is short
	// compared to a turn.
	recoverySpread = 100 * time.Millisecond
)

// Conditions is the input of a decision besides the calls.
type Conditions struct {
	// Now is a monotonic reading.
	Now time.Duration
	// Nodes is the number of known nodes, including this one.
	Nodes int
	// Random is a random number in [0,1).
	Random float64
}

// Decision is the decision on a call.
type Decision struct {
	// Allow lets the call out, as a probe if Probe is set.
	Allow, Probe bool
	// RetryAfter is how long to wait before the next attempt if the call is not allowed.
	RetryAfter time.Duration
}

// Breaker decides for one node. It is not safe for concurrent use.
//
// Invariant: two probes of the node are at least 1-probeJitter of ProbePause apart, or
// minProbeInterval if a peer has reported in between that the store answers it.
type Breaker struct {
	// callsPerSecond is the store's capacity for reads by all nodes; 0 if not known.
	callsPerSecond float64
	node           breaker
	partitions     map[logstore.Partition]*partition
	// failed is when a call last failed. failing is set if one has failed since all breakers
	// were closed.
	failed  time.Duration
	failing bool
	// probing is set if a call was held back since the last recovery. Then probed is when the
	// last probe went out and nextProbe when the next one may.
	probing           bool
	probed, nextProbe time.Duration
}

// partition is the state of one partition.
type partition struct {
	breaker
	// delayed is set if a call was held back since the last one went out.
	delayed bool
	// releaseAt is when delayed calls go out after a recovery.
	releaseAt time.Duration
}

// New returns a closed breaker. callsPerSecond is the store's capacity for reads by all nodes,
// or 0 if not known.
func New(callsPerSecond float64) *Breaker {
	return &Breaker{callsPerSecond: callsPerSecond, node: breaker{openAfter: nodeOpenAfter}, partitions: map[logstore.Partition]*partition{}}
}

func (b *Breaker) partitionOf(place logstore.Partition) *partition {
	found, known := b.partitions[place]
	if !known {
		found = &partition{breaker: breaker{openAfter: partitionOpenAfter}}
		b.partitions[place] = found
	}
	return found
}

// ProbePause returns the mean time between two probes of one node.
func (b *Breaker) ProbePause(nodes int) time.Duration {
	if b.callsPerSecond <= 0 {
		return minProbeInterval
	}
	return max(minProbeInterval, time.Duration(float64(nodes)/(b.callsPerSecond*probeFraction)*float64(time.Second)))
}

// expired reports whether past failures are too old to be taken into account.
func (b *Breaker) expired(s Conditions) bool {
	return s.Now-b.failed >= max(failureTTL, failureTTLProbes*b.ProbePause(s.Nodes))
}

// NodeAnswered reports whether the store answers this node, as far as known.
func (b *Breaker) NodeAnswered(s Conditions) bool { return !b.node.isOpen(s.Now) || b.expired(s) }

// Answered reports whether calls on a partition are answered, as far as known.
func (b *Breaker) Answered(place logstore.Partition, s Conditions) bool {
	return b.expired(s) || !b.node.isOpen(s.Now) && !b.partitionOf(place).isOpen(s.Now)
}

// Admit decides on a call. waits reports that the caller can wait; such calls are spread over
// recoverySpread after a recovery.
func (b *Breaker) Admit(place logstore.Partition, waits bool, s Conditions) Decision {
	target := b.partitionOf(place)
	if !b.Answered(place, s) {
		return b.admitProbe(target, s)
	}
	if target.delayed {
		target.delayed = false
		target.releaseAt = s.Now + time.Duration(s.Random*float64(recoverySpread))
	}
	if waits && s.Now < target.releaseAt {
		return Decision{RetryAfter: target.releaseAt - s.Now}
	}
	return Decision{Allow: true}
}

func (b *Breaker) admitProbe(target *partition, s Conditions) Decision {
	pause := float64(b.ProbePause(s.Nodes))
	if !b.probing { // the first probes are staggered among the nodes
		b.probing, b.nextProbe = true, s.Now+time.Duration(s.Random*pause)
	}
	if s.Now < b.nextProbe {
		target.delayed = true
		return Decision{RetryAfter: b.nextProbe - s.Now}
	}
	b.probed = s.Now
	b.nextProbe = s.Now + time.Duration(pause*(1-probeJitter+2*probeJitter*s.Random))
	return Decision{Allow: true, Probe: true}
}

// PeerAnswered records that the store answers another node, which brings the next probe
// forward.
func (b *Breaker) PeerAnswered(s Conditions) {
	if b.probing && !b.NodeAnswered(s) {
		b.nextProbe = min(b.nextProbe, max(s.Now, b.probed+minProbeInterval))
	}
}

// Record records the outcome of a call that went out. It reports whether that lets calls out
// that were held back.
func (b *Breaker) Record(place logstore.Partition, answered bool, s Conditions) (recovered bool) {
	target := b.partitionOf(place)
	if !answered {
		// Failures on a partition that is known to be unavailable imply nothing about others.
		if !target.isOpen(s.Now) || b.node.isOpen(s.Now) {
			b.node.failed(s.Now)
		}
		target.failed(s.Now)
		b.failed, b.failing = s.Now, true
		return false
	}
	recovered, storeWide := !b.Answered(place, s), !b.NodeAnswered(s)
	outdated := b.failing && b.expired(s)
	b.node.answered()
	target.answered()
	if recovered || outdated {
		b.recovered(storeWide || outdated)
	}
	return recovered
}

// recovered lets calls out on all partitions with open breakers, since mostly the whole store
// recovers. If the store was unavailable as a whole, nothing is known of single partitions and
// their breakers close, so that a refusal, as of a store that gets many calls at once, counts
// as the first one. Otherwise they are half open, and the next failure opens them again.
func (b *Breaker) recovered(storeWide bool) {
	b.probing = false
	b.failing = b.failing && !storeWide
	for _, other := range b.partitions {
		if storeWide {
			other.answered()
		} else {
			other.halfOpen()
		}
	}
}

// OpenPartitions returns the number of partitions with an open breaker.
func (b *Breaker) OpenPartitions(s Conditions) int {
	open := 0
	for _, known := range b.partitions {
		if known.isOpen(s.Now) && !b.expired(s) {
			open++
		}
	}
	return open
}
