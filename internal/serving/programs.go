package serving

import (
	"context"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
)

// noTableRetry is the retry delay of a caller that reached a node without a table.
const noTableRetry = time.Second

// locate returns the shard of a program with its mutex locked, or an error with the mutex
// unlocked.
func (o *Owner) locate(id identity.ProgramID) (*shard, error) {
	s, err := o.shardOf(id)
	if err != nil {
		return nil, err
	}
	s.machine.mutex.Lock()
	if s.closing || s.stopped {
		s.machine.mutex.Unlock()
		return nil, notOwnerNotRun(s.journal.ID())
	}
	return s, nil
}

// view returns the API representation of the program. The caller holds the mutex.
func (s *shard) view(p *program.Program) api.Program {
	view := p.View()
	view.Owner = string(s.owner.config.Self)
	view.Shard = uint32(s.journal.ID())
	view.Epoch = uint64(s.journal.Epoch())
	return view
}

// afterCommit returns view once the records that it reflects are replicated, if this node
// still owns the shard.
func (s *shard) afterCommit(ctx context.Context, view api.Program, pending *pendingCommit) (api.Program, error) {
	if err := pending.wait(ctx); err != nil {
		return api.Program{}, s.interrupted(ctx, err)
	}
	if err := s.checkLease(); err != nil {
		return api.Program{}, err
	}
	return view, nil
}

// interrupted converts the end of a caller's context to a problem.
func (s *shard) interrupted(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return api.NewProblem(api.CodeInterrupted, "the caller left: %s", ctx.Err())
	}
	return err
}

// Create implements Programs. The program keeps the limits that its class has at
// creation.
func (o *Owner) Create(ctx context.Context, request CreateRequest) (api.Program, error) {
	s, err := o.locate(request.ID)
	if err != nil {
		return api.Program{}, err
	}
	view, pending, err := s.create(request)
	s.machine.mutex.Unlock()
	if err != nil {
		return api.Program{}, err
	}
	return s.afterCommit(ctx, view, pending)
}

func (s *shard) create(request CreateRequest) (api.Program, *pendingCommit, error) {
	if p := s.machine.set.Get(request.ID); p != nil {
		if p.Tenant() != request.Tenant || p.Class() != request.Class {
			return api.Program{}, nil, api.NewProblem(api.CodeConflict,
				"program %s stands with another tenant or class", request.ID)
		}
		return s.view(p), s.entryOf(request.ID).pending, nil
	}
	published := s.owner.config.Board.Table.Load()
	if published == nil {
		return api.Program{}, nil, api.NewProblem(api.CodeNoTable, "this node has no table yet").WithRetryAfter(noTableRetry)
	}
	class, known := published.Classes[request.Class]
	if !known {
		return api.Program{}, nil, api.NewProblem(api.CodeUnknownClass,
			"version %d of the table has no class %q", published.Version, request.Class)
	}
	record := program.Created{
		ID: request.ID, Tenant: request.Tenant, Class: request.Class, Limits: program.LimitsOf(class), At: time.Now(),
	}
	wait, err := s.commit(false, record)
	if err != nil {
		return api.Program{}, nil, err
	}
	pending := s.trackCommit(request.ID, wait)
	return s.view(s.machine.set.Get(request.ID)), pending, nil
}

// Get implements Programs.
func (o *Owner) Get(ctx context.Context, id identity.ProgramID) (api.Program, error) {
	s, err := o.locate(id)
	if err != nil {
		return api.Program{}, err
	}
	p := s.machine.set.Get(id)
	if p == nil {
		s.machine.mutex.Unlock()
		return api.Program{}, s.unknownProgram(id)
	}
	view, pending := s.view(p), s.entryOf(id).pending
	s.machine.mutex.Unlock()
	return s.afterCommit(ctx, view, pending)
}

// unknownProgram returns the error for a program that does not exist. It is authoritative
// only if this node still owns the shard.
func (s *shard) unknownProgram(id identity.ProgramID) error {
	if err := s.checkLease(); err != nil {
		return err
	}
	return api.NewProblem(api.CodeUnknownProgram, "there is no program %s", id)
}

// End implements Programs.
func (o *Owner) End(ctx context.Context, id identity.ProgramID) (api.Program, error) {
	return o.finish(ctx, id, api.ProgramEnded)
}

// Cancel implements Programs.
func (o *Owner) Cancel(ctx context.Context, id identity.ProgramID) (api.Program, error) {
	return o.finish(ctx, id, api.ProgramCancelled)
}

