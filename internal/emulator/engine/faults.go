package engine

import (
	"context"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/backend"
)

// Faults are what is wrong with an engine. The zero value is a sound engine.
type Faults struct {
	// Down: requests do not arrive (ErrNotDelivered), answers under way break.
	// What runs inside runs on.
	Down bool `json:"down,omitempty"`
	// Frozen: nothing moves. What arrives waits at the engine and takes effect
	// after the thaw, also if its sender gave up meanwhile.
	Frozen bool `json:"frozen,omitempty"`
	// Slow multiplies the time of all work; 0 and 1 leave it.
	Slow float64 `json:"slow,omitempty" minimum:"0" maximum:"10000"`
	// LoseAnswers is the share of requests whose effect happens and whose answer
	// is lost (ErrBroken); LoseNext loses the next answers for certain.
	LoseAnswers float64 `json:"lose_answers,omitempty" minimum:"0" maximum:"1"`
	LoseNext    int     `json:"lose_next,omitempty" minimum:"0"`
}

// Faults returns what is wrong at the moment.
func (e *Engine) Faults() Faults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

// SetFaults replaces the faults. What was frozen moves on when Frozen goes.
func (e *Engine) SetFaults(faults Faults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faults = faults
	if faults.Down {
		e.breakConnections()
	}
	if faults.Frozen && e.thawed == nil && !e.closed {
		e.thawed = make(chan struct{})
	}
	if !faults.Frozen {
		e.thaw()
	}
}

// Restart ends the engine's process and starts another: cache, streams, memory
// of cancelled streams, loaded models and fences are lost.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.closed {
		return
	}
	close(e.life)
	e.loseStreams()
	e.breakConnections()
	e.inbox = nil
	e.reset()
	e.record.totals.Restarts++
	e.noteCache()
	e.faults.Frozen = false
	e.thaw()
}

func (e *Engine) loseStreams() {
	for _, s := range e.streams {
		e.stop(s, OutcomeLost, backend.ErrOutcomeUnknown)
	}
}

// breakConnections ends every call that waits for an answer.
func (e *Engine) breakConnections() {
	close(e.broken)
	e.broken = make(chan struct{})
}

// thaw lets frozen work move and takes in what arrived during the freeze.
func (e *Engine) thaw() {
	if e.thawed == nil {
		return
	}
	close(e.thawed)
	e.thawed = nil
	inbox := e.inbox
	e.inbox = nil
	for _, effect := range inbox {
		effect()
	}
}

// loseAnswer decides whether the answer of a request whose effect has happened
// is lost. The mutex is held.
func (e *Engine) loseAnswer() bool {
	if e.faults.LoseNext > 0 {
		e.faults.LoseNext--
		return true
	}
	return e.faults.LoseAnswers > 0 && e.random.Float64() < e.faults.LoseAnswers
}

// reply is what a request gets back from the engine.
type reply[T any] struct {
	value T
	err   error
}

// deliver brings a request to the engine: effect runs once, under the mutex,
// now or after a thaw. What it returns is the answer, unless the answer gets
// lost. Every outcome other than ErrNotDelivered means that the request was sent.
func deliver[T any](ctx context.Context, e *Engine, effect func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, fmt.Errorf("%w: %w", backend.ErrNotDelivered, err)
	}
	run := func() reply[T] {
		value, err := effect()
		return reply[T]{value: value, err: e.answer(err)}
	}
	e.mutex.Lock()
	if e.faults.Down || e.closed {
		e.mutex.Unlock()
		return zero, backend.ErrNotDelivered
	}
	if e.thawed == nil {
		defer e.mutex.Unlock()
		answer := run()
		return answer.value, answer.err
	}
	answered := make(chan reply[T], 1)
	e.inbox = append(e.inbox, func() {
		if !e.closed {
			answered <- run()
		}
	})
	broken := e.broken
	e.mutex.Unlock()
	select {
	case answer := <-answered:
		return answer.value, answer.err
	case <-broken:
		return zero, backend.ErrOutcomeUnknown
	case <-ctx.Done():
		return zero, fmt.Errorf("%w: %w", backend.ErrOutcomeUnknown, ctx.Err())
	}
}

// answer returns err to the caller, or loses it. A refusal is an answer too.
func (e *Engine) answer(err error) error {
	if e.loseAnswer() {
		return fmt.Errorf("%w: the answer was lost", backend.ErrOutcomeUnknown)
	}
	return err
}

// afterSending turns the certainty of not having been sent into doubt, for the
// later part of a request whose first part was sent.
func afterSending(err error) error {
	if errors.Is(err, backend.ErrNotDelivered) {
		return fmt.Errorf("%w: %w", backend.ErrOutcomeUnknown, context.Canceled)
	}
	return err
}
