package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// accountLife is how long a program's charges are kept after its last record.
// A program that was stopped may come back within the retention of its turns.
const accountLife = 5 * time.Minute

// keepSlack is how much longer a turn is kept than promised.
const keepSlack = 15 * time.Second

// prunePause is the time between two searches for what has expired.
const prunePause = 5 * time.Second

// account is a program's charges. Invariant: charged is the sum of what settled
// attempts used and of what open ones reserved.
type account struct {
	charged uint64
	// sure tells that the first record of the program was; fresh that none has come.
	sure, fresh bool
	open        map[AttemptID]OpenReservation
	touched     time.Duration
}

// OpenReservation is an open reservation: tokens that a life of a node may hand out, or
// give back.
type OpenReservation struct {
	Incarnation IncarnationID
	Tokens      uint32
}

// holdings returns the open reservations, ordered, since nodes compare verdicts.
func (a *account) holdings() []OpenReservation {
	held := slices.Collect(maps.Values(a.open))
	slices.SortFunc(held, func(one, other OpenReservation) int {
		return cmp.Or(cmp.Compare(one.Incarnation, other.Incarnation), cmp.Compare(one.Tokens, other.Tokens))
	})
	return held
}

// heldByOthers is what open reservations of other lives hold.
func (a *account) heldByOthers(life IncarnationID) uint64 {
	held := uint64(0)
	for _, one := range a.open {
		if one.Incarnation != life {
			held += uint64(one.Tokens)
		}
	}
	return held
}

// IndexedTurn is what the index says of a turn.
type IndexedTurn struct {
	// Chain holds the locations of the turn's predecessors, the oldest first, and of
	// the turn itself.
	Chain         []Location
	CacheLocation CacheLocation
}

type keptTurn struct {
	IndexedTurn
	expires time.Duration
}

// Partition is the state that the records of one log partition add up to. It is
// not safe for concurrent use. Times are readings of a monotonic clock.
type Partition struct {
	next  uint64
	owner Ownership
	// skipped tells that the oldest records were gone when this state began.
	skipped  bool
	accounts map[ProgramID]*account
	turns    map[TurnID]keptTurn
	// rule bounds the texts of turns in the partition, texts counts them, and demand those
	// of all kept turns.
	rule   TextLimits
	texts  textWindow
	demand textWindow
	pruned time.Duration
}

// NewPartition returns the state before the first record.
func NewPartition() *Partition {
	return &Partition{accounts: map[ProgramID]*account{}, turns: map[TurnID]keptTurn{}}
}

// Next is the offset of the first record that has not been applied.
func (p *Partition) Next() uint64 { return p.next }

// SkipTo passes over records that the log has dropped; they are older than
// anything that is kept.
func (p *Partition) SkipTo(offset uint64) {
	p.skipped = p.skipped || offset > p.next
	p.next = max(p.next, offset)
}

// Verdict is the outcome of a Reserve record.
type Verdict struct {
	Attempt AttemptID
	// Granted is how many tokens are reserved; 0 if the reservation does not hold.
	Granted uint32
	// Charged is what stood against the program's budget before it, in tokens.
	Charged uint64
	// OpenReservations are the parts of Charged that open reservations hold; only where
	// nothing was granted.
	OpenReservations []OpenReservation
	// Shortfall is how many tokens were missing where nothing was granted.
	Shortfall uint64
}

// Apply takes the record at Next. For a Reserve it returns the verdict and true.
func (p *Partition) Apply(encoded []byte, now time.Duration) (Verdict, bool) {
	p.next++
	p.prune(now)
	record, err := Decode(encoded)
	if err != nil {
		return Verdict{}, false // of another version of the program; it counts nothing here
	}
	switch record := record.(type) {
	case Reservation:
		return p.reserve(record, now), true
	case Settlement:
		p.settle(record, now)
	case OwnershipClaim:
		p.own(record, now)
	case OwnershipRelease:
		p.release(record)
	case Text:
		p.texts.add(len(record.Bytes), now, p.rule.Retain)
	case IndexEntry:
		chain := resolved(record.Chain, p.next-1)
		p.noteDemand(chain, now)
		p.turns[record.Turn] = keptTurn{IndexedTurn: IndexedTurn{Chain: chain, CacheLocation: record.CacheLocation}, expires: now + record.Retention + keepSlack}
	}
	return Verdict{}, false
}

// reserve decides on a reservation. What other lives hold counts as handed out, though
// much of it never is where they died; so a turn that only this keeps out may use the most
// of one turn beyond the budget, which is what a program may be handed in all. In a sure
// account that is not used otherwise, see AheadLimit.
func (p *Partition) reserve(record Reservation, now time.Duration) Verdict {
	charges := p.account(record.Program, now)
	if charges.fresh {
		charges.fresh, charges.sure = false, record.Exclusive
	}
	verdict := Verdict{Attempt: record.Attempt, Charged: charges.charged}
	if _, repeated := charges.open[record.Attempt]; repeated {
		return verdict
	}
	open := uint64(record.Budget)
	if !charges.sure {
		open = LoggedBudget(record.Budget, record.MaxTurnTokens)
	}
	needed := charges.charged + uint64(record.MinTokens)
	extended := open
	if charges.sure {
		extended += min(uint64(record.MaxTurnTokens), charges.heldByOthers(record.Incarnation))
	}
	switch {
	case needed > extended:
		verdict.Shortfall, verdict.OpenReservations = needed-extended, charges.holdings()
		return verdict
	case needed > open:
		verdict.Granted = record.MinTokens
	default:
		verdict.Granted = uint32(min(uint64(record.WantedTokens), open-charges.charged))
	}
	charges.charged += uint64(verdict.Granted)
	charges.open[record.Attempt] = OpenReservation{Incarnation: record.Incarnation, Tokens: verdict.Granted}
	return verdict
}

// settle replaces an open reservation by what was used. An attempt that reserved
// nothing, or was settled before, changes nothing.
func (p *Partition) settle(record Settlement, now time.Duration) {
	charges := p.account(record.Program, now)
	reserved, open := charges.open[record.Attempt]
	if !open {
		return
	}
	delete(charges.open, record.Attempt)
	charges.charged = charges.charged - uint64(reserved.Tokens) + uint64(record.Used)
}

func (p *Partition) account(program ProgramID, now time.Duration) *account {
	charges, known := p.accounts[program]
	if !known {
		charges = &account{open: map[AttemptID]OpenReservation{}, fresh: true}
		p.accounts[program] = charges
	}
	charges.touched = now
	return charges
}

// Charged returns what stands against a program's budget, in tokens.
func (p *Partition) Charged(program ProgramID) uint64 {
	if charges, known := p.accounts[program]; known {
		return charges.charged
	}
	return 0
}

// Knows tells whether a reservation of the program has been asked for.
func (p *Partition) Knows(program ProgramID) bool {
	_, known := p.accounts[program]
	return known
}

// Turn returns what the index says of a turn.
func (p *Partition) Turn(turn TurnID) (IndexedTurn, bool) {
	kept, found := p.turns[turn]
	return kept.IndexedTurn, found
}

func (p *Partition) prune(now time.Duration) {
	if now-p.pruned < prunePause {
		return
	}
	p.pruned = now
	for program, charges := range p.accounts {
		if now-charges.touched > accountLife {
			delete(p.accounts, program)
		}
	}
	for turn, kept := range p.turns {
		if now > kept.expires {
			delete(p.turns, turn)
		}
	}
}