func (o *Owner) finish(ctx context.Context, id identity.ProgramID, state api.ProgramState) (api.Program, error) {
	s, err := o.locate(id)
	if err != nil {
		return api.Program{}, err
	}
	p := s.machine.set.Get(id)
	if p == nil {
		s.machine.mutex.Unlock()
		return api.Program{}, s.unknownProgram(id)
	}
	err = s.end(p, state)
	view, pending := s.view(p), s.entryOf(id).pending
	s.machine.mutex.Unlock()
	if err != nil {
		return api.Program{}, err
	}
	return s.afterCommit(ctx, view, pending)
}

// end ends a running program; it does nothing if the program has ended. Model calls in
// progress are cancelled. Application calls cannot be stopped and run to completion, so
// that their callers get the result. The caller holds the mutex.
func (s *shard) end(p *program.Program, state api.ProgramState) error {
	record, running := p.End(time.Now(), state)
	if !running {
		return nil
	}
	s.owner.recordEnd(p, record.At)
	wait, err := s.commit(false, record)
	if err != nil {
		return err
	}
	s.trackCommit(p.ID(), wait)
	s.owner.metrics.ended.WithLabelValues(string(state)).Inc()
	s.owner.durations.add(p.Class(), time.Since(p.Created()))
	s.owner.logger.Info("program ended", "program", p.ID(), "shard", s.journal.ID(), "epoch", s.journal.Epoch(),
		"state", state, "spent", p.Spent(), "calls", p.Calls())
	for id, r := range s.runs {
		if id.Program == p.ID() && (r.resumable() || !r.dispatched) {
			r.cancel(errProgramEnded)
		}
	}
	return nil
}

// Call implements Programs.
func (o *Owner) Call(ctx context.Context, request CallRequest, onToken TokenFunc) (api.Answer, error) {
	if problem := validate(request.Call); problem != nil {
		return api.Answer{}, problem
	}
	s, err := o.locate(request.Program)
	if err != nil {
		return api.Answer{}, err
	}
	call := program.NewRequest(request.Program, request.Call)
	options := callerOptions{from: request.From, wait: seconds(request.Call.DeadlineSeconds), onToken: onToken}
	r, stored, err := s.findOrStart(call, &options)
	s.machine.mutex.Unlock()
	switch {
	case err != nil:
		return api.Answer{}, err
	case stored != nil:
		return s.replay(call.ID, stored, options)
	}
	return s.awaitOutcome(ctx, r, options)
}

// Fetch implements Programs.
func (o *Owner) Fetch(ctx context.Context, request FetchRequest, onToken TokenFunc) (api.Answer, error) {
	s, err := o.locate(request.Call.Program)
	if err != nil {
		return api.Answer{}, err
	}
	options := callerOptions{from: request.From, onToken: onToken}
	r, stored, err := s.lookUp(request.Call, &options)
	s.machine.mutex.Unlock()
	switch {
	case err != nil:
		return api.Answer{}, err
	case stored != nil:
		return s.replay(request.Call, stored, options)
	}
	return s.awaitOutcome(ctx, r, options)
}

// lookUp returns the run or the stored answer of an existing call. The caller holds the
// mutex.
func (s *shard) lookUp(id identity.CallID, options *callerOptions) (*run, *program.Answer, error) {
	p := s.machine.set.Get(id.Program)
	if p == nil {
		return nil, nil, s.unknownProgram(id.Program)
	}
	options.deadline = time.Now().Add(s.callTimeout(p))
	if r := s.runs[id]; r != nil {
		return r, nil, nil
	}
	call := p.Call(id)
	if call == nil {
		return nil, nil, api.NewProblem(api.CodeUnknownCall, "there is no call %s", id)
	}
	if call.Open {
		return s.rejoin(p, call)
	}
	answer := p.Original(call).Answer
	return nil, &answer, nil
}

