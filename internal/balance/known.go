package balance

import (
	"time"

	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/outlier"
)

// AggregatedState is what a replica's keeper tells of it.
type AggregatedState struct {
	// Load is what all other nodes have there.
	Load loads.Load
	// CachedTokens is how much of the request's prompt it holds.
	CachedTokens int
	// Complete tells that the keeper has heard of all nodes.
	Complete bool
	// Ejected and Probe are as in Candidate, see Tracker.Told.
	Ejected bool
	Probe   outlier.Probe
}

// WithAggregatedState returns the candidate with what its keeper tells in place of what this node
// has heard. exposed is as in Need.
func (c Candidate) WithAggregatedState(known AggregatedState, exposed bool) Candidate {
	c.FailedRecently = c.FailedRecently || exposed && known.Load.Failing
	if !known.Complete {
		c.InFlightElsewhere = max(c.InFlightElsewhere, known.Load.InFlight)
		c.PendingTokensElsewhere = max(c.PendingTokensElsewhere, known.Load.PendingTokens)
		return c
	}
	c.InFlightElsewhere, c.PendingTokensElsewhere = known.Load.InFlight, known.Load.PendingTokens
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
	return loads.Load{InFlight: r.underWay, PendingTokens: r.unread, Failing: now < r.suspectUntil}
}
