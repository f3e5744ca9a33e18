package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/estimate"
	"stepseam.example/stepseam/internal/outlier"
)

const (
	// minResponseTimeout is the time after which a replica that responds to none of its
	// waiting requests becomes suspect. It also bounds the response timeout from below.
	minResponseTimeout = 600 * time.Millisecond
	// recentFailureTTL is the time after a replica was suspect for which non-retryable
	// requests still avoid it, unless a request has succeeded there.
	recentFailureTTL = 3 * time.Second
	// paceWeight is the weight of the newest stream in the moving average of a replica's
	// time between events.
	paceWeight = 0.2
	// paceQuantileDivisor selects the quantile 1/paceQuantileDivisor of a stream's gaps,
	// from the shortest, as the time between events without prefills of other requests.
	paceQuantileDivisor = 4
	// minEventsForPace is the minimum number of events for a stream's pace to be observed.
	minEventsForPace = 4
)

// Tracker tracks the load, the failures and the speed of replicas, from this node's requests
// and other nodes' reports. It is safe for concurrent use.
type Tracker struct {
	// zone is the zone of this node.
	zone string

	// mutex guards the fields below.
	mutex    sync.Mutex
	replicas map[string]*replicaState
	services map[string]*estimate.Service
	// baselines maps services to their baselines.
	baselines map[string]*outlier.Baseline
	peerLoads peerLoads
}

// replicaState is the state of one replica. Its times are monotonic readings.
type replicaState struct {
	inFlight            int
	consecutiveFailures int
	// pendingTokens counts the uncached prompt tokens of requests without a first event.
	pendingTokens int
	suspectUntil  time.Duration
	// awaitingHeader counts the requests without a response header. noHeaderSince is the
	// time since which none of them got one.
	awaitingHeader int
	noHeaderSince  time.Duration
	// pace is the average time between two events of a stream, in milliseconds; 0 if not
	// known.
	pace         float64
	paceGroup    estimate.Group
	sentSegments sentSegments
	ejection     ejectionState
}

// Target is the replica that a request is sent to.
type Target struct {
	// Instance is the replica's incarnation ID, see fleet.Replica.IncarnationID.
	Instance, Service string
	// Slots is the number of requests it runs concurrently; 0 if not known.
	Slots int
	// Known is the aggregated state that the selection used, or nil.
	Known *AggregatedState
	// Probe reports whether the request probes an ejected replica.
	Probe bool
	// Cold reports whether the replica counts as cold, so that its durations are not
	// representative of the service.
	Cold bool
}

// InFlightRequest is a request at a replica. The tracker's mutex guards pendingTokens and
// failureCounted; the other fields do not change after Begin.
type InFlightRequest struct {
	target   Target
	sentAt   time.Duration
	expected Expected
	// pendingTokens is the number of its pending tokens.
	pendingTokens int
	// failureCounted reports whether it was counted as a failure of the replica.
	failureCounted bool
}

// Expected holds the estimates for a request at the time when it was sent.
type Expected struct {
	// UncachedTokens are the tokens to prefill for the request, TokensAhead those of
	// earlier requests.
	UncachedTokens, TokensAhead int
	// OtherRequests is the number of other requests in flight at the replica.
	OtherRequests int
	// FirstMilliseconds is the time to the first event of a stream.
	FirstMilliseconds float64
}

// Expected returns the estimates made when the request was sent.
func (r *InFlightRequest) Expected() Expected { return r.expected }

// Cold reports whether the replica counted as cold when the request was sent.
func (r *InFlightRequest) Cold() bool { return r.target.Cold }

// tokensToPrefill returns the number of tokens to prefill before the first event.
func (e Expected) tokensToPrefill() int { return e.UncachedTokens + e.TokensAhead }

// NewTracker returns an empty tracker for a node in zone.
func NewTracker(zone string) *Tracker {
	return &Tracker{zone: zone, replicas: map[string]*replicaState{}, services: map[string]*estimate.Service{}, baselines: map[string]*outlier.Baseline{}, peerLoads: newPeerLoads()}
}