// findOrStart returns the run that answers call, starting one if necessary, or the stored
// answer. The caller holds the mutex.
func (s *shard) findOrStart(call program.Request, options *callerOptions) (*run, *program.Answer, error) {
	p := s.machine.set.Get(call.ID.Program)
	if p == nil {
		return nil, nil, s.unknownProgram(call.ID.Program)
	}
	if options.wait <= 0 {
		options.wait = s.callTimeout(p)
	}
	options.deadline = time.Now().Add(options.wait)
	if r := s.runs[call.ID]; r != nil {
		if r.request.Digest != call.Digest {
			return nil, nil, api.NewProblem(api.CodeConflict, "call %s runs with another body", call.ID)
		}
		if r.deadline.Before(options.deadline) {
			r.deadline = options.deadline
		}
		return r, nil, nil
	}
	verdict := p.Evaluate(time.Now(), call)
	switch verdict.Action {
	case program.ActionReplay:
		answer := verdict.Call.Answer
		return nil, &answer, nil
	case program.ActionRefuse:
		return nil, nil, s.ifStillOwner(verdict.Problem)
	case program.ActionJoin:
		return s.rejoin(p, verdict.Call)
	}
	if problem := s.checkArrival(p, call); problem != nil {
		return nil, nil, problem
	}
	if s.checkLease() != nil {
		return nil, nil, notOwnerNotRun(s.journal.ID()) // the call was not accepted
	}
	return s.start(call, options.deadline), nil, nil
}

// rejoin recovers an open call that has no run, since its run ended when the lease lapsed
// or the shard is closing. The caller holds the mutex.
func (s *shard) rejoin(p *program.Program, call *program.Call) (*run, *program.Answer, error) {
	if s.closing || s.stopped || s.checkLease() != nil {
		return nil, nil, s.notOwner()
	}
	return s.recoverCall(p, call, time.Now()), nil, nil
}

// ifStillOwner returns problem if this node still owns the shard, and a NotOwnerError
// otherwise.
func (s *shard) ifStillOwner(problem *api.Problem) error {
	if err := s.checkLease(); err != nil {
		return err
	}
	return problem
}

// checkArrival rejects calls with an unknown model and calls too far ahead of their
// branch.
func (s *shard) checkArrival(p *program.Program, call program.Request) error {
	next := p.Next(call.ID.Branch)
	if call.ID.Sequence > next+identity.Sequence(s.owner.config.Limits.MaxSequenceLead) {
		return api.NewProblem(api.CodeSequenceGap, "call %s is far ahead of the branch's next, %d", call.ID, next).
			WithRetryAfter(s.owner.config.Timing.SequenceGapTimeout)
	}
	if call.Kind != api.CallModel {
		return nil
	}
	model := call.Model
	if model == "" {
		model = p.Limits().Model
	}
	published := s.owner.config.Board.Table.Load()
	if published == nil {
		return api.NewProblem(api.CodeNoTable, "this node has no table yet").WithRetryAfter(noTableRetry)
	}
	if _, known := published.Models[model]; !known {
		return api.NewProblem(api.CodeUnknownModel, "version %d of the table has no model %q", published.Version, model)
	}
	return nil
}

func (s *shard) callTimeout(p *program.Program) time.Duration {
	if timeout := p.Limits().CallTimeout; timeout > 0 {
		return timeout
	}
	return s.owner.config.Timing.DefaultCallTimeout
}

// start creates the run of call and starts its driver. The caller holds the mutex.
func (s *shard) start(call program.Request, deadline time.Time) *run {
	r := &run{id: call.ID, request: call, arrived: time.Now(), deadline: deadline, done: make(chan struct{})}
	r.context, r.cancel = context.WithCancelCause(s.context)
	s.runs[call.ID] = r
	s.entryOf(call.ID.Program).runs++
	s.notifyChanged(call.ID.Program)
	s.drivers.Add(1)
	go s.drive(r)
	return r
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// validate returns a problem that lists all invalid fields of a call, or nil.
func validate(call api.CallRequest) error {
	var findings []api.Finding
	add := func(place, message string) {
		findings = append(findings, api.Finding{Place: place, Message: message})
	}
	if call.Sequence < 1 {
		add("sequence", "must be at least 1")
	}
	if call.MaxTokens < 0 {
		add("max_tokens", "must not be negative")
	}
	if call.DeadlineSeconds < 0 {
		add("deadline_seconds", "must not be negative")
	}
	switch call.Kind {
	case api.CallModel:
		if len(call.Messages) == 0 {
			add("messages", "a model call needs at least one message")
		}
	case api.CallApplication:
		if call.Application == "" {
			add("application", "an application call names its application")
		}
		if call.Operation == "" {
			add("operation", "an application call names its operation")
		}
	default:
		add("kind", "must be model or application")
	}
	if len(findings) == 0 {
		return nil
	}
	problem := api.NewProblem(api.CodeInvalid, "the call has %d faults", len(findings))
	problem.Findings = findings
	return problem
}
