// Package outlier detects from the outcomes of requests that a replica fails requests
// which other replicas of its service serve, even if it passes its health checks. It
// ejects such a replica and decides when requests may probe it. Without ejection, a
// replica that fails immediately looks idle and attracts the requests of all nodes. The
// package reads no clock and performs no I/O.
package outlier

import (
	"math"
	"time"
)

// Outcome classifies the result of a request at a replica.
type Outcome uint8

// Outcomes. Their numeric values are sent to aggregators and must not change.
const (
	// Success means that the replica returned a valid response.
	Success Outcome = 1 + iota
	// ErrorResponse means that the replica returned an error of its own.
	ErrorResponse
	// BrokenResponse means that the response was truncated or malformed.
	BrokenResponse
	// NoResponse means that nothing was received within the response timeout, or that the
	// replica closed the connection without a response.
	NoResponse
	// Unreachable means that no connection could be established.
	Unreachable
)

// Failed reports whether the outcome counts as a failure of the replica.
func (o Outcome) Failed() bool { return o >= ErrorResponse && o <= Unreachable }

// String returns the value used in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Success:
		return "served"
	case ErrorResponse:
		return "errors"
	case BrokenResponse:
		return "torn"
	case NoResponse:
		return "silent"
	case Unreachable:
		return "unreachable"
	}
	return "unknown"
}

const (
	// minTolerated is the minimum failure rate assumed for a healthy replica.
	minTolerated = 0.02
	// baselineMargin times the baseline is the failure rate tolerated in a healthy replica.
	baselineMargin = 2.0
	// failingRate is the failure rate of the alternative hypothesis: a failing replica.
	failingRate = 0.5
	// ejectionScore is the score at which a replica is ejected. With a low baseline, three
	// consecutive failures reach it; two may be chance among many replicas.
	ejectionScore = 8.5
	// minProbeSuccesses is the number of consecutive successful probes that reinstate a
	// replica. Each recent ejection doubles it, up to maxProbeSuccesses.
	minProbeSuccesses = 6
	maxProbeSuccesses = 32
	// recurrenceWindow is the time after reinstatement within which another ejection
	// counts as a recurrence of the same fault.
	recurrenceWindow = 20 * time.Second
	// initialProbeDelay is the initial time without probes after an ejection. Each failed
	// probe doubles it, up to maxProbeDelay.
	initialProbeDelay = 300 * time.Millisecond
	maxProbeDelay     = 1500 * time.Millisecond
	// successProbeDelay is the time between probes after a successful one.
	successProbeDelay = 20 * time.Millisecond
	// probeGrantTTL is the time for which a granted probe blocks further probes while no
	// outcome arrives.
	probeGrantTTL = 100 * time.Millisecond
	// stuckAfter is the time after the last outcome from which requests still in flight no
	// longer block probes. Requests without a response count as failed by then.
	stuckAfter = 800 * time.Millisecond
	// safeProbeWindow is the time after the probe delay in which only retryable requests may
	// probe. After it, any request may.
	safeProbeWindow = 300 * time.Millisecond
)

// Detector holds the failure statistics and the ejection state of one replica. Its zero
// value describes a healthy replica. All times are monotonic readings. It is not safe
// for concurrent use.
type Detector struct {
	// score is a CUSUM statistic: the sum of the outcomes' log-likelihood ratios of a
	// failing replica against a healthy one, bounded below by 0.
	score float64
	// failures and outcomes count the failures and all outcomes since the score was last 0.
	failures, outcomes int
	ejected            bool
	reason             Outcome
	// probeSuccesses counts successful probes since the last failure.
	probeSuccesses int
	// lastOutcomeAt is the time of the last outcome, probeGrantedAt that of the last
	// granted probe.
	lastOutcomeAt, probeGrantedAt time.Duration
	// probeGranted reports whether a probe was granted since the last outcome.
	probeGranted bool
	// probedSinceEjection reports whether a probe was granted since the ejection.
	probedSinceEjection bool
	probeDelay          time.Duration
	// probes counts the outcomes of probes since the ejection.
	probes int
	// ejections counts recurrent ejections; reinstatedAt is the time of the last
	// reinstatement.
	ejections    int
	reinstatedAt time.Duration
}

