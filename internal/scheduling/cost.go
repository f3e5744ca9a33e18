package scheduling

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// defaultPrefillRate and defaultDecodeRate are used until a rate of some back
	// end has been observed, in tokens per second.
	defaultPrefillRate = 4000
	defaultDecodeRate  = 40
	// typicalAnswerTokens is the assumed answer length. It only affects how back
	// ends compare with each other; the observed length of the class did no better.
	typicalAnswerTokens = 160
	// minRetryAfter is the smallest RetryAfter of a refusal.
	minRetryAfter = time.Second
)

// Parameters are the weights and limits of the Stepseam policy. They were tuned with
// `stepseam-lab compare`; docs/decisions/0005-scheduling.md has the figures.
type Parameters struct {
	// BatchSlowdown is the fraction by which each further call in a batch
	// lengthens the time per token.
	BatchSlowdown float64
	// BatchDelayWeight is the weight of the delay that a call's prefill imposes on
	// each running call, relative to the call's own time. A long prefill stalls
	// the whole batch; with weight 0, branches would move too often.
	BatchDelayWeight float64
	// EvictedReuseRatio is the fraction of evicted tokens that is expected to be
	// needed again and prefilled once more.
	EvictedReuseRatio float64
	// MigrationMargin is the cost advantage that another back end needs before a
	// branch moves away from the one where it ran last.
	MigrationMargin time.Duration
	// SlowDecodeRatio is the fraction of the mean decode rate below which a back
	// end counts as slow. Smaller differences are attributed to its batch size.
	SlowDecodeRatio float64
	// MaxNewProgramWait is the longest expected wait at the best back end at which
	// a new program is accepted, so that overload does not slow down running
	// programs without bound. 0 is no limit.
	MaxNewProgramWait time.Duration
	// PeerCallFactor is how many calls of other nodes are assumed to be on their
	// way to a back end for each call of this node that is newer than its report.
	PeerCallFactor float64
}

// DefaultParameters returns the parameters that the daemon uses.
func DefaultParameters() Parameters {
	return Parameters{
		BatchSlowdown: 0.02, BatchDelayWeight: 1.5, EvictedReuseRatio: 1,
		MigrationMargin: 500 * time.Millisecond, SlowDecodeRatio: 0.6, PeerCallFactor: 3,
		MaxNewProgramWait: 4 * time.Second,
	}
}

// Stepseam is the policy that chooses the back end with the lowest expected
// cost. The cost is the call's completion time (network round trip, queueing,
// prefill of the uncached tokens, decode in the back end's batch) plus the delay
// that its prefill imposes on the batch, the prefixes that it would evict, and a
// margin for moving its branch.
type Stepseam struct {
	Parameters Parameters
}

// NewStepseam returns the policy with the default parameters.
func NewStepseam() Stepseam { return Stepseam{Parameters: DefaultParameters()} }

// Name returns stepseam.
func (Stepseam) Name() string { return "stepseam" }

// Choose returns the eligible back end with the lowest expected cost. It refuses
// a call that cannot meet its deadline even there, and a new program whose
// expected wait exceeds MaxNewProgramWait; RetryAfter is the excess time.
func (s Stepseam) Choose(now time.Time, call Call, backends []Backend) Decision {
	estimator := s.newEstimator(&call, backends)
	cost := func(b *Backend) float64 { e := estimator.estimate(b); return e.cost() }
	decision := choose(&call, backends, cost, estimator.note)
	if decision.Action != Run {
		return decision
	}
	decision.Priority = EnginePriority(now, &call)
	best := estimator.estimateOf(backends, decision.Backend)
	if late := estimator.lateness(now, &best); late > 0 {
		reason := fmt.Sprintf("would be %s past its deadline", late.Round(time.Millisecond))
		return refuseDecision(decision, late, reason)
	}
	if excess := estimator.excessWait(&best); excess > 0 {
		reason := fmt.Sprintf("would wait %.1fs, more than a new program may", best.wait)
		return refuseDecision(decision, excess, reason)
	}
	return decision
}

// refuseDecision turns a decision to run into a refusal. retryAfter is the time
// by which the estimate is too long: the queue has to shrink by that much.
func refuseDecision(decision Decision, retryAfter time.Duration, reason string) Decision {
	return Decision{
		Action:     Refuse,
		RetryAfter: max(retryAfter, minRetryAfter).Round(time.Millisecond),
		Reason:     reason + "; " + decision.Reason,
		Candidates: decision.Candidates,
	}
}

// estimateOf returns the estimate for the named back end.
func (w *estimator) estimateOf(backends []Backend, name string) estimate {
	for i := range backends {
		if backends[i].Name == name {
			return w.estimate(&backends[i])
		}
	}
	return estimate{}
}

// excessWait returns by how much the expected wait of a new program exceeds
// MaxNewProgramWait, 0 or less if it may run.
func (w *estimator) excessWait(best *estimate) time.Duration {
	if w.call.CallsSoFar > 0 || w.parameters.MaxNewProgramWait <= 0 || w.call.Model == "" {
		return 0
	}
	return seconds(best.wait) - w.parameters.MaxNewProgramWait
}

// estimator estimates costs of one call relative to the mean of all back ends.
type estimator struct {
	parameters   Parameters
	call         *Call
	answerTokens int
	// prefillTime and decodeTime are seconds per token at the mean rates,
	// slowRate is the decode rate below which a back end counts as slow.
	prefillTime float64
	decodeTime  float64
	slowRate    float64
	// meanBatch is the mean number of running calls per back end.
	meanBatch float64
}

