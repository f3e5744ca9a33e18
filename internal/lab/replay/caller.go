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
	// attemptTimeout is how long a caller waits for one answer where the trace
	// names no other time.
	attemptTimeout = 5 * time.Minute
	// insistence bounds the making, ending and cancelling of a program.
	insistence = 30 * time.Minute
	// retryPause is the wait after a lost connection.
	retryPause = 200 * time.Millisecond
	// ownerWait bounds the wait for a program's shard to have an owner.
	ownerWait = 30 * time.Second
)

// errConnection is what a caller sees of a node that died or stayed silent.
var errConnection = errors.New("replay: connection lost")

// request is one request of a caller to a node.
type request func(ctx context.Context, programs serving.Programs) error

// resolve returns the node that reference names now. The first attempt goes to
// it, further ones through the others in turn, as where none is named.
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
	for deadline := time.Now().Add(ownerWait); time.Now().Before(deadline); time.Sleep(retryPause) {
		if owner, found := p.site.OwnerOf(program); found {
			return owner
		}
	}
	return next
}

// through sends one request through the node. A node that dies or stays silent
// under it is a lost connection.
func (p *player) through(ctx context.Context, name identity.NodeName, timeout time.Duration, send request) error {
	at := p.site.Life(name)
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

func (p *player) send(ctx context.Context, at *simulated.Life, name identity.NodeName, send request) error {
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

// insist repeats a repeatable request through one node after the other until it
// succeeds.
func (p *player) insist(ctx context.Context, event trace.Event, reference trace.NodeReference, send request) {
	ctx, cancel := context.WithTimeout(ctx, insistence)
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

// pauseAfter is as long as a refusal asks for, or a moment.
func pauseAfter(err error) time.Duration {
	var problem *api.Problem
	if errors.As(err, &problem) && problem.RetryAfter > 0 {
		return problem.RetryAfter
	}
	return retryPause
}

// isFinal tells that asking again cannot bring another outcome.
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

// call makes the call of one line and notes what its caller got.
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
		if seen.Answer != nil || isFinal(seen.Err) || time.Since(began) >= time.Duration(body.Patience) || ctx.Err() != nil {
			break
		}
		time.Sleep(pauseAfter(seen.Err))
	}
	seen.Took = time.Since(began)
	p.note(func(e *Evidence) { e.Calls[event.Line] = seen })
}

// attempt makes the call through one node.
func (p *player) attempt(ctx context.Context, body trace.Call, name identity.NodeName) CallEvidence {
	var mutex sync.Mutex // a request that was given up may still write
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
