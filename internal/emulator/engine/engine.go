// Package engine emulates a model engine: an in-process core that implements
// backend.Engine, and an HTTP server for it (NewServer).
//
// The core batches continuously, caches prompt prefixes in limited memory, honours
// priorities, resumes and cancels streams, and transfers KV cache, with the timing of
// package model. Its answers are a function of model, messages and seed, so that
// repeating a call gives the same tokens. All time goes through package time, so it runs
// in a synctest bubble. SetFaults and Restart inject faults; Truth returns the engine's
// own record for checkers.
//
// One mutex guards the whole state. A goroutine runs the batch while there is work and
// ends when there is none. Close ends it in any case; a bubble with a frozen or busy
// engine must call Close.
package engine

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/engine/model"
	"stepseam.example/stepseam/internal/identity"
)

// Engine emulates one model engine. It is safe for concurrent use.
type Engine struct {
	parameters Parameters

	mutex  sync.Mutex
	random *rand.Rand
	// incarnation is closed when the engine's incarnation ends, by Restart or Close; work that
	// began in an earlier incarnation is discarded.
	incarnation chan struct{}
	cache       *model.Cache
	streams     map[identity.StreamID]*stream
	// finished and cancelled hold stream ids ordered by time, for expiry.
	finished  []remembered
	cancelled []remembered
	tombs     map[identity.StreamID]struct{}
	waiting   []*stream
	running   []*stream
	working   bool
	arrivals  uint64
	draining  bool
	models    map[string]string
	adapters  map[string]string
	role      string
	// modelNames and adapterNames are the sorted keys, replaced as a whole.
	modelNames   []string
	adapterNames []string
	// fence is the highest fence seen; latest is the last order accepted per subject;
	// loading holds the loads in progress.
	fence     uint64
	latest    map[string]backend.Order
	loading   map[backend.Order]chan struct{}
	reports   []backend.LoadReport
	events    []publishedEvent
	nextEvent uint64
	faults    Faults
	// thawed is closed when a freeze ends; inbox holds the requests that arrived during
	// it.
	thawed chan struct{}
	inbox  []func()
	// broken is closed when connections break: at Down, Restart and Close.
	broken chan struct{}
	closed bool
	record recorder
}

type remembered struct {
	stream identity.StreamID
	at     time.Time
}

// New returns an idle engine.
func New(parameters Parameters) (*Engine, error) {
	if err := parameters.Validate(); err != nil {
		return nil, err
	}
	e := &Engine{
		parameters: parameters,
		random:     rand.New(rand.NewPCG(parameters.Seed, xxhash.Sum64String(parameters.Name))),
		broken:     make(chan struct{}),
		record:     recorder{limit: parameters.MaxTruth},
	}
	e.reset()
	return e, nil
}

// reset initializes the state of a new incarnation.
func (e *Engine) reset() {
	e.incarnation = make(chan struct{})
	e.cache = model.NewCache(e.parameters.Timing.CacheCapacityTokens)
	e.streams = map[identity.StreamID]*stream{}
	e.tombs = map[identity.StreamID]struct{}{}
	e.finished, e.cancelled = nil, nil
	e.waiting, e.running = nil, nil
	e.working = false
	e.draining = false
	e.models = namesToVersions(e.parameters.Models)
	e.adapters = namesToVersions(e.parameters.Adapters)
	e.role = e.parameters.Role
	e.fence = 0
	e.latest = map[string]backend.Order{}
	e.loading = map[backend.Order]chan struct{}{}
	e.noteNames()
	e.reports, e.events = nil, nil
	// Event numbers start at the current time, so that they increase across restarts.
	e.nextEvent = uint64(time.Now().UnixNano())
	e.noteLoad()
}

func namesToVersions(names []string) map[string]string {
	versions := map[string]string{}
	for _, name := range names {
		versions[name] = ""
	}
	return versions
}

func (e *Engine) noteNames() {
	e.modelNames = slices.Sorted(maps.Keys(e.models))
	e.adapterNames = slices.Sorted(maps.Keys(e.adapters))
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.parameters.Name }

