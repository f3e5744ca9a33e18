package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/scheduling"
)

var epoch = time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC)

func policies() []scheduling.Policy {
	return []scheduling.Policy{
		scheduling.RoundRobin{}, scheduling.LeastInFlight{}, scheduling.PrefixAffinity{}, scheduling.NewStepseam(),
	}
}

func drawBackend(t *rapid.T, index int) scheduling.Backend {
	return scheduling.Backend{
		Name:                fmt.Sprintf("engine-%02d", index),
		Service:             rapid.SampledFrom([]string{"advisor", "other"}).Draw(t, "service"),
		Health:              rapid.SampledFrom([]scheduling.Health{scheduling.Healthy, scheduling.Probation, scheduling.Ejected}).Draw(t, "health"),
		Leaving:             rapid.Bool().Draw(t, "leaving"),
		ServesModel:         rapid.Bool().Draw(t, "serves"),
		ReportedRunning:     rapid.IntRange(0, 64).Draw(t, "running"),
		ReportedWaiting:     rapid.IntRange(0, 64).Draw(t, "waiting"),
		QueuedPrefillTokens: rapid.IntRange(0, 100_000).Draw(t, "queued"),
		OwnInFlight:         rapid.IntRange(0, 3).Draw(t, "own"),
		CachedTokens:        rapid.IntRange(0, 8000).Draw(t, "cached"),
		CacheCapacityTokens: 200_000,
		CacheUsedTokens:     rapid.IntRange(0, 200_000).Draw(t, "used"),
		PrefillRate:         float64(rapid.IntRange(0, 9000).Draw(t, "prefill")),
		DecodeRate:          float64(rapid.IntRange(0, 90).Draw(t, "decode")),
	}
}

func drawBackends(t *rapid.T) []scheduling.Backend {
	backends := make([]scheduling.Backend, rapid.IntRange(0, 8).Draw(t, "backends"))
	for i := range backends {
		backends[i] = drawBackend(t, i)
	}
	return backends
}

func drawCall(t *rapid.T, name string) scheduling.Call {
	call := scheduling.Call{
		ID:             identity.CallID{Program: identity.ProgramID(name), Branch: identity.MainBranch, Sequence: 1},
		Model:          "advisor-7b",
		Service:        "advisor",
		PromptTokens:   rapid.IntRange(1, 16_000).Draw(t, "prompt"),
		MaxTokens:      rapid.IntRange(1, 900).Draw(t, "max"),
		Arrived:        epoch.Add(-time.Duration(rapid.IntRange(0, 600).Draw(t, "waited")) * time.Second),
		CallsSoFar:     rapid.IntRange(0, 5).Draw(t, "calls"),
		Weight:         float64(rapid.IntRange(0, 10).Draw(t, "weight")),
		Priority:       rapid.IntRange(-5, 5).Draw(t, "priority"),
		DecisionNumber: rapid.Uint64().Draw(t, "turn"),
	}
	call.ProgramStarted = call.Arrived.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Second)
	if rapid.Bool().Draw(t, "has deadline") {
		call.Deadline = epoch.Add(time.Duration(rapid.IntRange(-5, 90).Draw(t, "deadline")) * time.Second)
	}
	if rapid.Bool().Draw(t, "has excluded") {
		call.Excluded = []string{"engine-00", "engine-03"}
	}
	return call
}

// TestPoliciesChooseOnlyEligibleBackends checks for every policy and random input
// that no ineligible back end is chosen, that refusals and holds have a
// RetryAfter, and that decisions are deterministic.
func TestPoliciesChooseOnlyEligibleBackends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call, backends := drawCall(t, "p"), drawBackends(t)
		for _, policy := range policies() {
			decision := policy.Choose(epoch, call, backends)
			if fmt.Sprint(decision) != fmt.Sprint(policy.Choose(epoch, call, backends)) {
				t.Fatalf("%s: decisions for the same input differ", policy.Name())
			}
			if decision.Reason == "" {
				t.Fatalf("%s: no reason", policy.Name())
			}
			switch decision.Action {
			case scheduling.Run:
				checkChosen(t, policy.Name(), call, backends, decision)
			case scheduling.Hold, scheduling.Refuse:
				if decision.RetryAfter <= 0 {
					t.Fatalf("%s: %v without RetryAfter", policy.Name(), decision)
				}
			default:
				t.Fatalf("%s: action %d", policy.Name(), decision.Action)
			}
		}
	})
}

func checkChosen(t *rapid.T, policy string, call scheduling.Call, backends []scheduling.Backend, decision scheduling.Decision) {
	for _, candidate := range decision.Candidates {
		for _, backend := range backends {
			if backend.Name != candidate.Backend {
				continue
			}
			wrong := backend.Leaving || backend.Health == scheduling.Ejected || !backend.ServesModel ||
				backend.Service != call.Service ||
				backend.Health == scheduling.Probation && backend.OwnInFlight > 0
			for _, name := range call.Excluded {
				wrong = wrong || name == backend.Name
			}
			if wrong {
				t.Fatalf("%s: considered ineligible back end %+v", policy, backend)
			}
		}
	}
	if len(decision.Candidates) == 0 || decision.Candidates[0].Backend != decision.Backend {
		t.Fatalf("%s: chose %q, not the first of %v", policy, decision.Backend, decision.Candidates)
	}
}

