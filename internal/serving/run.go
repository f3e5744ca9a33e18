package serving

import (
	"context"
	"sync"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
)

// run is the execution of one call without an answer. A driver goroutine executes it. Any
// number of callers may wait for it, and it continues when they leave.
type run struct {
	id      identity.CallID
	request program.Request
	arrived time.Time
	// context ends with the shard, or with a cause when the call is withdrawn or its
	// program ends.
	context context.Context
	cancel  context.CancelCauseFunc
	// done is closed once outcome is set.
	done chan struct{}

	// The machine's mutex guards these.
	// deadline is the latest time that any caller waits for.
	deadline time.Time
	// dispatched is true once an intent is enqueued, after which the call may run.
	dispatched bool
	// withdrawn is true if the call was withdrawn before it was dispatched.
	withdrawn bool
	// recovered is true for a call that a previous owner, or an earlier run on this node,
	// left open.
	recovered bool

	// mutex guards the rest.
	mutex  sync.Mutex
	tokens []string
	// generation is incremented when tokens that callers may have received turn out not
	// to belong to the answer.
	generation int
	outcome    *outcome
	changed    chan struct{}
}

// outcome is the result of a run.
type outcome struct {
	answer api.Answer
	err    error
}

func failed(err error) *outcome { return &outcome{err: err} }

// resumable reports whether the next owner can resume the running call.
func (r *run) resumable() bool { return r.request.Kind == api.CallModel }

// notify wakes all waiting callers. The caller holds r.mutex.
func (r *run) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// addToken adds the token at index. A repeated token is ignored. A token that differs
// from the known one starts a new generation, as the tokens delivered so far do not
// belong to the answer. It returns false if earlier tokens are missing.
func (r *run) addToken(index int, text string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case index > len(r.tokens):
		return false
	case index < len(r.tokens):
		if r.tokens[index] == text {
			return true
		}
		r.generation++
		r.tokens = append([]string(nil), r.tokens[:index]...)
	}
	r.tokens = append(r.tokens, text)
	r.notify()
	return true
}

// received returns the tokens received so far.
func (r *run) received() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tokens
}

// finish sets the outcome; calls after the first have no effect.
func (r *run) finish(result *outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.outcome != nil {
		return
	}
	r.outcome = result
	r.notify()
	close(r.done)
}

// progress is the state of a run as one waiting caller sees it.
type progress struct {
	tokens     []string
	generation int
	outcome    *outcome
	changed    <-chan struct{}
}

// progress returns the tokens starting at index from, and the outcome if it is known.
// Otherwise changed is closed at the next change.
func (r *run) progress(from int) progress {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	p := progress{generation: r.generation, outcome: r.outcome}
	if from < len(r.tokens) {
		p.tokens = r.tokens[from:]
	}
	if p.outcome == nil {
		if r.changed == nil {
			r.changed = make(chan struct{})
		}
		p.changed = r.changed
	}
	return p
}
