package serving

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
	"stepseam.example/stepseam/internal/wait"
)

// attemptStatus is what is known of an attempt once it is over.
type attemptStatus uint8

const (
	// attemptAnswered: the back end answered.
	attemptAnswered attemptStatus = iota + 1
	// attemptNotRun: it certainly did not run.
	attemptNotRun
	// attemptLost: it may have run, and no answer is to be had.
	attemptLost
	// attemptStopped: the run's context ended.
	attemptStopped
	// attemptTimedOut: the back end took longer than a call may.
	attemptTimedOut
)

// attemptResult is how an attempt ended.
type attemptResult struct {
	status attemptStatus
	answer program.Answer
	err    error
}

// dispatch sends the pending attempt and waits for its end.
func (d *driver) dispatch(assigned *assignment) attemptResult {
	if d.dispatchedAt.IsZero() {
		d.dispatchedAt = time.Now()
	}
	limited, cancel := context.WithDeadline(d.run.context, d.dispatchedAt.Add(d.timeout))
	defer cancel()
	ctx, stop := d.watch(limited)
	defer stop()
	var result attemptResult
	if d.run.request.Kind == api.CallApplication {
		result = d.invoke(ctx, assigned)
	} else {
		result = d.generate(ctx, assigned)
	}
	return d.classify(ctx, result)
}

func (d *driver) owner() *Owner { return d.shard.owner }

// classify turns the end of a context into its reason.
func (d *driver) classify(ctx context.Context, result attemptResult) attemptResult {
	if result.status == attemptAnswered || result.status == attemptNotRun {
		return result
	}
	switch {
	case d.run.context.Err() != nil:
		result.status = attemptStopped
	case errors.Is(context.Cause(ctx), errUnresponsive):
		result.status, result.err = attemptLost, errUnresponsive
	case ctx.Err() != nil:
		result.status = attemptTimedOut
	}
	return result
}

func (d *driver) invoke(ctx context.Context, assigned *assignment) attemptResult {
	client := d.owner().config.Directory.Application(d.attempt.Address)
	output, err := client.Invoke(ctx, backend.InvokeRequest{
		Stream:         d.attempt.Stream,
		Operation:      assigned.request.Operation,
		Body:           assigned.request.Input,
		IdempotencyKey: assigned.request.IdempotencyKey,
	})
	if err != nil {
		return d.failedWith(err)
	}
	return attemptResult{status: attemptAnswered, answer: program.Answer{Output: output}}
}

func (d *driver) generate(ctx context.Context, assigned *assignment) attemptResult {
	client := d.owner().config.Directory.Engine(d.attempt.Address)
	result, err := client.Generate(ctx, backend.GenerateRequest{
		Stream:    d.attempt.Stream,
		Model:     assigned.request.Model,
		Adapter:   assigned.request.Adapter,
		Messages:  assigned.prompt,
		MaxTokens: assigned.request.MaxTokens,
		Priority:  assigned.priority,
		Seed:      Seed(d.run.id),
	}, d.onToken)
	if err == nil {
		return d.answered(result)
	}
	end := d.failedWith(err)
	if end.status == attemptNotRun || errors.Is(err, backend.ErrStreamCancelled) {
		return end
	}
	return d.resume(ctx, client, err)
}

// Seed returns the seed of a call. Every attempt of a call has the same one, so
// that it gives the same tokens wherever it runs.
func Seed(id identity.CallID) uint64 { return xxhash.Sum64String(id.String()) }

// errTokenGap tells that an engine left tokens out.
var errTokenGap = errors.New("serving: the engine's stream has a gap")

func (d *driver) onToken(token backend.Token) error {
	d.reached = d.attempt.Stream
	if !d.run.token(token.Index, token.Text) {
		return errTokenGap
	}
	return nil
}

func (d *driver) answered(result backend.GenerateResult) attemptResult {
	tokens := d.run.received()
	answer := program.Answer{
		Text:         result.Text,
		FinishReason: result.FinishReason,
		Usage:        api.Usage(result.Usage),
	}
	answer.TokenLengths = program.TokenLengths(tokens, result.Text)
	if len(answer.TokenLengths) == 0 && len(tokens) > 0 && !strings.HasPrefix(result.Text, strings.Join(tokens, "")) {
		d.owner().logger.Error("engine's text differs from its tokens", "call", d.run.id, "backend", d.attempt.Backend)
	}
	return attemptResult{status: attemptAnswered, answer: answer}
}

