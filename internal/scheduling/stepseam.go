package scheduling

import (
	"fmt"
	"strconv"
	"time"
)

const (
	// defaultPrefillRate and defaultDecodeRate stand in while nothing was observed
	// of any back end, in tokens per second.
	defaultPrefillRate = 4000
	defaultDecodeRate  = 40
	// usualAnswerTokens is the answer length that is reckoned with. Only how back
	// ends compare depends on it; the observed length of the class did no better.
	usualAnswerTokens = 160
	// minimumRetry is the shortest time to come back that a refusal names.
	minimumRetry = time.Second
)

// Parameters are what the Stepseam policy weighs by. They were tuned with
// `stepseam-lab compare`; docs/decisions/0005-scheduling.md has the figures.
type Parameters struct {
	// BatchSlowdown is how much one more call in a batch lengthens the time of
	// each token, as a share of it.
	BatchSlowdown float64
	// BatchDelayWeight is how much the delay that a call's prefill means for each
	// running call counts beside the call's own time. A long prefill stalls the
	// whole batch, so at 0 branches move too lightly.
	BatchDelayWeight float64
	// EvictedReuseRatio is the share of evicted tokens that is expected to have to be
	// prefilled again.
	EvictedReuseRatio float64
	// MigrationMargin is how much better, in seconds, another back end must be before
	// a branch leaves the one where it ran last.
	MigrationMargin time.Duration
	// SlowDecodeRatio is the share of the usual decode rate below which a back end is
	// taken to be slow; above it, differences are noise or its batch.
	SlowDecodeRatio float64
	// MaxNewProgramWait is how long a new program may be expected to wait at the best back
	// end; beyond it the program is refused before it begins, so that those under
	// way are not slowed without end. 0 refuses none.
	MaxNewProgramWait time.Duration
	// PeerCallFactor is how many calls of other nodes are assumed to be on their way to a
	// back end for each own one that its report can't know.
	PeerCallFactor float64
}

// DefaultParameters returns the parameters the daemon runs with.
func DefaultParameters() Parameters {
	return Parameters{
		BatchSlowdown: 0.02, BatchDelayWeight: 1.5, EvictedReuseRatio: 1,
		MigrationMargin: 500 * time.Millisecond, SlowDecodeRatio: 0.6, PeerCallFactor: 3,
		MaxNewProgramWait: 4 * time.Second,
	}
}

// Stepseam chooses the back end where the call is expected to complete first,
// counting what it costs others: the way there and back, the work that waits
// before it, the prefill of what is not cached there and the delay of that for
// its neighbours, the decode in the company of what runs there, and the prefixes
// it would evict.
type Stepseam struct {
	Parameters Parameters
}

// NewStepseam returns the policy with the default parameters.
func NewStepseam() Stepseam { return Stepseam{Parameters: DefaultParameters()} }

// Name returns stepseam.
func (Stepseam) Name() string { return "stepseam" }

// Choose takes the back end with the lowest expected cost. A call whose
// caller will have given up before even the best back end answers is refused
// with the time after which it would be in time.
func (s Stepseam) Choose(now time.Time, call Call, backends []Backend) Decision {
	weigher := s.weigher(&call, backends)
	cost := func(b *Backend) float64 { e := weigher.estimate(b); return e.cost() }
	decision := choose(&call, backends, cost, weigher.note)
	if decision.Action != Run {
		return decision
	}
	decision.Priority = EnginePriority(now, &call)
	best := weigher.estimateOf(backends, decision.Backend)
	if late := weigher.lateBy(now, &best); late > 0 {
		reason := fmt.Sprintf("would be %s past its deadline", late.Round(time.Millisecond))
		return giveUp(decision, late, reason)
	}
	if excess := weigher.overload(&best); excess > 0 {
		reason := fmt.Sprintf("would wait %.1fs, more than a new program may", best.wait)
		return giveUp(decision, excess, reason)
	}
	return decision
}

// giveUp turns a decision to run into a refusal. retryAfter is by how much the
// estimate is too long: once so much of the work that waits is done, the call
// could run.
func giveUp(decision Decision, retryAfter time.Duration, reason string) Decision {
	return Decision{
		Action:     Refuse,
		RetryAfter: max(retryAfter, minimumRetry).Round(time.Millisecond),
		Reason:     reason + "; " + decision.Reason,
		Candidates: decision.Candidates,
	}
}

// estimateOf returns the estimate for the named back end.
func (w *weigher) estimateOf(backends []Backend, name string) estimate {
	for i := range backends {
		if backends[i].Name == name {
			return w.estimate(&backends[i])
		}
	}
	return estimate{}
}