// Begin records that a request is sent to a replica. The caller must pass the result to
// Answered and End.
func (t *Tracker) Begin(target Target, prompt Prompt, now time.Duration) *InFlightRequest {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.replica(target.Instance)
	elsewhere, cached := t.peerLoads.load(target.Instance, now), t.cached(target.Instance, prompt)
	if aggregated := target.Known; aggregated != nil && aggregated.Complete {
		elsewhere, cached = aggregated.Load, aggregated.CachedTokens
	}
	expected := Expected{
		UncachedTokens: max(prompt.Tokens-cached, 0),
		TokensAhead:    state.pendingTokens + elsewhere.PendingTokens, OtherRequests: state.inFlight + elsewhere.InFlight,
	}
	rates := t.service(target.Service).Rates()
	expected.FirstMilliseconds = rates.FirstMilliseconds + rates.MillisecondsPerToken*float64(expected.tokensToPrefill())
	state.inFlight++
	state.pendingTokens += expected.UncachedTokens
	if state.awaitingHeader == 0 {
		state.noHeaderSince = now
	}
	state.awaitingHeader++
	if target.Probe {
		state.ejection.detector.StartProbe(now)
	}
	state.sentSegments.add(prompt.Segments)
	return &InFlightRequest{target: target, sentAt: now, expected: expected, pendingTokens: expected.UncachedTokens}
}

// Answered records that a request got its response header or will not get one.
func (t *Tracker) Answered(request *InFlightRequest, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.replica(request.target.Instance)
	state.awaitingHeader--
	state.noHeaderSince = now
}

// FirstEvent records that the first event of a stream arrived, so that its prompt has been
// prefilled.
func (t *Tracker) FirstEvent(request *InFlightRequest, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.replica(request.target.Instance).removePending(request)
	elapsed, service := milliseconds(now-request.sentAt), t.service(request.target.Service)
	switch {
	case request.queued():
	case request.target.Cold:
		service.Cold(elapsed, request.expected.FirstMilliseconds)
	default:
		service.FirstEvent(request.expected.tokensToPrefill(), elapsed)
	}
}

// BodyReceived records that a non-streaming request got its complete response.
func (t *Tracker) BodyReceived(request *InFlightRequest, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	elapsed, service := milliseconds(now-request.sentAt), t.service(request.target.Service)
	switch {
	case request.queued():
	case request.target.Cold:
		service.Cold(elapsed, service.Rates().ServiceMilliseconds)
	default:
		service.Plain(elapsed)
	}
}

// queued reports whether the request had to wait for a slot, so that its duration does not
// reflect the replica's speed.
func (r *InFlightRequest) queued() bool {
	return r.target.Slots > 0 && r.expected.OtherRequests >= r.target.Slots
}

// StreamEnded records the gaps between the events of a stream, and sorts them in place. The
// shorter gaps show the decoding speed at the current concurrency; longer ones also include
// prefills of other requests.
func (t *Tracker) StreamEnded(request *InFlightRequest, gaps []time.Duration, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	service := t.service(request.target.Service)
	service.Events(len(gaps) + 1)
	if len(gaps)+1 < minEventsForPace || request.target.Cold {
		return
	}
	state := t.replica(request.target.Instance)
	concurrent := (request.expected.OtherRequests + state.inFlight + t.peerLoads.load(request.target.Instance, now).InFlight) / 2
	slices.Sort(gaps)
	service.Pace(&state.paceGroup, concurrent, milliseconds(gaps[len(gaps)/paceQuantileDivisor]))
	pace := milliseconds(lo.Sum(gaps)) / float64(len(gaps))
	if state.pace == 0 {
		state.pace = pace
	}
	state.pace += paceWeight * (pace - state.pace)
}

// End records that a request is no longer in flight. failed reports whether the replica or
// the network path to it is at fault.
func (t *Tracker) End(request *InFlightRequest, failed bool, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := t.replica(request.target.Instance)
	state.removePending(request)
	state.inFlight--
	if !failed {
		state.consecutiveFailures = 0
		return
	}
	state.consecutiveFailures++
	state.suspectUntil = now + suspectDuration(state.consecutiveFailures)
}

// removePending removes the pending tokens of a request.
func (r *replicaState) removePending(request *InFlightRequest) {
	r.pendingTokens -= request.pendingTokens
	request.pendingTokens = 0
}

// failedRecently reports whether the replica failed recently and has not succeeded since.
func (r *replicaState) failedRecently(now time.Duration) bool {
	return r.consecutiveFailures > 0 && now < r.suspectUntil+recentFailureTTL
}

func (t *Tracker) replica(instance string) *replicaState {
	state, found := t.replicas[instance]
	if !found {
		state = &replicaState{}
		t.replicas[instance] = state
	}
	return state
}

// service returns the estimates of a service. The caller must hold the mutex.
func (t *Tracker) service(name string) *estimate.Service {
	state, found := t.services[name]
	if !found {
		state = &estimate.Service{}
		t.services[name] = state
	}
	return state
}

// Forget drops the state of a removed replica, unless requests are in flight there.
func (t *Tracker) Forget(instance string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if state, found := t.replicas[instance]; found && state.inFlight == 0 {
		delete(t.replicas, instance)
	}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
