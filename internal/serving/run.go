package serving

import (
	"context"
	"sync"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
)

// run is one call that has no answer yet. A driver goroutine runs it; any
// number of callers follow it, and none of them stops it by leaving.
type run struct {
	id      identity.CallID
	request program.Request
	arrived time.Time
	// context ends with the shard, or with a cause when the call is taken back or
	// its program ends.
	context context.Context
	cancel  context.CancelCauseFunc
	// done is closed once outcome is set.
	done chan struct{}

	// The machine's mutex guards these.
	// deadline is the latest time that any caller waits for.
	deadline time.Time
	// dispatched is true from the moment an intent is enqueued: from then on the
	// call may run.
	dispatched bool
	// withdrawn is true once the call was taken back before that.
	withdrawn bool
	// recovered is true for a call that a former owner left open.
	recovered bool

	// mutex guards the rest.
	mutex  sync.Mutex
	tokens []string
	// generation rises when tokens that were handed out turn out not to be the
	// answer's.
	generation int
	outcome    *outcome
	changed    chan struct{}
}

// outcome is how a run ended.
type outcome struct {
	answer api.Answer
	err    error
}

func failed(err error) *outcome { return &outcome{err: err} }

// resumable tells that the next owner can take the running call over.
func (r *run) resumable() bool { return r.request.Kind == api.CallModel }

// notify wakes all followers; the caller holds r.mutex.
func (r *run) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// token adds the token of index. A repeat of a known token is dropped; one that
// differs starts a new generation, since what was streamed is then not the
// answer. It returns false for a token that is too early.
func (r *run) token(index int, text string) bool {
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

// received returns the tokens so far.
func (r *run) received() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tokens
}

// finish sets the outcome, once.
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

// progress is what a follower sees next.
type progress struct {
	tokens     []string
	generation int
	outcome    *outcome
	changed    <-chan struct{}
}

// progress returns the tokens from index from on, and the outcome if it stands.
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
