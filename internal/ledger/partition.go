package ledger

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// AccountTTL is how long a program's charges are kept after its last record. A stopped program
// may return within the retention of its turns.
const AccountTTL = 5 * time.Minute

// retentionMargin is how much longer than its retention a turn is kept.
const retentionMargin = 15 * time.Second

// pruneInterval is the time between two searches for expired entries.
const pruneInterval = 5 * time.Second

// account has a program's charges. Invariant: charged is the sum of what settled attempts used
// and what open ones reserved, by the records from the beginning of the log on, or up to asOf and
// from there on if the account was restored.
type account struct {
	charged uint64
	// exclusive is that of the program's first reservation; fresh is set until there is one.
	exclusive, fresh bool
	// unlogged says which unlogged grants may exist for which there are assumed reservations.
	unlogged unloggedGrants
	open     map[AttemptID]OpenReservation
	lastUsed time.Duration
	// ttl is how long the account is kept after lastUsed: AccountTTL, or as long as the program's
	// last turn is kept if that is longer.
	ttl time.Duration
	// asOf is the offset of the first record that a restored account does not include.
	asOf uint64
	// changed is the offset after the last record that changed the account.
	changed uint64
}

// OpenReservation is a reservation that is not settled: tokens that an incarnation may use or
// return.
type OpenReservation struct {
	Attempt     AttemptID
	Incarnation IncarnationID
	Tokens      uint32
	// Assumed is set if the reservation stands for unlogged grants of the incarnation, see
	// AssumedReservations.
	Assumed bool
	// Void is set if an assumed reservation stands for nothing, as the log shows by now.
	Void bool
	// Refutable is set if an assumed reservation is settled once the log shows that the incarnation
	// left no unlogged grants. It is never set for one of a partition without an exclusive owner,
	// where no record can show that.
	Refutable bool
	// Age is the time since the record was applied here, which may be long after it was written.
	Age time.Duration
	// since is when the record was applied.
	since time.Duration
}

// openReservations returns the open reservations in a deterministic order, so that verdicts are
// equal on all nodes.
func (a *account) openReservations(program ProgramID, now time.Duration) []OpenReservation {
	void := a.void(program)
	reserved := make([]OpenReservation, 0, len(a.open))
	for attempt, one := range a.open {
		one.Age, one.Attempt = now-one.since, attempt
		if one.Assumed {
			one.Incarnation = IncarnationID(strings.TrimPrefix(string(one.Incarnation), assumedPrefix))
			if a.unlogged.incarnation != "" {
				one.Incarnation, one.Refutable = a.unlogged.incarnation, true
			}
			one.Void = slices.ContainsFunc(void, func(v VoidReservation) bool { return v.Attempt == attempt })
		}
		reserved = append(reserved, one)
	}
	slices.SortFunc(reserved, func(one, other OpenReservation) int {
		return cmp.Or(cmp.Compare(one.Incarnation, other.Incarnation), cmp.Compare(one.Tokens, other.Tokens), cmp.Compare(one.Attempt, other.Attempt))
	})
	return reserved
}

// reservedByOthers returns what other incarnations have reserved.
func (a *account) reservedByOthers(incarnation IncarnationID) uint64 {
	reserved := uint64(0)
	for _, one := range a.open {
		if one.Incarnation != incarnation {
			reserved += uint64(one.Tokens)
		}
	}
	return reserved
}

// IndexedTurn is the index's information on a turn.
type IndexedTurn struct {
	// Chain contains the locations of the turn's predecessors, oldest first, and of the turn
	// itself.
	Chain         []Location
	CacheLocation CacheLocation
}

type storedTurn struct {
	IndexedTurn
	program   ProgramID
	retention time.Duration
	expires   time.Duration
	// changed is the offset after the turn's last record.
	changed uint64
}

// Partition is the state that results from the records of one log partition. It is not safe for
// concurrent use. Times are readings of a monotonic clock.
type Partition struct {
	next     uint64
	owner    Ownership
	accounts map[ProgramID]*account
	turns    map[TurnID]storedTurn
	// limits bounds the texts in the partition, texts counts them, and demand counts those of
	// all indexed turns, wherever they are.
	limits TextLimits
	texts  textWindow
	demand textWindow
	pruned time.Duration
	// covered is the offset up to which the records are part of a restored snapshot.
	covered uint64
	// gap describes dropped records that are part of nothing that was read.
	gap gap
	// longestRest returns how long a program may rest between two turns; nil means AccountTTL.
	longestRest func() time.Duration
}

