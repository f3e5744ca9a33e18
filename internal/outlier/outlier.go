// Package outlier tells from the outcomes of requests whether a replica fails work that
// others of its service serve, although its health answers are good, and when it may be
// tried again. The load that it answers: a replica that fails at once looks idle and draws
// the requests of all nodes. It reads no clock and does no I/O.
package outlier

import (
	"math"
	"time"
)

// Outcome is what became of a request at a replica.
type Outcome uint8

// The outcomes. Their numbers are sent to keepers.
const (
	// Success tells that the replica has answered as it should.
	Success Outcome = 1 + iota
	// ErrorResponse tells that it has answered with a failure of its own.
	ErrorResponse
	// BrokenResponse tells that its answer broke off or could not be read.
	BrokenResponse
	// NoResponse tells that nothing has come from it within patience, or that it closed the
	// connection without an answer.
	NoResponse
	// Unreachable tells that no connection could be made.
	Unreachable
)

// Failed tells whether the replica is at fault.
func (o Outcome) Failed() bool { return o >= ErrorResponse && o <= Unreachable }

// String returns a word for logs and metrics.
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
	// leastUsual is the share of failures that any sound replica is granted.
	leastUsual = 0.02
	// usualMargin times the share of the others is granted to a sound replica.
	usualMargin = 2.0
	// unsound is the share of failures from which on a replica counts as failing.
	unsound = 0.5
	// ejectAt is the score of a replica that is left alone: three failures in a row where
	// others hardly fail. Two may be chance among many replicas.
	ejectAt = 8.5
	// returnAfter is how many requests in a row a replica has to serve to return; each
	// ejection shortly before doubles it, up to longestReturn.
	returnAfter   = 6
	longestReturn = 32
	// memory is how long after a return a further ejection counts as one of the same fault.
	memory = 20 * time.Second
	// firstPause is how long an ejected replica is left alone at first; each failed probe
	// doubles it, up to longestPause.
	firstPause   = 300 * time.Millisecond
	longestPause = 1500 * time.Millisecond
	// provingPause is the pause after a probe that was served.
	provingPause = 20 * time.Millisecond
	// grantLife is how long a right to probe that was given out holds others off.
	grantLife = 100 * time.Millisecond
	// stuck is how long after the last outcome requests that are still at the replica hold
	// probes off no more: those that it leaves without an answer count as failed by then.
	stuck = 800 * time.Millisecond
	// safeFirst is how long after a pause only requests probe that may go to another replica
	// after a failure; where none of those comes, any probes.
	safeFirst = 300 * time.Millisecond
)

// Detector is what outcomes say of one replica. Its zero value is a sound one. It is not
// safe for concurrent use. All times are monotonic readings.
type Detector struct {
	// score is the sum of the logarithms of how much likelier each outcome is at a failing
	// replica than at a sound one, never below 0 (a CUSUM test).
	score float64
	// failures and of count what the score was made from.
	failures, of int
	ejected      bool
	reason       Outcome
	// servedInRow counts requests served since the last failure.
	servedInRow int
	// lastAt is when the last outcome came, grantedAt when a right to probe was given out.
	lastAt, grantedAt time.Duration
	// granted tells that one was given out since the last outcome.
	granted bool
	// tried tells that one was given out since the ejection.
	tried bool
	pause time.Duration
	// probes counts the outcomes since the ejection.
	probes int
	// ejections counts those of the same fault, returnedAt is when the last one ended.
	ejections  int
	returnedAt time.Duration
}

// Change is what an outcome has changed.
type Change int

// The changes.
const (
	Unchanged Change = iota
	NowEjected
	NowReinstated
)

// Transition is what an outcome has changed, and by what.
type Transition struct {
	Change Change
	// Reason is the kind of the failure that ejected the replica.
	Reason Outcome
	// Failures of Outcomes outcomes ejected it, where the others' share of failures is Usual.
	Failures, Outcomes  int
	BaselineFailureRate float64
}

// Observe is Add, and tells what has led to the change.
func (r *Detector) Observe(outcome Outcome, usual float64, now time.Duration) Transition {
	change := r.Add(outcome, usual, now)
	return Transition{Change: change, Reason: r.reason, Failures: r.failures, Outcomes: r.of, BaselineFailureRate: usual}
}

// Ejected tells whether the replica is left alone but for probes.
func (r *Detector) Ejected() bool { return r.ejected }

// Reason returns the kind of the failure that ejected the replica.
func (r *Detector) Reason() Outcome { return r.reason }

// Add counts an outcome. usual is the share of failures at the service's replicas, this one
// among them.
func (r *Detector) Add(outcome Outcome, usual float64, now time.Duration) Change {
	switch {
	case r.ejected:
		return r.probed(outcome, now)
	case outcome == Success || outcome.Failed():
		return r.count(outcome, usual, now)
	}
	return Unchanged
}

