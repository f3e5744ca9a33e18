package coldstart

import (
	"math"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/membership"
)

// seedTracker estimates the size of the site for a node that has just started. Such a node
// cannot tell one side of a network partition from the whole site by its membership view.
// The fraction of the configured seeds that it has seen serves as an estimate of the
// fraction of the site that it sees.
type seedTracker struct {
	// seeds is the number of all seeds, unseen the set of those not yet in any view.
	seeds  int
	unseen map[netip.AddrPort]struct{}
	// until is the time at which the remaining seeds are no longer waited for, since they
	// may have been removed permanently.
	until time.Duration
}

// seedTTL is how long a starting node waits for seeds that have not appeared.
const seedTTL = time.Minute

func newSeedTracker(seeds []netip.AddrPort, now time.Duration) seedTracker {
	tracker := seedTracker{unseen: map[netip.AddrPort]struct{}{}, until: now + seedTTL}
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

// expire stops waiting for the remaining seeds once their time is over, and reports
// whether that changed anything.
func (s *seedTracker) expire(now time.Duration) bool {
	if len(s.unseen) == 0 || now < s.until {
		return false
	}
	clear(s.unseen)
	return true
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
