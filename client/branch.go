package client

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"

	"stepseam.example/stepseam/api"
)

// ErrOutcomeOpen is returned for a new call while the outcome of the branch's last call
// is unknown. Send the same call again, or call Resolve, before the next one.
var ErrOutcomeOpen = errors.New("client: the outcome of the last call is unknown")

// Branch numbers the calls of one branch of a program. It makes one call at a time: it
// assigns the next sequence only when the outcome of the last call is known, so that a
// call that may have run is never sent under another sequence. It is safe for concurrent
// use.
type Branch struct {
	client  *Client
	program string
	name    string

	// mutex is held during a call and guards next and pending.
	mutex sync.Mutex
	next  uint64
	// pending is the call whose outcome is unknown, or nil.
	pending *api.CallRequest
}

// Branch returns a branch of a program. Its next call gets the sequence next; a new branch
// starts at 1. An empty name means the main branch.
func (c *Client) Branch(program, name string, next uint64) *Branch {
	return &Branch{client: c, program: program, name: name, next: max(next, 1)}
}

// Next returns the sequence of the next call.
func (b *Branch) Next() uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.next
}

// Call makes the branch's next call, setting its sequence and branch. It streams the
// tokens if onToken is not nil.
func (b *Branch) Call(ctx context.Context, call api.CallRequest, onToken TokenFunc) (api.Answer, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	call.Sequence, call.Branch = b.next, b.name
	if b.pending != nil && !reflect.DeepEqual(*b.pending, call) {
		return api.Answer{}, fmt.Errorf("%w: branch %q, sequence %d", ErrOutcomeOpen, b.name, b.next)
	}
	var answer api.Answer
	var err error
	if onToken != nil {
		answer, err = b.client.Stream(ctx, b.program, call, onToken)
	} else {
		answer, err = b.client.Call(ctx, b.program, call)
	}
	return answer, b.recordOutcome(&call, err)
}

// Resolve waits for the outcome of the last call, if it is unknown.
func (b *Branch) Resolve(ctx context.Context) (api.Answer, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.pending == nil {
		return api.Answer{}, errors.New("client: there is no call with an unknown outcome")
	}
	answer, err := b.client.Fetch(ctx, b.program, b.name, b.next)
	return answer, b.recordOutcome(b.pending, err)
}

// recordOutcome advances the sequence once the outcome of the call is final. If the call
// did not run, its sequence is used for the next call.
func (b *Branch) recordOutcome(call *api.CallRequest, err error) error {
	switch {
	case err == nil || errors.Is(err, ErrStreamRestarted) || outcomeIsFinal(err):
		b.next++
		b.pending = nil
	case NotRun(err):
		b.pending = nil
	default:
		b.pending = call
	}
	return err
}

// outcomeIsFinal reports whether the failure is the recorded outcome of the call, so that
// its sequence is used up. After other failures the same call may be sent again.
func outcomeIsFinal(err error) bool {
	var problem *api.Problem
	return errors.As(err, &problem) && problem.Code == api.CodeOutcomeUnknown
}
