package engine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// step is the work of one iteration of the batch.
type step struct {
	incarnation <-chan struct{}
	duration    time.Duration
	decoding    []*stream
	prefilling  []prefillShare
}

type prefillShare struct {
	stream *stream
	tokens int
}

// work starts the batch goroutine unless it runs. The caller holds the mutex.
func (e *Engine) work() {
	if e.working || e.closed {
		return
	}
	e.working = true
	go e.runBatch(e.incarnation)
}

// runBatch runs iterations until no work is left or this incarnation ends.
func (e *Engine) runBatch(incarnation <-chan struct{}) {
	for {
		next, more := e.beginStep(incarnation)
		if !more {
			return
		}
		if !sleep(incarnation, next.duration) || !e.awaitThaw(incarnation) {
			return
		}
		e.finishStep(next)
	}
}

// sleep waits for duration. It returns false if the incarnation ended first.
func sleep(incarnation <-chan struct{}, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-incarnation:
		return false
	}
}

// over reports whether the incarnation has ended.
func over(incarnation <-chan struct{}) bool {
	select {
	case <-incarnation:
		return true
	default:
		return false
	}
}

// awaitThaw waits while the engine is frozen. It returns false if the incarnation has
// ended.
func (e *Engine) awaitThaw(incarnation <-chan struct{}) bool {
	for {
		e.mutex.Lock()
		thawed := e.thawed
		e.mutex.Unlock()
		if over(incarnation) {
			return false
		}
		if thawed == nil {
			return true
		}
		select {
		case <-thawed:
		case <-incarnation:
		}
	}
}

func (e *Engine) beginStep(incarnation <-chan struct{}) (step, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if over(incarnation) {
		return step{}, false
	}
	e.admit()
	if len(e.running) == 0 {
		e.working = false
		return step{}, false
	}
	timing := e.parameters.Timing
	next := step{incarnation: incarnation}
	chunk, context := timing.PrefillChunkTokens, 0
	for _, s := range e.running {
		if s.prefill == 0 && s.overhead == 0 {
			next.decoding = append(next.decoding, s)
			context += s.lease.PromptTokens + len(s.tokens)
			continue
		}
		if chunk == 0 {
			continue
		}
		share := min(chunk, s.prefill)
		chunk -= share
		next.duration += s.overhead + timing.PrefillTime(share) - min(timing.PrefillOverhead, timing.PrefillTime(share))
		s.overhead = 0
		next.prefilling = append(next.prefilling, prefillShare{stream: s, tokens: share})
	}
	next.duration += timing.DecodeStep(len(next.decoding), context)
	if e.faults.Slow > 1 {
		next.duration = time.Duration(float64(next.duration) * e.faults.Slow)
	}
	return next, true
}

// admit moves waiting streams into the batch in their order. A stream that does not fit
// blocks those behind it, since a long prompt would otherwise starve.
func (e *Engine) admit() {
	if len(e.waiting) == 0 {
		return
	}
	slices.SortStableFunc(e.waiting, (*stream).runsBefore)
	before := len(e.running)
	for len(e.waiting) > 0 && len(e.running) < e.parameters.Timing.MaxBatch {
		first := e.waiting[0]
		lease, fits := e.cache.Begin(first.key(), first.segments, first.request.MaxTokens)
		if !fits {
			break
		}
		e.waiting = e.waiting[1:]
		first.lease = lease
		first.prefill = lease.PromptTokens - lease.Cached
		first.overhead = e.parameters.Timing.PrefillOverhead
		first.record.Started, first.record.CachedTokens = time.Now(), lease.Cached
		e.running = append(e.running, first)
	}
	if len(e.running) > before {
		e.noteCache()
		e.noteLoad()
	}
}

func (e *Engine) finishStep(done step) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if over(done.incarnation) {
		return
	}
	for _, share := range done.prefilling {
		if !share.stream.ended {
			share.stream.prefill -= share.tokens
			e.record.totals.PrefilledTokens += share.tokens
		}
	}
	for _, s := range done.decoding {
		if s.ended {
			continue
		}
		s.tokens = append(s.tokens, s.writer.Next())
		e.record.totals.Tokens++
		if len(s.tokens) >= s.wanted {
			e.finish(s)
			continue
		}
		s.wake()
	}
	e.noteLoad()
}

// finish ends a stream whose answer is complete and stores its prefix in the cache.
func (e *Engine) finish(s *stream) {
	result := s.result()
	e.cache.End(s.lease, true, model.AnswerSegment(result.Text))
	e.running = slices.DeleteFunc(e.running, func(other *stream) bool { return other == s })
	e.end(s, OutcomeFinished, nil)
	e.finished = append(e.finished, remembered{stream: s.request.Stream, at: s.endedAt})
	e.noteCache()
}

// follow passes the tokens of s from index from onwards to onToken until s ends.
func (e *Engine) follow(ctx context.Context, s *stream, from int, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	next := max(from, 0)
	for {
		news := e.news(s, next)
		for _, text := range news.tokens {
			if onToken != nil {
				if err := onToken(backend.Token{Index: next, Text: text}); err != nil {
					return backend.GenerateResult{}, err
				}
			}
			next++
		}
		if news.lost {
			return backend.GenerateResult{}, fmt.Errorf("%w: the answer was lost", backend.ErrOutcomeUnknown)
		}
		if news.ended {
			return news.result, news.err
		}
		if len(news.tokens) > 0 {
			continue
		}
		select {
		case <-news.changed:
		case <-news.broken:
			return backend.GenerateResult{}, backend.ErrOutcomeUnknown
		case <-ctx.Done():
			return backend.GenerateResult{}, errors.Join(backend.ErrOutcomeUnknown, ctx.Err())
		}
	}
}

// streamNews is what a follower reads under one lock.
type streamNews struct {
	tokens  []string
	ended   bool
	lost    bool
	result  backend.GenerateResult
	err     error
	changed <-chan struct{}
	broken  <-chan struct{}
}

func (e *Engine) news(s *stream, next int) streamNews {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.faults.Down || e.closed {
		return streamNews{lost: true}
	}
	news := streamNews{changed: e.thawed, broken: e.broken}
	if e.thawed != nil {
		return news // nothing advances until the thaw
	}
	if next < len(s.tokens) {
		news.tokens = slices.Clone(s.tokens[next:])
	}
	news.ended, news.err = s.ended, s.err
	if s.ended && s.err == nil {
		news.result = s.result()
		news.lost = e.loseAnswer()
	}
	if s.ended && s.err != nil {
		news.tokens = nil
	}
	if !s.ended {
		news.changed = s.wait()
	}
	return news
}
