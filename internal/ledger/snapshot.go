package ledger

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// A Snapshot is a partition's state outside the log, for which the records that it includes are not
// needed. It consists of items, each of which has a key and is replaced or removed on its own: the
// position, accounts, turns and the texts of turns.
//
// Invariants:
//   - Every account and turn that a record before Position has changed is among the items, with that
//     change, unless it has expired.
//   - The texts of a turn's chain are among the items if the turn is.
type Snapshot struct {
	// Found is set if there is a position.
	Found bool
	// Position is the offset of the first record that the items need not include.
	Position uint64
	// Clock is the reading of the snapshot's clock when the position was written. The clock runs
	// only while the snapshot has a writer, so that nothing expires early.
	Clock time.Duration
	// IncompleteUntil is the reading of the clock until which accounts and turns may be missing.
	IncompleteUntil time.Duration

	accounts map[ProgramID]expiringAccount
	turns    map[TurnID]expiringTurn
}

type expiringAccount struct {
	account
	expires time.Duration
}

type expiringTurn struct {
	storedTurn
	expires time.Duration
}

// snapshotFormat is the first byte of values. It rises only where builds that don't know the new
// format must not read it; fields are added at the end of a value.
const snapshotFormat = 1

// The prefixes of keys. The position precedes all others, so that a reader of several pages has the
// position of the first: what it reads later may include more records, not fewer.
const (
	positionKey   = "!"
	accountPrefix = "a"
	turnPrefix    = "i"
	textPrefix    = "t"
	// TextKeys is less than the keys of all texts and greater than those of all other items.
	TextKeys = textPrefix
)

// AccountKey returns the key of a program's account.
func AccountKey(program ProgramID) string { return accountPrefix + digest(string(program)) }

// TurnKey returns the key of a turn.
func TurnKey(turn TurnID) string { return turnPrefix + digest(string(turn)) }

// digest makes keys short and printable whatever IDs clients choose.
func digest(id string) string {
	const bytes = 16
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:bytes])
}

// TextKey returns the prefix of the keys of a text of a chain. All texts of the chain, and of others
// that began with the same turn, follow each other.
func TextKey(first, text Location) string {
	return fmt.Sprintf("%s%04x%016x/%04x%016x/", textPrefix, first.Partition, first.Offset, text.Partition, text.Offset)
}

// TextPartKey returns the key of a part of a text that does not fit one record.
func TextPartKey(textKey string, part int) string { return fmt.Sprintf("%s%04x", textKey, part) }

// IsTextKey reports whether a key is that of a text.
func IsTextKey(key string) bool { return strings.HasPrefix(key, textPrefix) }

// NewSnapshot returns a snapshot without items.
func NewSnapshot() *Snapshot {
	return &Snapshot{accounts: map[ProgramID]expiringAccount{}, turns: map[TurnID]expiringTurn{}}
}

// Add adds an item that is not a text. Items of kinds that this version does not know are skipped. Its
// error wraps ErrRecord.
func (s *Snapshot) Add(key string, value []byte) error {
	if len(value) == 0 || value[0] != snapshotFormat {
		return fmt.Errorf("%w: unknown format of %q", ErrRecord, key)
	}
	reader := &decoder{rest: value[1:]}
	switch {
	case key == positionKey:
		s.Found, s.Position, s.Clock, s.IncompleteUntil = true, reader.uint64(), reader.duration(), reader.duration()
	case strings.HasPrefix(key, accountPrefix):
		program := ProgramID(reader.readString())
		s.accounts[program] = reader.expiringAccount()
	case strings.HasPrefix(key, turnPrefix):
		turn, entry := reader.expiringTurn()
		s.turns[turn] = entry
	}
	if reader.truncated {
		return fmt.Errorf("%w: item %q of %d bytes", ErrRecord, key, len(value))
	}
	return nil
}

// Programs returns the programs that have an account.
func (s *Snapshot) Programs() []ProgramID { return slices.Collect(maps.Keys(s.accounts)) }

// Turns returns the chains of all turns.
func (s *Snapshot) Turns() map[TurnID][]Location {
	chains := make(map[TurnID][]Location, len(s.turns))
	for turn, entry := range s.turns {
		chains[turn] = entry.Chain
	}
	return chains
}

// gap describes records that the log has dropped and no snapshot includes.
type gap struct {
	// end is the offset after the last of them, 0 if there is no gap.
	end uint64
	// since is when they were found to be missing.
	since time.Duration
}

// SetLongestRest sets the source of how long a program may rest between two turns. Without it
// programs rest for up to AccountTTL.
func (p *Partition) SetLongestRest(longest func() time.Duration) { p.longestRest = longest }

