package balance

import (
	"time"

	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/outlier"
)

// AggregatedState is the state of a replica as reported by its aggregator.
type AggregatedState struct {
	// Load is the load of all other nodes at the replica.
	Load loads.Load
	// CachedTokens is the number of the prompt's tokens in the replica's cache.
	CachedTokens int
	// Complete reports whether the aggregator has reports of all nodes.
	Complete bool
	// Ejected and Probe are as in Candidate, see Tracker.ApplyAggregatedState.
	Ejected bool
	Probe   outlier.Probe
}

// WithAggregatedState returns the candidate with the aggregator's state in place of this
// node's estimates. Incomplete state can only raise the load. notRetryable is as in
// Requirements.NotRetryable.
func (c Candidate) WithAggregatedState(state AggregatedState, notRetryable bool) Candidate {
	c.FailedRecently = c.FailedRecently || notRetryable && state.Load.Failing
	if !state.Complete {
		c.InFlightElsewhere = max(c.InFlightElsewhere, state.Load.InFlight)
		c.PendingTokensElsewhere = max(c.PendingTokensElsewhere, state.Load.PendingTokens)
		return c
	}
	c.InFlightElsewhere, c.PendingTokensElsewhere = state.Load.InFlight, state.Load.PendingTokens
	if c.Engine {
		c.CachedTokens = state.CachedTokens
	}
	return c
}

// Load returns this node's load at a replica.
func (t *Tracker) Load(instance string, now time.Duration) loads.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state, found := t.replicas[instance]
	if !found {
		return loads.Load{}
	}
	return state.load(now)
}

// load returns this node's load at the replica. The caller must hold the tracker's mutex.
func (r *replicaState) load(now time.Duration) loads.Load {
	return loads.Load{InFlight: r.inFlight, PendingTokens: r.pendingTokens, Failing: now < r.suspectUntil}
}
