package scheduling

import (
	"fmt"
	"time"
)

// RoundRobin chooses the eligible back ends in rotation. It is a baseline for
// comparisons.
type RoundRobin struct{}

// Name returns round_robin.
func (RoundRobin) Name() string { return "round_robin" }

// Choose returns the eligible back end at index call.DecisionNumber, modulo
// their number.
func (RoundRobin) Choose(_ time.Time, call Call, backends []Backend) Decision {
	eligible := make([]int, 0, len(backends))
	for i := range backends {
		if ineligible(&call, &backends[i]) == "" {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return noBackendDecision(&call, backends)
	}
	chosen := backends[eligible[call.DecisionNumber%uint64(len(eligible))]].Name
	return Decision{
		Action:     Run,
		Backend:    chosen,
		Reason:     fmt.Sprintf("turn %d over %d back ends", call.DecisionNumber, len(eligible)),
		Candidates: []Candidate{{Backend: chosen, Note: "next in turn"}},
	}
}

// LeastInFlight chooses the back end with the fewest calls, counting its last
// report and the calls that this node has sent since. It is a baseline for
// comparisons.
type LeastInFlight struct{}

// Name returns least_in_flight.
func (LeastInFlight) Name() string { return "least_in_flight" }

// Choose returns the eligible back end with the fewest calls.
func (LeastInFlight) Choose(_ time.Time, call Call, backends []Backend) Decision {
	return choose(&call, backends, inFlight, func(b *Backend) string {
		return fmt.Sprintf("%d running, %d waiting, %d own since",
			b.ReportedRunning, b.ReportedWaiting, b.OwnInFlight)
	})
}

// inFlight returns the number of calls that this node expects at a back end.
func inFlight(b *Backend) float64 {
	return float64(b.ReportedRunning + b.ReportedWaiting + b.OwnInFlight)
}

// PrefixAffinity chooses the back end with the longest cached prefix of the
// call, regardless of load, and breaks ties by the number of calls. It is a
// baseline for comparisons.
type PrefixAffinity struct{}

// Name returns prefix_affinity.
func (PrefixAffinity) Name() string { return "prefix_affinity" }

// inFlightScale keeps the number of calls below the weight of one cached token,
// so that it only breaks ties.
const inFlightScale = 1e-6

// Choose returns the eligible back end with the longest cached prefix.
func (PrefixAffinity) Choose(_ time.Time, call Call, backends []Backend) Decision {
	cost := func(b *Backend) float64 {
		return inFlight(b)*inFlightScale - float64(b.CachedTokens)
	}
	return choose(&call, backends, cost, func(b *Backend) string {
		return fmt.Sprintf("%d of %d prompt tokens cached", b.CachedTokens, call.PromptTokens)
	})
}
