package program

import (
	"net/netip"
	"slices"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
)

// Program is the state of one program. It is not safe for concurrent use; the owner
// of its shard synchronizes access.
type Program struct {
	id     identity.ProgramID
	tenant string
	class  string
	limits Limits
	state  api.ProgramState

	created      time.Time
	lastActivity time.Time
	ended        time.Time

	spent       int64
	reserved    int64
	calls       int
	serviceTime time.Duration

	branches        map[identity.BranchID]*branch
	idempotencyKeys map[string]identity.CallID
	placements      map[placementKey]*placement
	outbox          []Release
}

type branch struct {
	// calls contains the call of sequence i+1 at index i; only the last may be open.
	calls []*Call
	// nextAttempt is the number of the next attempt of the branch's next or open
	// call. It is kept when a call is withdrawn, so that no stream id is used twice.
	nextAttempt uint32
	// mayHaveRun is true if a call with the next sequence was sent before and
	// withdrawn with unknown outcome.
	mayHaveRun bool
	// lastBackend is where the branch's last model call ran.
	lastBackend string
	// countedTokens is the size of the branch's history as counted by an engine of
	// countedModel, and countedCalls the number of calls that it covers.
	countedTokens int64
	countedModel  string
	countedCalls  int
}

// Call is one call of a branch.
type Call struct {
	Request Request
	// Open is true while the call has no answer.
	Open bool
	// Attempt is the last attempt; Pending is true until it is resolved.
	Attempt Attempt
	Pending bool
	// HasLostAttempt is true if the reservation of some attempt was charged because
	// its result is not known.
	HasLostAttempt bool
	// Answer is valid if Open is false and RepeatOf is zero.
	Answer Answer
	// RepeatOf is the call whose answer this one replays, zero if none.
	RepeatOf identity.CallID
}

// placement records that a back end may have a branch's prefix cached.
type placement struct {
	address netip.AddrPort
	// unresolved are the streams there with unknown outcome. They are cancelled
	// when the cache is released, since a running stream would fill it again.
	unresolved []identity.StreamID
}

// maxUnresolvedStreams bounds the unresolved streams of a placement; the oldest are
// removed first.
const maxUnresolvedStreams = 16

type placementKey struct {
	backend string
	branch  identity.BranchID
}

// Release is one entry of the outbox: a cached prefix that an engine is to free. An
// empty Branch means the whole program. Streams are cancelled first, so that none of
// them fills the cache again.
type Release struct {
	Backend string
	Address netip.AddrPort
	Branch  identity.BranchID
	Streams []identity.StreamID
}

// ID returns the program's id.
func (p *Program) ID() identity.ProgramID { return p.id }

// Tenant returns the tenant to which the program belongs.
func (p *Program) Tenant() string { return p.tenant }

// Class returns the name of the program's class.
func (p *Program) Class() string { return p.class }

// Limits returns the limits at the program's creation.
func (p *Program) Limits() Limits { return p.limits }

// State returns the program's lifecycle state.
func (p *Program) State() api.ProgramState { return p.state }

// Running reports whether the program accepts calls.
func (p *Program) Running() bool { return p.state == api.ProgramRunning }

// Created returns when the program was created.
func (p *Program) Created() time.Time { return p.created }

// Ended returns when the program ended, the zero time if it has not.
func (p *Program) Ended() time.Time { return p.ended }

// LastActivity returns when the last call was opened, retried, withdrawn or
// answered.
func (p *Program) LastActivity() time.Time { return p.lastActivity }

// Spent returns the tokens charged so far. Spent + Reserved never exceeds the budget.
func (p *Program) Spent() int64 { return p.spent }

// Reserved returns the tokens reserved for pending attempts.
func (p *Program) Reserved() int64 { return p.reserved }

// Calls returns the number of calls that were opened.
func (p *Program) Calls() int { return p.calls }

// ServiceTime returns the time that back ends spent on its answered calls.
func (p *Program) ServiceTime() time.Duration { return p.serviceTime }

// Outbox returns the releases that engines have not confirmed yet.
func (p *Program) Outbox() []Release { return slices.Clone(p.outbox) }

// OutboxLength returns the number of releases in the outbox.
func (p *Program) OutboxLength() int { return len(p.outbox) }

// View returns the program's representation in the API; the owner adds the fields of
// the shard.
func (p *Program) View() api.Program {
	view := api.Program{
		ID:       string(p.id),
		Tenant:   p.tenant,
		Class:    p.class,
		State:    p.state,
		Created:  p.created,
		Budget:   p.limits.BudgetTokens,
		Spent:    p.spent,
		Reserved: p.reserved,
		Branches: make(map[string]uint64, len(p.branches)),
		Calls:    p.calls,
	}
	for id, branch := range p.branches {
		view.Branches[string(id)] = uint64(branch.answered())
	}
	return view
}

// answered returns the number of answered calls of the branch.
func (b *branch) answered() int {
	if open := b.open(); open != nil {
		return len(b.calls) - 1
	}
	return len(b.calls)
}

// open returns the branch's open call, nil if there is none.
func (b *branch) open() *Call {
	if len(b.calls) == 0 {
		return nil
	}
	if last := b.calls[len(b.calls)-1]; last.Open {
		return last
	}
	return nil
}

// Next returns the sequence of the branch's open call, or of its next call if none
// is open.
func (p *Program) Next(id identity.BranchID) identity.Sequence {
	branch := p.branches[id]
	if branch == nil {
		return 1
	}
	return identity.Sequence(branch.answered() + 1)
}

