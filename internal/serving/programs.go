package serving

import (
	"context"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
)

// noTableRetry is when a caller who met a node without a table should come back.
const noTableRetry = time.Second

// locate returns the shard of a program with its mutex held, or an error.
func (o *Owner) locate(id identity.ProgramID) (*shard, error) {
	s, err := o.shardOf(id)
	if err != nil {
		return nil, err
	}
	s.machine.mutex.Lock()
	if s.closing || s.stopped {
		s.machine.mutex.Unlock()
		return nil, neverOwner(s.journal.ID())
	}
	return s, nil
}

// view returns the program as callers see it; the caller holds the mutex.
func (s *shard) view(p *program.Program) api.Program {
	view := p.View()
	view.Owner = string(s.owner.config.Self)
	view.Shard = uint32(s.journal.ID())
	view.Epoch = uint64(s.journal.Epoch())
	return view
}

// settled returns view once what it shows is held and this node still owns the
// shard.
func (s *shard) settled(ctx context.Context, view api.Program, held *pendingCommit) (api.Program, error) {
	if err := held.wait(ctx); err != nil {
		return api.Program{}, s.interrupted(ctx, err)
	}
	if err := s.checkLease(); err != nil {
		return api.Program{}, err
	}
	return view, nil
}

// interrupted maps the end of a caller's context to a problem.
func (s *shard) interrupted(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return api.NewProblem(api.CodeInterrupted, "the caller left: %s", ctx.Err())
	}
	return err
}

// Create implements Programs. The program keeps the limits that its class has
// now for its whole life.
func (o *Owner) Create(ctx context.Context, request CreateRequest) (api.Program, error) {
	s, err := o.locate(request.ID)
	if err != nil {
		return api.Program{}, err
	}
	view, held, err := s.create(request)
	s.machine.mutex.Unlock()
	if err != nil {
		return api.Program{}, err
	}
	return s.settled(ctx, view, held)
}

func (s *shard) create(request CreateRequest) (api.Program, *pendingCommit, error) {
	if p := s.machine.set.Get(request.ID); p != nil {
		if p.Tenant() != request.Tenant || p.Class() != request.Class {
			return api.Program{}, nil, api.NewProblem(api.CodeConflict,
				"program %s stands with another tenant or class", request.ID)
		}
		return s.view(p), s.entryOf(request.ID).held, nil
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
	held := s.keep(request.ID, wait)
	return s.view(s.machine.set.Get(request.ID)), held, nil
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
	view, held := s.view(p), s.entryOf(id).held
	s.machine.mutex.Unlock()
	return s.settled(ctx, view, held)
}

// unknownProgram is certain only while this node owns the shard.
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
	view, held := s.view(p), s.entryOf(id).held
	s.machine.mutex.Unlock()
	if err != nil {
		return api.Program{}, err
	}
	return s.settled(ctx, view, held)
}

// end ends a running program, and does nothing for one that has ended. Its
// model streams are stopped; application calls cannot be stopped and run on, so
// that their callers hear how they ended. The caller holds the mutex.
func (s *shard) end(p *program.Program, state api.ProgramState) error {
	record, running := p.End(time.Now(), state)
	if !running {
		return nil
	}
	s.owner.noteEnd(p, record.At)
	wait, err := s.commit(false, record)
	if err != nil {
		return err
	}
	s.keep(p.ID(), wait)
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
	r, stored, err := s.arrive(call, &options)
	s.machine.mutex.Unlock()
	switch {
	case err != nil:
		return api.Answer{}, err
	case stored != nil:
		return s.replay(call.ID, stored, options)
	}
	return s.follow(ctx, r, options)
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
	return s.follow(ctx, r, options)
}

// lookUp finds a call that was made before; the caller holds the mutex.
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

// arrive returns the run that answers call, or the answer that is stored; the
// caller holds the mutex.
func (s *shard) arrive(call program.Request, options *callerOptions) (*run, *program.Answer, error) {
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
		return nil, nil, s.certain(verdict.Problem)
	case program.ActionJoin:
		return s.rejoin(p, verdict.Call)
	}
	if problem := s.checkArrival(p, call); problem != nil {
		return nil, nil, problem
	}
	if s.checkLease() != nil {
		return nil, nil, neverOwner(s.journal.ID()) // nothing was done with it here
	}
	return s.start(call, options.deadline), nil, nil
}

// rejoin takes up a call that is open without a run: its run ended because the
// lease had lapsed or the shard is being given up. The caller holds the mutex.
func (s *shard) rejoin(p *program.Program, call *program.Call) (*run, *program.Answer, error) {
	if s.closing || s.stopped || s.checkLease() != nil {
		return nil, nil, s.notOwner()
	}
	return s.recoverCall(p, call, time.Now()), nil, nil
}

// certain returns problem if this node still owns the shard.
func (s *shard) certain(problem *api.Problem) error {
	if err := s.checkLease(); err != nil {
		return err
	}
	return problem
}

// checkArrival refuses calls that name an unknown model or come far too early.
func (s *shard) checkArrival(p *program.Program, call program.Request) error {
	next := p.Next(call.ID.Branch)
	if call.ID.Sequence > next+identity.Sequence(s.owner.config.Bounds.EarlyCalls) {
		return api.NewProblem(api.CodeSequenceGap, "call %s is far ahead of the branch's next, %d", call.ID, next).
			WithRetryAfter(s.owner.config.Timing.GapWait)
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
	return s.owner.config.Timing.MaxCall
}

// start makes the run of call and its driver; the caller holds the mutex.
func (s *shard) start(call program.Request, deadline time.Time) *run {
	r := &run{id: call.ID, request: call, arrived: time.Now(), deadline: deadline, done: make(chan struct{})}
	r.context, r.cancel = context.WithCancelCause(s.context)
	s.runs[call.ID] = r
	s.entryOf(call.ID.Program).runs++
	s.changed(call.ID.Program)
	s.drivers.Add(1)
	go s.drive(r)
	return r
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// validate collects all faults of a call that its fields show.
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
