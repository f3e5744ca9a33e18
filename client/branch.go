package client

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"

	"stepseam.example/stepseam/api"
)

// ErrOutcomeOpen tells that the branch's last call has no known outcome yet. It
// must be settled, by sending the same call again or by Resolve, before the next.
var ErrOutcomeOpen = errors.New("client: the last call's outcome is open")

// Branch numbers the calls of one branch of a program. It makes one call at a
// time: the next sequence is given out only when the last call has its outcome,
// so that a call which may have run is never sent under another sequence.
type Branch struct {
	client  *Client
	program string
	name    string

	// mutex is held during a call.
	mutex sync.Mutex
	next  uint64
	// open is the call without a known outcome, nil if there is none.
	open *api.CallRequest
}

// Branch returns a branch of a program, whose next call has the sequence next; a
// new branch begins at 1. An empty name is the main branch.
func (c *Client) Branch(program, name string, next uint64) *Branch {
	return &Branch{client: c, program: program, name: name, next: max(next, 1)}
}

// Next returns the sequence of the next call.
func (b *Branch) Next() uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.next
}

// Call makes the branch's next call and streams its tokens if onToken is not
// nil. It sets the call's sequence and branch.
func (b *Branch) Call(ctx context.Context, call api.CallRequest, onToken TokenFunc) (api.Answer, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	call.Sequence, call.Branch = b.next, b.name
	if b.open != nil && !reflect.DeepEqual(*b.open, call) {
		return api.Answer{}, fmt.Errorf("%w: branch %q, sequence %d", ErrOutcomeOpen, b.name, b.next)
	}
	var answer api.Answer
	var err error
	if onToken != nil {
		answer, err = b.client.Stream(ctx, b.program, call, onToken)
	} else {
		answer, err = b.client.Call(ctx, b.program, call)
	}
	return answer, b.settle(&call, err)
}

// Resolve waits for the outcome of a call that was left open.
func (b *Branch) Resolve(ctx context.Context) (api.Answer, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.open == nil {
		return api.Answer{}, errors.New("client: no outcome is open")
	}
	answer, err := b.client.Fetch(ctx, b.program, b.name, b.next)
	return answer, b.settle(b.open, err)
}

// settle moves on once the call has an outcome that stands. A call that did not
// run keeps its sequence for the next one.
func (b *Branch) settle(call *api.CallRequest, err error) error {
	switch {
	case err == nil || errors.Is(err, ErrStreamRestarted) || concluded(err):
		b.next++
		b.open = nil
	case NotRun(err):
		b.open = nil
	default:
		b.open = call
	}
	return err
}

// concluded tells that the call's failure is kept as its outcome: its sequence
// is used up. After other failures the same call may be sent again.
func concluded(err error) bool {
	var problem *api.Problem
	return errors.As(err, &problem) && problem.Code == api.CodeOutcomeUnknown
}