// failedWith sorts an error of a back end.
func (d *driver) failedWith(err error) attemptResult {
	if errors.Is(err, backend.ErrDraining) {
		d.owner().markLeaving(d.attempt.Backend)
	}
	if errors.Is(err, backend.ErrNotDelivered) || errors.Is(err, backend.ErrRefused) || errors.Is(err, backend.ErrDraining) {
		return attemptResult{status: attemptNotRun, err: err}
	}
	return attemptResult{status: attemptLost, err: err}
}

// markLeaving notes a back end's refusal for every reader of the blackboard.
func (o *Owner) markLeaving(name string) {
	o.config.Board.Backends.Update(name, func(b blackboard.Backend, found bool) (blackboard.Backend, bool) {
		b.Leaving = true
		return b, found
	})
	o.candidates.expire()
}

// resumeTries bounds how often a broken stream is attached to again.
const resumeTries = 4

// resume attaches to the pending attempt's stream until it ends or the engine
// does not know it.
func (d *driver) resume(ctx context.Context, client backend.Engine, cause error) attemptResult {
	pause := d.owner().backoff()
	for range resumeTries {
		result, err := client.Resume(ctx, d.attempt.Stream, len(d.run.received()), d.onToken)
		if err == nil {
			return d.answered(result)
		}
		cause = err
		if errors.Is(err, backend.ErrStreamUnknown) || errors.Is(err, backend.ErrStreamCancelled) {
			break
		}
		if wait.For(ctx, pause.NextBackOff()) != nil {
			break
		}
	}
	return attemptResult{status: attemptLost, err: cause}
}

// backoff returns the pauses between attempts, growing with jitter.
func (o *Owner) backoff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = o.config.Timing.AttemptRetry
	pause.MaxInterval = 20 * o.config.Timing.AttemptRetry
	return pause
}

// settle records how the attempt ended. It returns false if the call is to be
// placed again.
func (d *driver) settle(end attemptResult) (*outcome, bool) {
	switch end.status {
	case attemptAnswered:
		return d.recordAnswer(end.answer), true
	case attemptNotRun:
		return d.placeAgain(end)
	case attemptStopped:
		return d.stopped(), true
	case attemptTimedOut:
		return d.timedOut(), true
	default:
		return d.retryLost(end)
	}
}

// recordAnswer makes the answer last and returns it.
func (d *driver) recordAnswer(answer program.Answer) *outcome {
	s := d.shard
	now := time.Now()
	answer.Backend = d.attempt.Backend
	answer.Reason = d.reason
	answer.At = now
	answer.Run = now.Sub(d.attempt.At)
	answer.Queued = max(d.attempt.At.Sub(d.run.arrived), 0)
	if used := int64(answer.Usage.PromptTokens + answer.Usage.CompletionTokens); used > d.attempt.Reserved {
		s.owner.logger.Error("engine counted more tokens than its call can have", "call", d.run.id,
			"backend", d.attempt.Backend, "used", used, "reserved", d.attempt.Reserved)
	}
	s.machine.mutex.Lock()
	wait, err := s.commit(false, program.Result{Stream: d.attempt.Stream, Answer: answer})
	d.pending, d.open = false, false
	s.machine.mutex.Unlock()
	if err == nil {
		err = s.await(wait)
	}
	if err != nil {
		return failed(err)
	}
	if problem := answer.Problem(d.run.id); problem != nil {
		return failed(problem)
	}
	return &outcome{answer: publicAnswer(d.run.id, &answer)}
}

// placeAgain looks for another back end after an attempt that did not run.
func (d *driver) placeAgain(end attemptResult) (*outcome, bool) {
	d.logFailure("attempt did not run", end.err)
	if result := d.notRun(); result != nil {
		return result, true
	}
	d.refusedBy = append(d.refusedBy, d.attempt.Backend)
	d.excluded = lo.Uniq(append(d.excluded, d.attempt.Backend))
	return nil, false
}

func (d *driver) logFailure(message string, err error) {
	d.owner().metrics.attemptFailures.WithLabelValues(d.attempt.Backend).Inc()
	d.owner().logger.Warn(message, "call", d.run.id, "backend", d.attempt.Backend, "stream", d.attempt.Stream,
		"shard", d.shard.journal.ID(), "epoch", d.shard.journal.Epoch(), "error", err)
}

// mayRunAgain tells whether a call with a lost attempt may be sent again.
func (d *driver) mayRunAgain() bool {
	unrepeatable := d.run.request.Unrepeatable
	if rule := d.owner().config.Hooks.RunsAgain; rule != nil {
		return rule(d.run.id, unrepeatable)
	}
	return !unrepeatable
}