// Change is the effect of an outcome on the ejection state.
type Change int

// Effects of an outcome.
const (
	Unchanged Change = iota
	NowEjected
	NowReinstated
)

// Transition describes the effect of an outcome and the evidence for it.
type Transition struct {
	Change Change
	// Reason is the failure that caused the ejection.
	Reason Outcome
	// Failures is the number of failures among Outcomes outcomes, judged against
	// BaselineFailureRate.
	Failures, Outcomes  int
	BaselineFailureRate float64
}

// Observe is like Add, but also returns the evidence for the change.
func (d *Detector) Observe(outcome Outcome, baseline float64, now time.Duration) Transition {
	change := d.Add(outcome, baseline, now)
	return Transition{Change: change, Reason: d.reason, Failures: d.failures, Outcomes: d.outcomes, BaselineFailureRate: baseline}
}

// Ejected reports whether the replica is ejected, so that it gets only probes.
func (d *Detector) Ejected() bool { return d.ejected }

// Reason returns the failure that caused the last ejection.
func (d *Detector) Reason() Outcome { return d.reason }

// Add counts an outcome. baseline is the failure rate over all replicas of the service,
// including this one.
func (d *Detector) Add(outcome Outcome, baseline float64, now time.Duration) Change {
	switch {
	case d.ejected:
		return d.countProbe(outcome, now)
	case outcome == Success || outcome.Failed():
		return d.count(outcome, baseline, now)
	}
	return Unchanged
}

// count adds an outcome of a replica that is not ejected to the score.
func (d *Detector) count(outcome Outcome, baseline float64, now time.Duration) Change {
	if isInconclusive(baseline) {
		return Unchanged
	}
	d.lastOutcomeAt = now
	d.score = max(d.score+logLikelihoodRatio(outcome, baseline), 0)
	if d.score == 0 {
		d.failures, d.outcomes = 0, 0
		return Unchanged
	}
	d.outcomes++
	if outcome.Failed() {
		d.failures++
	}
	if d.score < ejectionScore {
		return Unchanged
	}
	d.eject(outcome, now)
	return NowEjected
}

// eject ejects the replica. The initial delay before a probe doubles with each recent
// ejection.
func (d *Detector) eject(reason Outcome, now time.Duration) {
	if now-d.reinstatedAt > recurrenceWindow {
		d.ejections = 0
	}
	d.ejected = true
	d.reason = reason
	d.probeSuccesses = 0
	d.probes = 0
	d.probeGranted = false
	d.probedSinceEjection = false
	d.probeDelay = min(initialProbeDelay<<min(d.ejections, 8), maxProbeDelay)
	d.ejections++
}

// countProbe counts an outcome of an ejected replica. Outcomes that arrive before the first
// probe belong to requests sent before the ejection and are ignored.
func (d *Detector) countProbe(outcome Outcome, now time.Duration) Change {
	switch {
	case !d.probedSinceEjection:
		return Unchanged
	case outcome == Success:
		d.probeSuccesses++
	case outcome.Failed():
		if d.probeGranted || d.probeSuccesses > 0 {
			d.probeDelay = min(2*d.probeDelay, maxProbeDelay)
		}
		d.probeSuccesses = 0
	default:
		return Unchanged
	}
	d.lastOutcomeAt, d.probeGranted = now, false
	d.probes++
	if d.probeSuccesses < min(minProbeSuccesses<<min(d.ejections-1, 8), maxProbeSuccesses) {
		return Unchanged
	}
	d.ejected = false
	d.reinstatedAt = now
	d.score = 0
	d.failures, d.outcomes = 0, 0
	return NowReinstated
}

