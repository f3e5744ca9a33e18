package balance

import (
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/loads"
)

// otherNode is what another node has told last.
type otherNode struct {
	at     time.Duration
	counts map[loads.Key]loads.Load
}

// heard adds up what the other nodes have told. The tracker's mutex guards it.
type heard struct {
	nodes map[netip.AddrPort]otherNode
	sums  map[loads.Key]loads.Load
	// coverage is the part of the other nodes that sums holds.
	coverage float64
	// at is when another node told last.
	at time.Duration
}

func newHeard() heard {
	return heard{nodes: map[netip.AddrPort]otherNode{}, sums: map[loads.Key]loads.Load{}, coverage: 1}
}

// take adds what a node has told and drops what is too old.
func (h *heard) take(from netip.AddrPort, counts map[loads.Key]loads.Load, coverage float64, now time.Duration) {
	h.coverage, h.at = coverage, now
	h.nodes[from] = otherNode{at: now, counts: counts}
	clear(h.sums)
	for node, told := range h.nodes {
		if now-told.at > loads.Life {
			delete(h.nodes, node)
			continue
		}
		for key, load := range told.counts {
			h.sums[key] = h.sums[key].Plus(load)
		}
	}
}

// load returns what other nodes have at instance, as far as they have told lately;
// those that have not been heard of count like the others.
func (h *heard) load(instance string, now time.Duration) loads.Load {
	if now-h.at > loads.Life {
		return loads.Load{}
	}
	sum := h.sums[loads.KeyOf(instance)]
	sum.UnderWay = int(float64(sum.UnderWay) / h.coverage)
	sum.UnreadTokens = int(float64(sum.UnreadTokens) / h.coverage)
	return sum
}

// Own returns this node's load at each replica, where there is any.
func (t *Tracker) Own(now time.Duration) map[loads.Key]loads.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own := map[loads.Key]loads.Load{}
	for instance, known := range t.replicas {
		if load := known.load(now); load.UnderWay > 0 || load.Failing {
			own[loads.KeyOf(instance)] = load
		}
	}
	return own
}

// Heard takes what another node has under way. coverage is the part of the other
// nodes that is heard of.
func (t *Tracker) Heard(from netip.AddrPort, counts map[loads.Key]loads.Load, coverage float64, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.heard.take(from, counts, coverage, now)
}