// NewPartition returns the state before the first record.
func NewPartition() *Partition {
	return &Partition{accounts: map[ProgramID]*account{}, turns: map[TurnID]storedTurn{}}
}

// Next is the offset of the first record that has not been applied.
func (p *Partition) Next() uint64 { return p.next }

// SkipTo skips records that the log has dropped and that are part of a restored snapshot, or older than
// anything that is kept. They may have changed the owner.
func (p *Partition) SkipTo(offset uint64) {
	if offset > p.next {
		p.next, p.owner = offset, Ownership{tainted: true}
	}
}

// Verdict is the outcome of a Reservation.
type Verdict struct {
	Attempt AttemptID
	// Granted is how many tokens were reserved, or 0 if the reservation was refused.
	Granted uint32
	// Charged is the amount charged to the program's budget before the reservation, in tokens.
	Charged uint64
	// OpenReservations are the open reservations within Charged; set only if nothing was granted
	// or some are of other incarnations.
	OpenReservations []OpenReservation
	// Shortfall is how many tokens were missing if nothing was granted, and Margin how many
	// beyond the budget were open because of reservations of other incarnations.
	Shortfall, Margin uint64
	// Overdraft is how many of the granted tokens are beyond the budget.
	Overdraft uint64
	// Withheld is how much of the budget is never open, because of unlogged grants of versions
	// that write no assumed reservations.
	Withheld uint64
	// Void are the assumed reservations that stand for nothing, as the log shows by now, and
	// should be settled.
	Void []VoidReservation
	// Uncertain is set if charges may be missing, so that what was granted must not be used.
	Uncertain bool
	// OwnAssumed are the assumed reservations that stand for unlogged grants of the incarnation
	// that was refused, which knows whether it made any.
	OwnAssumed []VoidReservation
}

// VoidReservation is an assumed reservation that stands for nothing.
type VoidReservation struct {
	Attempt AttemptID
	Tokens  uint32
}

// voidTokens returns what is charged for nothing.
func (v Verdict) voidTokens() uint64 {
	total := uint64(0)
	for _, one := range v.Void {
		total += uint64(one.Tokens)
	}
	return total
}

// Apply applies the record at Next. For a Reservation it returns the verdict and true.
func (p *Partition) Apply(encoded []byte, now time.Duration) (Verdict, bool) {
	p.next++
	p.prune(now)
	record, err := Decode(encoded)
	if err != nil {
		return Verdict{}, false // written by another version; it has no effect here
	}
	switch record := record.(type) {
	case Reservation:
		if p.includes(record.Program) {
			return Verdict{}, false
		}
		return p.reserve(record, now), true
	case Settlement:
		if !p.includes(record.Program) {
			p.settle(record, now)
		}
	case OwnershipClaim:
		p.claimOwnership(record, now)
	case OwnershipRelease:
		p.releaseOwnership(record)
	case OwnerLimit:
		p.limitOwner(record, now)
	case Text:
		p.texts.add(len(record.Bytes), now, p.limits.Retain)
	case IndexEntry:
		p.index(record, now)
	}
	return Verdict{}, false
}

// index adds a turn. A record that is part of a restored snapshot is skipped: its turn has been
// restored, with what is left of its retention, or was removed.
func (p *Partition) index(record IndexEntry, now time.Duration) {
	chain := resolveChain(record.Chain, p.next-1)
	p.noteDemand(chain, now)
	if p.next <= p.covered {
		return
	}
	kept := record.Retention + retentionMargin
	p.turns[record.Turn] = storedTurn{
		IndexedTurn: IndexedTurn{Chain: chain, CacheLocation: record.CacheLocation}, program: record.Program,
		retention: record.Retention, expires: now + kept, changed: p.next,
	}
	if charges, known := p.accounts[record.Program]; known {
		charges.lastUsed, charges.ttl, charges.changed = now, max(charges.ttl, kept), p.next
	}
}

