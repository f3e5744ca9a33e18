// Package application emulates an application replica, such as a portal: an in-process
// core that implements backend.Application, and an HTTP server for it (NewServer).
//
// Operations are read-only or unrepeatable. The replica counts every execution by
// idempotency key in a ledger, which tests read to detect double execution and which the
// replicas of one application can share. SetFaults injects faults. All time goes through
// package time, so it runs in a synctest bubble.
package application

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/backend"
)

// Effect states whether executing an operation twice matters.
type Effect string

// The effects of operations.
const (
	ReadOnly     Effect = "read_only"
	Unrepeatable Effect = "unrepeatable"
)

// Operation describes one operation of a replica.
type Operation struct {
	Effect Effect `yaml:"effect" validate:"oneof=read_only unrepeatable"`
	// The duration is drawn between the two; the effect takes place halfway.
	ShortestLatency time.Duration `yaml:"shortest_latency" validate:"min=0"`
	LongestLatency  time.Duration `yaml:"longest_latency" validate:"gtefield=ShortestLatency"`
}

// Faults are the injected faults of a replica. The zero value is a healthy replica.
type Faults struct {
	// Down: requests do not arrive, and requests in flight lose their connection.
	Down bool `json:"down,omitempty"`
	// Refuse: requests are rejected before they run.
	Refuse bool `json:"refuse,omitempty"`
	// HangBefore and HangAfter: requests block, before or after their effect, until the
	// fault is cleared.
	HangBefore bool `json:"hang_before,omitempty"`
	HangAfter  bool `json:"hang_after,omitempty"`
	// LoseAnswers is the fraction of requests whose effect takes place and whose response
	// is lost; LoseNext is the number of next responses that are lost.
	LoseAnswers float64 `json:"lose_answers,omitempty" minimum:"0" maximum:"1"`
	LoseNext    int     `json:"lose_next,omitempty" minimum:"0"`
	// Slow multiplies the latency; 0 and 1 have no effect.
	Slow float64 `json:"slow,omitempty" minimum:"0" maximum:"10000"`
}

// Answer is the JSON response of an operation.
type Answer struct {
	Operation string `json:"operation"`
	// Execution counts the executions of this key or, without a key, of this operation.
	Execution int    `json:"execution"`
	Replica   string `json:"replica"`
	Receipt   string `json:"receipt"`
	// Input is the request's body.
	Input json.RawMessage `json:"input,omitempty"`
}

// Application emulates one replica. It is safe for concurrent use.
type Application struct {
	parameters Parameters
	ledger     *Ledger

	mutex    sync.Mutex
	random   *rand.Rand
	faults   Faults
	draining bool
	// running counts the operations in flight.
	running int
	// changed is closed and replaced when the faults change, broken when connections
	// break.
	changed chan struct{}
	broken  chan struct{}
	// done is closed by Close.
	done   chan struct{}
	closed bool
}

// New returns a replica that counts its executions in ledger; nil makes a new ledger.
func New(parameters Parameters, ledger *Ledger) (*Application, error) {
	if err := parameters.Validate(); err != nil {
		return nil, err
	}
	if ledger == nil {
		ledger = NewLedger(parameters.MaxTruth)
	}
	return &Application{
		parameters: parameters,
		ledger:     ledger,
		random:     rand.New(rand.NewPCG(parameters.Seed, xxhash.Sum64String(parameters.Name))),
		changed:    make(chan struct{}),
		broken:     make(chan struct{}),
		done:       make(chan struct{}),
	}, nil
}

// Name returns the replica's name.
func (a *Application) Name() string { return a.parameters.Name }

// Ledger returns the record of executions.
func (a *Application) Ledger() *Ledger { return a.ledger }

// Close breaks all connections and rejects all further requests.
func (a *Application) Close() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	close(a.done)
	a.breakConnections()
	a.noteChange()
}

// SetDraining sets whether the replica rejects new requests while it finishes those in
// flight.
func (a *Application) SetDraining(draining bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.draining = draining
}

// Draining reports whether the replica rejects new requests.
func (a *Application) Draining() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.draining
}

// Faults returns the current faults.
func (a *Application) Faults() Faults {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.faults
}

// SetFaults replaces the faults. A blocked request continues when its fault is cleared,
// even if its caller has given up.
func (a *Application) SetFaults(faults Faults) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.faults = faults
	if faults.Down {
		a.breakConnections()
	}
	a.noteChange()
}

func (a *Application) noteChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Application) breakConnections() {
	close(a.broken)
	a.broken = make(chan struct{})
}

