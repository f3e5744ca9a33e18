package serving

import (
	"context"
	"errors"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
)

// errWithdrawn is the cancellation cause of a run whose last caller reached its deadline
// before the call was dispatched.
var errWithdrawn = errors.New("serving: call withdrawn")

// errProgramEnded is the cancellation cause of a run whose program ended.
var errProgramEnded = errors.New("serving: program ended")

// deadlineRetry is the delay after which a caller whose deadline passed should fetch the
// answer of the call.
const deadlineRetry = time.Second

// callerOptions are the options of one caller of a call.
type callerOptions struct {
	// from is the index of the first token to deliver.
	from     int
	wait     time.Duration
	deadline time.Time
	onToken  TokenFunc
}

// awaitOutcome delivers the tokens of the run to the caller and returns the outcome. The
// run continues when the caller leaves.
func (s *shard) awaitOutcome(ctx context.Context, r *run, options callerOptions) (api.Answer, error) {
	timer := time.NewTimer(time.Until(options.deadline))
	defer timer.Stop()
	next, generation := options.from, -1
	for {
		seen := r.progress(next)
		if generation < 0 {
			generation = seen.generation
		}
		if generation != seen.generation && next > options.from {
			return api.Answer{}, api.NewProblem(api.CodeInterrupted,
				"call %s was answered anew; fetch it again from its first token", r.id).WithRetryAfter(deadlineRetry)
		}
		if err := emit(seen.tokens, &next, options.onToken); err != nil {
			return api.Answer{}, err
		}
		if seen.outcome != nil {
			return s.deliverOutcome(r, seen.outcome)
		}
		select {
		case <-seen.changed:
		case <-ctx.Done():
			return api.Answer{}, s.interrupted(ctx, ctx.Err())
		case <-timer.C:
			return api.Answer{}, s.deadlinePassed(r)
		}
	}
}

func emit(tokens []string, next *int, onToken TokenFunc) error {
	if onToken == nil {
		*next += len(tokens)
		return nil
	}
	for _, token := range tokens {
		if err := onToken(*next, token); err != nil {
			return api.NewProblem(api.CodeInterrupted, "the caller takes no more tokens: %s", err)
		}
		*next++
	}
	return nil
}

// deliverOutcome returns the outcome if this node still owns the shard.
func (s *shard) deliverOutcome(r *run, result *outcome) (api.Answer, error) {
	if result.err != nil {
		if IsNotOwner(result.err) {
			return api.Answer{}, result.err
		}
		s.owner.metrics.problem(result.err)
	}
	if err := s.checkLease(); err != nil {
		return api.Answer{}, err
	}
	s.owner.metrics.answers.WithLabelValues(string(r.request.Kind)).Inc()
	return result.answer, result.err
}

// deadlinePassed returns the error of a caller whose deadline passed. A call that was not
// dispatched and that no other caller waits for is withdrawn: it never runs, and its
// sequence may be sent again.
func (s *shard) deadlinePassed(r *run) error {
	s.machine.mutex.Lock()
	notRun := r.withdrawn
	if !r.dispatched && !r.withdrawn && !r.deadline.After(time.Now()) {
		r.withdrawn = true
		notRun = true
		r.cancel(errWithdrawn)
	}
	if p := s.machine.set.Get(r.id.Program); p != nil && p.MayHaveRun(r.id) {
		notRun = false
	}
	s.machine.mutex.Unlock()
	problem := api.NewProblem(api.CodeDeadline, "call %s had no answer by its deadline", r.id)
	return s.ifStillOwner(problem.WithNotRun(notRun).WithRetryAfter(deadlineRetry))
}

// replay returns a stored answer.
func (s *shard) replay(id identity.CallID, stored *program.Answer, options callerOptions) (api.Answer, error) {
	if err := s.checkLease(); err != nil {
		return api.Answer{}, err
	}
	s.owner.metrics.replays.Inc()
	if problem := stored.Problem(id); problem != nil {
		return api.Answer{}, problem
	}
	if options.onToken != nil {
		if err := stored.Tokens(options.from, options.onToken); err != nil {
			return api.Answer{}, api.NewProblem(api.CodeInterrupted, "the caller takes no more tokens: %s", err)
		}
	}
	answer := publicAnswer(id, stored)
	answer.Replayed = true
	return answer, nil
}

// publicAnswer converts a stored answer to its API representation.
func publicAnswer(id identity.CallID, stored *program.Answer) api.Answer {
	return api.Answer{
		Program:       string(id.Program),
		Branch:        string(id.Branch),
		Sequence:      uint64(id.Sequence),
		Text:          stored.Text,
		Output:        stored.Output,
		FinishReason:  stored.FinishReason,
		Usage:         stored.Usage,
		Backend:       stored.Backend,
		Reason:        stored.Reason,
		QueuedSeconds: stored.Queued.Seconds(),
		RunSeconds:    stored.Run.Seconds(),
	}
}
