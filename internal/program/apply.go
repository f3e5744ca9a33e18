package program

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
)

// ErrOutOfOrder tells that a record does not follow from the state before it.
var ErrOutOfOrder = errors.New("program: record does not follow from the state")

func newProgram(r Created) *Program {
	return &Program{
		id:           r.ID,
		tenant:       r.Tenant,
		class:        r.Class,
		limits:       r.Limits,
		state:        api.ProgramRunning,
		created:      r.At,
		lastActivity: r.At,
		branches:     map[identity.BranchID]*branch{},
		keys:         map[string]identity.CallID{},
		placements:   map[placementKey]*placement{},
	}
}

// Apply folds record into the state. Records that resolve an attempt or a
// release which the state does not have open are dropped: they come from steps
// that were taken back.
func (p *Program) Apply(record Record) error {
	switch r := record.(type) {
	case Intent:
		return p.applyIntent(r)
	case Retry:
		return p.applyRetry(r)
	case NotRun:
		p.applyNotRun(r)
	case Withdrawn:
		p.applyDropped(r)
	case Result:
		p.applyResult(r)
	case Deduplicated:
		return p.applyRepeated(r)
	case Ended:
		p.applyEnded(r)
	case Released:
		p.confirm(r.Backend, r.Branch)
	case Evicted:
		p.applyEvicted(r)
	default:
		return fmt.Errorf("%w: %T for %s", ErrOutOfOrder, record, p.id)
	}
	return nil
}

func (p *Program) branchOf(id identity.BranchID) *branch {
	b := p.branches[id]
	if b == nil {
		b = &branch{}
		p.branches[id] = b
	}
	return b
}

// follows returns the branch that takes id next, or an error.
func (p *Program) follows(id identity.CallID) (*branch, error) {
	b := p.branches[id.Branch]
	if p.Next(id.Branch) != id.Sequence || (b != nil && b.open() != nil) {
		return nil, fmt.Errorf("%w: call %s after %d", ErrOutOfOrder, id, p.Next(id.Branch)-1)
	}
	return p.branchOf(id.Branch), nil
}

func (p *Program) applyIntent(r Intent) error {
	b, err := p.follows(r.Request.ID)
	if err != nil {
		return err
	}
	call := &Call{Request: r.Request, Open: true}
	b.calls = append(b.calls, call)
	p.calls++
	if r.Request.IdempotencyKey != "" {
		p.keys[r.Request.IdempotencyKey] = r.Request.ID
	}
	p.start(b, call, r.Attempt)
	return nil
}

func (p *Program) applyRetry(r Retry) error {
	call := p.Call(r.Attempt.Stream.Call)
	if call == nil || !call.Open {
		return fmt.Errorf("%w: retry of %s", ErrOutOfOrder, r.Attempt.Stream)
	}
	p.lose(call)
	p.start(p.branchOf(call.Request.ID.Branch), call, r.Attempt)
	return nil
}

// start makes attempt the pending one of call.
func (p *Program) start(b *branch, call *Call, attempt Attempt) {
	call.Attempt = attempt
	call.Pending = true
	p.reserved += attempt.Reserved
	b.nextAttempt = attempt.Stream.Attempt + 1
	p.touch(attempt.At)
	if call.Request.Kind != api.CallModel {
		return
	}
	key := placementKey{backend: attempt.Backend, branch: call.Request.ID.Branch}
	held := p.placements[key]
	if held == nil {
		held = &placement{}
		p.placements[key] = held
	}
	held.address = attempt.Address
	p.withdrawRelease(key, held)
}

// lose charges the pending attempt of call in full.
func (p *Program) lose(call *Call) {
	if !call.Pending {
		return
	}
	call.Pending = false
	call.HasLostAttempt = true
	p.reserved -= call.Attempt.Reserved
	p.spent += call.Attempt.Reserved
	held := p.placements[placementKey{backend: call.Attempt.Backend, branch: call.Request.ID.Branch}]
	if held == nil {
		return
	}
	held.lost = append(held.lost, call.Attempt.Stream)
	if surplus := len(held.lost) - maximumLostStreams; surplus > 0 {
		held.lost = slices.Clone(held.lost[surplus:])
	}
}

// pending returns the call whose pending attempt is stream, nil if none.
func (p *Program) pending(stream identity.StreamID) *Call {
	call := p.Call(stream.Call)
	if call == nil || !call.Open || !call.Pending || call.Attempt.Stream != stream {
		return nil
	}
	return call
}

func (p *Program) applyNotRun(r NotRun) {
	call := p.pending(r.Stream)
	if call == nil {
		return
	}
	call.Pending = false
	p.reserved -= call.Attempt.Reserved
}

func (p *Program) applyDropped(r Withdrawn) {
	call := p.Call(r.Call)
	if call == nil || !call.Open {
		return
	}
	p.lose(call)
	b := p.branches[r.Call.Branch]
	b.calls = b.calls[:len(b.calls)-1]
	if call.HasLostAttempt {
		b.mayHaveRun = true
	} else {
		p.calls-- // it never ran, so it does not count against the limit
	}
	if call.Request.IdempotencyKey != "" {
		delete(p.keys, call.Request.IdempotencyKey)
	}
	p.touch(r.At)
}

