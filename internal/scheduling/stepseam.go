package scheduling

import (
	"fmt"
	"time"
)

const (
	// defaultPrefillRate and defaultDecodeRate stand in for a back end of which
	// nothing was observed yet, in tokens per second.
	defaultPrefillRate = 4000
	defaultDecodeRate  = 40
	// defaultAnswerTokens is the answer length expected of a class of which
	// nothing was observed yet.
	defaultAnswerTokens = 160
	// minimumRetry is the shortest time to come back that a refusal names.
	minimumRetry = time.Second
)

// Parameters are what the Stepseam policy weighs by. They were tuned with
// `stepseam-lab compare`; docs/decisions/0005-scheduling.md has the figures.
type Parameters struct {
	// BatchSlowdown is how much one more call in the batch of an engine slows
	// the tokens of all, as a share of the time of a token alone.
	BatchSlowdown float64
	// EvictionShare is the share of evicted tokens that is expected to have to be
	// prefilled again.
	EvictionShare float64
	// MoveMargin is how much better, in seconds, another back end must be before
	// a branch leaves the one that holds its prefix.
	MoveMargin time.Duration
}

// DefaultParameters returns the parameters the daemon runs with.
func DefaultParameters() Parameters {
	return Parameters{BatchSlowdown: 0.06, EvictionShare: 0.3, MoveMargin: 200 * time.Millisecond}
}

// Stepseam chooses the back end where the call is expected to complete first:
// the way there and back, the work that waits before it, the prefill of what is
// not cached there, the decode in the company of what runs there, and the cost
// to others of the prefixes it would evict.
type Stepseam struct {
	Parameters Parameters
}

// NewStepseam returns the policy with the default parameters.
func NewStepseam() Stepseam { return Stepseam{Parameters: DefaultParameters()} }

// Name returns stepseam.
func (Stepseam) Name() string { return "stepseam" }

// estimate is what a call is expected to take at one back end, in seconds.
type estimate struct {
	travel, wait, prefill, decode, eviction, move float64
}

func (e estimate) completion() float64 { return e.travel + e.wait + e.prefill + e.decode }

func (e estimate) cost() float64 { return e.completion() + e.eviction + e.move }

// Choose takes the back end with the lowest expected completion. A call whose
// caller will have given up before even the best back end answers is refused
// with the time after which it would be in time.
func (s Stepseam) Choose(now time.Time, call Call, backends []Backend) Decision {
	cost := func(b *Backend) float64 { return s.estimate(&call, b).cost() }
	decision := choose(&call, backends, cost, func(b *Backend) string { return s.note(&call, b) })
	if decision.Action != Run {
		return decision
	}
	decision.Priority = EnginePriority(now, &call)
	if late := s.lateBy(now, &call, backends, decision.Backend); late > 0 {
		return Decision{
			Action:     Refuse,
			RetryAfter: max(late, minimumRetry).Round(time.Millisecond),
			Reason:     fmt.Sprintf("would be %s past its deadline; %s", late.Round(time.Millisecond), decision.Reason),
			Candidates: decision.Candidates,
		}
	}
	return decision
}

// lateBy returns by how much the call would miss its deadline at the named back
// end. A program under way is only given up once the deadline has passed: an
// estimate is no reason to stall it half way.
func (s Stepseam) lateBy(now time.Time, call *Call, backends []Backend, name string) time.Duration {
	if call.Deadline.IsZero() {
		return 0
	}
	remaining := call.Deadline.Sub(now)
	if remaining <= 0 {
		return minimumRetry
	}
	if call.CallsSoFar > 0 {
		return 0
	}
	for i := range backends {
		if backends[i].Name == name {
			return seconds(s.estimate(call, &backends[i]).completion()) - remaining
		}
	}
	return 0
}

// estimate weighs one back end for call.
func (s Stepseam) estimate(call *Call, b *Backend) estimate {
	result := estimate{travel: 2 * b.Latency.Seconds()}
	if call.Model == "" {
		result.wait = inFlight(b) * applicationSeconds
		return result
	}
	prefillRate := observed(b.PrefillRate, defaultPrefillRate)
	decodeRate := observed(b.DecodeRate, defaultDecodeRate)
	uncached := max(call.PromptTokens-b.CachedTokens, 0)
	answer := answerTokens(call)
	tokenSeconds := (1 + s.Parameters.BatchSlowdown*float64(b.OwnInFlight)) / decodeRate

	result.prefill = float64(uncached) / prefillRate
	result.decode = float64(answer) * tokenSeconds
	result.wait = float64(b.QueuedPrefillTokens+b.OwnPrefillTokens) / prefillRate
	if b.ReportedWaiting > 0 {
		queued := float64(b.ReportedWaiting + b.OwnInFlight)
		result.wait += queued * result.decode / float64(max(b.ReportedRunning, 1))
	}
	if b.CacheCapacityTokens > 0 {
		overflow := b.CacheUsedTokens + b.OwnPrefillTokens + uncached + answer - b.CacheCapacityTokens
		overflow = min(max(overflow, 0), uncached+answer)
		result.eviction = s.Parameters.EvictionShare * float64(overflow) / prefillRate
	}
	if call.LastBackend != "" && call.LastBackend != b.Name {
		result.move = s.Parameters.MoveMargin.Seconds()
	}
	return result
}

// ExpectedWait returns how long call would wait before its prefill begins at the
// back end where it would wait least; 0 if none can take it, which Choose answers.
func ExpectedWait(call Call, backends []Backend) time.Duration {
	policy := NewStepseam()
	least, found := 0.0, false
	for i := range backends {
		if ineligible(&call, &backends[i]) != "" {
			continue
		}
		if wait := policy.estimate(&call, &backends[i]).wait; !found || wait < least {
			least, found = wait, true
		}
	}
	return seconds(least)
}

// applicationSeconds is what one call in flight at an application replica is
// taken to add; only the comparison between replicas matters.
const applicationSeconds = 0.05

func (s Stepseam) note(call *Call, b *Backend) string {
	e := s.estimate(call, b)
	return fmt.Sprintf("wait %.2fs prefill %.2fs (%d cached) decode %.2fs travel %.4fs eviction %.2fs",
		e.wait, e.prefill, b.CachedTokens, e.decode, e.travel, e.eviction)
}

func answerTokens(call *Call) int {
	expected := call.ExpectedTokens
	if expected <= 0 {
		expected = defaultAnswerTokens
	}
	if call.MaxTokens > 0 {
		expected = min(expected, call.MaxTokens)
	}
	return expected
}

func observed(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
