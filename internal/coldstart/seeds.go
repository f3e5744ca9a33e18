package coldstart

import (
	"math"
	"net/netip"

	"stepseam.example/stepseam/internal/membership"
)

// seedTracker estimates the size of the site for a node that has just started. Such a node
// cannot tell one side of a network partition from the whole site by its membership view.
// The fraction of the configured seeds that it has seen serves as an estimate of the
// fraction of the site that it sees.
type seedTracker struct {
	// seeds is the number of all seeds, unseen the set of those not yet in any view. A seed
	// that was removed permanently stays among them until the node restarts with others.
	seeds  int
	unseen map[netip.AddrPort]struct{}
}

func newSeedTracker(seeds []netip.AddrPort) seedTracker {
	tracker := seedTracker{unseen: map[netip.AddrPort]struct{}{}}
	for _, seed := range seeds {
		tracker.unseen[seed] = struct{}{}
	}
	tracker.seeds = len(tracker.unseen)
	return tracker
}

// setView applies a membership view. A seed that appeared once is treated like any other
// member from then on.
func (s *seedTracker) setView(view membership.View) {
	for _, member := range view.Members {
		delete(s.unseen, member.Node.PeerAddress)
	}
}

// estimateNodes estimates the number of nodes of the site from the number of live nodes,
// scaled by the ratio of all seeds to the seeds seen.
func (s *seedTracker) estimateNodes(live int) int {
	seen := s.seeds - len(s.unseen)
	switch {
	case len(s.unseen) == 0:
		return live
	case seen == 0:
		return math.MaxInt32
	}
	return int(math.Ceil(float64(live) * float64(s.seeds) / float64(seen)))
}
