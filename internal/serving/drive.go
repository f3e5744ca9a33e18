package serving

import (
	"context"
	"errors"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
)

// driver takes one run from its arrival to its outcome. Only its own goroutine
// touches it.
type driver struct {
	shard *shard
	run   *run
	// attempt is the open attempt while pending is true.
	attempt program.Attempt
	pending bool
	// open is true while the journalled state has the call open.
	open bool
	// lost counts the attempts that may have run without a result; ranBefore tells
	// that an earlier run of the call had some.
	lost      int
	ranBefore bool
	// excluded are back ends that failed this call, refusedBy those of them that
	// did not take it.
	excluded  []string
	refusedBy []string
	// dispatchedAt is when the first attempt was sent; all of them together may take
	// timeout.
	dispatchedAt time.Time
	// reached is the last stream of which a token came: its engine took it in.
	reached identity.StreamID
	timeout time.Duration
	reason  string
}

// drive runs r and leaves its outcome to the followers.
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
	s.changed(r.id.Program)
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
			if result := d.awaitTurn(); result != nil {
				return result
			}
		}
		result, settled := d.try()
		if settled {
			return result
		}
	}
}

// try places the call once and runs it there. It returns false if the call is to
// be placed again.
func (d *driver) try() (*outcome, bool) {
	assigned, result := d.assign()
	if result != nil {
		return d.abandon(result), true
	}
	defer assigned.leave()
	again, result := d.record(assigned)
	if result != nil {
		return result, true
	}
	if again {
		return nil, false
	}
	if err := d.shard.checkLease(); err != nil {
		d.noteUnsent()
		return failed(err), true
	}
	return d.settle(d.dispatch(assigned))
}

// noteUnsent remembers that the pending attempt was not sent, for the run that
// takes the call up again if the lease comes back to this node.
func (d *driver) noteUnsent() {
	d.shard.machine.mutex.Lock()
	defer d.shard.machine.mutex.Unlock()
	d.shard.unsent[d.attempt.Stream] = struct{}{}
}

// ended returns the outcome of a run whose context ended, nil while it goes on.
func (d *driver) ended() *outcome {
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

func (d *driver) mayHaveRun() bool { return d.pending || d.lost > 0 || d.ranBefore }

// awaitTurn waits until every earlier call of the branch is answered. A call
// that nobody has sent is waited for up to the gap limit.
func (d *driver) awaitTurn() *outcome {
	gap := d.shard.owner.config.Timing.GapWait
	var missingSince time.Time
	for {
		verdict, changed, missing := d.evaluate()
		if result := d.ended(); result != nil {
			return result
		}
		switch {
		case verdict.Action == program.ActionRun:
			return nil
		case verdict.Action == program.ActionRepeat:
			if result := d.repeat(); result != nil {
				return result
			}
			continue
		case verdict.Action == program.ActionReplay:
			return &outcome{answer: publicAnswer(d.run.id, &verdict.Call.Answer)}
		case verdict.Problem != nil:
			return failed(d.shard.certain(verdict.Problem))
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
			return d.tooEarly(missing)
		}
		if result := d.sleep(until.Sub(now), changed); result != nil {
			return result
		}
	}
}

func (d *driver) tooEarly(missing bool) *outcome {
	if missing {
		return failed(api.NewProblem(api.CodeSequenceGap, "the call before %s did not arrive", d.run.id).
			WithRetryAfter(d.shard.owner.config.Timing.GapWait))
	}
	return failed(api.NewProblem(api.CodeDeadline, "the calls before %s had no answer by its deadline", d.run.id).
		WithNotRun(!d.mayHaveRun()).WithRetryAfter(deadlineRetry))
}

// evaluate asks the state what to do with the call now. missing tells that the
// call which the branch waits for has not arrived.
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

// sleep waits for a change or the time to pass; it returns an outcome if the run
// ended meanwhile. changed may be nil.
func (d *driver) sleep(duration time.Duration, changed <-chan struct{}) *outcome {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-d.run.context.Done():
		return d.ended()
	}
	return nil
}

// repeat answers the call with the answer of the earlier call that carried its
// key. It returns nil if the state changed meanwhile.
func (d *driver) repeat() *outcome {
	s := d.shard
	s.machine.mutex.Lock()
	p := s.machine.set.Get(d.run.id.Program)
	if p == nil || d.run.withdrawn {
		s.machine.mutex.Unlock()
		return d.ended()
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

// record makes the intent of the call's next attempt last. again is true if the
// call lost its turn meanwhile.
func (d *driver) record(assigned *assignment) (again bool, result *outcome) {
	s := d.shard
	unrepeatable := d.run.request.Unrepeatable
	durable := unrepeatable
	if rule := s.owner.config.Hooks.Durable; rule != nil {
		durable = rule(d.run.id, unrepeatable)
	}
	s.machine.mutex.Lock()
	if d.run.withdrawn || d.run.context.Err() != nil {
		s.machine.mutex.Unlock()
		return false, d.abandon(d.ended())
	}
	if s.closing {
		s.machine.mutex.Unlock()
		return false, failed(s.notOwner()) // what is sent now could be cut off
	}
	record, again, problem := d.intent(assigned)
	if again || problem != nil {
		s.machine.mutex.Unlock()
		if again {
			return true, nil
		}
		problem.WithNotRun(problem.NotRun && !d.mayHaveRun()) // an earlier attempt may have
		return false, d.abandon(failed(s.certain(problem)))
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

// intent returns the record that opens the call's next attempt; the caller holds
// the mutex.
func (d *driver) intent(assigned *assignment) (record program.Record, again bool, problem *api.Problem) {
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
		assigned.load(p, call.Request)
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
		s.owner.noteReturn(p, d.run.id.Branch, intent.Attempt.At)
	}
	assigned.load(p, intent.Request)
	return intent, false, nil
}

// awaitIntent waits until the intent is held. An intent that could not be made
// durable is taken back: it was not sent.
func (d *driver) awaitIntent(durable bool, wait waitFunc) *outcome {
	err := wait(d.shard.context)
	switch {
	case err == nil:
		return nil
	case !durable || IsNotOwner(err) || d.shard.context.Err() != nil:
		return failed(d.shard.notOwner())
	}
	d.shard.owner.logger.Warn("unrepeatable call refused: its intent is not durable", "call", d.run.id,
		"shard", d.shard.journal.ID(), "epoch", d.shard.journal.Epoch(), "error", err)
	if result := d.notRun(); result != nil {
		return result
	}
	return d.abandon(failed(api.NewProblem(api.CodeLogUnavailable,
		"the intent of call %s could not be made durable", d.run.id).
		WithNotRun(!d.mayHaveRun()).WithRetryAfter(logRetry)))
}

// logRetry is when a caller should come back whose call needs the log.
const logRetry = 5 * time.Second

// notRun records that the pending attempt did not run.
func (d *driver) notRun() *outcome {
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

// abandon takes an open call back, so that its sequence may be sent again, and
// returns result. What an attempt may have spent stays charged.
func (d *driver) abandon(result *outcome) *outcome {
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