// gapDuration returns how long a program may come back of which only missing records tell.
func (p *Partition) gapDuration() time.Duration {
	rest := time.Duration(0)
	if p.longestRest != nil {
		rest = p.longestRest()
	}
	if rest == 0 {
		rest = AccountTTL
	}
	return rest + retentionMargin
}

// gapLeft returns how much of that time is left.
func (p *Partition) gapLeft(now time.Duration) time.Duration {
	if p.gap.end == 0 {
		return 0
	}
	return max(p.gap.since+p.gapDuration()-now, 0)
}

// Incomplete reports whether turns, and charges of any program, may be missing, since the log dropped
// records that are in nothing that was read.
func (p *Partition) Incomplete(now time.Duration) bool { return p.gapLeft(now) > 0 }

// Covered reports whether all records before an offset have been applied or are part of a restored
// snapshot.
func (p *Partition) Covered(offset uint64) bool { return max(p.next, p.covered) >= offset }

// Closes reports whether the snapshot has what this state lacks.
func (p *Partition) Closes(snapshot *Snapshot) bool {
	return p.gap.end > 0 && snapshot.Found && snapshot.Position >= p.gap.end && snapshot.IncompleteUntil <= snapshot.Clock
}

// Restore applies a snapshot where the log has dropped the records before first that were not
// applied. If some of them are not part of the snapshot, the partition is incomplete for as long as
// programs may rest. A partition without a position has had no writer of snapshots, and is complete
// as far as can be known.
func (p *Partition) Restore(snapshot *Snapshot, first uint64, now time.Duration) {
	if snapshot.Found && (snapshot.Position >= p.next || p.Closes(snapshot)) {
		// The snapshot has all that was applied here.
		p.accounts, p.turns, p.gap = map[ProgramID]*account{}, map[TurnID]storedTurn{}, gap{}
		p.next, p.covered = min(first, snapshot.Position), snapshot.Position
		p.owner = Ownership{tainted: true}
	}
	p.Adopt(snapshot, now)
	if snapshot.Found && !p.Covered(first) {
		p.gap = gap{end: first, since: now}
	}
	p.SkipTo(first)
}

// Adopt adds the accounts and turns of a snapshot that are not known here.
func (p *Partition) Adopt(snapshot *Snapshot, now time.Duration) {
	if left := snapshot.IncompleteUntil - snapshot.Clock; snapshot.Found && left > 0 && p.covered >= snapshot.Position {
		p.gap = gap{end: max(p.gap.end, snapshot.Position), since: now - max(p.gapDuration()-left, 0)}
	}
	for program, item := range snapshot.accounts {
		if _, known := p.accounts[program]; known || item.expires <= snapshot.Clock {
			continue
		}
		restored := item.account
		restored.open = maps.Clone(item.open)
		for attempt, one := range restored.open {
			one.since = now
			restored.open[attempt] = one
		}
		restored.lastUsed = now + item.expires - snapshot.Clock - restored.ttl
		p.accounts[program] = &restored
	}
	for turn, item := range snapshot.turns {
		if _, known := p.turns[turn]; known || item.expires <= snapshot.Clock {
			continue
		}
		restored := item.storedTurn
		restored.expires = now + item.expires - snapshot.Clock
		p.turns[turn] = restored
	}
}

// includes reports whether a program's account includes the record that was read last.
func (p *Partition) includes(program ProgramID) bool {
	if charges, known := p.accounts[program]; known {
		return p.next <= charges.asOf
	}
	return p.next <= p.covered
}

// Clocks relates this process's clock to that of a snapshot.
type Clocks struct{ Now, Snapshot time.Duration }

// EncodePosition returns the item for the position: all records before it are part of the items.
func (p *Partition) EncodePosition(position uint64, clocks Clocks) (key string, value []byte) {
	encoded := binary.BigEndian.AppendUint64([]byte{snapshotFormat}, position)
	encoded = appendDuration(encoded, clocks.Snapshot)
	until := time.Duration(0)
	if left := p.gapLeft(clocks.Now); left > 0 {
		until = clocks.Snapshot + left
	}
	return positionKey, appendDuration(encoded, until)
}

// AccountsToStore returns the programs whose accounts a snapshot lacks that includes the records before
// position: has tells which accounts it has at all.
func (p *Partition) AccountsToStore(position uint64, has func(ProgramID) bool) []ProgramID {
	var lacking []ProgramID
	for program, charges := range p.accounts {
		if charges.changed > position || !has(program) {
			lacking = append(lacking, program)
		}
	}
	return lacking
}

// ChangedTurn is a turn that was indexed, with the offset after its record.
type ChangedTurn struct {
	Turn    TurnID
	Chain   []Location
	Changed uint64
}