// MayHaveRun reports whether a call with this id was sent before and withdrawn with
// unknown outcome. A refusal of such a call must not claim that it has not run.
func (p *Program) MayHaveRun(id identity.CallID) bool {
	branch := p.branches[id.Branch]
	return branch != nil && branch.mayHaveRun && p.Next(id.Branch) == id.Sequence
}

// Call returns the call with this id, nil if there is none.
func (p *Program) Call(id identity.CallID) *Call {
	branch := p.branches[id.Branch]
	if branch == nil || id.Sequence < 1 || uint64(id.Sequence) > uint64(len(branch.calls)) {
		return nil
	}
	return branch.calls[id.Sequence-1]
}

// OpenCalls returns the open calls, at most one per branch, sorted by branch.
func (p *Program) OpenCalls() []*Call {
	var open []*Call
	for _, branch := range p.branches {
		if call := branch.open(); call != nil {
			open = append(open, call)
		}
	}
	slices.SortFunc(open, func(a, b *Call) int {
		if a.Request.ID.Branch < b.Request.ID.Branch {
			return -1
		}
		return 1
	})
	return open
}

// Original returns the call that contains the answer to call: the earlier call that
// it repeats, or call itself.
func (p *Program) Original(call *Call) *Call {
	if call.RepeatOf.Sequence == 0 {
		return call
	}
	if original := p.Call(call.RepeatOf); original != nil {
		return original
	}
	return call
}

// History returns the branch's conversation: the messages and answers of its model
// calls, in order.
func (p *Program) History(id identity.BranchID) []api.Message {
	branch := p.branches[id]
	if branch == nil {
		return nil
	}
	return historyOf(branch.calls)
}

func historyOf(calls []*Call) []api.Message {
	var history []api.Message
	for _, call := range calls {
		if !call.inHistory() {
			continue
		}
		history = append(history, call.Request.Messages...)
		history = append(history, api.Message{Role: "assistant", Content: call.Answer.Text})
	}
	return history
}

// inHistory reports whether the call's messages and answer are part of the
// conversation.
func (c *Call) inHistory() bool {
	return !c.Open && c.RepeatOf.Sequence == 0 && c.Request.Kind == api.CallModel && c.Answer.Code == ""
}

// Prompt returns all messages that are sent to the model for request, which is the
// open or next call of its branch.
func (p *Program) Prompt(request Request) []api.Message {
	return append(p.History(request.ID.Branch), request.Messages...)
}

// LastBackend returns where the branch's last model call ran, empty if there is
// none.
func (p *Program) LastBackend(id identity.BranchID) string {
	if branch := p.branches[id]; branch != nil {
		return branch.lastBackend
	}
	return ""
}

// LastAnswered returns when the branch's last model call was answered, the zero
// time if none was.
func (p *Program) LastAnswered(id identity.BranchID) time.Time {
	b := p.branches[id]
	if b == nil {
		return time.Time{}
	}
	for i := len(b.calls) - 1; i >= 0; i-- {
		if b.calls[i].inHistory() {
			return b.calls[i].Answer.At
		}
	}
	return time.Time{}
}

// Paused is a branch that waits for its program's next call.
type Paused struct {
	Branch identity.BranchID
	// Since is when its last model call was answered.
	Since time.Time
	// Cached is true if an engine may have its prefix cached.
	Cached bool
}

// Paused returns the branches of a running program that have an answered model call
// and no open call, in no particular order.
func (p *Program) Paused() []Paused {
	if !p.Running() {
		return nil
	}
	placed := map[identity.BranchID]bool{}
	for key := range p.placements {
		placed[key.branch] = true
	}
	var paused []Paused
	for id, b := range p.branches {
		if b.open() != nil {
			continue
		}
		if since := p.LastAnswered(id); !since.IsZero() {
			paused = append(paused, Paused{Branch: id, Since: since, Cached: placed[id]})
		}
	}
	return paused
}

// PromptSize is the size of a call's prompt in tokens.
type PromptSize struct {
	// Bound is the upper bound, which is reserved from the budget.
	Bound int64
	// Expected is the estimate for scheduling decisions.
	Expected int64
	// Counted is the part that the engine at LastBackend has counted.
	Counted int64
}

// PromptSize returns the size of request's prompt. For the part of the history that
// an engine of the same model has counted it uses that count; the rest is estimated
// from its bytes.
func (p *Program) PromptSize(request Request) PromptSize {
	size := PromptSize{Bound: promptOverheadTokens}
	rest := request.Messages
	branch := p.branches[request.ID.Branch]
	switch {
	case branch == nil:
	case branch.countedModel == modelKey(request.Model, request.Adapter):
		size.Counted = branch.countedTokens
		earlier := historyOf(branch.calls[branch.countedCalls:])
		rest = append(earlier, request.Messages...)
	default:
		rest = append(historyOf(branch.calls), request.Messages...)
	}
	size.Bound += size.Counted + upperBoundTokens(rest)
	size.Expected = size.Counted + estimateTokens(rest)
	if size.Counted > 0 {
		size.Bound += messageOverheadTokens
	}
	return size
}

func modelKey(model, adapter string) string { return model + "\x00" + adapter }

// MayHoldCache reports whether the back end may have prefixes of the program cached.
func (p *Program) MayHoldCache(backend string) bool {
	for key := range p.placements {
		if key.backend == backend {
			return true
		}
	}
	return slices.ContainsFunc(p.outbox, func(r Release) bool { return r.Backend == backend })
}

// Placements returns the back ends that may have a branch's prefix cached, sorted by
// name.
func (p *Program) Placements(id identity.BranchID) []string {
	var backends []string
	for key := range p.placements {
		if key.branch == id {
			backends = append(backends, key.backend)
		}
	}
	slices.Sort(backends)
	return backends
}
