package balance

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/outlier"
)

// toldLife is how long what a keeper has told of a replica's soundness counts. Afterwards it
// is asked again, which also finds out whether the replica may be probed.
const toldLife = time.Second

// soundness is what this node knows of a replica's soundness. The tracker's mutex guards it.
type soundness struct {
	// own is what this node's requests tell.
	own outlier.Detector
	// toldEjected is what the keeper told last, at toldAt.
	toldEjected bool
	toldAt      time.Duration
}

// standing tells whether the replica is left alone, and the right to probe it where only
// this node's requests tell so.
func (s *soundness) standing(underWay int, now time.Duration) (bool, outlier.Probe) {
	if s.toldEjected && now-s.toldAt <= toldLife {
		return true, outlier.NoProbe
	}
	return s.own.Ejected(), s.own.Probe(underWay, now)
}

// RecordOutcome counts what became of a request at its replica, and tells what that has changed at
// this node alone. A request counts as a failure once.
func (t *Tracker) RecordOutcome(sending *InFlightRequest, outcome outlier.Outcome, now time.Duration) (judged outlier.Transition, counted bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if outcome.Failed() && sending.blamed {
		return outlier.Transition{}, false
	}
	sending.blamed = sending.blamed || outcome.Failed()
	known, usual := &t.record(sending.target.Instance).soundness, t.usualOf(sending.target.Service)
	share := usual.FailureRate()
	if !sending.target.Probe {
		usual.Add(outcome)
	}
	return known.own.Observe(outcome, share, now), true
}

// usualOf needs the mutex.
func (t *Tracker) usualOf(service string) *outlier.Baseline {
	known, found := t.usual[service]
	if !found {
		known = &outlier.Baseline{}
		t.usual[service] = known
	}
	return known
}

// ApplyAggregatedState takes what the keeper of a replica tells of it and returns whether it is left alone,
// and the right to probe it. Where the replica has returned for all nodes, it has for this
// one.
func (t *Tracker) ApplyAggregatedState(instance string, known AggregatedState, now time.Duration) (ejected bool, probe outlier.Probe) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before, found := t.replicas[instance]
	if !found && !known.Ejected {
		return false, outlier.NoProbe
	}
	if !found {
		before = t.record(instance)
	}
	told := &before.soundness
	if known.Ejected {
		told.toldEjected, told.toldAt = true, now
		return true, known.Probe
	}
	if known.Complete && told.toldEjected {
		told.own.Reset()
		told.toldEjected = false
	}
	return told.standing(before.underWay, now)
}

// ResponseTimeout is how long a request may be without an event of a stream, or a whole plain
// answer, until that counts as a failure of the replica; false where the service's usual
// times are not known or others' requests go before. engine tells that it is a stream.
func (t *Tracker) ResponseTimeout(sending *InFlightRequest, engine bool) (time.Duration, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	service := t.service(sending.target.Service)
	usual, learned := sending.expected.FirstMilliseconds, service.HasFirstEventRates()
	if !engine {
		usual, learned = service.Rates().ServiceMilliseconds, service.HasPlainRates()
	}
	if !learned || sending.queued() || sending.target.Cold {
		return 0, false
	}
	const usualTimes = 4
	return max(patience, time.Duration(usualTimes*usual*float64(time.Millisecond))), true
}

// FilterEjected leaves out the ejected candidates, unless too many of all are ejected. learned
// are those of all whose keepers were asked. probe is one that the request is to try in spite
// of its ejection; exposed is as in Need.
func FilterEjected(learned, all []Candidate, exposed bool) (sound []Candidate, probe *Candidate) {
	ejected := lo.CountBy(learned, Candidate.ejected)
	if ejected == 0 {
		return learned, nil
	}
	rest := notAmong(all, learned)
	if outlier.ExceedsEjectionLimit(ejected+lo.CountBy(rest, Candidate.ejected), len(learned)+len(rest)) {
		return learned, nil
	}
	for i := range learned {
		if right := learned[i].Probe; right == outlier.AnyProbe || right == outlier.SafeProbe && !exposed {
			return learned, &learned[i]
		}
	}
	if ejected == len(learned) {
		learned = rest
	}
	return without(learned, Candidate.ejected), nil
}

func (c Candidate) ejected() bool { return c.Ejected }

// notAmong returns the candidates that are not among others.
func notAmong(candidates, others []Candidate) []Candidate {
	return without(candidates, func(candidate Candidate) bool {
		return slices.ContainsFunc(others, func(other Candidate) bool { return other.Instance == candidate.Instance })
	})
}

// without returns the candidates that are not as is tells, and leaves the given ones.
func without(candidates []Candidate, is func(Candidate) bool) []Candidate {
	return lo.Reject(candidates, func(candidate Candidate, _ int) bool { return is(candidate) })
}
