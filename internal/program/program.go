package program

import (
	"net/netip"
	"slices"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
)

// Program is the state of one program. It is not safe for concurrent use; the
// owner of its shard guards it.
type Program struct {
	id     identity.ProgramID
	tenant string
	class  string
	limits Limits
	state  api.ProgramState

	created      time.Time
	lastActivity time.Time
	ended        time.Time

	spent    int64
	reserved int64
	calls    int
	service  time.Duration

	branches   map[identity.BranchID]*branch
	keys       map[string]identity.CallID
	placements map[placementKey]*placement
	outbox     []Release
}

type branch struct {
	// calls holds the call of sequence i+1 at i; only the last may be open.
	calls []*Call
	// nextAttempt numbers the next attempt of the branch's next or open call.
	// It outlives a dropped call, so that no stream id is used twice.
	nextAttempt uint32
	// mayHaveRun is true while the next sequence was sent before, and its call
	// dropped without knowing whether it ran.
	mayHaveRun bool
	// lastBackend is where the branch's last model call ran.
	lastBackend string
	// settledTokens counts the branch's history as the engine of settledModel
	// counted it, and settledCalls are the calls it covers.
	settledTokens int64
	settledModel  string
	settledCalls  int
}

// Call is one call of a branch.
type Call struct {
	Request Request
	// Open is true while the call has no answer.
	Open bool
	// Attempt is the last dispatch; Pending is true until it is resolved.
	Attempt Attempt
	Pending bool
	// HasLostAttempt is true once an attempt stayed charged without a result.
	HasLostAttempt bool
	// Answer stands once Open is false, unless RepeatOf is set.
	Answer Answer
	// RepeatOf names the call whose answer this one replays; zero if none.
	RepeatOf identity.CallID
}

// placement is cache that a back end may hold for a branch.
type placement struct {
	address netip.AddrPort
	// lost are streams there whose fate is not known. Whoever releases the cache
	// cancels them, since one that still runs would fill it again.
	lost []identity.StreamID
}

// maximumLostStreams bounds what one placement remembers; the oldest go first.
const maximumLostStreams = 16

// placementKey names a placement.
type placementKey struct {
	backend string
	branch  identity.BranchID
}

// Release is one entry of the outbox: cache that an engine is to free. An empty
// Branch means the whole program. Streams are cancelled first, so that none
// fills the cache again.
type Release struct {
	Backend string
	Address netip.AddrPort
	Branch  identity.BranchID
	Streams []identity.StreamID
}

// ID returns the program's id.
func (p *Program) ID() identity.ProgramID { return p.id }

// Tenant returns whose program it is.
func (p *Program) Tenant() string { return p.tenant }

// Class returns the table's row that it was made under.
func (p *Program) Class() string { return p.class }

// Limits returns what the table granted at its creation.
func (p *Program) Limits() Limits { return p.limits }

// State returns where it is in its life.
func (p *Program) State() api.ProgramState { return p.state }

// Running tells that the program takes calls.
func (p *Program) Running() bool { return p.state == api.ProgramRunning }

// Created returns when the program was made, Ended when it ended (zero: not yet).
func (p *Program) Created() time.Time { return p.created }

// Ended returns when the program ended, the zero time before.
func (p *Program) Ended() time.Time { return p.ended }

// LastActivity returns when its last call opened or ended.
func (p *Program) LastActivity() time.Time { return p.lastActivity }

// Spent and Reserved are in tokens; their sum never passes the budget.
func (p *Program) Spent() int64 { return p.spent }

// Reserved returns the worst case of what runs now.
func (p *Program) Reserved() int64 { return p.reserved }

// Calls returns the number of calls that were opened.
func (p *Program) Calls() int { return p.calls }

// ServiceTime returns the time that back ends spent on its answered calls.
func (p *Program) ServiceTime() time.Duration { return p.service }

// Outbox returns the releases that no engine has confirmed yet.
func (p *Program) Outbox() []Release { return slices.Clone(p.outbox) }

// OutboxLength returns the number of releases in the outbox.
func (p *Program) OutboxLength() int { return len(p.outbox) }

// View returns the program as callers see it; the owner adds the shard's fields.
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

// answered returns the number of calls of the branch that have their answer.
func (b *branch) answered() int {
	if open := b.open(); open != nil {
		return len(b.calls) - 1
	}
	return len(b.calls)
}

