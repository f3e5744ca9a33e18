package scheduling

import (
	"fmt"
	"time"
)

// RoundRobin takes the eligible back ends in turn. It is a baseline.
type RoundRobin struct{}

// Name returns round_robin.
func (RoundRobin) Name() string { return "round_robin" }

// Choose takes the back end whose place follows from call.Turn.
func (RoundRobin) Choose(_ time.Time, call Call, backends []Backend) Decision {
	eligible := make([]int, 0, len(backends))
	for i := range backends {
		if ineligible(&call, &backends[i]) == "" {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return withoutBackend(&call, backends)
	}
	chosen := backends[eligible[call.DecisionNumber%uint64(len(eligible))]].Name
	return Decision{
		Action:     Run,
		Backend:    chosen,
		Reason:     fmt.Sprintf("turn %d over %d back ends", call.DecisionNumber, len(eligible)),
		Candidates: []Candidate{{Backend: chosen, Note: "next in turn"}},
	}
}

// LeastInFlight takes the back end with the fewest calls, by its lagging report
// and the calls this node sent since. It is a baseline.
type LeastInFlight struct{}

// Name returns least_in_flight.
func (LeastInFlight) Name() string { return "least_in_flight" }

// Choose takes the back end with the fewest calls.
func (LeastInFlight) Choose(_ time.Time, call Call, backends []Backend) Decision {
	return choose(&call, backends, inFlight, func(b *Backend) string {
		return fmt.Sprintf("%d running, %d waiting, %d own since",
			b.ReportedRunning, b.ReportedWaiting, b.OwnInFlight)
	})
}

// inFlight counts the calls that are at a back end as far as this node knows.
func inFlight(b *Backend) float64 {
	return float64(b.ReportedRunning + b.ReportedWaiting + b.OwnInFlight)
}

// PrefixAffinity takes the back end that holds the longest cached prefix of the
// call, whatever its load, and the one with the fewest calls if none holds any.
// It is a baseline.
type PrefixAffinity struct{}

// Name returns prefix_affinity.
func (PrefixAffinity) Name() string { return "prefix_affinity" }

// inFlightScale makes the count of calls smaller than any cached token.
const inFlightScale = 1e-6

// Choose takes the back end with the longest cached prefix.
func (PrefixAffinity) Choose(_ time.Time, call Call, backends []Backend) Decision {
	cost := func(b *Backend) float64 {
		return inFlight(b)*inFlightScale - float64(b.CachedTokens)
	}
	return choose(&call, backends, cost, func(b *Backend) string {
		return fmt.Sprintf("%d of %d prompt tokens cached", b.CachedTokens, call.PromptTokens)
	})
}
