package program

import (
	"net/netip"
	"slices"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
)

// sequenceGapRetryAfter is RetryAfter for a call that is no longer the next of its
// branch.
const sequenceGapRetryAfter = time.Second

// Action is how an incoming call is handled.
type Action uint8

// The actions for incoming calls.
const (
	// ActionRun: the call is next in its branch and may be dispatched.
	ActionRun Action = iota + 1
	// ActionWait: an earlier call of the branch is not answered yet.
	ActionWait
	// ActionJoin: the call itself is open.
	ActionJoin
	// ActionReplay: the call is already answered, in Evaluation.Call.
	ActionReplay
	// ActionRepeat: Evaluation.Call, an earlier call with the same idempotency key,
	// answers it.
	ActionRepeat
	// ActionRefuse: the call is refused with Evaluation.Problem.
	ActionRefuse
)

// Evaluation is the result of Evaluate.
type Evaluation struct {
	Action  Action
	Call    *Call
	Problem *api.Problem
}

func refuse(problem *api.Problem) Evaluation {
	return Evaluation{Action: ActionRefuse, Problem: problem}
}

// Evaluate returns how to handle an incoming call. It does not change the state.
func (p *Program) Evaluate(now time.Time, request Request) Evaluation {
	evaluation := p.evaluate(now, request)
	if evaluation.Problem != nil && p.MayHaveRun(request.ID) {
		evaluation.Problem.WithNotRun(false)
	}
	return evaluation
}

func (p *Program) evaluate(now time.Time, request Request) Evaluation {
	if call := p.Call(request.ID); call != nil {
		return p.evaluateKnown(call, request)
	}
	if !p.Running() {
		return refuse(p.endedProblem())
	}
	if request.IdempotencyKey != "" {
		if original, found := p.idempotencyKeys[request.IdempotencyKey]; found {
			return p.evaluateDuplicate(p.Call(original), request)
		}
	}
	if problem := p.checkLimits(now, request); problem != nil {
		return refuse(problem)
	}
	if !p.isNext(request.ID) {
		return Evaluation{Action: ActionWait}
	}
	if _, problem := p.Normalize(request); problem != nil {
		return refuse(problem)
	}
	return Evaluation{Action: ActionRun}
}

func (p *Program) isNext(id identity.CallID) bool {
	b := p.branches[id.Branch]
	return p.Next(id.Branch) == id.Sequence && (b == nil || b.open() == nil)
}

func (p *Program) evaluateKnown(call *Call, request Request) Evaluation {
	if call.Request.Digest != request.Digest {
		return refuse(api.NewProblem(api.CodeConflict,
			"call %s stands with another body; a new call takes the next sequence", request.ID))
	}
	if call.Open {
		return Evaluation{Action: ActionJoin, Call: call}
	}
	return Evaluation{Action: ActionReplay, Call: p.Original(call)}
}

func (p *Program) evaluateDuplicate(original *Call, request Request) Evaluation {
	if original.Request.Digest != request.Digest {
		return refuse(api.NewProblem(api.CodeConflict,
			"idempotency key %q stands with another body at call %s", request.IdempotencyKey, original.Request.ID))
	}
	if !p.isNext(request.ID) || original.Open {
		return Evaluation{Action: ActionWait}
	}
	return Evaluation{Action: ActionRepeat, Call: original}
}

func (p *Program) endedProblem() *api.Problem {
	return api.NewProblem(api.CodeProgramEnded, "program %s is %s and takes no more calls", p.id, p.state)
}

func (p *Program) checkLimits(now time.Time, request Request) *api.Problem {
	limits := p.limits
	if limits.MaxCalls > 0 && p.calls >= limits.MaxCalls {
		return api.NewProblem(api.CodeLimit, "program %s has made %d calls, as many as class %q allows",
			p.id, p.calls, p.class)
	}
	if limits.MaxDuration > 0 && now.Sub(p.created) >= limits.MaxDuration {
		return api.NewProblem(api.CodeLimit, "program %s is older than the %s that class %q allows",
			p.id, limits.MaxDuration, p.class)
	}
	if _, known := p.branches[request.ID.Branch]; !known && limits.MaxBranches > 0 && len(p.branches) >= limits.MaxBranches {
		return api.NewProblem(api.CodeLimit, "program %s has %d branches, as many as class %q allows",
			p.id, len(p.branches), p.class)
	}
	return nil
}

// Normalize fills in the defaults of the class and removes the known history from
// the messages, so that Messages are the new turns. The request must be next in its
// branch.
func (p *Program) Normalize(request Request) (Request, *api.Problem) {
	if request.Kind != api.CallModel {
		return request, nil
	}
	if request.Model == "" {
		request.Model = p.limits.Model
	}
	if request.Model == p.limits.Model {
		request.Adapter = p.limits.Adapter
	}
	if request.MaxTokens <= 0 || (p.limits.MaxTokens > 0 && request.MaxTokens > p.limits.MaxTokens) {
		request.MaxTokens = max(p.limits.MaxTokens, 1)
	}
	if !request.WholeHistory {
		return request, nil
	}
	history := p.History(request.ID.Branch)
	if len(request.Messages) <= len(history) || !slices.Equal(request.Messages[:len(history)], history) {
		return request, api.NewProblem(api.CodeHistoryMismatch,
			"the messages of call %s do not continue the %d messages that branch %q holds",
			request.ID, len(history), request.ID.Branch)
	}
	request.Messages = request.Messages[len(history):]
	request.WholeHistory = false
	return request, nil
}

