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

// attemptStatus is how an attempt ended.
type attemptStatus uint8

const (
	// attemptAnswered: the back end answered.
	attemptAnswered attemptStatus = iota + 1
	// attemptNotRun: the attempt did not run, for certain.
	attemptNotRun
	// attemptLost: the attempt may have run, and its answer cannot be obtained.
	attemptLost
	// attemptStopped: the context of the run ended.
	attemptStopped
	// attemptTimedOut: the time limit of the call passed.
	attemptTimedOut
)

// attemptResult is the result of one attempt; err is set unless a back end answered.
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

// classify sets the status of a failed attempt whose context ended, from the cause of
// that end.
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
		return d.errorResult(err)
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
		return d.answerResult(result)
	}
	end := d.errorResult(err)
	if end.status == attemptNotRun || errors.Is(err, backend.ErrStreamCancelled) {
		return end
	}
	return d.resume(ctx, client, err)
}

// Seed returns the sampling seed of a call. All attempts of a call share it, so that they
// produce the same tokens on any engine.
func Seed(id identity.CallID) uint64 { return xxhash.Sum64String(id.String()) }

// errTokenGap reports a stream that skips tokens.
var errTokenGap = errors.New("serving: the engine's stream has a gap")

func (d *driver) onToken(token backend.Token) error {
	d.receivedStream = d.attempt.Stream
	if !d.run.addToken(token.Index, token.Text) {
		return errTokenGap
	}
	return nil
}

func (d *driver) answerResult(result backend.GenerateResult) attemptResult {
	tokens := d.run.received()
	answer := program.Answer{
		Text:         result.Text,
		FinishReason: result.FinishReason,
		Usage:        api.Usage(result.Usage),
	}
	answer.TokenLengths = program.TokenLengths(tokens, result.Text)
	if len(answer.TokenLengths) == 0 && len(tokens) > 0 && !strings.HasPrefix(result.Text, strings.Join(tokens, "")) {
		d.owner().logger.Error("engine's text does not match its streamed tokens", "call", d.run.id, "backend", d.attempt.Backend)
	}
	return attemptResult{status: attemptAnswered, answer: answer}
}

// errorResult classifies an error of a back end.
func (d *driver) errorResult(err error) attemptResult {
	if errors.Is(err, backend.ErrDraining) {
		d.owner().markLeaving(d.attempt.Backend)
	}
	if errors.Is(err, backend.ErrNotDelivered) || errors.Is(err, backend.ErrRefused) || errors.Is(err, backend.ErrDraining) {
		return attemptResult{status: attemptNotRun, err: err}
	}
	return attemptResult{status: attemptLost, err: err}
}

// markLeaving marks a back end that rejected a request because it drains, for every
// reader of the blackboard.
func (o *Owner) markLeaving(name string) {
	o.config.Board.Backends.Update(name, func(b blackboard.Backend, found bool) (blackboard.Backend, bool) {
		b.Leaving = true
		return b, found
	})
	o.candidates.invalidate()
}

// maxResumeAttempts limits how often a broken stream is resumed.
const maxResumeAttempts = 4