// overload returns by how much a new program would wait too long.
func (w *weigher) overload(best *estimate) time.Duration {
	if w.call.CallsSoFar > 0 || w.parameters.MaxNewProgramWait <= 0 || w.call.Model == "" {
		return 0
	}
	return seconds(best.wait) - w.parameters.MaxNewProgramWait
}

// weigher weighs back ends for one call against what is usual for all of them.
type weigher struct {
	parameters Parameters
	call       *Call
	answer     int
	// prefillTime and decodeTime are seconds for one token at the usual rates,
	// slowRate is the decode rate below which a back end is slow.
	prefillTime float64
	decodeTime  float64
	slowRate    float64
	// running is the usual batch.
	running float64
}

// weigher works out the usual rates and batch of the back ends.
func (s Stepseam) weigher(call *Call, backends []Backend) *weigher {
	w := &weigher{parameters: s.Parameters, call: call, answer: answerTokens(call)}
	prefillRate, decodeRate, prefills, decodes := 0.0, 0.0, 0.0, 0.0
	for i := range backends {
		b := &backends[i]
		w.running += float64(b.ReportedRunning)
		if b.PrefillRate > 0 {
			prefillRate += b.PrefillRate
			prefills++
		}
		if b.DecodeRate > 0 {
			decodeRate += b.DecodeRate
			decodes++
		}
	}
	w.running /= max(float64(len(backends)), 1)
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

// estimate is what a call is expected to take at one back end, in seconds.
type estimate struct {
	travel, wait, prefill, decode float64
	// others, eviction and move are costs that the call itself does not feel.
	others, eviction, move float64
}

func (e *estimate) completion() float64 { return e.travel + e.wait + e.prefill + e.decode }

func (e *estimate) cost() float64 { return e.completion() + e.others + e.eviction + e.move }

// estimate weighs one back end.
func (w *weigher) estimate(b *Backend) estimate {
	result := estimate{travel: 2 * b.Latency.Seconds()}
	if w.call.Model == "" {
		result.wait = inFlight(b) * applicationSeconds
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
	slowdown := max(1+p.BatchSlowdown*(batch-w.running), 0.5)
	result.decode = float64(w.answer) * slowdown * w.decodeTime * slowness
	result.wait += queued(b, batch) * result.decode
	result.others = p.BatchDelayWeight * batch * result.prefill
	if b.CacheCapacityTokens > 0 {
		overflow := float64(b.CacheUsedTokens+uncached+w.answer-b.CacheCapacityTokens) + ownPrefill
		overflow = min(max(overflow, 0), float64(uncached+w.answer))
		result.eviction = p.EvictedReuseRatio * overflow * prefillTime * (1 + p.BatchDelayWeight*batch)
	}
	if w.call.LastBackend != "" && w.call.LastBackend != b.Name {
		result.move = p.MigrationMargin.Seconds()
	}
	return result
}

// mostSlowness bounds how slow a back end is taken to be.
const mostSlowness = 20

// slowness is how many times as long as usual a back end takes, at least 1.
// Small differences of the observed rates come from the batch it happened to
// have and count as none.
func (w *weigher) slowness(b *Backend) float64 {
	if b.DecodeRate <= 0 || b.DecodeRate >= w.slowRate {
		return 1
	}
	return min(1/(b.DecodeRate*w.decodeTime), mostSlowness)
}

// queued returns for how many rounds of a full batch a call would wait for its
// place. Where calls wait, what runs is the full batch.
func queued(b *Backend, batch float64) float64 {
	if b.ReportedWaiting == 0 {
		return 0
	}
	full := float64(max(b.ReportedRunning, 1))
	return max(batch-full+1, 0) / full
}

// lateBy returns by how much the call would miss its deadline. A program under
// way is only given up once the deadline has passed: an estimate is no reason to
// stall it half way.
func (w *weigher) lateBy(now time.Time, best *estimate) time.Duration {
	if w.call.Deadline.IsZero() {
		return 0
	}
	remaining := w.call.Deadline.Sub(now)
	if remaining <= 0 {
		return minimumRetry
	}
	if w.call.CallsSoFar > 0 {
		return 0
	}
	return seconds(best.completion()) - remaining
}

// note writes the estimate down. It is part of every decision, so it does
// without package fmt.
func (w *weigher) note(b *Backend) string {
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
		{"s others ", e.others},
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

// applicationSeconds is what one call in flight at an application replica is
// taken to add; only the comparison between replicas matters.
const applicationSeconds = 0.05

func answerTokens(call *Call) int {
	if call.MaxTokens > 0 {
		return min(usualAnswerTokens, call.MaxTokens)
	}
	return usualAnswerTokens
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
