package serving

import (
	"context"
	"errors"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
)

// driver executes one run from its arrival to its outcome. Only the goroutine of drive
// modifies it.
type driver struct {
	shard *shard
	run   *run
	// attempt is the open attempt while pending is true.
	attempt program.Attempt
	pending bool
	// open is true while the call is open in the journalled state.
	open bool
	// lostAttempts counts the attempts that may have run without a result. ranBefore is
	// true if an earlier run of the call had such attempts.
	lostAttempts int
	ranBefore    bool
	// excluded are the back ends that failed this call; rejectedBy is the subset that did
	// not accept it.
	excluded   []string
	rejectedBy []string
	// dispatchedAt is when the first attempt was sent. timeout bounds all attempts
	// together.
	dispatchedAt time.Time
	// receivedStream is the last stream that delivered a token, which proves that its
	// engine had accepted it.
	receivedStream identity.StreamID
	timeout        time.Duration
	reason         string
}

// drive executes r and publishes its outcome to the callers that wait for it.
func (s *shard) drive(r *run) {
	defer s.drivers.Done()
	d := &driver{shard: s, run: r}
	result := d.execute()
	s.machine.mutex.Lock()
	r.withdrawn = r.withdrawn || !r.dispatched
	delete(s.runs, r.id)
	if e := s.entries[r.id.Program]; e != nil {
		e.runs--
	}
	s.notifyChanged(r.id.Program)
	s.machine.mutex.Unlock()
	r.finish(result)
	r.cancel(nil)
}

func (d *driver) execute() *outcome {
	if d.run.recovered {
		if result := d.recover(); result != nil {
			return result
		}
	}
	for {
		if !d.open {
			if result := d.awaitPredecessors(); result != nil {
				return result
			}
		}
		result, settled := d.attemptOnce()
		if settled {
			return result
		}
	}
}

// attemptOnce makes one attempt. It returns false if the call needs another.
func (d *driver) attemptOnce() (*outcome, bool) {
	assigned, result := d.assign()
	if result != nil {
		return d.withdraw(result), true
	}
	defer assigned.release()
	again, result := d.recordIntent(assigned)
	if result != nil {
		return result, true
	}
	if again {
		return nil, false
	}
	if err := d.shard.checkLease(); err != nil {
		d.recordUnsent()
		return failed(err), true
	}
	return d.settle(d.dispatch(assigned))
}

// recordUnsent records that the pending attempt was not sent, for the run that recovers
// the call if this node renews its lease.
func (d *driver) recordUnsent() {
	d.shard.machine.mutex.Lock()
	defer d.shard.machine.mutex.Unlock()
	d.shard.unsent[d.attempt.Stream] = struct{}{}
}

// contextOutcome returns the outcome of a run whose context ended, and nil while it is
// active.
func (d *driver) contextOutcome() *outcome {
	if d.run.context.Err() == nil {
		return nil
	}
	switch cause := context.Cause(d.run.context); {
	case errors.Is(cause, errWithdrawn):
		return failed(api.NewProblem(api.CodeDeadline, "call %s was not started by its deadline", d.run.id).
			WithNotRun(!d.mayHaveRun()).WithRetryAfter(deadlineRetry))
	case errors.Is(cause, errProgramEnded):
		return failed(api.NewProblem(api.CodeCancelled, "call %s was stopped with its program", d.run.id).
			WithNotRun(!d.mayHaveRun()))
	default:
		return failed(d.shard.notOwner())
	}
}

func (d *driver) mayHaveRun() bool { return d.pending || d.lostAttempts > 0 || d.ranBefore }

// awaitPredecessors waits until every earlier call of the branch is answered. It waits at
// most SequenceGapTimeout for an earlier call that has not arrived.
func (d *driver) awaitPredecessors() *outcome {
	gap := d.shard.owner.config.Timing.SequenceGapTimeout
	var missingSince time.Time
	for {
		verdict, changed, missing := d.evaluate()
		if result := d.contextOutcome(); result != nil {
			return result
		}
		switch {
		case verdict.Action == program.ActionRun:
			return nil
		case verdict.Action == program.ActionRepeat:
			if result := d.answerDuplicate(); result != nil {
				return result
			}
			continue
		case verdict.Action == program.ActionReplay:
			return &outcome{answer: publicAnswer(d.run.id, &verdict.Call.Answer)}
		case verdict.Problem != nil:
			return failed(d.shard.ifStillOwner(verdict.Problem))
		}
		now := time.Now()
		until := d.deadline()
		switch {
		case !missing:
			missingSince = time.Time{}
		case missingSince.IsZero():
			missingSince = now
		}
		if missing && missingSince.Add(gap).Before(until) {
			until = missingSince.Add(gap)
		}
		if !now.Before(until) {
			return d.predecessorTimeout(missing)
		}
		if result := d.sleep(until.Sub(now), changed); result != nil {
			return result
		}
	}
}

