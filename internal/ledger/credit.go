package ledger

import (
	"slices"
	"time"
)

// GrantID identifies a grant, the tokens that one turn may use, within one Credit.
type GrantID uint64

// reservation is one granted reservation of a credit.
type reservation struct {
	attempt AttemptID
	granted uint64
}

// Credit is what one node may grant of one program's budget: its reservations in the log and,
// at an exclusive owner, some unlogged tokens. It does no I/O and is not safe for concurrent
// use.
//
// Invariant: used plus what open turns may use is at most what the log has granted, or at most
// UnloggedLimit if the node made unlogged grants and the log has not granted more.
type Credit struct {
	program      ProgramID
	incarnation  IncarnationID
	budget       uint32
	maxTokens    uint32
	reservations []reservation
	// used counts the tokens used since the last Rebase, settled those used before it.
	used, settled uint64
	open          map[GrantID]openGrant
	// verdictKnown is set once a reservation's verdict is known. Unlogged grants are not
	// allowed after that.
	verdictKnown bool
	lastUsed     time.Duration
	// Charged is the amount charged to the budget at the last verdict, in tokens.
	Charged uint64
	// pendingTokens is the minimum number of tokens of the pending reservation. refusedTokens
	// is that of a reservation that the log refused although no other incarnation had an open
	// one that may be settled; 0 if there is none.
	pendingTokens, refusedTokens uint64
	// blocked is set if the last reservation was refused but might fit once other nodes have
	// settled theirs.
	blocked bool
	// last is the last verdict, and lost what is charged then that nobody may return, as far as
	// known at the last CountLost.
	last Verdict
	lost uint64
	// unneeded contains reservations that are to be settled without use: those that were given
	// up, and assumed ones that stand for nothing.
	unneeded []AttemptID
	// uncertain contains reservations of unknown outcome that may be all that is charged for unlogged
	// grants.
	uncertain []AttemptID
	// WaitingTokens is the upper bound of what turns use that wait for the next reservation.
	WaitingTokens uint64
}

type openGrant struct {
	maxTokens uint64
	since     time.Duration
}

// NewCredit returns a credit of an incarnation, without reservations.
func NewCredit(program ProgramID, incarnation IncarnationID, budget, maxTokens uint32, now time.Duration) *Credit {
	return &Credit{program: program, incarnation: incarnation, budget: budget, maxTokens: maxTokens, open: map[GrantID]openGrant{}, lastUsed: now}
}

func (c *Credit) granted() uint64 {
	total := uint64(0)
	for _, one := range c.reservations {
		total += one.granted
	}
	return total
}

// openTokens returns the upper bound of what open turns may use.
func (c *Credit) openTokens() uint64 {
	total := uint64(0)
	for _, one := range c.open {
		total += one.maxTokens
	}
	return total
}

// Fits reports whether a turn of up to maxTokens tokens may begin. unlogged reports whether the
// node may make unlogged grants.
func (c *Credit) Fits(maxTokens uint32, unlogged bool) bool {
	limit := c.granted()
	if unlogged && !c.verdictKnown {
		limit = max(limit, UnloggedLimit(c.maxTokens))
	}
	return c.used+c.openTokens()+uint64(maxTokens) <= limit
}

// Fresh reports whether no tokens have been granted to the program, as far as known here.
func (c *Credit) Fresh() bool { return c.used+c.settled == 0 && len(c.open) == 0 && c.Charged == 0 }

// Open begins a turn. The caller must have checked Fits.
func (c *Credit) Open(grant GrantID, maxTokens uint32, now time.Duration) {
	c.open[grant] = openGrant{maxTokens: uint64(maxTokens), since: now}
	c.lastUsed = now
}

// Finish ends a turn that used tokens. It reports whether the turn was open.
func (c *Credit) Finish(grant GrantID, used uint32, now time.Duration) bool {
	_, known := c.open[grant]
	if known {
		delete(c.open, grant)
		c.used += uint64(used)
		c.lastUsed = now
	}
	return known
}