// TurnsToStore is AccountsToStore for turns, in the order of the log.
func (p *Partition) TurnsToStore(position uint64, has func(TurnID) bool) []ChangedTurn {
	var lacking []ChangedTurn
	for turn, entry := range p.turns {
		if entry.changed > position || !has(turn) {
			lacking = append(lacking, ChangedTurn{Turn: turn, Chain: entry.Chain, Changed: entry.changed})
		}
	}
	slices.SortFunc(lacking, func(one, other ChangedTurn) int { return cmp.Compare(one.Changed, other.Changed) })
	return lacking
}

// KnowsTurn reports whether a turn is kept.
func (p *Partition) KnowsTurn(turn TurnID) bool {
	_, known := p.turns[turn]
	return known
}

// HasText reports whether a text is part of the chain of a turn that is kept.
func (p *Partition) HasText(text Location) bool {
	for _, entry := range p.turns {
		if slices.Contains(entry.Chain, text) {
			return true
		}
	}
	return false
}

// EncodeAccount returns the item for a program's account, which must be known.
func (p *Partition) EncodeAccount(program ProgramID, clocks Clocks) (key string, value []byte) {
	charges := p.accounts[program]
	encoded := appendString([]byte{snapshotFormat}, string(program))
	encoded = binary.BigEndian.AppendUint64(encoded, max(p.next, charges.asOf))
	encoded = appendDuration(encoded, clocks.Snapshot+charges.lastUsed+charges.ttl-clocks.Now)
	encoded = appendDuration(encoded, charges.ttl)
	encoded = binary.BigEndian.AppendUint64(encoded, charges.charged)
	for _, set := range []bool{charges.exclusive, charges.fresh, charges.unlogged.possible, charges.unlogged.limited} {
		encoded = appendBool(encoded, set)
	}
	encoded = appendString(encoded, string(charges.unlogged.incarnation))
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(charges.open)))
	for _, attempt := range slices.Sorted(maps.Keys(charges.open)) {
		one := charges.open[attempt]
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(attempt))
		encoded = appendString(encoded, string(one.Incarnation))
		encoded = binary.BigEndian.AppendUint32(encoded, one.Tokens)
		encoded = appendBool(encoded, one.Assumed)
	}
	return AccountKey(program), encoded
}

func (f *decoder) expiringAccount() expiringAccount {
	var read expiringAccount
	read.asOf = f.uint64()
	read.expires, read.ttl = f.duration(), f.duration()
	read.charged = f.uint64()
	read.exclusive, read.fresh = f.bool(), f.bool()
	read.unlogged = unloggedGrants{possible: f.bool(), limited: f.bool(), incarnation: IncarnationID(f.readString())}
	read.open = map[AttemptID]OpenReservation{}
	for range f.uint16() {
		attempt := AttemptID(f.uint64())
		read.open[attempt] = OpenReservation{Incarnation: IncarnationID(f.readString()), Tokens: f.uint32(), Assumed: f.bool()}
	}
	read.changed = read.asOf
	return read
}

// EncodeTurn returns the item for a turn, which must be known.
func (p *Partition) EncodeTurn(turn TurnID, clocks Clocks) (key string, value []byte) {
	entry := p.turns[turn]
	encoded := appendDuration([]byte{snapshotFormat}, clocks.Snapshot+entry.expires-clocks.Now)
	encoded = binary.BigEndian.AppendUint64(encoded, entry.changed)
	record := Encode(IndexEntry{Program: entry.program, Turn: turn, Chain: entry.Chain, Retention: entry.retention, CacheLocation: entry.CacheLocation})
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(record)))
	return TurnKey(turn), append(encoded, record...)
}

func (f *decoder) expiringTurn() (TurnID, expiringTurn) {
	var read expiringTurn
	read.expires, read.changed = f.duration(), f.uint64()
	size := int(f.uint32())
	if size > len(f.rest) {
		f.truncated = true
		return "", read
	}
	record, err := Decode(f.take(size))
	entry, isEntry := record.(IndexEntry)
	if err != nil || !isEntry {
		f.truncated = true
		return "", read
	}
	read.program, read.retention = entry.Program, entry.Retention
	read.IndexedTurn = IndexedTurn{Chain: entry.Chain, CacheLocation: entry.CacheLocation}
	return entry.Turn, read
}

func appendDuration(encoded []byte, length time.Duration) []byte {
	return binary.BigEndian.AppendUint64(encoded, uint64(max(length, 0)/time.Millisecond))
}

func (f *decoder) duration() time.Duration { return time.Duration(f.uint64()) * time.Millisecond }

func (f *decoder) bool() bool { return f.take(1)[0] == 1 }
