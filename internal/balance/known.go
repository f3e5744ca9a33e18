package balance

import (
	"slices"
	"time"

	"stepseam.example/stepseam/internal/loads"
)

const (
	// shortlistBest is how many of the candidates of least cost are asked about,
	// shortlistRandom how many others: what is believed of the best is old, and
	// nodes that believe the same must not all ask about the same replicas.
	shortlistBest   = 3
	shortlistRandom = 2
)

// Known is what a replica's keeper tells of it.
type Known struct {
	// Load is what all other nodes have there.
	Load loads.Load
	// CachedTokens is how much of the request's prompt it holds.
	CachedTokens int
	// Settled tells that the keeper has heard of all nodes.
	Settled bool
}

// Shortlist returns the candidates whose keepers are worth asking: those of least cost
// by what this node believes, and a few that random, in [0,1), draws.
func Shortlist(candidates []Candidate, work Work, random func() float64) []Candidate {
	if len(candidates) <= shortlistBest+shortlistRandom {
		return candidates
	}
	type costed struct {
		candidate Candidate
		cost      float64
	}
	ordered := make([]costed, 0, len(candidates))
	offset := int(random() * float64(len(candidates)))
	for i := range candidates {
		candidate := candidates[(i+offset)%len(candidates)]
		ordered = append(ordered, costed{candidate, cost(candidate, work)})
	}
	slices.SortStableFunc(ordered, func(a, b costed) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	shortlist := make([]Candidate, 0, shortlistBest+shortlistRandom)
	for _, one := range ordered[:shortlistBest] {
		shortlist = append(shortlist, one.candidate)
	}
	rest := ordered[shortlistBest:]
	for range shortlistRandom {
		drawn := min(int(random()*float64(len(rest))), len(rest)-1)
		shortlist = append(shortlist, rest[drawn].candidate)
		rest[drawn] = rest[len(rest)-1]
		rest = rest[:len(rest)-1]
	}
	return shortlist
}

// Learn returns the candidate with what its keeper tells in place of what this node
// has heard. exposed is as in Need.
func (c Candidate) Learn(known Known, exposed bool) Candidate {
	c.Unproven = c.Unproven || exposed && known.Load.Failing
	if !known.Settled {
		c.Elsewhere = max(c.Elsewhere, known.Load.UnderWay)
		c.UnreadElsewhere = max(c.UnreadElsewhere, known.Load.UnreadTokens)
		return c
	}
	c.Elsewhere, c.UnreadElsewhere = known.Load.UnderWay, known.Load.UnreadTokens
	if c.Engine {
		c.CachedTokens = known.CachedTokens
	}
	return c
}

// Load returns what this node has at a replica.
func (t *Tracker) Load(instance string, now time.Duration) loads.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.replicas[instance]
	if !found {
		return loads.Load{}
	}
	return known.load(now)
}

// load needs the tracker's mutex.
func (r *record) load(now time.Duration) loads.Load {
	return loads.Load{UnderWay: r.underWay, UnreadTokens: r.unread, Failing: now < r.suspectUntil}
}