func (p *Program) applyResult(r Result) {
	call := p.pending(r.Stream)
	if call == nil {
		return
	}
	call.Pending = false
	call.Open = false
	call.Answer = r.Answer
	p.reserved -= call.Attempt.Reserved
	p.spent += charge(call.Attempt, r.Answer)
	p.service += r.Answer.Run
	p.touch(r.Answer.At)
	b := p.branches[r.Stream.Call.Branch]
	b.nextAttempt, b.mayHaveRun = 0, false
	if call.inHistory() {
		p.settle(b, call)
	}
	if !p.Running() {
		call.Request.Messages = nil
	}
}

// charge returns what an answer costs: what the engine counted, or the whole
// reservation if it is not known.
func charge(attempt Attempt, answer Answer) int64 {
	if answer.Code != "" {
		return attempt.Reserved
	}
	return int64(answer.Usage.PromptTokens + answer.Usage.CompletionTokens)
}

// settle notes where the branch's cache is now and what its history counts.
func (p *Program) settle(b *branch, call *Call) {
	b.lastBackend = call.Attempt.Backend
	usage := call.Answer.Usage
	if usage.PromptTokens > 0 {
		b.settledTokens = int64(usage.PromptTokens + usage.CompletionTokens)
		b.settledModel = modelKey(call.Request.Model, call.Request.Adapter)
		b.settledCalls = len(b.calls)
	}
	p.moveOut(call.Request.ID.Branch, call.Attempt.Backend)
}

// moveOut queues the release of the branch at every back end but kept.
func (p *Program) moveOut(id identity.BranchID, kept string) {
	for _, backend := range p.Placements(id) {
		if backend == kept {
			continue
		}
		key := placementKey{backend: backend, branch: id}
		held := p.placements[key]
		p.enqueue(Release{Backend: backend, Address: held.address, Branch: id, Streams: held.lost})
		delete(p.placements, key)
	}
}

// applyEvicted releases a branch that no call uses now.
func (p *Program) applyEvicted(r Evicted) {
	b := p.branches[r.Branch]
	if b == nil || b.open() != nil {
		return
	}
	p.moveOut(r.Branch, "")
	b.lastBackend = ""
}

// enqueue adds release to the outbox, or its streams to the entry that stands.
func (p *Program) enqueue(release Release) {
	for i := range p.outbox {
		entry := &p.outbox[i]
		if entry.Backend == release.Backend && entry.Branch == release.Branch {
			entry.Streams = append(entry.Streams, release.Streams...)
			return
		}
	}
	p.outbox = append(p.outbox, release)
}

// withdrawRelease drops a release that has not happened yet, since the engine is to
// keep the branch again; streams that were to be cancelled stay known.
func (p *Program) withdrawRelease(key placementKey, held *placement) {
	for _, release := range p.outbox {
		if release.Backend == key.backend && release.Branch == key.branch {
			held.lost = append(held.lost, release.Streams...)
		}
	}
	p.confirm(key.backend, key.branch)
}

func (p *Program) confirm(backend string, id identity.BranchID) {
	p.outbox = slices.DeleteFunc(p.outbox, func(r Release) bool {
		return r.Backend == backend && r.Branch == id
	})
}

func (p *Program) applyRepeated(r Deduplicated) error {
	b, err := p.follows(r.ID)
	if err != nil {
		return err
	}
	request := Request{ID: r.ID, Digest: r.Digest}
	b.calls = append(b.calls, &Call{Request: request, RepeatOf: r.Of})
	b.nextAttempt, b.mayHaveRun = 0, false
	p.calls++
	p.touch(r.At)
	return nil
}

func (p *Program) applyEnded(r Ended) {
	if !p.Running() {
		return
	}
	p.state = r.State
	p.ended = r.At
	p.releaseAll()
	for _, b := range p.branches {
		for _, call := range b.calls {
			if !call.Open {
				call.Request.Messages = nil
			}
		}
	}
}

// releaseAll moves every placement to the outbox as a release of the whole
// program, with the streams that may still run there.
func (p *Program) releaseAll() {
	running := map[string][]identity.StreamID{}
	for _, call := range p.OpenCalls() {
		if call.Pending && call.Request.Kind == api.CallModel {
			running[call.Attempt.Backend] = append(running[call.Attempt.Backend], call.Attempt.Stream)
		}
	}
	addresses := map[string]netip.AddrPort{}
	for _, key := range p.sortedPlacements() {
		held := p.placements[key]
		addresses[key.backend] = held.address
		running[key.backend] = append(running[key.backend], held.lost...)
	}
	for _, release := range p.outbox {
		addresses[release.Backend] = release.Address
		running[release.Backend] = append(running[release.Backend], release.Streams...)
	}
	backends := make([]string, 0, len(addresses))
	for backend := range addresses {
		backends = append(backends, backend)
	}
	slices.Sort(backends)
	p.outbox = nil
	for _, backend := range backends {
		p.enqueue(Release{Backend: backend, Address: addresses[backend], Streams: running[backend]})
	}
	clear(p.placements)
}

func (p *Program) touch(at time.Time) {
	if at.After(p.lastActivity) {
		p.lastActivity = at
	}
}
