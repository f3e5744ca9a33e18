package engine

import (
	"context"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/backend"
)

// Faults are the injected faults of an engine. The zero value is a healthy engine.
type Faults struct {
	// Down: requests do not arrive (ErrNotDelivered) and calls in flight lose their
	// connection. Running streams continue inside the engine.
	Down bool `json:"down,omitempty"`
	// Frozen: the process is paused. Requests wait and take effect after the thaw, even
	// if their sender has given up.
	Frozen bool `json:"frozen,omitempty"`
	// Slow multiplies the time of all work; 0 and 1 have no effect.
	Slow float64 `json:"slow,omitempty" minimum:"0" maximum:"10000"`
	// LoseAnswers is the fraction of requests whose effect takes place and whose response
	// is lost (ErrOutcomeUnknown); LoseNext is the number of next responses that are lost.
	LoseAnswers float64 `json:"lose_answers,omitempty" minimum:"0" maximum:"1"`
	LoseNext    int     `json:"lose_next,omitempty" minimum:"0"`
}

// Faults returns the current faults.
func (e *Engine) Faults() Faults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults
}

// SetFaults replaces the faults. Frozen work continues when Frozen is cleared.
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

// Restart ends the engine's incarnation and starts another: the cache, streams, the list
// of cancelled streams, loaded models and fences are lost.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.closed {
		return
	}
	close(e.incarnation)
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

// breakConnections ends every call that waits for a response.
func (e *Engine) breakConnections() {
	close(e.broken)
	e.broken = make(chan struct{})
}

// thaw resumes frozen work and delivers the requests that arrived during the freeze.
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

// loseAnswer decides whether the response to a request that has taken effect is lost. The
// caller holds the mutex.
func (e *Engine) loseAnswer() bool {
	if e.faults.LoseNext > 0 {
		e.faults.LoseNext--
		return true
	}
	return e.faults.LoseAnswers > 0 && e.random.Float64() < e.faults.LoseAnswers
}

// reply is the engine's response to a request.
type reply[T any] struct {
	value T
	err   error
}

// deliver sends a request to the engine: effect runs once under the mutex, now or after a
// thaw. It returns effect's result unless the response is lost. Every error other than
// ErrNotDelivered means that the request was sent.
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

// answer returns err to the caller, or loses it. A rejection is a response too.
func (e *Engine) answer(err error) error {
	if e.loseAnswer() {
		return fmt.Errorf("%w: the answer was lost", backend.ErrOutcomeUnknown)
	}
	return err
}

// afterSending replaces ErrNotDelivered by ErrOutcomeUnknown in the later part of a request whose
// first part was sent.
func afterSending(err error) error {
	if errors.Is(err, backend.ErrNotDelivered) {
		return fmt.Errorf("%w: %w", backend.ErrOutcomeUnknown, context.Canceled)
	}
	return err
}
