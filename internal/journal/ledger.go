package journal

import (
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/siteservices"
)

// Verdict is the outcome of one record according to log order.
type Verdict uint8

// The verdicts.
const (
	// Valid records take effect.
	Valid Verdict = iota + 1
	// Duplicate records occur in the log more than once; the first copy counts.
	Duplicate
	// Superseded records follow a higher claim, or lost a race.
	Superseded
	// Corrupt records cannot be decoded or are inconsistent; they are skipped.
	Corrupt
)

// Effect is what one record changes in the shard's state.
type Effect struct {
	Verdict Verdict
	Record  Record
	// Restore is true if State replaces the state.
	Restore bool
	State   []byte
	// Entries are applied in order, after State.
	Entries [][]byte
}

// StreamState is the state of one shard's log stream, built by applying its records in
// offset order. All readers of the same stream get the same verdicts. It does no
// I/O and is not safe for concurrent use.
type StreamState struct {
	shard identity.ShardID
	next  siteservices.Offset
	// awaitingSnapshot is true until the snapshot at base is applied.
	awaitingSnapshot bool
	base             siteservices.Offset
	current          Claim
	active           Claim
	released         bool
	index            uint64
	// verdicts has the records applied since base, by id.
	verdicts map[RecordID]Verdict
}

// NewStreamState returns the initial state for reading shard's stream from base: 0, or
// the offset of a valid snapshot.
func NewStreamState(shard identity.ShardID, base siteservices.Offset) *StreamState {
	return &StreamState{
		shard: shard, next: base, base: base, awaitingSnapshot: base > 0,
		verdicts: map[RecordID]Verdict{},
	}
}

// Next returns the offset of the next record to apply.
func (l *StreamState) Next() siteservices.Offset { return l.next }

// Base returns the offset from which a new reader can start.
func (l *StreamState) Base() siteservices.Offset { return l.base }

// Current returns the highest valid claim, activated or not.
func (l *StreamState) Current() Claim { return l.current }

// Active returns the last activated claim; its replicas have the tail.
func (l *StreamState) Active() Claim { return l.active }

// Released reports whether the owner of Active stopped with all records in the log.
func (l *StreamState) Released() bool { return l.released }

// Index returns the index of the last state machine record in the log.
func (l *StreamState) Index() uint64 { return l.index }

// Verdict returns the verdict on record id, if it was applied since Base.
func (l *StreamState) Verdict(id RecordID) (Verdict, bool) {
	verdict, found := l.verdicts[id]
	return verdict, found
}

// Apply applies the record at Next.
func (l *StreamState) Apply(raw []byte) Effect {
	offset := l.next
	l.next++
	record, err := DecodeRecord(raw)
	if err != nil || record.Shard != l.shard {
		return Effect{Verdict: Corrupt}
	}
	if _, met := l.verdicts[record.ID]; met {
		return Effect{Verdict: Duplicate, Record: record}
	}
	step := l.applyRecord(offset, record)
	step.Record = record
	l.verdicts[record.ID] = step.Verdict
	return step
}

func (l *StreamState) applyRecord(offset siteservices.Offset, record Record) Effect {
	if l.awaitingSnapshot {
		return l.applyBase(offset, record)
	}
	if record.Kind == ClaimRecord {
		return l.applyClaim(record)
	}
	if record.Epoch != l.current.Epoch || l.isReleased() {
		return Effect{Verdict: Superseded}
	}
	switch record.Kind {
	case BatchRecord:
		return l.applyBatch(record)
	case SnapshotRecord:
		return l.applySnapshot(offset, record)
	case ActivatedRecord:
		return l.applyActivated(record)
	case ReleasedRecord:
		return l.applyReleased(record)
	}
	return Effect{Verdict: Corrupt}
}

// isReleased reports whether the current claim was released.
func (l *StreamState) isReleased() bool {
	return l.released && l.active.Epoch == l.current.Epoch
}

// applyBase restores the snapshot at which reading started. The writer that named
// the offset as a base had read it back as valid.
func (l *StreamState) applyBase(offset siteservices.Offset, record Record) Effect {
	if record.Kind != SnapshotRecord {
		return Effect{Verdict: Corrupt}
	}
	l.awaitingSnapshot = false
	l.current, l.active = record.Claim, record.Active
	l.base, l.index = offset, record.Index
	return Effect{Verdict: Valid, Restore: true, State: record.State}
}

func (l *StreamState) applyClaim(record Record) Effect {
	if record.Epoch != record.Claim.Epoch || len(record.Claim.Replicas) == 0 {
		return Effect{Verdict: Corrupt}
	}
	if record.Epoch != l.current.Epoch+1 {
		return Effect{Verdict: Superseded}
	}
	l.current = record.Claim
	return Effect{Verdict: Valid}
}

func (l *StreamState) applyBatch(record Record) Effect {
	if record.Index > l.index {
		return Effect{Verdict: Corrupt}
	}
	known := l.index - record.Index
	if known >= uint64(len(record.Entries)) {
		return Effect{Verdict: Valid}
	}
	fresh := record.Entries[known:]
	l.index += uint64(len(fresh))
	return Effect{Verdict: Valid, Entries: fresh}
}

func (l *StreamState) applySnapshot(offset siteservices.Offset, record Record) Effect {
	if record.Index < l.index {
		return Effect{Verdict: Superseded}
	}
	restored := record.Index > l.index
	l.index, l.base = record.Index, offset
	clear(l.verdicts)
	if !restored {
		return Effect{Verdict: Valid}
	}
	return Effect{Verdict: Valid, Restore: true, State: record.State}
}

func (l *StreamState) applyActivated(record Record) Effect {
	if record.Owner != l.current.Owner.Reference() {
		return Effect{Verdict: Superseded}
	}
	if l.active.Epoch == l.current.Epoch {
		return Effect{Verdict: Valid}
	}
	l.active, l.released = l.current, false
	return Effect{Verdict: Valid}
}

func (l *StreamState) applyReleased(record Record) Effect {
	if l.active.Epoch != l.current.Epoch || record.Index != l.index {
		return Effect{Verdict: Corrupt}
	}
	l.released = true
	return Effect{Verdict: Valid}
}