// reserve decides on a reservation. Open reservations of other incarnations count as used,
// although dead ones never use much of theirs. Therefore a turn that does not fit only because
// of them may exceed the budget by up to one turn, which is still within what a program may
// use. Accounts that are not exclusive have no such margin, see legacyBudget.
func (p *Partition) reserve(record Reservation, now time.Duration) Verdict {
	charges := p.account(record.Program, now)
	if charges.fresh {
		charges.fresh, charges.exclusive = false, record.Exclusive
		if isAssumed(record.Program, record.Attempt) {
			charges.unlogged = p.possibleUnlogged()
		}
	}
	verdict := Verdict{Attempt: record.Attempt, Charged: charges.charged, Void: charges.void(record.Program), Uncertain: p.Incomplete(now)}
	if _, repeated := charges.open[record.Attempt]; repeated {
		return verdict
	}
	open := uint64(record.Budget)
	if !charges.exclusive {
		open = legacyBudget(record.Budget, record.MaxTurnTokens)
		verdict.Withheld = uint64(record.Budget) - open
	}
	others := charges.reservedByOthers(record.Incarnation)
	if others > 0 {
		verdict.OpenReservations = charges.openReservations(record.Program, now)
	}
	needed := charges.charged + uint64(record.MinTokens)
	extended := open
	if charges.exclusive {
		extended += min(uint64(record.MaxTurnTokens), others)
	}
	switch {
	case needed > extended:
		verdict.Shortfall, verdict.Margin, verdict.OpenReservations = needed-extended, extended-open, charges.openReservations(record.Program, now)
		if record.Incarnation != "" && charges.unlogged.incarnation == record.Incarnation {
			verdict.OwnAssumed = charges.assumed(record.Program, true, true)
		}
		return verdict
	case needed > open:
		verdict.Granted = record.MinTokens
		verdict.Overdraft = max(needed, open+verdict.voidTokens()) - open - verdict.voidTokens()
	default:
		verdict.Granted = uint32(min(uint64(record.WantedTokens), open-charges.charged))
	}
	charges.charged += uint64(verdict.Granted)
	assumed := isAssumed(record.Program, record.Attempt)
	charges.open[record.Attempt] = OpenReservation{Incarnation: record.Incarnation, Tokens: verdict.Granted, Assumed: assumed, since: now}
	if !assumed && verdict.Granted > 0 && record.Incarnation != "" && charges.unlogged.incarnation == record.Incarnation {
		charges.unlogged = unloggedGrants{} // the owner's reservation covers its unlogged grants
		verdict.Void = charges.void(record.Program)
	}
	return verdict
}

// void returns the assumed reservations that stand for nothing.
func (a *account) void(program ProgramID) []VoidReservation {
	return a.assumed(program, !a.unlogged.possible, !a.unlogged.possible || a.unlogged.limited)
}

// assumed returns the open assumed reservations: that of one turn, if one is set, and that of more, if more is
// set.
func (a *account) assumed(program ProgramID, one, more bool) []VoidReservation {
	var found []VoidReservation
	add := func(attempt AttemptID) {
		if reserved, open := a.open[attempt]; open {
			found = append(found, VoidReservation{Attempt: attempt, Tokens: reserved.Tokens})
		}
	}
	if one {
		add(assumedAttempt(program))
	}
	if more {
		add(legacyAttempt(program))
	}
	return found
}

// settle replaces an open reservation by what was used. It has no effect on attempts that
// reserved nothing or were settled before, and on programs without a reservation.
func (p *Partition) settle(record Settlement, now time.Duration) {
	if !p.Knows(record.Program) {
		return
	}
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
		charges = &account{open: map[AttemptID]OpenReservation{}, fresh: true, ttl: AccountTTL}
		p.accounts[program] = charges
	}
	charges.lastUsed, charges.changed = now, p.next
	return charges
}

// Charged returns the amount charged to a program's budget, in tokens.
func (p *Partition) Charged(program ProgramID) uint64 {
	if charges, known := p.accounts[program]; known {
		return charges.charged
	}
	return 0
}

// OpenReservations returns the open reservations of a program.
func (p *Partition) OpenReservations(program ProgramID, now time.Duration) []OpenReservation {
	charges, known := p.accounts[program]
	if !known {
		return nil
	}
	return charges.openReservations(program, now)
}

// Knows reports whether the log had a reservation of the program.
func (p *Partition) Knows(program ProgramID) bool {
	_, known := p.accounts[program]
	return known
}

// Turn returns the index's information on a turn.
func (p *Partition) Turn(turn TurnID) (IndexedTurn, bool) {
	entry, found := p.turns[turn]
	return entry.IndexedTurn, found
}

func (p *Partition) prune(now time.Duration) {
	if now-p.pruned >= pruneInterval {
		p.Prune(now)
	}
}

// Prune removes what is no longer kept.
func (p *Partition) Prune(now time.Duration) {
	p.pruned = now
	for program, charges := range p.accounts {
		if now-charges.lastUsed > charges.ttl {
			delete(p.accounts, program)
		}
	}
	for turn, entry := range p.turns {
		if now > entry.expires {
			delete(p.turns, turn)
		}
	}
}
