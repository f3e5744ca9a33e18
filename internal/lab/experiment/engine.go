package experiment

import (
	"slices"
	"sort"
	"time"

	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// engine simulates a model engine: a batch that advances in steps with the timing
// of package model, a priority queue and a prefix cache.
type engine struct {
	index      int
	name       string
	zone       int
	parameters model.Parameters
	clock      *clock
	cache      *model.Cache
	// slowdown multiplies the time of every step; 1 is normal speed.
	slowdown float64
	dead     bool
	// waiting is ordered by descending priority, then by arrival.
	waiting []*stream
	running []*stream
	// jump is the sequence of steps in progress. generation invalidates the end
	// event of a jump that was shortened.
	jump       jump
	generation uint64
	// cacheChanged is called after changes of the cache.
	cacheChanged func(*engine)
}

// stream is one call on an engine.
type stream struct {
	key       model.Key
	prompt    []model.Segment
	answer    model.Segment
	maxTokens int
	priority  int
	lease     *model.Lease
	// prefillLeft counts the prompt tokens to prefill; started is set once the fixed
	// overhead of the prefill is accounted for.
	prefillLeft int
	started     bool
	decoded     int
	// beganAt is when the stream entered the batch, prefilledAt when its prefill
	// ended.
	beganAt     time.Duration
	prefilledAt time.Duration
	// done is called at the end of the stream, with false if the engine failed.
	done func(*stream, bool)
	// began is called when the stream enters the batch.
	began func(*stream)
}

// jump is a sequence of count decode steps of an unchanged batch, simulated as one
// event, or a single step that includes prefill.
type jump struct {
	active  bool
	start   time.Duration
	count   int
	batch   int
	context int
	prefill time.Duration
	chunks  []chunk
}

// chunk is the piece of a prompt that one step prefills.
type chunk struct {
	stream *stream
	tokens int
}

func newEngine(index int, zone int, name string, parameters model.Parameters, clock *clock) *engine {
	return &engine{
		index: index, name: name, zone: zone, parameters: parameters, clock: clock,
		cache: model.NewCache(parameters.CacheCapacityTokens), slowdown: 1,
		cacheChanged: func(*engine) {},
	}
}

// submit enqueues a stream. The engine must not be dead.
func (e *engine) submit(s *stream) {
	position := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].priority < s.priority })
	e.waiting = slices.Insert(e.waiting, position, s)
	switch {
	case !e.jump.active:
		e.next()
	case len(e.running) < e.parameters.MaxBatch:
		e.cutShort()
	}
}

// next admits waiting streams and starts the next jump.
func (e *engine) next() {
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.jump = e.plan()
	e.schedule()
}

// admit moves waiting streams into the batch, highest priority first. A stream that
// does not fit into the cache blocks those behind it, so that large prompts don't
// starve.
func (e *engine) admit() {
	admitted := 0
	for admitted < len(e.waiting) && len(e.running) < e.parameters.MaxBatch {
		s := e.waiting[admitted]
		lease, fits := e.cache.Begin(s.key, s.prompt, s.maxTokens)
		if !fits {
			break
		}
		admitted++
		s.lease = lease
		s.prefillLeft = lease.PromptTokens - lease.Cached
		s.beganAt = e.clock.now
		e.running = append(e.running, s)
		s.began(s)
	}
	if admitted > 0 {
		e.waiting = slices.Delete(e.waiting, 0, admitted)
		e.cacheChanged(e)
	}
}

// plan returns the next jump: one step that combines prefill chunks with the
// decoding batch, or the decode-only steps until the first stream finishes.
func (e *engine) plan() jump {
	next := jump{active: true, start: e.clock.now, count: 1}
	budget := e.parameters.PrefillChunkTokens
	shortest := 0
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			tokens := min(s.prefillLeft, budget)
			if tokens == 0 {
				continue
			}
			budget -= tokens
			next.chunks = append(next.chunks, chunk{s, tokens})
			next.prefill += e.parameters.PrefillTime(tokens)
			if s.started {
				next.prefill -= e.parameters.PrefillOverhead
			}
			s.started = true
			continue
		}
		next.batch++
		next.context += s.lease.PromptTokens + s.decoded
		left := s.answer.Tokens - s.decoded
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	if len(next.chunks) == 0 {
		next.count = shortest
	}
	return next
}

// elapsed returns the duration of the first count steps of j.
func (e *engine) elapsed(j *jump, count int) time.Duration {
	first := e.parameters.DecodeStep(j.batch, j.context)
	total := time.Duration(count) * first
	growth := float64(j.batch) * float64(count) * float64(count-1) / 2 / 1000
	total += time.Duration(growth * float64(e.parameters.DecodePerThousandContextTokens))
	return time.Duration(float64(total+j.prefill) * e.slowdown)
}

func (e *engine) schedule() {
	e.generation++
	generation := e.generation
	end := e.jump.start + e.elapsed(&e.jump, e.jump.count)
	e.clock.after(end-e.clock.now, func() {
		if generation == e.generation {
			e.finishJump()
		}
	})
}

// cutShort ends the jump after the current step, so that a new stream can be
// admitted.
func (e *engine) cutShort() {
	if e.jump.count == 1 {
		return
	}
	passed := e.clock.now - e.jump.start
	steps := sort.Search(e.jump.count, func(n int) bool { return e.elapsed(&e.jump, n) > passed })
	e.jump.count = max(min(steps, e.jump.count), 1)
	e.schedule()
}

// finishJump applies the completed steps and ends the streams that are complete.
func (e *engine) finishJump() {
	j := e.jump
	e.jump = jump{}
	prefilling := map[*stream]bool{}
	for _, part := range j.chunks {
		prefilling[part.stream] = true
		part.stream.prefillLeft -= part.tokens
		if part.stream.prefillLeft == 0 {
			part.stream.prefilledAt = e.clock.now
		}
	}
	var ended []*stream
	still := e.running[:0]
	for _, s := range e.running {
		if s.prefillLeft == 0 && !prefilling[s] {
			s.decoded += j.count
		}
		if s.prefillLeft == 0 && s.decoded >= s.answer.Tokens {
			ended = append(ended, s)
			continue
		}
		still = append(still, s)
	}
	e.running = still
	for _, s := range ended {
		e.cache.End(s.lease, true, s.answer)
	}
	if len(ended) > 0 {
		e.cacheChanged(e)
	}
	e.next()
	for _, s := range ended {
		s.done(s, true)
	}
}

// release evicts the prefix of a branch from the cache.
func (e *engine) release(key model.Key) {
	if e.dead {
		return
	}
	e.cache.Release(key.Program, key.Branch)
	e.cacheChanged(e)
}

// kill fails all streams and empties the cache.
func (e *engine) kill() {
	e.dead = true
	e.generation++
	e.jump = jump{}
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, held := range e.cache.Held() {
		e.cache.Release(held.Key.Program, held.Key.Branch)
	}
	for _, s := range lost {
		if s.lease != nil {
			e.cache.End(s.lease, false)
		}
	}
	e.cacheChanged(e)
	for _, s := range lost {
		s.done(s, false)
	}
}

// revive restarts the engine with an empty cache.
func (e *engine) revive() { e.dead = false }