// resume reattaches to the stream of the pending attempt until it ends or the engine no
// longer knows it.
func (d *driver) resume(ctx context.Context, client backend.Engine, cause error) attemptResult {
	pause := d.owner().backoff()
	for range maxResumeAttempts {
		result, err := client.Resume(ctx, d.attempt.Stream, len(d.run.received()), d.onToken)
		if err == nil {
			return d.answerResult(result)
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

// backoff returns the exponential backoff between attempts, with jitter.
func (o *Owner) backoff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = o.config.Timing.RetryInterval
	pause.MaxInterval = 20 * o.config.Timing.RetryInterval
	return pause
}

// settle records how the attempt ended. It returns false if the call needs another
// attempt.
func (d *driver) settle(end attemptResult) (*outcome, bool) {
	switch end.status {
	case attemptAnswered:
		return d.recordAnswer(end.answer), true
	case attemptNotRun:
		return d.retryElsewhere(end)
	case attemptStopped:
		return d.stoppedOutcome(), true
	case attemptTimedOut:
		return d.timeoutOutcome(), true
	default:
		return d.retryLost(end)
	}
}

// recordAnswer commits the answer and returns it as the outcome.
func (d *driver) recordAnswer(answer program.Answer) *outcome {
	s := d.shard
	now := time.Now()
	answer.Backend = d.attempt.Backend
	answer.Reason = d.reason
	answer.At = now
	answer.Run = now.Sub(d.attempt.At)
	answer.Queued = max(d.attempt.At.Sub(d.run.arrived), 0)
	if used := int64(answer.Usage.PromptTokens + answer.Usage.CompletionTokens); used > d.attempt.Reserved {
		s.owner.logger.Error("engine reported more tokens than were reserved for the call", "call", d.run.id,
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

// retryElsewhere excludes the back end of an attempt that did not run, so that the next
// attempt uses another one.
func (d *driver) retryElsewhere(end attemptResult) (*outcome, bool) {
	d.logFailure("attempt did not run; trying another back end", end.err)
	if result := d.recordNotRun(); result != nil {
		return result, true
	}
	d.rejectedBy = append(d.rejectedBy, d.attempt.Backend)
	d.excluded = lo.Uniq(append(d.excluded, d.attempt.Backend))
	return nil, false
}

func (d *driver) logFailure(message string, err error) {
	d.owner().metrics.attemptFailures.WithLabelValues(d.attempt.Backend).Inc()
	d.owner().logger.Warn(message, "call", d.run.id, "backend", d.attempt.Backend, "stream", d.attempt.Stream,
		"shard", d.shard.journal.ID(), "epoch", d.shard.journal.Epoch(), "error", err)
}

// mayRetry reports whether a call with a lost attempt may be sent again.
func (d *driver) mayRetry() bool {
	unrepeatable := d.run.request.Unrepeatable
	if rule := d.owner().config.Hooks.MayRetry; rule != nil {
		return rule(d.run.id, unrepeatable)
	}
	return !unrepeatable
}

// retryLost prepares another attempt of a call whose attempt was lost, if the call may
// run again and the retry limits allow it.
func (d *driver) retryLost(end attemptResult) (*outcome, bool) {
	d.logFailure("attempt failed with unknown outcome", end.err)
	if !d.mayRetry() {
		return d.outcomeUnknown(fmt.Sprintf("the answer of %s is lost: %s", d.attempt.Backend, end.err)), true
	}
	d.lostAttempts++
	if result := d.fence(); result != nil {
		return result, true
	}
	if d.lostAttempts >= d.owner().config.Limits.MaxAttempts || !d.owner().retries.Allow() {
		return d.withdraw(failed(api.NewProblem(api.CodeBackendFailed, "call %s failed at %s: %s",
			d.run.id, d.attempt.Backend, end.err).WithRetryAfter(deadlineRetry))), true
	}
	d.excluded = lo.Uniq(append(d.excluded, d.attempt.Backend))
	pause := d.owner().backoff()
	if result := d.sleep(pause.NextBackOff(), nil); result != nil {
		return d.stoppedOutcome(), true
	}
	return nil, false
}

// outcomeUnknown records a permanent answer with code outcome unknown, since the call may
// have run and must not run again.
func (d *driver) outcomeUnknown(detail string) *outcome {
	return d.recordAnswer(program.Answer{Code: api.CodeOutcomeUnknown, Detail: detail})
}

// fence cancels the stream of the pending attempt, so that a delayed request cannot run
// after later calls of the branch. It proceeds without the engine's confirmation once the
// engine is not in the machine list or FenceTimeout has passed. A stream that has
// delivered a token has already reached its engine and cannot arrive late; it is
// cancelled in the background, only to stop its work.
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
	if d.receivedStream == d.attempt.Stream {
		go d.shard.cancelOnce(client, d.attempt.Stream)
		return nil
	}
	limit := time.Now().Add(d.owner().config.Timing.FenceTimeout)
	pause := d.owner().backoff()
	for {
		ctx, cancel := context.WithTimeout(d.run.context, d.owner().config.Timing.RequestTimeout)
		err := client.Cancel(ctx, d.attempt.Stream)
		cancel()
		if err == nil || !d.owner().listed(d.attempt.Address) {
			return nil
		}
		if d.run.context.Err() != nil {
			return d.stoppedOutcome()
		}
		if time.Now().After(limit) {
			d.logFailure("engine did not confirm the cancellation of a stream before the fence timeout", err)
			return nil
		}
		if result := d.sleep(pause.NextBackOff(), nil); result != nil {
			return d.stoppedOutcome()
		}
	}
}

// cancelOnce makes one attempt to stop a stream whose answer is not needed. If it fails,
// the release of the branch's cache at that engine stops the stream later.
func (s *shard) cancelOnce(client backend.Engine, stream identity.StreamID) {
	ctx, cancel := context.WithTimeout(s.context, s.owner.config.Timing.RequestTimeout)
	defer cancel()
	if err := client.Cancel(ctx, stream); err != nil {
		s.owner.logger.Info("cancellation of a lost stream failed; the release of its branch will stop it", "stream", stream, "error", err)
	}
}

// stoppedOutcome returns the outcome of a run whose context ended. If the shard was lost,
// nothing is recorded and the next owner recovers the call. If the program ended, the
// outbox cancels the stream.
func (d *driver) stoppedOutcome() *outcome {
	result := d.contextOutcome()
	if result == nil || d.shard.context.Err() != nil {
		return failed(d.shard.notOwner())
	}
	if d.run.request.Kind == api.CallApplication && d.pending && !d.mayRetry() {
		return d.outcomeUnknown("the program ended while the call ran")
	}
	return d.withdraw(result)
}

// timeoutOutcome returns the outcome of a call that exceeded the time limit of its class.
func (d *driver) timeoutOutcome() *outcome {
	if !d.mayRetry() {
		return d.outcomeUnknown(fmt.Sprintf("%s gave no answer in %s", d.attempt.Backend, d.timeout))
	}
	d.lostAttempts++
	if result := d.fence(); result != nil {
		return result
	}
	return d.withdraw(failed(api.NewProblem(api.CodeDeadline, "call %s ran for longer than the %s that its class allows",
		d.run.id, d.timeout).WithRetryAfter(deadlineRetry)))
}
