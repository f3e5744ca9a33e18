package program

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wire"
)

// Set contains all programs of one shard. It is not safe for concurrent use.
type Set struct {
	programs map[identity.ProgramID]*Program
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{programs: map[identity.ProgramID]*Program{}} }

// Get returns the program with this id, nil if there is none.
func (s *Set) Get(id identity.ProgramID) *Program { return s.programs[id] }

// Len returns the number of programs, including ended ones.
func (s *Set) Len() int { return len(s.programs) }

// All calls yield with each program in no particular order.
func (s *Set) All(yield func(*Program) bool) {
	for _, program := range s.programs {
		if !yield(program) {
			return
		}
	}
}

// Apply applies record to the program to which it belongs.
func (s *Set) Apply(record Record) error {
	id := record.Program()
	switch r := record.(type) {
	case Created:
		if s.programs[id] != nil {
			return fmt.Errorf("%w: %s stands already", ErrOutOfOrder, id)
		}
		s.programs[id] = newProgram(r)
		return nil
	case Removed:
		delete(s.programs, id)
		return nil
	}
	program := s.programs[id]
	if program == nil {
		return fmt.Errorf("%w: %T for unknown program %s", ErrOutOfOrder, record, id)
	}
	return program.Apply(record)
}

// snapshotVersion is the first byte of a snapshot.
const snapshotVersion = 1

// Snapshot returns the binary form of the set. Equal states have equal snapshots.
func (s *Set) Snapshot() []byte {
	var e wire.Encoder
	e.Uint8(snapshotVersion)
	e.Uint32(uint32(len(s.programs)))
	for _, id := range slices.Sorted(maps.Keys(s.programs)) {
		s.programs[id].encode(&e)
	}
	return e.Bytes()
}

// Restore replaces the contents of the set by a snapshot.
func (s *Set) Restore(snapshot []byte) error {
	d := wire.NewDecoder(snapshot)
	if version := d.Uint8(); d.Err() == nil && version != snapshotVersion {
		return fmt.Errorf("program: snapshot of version %d, know %d", version, snapshotVersion)
	}
	count := d.Count(1)
	programs := make(map[identity.ProgramID]*Program, count)
	for range count {
		program := decodeProgram(d)
		programs[program.id] = program
	}
	if err := d.Finish(); err != nil {
		return fmt.Errorf("program: snapshot: %w", err)
	}
	s.programs = programs
	return nil
}

func (p *Program) encode(e *wire.Encoder) {
	e.String(string(p.id))
	e.String(p.tenant)
	e.String(p.class)
	p.limits.encode(e)
	e.String(string(p.state))
	e.Time(p.created)
	e.Time(p.lastActivity)
	e.Time(p.ended)
	e.Int64(p.spent)
	e.Int64(p.reserved)
	e.Int64(int64(p.calls))
	e.Duration(p.serviceTime)
	e.Uint32(uint32(len(p.branches)))
	for _, id := range slices.Sorted(maps.Keys(p.branches)) {
		e.String(string(id))
		p.branches[id].encode(e)
	}
	p.encodeKeys(e)
	p.encodePlacements(e)
	encodeOutbox(e, p.outbox)
}

func decodeProgram(d *wire.Decoder) *Program {
	p := newProgram(Created{
		ID: identity.ProgramID(d.String()), Tenant: d.String(), Class: d.String(), Limits: decodeLimits(d),
	})
	p.state = api.ProgramState(d.String())
	p.created, p.lastActivity, p.ended = d.Time(), d.Time(), d.Time()
	p.spent, p.reserved = d.Int64(), d.Int64()
	p.calls = int(d.Int64())
	p.serviceTime = time.Duration(d.Int64())
	for range d.Count(1) {
		id := identity.BranchID(d.String())
		p.branches[id] = decodeBranch(d)
	}
	for range d.Count(1) {
		key := d.String()
		p.idempotencyKeys[key] = decodeCallID(d)
	}
	for range d.Count(1) {
		key := placementKey{backend: d.String(), branch: identity.BranchID(d.String())}
		placed := &placement{address: d.AddrPort()}
		for range d.Count(1) {
			placed.unresolved = append(placed.unresolved, decodeStreamID(d))
		}
		p.placements[key] = placed
	}
	p.outbox = decodeOutbox(d)
	return p
}