// open returns the branch's open call, nil if none.
func (b *branch) open() *Call {
	if len(b.calls) == 0 {
		return nil
	}
	if last := b.calls[len(b.calls)-1]; last.Open {
		return last
	}
	return nil
}

// Next returns the sequence that the branch takes next or has open.
func (p *Program) Next(id identity.BranchID) identity.Sequence {
	branch := p.branches[id]
	if branch == nil {
		return 1
	}
	return identity.Sequence(branch.answered() + 1)
}

// MayHaveRun tells that the call of id was sent before and dropped without
// knowing whether it ran, so that no refusal of it is certain not to have run.
func (p *Program) MayHaveRun(id identity.CallID) bool {
	branch := p.branches[id.Branch]
	return branch != nil && branch.mayHaveRun && p.Next(id.Branch) == id.Sequence
}

// Call returns the call of id, nil if there is none.
func (p *Program) Call(id identity.CallID) *Call {
	branch := p.branches[id.Branch]
	if branch == nil || id.Sequence < 1 || uint64(id.Sequence) > uint64(len(branch.calls)) {
		return nil
	}
	return branch.calls[id.Sequence-1]
}

// OpenCalls returns the calls without an answer, at most one for each branch.
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

// Original returns the call whose answer stands for call: call itself, or the
// one that it repeats.
func (p *Program) Original(call *Call) *Call {
	if call.RepeatOf.Sequence == 0 {
		return call
	}
	if original := p.Call(call.RepeatOf); original != nil {
		return original
	}
	return call
}

// History returns the branch's conversation: the turns and answers of its model
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

// inHistory tells that the call's turns and answer belong to the conversation.
func (c *Call) inHistory() bool {
	return !c.Open && c.RepeatOf.Sequence == 0 && c.Request.Kind == api.CallModel && c.Answer.Code == ""
}

// Prompt returns all messages that a model gets for the open or next call.
func (p *Program) Prompt(request Request) []api.Message {
	return append(p.History(request.ID.Branch), request.Messages...)
}

// LastBackend returns where the branch's last model call ran, empty if none.
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
	// Cached tells that an engine may hold its conversation.
	Cached bool
}

// Paused returns the branches of a running program that have been answered and
// have no open call, in no particular order.
func (p *Program) Paused() []Paused {
	if !p.Running() {
		return nil
	}
	held := map[identity.BranchID]bool{}
	for key := range p.placements {
		held[key.branch] = true
	}
	var paused []Paused
	for id, b := range p.branches {
		if b.open() != nil {
			continue
		}
		if since := p.LastAnswered(id); !since.IsZero() {
			paused = append(paused, Paused{Branch: id, Since: since, Cached: held[id]})
		}
	}
	return paused
}

// PromptSize says how large the prompt of a call is.
type PromptSize struct {
	// Bound is the worst case, which the budget reserves.
	Bound int64
	// Expected is the best estimate, for decisions.
	Expected int64
	// Counted is the part that an engine has counted, at LastBackend.
	Counted int64
}

// PromptSize returns the size of request's prompt. The history counts as the
// engine counted it, where the same model saw it; the rest counts as its bytes.
func (p *Program) PromptSize(request Request) PromptSize {
	size := PromptSize{Bound: promptOverheadTokens}
	rest := request.Messages
	branch := p.branches[request.ID.Branch]
	switch {
	case branch == nil:
	case branch.settledModel == modelKey(request.Model, request.Adapter):
		size.Counted = branch.settledTokens
		earlier := historyOf(branch.calls[branch.settledCalls:])
		rest = append(earlier, request.Messages...)
	default:
		rest = append(historyOf(branch.calls), request.Messages...)
	}
	size.Bound += size.Counted + boundTokens(rest)
	size.Expected = size.Counted + estimateTokens(rest)
	if size.Counted > 0 {
		size.Bound += messageOverheadTokens
	}
	return size
}

func modelKey(model, adapter string) string { return model + "\x00" + adapter }

// MayHoldCache tells that the back end may hold cache of the program.
func (p *Program) MayHoldCache(backend string) bool {
	for key := range p.placements {
		if key.backend == backend {
			return true
		}
	}
	return slices.ContainsFunc(p.outbox, func(r Release) bool { return r.Backend == backend })
}

// Placements returns the back ends that may hold cache of a branch, sorted.
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