// retryLost runs a call again whose attempt was lost, if that is allowed and
// within the budget of retries.
func (d *driver) retryLost(end attemptResult) (*outcome, bool) {
	d.logFailure("attempt lost", end.err)
	if !d.mayRunAgain() {
		return d.outcomeUnknown(fmt.Sprintf("the answer of %s is lost: %s", d.attempt.Backend, end.err)), true
	}
	d.lost++
	if result := d.fence(); result != nil {
		return result, true
	}
	if d.lost >= d.owner().config.Bounds.Attempts || !d.owner().retries.Allow() {
		return d.abandon(failed(api.NewProblem(api.CodeBackendFailed, "call %s failed at %s: %s",
			d.run.id, d.attempt.Backend, end.err).WithRetryAfter(deadlineRetry))), true
	}
	d.excluded = lo.Uniq(append(d.excluded, d.attempt.Backend))
	pause := d.owner().backoff()
	if result := d.sleep(pause.NextBackOff(), nil); result != nil {
		return d.stopped(), true
	}
	return nil, false
}

// outcomeUnknown answers an unrepeatable call for ever.
func (d *driver) outcomeUnknown(detail string) *outcome {
	return d.recordAnswer(program.Answer{Code: api.CodeOutcomeUnknown, Detail: detail})
}

// fence cancels the pending attempt's stream, so that it cannot run behind the
// calls that follow. It goes on without the engine's confirmation once the engine
// is off the machine list or the limit has passed. A stream of which a token came
// reached its engine before anything that is sent from now on: it is cancelled
// only to stop its work, and nobody waits for that.
func (d *driver) fence() *outcome {
	if d.run.request.Kind != api.CallModel {
		return nil
	}
	if rule := d.owner().config.Hooks.Fence; rule != nil {
		if err := rule(d.attempt.Stream); err != nil {
			return failed(err)
		}
		return nil
	}
	client := d.owner().config.Directory.Engine(d.attempt.Address)
	if d.reached == d.attempt.Stream {
		go d.shard.cancelOnce(client, d.attempt.Stream)
		return nil
	}
	limit := time.Now().Add(d.owner().config.Timing.FenceLimit)
	pause := d.owner().backoff()
	for {
		ctx, cancel := context.WithTimeout(d.run.context, d.owner().config.Timing.RequestTimeout)
		err := client.Cancel(ctx, d.attempt.Stream)
		cancel()
		if err == nil || !d.owner().listed(d.attempt.Address) {
			return nil
		}
		if d.run.context.Err() != nil {
			return d.stopped()
		}
		if time.Now().After(limit) {
			d.logFailure("stream not confirmed as cancelled", err)
			return nil
		}
		if result := d.sleep(pause.NextBackOff(), nil); result != nil {
			return d.stopped()
		}
	}
}

// cancelOnce tries to stop a stream whose answer nobody waits for. If it fails,
// the release of the branch's cache there stops it later.
func (s *shard) cancelOnce(client backend.Engine, stream identity.StreamID) {
	ctx, cancel := context.WithTimeout(s.context, s.owner.config.Timing.RequestTimeout)
	defer cancel()
	if err := client.Cancel(ctx, stream); err != nil {
		s.owner.logger.Info("lost stream not cancelled yet", "stream", stream, "error", err)
	}
}

// stopped returns the outcome of a call whose run was ended. With the shard
// gone nothing is recorded: the next owner takes the call up. With the program
// ended, the outbox cancels the stream.
func (d *driver) stopped() *outcome {
	result := d.ended()
	if result == nil || d.shard.context.Err() != nil {
		return failed(d.shard.notOwner())
	}
	if d.run.request.Kind == api.CallApplication && d.pending && !d.mayRunAgain() {
		return d.outcomeUnknown("the program ended while the call ran")
	}
	return d.abandon(result)
}

// timedOut gives up a call that ran for longer than its class allows.
func (d *driver) timedOut() *outcome {
	if !d.mayRunAgain() {
		return d.outcomeUnknown(fmt.Sprintf("%s gave no answer in %s", d.attempt.Backend, d.timeout))
	}
	d.lost++
	if result := d.fence(); result != nil {
		return result
	}
	return d.abandon(failed(api.NewProblem(api.CodeDeadline, "call %s ran for longer than the %s that its class allows",
		d.run.id, d.timeout).WithRetryAfter(deadlineRetry)))
}