func (p *Program) encodeKeys(e *wire.Encoder) {
	e.Uint32(uint32(len(p.idempotencyKeys)))
	for _, key := range slices.Sorted(maps.Keys(p.idempotencyKeys)) {
		e.String(key)
		encodeCallID(e, p.idempotencyKeys[key])
	}
}

func (p *Program) encodePlacements(e *wire.Encoder) {
	keys := p.sortedPlacements()
	e.Uint32(uint32(len(keys)))
	for _, key := range keys {
		e.String(key.backend)
		e.String(string(key.branch))
		e.AddrPort(p.placements[key].address)
		encodeStreamIDs(e, p.placements[key].unresolved)
	}
}

// sortedPlacements returns the keys of the placements in a deterministic order.
func (p *Program) sortedPlacements() []placementKey {
	return slices.SortedFunc(maps.Keys(p.placements), func(a, b placementKey) int {
		return cmp.Or(cmp.Compare(a.backend, b.backend), cmp.Compare(a.branch, b.branch))
	})
}

func encodeStreamIDs(e *wire.Encoder, streams []identity.StreamID) {
	e.Uint32(uint32(len(streams)))
	for _, stream := range streams {
		encodeStreamID(e, stream)
	}
}

func encodeOutbox(e *wire.Encoder, outbox []Release) {
	e.Uint32(uint32(len(outbox)))
	for _, release := range outbox {
		e.String(release.Backend)
		e.AddrPort(release.Address)
		e.String(string(release.Branch))
		encodeStreamIDs(e, release.Streams)
	}
}

func decodeOutbox(d *wire.Decoder) []Release {
	var outbox []Release
	for range d.Count(1) {
		release := Release{Backend: d.String(), Address: d.AddrPort(), Branch: identity.BranchID(d.String())}
		for range d.Count(1) {
			release.Streams = append(release.Streams, decodeStreamID(d))
		}
		outbox = append(outbox, release)
	}
	return outbox
}

func (b *branch) encode(e *wire.Encoder) {
	e.Uint32(b.nextAttempt)
	e.Bool(b.mayHaveRun)
	e.String(b.lastBackend)
	e.Int64(b.countedTokens)
	e.String(b.countedModel)
	e.Uint32(uint32(b.countedCalls))
	e.Uint32(uint32(len(b.calls)))
	for _, call := range b.calls {
		call.encode(e)
	}
}

func decodeBranch(d *wire.Decoder) *branch {
	b := &branch{
		nextAttempt:   d.Uint32(),
		mayHaveRun:    d.Bool(),
		lastBackend:   d.String(),
		countedTokens: d.Int64(),
		countedModel:  d.String(),
		countedCalls:  int(d.Uint32()),
	}
	for range d.Count(1) {
		b.calls = append(b.calls, decodeCall(d))
	}
	return b
}

func (c *Call) encode(e *wire.Encoder) {
	c.Request.encode(e)
	e.Bool(c.Open)
	c.Attempt.encode(e)
	e.Bool(c.Pending)
	e.Bool(c.HasLostAttempt)
	c.Answer.encode(e)
	encodeCallID(e, c.RepeatOf)
}

func decodeCall(d *wire.Decoder) *Call {
	return &Call{
		Request:        decodeRequest(d),
		Open:           d.Bool(),
		Attempt:        decodeAttempt(d),
		Pending:        d.Bool(),
		HasLostAttempt: d.Bool(),
		Answer:         decodeAnswer(d),
		RepeatOf:       decodeCallID(d),
	}
}