// Invoke implements backend.Application. The operation runs to its end even if ctx ends
// first, as it would at a real replica.
func (a *Application) Invoke(ctx context.Context, request backend.InvokeRequest) ([]byte, error) {
	operation, broken, err := a.accept(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("application %s: %s: %w", a.parameters.Name, request.Operation, err)
	}
	type outcome struct {
		answer []byte
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		answer, err := a.run(request, operation)
		a.leave()
		done <- outcome{answer: answer, err: err}
	}()
	select {
	case result := <-done:
		err = result.err
		if err == nil {
			return result.answer, nil
		}
	case <-broken:
		err = backend.ErrOutcomeUnknown
	case <-ctx.Done():
		err = fmt.Errorf("%w: %w", backend.ErrOutcomeUnknown, ctx.Err())
	}
	return nil, fmt.Errorf("application %s: %s: %w", a.parameters.Name, request.Operation, err)
}

// accept decides whether the replica takes the request.
func (a *Application) accept(ctx context.Context, request backend.InvokeRequest) (Operation, <-chan struct{}, error) {
	if err := ctx.Err(); err != nil {
		return Operation{}, nil, fmt.Errorf("%w: %w", backend.ErrNotDelivered, err)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.faults.Down || a.closed {
		return Operation{}, nil, backend.ErrNotDelivered
	}
	if a.draining {
		return Operation{}, nil, fmt.Errorf("%w: %w", backend.ErrRefused, backend.ErrDraining)
	}
	if a.faults.Refuse {
		return Operation{}, nil, fmt.Errorf("%w: the replica refuses all work", backend.ErrRefused)
	}
	operation, known := a.parameters.Operations[request.Operation]
	if !known {
		return Operation{}, nil, fmt.Errorf("%w: unknown operation %q", backend.ErrRefused, request.Operation)
	}
	if len(request.Body) > 0 && !json.Valid(request.Body) {
		return Operation{}, nil, fmt.Errorf("%w: the input is not JSON", backend.ErrRefused)
	}
	a.running++
	return operation, a.broken, nil
}

func (a *Application) leave() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.running--
}

// Load implements backend.LoadReporter.
func (a *Application) Load(ctx context.Context) (backend.LoadReport, error) {
	if err := ctx.Err(); err != nil {
		return backend.LoadReport{}, fmt.Errorf("application %s: load: %w: %w", a.parameters.Name, backend.ErrNotDelivered, err)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.faults.Down || a.closed {
		return backend.LoadReport{}, fmt.Errorf("application %s: load: %w", a.parameters.Name, backend.ErrNotDelivered)
	}
	return backend.LoadReport{Running: a.running, Draining: a.draining, AsOf: time.Now()}, nil
}

// run executes the operation: half the latency, the effect, the other half.
func (a *Application) run(request backend.InvokeRequest, operation Operation) ([]byte, error) {
	latency := a.latency(operation)
	if !a.sleep(latency/2) || !a.awaitFault(func(faults Faults) bool { return faults.HangBefore }) {
		return nil, backend.ErrOutcomeUnknown
	}
	execution := a.ledger.execute(a.parameters.Name, request, operation.Effect)
	if !a.sleep(latency-latency/2) || !a.awaitFault(func(faults Faults) bool { return faults.HangAfter }) || a.loseAnswer() {
		return nil, fmt.Errorf("%w: the answer was lost", backend.ErrOutcomeUnknown)
	}
	answer, err := json.Marshal(Answer{
		Operation: request.Operation, Execution: execution, Replica: a.parameters.Name,
		Receipt: receipt(request), Input: request.Body,
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", backend.ErrOutcomeUnknown, err)
	}
	return answer, nil
}

// receipt returns a number that identifies the action; a repeat with the same key gets
// the same number.
func receipt(request backend.InvokeRequest) string {
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%q %q", request.Operation, request.IdempotencyKey)
	if request.IdempotencyKey == "" {
		_, _ = fmt.Fprintf(hash, " %q", request.Stream)
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}

func (a *Application) latency(operation Operation) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	span := operation.LongestLatency - operation.ShortestLatency
	latency := operation.ShortestLatency + time.Duration(a.random.Float64()*float64(span))
	if a.faults.Slow > 1 {
		latency = time.Duration(float64(latency) * a.faults.Slow)
	}
	return latency
}

// sleep waits for duration. It returns false if the replica was closed first.
func (a *Application) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.done:
		return false
	}
}

// awaitFault blocks while the fault is set. It returns false if the replica was closed.
func (a *Application) awaitFault(isSet func(Faults) bool) bool {
	for {
		a.mutex.Lock()
		faults, changed, closed := a.faults, a.changed, a.closed
		a.mutex.Unlock()
		if closed {
			return false
		}
		if !isSet(faults) {
			return true
		}
		<-changed
	}
}

func (a *Application) loseAnswer() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.faults.LoseNext > 0 {
		a.faults.LoseNext--
		return true
	}
	return a.faults.LoseAnswers > 0 && a.random.Float64() < a.faults.LoseAnswers
}
