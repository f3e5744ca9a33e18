package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/wait"
)

// avoidDraining is how long a node that drains is left alone.
const avoidDraining = 10 * time.Second

// avoidFailed is how long a node that did not answer is left alone, as long as
// there are others.
const avoidFailed = time.Second

// nodes picks the node to ask: the one that answered last, else the next.
type nodes struct {
	addresses []string

	// mutex guards current and avoid, the time before which a node is left alone.
	mutex   sync.Mutex
	current int
	avoid   []time.Time
}

func newNodes(addresses []string) *nodes {
	return &nodes{
		addresses: slices.Clone(addresses),
		current:   rand.N(len(addresses)), // clients spread over the nodes
		avoid:     make([]time.Time, len(addresses)),
	}
}

// pick returns the node to ask now: from the current one on the first that need
// not be avoided, else the one to be avoided for the shortest time.
func (n *nodes) pick() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now, best := time.Now(), n.current
	for i := range n.addresses {
		at := (n.current + i) % len(n.addresses)
		if !n.avoid[at].After(now) {
			n.current = at
			return at
		}
		if n.avoid[at].Before(n.avoid[best]) {
			best = at
		}
	}
	n.current = best
	return best
}

// leave keeps a node from being picked for a while, if there are others.
func (n *nodes) leave(at int, period time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.avoid[at] = time.Now().Add(period)
}

// attempts is the state of one request over its tries.
type attempts struct {
	client  *Client
	started time.Time
	pause   time.Duration
	// failed counts the nodes that failed in a row without a pause between.
	failed int
	// uncertain tells that a try vanished: it may still be acted on, so no later
	// refusal proves that nothing ran.
	uncertain bool
}

func (c *Client) newAttempts() *attempts {
	return &attempts{client: c, started: time.Now(), pause: c.options.FirstPause}
}

// retry makes tries until one succeeds or trying again does not help.
func (c *Client) retry(ctx context.Context, try func(ctx context.Context, node string) error) error {
	attempts := c.newAttempts()
	for {
		at := c.nodes.pick()
		err := try(ctx, c.nodes.addresses[at])
		if err == nil {
			return nil
		}
		if stop := attempts.next(ctx, at, err); stop != nil {
			return stop
		}
	}
}

// next waits for the next try, or returns the error to end with.
func (a *attempts) next(ctx context.Context, at int, err error) error {
	var problem *api.Problem
	isProblem := errors.As(err, &problem)
	if !isProblem && errors.Is(err, ErrUnreachable) && !errors.Is(err, errNotSent) {
		a.uncertain = true
	}
	if ctx.Err() != nil {
		return a.final(fmt.Errorf("%w: %w", ctx.Err(), err))
	}
	pause, again := a.plan(at, err, problem)
	if !again || time.Since(a.started)+pause > a.client.options.Patience {
		return a.final(err)
	}
	if deadline, bounded := ctx.Deadline(); bounded && time.Now().Add(pause).After(deadline) {
		return a.final(err) // the answer would come too late to be used
	}
	if ended := wait.For(ctx, pause); ended != nil {
		return a.final(fmt.Errorf("%w: %w", ended, err))
	}
	return nil
}

// plan decides whether to try again and when. Other nodes are asked at once,
// until all have failed; then there is a pause.
func (a *attempts) plan(at int, err error, problem *api.Problem) (pause time.Duration, again bool) {
	nodes := a.client.nodes
	switch {
	case problem == nil && !errors.Is(err, ErrUnreachable):
		return 0, false // a fault of the request itself
	case problem == nil:
		nodes.leave(at, avoidFailed)
	case problem.Code == api.CodeDraining:
		nodes.leave(at, max(problem.RetryAfter, avoidDraining))
	case problem.RetryAfter > 0 && retryHelps(problem.Code):
		return spread(problem.RetryAfter), true
	default:
		return 0, false
	}
	a.failed++
	if a.failed < len(nodes.addresses) {
		return 0, true
	}
	a.failed = 0
	pause = spread(a.pause)
	a.pause = min(2*a.pause, a.client.options.MaxPause)
	return pause, true
}

// retryHelps tells whether the same request may succeed later. A passed deadline
// is the caller's own to renew.
func retryHelps(code api.Code) bool {
	switch code {
	case api.CodeDeadline, api.CodeOutcomeUnknown, api.CodeCancelled, api.CodeProgramEnded, api.CodeConflict:
		return false
	}
	return true
}

// spread adds up to a quarter, so that clients told the same time do not come
// back all at once; it never comes back early.
func spread(pause time.Duration) time.Duration { return pause + rand.N(pause/4+1) }

// final takes the certainty off a refusal where an earlier try may still be
// acted on.
func (a *attempts) final(err error) error {
	if !a.uncertain || !NotRun(err) {
		return err
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		qualified := *problem
		return qualified.WithNotRun(false)
	}
	return fmt.Errorf("%w: an earlier try was lost; at last: %s", ErrUnreachable, err)
}
