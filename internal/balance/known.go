package balance

import (
	"time"

	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/outlier"
)

// Known is what a replica's keeper tells of it.
type Known struct {
	// Load is what all other nodes have there.
	Load loads.Load
	// CachedTokens is how much of the request's prompt it holds.
	CachedTokens int
	// Settled tells that the keeper has heard of all nodes.
	Settled bool
	// Ejected and Probe are as in Candidate, see Tracker.Told.
	Ejected bool
	Probe   outlier.Probe
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