// count counts an outcome at a replica that is not ejected.
func (r *Detector) count(outcome Outcome, usual float64, now time.Duration) Change {
	if saysNothing(usual) {
		return Unchanged
	}
	r.lastAt = now
	r.score = max(r.score+weight(outcome, usual), 0)
	if r.score == 0 {
		r.failures, r.of = 0, 0
		return Unchanged
	}
	r.of++
	if outcome.Failed() {
		r.failures++
	}
	if r.score < ejectAt {
		return Unchanged
	}
	r.eject(outcome, now)
	return NowEjected
}

// eject leaves the replica alone from now on, longer the oftener it was ejected lately.
func (r *Detector) eject(reason Outcome, now time.Duration) {
	if now-r.returnedAt > memory {
		r.ejections = 0
	}
	r.ejected = true
	r.reason = reason
	r.servedInRow = 0
	r.probes = 0
	r.granted = false
	r.tried = false
	r.pause = min(firstPause<<min(r.ejections, 8), longestPause)
	r.ejections++
}

// probed counts an outcome at an ejected replica. Those of requests that were there before
// the first probe count for nothing.
func (r *Detector) probed(outcome Outcome, now time.Duration) Change {
	switch {
	case !r.tried:
		return Unchanged
	case outcome == Success:
		r.servedInRow++
	case outcome.Failed():
		if r.granted || r.servedInRow > 0 {
			r.pause = min(2*r.pause, longestPause)
		}
		r.servedInRow = 0
	default:
		return Unchanged
	}
	r.lastAt, r.granted = now, false
	r.probes++
	if r.servedInRow < min(returnAfter<<min(r.ejections-1, 8), longestReturn) {
		return Unchanged
	}
	r.ejected = false
	r.returnedAt = now
	r.score = 0
	r.failures, r.of = 0, 0
	return NowReinstated
}

// saysNothing tells whether the replicas of a service fail as much, for the node that tells an
// outcome, as a failing replica would: then nothing tells one from the others, be it the
// service or the node's own way to it that fails.
func saysNothing(usual float64) bool { return usualMargin*usual >= unsound }

// weight returns what an outcome adds to the score.
func weight(outcome Outcome, usual float64) float64 {
	granted := max(usualMargin*usual, leastUsual)
	if outcome.Failed() {
		return math.Log(unsound / granted)
	}
	return math.Log((1 - unsound) / (1 - granted))
}

// Probe tells whether a request may try an ejected replica.
type Probe int

// The rights to probe.
const (
	// NoProbe allows none.
	NoProbe Probe = iota
	// SafeProbe allows one that may go to another replica after a failure.
	SafeProbe
	// AnyProbe allows any: no safe one has come for long.
	AnyProbe
)

// Probe returns which request may probe now, where underWay requests of all nodes are at
// the replica: one at a time after a failure, one more with each that was served. Those that
// are stuck there do not count.
func (r *Detector) Probe(underWay int, now time.Duration) Probe {
	pause := r.spreadPause()
	if r.servedInRow > 0 {
		pause = provingPause
	}
	waited, held := now-r.lastAt, grantLife
	if underWay > r.servedInRow {
		pause, held = max(pause, stuck), stuck
	}
	switch {
	case !r.ejected || waited < pause:
		return NoProbe
	case r.granted && now-r.grantedAt < held:
		return NoProbe
	case waited >= pause+safeFirst:
		return AnyProbe
	}
	return SafeProbe
}

// spreadPause returns the pause or up to half as much more, another part after each probe, so
// that probes do not fall into step with a replica that is down and up by turns.
func (r *Detector) spreadPause() time.Duration {
	const goldenPart = math.Phi - 1
	_, part := math.Modf(float64(r.probes) * goldenPart)
	return r.pause + time.Duration(part/2*float64(r.pause))
}

// StartProbe notes that a right to probe is given out.
func (r *Detector) StartProbe(now time.Duration) { r.granted, r.tried, r.grantedAt = true, true, now }

// Reset makes the record that of a sound replica, as a keeper that has heard of all nodes
// tells.
func (r *Detector) Reset() { *r = Detector{} }

// usualWeight is the weight of the newest outcome in a service's usual share of failures.
const usualWeight = 1.0 / 128

// Baseline learns the share of failures of a service's replicas. Its zero value knows none.
type Baseline struct {
	share float64
}

// Add counts an outcome of a request that was no probe.
func (u *Baseline) Add(outcome Outcome) {
	failed := 0.0
	if outcome.Failed() {
		failed = 1
	}
	u.share += usualWeight * (failed - u.share)
}

// FailureRate returns the share of failures.
func (u *Baseline) FailureRate() float64 { return u.share }

// mostEjected is the part of a service's replicas beyond which none is left alone: the
// service fails as a whole, or the rest could not bear the work.
const mostEjected = 0.4

// ExceedsEjectionLimit tells whether ejected of all replicas are more than may be left alone.
func ExceedsEjectionLimit(ejected, all int) bool { return float64(ejected) > mostEjected*float64(all) }