// Dispatch describes where and in which epoch an attempt is about to run.
type Dispatch struct {
	Backend string
	Address netip.AddrPort
	Epoch   identity.Epoch
	// ReservationRule replaces WorstCase, which is used if it is nil. Only tests set
	// it, to verify that they detect a faulty rule.
	ReservationRule func(prompt, answer int64) int64
}

// WorstCase returns the reservation of a call: the upper bound of its prompt plus
// the maximum length of its answer.
func WorstCase(prompt, answer int64) int64 { return prompt + answer }

// Begin opens request, for which Evaluate must return ActionRun, with its first
// attempt.
func (p *Program) Begin(now time.Time, request Request, dispatch Dispatch) (Intent, *api.Problem) {
	evaluation := p.Evaluate(now, request)
	if evaluation.Action != ActionRun {
		return Intent{}, p.notRunnable(evaluation, request)
	}
	resolved, problem := p.Normalize(request)
	if problem != nil {
		return Intent{}, problem
	}
	attempt, problem := p.attempt(now, resolved, dispatch, 0)
	if problem != nil {
		return Intent{}, problem
	}
	return Intent{Request: resolved, Attempt: attempt}, nil
}

func (p *Program) notRunnable(evaluation Evaluation, request Request) *api.Problem {
	if evaluation.Problem != nil {
		return evaluation.Problem
	}
	return api.NewProblem(api.CodeSequenceGap, "call %s is not the next of its branch", request.ID).
		WithRetryAfter(sequenceGapRetryAfter)
}

// Retry starts another attempt of the open call. If the last attempt is still
// pending, its reservation stays charged.
func (p *Program) Retry(now time.Time, call *Call, dispatch Dispatch) (Retry, *api.Problem) {
	if !call.Open {
		return Retry{}, api.NewProblem(api.CodeConflict, "call %s has its answer", call.Request.ID)
	}
	if !p.Running() {
		return Retry{}, p.endedProblem()
	}
	// The reservation of a pending attempt moves from reserved to spent, so their
	// sum, to which the new reservation is added, does not change.
	attempt, problem := p.attempt(now, call.Request, dispatch, p.branches[call.Request.ID.Branch].nextAttempt)
	return Retry{Attempt: attempt}, problem
}

func (p *Program) attempt(now time.Time, request Request, dispatch Dispatch, number uint32) (Attempt, *api.Problem) {
	if b := p.branches[request.ID.Branch]; b != nil {
		number = max(number, b.nextAttempt)
	}
	reserved, problem := p.reserve(request, dispatch)
	if problem != nil {
		return Attempt{}, problem
	}
	stream := identity.StreamID{Call: request.ID, Epoch: dispatch.Epoch, Attempt: number}
	return Attempt{Stream: stream, Backend: dispatch.Backend, Address: dispatch.Address, Reserved: reserved, At: now}, nil
}

func (p *Program) reserve(request Request, dispatch Dispatch) (int64, *api.Problem) {
	if request.Kind != api.CallModel {
		return 0, nil
	}
	rule := dispatch.ReservationRule
	if rule == nil {
		rule = WorstCase
	}
	need := rule(p.PromptSize(request).Bound, int64(request.MaxTokens))
	left := p.limits.BudgetTokens - p.spent - p.reserved
	if need > left {
		return 0, api.NewProblem(api.CodeBudget,
			"call %s may take up to %d tokens; %d of the budget of %d are left", request.ID, need, left, p.limits.BudgetTokens)
	}
	return need, nil
}

// PendingAttempt returns the last attempt and whether its outcome is not known. A new
// owner uses it for calls that were open when it took over.
func (c *Call) PendingAttempt() (Attempt, bool) { return c.Attempt, c.Open && c.Pending }

// End returns the record that ends the program, and false if it has already ended.
func (p *Program) End(now time.Time, state api.ProgramState) (Ended, bool) {
	return Ended{ID: p.id, State: state, At: now}, p.Running()
}

// Expired reports whether a running program has exceeded MaxDuration, or has had no
// open call for IdleTimeout. Idle time before since does not count; it is the time
// from which callers could reach the program, such as when its owner took over.
func (p *Program) Expired(now, since time.Time) bool {
	if !p.Running() {
		return false
	}
	if p.limits.MaxDuration > 0 && now.Sub(p.created) >= p.limits.MaxDuration {
		return true
	}
	idleFrom := p.lastActivity
	if since.After(idleFrom) {
		idleFrom = since
	}
	idle := p.limits.IdleTimeout > 0 && now.Sub(idleFrom) >= p.limits.IdleTimeout
	return idle && len(p.OpenCalls()) == 0
}

// Removable reports whether the program has ended and has neither open calls nor
// unconfirmed releases.
func (p *Program) Removable() bool {
	return !p.Running() && len(p.outbox) == 0 && len(p.OpenCalls()) == 0
}
