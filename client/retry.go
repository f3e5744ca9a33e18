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

// avoidDraining is the minimum time for which a draining node is avoided.
const avoidDraining = 10 * time.Second

// avoidFailed is how long a node that did not respond is avoided.
const avoidFailed = time.Second

// nodes selects the node for the next attempt: the current one, or the next one that is not
// to be avoided.
type nodes struct {
	addresses []string

	// mutex guards current and avoid. avoid is the time until which a node is avoided.
	mutex   sync.Mutex
	current int
	avoid   []time.Time
}

func newNodes(addresses []string) *nodes {
	return &nodes{
		addresses: slices.Clone(addresses),
		current:   rand.N(len(addresses)), // distributes clients over the nodes
		avoid:     make([]time.Time, len(addresses)),
	}
}

// pick returns the index of the first node, starting with the current one, that is not to be
// avoided. If all are, it returns the one whose period ends first.
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

// avoidFor makes pick prefer other nodes for the given period.
func (n *nodes) avoidFor(at int, period time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.avoid[at] = time.Now().Add(period)
}

// attempts is the retry state of one request.
type attempts struct {
	client  *Client
	started time.Time
	pause   time.Duration
	// failed counts the attempts that failed since the last pause.
	failed int
	// outcomeUnknown is set when an attempt was sent and got no response. That attempt may
	// still run, so a later rejection does not prove that nothing ran.
	outcomeUnknown bool
}

func (c *Client) newAttempts() *attempts {
	return &attempts{client: c, started: time.Now(), pause: c.options.FirstPause}
}

// retry calls try until it succeeds or another attempt can't help.
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

// next waits until the next attempt, or returns the final error.
func (a *attempts) next(ctx context.Context, at int, err error) error {
	var problem *api.Problem
	isProblem := errors.As(err, &problem)
	if !isProblem && errors.Is(err, ErrUnreachable) && !errors.Is(err, errNotSent) {
		a.outcomeUnknown = true
	}
	if ctx.Err() != nil {
		return a.finalError(fmt.Errorf("%w: %w", ctx.Err(), err))
	}
	pause, again := a.planRetry(at, err, problem)
	if !again || time.Since(a.started)+pause > a.client.options.Patience {
		return a.finalError(err)
	}
	if deadline, bounded := ctx.Deadline(); bounded && time.Now().Add(pause).After(deadline) {
		return a.finalError(err) // the next attempt would start after the deadline
	}
	if ended := wait.For(ctx, pause); ended != nil {
		return a.finalError(fmt.Errorf("%w: %w", ended, err))
	}
	return nil
}

// planRetry decides whether and when to retry. Other nodes are tried at once until all have
// failed; the pause after that doubles up to MaxPause.
func (a *attempts) planRetry(at int, err error, problem *api.Problem) (pause time.Duration, again bool) {
	nodes := a.client.nodes
	switch {
	case problem == nil && !errors.Is(err, ErrUnreachable):
		return 0, false // the request itself is invalid
	case problem == nil:
		nodes.avoidFor(at, avoidFailed)
	case problem.Code == api.CodeDraining:
		nodes.avoidFor(at, max(problem.RetryAfter, avoidDraining))
	case problem.RetryAfter > 0 && mayRetry(problem.Code):
		return jitter(problem.RetryAfter), true
	default:
		return 0, false
	}
	a.failed++
	if a.failed < len(nodes.addresses) {
		return 0, true
	}
	a.failed = 0
	pause = jitter(a.pause)
	a.pause = min(2*a.pause, a.client.options.MaxPause)
	return pause, true
}

// mayRetry reports whether the same request may succeed later. After a passed deadline only
// the caller can set a new one.
func mayRetry(code api.Code) bool {
	switch code {
	case api.CodeDeadline, api.CodeOutcomeUnknown, api.CodeCancelled, api.CodeProgramEnded, api.CodeConflict:
		return false
	}
	return true
}

// jitter adds a random time of up to a quarter of pause, so that clients with the same
// Retry-After do not retry at the same time. The result is never shorter than pause.
func jitter(pause time.Duration) time.Duration { return pause + rand.N(pause/4+1) }

// finalError removes the not-run claim from an error if an earlier attempt may still run.
func (a *attempts) finalError(err error) error {
	if !a.outcomeUnknown || !NotRun(err) {
		return err
	}
	var problem *api.Problem
	if errors.As(err, &problem) {
		qualified := *problem
		return qualified.WithNotRun(false)
	}
	return fmt.Errorf("%w: an earlier attempt got no response; last error: %s", ErrUnreachable, err)
}