// isInconclusive reports whether the baseline observed by a node is as high as the failure
// rate of a failing replica. Then either the whole service or the node's own network path
// to it fails, and outcomes do not discriminate between replicas.
func isInconclusive(baseline float64) bool { return baselineMargin*baseline >= failingRate }

// logLikelihoodRatio returns the log-likelihood ratio of an outcome.
func logLikelihoodRatio(outcome Outcome, baseline float64) float64 {
	tolerated := max(baselineMargin*baseline, minTolerated)
	if outcome.Failed() {
		return math.Log(failingRate / tolerated)
	}
	return math.Log((1 - failingRate) / (1 - tolerated))
}

// Probe defines which requests may probe an ejected replica.
type Probe int

// Probe permissions.
const (
	// NoProbe permits no request to probe.
	NoProbe Probe = iota
	// SafeProbe permits one request that can be retried at another replica.
	SafeProbe
	// AnyProbe permits one request of any kind, since no retryable request has probed
	// in time.
	AnyProbe
)

// Probe returns which requests may probe the replica now. inFlight is the number of
// requests of all nodes in flight there. After a failure one probe runs at a time; each
// success allows one more concurrent probe. Requests that got no outcome for a while do
// not count as in flight.
func (d *Detector) Probe(inFlight int, now time.Duration) Probe {
	delay := d.jitteredProbeDelay()
	if d.probeSuccesses > 0 {
		delay = successProbeDelay
	}
	waited, grantTTL := now-d.lastOutcomeAt, probeGrantTTL
	if inFlight > d.probeSuccesses {
		delay, grantTTL = max(delay, stuckAfter), stuckAfter
	}
	switch {
	case !d.ejected || waited < delay:
		return NoProbe
	case d.probeGranted && now-d.probeGrantedAt < grantTTL:
		return NoProbe
	case waited >= delay+safeProbeWindow:
		return AnyProbe
	}
	return SafeProbe
}

// jitteredProbeDelay returns the probe delay extended by up to half. The extension varies
// deterministically with each probe, so that probes do not synchronize with a replica that
// fails periodically.
func (d *Detector) jitteredProbeDelay() time.Duration {
	const goldenFraction = math.Phi - 1
	_, fraction := math.Modf(float64(d.probes) * goldenFraction)
	return d.probeDelay + time.Duration(fraction/2*float64(d.probeDelay))
}

// StartProbe records that a probe was granted.
func (d *Detector) StartProbe(now time.Duration) {
	d.probeGranted, d.probedSinceEjection, d.probeGrantedAt = true, true, now
}

// Reset returns the detector to the state of a healthy replica. It is called when the
// replica's aggregator, with reports of all nodes, considers the replica healthy.
func (d *Detector) Reset() { *d = Detector{} }

// baselineWeight is the weight of the newest outcome in the exponential moving average of a
// service's failure rate.
const baselineWeight = 1.0 / 128

// Baseline is the moving average of the failure rate over all replicas of a service. Its
// zero value is a failure rate of 0. It is not safe for concurrent use.
type Baseline struct {
	rate float64
}

// Add counts the outcome of a request that is not a probe.
func (b *Baseline) Add(outcome Outcome) {
	failed := 0.0
	if outcome.Failed() {
		failed = 1
	}
	b.rate += baselineWeight * (failed - b.rate)
}

// FailureRate returns the failure rate, between 0 and 1.
func (b *Baseline) FailureRate() float64 { return b.rate }

// maxEjectedFraction is the fraction of a service's replicas above which ejections are
// ignored: the service as a whole fails, or the remaining replicas could not take the
// load.
const maxEjectedFraction = 0.4

// ExceedsEjectionLimit reports whether ejected of all replicas are too many for their
// ejections to be honored.
func ExceedsEjectionLimit(ejected, all int) bool {
	return float64(ejected) > maxEjectedFraction*float64(all)
}