func (d *driver) predecessorTimeout(missing bool) *outcome {
	if missing {
		return failed(api.NewProblem(api.CodeSequenceGap, "the call before %s did not arrive", d.run.id).
			WithRetryAfter(d.shard.owner.config.Timing.SequenceGapTimeout))
	}
	return failed(api.NewProblem(api.CodeDeadline, "the calls before %s had no answer by its deadline", d.run.id).
		WithNotRun(!d.mayHaveRun()).WithRetryAfter(deadlineRetry))
}

// evaluate returns the next action for the call in the current state. missing reports
// whether the call that the branch waits for has not arrived.
func (d *driver) evaluate() (verdict program.Evaluation, changed <-chan struct{}, missing bool) {
	s := d.shard
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	p := s.machine.set.Get(d.run.id.Program)
	if p == nil {
		return program.Evaluation{Action: program.ActionRefuse, Problem: api.NewProblem(api.CodeProgramEnded,
			"program %s is gone", d.run.id.Program)}, nil, false
	}
	d.ranBefore = p.MayHaveRun(d.run.id)
	verdict = p.Evaluate(time.Now(), d.run.request)
	if verdict.Action != program.ActionWait {
		return verdict, nil, false
	}
	awaited := d.run.id
	awaited.Sequence = p.Next(awaited.Branch)
	_, runs := s.runs[awaited]
	return verdict, s.awaitChange(awaited.Program), !runs
}

// sleep waits for a change or until duration has passed. It returns an outcome if the run
// ended meanwhile. changed may be nil.
func (d *driver) sleep(duration time.Duration, changed <-chan struct{}) *outcome {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-d.run.context.Done():
		return d.contextOutcome()
	}
	return nil
}

// answerDuplicate answers the call with the answer of the earlier call that had the same
// idempotency key. It returns nil if the state changed meanwhile.
func (d *driver) answerDuplicate() *outcome {
	s := d.shard
	s.machine.mutex.Lock()
	p := s.machine.set.Get(d.run.id.Program)
	if p == nil || d.run.withdrawn {
		s.machine.mutex.Unlock()
		return d.contextOutcome()
	}
	verdict := p.Evaluate(time.Now(), d.run.request)
	if verdict.Action != program.ActionRepeat {
		s.machine.mutex.Unlock()
		return nil
	}
	original := verdict.Call
	d.run.dispatched = true
	wait, err := s.commit(false, program.Deduplicated{
		ID: d.run.id, Digest: d.run.request.Digest, Of: original.Request.ID, At: time.Now(),
	})
	s.machine.mutex.Unlock()
	if err == nil {
		err = s.await(wait)
	}
	if err != nil {
		return failed(err)
	}
	if problem := original.Answer.Problem(d.run.id); problem != nil {
		return failed(problem)
	}
	answer := publicAnswer(d.run.id, &original.Answer)
	answer.Replayed = true
	return &outcome{answer: answer}
}

