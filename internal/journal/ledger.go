package journal

import (
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/siteservices"
)

// Verdict is what log order makes of one record.
type Verdict uint8

// The verdicts.
const (
	// Valid records count.
	Valid Verdict = iota + 1
	// Repeated records stand in the log more than once; the first one counts.
	Repeated
	// Void records stand behind a higher claim, or lost a race.
	Void
	// Damaged records cannot be read or do not fit; they are passed over.
	Damaged
)

// Step is what one record changes in the shard's state.
type Step struct {
	Verdict Verdict
	Record  Record
	// Restored is true where the state is to be replaced by State.
	Restored bool
	State    []byte
	// Entries are to be applied, after State.
	Entries [][]byte
}

// Ledger folds the log stream of one shard in offset order. All readers that
// fold the same stream agree on every verdict. It is pure and not safe for
// concurrent use.
type Ledger struct {
	shard identity.ShardID
	next  siteservices.Offset
	// adopt is true while the fold waits for the snapshot that it starts at.
	adopt    bool
	base     siteservices.Offset
	current  Claim
	active   Claim
	released bool
	index    uint64
	// verdicts holds the records read since base by id.
	verdicts map[RecordID]Verdict
}

// NewLedger returns the fold of shard's stream from base on: 0, or the offset of
// a valid snapshot.
func NewLedger(shard identity.ShardID, base siteservices.Offset) *Ledger {
	return &Ledger{
		shard: shard, next: base, base: base, adopt: base > 0,
		verdicts: map[RecordID]Verdict{},
	}
}

// Next returns the offset of the next record to fold.
func (l *Ledger) Next() siteservices.Offset { return l.next }

// Base returns the offset to start the next fold from.
func (l *Ledger) Base() siteservices.Offset { return l.base }

// Current returns the highest valid claim, activated or not.
func (l *Ledger) Current() Claim { return l.current }

// Active returns the last activated claim; its replicas hold the tail.
func (l *Ledger) Active() Claim { return l.active }

// Released tells whether the owner of Active stopped with all records in the log.
func (l *Ledger) Released() bool { return l.released }

// Index returns the last state machine record that the log holds.
func (l *Ledger) Index() uint64 { return l.index }

// Verdict returns what was made of the record id, if it was met since Base.
func (l *Ledger) Verdict(id RecordID) (Verdict, bool) {
	verdict, found := l.verdicts[id]
	return verdict, found
}

// Apply folds the record at Next.
func (l *Ledger) Apply(raw []byte) Step {
	offset := l.next
	l.next++
	record, err := DecodeRecord(raw)
	if err != nil || record.Shard != l.shard {
		return Step{Verdict: Damaged}
	}
	if _, met := l.verdicts[record.ID]; met {
		return Step{Verdict: Repeated, Record: record}
	}
	step := l.fold(offset, record)
	step.Record = record
	l.verdicts[record.ID] = step.Verdict
	return step
}

func (l *Ledger) fold(offset siteservices.Offset, record Record) Step {
	if l.adopt {
		return l.foldBase(offset, record)
	}
	if record.Kind == ClaimRecord {
		return l.foldClaim(record)
	}
	if record.Epoch != l.current.Epoch || l.isReleased() {
		return Step{Verdict: Void}
	}
	switch record.Kind {
	case BatchRecord:
		return l.foldBatch(record)
	case SnapshotRecord:
		return l.foldSnapshot(offset, record)
	case ActivatedRecord:
		return l.foldActivated(record)
	case ReleasedRecord:
		return l.foldReleased(record)
	}
	return Step{Verdict: Damaged}
}

// isReleased tells whether the standing claim itself was released.
func (l *Ledger) isReleased() bool {
	return l.released && l.active.Epoch == l.current.Epoch
}

// foldBase adopts the snapshot that the fold starts at. Whoever named the offset
// as a base had read it back as valid.
func (l *Ledger) foldBase(offset siteservices.Offset, record Record) Step {
	if record.Kind != SnapshotRecord {
		return Step{Verdict: Damaged}
	}
	l.adopt = false
	l.current, l.active = record.Claim, record.Active
	l.base, l.index = offset, record.Index
	return Step{Verdict: Valid, Restored: true, State: record.State}
}

func (l *Ledger) foldClaim(record Record) Step {
	if record.Epoch != record.Claim.Epoch || len(record.Claim.Replicas) == 0 {
		return Step{Verdict: Damaged}
	}
	if record.Epoch != l.current.Epoch+1 {
		return Step{Verdict: Void}
	}
	l.current = record.Claim
	return Step{Verdict: Valid}
}

func (l *Ledger) foldBatch(record Record) Step {
	if record.Index > l.index {
		return Step{Verdict: Damaged}
	}
	known := l.index - record.Index
	if known >= uint64(len(record.Entries)) {
		return Step{Verdict: Valid}
	}
	fresh := record.Entries[known:]
	l.index += uint64(len(fresh))
	return Step{Verdict: Valid, Entries: fresh}
}

func (l *Ledger) foldSnapshot(offset siteservices.Offset, record Record) Step {
	if record.Index < l.index {
		return Step{Verdict: Void}
	}
	restored := record.Index > l.index
	l.index, l.base = record.Index, offset
	clear(l.verdicts)
	if !restored {
		return Step{Verdict: Valid}
	}
	return Step{Verdict: Valid, Restored: true, State: record.State}
}

func (l *Ledger) foldActivated(record Record) Step {
	if record.Owner != l.current.Owner.Reference() {
		return Step{Verdict: Void}
	}
	if l.active.Epoch == l.current.Epoch {
		return Step{Verdict: Valid}
	}
	l.active, l.released = l.current, false
	return Step{Verdict: Valid}
}

func (l *Ledger) foldReleased(record Record) Step {
	if l.active.Epoch != l.current.Epoch || record.Index != l.index {
		return Step{Verdict: Damaged}
	}
	l.released = true
	return Step{Verdict: Valid}
}