// Uncovered reports whether the log has granted less than what was used and open turns may use.
func (c *Credit) Uncovered() bool { return c.used+c.openTokens() > c.granted() }

// Unrecorded reports whether tokens were used of which the log may have no record.
func (c *Credit) Unrecorded() bool { return c.used > 0 && !c.verdictKnown }

// remaining returns what is left of the budget after taken tokens.
func (c *Credit) remaining(taken uint64) uint64 {
	return uint64(c.budget) - min(uint64(c.budget), taken)
}

// missing returns how many tokens must be reserved so that turns of up to maxTokens tokens fit.
func (c *Credit) missing(maxTokens uint64) uint64 {
	needed := c.used + c.openTokens() + maxTokens
	return needed - min(needed, c.granted())
}

// Exhausted reports whether the log would refuse a turn of up to maxTokens tokens, as it has
// refused one before. The amount that is charged to the budget does not fall then unless this
// credit returns tokens.
func (c *Credit) Exhausted(maxTokens uint32) bool {
	return c.refusedTokens > 0 && c.missing(uint64(maxTokens)) >= c.refusedTokens
}

// Recall makes the program's open reservations known before the first verdict.
func (c *Credit) Recall(open []OpenReservation) { c.last.OpenReservations = open }

// CountLost counts what was reserved, at the last verdict, by incarnations that are not known to
// be alive, or may have been used unlogged.
func (c *Credit) CountLost(isAlive func(IncarnationID) bool) {
	c.lost = c.reservedByOthers(c.last, func(one OpenReservation) bool { return !one.Void && (one.Assumed || !isAlive(one.Incarnation)) })
}

// MayReserveAhead reports whether tokens may be reserved for a turn that has not begun. They are
// lost if the node dies, and what the others have lost may already be as much as a program may
// use beyond its budget.
func (c *Credit) MayReserveAhead() bool { return c.lost == 0 }

// NextReservation returns the reservation to write so that a turn of up to maxTokens tokens
// and those that wait fit. If ample is set, it covers one further turn, but at most half of the
// remaining budget, so that another node can continue with the rest if this one dies.
func (c *Credit) NextReservation(attempt AttemptID, maxTokens uint32, exclusive, ample bool) Reservation {
	minTokens := c.missing(uint64(maxTokens))
	wantedTokens := c.missing(uint64(maxTokens) + c.WaitingTokens)
	if ample && c.MayReserveAhead() {
		wantedTokens = max(min(c.remaining(c.granted()+c.settled)/2, wantedTokens+uint64(c.maxTokens)), wantedTokens)
	}
	c.pendingTokens = minTokens
	if exclusive && !c.verdictKnown {
		wantedTokens = max(wantedTokens, UnloggedLimit(c.maxTokens))
	}
	return Reservation{
		Program: c.program, Attempt: attempt, Budget: c.budget, MaxTurnTokens: c.maxTokens,
		MinTokens: uint32(minTokens), WantedTokens: uint32(wantedTokens), Exclusive: exclusive && !c.verdictKnown, Incarnation: c.incarnation,
	}
}

// ahead returns how many tokens should be reserved while no turn is open.
func (c *Credit) ahead() uint64 {
	if c.MayReserveAhead() {
		return uint64(c.maxTokens)
	}
	return 0
}

// unused returns how many of the reserved tokens are not used.
func (c *Credit) unused() uint64 { return c.granted() - min(c.granted(), c.used) }

// HoldsExcess reports whether more tokens are reserved than should be while no turn is open.
func (c *Credit) HoldsExcess() bool { return c.unused() > c.ahead() }

