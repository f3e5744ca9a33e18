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

// ErrOutOfOrder is returned if a record is not valid in the current state.
var ErrOutOfOrder = errors.New("program: record does not follow from the state")

func newProgram(r Created) *Program {
	return &Program{
		id:              r.ID,
		tenant:          r.Tenant,
		class:           r.Class,
		limits:          r.Limits,
		state:           api.ProgramRunning,
		created:         r.At,
		lastActivity:    r.At,
		branches:        map[identity.BranchID]*branch{},
		idempotencyKeys: map[string]identity.CallID{},
		placements:      map[placementKey]*placement{},
	}
}

// Apply applies record to the state. Records that resolve an attempt or a release
// that is not open are ignored, since it may have been withdrawn before.
func (p *Program) Apply(record Record) error {
	switch r := record.(type) {
	case Intent:
		return p.applyIntent(r)
	case Retry:
		return p.applyRetry(r)
	case NotRun:
		p.applyNotRun(r)
	case Withdrawn:
		p.applyWithdrawn(r)
	case Result:
		p.applyResult(r)
	case Deduplicated:
		return p.applyDeduplicated(r)
	case Ended:
		p.applyEnded(r)
	case Released:
		p.removeRelease(r.Backend, r.Branch)
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

// branchForNext returns the branch of id if id is its next call, or an error.
func (p *Program) branchForNext(id identity.CallID) (*branch, error) {
	b := p.branches[id.Branch]
	if p.Next(id.Branch) != id.Sequence || (b != nil && b.open() != nil) {
		return nil, fmt.Errorf("%w: call %s after %d", ErrOutOfOrder, id, p.Next(id.Branch)-1)
	}
	return p.branchOf(id.Branch), nil
}

func (p *Program) applyIntent(r Intent) error {
	b, err := p.branchForNext(r.Request.ID)
	if err != nil {
		return err
	}
	call := &Call{Request: r.Request, Open: true}
	b.calls = append(b.calls, call)
	p.calls++
	if r.Request.IdempotencyKey != "" {
		p.idempotencyKeys[r.Request.IdempotencyKey] = r.Request.ID
	}
	p.startAttempt(b, call, r.Attempt)
	return nil
}

func (p *Program) applyRetry(r Retry) error {
	call := p.Call(r.Attempt.Stream.Call)
	if call == nil || !call.Open {
		return fmt.Errorf("%w: retry of %s", ErrOutOfOrder, r.Attempt.Stream)
	}
	p.chargePending(call)
	p.startAttempt(p.branchOf(call.Request.ID.Branch), call, r.Attempt)
	return nil
}

// startAttempt makes attempt the pending attempt of call.
func (p *Program) startAttempt(b *branch, call *Call, attempt Attempt) {
	call.Attempt = attempt
	call.Pending = true
	p.reserved += attempt.Reserved
	b.nextAttempt = attempt.Stream.Attempt + 1
	p.recordActivity(attempt.At)
	if call.Request.Kind != api.CallModel {
		return
	}
	key := placementKey{backend: attempt.Backend, branch: call.Request.ID.Branch}
	placed := p.placements[key]
	if placed == nil {
		placed = &placement{}
		p.placements[key] = placed
	}
	placed.address = attempt.Address
	p.withdrawRelease(key, placed)
}

// chargePending charges the whole reservation of the pending attempt of call, whose
// result is not known.
func (p *Program) chargePending(call *Call) {
	if !call.Pending {
		return
	}
	call.Pending = false
	call.HasLostAttempt = true
	p.reserved -= call.Attempt.Reserved
	p.spent += call.Attempt.Reserved
	placed := p.placements[placementKey{backend: call.Attempt.Backend, branch: call.Request.ID.Branch}]
	if placed == nil {
		return
	}
	placed.unresolved = append(placed.unresolved, call.Attempt.Stream)
	if surplus := len(placed.unresolved) - maxUnresolvedStreams; surplus > 0 {
		placed.unresolved = slices.Clone(placed.unresolved[surplus:])
	}
}

// pending returns the call whose pending attempt is stream, nil if there is none.
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

func (p *Program) applyWithdrawn(r Withdrawn) {
	call := p.Call(r.Call)
	if call == nil || !call.Open {
		return
	}
	p.chargePending(call)
	b := p.branches[r.Call.Branch]
	b.calls = b.calls[:len(b.calls)-1]
	if call.HasLostAttempt {
		b.mayHaveRun = true
	} else {
		p.calls-- // it never ran and does not count against MaxCalls
	}
	if call.Request.IdempotencyKey != "" {
		delete(p.idempotencyKeys, call.Request.IdempotencyKey)
	}
	p.recordActivity(r.At)
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
	p.serviceTime += r.Answer.Run
	p.recordActivity(r.Answer.At)
	b := p.branches[r.Stream.Call.Branch]
	b.nextAttempt, b.mayHaveRun = 0, false
	if call.inHistory() {
		p.updateCacheState(b, call)
	}
	if !p.Running() {
		call.Request.Messages = nil
	}
}

// charge returns the cost of an answer in tokens: the engine's count, or the whole
// reservation if there is none.
func charge(attempt Attempt, answer Answer) int64 {
	if answer.Code != "" {
		return attempt.Reserved
	}
	return int64(answer.Usage.PromptTokens + answer.Usage.CompletionTokens)
}

// updateCacheState records where the branch's cache is and how many tokens its
// history has.
func (p *Program) updateCacheState(b *branch, call *Call) {
	b.lastBackend = call.Attempt.Backend
	usage := call.Answer.Usage
	if usage.PromptTokens > 0 {
		b.countedTokens = int64(usage.PromptTokens + usage.CompletionTokens)
		b.countedModel = modelKey(call.Request.Model, call.Request.Adapter)
		b.countedCalls = len(b.calls)
	}
	p.releaseExcept(call.Request.ID.Branch, call.Attempt.Backend)
}

// releaseExcept queues the release of the branch at every back end except kept.
func (p *Program) releaseExcept(id identity.BranchID, kept string) {
	for _, backend := range p.Placements(id) {
		if backend == kept {
			continue
		}
		key := placementKey{backend: backend, branch: id}
		placed := p.placements[key]
		p.enqueue(Release{Backend: backend, Address: placed.address, Branch: id, Streams: placed.unresolved})
		delete(p.placements, key)
	}
}

// applyEvicted queues the release of a branch unless it has an open call.
func (p *Program) applyEvicted(r Evicted) {
	b := p.branches[r.Branch]
	if b == nil || b.open() != nil {
		return
	}
	p.releaseExcept(r.Branch, "")
	b.lastBackend = ""
}

// enqueue adds release to the outbox, or its streams to an existing entry.
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

// withdrawRelease removes an unconfirmed release because the engine is to keep the
// branch again. The streams to be cancelled move back to the placement.
func (p *Program) withdrawRelease(key placementKey, placed *placement) {
	for _, release := range p.outbox {
		if release.Backend == key.backend && release.Branch == key.branch {
			placed.unresolved = append(placed.unresolved, release.Streams...)
		}
	}
	p.removeRelease(key.backend, key.branch)
}

func (p *Program) removeRelease(backend string, id identity.BranchID) {
	p.outbox = slices.DeleteFunc(p.outbox, func(r Release) bool {
		return r.Backend == backend && r.Branch == id
	})
}

func (p *Program) applyDeduplicated(r Deduplicated) error {
	b, err := p.branchForNext(r.ID)
	if err != nil {
		return err
	}
	request := Request{ID: r.ID, Digest: r.Digest}
	b.calls = append(b.calls, &Call{Request: request, RepeatOf: r.Of})
	b.nextAttempt, b.mayHaveRun = 0, false
	p.calls++
	p.recordActivity(r.At)
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

// releaseAll replaces all placements and outbox entries by one release of the whole
// program per back end, with the streams that may still run there.
func (p *Program) releaseAll() {
	running := map[string][]identity.StreamID{}
	for _, call := range p.OpenCalls() {
		if call.Pending && call.Request.Kind == api.CallModel {
			running[call.Attempt.Backend] = append(running[call.Attempt.Backend], call.Attempt.Stream)
		}
	}
	addresses := map[string]netip.AddrPort{}
	for _, key := range p.sortedPlacements() {
		placed := p.placements[key]
		addresses[key.backend] = placed.address
		running[key.backend] = append(running[key.backend], placed.unresolved...)
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

func (p *Program) recordActivity(at time.Time) {
	if at.After(p.lastActivity) {
		p.lastActivity = at
	}
}