// Close ends all streams and rejects all further requests.
func (e *Engine) Close() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	close(e.incarnation)
	e.loseStreams()
	e.breakConnections()
	e.thaw()
}

// SetDraining sets whether the engine rejects new work while it finishes the streams in
// flight.
func (e *Engine) SetDraining(draining bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.draining = draining
	e.noteLoad()
}

// Truth returns a copy of the engine's record.
func (e *Engine) Truth() Truth {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.record.truth(e.parameters.Name, e.held())
}

// Generate implements backend.Engine.
func (e *Engine) Generate(ctx context.Context, request backend.GenerateRequest, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	running, err := e.start(ctx, request)
	if err != nil {
		return backend.GenerateResult{}, err
	}
	result, err := e.follow(ctx, running, 0, onToken)
	if err != nil {
		return result, fmt.Errorf("engine %s: generate %s: %w", e.parameters.Name, request.Stream, err)
	}
	return result, nil
}

// start delivers a stream to the engine and returns the function that follows it.
func (e *Engine) start(ctx context.Context, request backend.GenerateRequest) (*stream, error) {
	running, err := deliver(ctx, e, func() (*stream, error) { return e.arrive(request) })
	if err != nil {
		return nil, fmt.Errorf("engine %s: generate %s: %w", e.parameters.Name, request.Stream, err)
	}
	return running, nil
}

// Resume implements backend.Engine.
func (e *Engine) Resume(ctx context.Context, id identity.StreamID, from int, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	known, err := e.find(ctx, id)
	if err != nil {
		return backend.GenerateResult{}, err
	}
	result, err := e.follow(ctx, known, from, onToken)
	if err != nil {
		return result, fmt.Errorf("engine %s: resume %s: %w", e.parameters.Name, id, err)
	}
	return result, nil
}

// find returns a stream that runs or finished within the retention.
func (e *Engine) find(ctx context.Context, id identity.StreamID) (*stream, error) {
	known, err := deliver(ctx, e, func() (*stream, error) {
		e.forget()
		if _, cancelled := e.tombs[id]; cancelled {
			return nil, backend.ErrStreamCancelled
		}
		if found, exists := e.streams[id]; exists {
			return found, nil
		}
		return nil, backend.ErrStreamUnknown
	})
	if err != nil {
		return nil, fmt.Errorf("engine %s: resume %s: %w", e.parameters.Name, id, err)
	}
	return known, nil
}

// Cancel implements backend.Engine.
func (e *Engine) Cancel(ctx context.Context, id identity.StreamID) error {
	_, err := deliver(ctx, e, func() (none, error) {
		e.forget()
		if _, cancelled := e.tombs[id]; !cancelled {
			e.tombs[id] = struct{}{}
			e.cancelled = append(e.cancelled, remembered{stream: id, at: time.Now()})
		}
		if known, exists := e.streams[id]; exists {
			e.stop(known, OutcomeCancelled, backend.ErrStreamCancelled)
			delete(e.streams, id)
		}
		return none{}, nil
	})
	if err != nil {
		return fmt.Errorf("engine %s: cancel %s: %w", e.parameters.Name, id, err)
	}
	return nil
}

// arrive accepts a stream, or joins the running one with the same id.
func (e *Engine) arrive(request backend.GenerateRequest) (*stream, error) {
	e.forget()
	segments := model.Segments(request.Messages)
	digest := digestOf(request, segments)
	if known, exists := e.streams[request.Stream]; exists {
		if known.digest != digest {
			return nil, fmt.Errorf("%w: the stream stands with another request", backend.ErrRefused)
		}
		return known, nil
	}
	arrival := e.recordArrival(request, segments, digest)
	if err := e.refusal(request, segments); err != nil {
		arrival.Outcome, arrival.Reason, arrival.Ended = OutcomeRefused, err.Error(), arrival.Arrived
		return nil, err
	}
	writer := model.NewWriter(request.Model, request.Adapter, request.Messages, request.Seed)
	wanted := min(writer.Length(e.parameters.ShortestAnswer, e.parameters.LongestAnswer), request.MaxTokens)
	arrived := &stream{
		request: request, segments: segments, digest: digest, number: arrival.Number,
		writer: writer, wanted: wanted, record: arrival,
	}
	arrived.prefill = arrival.PromptTokens - e.cache.Match(arrived.key(), segments)
	e.streams[request.Stream] = arrived
	e.waiting = append(e.waiting, arrived)
	e.noteLoad()
	e.work()
	return arrived, nil
}