// newEstimator computes the mean rates and batch size of the back ends.
func (s Stepseam) newEstimator(call *Call, backends []Backend) *estimator {
	w := &estimator{parameters: s.Parameters, call: call, answerTokens: expectedAnswerTokens(call)}
	prefillRate, decodeRate, prefills, decodes := 0.0, 0.0, 0.0, 0.0
	for i := range backends {
		b := &backends[i]
		w.meanBatch += float64(b.ReportedRunning)
		if b.PrefillRate > 0 {
			prefillRate += b.PrefillRate
			prefills++
		}
		if b.DecodeRate > 0 {
			decodeRate += b.DecodeRate
			decodes++
		}
	}
	w.meanBatch /= max(float64(len(backends)), 1)
	w.prefillTime = 1 / mean(prefillRate, prefills, defaultPrefillRate)
	decodeRate = mean(decodeRate, decodes, defaultDecodeRate)
	w.decodeTime = 1 / decodeRate
	w.slowRate = decodeRate * s.Parameters.SlowDecodeRatio
	return w
}

func mean(sum, count, fallback float64) float64 {
	if count == 0 {
		return fallback
	}
	return sum / count
}

// estimate is the expected cost of a call at one back end, in seconds.
type estimate struct {
	travel, wait, prefill, decode float64
	// batchDelay, eviction and migration do not delay the call itself.
	batchDelay, eviction, migration float64
}

func (e *estimate) completion() float64 { return e.travel + e.wait + e.prefill + e.decode }

func (e *estimate) cost() float64 { return e.completion() + e.batchDelay + e.eviction + e.migration }

// estimate returns the expected cost of the call at b.
func (w *estimator) estimate(b *Backend) estimate {
	result := estimate{travel: 2 * b.Latency.Seconds()}
	if w.call.Model == "" {
		result.wait = inFlight(b) * applicationCallSeconds
		return result
	}
	p := &w.parameters
	slowness := w.slowness(b)
	own := float64(b.OwnInFlight) * (1 + p.PeerCallFactor)
	ownPrefill := float64(b.OwnPrefillTokens) * (1 + p.PeerCallFactor)
	uncached := max(w.call.PromptTokens-b.CachedTokens, 0)
	batch := float64(b.ReportedRunning+b.ReportedWaiting) + own
	prefillTime := w.prefillTime * slowness

	result.prefill = float64(uncached) * prefillTime
	result.wait = (float64(b.QueuedPrefillTokens) + ownPrefill) * prefillTime
	slowdown := max(1+p.BatchSlowdown*(batch-w.meanBatch), 0.5)
	result.decode = float64(w.answerTokens) * slowdown * w.decodeTime * slowness
	result.wait += queuedRounds(b, batch) * result.decode
	result.batchDelay = p.BatchDelayWeight * batch * result.prefill
	if b.CacheCapacityTokens > 0 {
		overflow := float64(b.CacheUsedTokens+uncached+w.answerTokens-b.CacheCapacityTokens) + ownPrefill
		overflow = min(max(overflow, 0), float64(uncached+w.answerTokens))
		result.eviction = p.EvictedReuseRatio * overflow * prefillTime * (1 + p.BatchDelayWeight*batch)
	}
	if w.call.LastBackend != "" && w.call.LastBackend != b.Name {
		result.migration = p.MigrationMargin.Seconds()
	}
	return result
}

// maxSlowness bounds the result of slowness.
const maxSlowness = 20

// slowness returns the factor by which a back end is slower than the mean, at
// least 1. Rates above slowRate count as normal, since the batch size alone can
// explain such differences.
func (w *estimator) slowness(b *Backend) float64 {
	if b.DecodeRate <= 0 || b.DecodeRate >= w.slowRate {
		return 1
	}
	return min(1/(b.DecodeRate*w.decodeTime), maxSlowness)
}

// queuedRounds returns how many rounds of a full batch a call would wait for a
// slot. If calls are waiting, the running calls are assumed to fill the batch.
func queuedRounds(b *Backend, batch float64) float64 {
	if b.ReportedWaiting == 0 {
		return 0
	}
	full := float64(max(b.ReportedRunning, 1))
	return max(batch-full+1, 0) / full
}

// lateness returns by how much the call would miss its deadline. A call of a
// running program is only late once its deadline has passed: an estimate alone
// must not stall a program half way.
func (w *estimator) lateness(now time.Time, best *estimate) time.Duration {
	if w.call.Deadline.IsZero() {
		return 0
	}
	remaining := w.call.Deadline.Sub(now)
	if remaining <= 0 {
		return minRetryAfter
	}
	if w.call.CallsSoFar > 0 {
		return 0
	}
	return seconds(best.completion()) - remaining
}

// note formats the estimate. It runs for every decision and avoids package fmt
// for speed.
func (w *estimator) note(b *Backend) string {
	e := w.estimate(b)
	note := make([]byte, 0, 128)
	for _, part := range [...]struct {
		label string
		value float64
	}{
		{"wait ", e.wait},
		{"s prefill ", e.prefill},
		{"s decode ", e.decode},
		{"s travel ", e.travel},
		{"s others ", e.batchDelay},
		{"s eviction ", e.eviction},
	} {
		note = append(note, part.label...)
		note = strconv.AppendFloat(note, part.value, 'f', 3, 64)
	}
	note = append(note, "s, "...)
	note = strconv.AppendInt(note, int64(b.CachedTokens), 10)
	note = append(note, " tokens cached"...)
	return string(note)
}

// applicationCallSeconds is the wait that each call in flight at an application
// replica is assumed to add. It only affects how replicas compare.
const applicationCallSeconds = 0.05

func expectedAnswerTokens(call *Call) int {
	if call.MaxTokens > 0 {
		return min(typicalAnswerTokens, call.MaxTokens)
	}
	return typicalAnswerTokens
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
