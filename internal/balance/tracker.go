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
	// patience is how long requests may wait at a replica without any of them
	// getting an answer, before it is avoided.
	patience = 600 * time.Millisecond
	// unprovenLife is how long after a replica was avoided requests that a failure
	// would fail leave it to others, unless one has been served there.
	unprovenLife = 3 * time.Second
	// paceWeight is the weight of the newest stream in a replica's usual pace.
	paceWeight = 0.2
	// undisturbedPart is the part of a stream's pauses, from the shortest on, in which
	// the replica is taken to read no prompt of another request.
	undisturbedPart = 4
	// leastEvents is how many events a stream must have to tell the pace.
	leastEvents = 4
)

// Tracker holds what this node knows of replicas. It is safe for concurrent use.
type Tracker struct {
	// zone is this node's own.
	zone string

	// mutex guards all below.
	mutex    sync.Mutex
	replicas map[string]*record
	services map[string]*estimate.Service
	// usual holds the services' usual shares of failures.
	usual map[string]*outlier.Baseline
	heard heard
}

// record is what is known of one replica.
type record struct {
	underWay int
	failures int
	// unread counts the prompt tokens of requests without a first event that the
	// replica is taken not to hold.
	unread int
	// suspectUntil is a monotonic reading.
	suspectUntil time.Duration
	// waiting is how many requests have got no answer yet; since when none of them
	// has is waitingSince.
	waiting      int
	waitingSince time.Duration
	// pace is the usual time between two events of a stream there, in milliseconds;
	// 0 if not known.
	pace    float64
	stream  estimate.Group
	prompts promptMemory
	// soundness is what outcomes tell of it.
	soundness soundness
}

// Target is a replica that a request goes to.
type Target struct {
	// Instance names the life of the replica, see fleet.Replica.Life.
	Instance, Service string
	// Slots is how many requests it runs at once; 0 if not known.
	Slots int
	// Known is what its keeper has told for the choice, or nil.
	Known *AggregatedState
	// Probe tells that the request tries an ejected replica.
	Probe bool
	// Cold tells that the replica counts as cold, so that its times say nothing of the
	// service's others.
	Cold bool
}

// InFlightRequest is a request at a replica. Its fields but unread and blamed are set by Begin; the
// tracker's mutex guards these.
type InFlightRequest struct {
	target   Target
	began    time.Duration
	expected Expected
	// unread is how much of its prompt the replica has yet to read, in tokens.
	unread int
	// blamed tells that it has counted as a failure of the replica.
	blamed bool
}

// Expected tells what was believed of the replica when the request went there.
type Expected struct {
	// UncachedTokens are to be read for the request, TokensAhead before it.
	UncachedTokens, TokensAhead int
	// OtherRequests is how many requests are under way there.
	OtherRequests int
	// FirstMilliseconds is the time to the first event of a stream.
	FirstMilliseconds float64
}

// Expected returns what was believed of the replica.
func (s *InFlightRequest) Expected() Expected { return s.expected }

// Cold tells whether the replica counted as cold when the request went there.
func (s *InFlightRequest) Cold() bool { return s.target.Cold }

// toRead is how many tokens the replica was to read until the first event.
func (e Expected) toRead() int { return e.UncachedTokens + e.TokensAhead }

// NewTracker returns a tracker of a node in zone.
func NewTracker(zone string) *Tracker {
	return &Tracker{zone: zone, replicas: map[string]*record{}, services: map[string]*estimate.Service{}, usual: map[string]*outlier.Baseline{}, heard: newHeard()}
}

// Begin notes that a request goes to a replica. End must be called with what it
// returns.
func (t *Tracker) Begin(target Target, prompt Prompt, now time.Duration) *InFlightRequest {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.record(target.Instance)
	elsewhere, cached := t.heard.load(target.Instance, now), t.cached(target.Instance, prompt)
	if told := target.Known; told != nil && told.Complete {
		elsewhere, cached = told.Load, told.CachedTokens
	}
	expected := Expected{
		UncachedTokens: max(prompt.Tokens-cached, 0),
		TokensAhead:    known.unread + elsewhere.PendingTokens, OtherRequests: known.underWay + elsewhere.InFlight,
	}
	rates := t.service(target.Service).Rates()
	expected.FirstMilliseconds = rates.FirstMilliseconds + rates.MillisecondsPerToken*float64(expected.toRead())
	known.underWay++
	known.unread += expected.UncachedTokens
	if known.waiting == 0 {
		known.waitingSince = now
	}
	known.waiting++
	if target.Probe {
		known.soundness.own.StartProbe(now)
	}
	known.prompts.remember(prompt.Segments)
	return &InFlightRequest{target: target, began: now, expected: expected, unread: expected.UncachedTokens}
}