func digestOf(request backend.GenerateRequest, segments []model.Segment) uint64 {
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%q %q %d %d", request.Model, request.Adapter, request.MaxTokens, request.Seed)
	for _, segment := range segments {
		_, _ = fmt.Fprintf(hash, " %d", segment.Digest)
	}
	return hash.Sum64()
}

func (e *Engine) recordArrival(request backend.GenerateRequest, segments []model.Segment, digest uint64) *Arrival {
	e.arrivals++
	arrival := &Arrival{
		Number: e.arrivals, Stream: request.Stream, Model: request.Model, Digest: Digest(digest),
		Priority: request.Priority, PromptTokens: model.CountTokens(segments),
		Arrived: time.Now(), Outcome: OutcomeRunning,
	}
	for _, segment := range segments {
		arrival.Messages = append(arrival.Messages, Digest(segment.Digest))
	}
	e.record.arrive(arrival)
	return arrival
}

// refusal returns the reason for rejecting a new stream, or nil.
func (e *Engine) refusal(request backend.GenerateRequest, segments []model.Segment) error {
	if _, cancelled := e.tombs[request.Stream]; cancelled {
		return backend.ErrStreamCancelled
	}
	if e.draining {
		return fmt.Errorf("%w: %w", backend.ErrRefused, backend.ErrDraining)
	}
	if _, loaded := e.models[request.Model]; !loaded {
		return fmt.Errorf("%w: model %q is not loaded", backend.ErrRefused, request.Model)
	}
	if _, loaded := e.adapters[request.Adapter]; !loaded && request.Adapter != "" {
		return fmt.Errorf("%w: adapter %q is not loaded", backend.ErrRefused, request.Adapter)
	}
	if request.MaxTokens < 1 || len(segments) == 0 {
		return fmt.Errorf("%w: a request needs a message and max_tokens of at least 1", backend.ErrRefused)
	}
	if tokens := model.CountTokens(segments) + request.MaxTokens; tokens > e.cache.Capacity() {
		return fmt.Errorf("%w: %d tokens are more than the memory of %d", backend.ErrRefused, tokens, e.cache.Capacity())
	}
	if len(e.waiting) >= e.parameters.MaxWaiting {
		return fmt.Errorf("%w: %d streams wait already", backend.ErrRefused, len(e.waiting))
	}
	return nil
}

// stop ends a stream without an answer. A computed prompt stays in the cache.
func (e *Engine) stop(s *stream, outcome Outcome, reason error) {
	if s.ended {
		return
	}
	if s.lease != nil {
		e.cache.End(s.lease, s.prefill == 0 && s.overhead == 0)
		e.noteCache()
	}
	is := func(other *stream) bool { return other == s }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.running = slices.DeleteFunc(e.running, is)
	e.end(s, outcome, reason)
}

func (e *Engine) end(s *stream, outcome Outcome, reason error) {
	s.ended, s.endedAt, s.err = true, time.Now(), reason
	s.record.Ended, s.record.Outcome, s.record.Tokens = s.endedAt, outcome, len(s.tokens)
	s.wake()
	e.noteLoad()
}

// forget removes finished and cancelled streams past their retention.
func (e *Engine) forget() {
	now := time.Now()
	e.finished = expire(e.finished, now.Add(-e.parameters.StreamRetention), e.parameters.MaxRemembered, func(id identity.StreamID) {
		delete(e.streams, id)
	})
	e.cancelled = expire(e.cancelled, now.Add(-e.parameters.CancelRetention), e.parameters.MaxRemembered, func(id identity.StreamID) {
		delete(e.tombs, id)
	})
}

func expire(list []remembered, before time.Time, limit int, drop func(identity.StreamID)) []remembered {
	for len(list) > 0 && (len(list) > limit || list[0].at.Before(before)) {
		drop(list[0].stream)
		list = list[1:]
	}
	return list
}
