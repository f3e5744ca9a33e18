package scheduling

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// MaxCandidates is the maximum number of candidates in a Decision.
const MaxCandidates = 4

const (
	// noBackendRetry is RetryAfter if no back end can serve a call. Replacements
	// become known through the machine list, which lags by seconds.
	noBackendRetry = 5 * time.Second
	// probationRetry is when a held call is scheduled again if the only remaining
	// back ends are on probation and busy with their trial call.
	probationRetry = 250 * time.Millisecond
)

// ineligible returns why a back end must not be chosen for call, empty if it may
// be. All policies obey it. A back end on probation takes one call at a time.
func ineligible(call *Call, backend *Backend) string {
	switch {
	case backend.Leaving:
		return "leaving"
	case backend.Health == Ejected:
		return "ejected"
	case call.Service != "" && backend.Service != call.Service:
		return "other service"
	case call.Model != "" && !backend.ServesModel:
		return "model not loaded"
	case len(call.Excluded) > 0 && slices.Contains(call.Excluded, backend.Name):
		return "failed this call before"
	case backend.Health == Probation && backend.OwnInFlight > 0:
		return "on probation, trial under way"
	default:
		return ""
	}
}

// scored is the index of a back end with its cost.
type scored struct {
	index int
	cost  float64
}

// ranking keeps the MaxCandidates cheapest back ends in order of cost. It does
// not allocate.
type ranking struct {
	best  [MaxCandidates]scored
	count int
	// eligible counts all back ends that were offered.
	eligible int
}

// offer inserts a back end if it is among the cheapest. Back ends of equal cost
// keep the order in which they were offered, which makes decisions deterministic.
func (r *ranking) offer(index int, cost float64) {
	r.eligible++
	if r.count == MaxCandidates && cost >= r.best[r.count-1].cost {
		return
	}
	if r.count < MaxCandidates {
		r.count++
	}
	position := r.count - 1
	for position > 0 && r.best[position-1].cost > cost {
		r.best[position] = r.best[position-1]
		position--
	}
	r.best[position] = scored{index: index, cost: cost}
}

// choose ranks the eligible back ends by cost and returns the decision to run
// the call on the cheapest one.
func choose(call *Call, backends []Backend, cost func(*Backend) float64, note func(*Backend) string) Decision {
	var ranked ranking
	for i := range backends {
		if ineligible(call, &backends[i]) == "" {
			ranked.offer(i, cost(&backends[i]))
		}
	}
	if ranked.count == 0 {
		return noBackendDecision(call, backends)
	}
	decision := Decision{Action: Run, Backend: backends[ranked.best[0].index].Name}
	decision.Candidates = make([]Candidate, ranked.count)
	for i, entry := range ranked.best[:ranked.count] {
		backend := &backends[entry.index]
		decision.Candidates[i] = Candidate{Backend: backend.Name, Cost: entry.cost, Note: note(backend)}
	}
	decision.Reason = "best of " + strconv.Itoa(ranked.eligible) + ": " + decision.Candidates[0].Note
	return decision
}

// noBackendDecision returns the decision if no back end is eligible: hold the
// call if a back end on probation may become eligible after its trial call, else
// refuse it.
func noBackendDecision(call *Call, backends []Backend) Decision {
	trials := 0
	reasons := map[string]int{}
	for i := range backends {
		reason := ineligible(call, &backends[i])
		reasons[reason]++
		if backends[i].Health == Probation && reason != "" && !backends[i].Leaving &&
			!slices.Contains(call.Excluded, backends[i].Name) &&
			(call.Model == "" || backends[i].ServesModel) &&
			(call.Service == "" || backends[i].Service == call.Service) {
			trials++
		}
	}
	if trials > 0 {
		return Decision{
			Action:     Hold,
			RetryAfter: probationRetry,
			Reason:     fmt.Sprintf("waits for the trial of %d back ends on probation", trials),
		}
	}
	return Decision{
		Action:     Refuse,
		RetryAfter: noBackendRetry,
		Reason:     fmt.Sprintf("none of %d back ends can take the call%s", len(backends), tally(reasons)),
	}
}

// tally formats counted reasons, most frequent first, ties in alphabetical order.
func tally(reasons map[string]int) string {
	type counted struct {
		reason string
		count  int
	}
	all := make([]counted, 0, len(reasons))
	for reason, count := range reasons {
		all = append(all, counted{reason, count})
	}
	slices.SortFunc(all, func(a, b counted) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.reason, b.reason))
	})
	text := ""
	for i, entry := range all {
		separator := ", "
		if i == 0 {
			separator = ": "
		}
		text += fmt.Sprintf("%s%d %s", separator, entry.count, entry.reason)
	}
	return text
}
