package balance

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/outlier"
)

// aggregatedEjectionTTL is the TTL of an ejection reported by an aggregator. After it the
// replica is a candidate again, so that its aggregator is queried and can grant a probe.
const aggregatedEjectionTTL = time.Second

// ejectionState is the ejection state of a replica at this node. The tracker's mutex
// guards it.
type ejectionState struct {
	// detector is fed with the outcomes of this node's requests.
	detector outlier.Detector
	// aggregatedEjected is the state last reported by the aggregator, at aggregatedAt.
	aggregatedEjected bool
	aggregatedAt      time.Duration
}

// status reports whether the replica is ejected. If the ejection rests only on this
// node's own requests, it also returns the probe permission.
func (s *ejectionState) status(inFlight int, now time.Duration) (bool, outlier.Probe) {
	if s.aggregatedEjected && now-s.aggregatedAt <= aggregatedEjectionTTL {
		return true, outlier.NoProbe
	}
	return s.detector.Ejected(), s.detector.Probe(inFlight, now)
}

// RecordOutcome counts the outcome of a request and returns the transition of this node's
// own detector. At most one failure is counted per request; counted is false for others.
func (t *Tracker) RecordOutcome(request *InFlightRequest, outcome outlier.Outcome, now time.Duration) (transition outlier.Transition, counted bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if outcome.Failed() && request.failureCounted {
		return outlier.Transition{}, false
	}
	request.failureCounted = request.failureCounted || outcome.Failed()
	state, baseline := &t.replica(request.target.Instance).ejection, t.baselineOf(request.target.Service)
	rate := baseline.FailureRate()
	if !request.target.Probe {
		baseline.Add(outcome)
	}
	return state.detector.Observe(outcome, rate, now), true
}

// baselineOf returns the baseline of a service. The caller must hold the mutex.
func (t *Tracker) baselineOf(service string) *outlier.Baseline {
	baseline, found := t.baselines[service]
	if !found {
		baseline = &outlier.Baseline{}
		t.baselines[service] = baseline
	}
	return baseline
}

// ApplyAggregatedState applies the state reported by a replica's aggregator and returns
// whether the replica is ejected, and the probe permission. A replica reinstated by the
// aggregator is reinstated at this node too.
func (t *Tracker) ApplyAggregatedState(instance string, reported AggregatedState, now time.Duration) (ejected bool, probe outlier.Probe) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state, found := t.replicas[instance]
	if !found && !reported.Ejected {
		return false, outlier.NoProbe
	}
	if !found {
		state = t.replica(instance)
	}
	ejection := &state.ejection
	if reported.Ejected {
		ejection.aggregatedEjected, ejection.aggregatedAt = true, now
		return true, reported.Probe
	}
	if reported.Complete && ejection.aggregatedEjected {
		ejection.detector.Reset()
		ejection.aggregatedEjected = false
	}
	return ejection.status(state.inFlight, now)
}

// ResponseTimeout returns the time within which the first event of a stream, or the whole
// response of a non-streaming request, must arrive before the replica counts as failed. It
// returns false if the typical time is not known or the request may have to queue. engine
// reports whether the request is a stream.
func (t *Tracker) ResponseTimeout(request *InFlightRequest, engine bool) (time.Duration, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	service := t.service(request.target.Service)
	typical, learned := request.expected.FirstMilliseconds, service.HasFirstEventRates()
	if !engine {
		typical, learned = service.Rates().ServiceMilliseconds, service.HasPlainRates()
	}
	if !learned || request.queued() || request.target.Cold {
		return 0, false
	}
	const typicalFactor = 4
	return max(minResponseTimeout, time.Duration(typicalFactor*typical*float64(time.Millisecond))), true
}

// FilterEjected drops the ejected candidates, unless too many of all are ejected. queried
// are the candidates whose aggregators were queried. If probe is not nil, the request must
// probe that ejected candidate. notRetryable is as in Requirements.NotRetryable.
func FilterEjected(queried, all []Candidate, notRetryable bool) (healthy []Candidate, probe *Candidate) {
	ejected := lo.CountBy(queried, Candidate.ejected)
	if ejected == 0 {
		return queried, nil
	}
	rest := difference(all, queried)
	if outlier.ExceedsEjectionLimit(ejected+lo.CountBy(rest, Candidate.ejected), len(queried)+len(rest)) {
		return queried, nil
	}
	for i := range queried {
		if permission := queried[i].Probe; permission == outlier.AnyProbe || permission == outlier.SafeProbe && !notRetryable {
			return queried, &queried[i]
		}
	}
	if ejected == len(queried) {
		queried = rest
	}
	return without(queried, Candidate.ejected), nil
}

func (c Candidate) ejected() bool { return c.Ejected }

// difference returns the candidates that others does not contain.
func difference(candidates, others []Candidate) []Candidate {
	return without(candidates, func(candidate Candidate) bool {
		return slices.ContainsFunc(others, func(other Candidate) bool { return other.Instance == candidate.Instance })
	})
}

// without returns the candidates for which is returns false. It does not modify its input.
func without(candidates []Candidate, is func(Candidate) bool) []Candidate {
	return lo.Reject(candidates, func(candidate Candidate, _ int) bool { return is(candidate) })
}