func TestRoundRobinRotatesOverEligibleBackends(t *testing.T) {
	is := is.New(t)
	backends := []scheduling.Backend{{Name: "a", ServesModel: true}, {Name: "b", Leaving: true}, {Name: "c", ServesModel: true}}
	var chosen []string
	for number := range uint64(4) {
		chosen = append(chosen, scheduling.RoundRobin{}.Choose(epoch, scheduling.Call{Model: "m", DecisionNumber: number}, backends).Backend)
	}
	is.Equal(chosen, []string{"a", "c", "a", "c"})
}

func TestStepseamTradesCachedPrefixAgainstWait(t *testing.T) {
	is := is.New(t)
	call := scheduling.Call{Model: "m", PromptTokens: 8000, LastBackend: "warm"}
	warm := scheduling.Backend{Name: "warm", ServesModel: true, CachedTokens: 7500, PrefillRate: 4000}
	cold := scheduling.Backend{Name: "cold", ServesModel: true, PrefillRate: 4000}
	is.Equal(scheduling.NewStepseam().Choose(epoch, call, []scheduling.Backend{cold, warm}).Backend, "warm")
	warm.QueuedPrefillTokens = 20_000 // 5 s of waiting exceed 2 s of prefill
	is.Equal(scheduling.NewStepseam().Choose(epoch, call, []scheduling.Backend{cold, warm}).Backend, "cold")
}

func TestStepseamRefusesOnlyNewProgramsEarly(t *testing.T) {
	is := is.New(t)
	backends := []scheduling.Backend{{Name: "busy", ServesModel: true, QueuedPrefillTokens: 80_000, PrefillRate: 4000}}
	call := scheduling.Call{Model: "m", PromptTokens: 100, Deadline: epoch.Add(10 * time.Second)}
	refused := scheduling.NewStepseam().Choose(epoch, call, backends)
	is.Equal(refused.Action, scheduling.Refuse)
	is.True(refused.RetryAfter > 10*time.Second) // about 20 s of queue, less 10 s until the deadline
	call.Deadline = time.Time{}
	refused = scheduling.NewStepseam().Choose(epoch, call, backends)
	is.Equal(refused.Action, scheduling.Refuse) // no deadline, but the wait exceeds the limit
	is.Equal(refused.RetryAfter, 16*time.Second)
	call.Deadline = epoch.Add(10 * time.Second)
	call.CallsSoFar = 1
	is.Equal(scheduling.NewStepseam().Choose(epoch, call, backends).Action, scheduling.Run)
}

func TestRankIsAPermutationWithoutStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		calls := make([]scheduling.Call, rapid.IntRange(0, 12).Draw(t, "calls"))
		for i := range calls {
			calls[i] = drawCall(t, fmt.Sprintf("p%02d", i))
		}
		order := scheduling.Rank(epoch, calls)
		seen := make([]bool, len(calls))
		for _, position := range order {
			if seen[position] {
				t.Fatalf("%v repeats %d", order, position)
			}
			seen[position] = true
		}
		if len(order) != len(calls) {
			t.Fatalf("%d positions for %d calls", len(order), len(calls))
		}
		// A call of the lowest weight that has waited for an hour precedes any call
		// that has waited for ten seconds.
		old := scheduling.Call{Arrived: epoch.Add(-time.Hour), Priority: -5}
		fresh := drawCall(t, "fresh")
		fresh.Arrived = epoch.Add(-10 * time.Second)
		if first := scheduling.Rank(epoch, []scheduling.Call{fresh, old})[0]; first != 1 {
			t.Fatalf("a call that waited for an hour is ranked after %+v", fresh)
		}
	})
}

func TestAdmitEnforcesLimitsOnNewProgramsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		admission := scheduling.Admission{
			Call:          drawCall(t, "p"),
			MaxConcurrent: rapid.IntRange(0, 5).Draw(t, "limit"),
			TenantShare:   rapid.Float64Range(0, 1).Draw(t, "share"),
			ClassRunning:  rapid.IntRange(0, 8).Draw(t, "running"),
		}
		admission.TenantRunning = rapid.IntRange(0, admission.ClassRunning).Draw(t, "tenant running")
		decision := scheduling.Admit(epoch, admission)
		if admission.Call.CallsSoFar > 0 && decision.Action != scheduling.Run {
			t.Fatalf("refused a call of a running program: %v", decision)
		}
		if decision.Action == scheduling.Refuse && decision.RetryAfter <= 0 {
			t.Fatalf("refused without RetryAfter: %v", decision)
		}
		if admission.MaxConcurrent > 0 && admission.ClassRunning >= admission.MaxConcurrent &&
			admission.Call.CallsSoFar == 0 && decision.Action != scheduling.Refuse {
			t.Fatalf("admitted beyond the limit: %v", decision)
		}
	})
}
