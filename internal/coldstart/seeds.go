package coldstart

import (
	"math"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/membership"
)

// starting tells how much of a site a node that has just started may not see. It knows no
// others yet, so that a side of a cut looks to it like the whole; but it knows the seeds,
// whose names it was given. Those it has not heard of since are taken for a sample of the
// nodes that may live behind a cut.
type starting struct {
	// seeds counts all seeds, unheard holds those not heard of yet.
	seeds   int
	unheard map[netip.AddrPort]struct{}
	// until is when a node counts as settled, whatever it has heard: seeds may be gone for
	// good.
	until time.Duration
}

func newStarting(seeds []netip.AddrPort, now time.Duration) starting {
	made := starting{unheard: map[netip.AddrPort]struct{}{}, until: now + missedFor}
	for _, seed := range seeds {
		made.unheard[seed] = struct{}{}
	}
	made.seeds = len(made.unheard)
	return made
}

// hear takes the members. A seed that was heard of once counts as any member does from then
// on.
func (s *starting) hear(view membership.View) {
	for _, member := range view.Members {
		delete(s.unheard, member.Node.PeerAddress)
	}
}

// settle forgets the seeds at the end of the time that a node waits for them, and tells
// whether that changes anything.
func (s *starting) settle(now time.Duration) bool {
	if len(s.unheard) == 0 || now < s.until {
		return false
	}
	clear(s.unheard)
	return true
}

// known returns how many nodes the site may have where a node sees live ones: more than
// those by as much as all seeds are more than those that were heard of.
func (s *starting) known(live int) int {
	heard := s.seeds - len(s.unheard)
	switch {
	case len(s.unheard) == 0:
		return live
	case heard == 0:
		return math.MaxInt32
	}
	return int(math.Ceil(float64(live) * float64(s.seeds) / float64(heard)))
}
