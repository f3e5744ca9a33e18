package replay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/simulated"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/trace"
)

const (
	// attemptTimeout bounds one attempt unless the trace sets a timeout.
	attemptTimeout = 5 * time.Minute
	// retryTimeout bounds the retries of creating, ending or cancelling a program.
	retryTimeout = 30 * time.Minute
	// retryPause is the delay before a retry unless the response sets one.
	retryPause = 200 * time.Millisecond
	// ownerTimeout bounds the wait for a program's shard to have an owner.
	ownerTimeout = 30 * time.Second
)

// errConnection is a caller's error if the node is down or doesn't respond in time.
var errConnection = errors.New("replay: connection lost")

// request sends one request of a caller to a node.
type request func(ctx context.Context, programs serving.Programs) error

// resolve returns the node for an attempt: the referenced node for the first one, and
// all nodes round-robin for further ones, for an empty reference and if the shard has
// no owner within ownerTimeout.
func (p *player) resolve(reference trace.NodeReference, line, attempt int) identity.NodeName {
	nodes := p.site.Nodes()
	next := nodes[(line+attempt)%len(nodes)]
	program, isOwner := reference.OwnerOf()
	switch {
	case reference == "" || attempt > 0:
		return next
	case !isOwner:
		return identity.NodeName(reference)
	}
	for deadline := time.Now().Add(ownerTimeout); time.Now().Before(deadline); time.Sleep(retryPause) {
		if owner, found := p.site.OwnerOf(program); found {
			return owner
		}
	}
	return next
}

// through sends one request through the node. It returns errConnection if the node is
// down, is killed during the request or doesn't respond within timeout.
func (p *player) through(ctx context.Context, name identity.NodeName, timeout time.Duration, send request) error {
	at := p.site.Incarnation(name)
	if at == nil {
		return errConnection
	}
	if at.Node.Board().Draining.Load() {
		return api.NewProblem(api.CodeDraining, "the node is stopping").WithRetryAfter(time.Second)
	}
	at.Requests.Add(1)
	defer at.Requests.Done()
	if timeout == 0 {
		timeout = attemptTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- p.send(ctx, at, name, send) }()
	select {
	case err := <-ended:
		return err
	case <-at.Endpoint.Done():
	case <-ctx.Done():
	}
	return errConnection
}

func (p *player) send(ctx context.Context, at *simulated.Incarnation, name identity.NodeName, send request) error {
	programs := at.Node.Programs()
	if p.options.Record != nil {
		programs = p.options.Record(name, programs)
	}
	err := send(ctx, programs)
	if at.Endpoint.Gate(context.WithoutCancel(ctx)) != nil {
		return errConnection
	}
	return err
}

// retry sends an idempotent request through one node after the other until it succeeds
// or fails with a final error.
func (p *player) retry(ctx context.Context, event trace.Event, reference trace.NodeReference, send request) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := p.through(ctx, p.resolve(reference, event.Line, attempt), 0, send)
		if err == nil {
			return
		}
		if isFinal(err) || ctx.Err() != nil {
			p.noteFailure(event.Line, err)
			return
		}
		time.Sleep(pauseAfter(err))
	}
}

// pauseAfter returns the delay before a retry: the problem's RetryAfter, or retryPause.
func pauseAfter(err error) time.Duration {
	var problem *api.Problem
	if errors.As(err, &problem) && problem.RetryAfter > 0 {
		return problem.RetryAfter
	}
	return retryPause
}

// isFinal reports whether a retry can't change the outcome.
func isFinal(err error) bool {
	var problem *api.Problem
	if !errors.As(err, &problem) {
		return false
	}
	switch problem.Code {
	case api.CodeOutcomeUnknown, api.CodeBudget, api.CodeProgramEnded, api.CodeConflict, api.CodeLimit,
		api.CodeInvalid, api.CodeHistoryMismatch, api.CodeUnknownProgram, api.CodeUnknownClass, api.CodeUnknownModel:
		return true
	default:
		return false
	}
}

// call makes the call of one line, with retries, and records the result.
func (p *player) call(ctx context.Context, event trace.Event, body trace.Call) {
	if body.Pause != nil {
		own := body.CallID()
		p.awaitCalls(event.Line, func(other trace.Call) bool {
			return other.Program == own.Program && other.CallID().Branch == own.Branch
		})
		time.Sleep(time.Duration(*body.Pause))
	}
	began := time.Now()
	var seen CallEvidence
	for attempt := 0; ; attempt++ {
		seen = p.attempt(ctx, body, p.resolve(body.Node, event.Line, attempt))
		seen.Attempts = attempt + 1
		if seen.Answer != nil || isFinal(seen.Err) || time.Since(began) >= time.Duration(body.RetryTimeout) || ctx.Err() != nil {
			break
		}
		time.Sleep(pauseAfter(seen.Err))
	}
	seen.Took = time.Since(began)
	p.note(func(e *Evidence) { e.Calls[event.Line] = seen })
}

// attempt makes one attempt of a call through one node.
func (p *player) attempt(ctx context.Context, body trace.Call, name identity.NodeName) CallEvidence {
	var mutex sync.Mutex // a request may continue to write after its timeout
	var streamed strings.Builder
	next := 0
	var answer api.Answer
	err := p.through(ctx, name, time.Duration(body.Timeout), func(ctx context.Context, programs serving.Programs) error {
		received, err := programs.Call(ctx, serving.CallRequest{Program: body.Program, Call: body.Call}, func(index int, text string) error {
			mutex.Lock()
			defer mutex.Unlock()
			if index != next {
				fmt.Fprintf(&streamed, "<token %d in place of %d>", index, next)
			}
			next++
			streamed.WriteString(text)
			return nil
		})
		mutex.Lock()
		defer mutex.Unlock()
		answer = received
		return err
	})
	mutex.Lock()
	defer mutex.Unlock()
	seen := CallEvidence{Streamed: streamed.String(), Outcome: trace.OutcomeOf(answer, err), Err: err}
	if err == nil {
		seen.Answer = &answer
	}
	return seen
}