// Rebase replaces all reservations by one for the next turn, if they cover more or less than
// that, or by none if no tokens may be reserved ahead. Tokens that are reserved for later are
// lost with the node. It returns the settlements and the new reservation, if any, which must
// follow them in the log, or false if nothing is to be written. No tokens may be granted before
// the new verdict is known, so a credit with an open turn is not changed.
func (c *Credit) Rebase(attempt AttemptID) (settled []Record, next *Reservation, changed bool) {
	remaining := c.remaining(c.settled + c.used)
	reserved, ahead := c.unused(), c.ahead()
	if !c.verdictKnown || len(c.open) > 0 || uint64(c.maxTokens) > remaining || reserved == ahead {
		return nil, nil, false
	}
	settled = c.Settle()
	c.settled += c.used
	c.reservations, c.used, c.refusedTokens, c.pendingTokens = nil, 0, 0, ahead
	if ahead > 0 {
		next = &Reservation{
			Program: c.program, Attempt: attempt, Budget: c.budget, MaxTurnTokens: c.maxTokens,
			MinTokens: c.maxTokens, WantedTokens: c.maxTokens, Incarnation: c.incarnation,
		}
	}
	return settled, next, true
}

// Low reports whether one more turn may not fit if the open turns use half of their grants, so
// that a reservation should be made in advance. To limit what is lost with the node, a
// reservation in advance takes at most half of the remaining budget, and a credit that is
// rebased after each turn makes none unless several turns are open.
func (c *Credit) Low() bool {
	if !c.verdictKnown || !c.MayReserveAhead() || c.settled > 0 && len(c.open) <= 1 {
		return false
	}
	needed, granted := c.used+c.openTokens()+uint64(c.maxTokens), c.granted()
	return granted < needed-c.openTokens()/2 && needed-granted <= c.remaining(granted+c.settled)/2
}

// ApplyVerdict applies the verdict on a reservation. mayReturn reports whether an incarnation
// may still return what it has reserved.
func (c *Credit) ApplyVerdict(verdict Verdict, mayReturn func(IncarnationID) bool) {
	c.verdictKnown = true
	if len(verdict.OwnAssumed) > 0 && !c.Uncovered() {
		verdict = c.refute(verdict)
	}
	c.last = verdict
	c.Charged = verdict.Charged - min(verdict.Charged, verdict.voidTokens())
	for _, one := range verdict.Void {
		c.unneeded = append(c.unneeded, one.Attempt)
	}
	c.refusedTokens = 0
	if verdict.Granted == 0 && c.onlyReserver(verdict) {
		c.refusedTokens = c.pendingTokens
	}
	c.blocked = verdict.Granted == 0 && c.mayFit(verdict, mayReturn)
	if verdict.Granted > 0 {
		c.reservations = append(c.reservations, reservation{attempt: verdict.Attempt, granted: uint64(verdict.Granted)})
	}
	c.resolveUncertain(verdict)
}

// refute returns a verdict in which the assumed reservations for unlogged grants of this incarnation stand for
// nothing. It must have made none that its reservations don't cover.
func (c *Credit) refute(verdict Verdict) Verdict {
	verdict.Void, verdict.OpenReservations = verdict.OwnAssumed, slices.Clone(verdict.OpenReservations)
	for i, one := range verdict.OpenReservations {
		verdict.OpenReservations[i].Void = one.Void || one.Assumed
	}
	return verdict
}

// Yields reports whether a reservation was granted beyond the budget only because of what other
// incarnations will return soon. The margin beyond the budget is for what is lost. A reservation
// that covers unlogged grants is kept, since nothing else may be charged for them.
func (c *Credit) Yields(verdict Verdict, returns func(IncarnationID) bool) bool {
	return verdict.Overdraft > 0 && !c.Uncovered() && c.reservedByOthers(verdict, func(one OpenReservation) bool {
		return !one.Assumed && returns(one.Incarnation)
	}) >= verdict.Overdraft
}

// GiveUp applies the verdict on a granted reservation that is not to be used.
func (c *Credit) GiveUp(verdict Verdict) {
	refused := verdict
	refused.Granted = 0
	c.ApplyVerdict(refused, func(IncarnationID) bool { return true })
	c.blocked = true
	c.unneeded = append(c.unneeded, verdict.Attempt)
}