// recordIntent commits the intent of the call's next attempt. again is true if the call
// must wait for earlier calls again.
func (d *driver) recordIntent(assigned *assignment) (again bool, result *outcome) {
	s := d.shard
	unrepeatable := d.run.request.Unrepeatable
	durable := unrepeatable
	if rule := s.owner.config.Hooks.RequiresDurableIntent; rule != nil {
		durable = rule(d.run.id, unrepeatable)
	}
	s.machine.mutex.Lock()
	if d.run.withdrawn || d.run.context.Err() != nil {
		s.machine.mutex.Unlock()
		return false, d.withdraw(d.contextOutcome())
	}
	if s.closing {
		s.machine.mutex.Unlock()
		return false, failed(s.notOwner()) // the handover could interrupt an attempt that starts now
	}
	record, again, problem := d.newIntent(assigned)
	if again || problem != nil {
		s.machine.mutex.Unlock()
		if again {
			return true, nil
		}
		problem.WithNotRun(problem.NotRun && !d.mayHaveRun()) // an earlier attempt may have run
		return false, d.withdraw(failed(s.ifStillOwner(problem)))
	}
	wait, err := s.commit(durable, record)
	if err == nil {
		d.run.dispatched = true
		d.pending, d.open = true, true
	}
	s.machine.mutex.Unlock()
	if err != nil {
		return false, failed(err)
	}
	return false, d.awaitIntent(durable, wait)
}

// newIntent returns the record that opens the call's next attempt. The caller holds the
// mutex.
func (d *driver) newIntent(assigned *assignment) (record program.Record, again bool, problem *api.Problem) {
	s := d.shard
	p := s.machine.set.Get(d.run.id.Program)
	dispatch := program.Dispatch{
		Backend:         assigned.backend.Name,
		Address:         assigned.backend.Address,
		Epoch:           s.journal.Epoch(),
		ReservationRule: s.owner.config.Hooks.Reserve,
	}
	d.timeout = s.callTimeout(p)
	if call := p.Call(d.run.id); call != nil && call.Open {
		retry, problem := p.Retry(time.Now(), call, dispatch)
		if problem != nil {
			return nil, false, problem
		}
		d.attempt = retry.Attempt
		assigned.prepare(p, call.Request)
		return retry, false, nil
	}
	verdict := p.Evaluate(time.Now(), d.run.request)
	if verdict.Action != program.ActionRun {
		return nil, verdict.Problem == nil, verdict.Problem
	}
	intent, problem := p.Begin(time.Now(), d.run.request, dispatch)
	if problem != nil {
		return nil, false, problem
	}
	d.attempt = intent.Attempt
	if intent.Request.Kind == api.CallModel {
		s.owner.recordReturn(p, d.run.id.Branch, intent.Attempt.At)
	}
	assigned.prepare(p, intent.Request)
	return intent, false, nil
}

// awaitIntent waits until the intent is replicated. An intent that could not be made
// durable is withdrawn, as its attempt was not sent.
func (d *driver) awaitIntent(durable bool, wait waitFunc) *outcome {
	err := wait(d.shard.context)
	switch {
	case err == nil:
		return nil
	case !durable || IsNotOwner(err) || d.shard.context.Err() != nil:
		return failed(d.shard.notOwner())
	}
	d.shard.owner.logger.Warn("unrepeatable call refused: its intent could not be made durable", "call", d.run.id,
		"shard", d.shard.journal.ID(), "epoch", d.shard.journal.Epoch(), "error", err)
	if result := d.recordNotRun(); result != nil {
		return result
	}
	return d.withdraw(failed(api.NewProblem(api.CodeLogUnavailable,
		"the intent of call %s could not be made durable", d.run.id).
		WithNotRun(!d.mayHaveRun()).WithRetryAfter(logRetry)))
}

// logRetry is the retry delay of a call that requires the log.
const logRetry = 5 * time.Second

// recordNotRun records that the pending attempt did not run.
func (d *driver) recordNotRun() *outcome {
	s := d.shard
	s.machine.mutex.Lock()
	_, err := s.commit(false, program.NotRun{Stream: d.attempt.Stream})
	delete(s.unsent, d.attempt.Stream)
	d.pending = false
	s.machine.mutex.Unlock()
	if err != nil {
		return failed(err)
	}
	return nil
}

// withdraw closes an open call without an answer, so that its sequence may be sent again,
// and returns result. Tokens that an attempt may have spent stay charged.
func (d *driver) withdraw(result *outcome) *outcome {
	if !d.open || IsNotOwner(result.err) {
		return result
	}
	s := d.shard
	s.machine.mutex.Lock()
	wait, err := s.commit(false, program.Withdrawn{Call: d.run.id, At: time.Now()})
	d.open = false
	s.machine.mutex.Unlock()
	if err == nil {
		err = s.await(wait)
	}
	if err != nil {
		return failed(err)
	}
	return result
}
