package balance

import (
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/loads"
)

// otherNode is what another node has told last.
type otherNode struct {
	at     time.Duration
	counts map[loads.ReplicaKey]loads.Load
}

// heard adds up what the other nodes have told. The tracker's mutex guards it.
//
// Invariant: sums adds up the counts of nodes, and order names each of them once, or more
// often where it has told again, the one that told first in front.
type heard struct {
	nodes map[netip.AddrPort]otherNode
	order []telling
	sums  map[loads.ReplicaKey]heardSum
	// coverage is the part of the other nodes that sums holds.
	coverage float64
	// at is when another node told last.
	at time.Duration
}

// telling is that a node told something at a time.
type telling struct {
	node netip.AddrPort
	at   time.Duration
}

// heardSum adds up what other nodes have at a replica; failing counts those at which it
// fails.
type heardSum struct {
	underWay, unread, failing, tellers int
}

func newHeard() heard {
	return heard{nodes: map[netip.AddrPort]otherNode{}, sums: map[loads.ReplicaKey]heardSum{}, coverage: 1}
}

// take adds what a node has told in place of what it told before, and drops what is too
// old. Its cost does not grow with the number of nodes.
func (h *heard) take(from netip.AddrPort, counts map[loads.ReplicaKey]loads.Load, coverage float64, now time.Duration) {
	h.coverage, h.at = coverage, now
	h.add(h.nodes[from].counts, -1)
	h.nodes[from] = otherNode{at: now, counts: counts}
	h.order = append(h.order, telling{node: from, at: now})
	h.add(counts, 1)
	for len(h.order) > 0 && now-h.order[0].at > loads.ReportTTL {
		oldest := h.order[0]
		h.order = h.order[1:]
		if told, known := h.nodes[oldest.node]; known && told.at == oldest.at {
			h.add(told.counts, -1)
			delete(h.nodes, oldest.node)
		}
	}
}

// add puts counts into the sums, or takes them out of these.
func (h *heard) add(counts map[loads.ReplicaKey]loads.Load, direction int) {
	for key, load := range counts {
		sum := h.sums[key]
		sum.underWay += direction * load.InFlight
		sum.unread += direction * load.PendingTokens
		sum.tellers += direction
		if load.Failing {
			sum.failing += direction
		}
		if sum.tellers == 0 {
			delete(h.sums, key)
		} else {
			h.sums[key] = sum
		}
	}
}

// load returns what other nodes have at instance, as far as they have told lately;
// those that have not been heard of count like the others.
func (h *heard) load(instance string, now time.Duration) loads.Load {
	if now-h.at > loads.ReportTTL {
		return loads.Load{}
	}
	sum := h.sums[loads.HashReplica(instance)]
	return loads.Load{
		InFlight: int(float64(sum.underWay) / h.coverage), PendingTokens: int(float64(sum.unread) / h.coverage),
		Failing: sum.failing > 0,
	}
}

// OwnLoads returns this node's load at each replica, where there is any.
func (t *Tracker) OwnLoads(now time.Duration) map[loads.ReplicaKey]loads.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own := map[loads.ReplicaKey]loads.Load{}
	for instance, known := range t.replicas {
		if load := known.load(now); load.InFlight > 0 || load.Failing {
			own[loads.HashReplica(instance)] = load
		}
	}
	return own
}

// SetPeerLoad takes what another node has under way. coverage is the part of the other
// nodes that is heard of.
func (t *Tracker) SetPeerLoad(from netip.AddrPort, counts map[loads.ReplicaKey]loads.Load, coverage float64, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.heard.take(from, counts, coverage, now)
}