// mayFit reports whether a refused reservation may fit once other incarnations have returned
// what they reserved. What open turns of this credit leave over counts then, too.
func (c *Credit) mayFit(verdict Verdict, mayReturn func(IncarnationID) bool) bool {
	all := c.reservedByOthers(verdict, func(OpenReservation) bool { return true })
	returned := c.reservedByOthers(verdict, func(one OpenReservation) bool {
		return (!one.Assumed || one.Refutable) && mayReturn(one.Incarnation)
	})
	if returned == 0 {
		return false
	}
	lostMargin := verdict.Margin - min(verdict.Margin, all-returned)
	return verdict.Shortfall+lostMargin <= returned+c.openTokens()
}

// onlyReserver reports whether no other incarnation has an open reservation that may be settled.
func (c *Credit) onlyReserver(verdict Verdict) bool {
	return c.reservedByOthers(verdict, func(one OpenReservation) bool { return !one.Assumed || one.Refutable }) == 0
}

// reservedByOthers returns the tokens of the open reservations of other incarnations that are
// counted.
func (c *Credit) reservedByOthers(verdict Verdict, counts func(OpenReservation) bool) uint64 {
	reserved := uint64(0)
	for _, one := range verdict.OpenReservations {
		if (one.Assumed || one.Incarnation != c.incarnation) && counts(one) {
			reserved += uint64(one.Tokens)
		}
	}
	return reserved
}

// Blocked reports whether the last reservation was refused because of tokens that other nodes
// have reserved and may return, rather than tokens that are used or lost.
func (c *Credit) Blocked() bool { return c.blocked }

// Idle reports whether no turn is open and none has been for the given time.
func (c *Credit) Idle(since, now time.Duration) bool {
	return len(c.open) == 0 && now-c.lastUsed >= since
}

// Expire finishes turns that have been open for longer than timeout and counts their grants as
// used in full.
func (c *Credit) Expire(timeout, now time.Duration) {
	for grant, one := range c.open {
		if now-one.since > timeout {
			c.Finish(grant, uint32(one.maxTokens), now)
		}
	}
}

// Settle returns the records that settle all reservations with what was used. What was used
// unlogged and is covered by none is charged in place of the assumed reservation, or of one whose
// outcome is unknown, whichever the log has.
func (c *Credit) Settle() []Record {
	records := c.Corrections()
	remaining := c.used
	for _, one := range c.reservations {
		used := min(remaining, one.granted)
		remaining -= used
		records = append(records, Settlement{Program: c.program, Attempt: one.attempt, Used: uint32(used)})
	}
	for number, attempt := range c.uncertain {
		used := remaining
		if number > 0 {
			used = 0
		}
		records = append(records, Settlement{Program: c.program, Attempt: attempt, Used: uint32(used)})
	}
	c.uncertain = nil
	if remaining > 0 {
		records = append(records, Settlement{Program: c.program, Attempt: assumedAttempt(c.program), Used: uint32(remaining)})
	}
	return records
}

// Corrections returns the records that settle what is charged for nothing, as the verdicts since
// the last call showed.
func (c *Credit) Corrections() []Record {
	if !c.Uncovered() {
		c.unneeded, c.uncertain = append(c.unneeded, c.uncertain...), nil
	}
	records := make([]Record, 0, len(c.reservations)+len(c.unneeded))
	for _, attempt := range c.unneeded {
		records = append(records, Settlement{Program: c.program, Attempt: attempt})
	}
	c.unneeded = nil
	return records
}

// MisledByAssumption reports whether the last reservation was refused although tokens are
// charged for nothing, so that it may be granted after Corrections.
func (c *Credit) MisledByAssumption() bool { return c.last.Granted == 0 && len(c.last.Void) > 0 }