// Answered notes that a request has got the head of an answer, or none will come.
func (t *Tracker) Answered(sending *InFlightRequest, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.record(sending.target.Instance)
	known.waiting--
	known.waitingSince = now
}

// FirstEvent notes that the replica has read a request's prompt.
func (t *Tracker) FirstEvent(sending *InFlightRequest, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.record(sending.target.Instance).read(sending)
	took, service := milliseconds(now-sending.began), t.service(sending.target.Service)
	switch {
	case sending.queued():
	case sending.target.Cold:
		service.Cold(took, sending.expected.FirstMilliseconds)
	default:
		service.FirstEvent(sending.expected.toRead(), took)
	}
}

// BodyReceived notes that a plain request has got its whole answer.
func (t *Tracker) BodyReceived(sending *InFlightRequest, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	took, service := milliseconds(now-sending.began), t.service(sending.target.Service)
	switch {
	case sending.queued():
	case sending.target.Cold:
		service.Cold(took, service.Rates().ServiceMilliseconds)
	default:
		service.Plain(took)
	}
}

// queued tells whether the request waited for a slot, so that its time says little of
// the replica's speed.
func (s *InFlightRequest) queued() bool {
	return s.target.Slots > 0 && s.expected.OtherRequests >= s.target.Slots
}

// StreamEnded notes how long the pauses between the events of a stream were. The shorter
// ones tell how fast the replica writes for as many requests as run there; in the
// longer ones it reads prompts of others besides.
func (t *Tracker) StreamEnded(sending *InFlightRequest, gaps []time.Duration, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	service := t.service(sending.target.Service)
	service.Events(len(gaps) + 1)
	if len(gaps)+1 < leastEvents || sending.target.Cold {
		return
	}
	known := t.record(sending.target.Instance)
	beside := (sending.expected.OtherRequests + known.underWay + t.heard.load(sending.target.Instance, now).InFlight) / 2
	slices.Sort(gaps)
	service.Pace(&known.stream, beside, milliseconds(gaps[len(gaps)/undisturbedPart]))
	pace := milliseconds(lo.Sum(gaps)) / float64(len(gaps))
	if known.pace == 0 {
		known.pace = pace
	}
	known.pace += paceWeight * (pace - known.pace)
}

// End notes that a request has left its replica. failed tells that the replica, or
// the way to it, is at fault.
func (t *Tracker) End(sending *InFlightRequest, failed bool, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.record(sending.target.Instance)
	known.read(sending)
	known.underWay--
	if !failed {
		known.failures = 0
		return
	}
	known.failures++
	known.suspectUntil = now + suspicion(known.failures)
}

// read takes off what a request has still had to read.
func (r *record) read(sending *InFlightRequest) {
	r.unread -= sending.unread
	sending.unread = 0
}

// unproven tells whether the replica has failed lately and not served since.
func (r *record) unproven(now time.Duration) bool {
	return r.failures > 0 && now < r.suspectUntil+unprovenLife
}

func (t *Tracker) record(instance string) *record {
	known, found := t.replicas[instance]
	if !found {
		known = &record{}
		t.replicas[instance] = known
	}
	return known
}

// service needs the mutex.
func (t *Tracker) service(name string) *estimate.Service {
	known, found := t.services[name]
	if !found {
		known = &estimate.Service{}
		t.services[name] = known
	}
	return known
}

// Forget drops a replica that is gone, unless requests are under way there.
func (t *Tracker) Forget(instance string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, found := t.replicas[instance]; found && known.underWay == 0 {
		delete(t.replicas, instance)
	}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
