package ledger

import "time"

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
// UnloggedLimit while the node may make unlogged grants.
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
	// one; 0 if there is none.
	pendingTokens, refusedTokens uint64
	// blocked is set if the last reservation was refused but might fit once other nodes have
	// settled theirs.
	blocked bool
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
		limit = max(limit, UnloggedLimit(c.budget, c.maxTokens))
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

// remaining returns what is left of the budget after taken tokens.
func (c *Credit) remaining(taken uint64) uint64 {
	return uint64(c.budget) - min(uint64(c.budget), taken)
}

// maxReserveTurns bounds a reservation in advance, in turns of the maximum size.
const maxReserveTurns = 4

// missing returns how many tokens must be reserved so that a turn of up to maxTokens tokens
// fits.
func (c *Credit) missing(maxTokens uint32) uint64 {
	needed := c.used + c.openTokens() + uint64(maxTokens)
	return needed - min(needed, c.granted())
}

// Exhausted reports whether the log would refuse a turn of up to maxTokens tokens, as it has
// refused one before. The amount that is charged to the budget does not fall then unless this
// credit returns tokens.
func (c *Credit) Exhausted(maxTokens uint32) bool {
	return c.refusedTokens > 0 && c.missing(maxTokens) >= c.refusedTokens
}

// NextReservation returns the reservation to write so that a turn of up to maxTokens tokens
// fits. If ample is set, it covers some further turns, but at most half of the remaining
// budget, so that another node can continue with the rest if this one dies.
func (c *Credit) NextReservation(attempt AttemptID, maxTokens uint32, exclusive, ample bool) Reservation {
	minTokens := c.missing(maxTokens)
	wantedTokens := minTokens
	if ample {
		wantedTokens = max(min(c.remaining(c.granted()+c.settled)/2, maxReserveTurns*uint64(c.maxTokens)), minTokens)
	}
	c.pendingTokens = minTokens
	if exclusive && !c.verdictKnown {
		wantedTokens = max(wantedTokens, UnloggedLimit(c.budget, c.maxTokens))
	}
	return Reservation{
		Program: c.program, Attempt: attempt, Budget: c.budget, MaxTurnTokens: c.maxTokens,
		MinTokens: uint32(minTokens), WantedTokens: uint32(wantedTokens), Exclusive: exclusive && !c.verdictKnown, Incarnation: c.incarnation,
	}
}

// Rebase replaces all reservations by one for the next turns, if they cover more than half of
// the remaining budget or less than one turn. Tokens that are reserved for later are lost with
// the node, which matters for programs of few turns. It returns the settlements and the new
// reservation, which must follow them in the log, or false if nothing is to be written. No
// tokens may be granted before the new verdict is known, so a credit with an open turn is not
// changed.
func (c *Credit) Rebase(attempt AttemptID) (settled []Record, next Reservation, changed bool) {
	remaining := c.remaining(c.settled + c.used)
	half := max(remaining/2, uint64(c.maxTokens))
	reserved := c.granted() - min(c.granted(), c.used)
	if !c.verdictKnown || len(c.open) > 0 || uint64(c.maxTokens) > remaining || reserved >= uint64(c.maxTokens) && reserved <= half {
		return nil, Reservation{}, false
	}
	settled = c.Settle()
	c.settled += c.used
	c.reservations, c.used, c.refusedTokens, c.pendingTokens = nil, 0, 0, uint64(c.maxTokens)
	next = Reservation{
		Program: c.program, Attempt: attempt, Budget: c.budget, MaxTurnTokens: c.maxTokens,
		MinTokens: c.maxTokens, WantedTokens: uint32(min(half, maxReserveTurns*uint64(c.maxTokens))), Incarnation: c.incarnation,
	}
	return settled, next, true
}

// Low reports whether one more turn may not fit if the open turns use half of their grants, so
// that a reservation should be made in advance. To limit what is lost with the node, a
// reservation in advance takes at most half of the remaining budget, and a credit that is
// rebased after each turn makes none unless several turns are open.
func (c *Credit) Low() bool {
	if !c.verdictKnown || c.settled > 0 && len(c.open) <= 1 {
		return false
	}
	needed, granted := c.used+c.openTokens()+uint64(c.maxTokens), c.granted()
	return granted < needed-c.openTokens()/2 && needed-granted <= c.remaining(granted+c.settled)/2
}

// ApplyVerdict applies the verdict on a reservation. mayReturn reports whether an incarnation
// may still return what it has reserved.
func (c *Credit) ApplyVerdict(verdict Verdict, mayReturn func(IncarnationID) bool) {
	c.verdictKnown = true
	c.Charged = verdict.Charged
	c.refusedTokens = 0
	if verdict.Granted == 0 && c.onlyReserver(verdict) {
		c.refusedTokens = c.pendingTokens
	}
	c.blocked = verdict.Granted == 0 && c.reservedByOthers(verdict, mayReturn) >= verdict.Shortfall
	if verdict.Granted > 0 {
		c.reservations = append(c.reservations, reservation{attempt: verdict.Attempt, granted: uint64(verdict.Granted)})
	}
}

// onlyReserver reports whether no other incarnation has an open reservation.
func (c *Credit) onlyReserver(verdict Verdict) bool {
	for _, one := range verdict.OpenReservations {
		if one.Incarnation != c.incarnation {
			return false
		}
	}
	return true
}

// reservedByOthers returns what other credits have reserved and may return.
func (c *Credit) reservedByOthers(verdict Verdict, mayReturn func(IncarnationID) bool) uint64 {
	reserved := uint64(0)
	for _, one := range verdict.OpenReservations {
		if mayReturn(one.Incarnation) {
			reserved += uint64(one.Tokens)
		}
	}
	return reserved - min(reserved, c.granted())
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

// Settle returns the records that settle all reservations with what was used.
func (c *Credit) Settle() []Record {
	records := make([]Record, 0, len(c.reservations))
	remaining := c.used
	for _, one := range c.reservations {
		used := min(remaining, one.granted)
		remaining -= used
		records = append(records, Settlement{Program: c.program, Attempt: one.attempt, Used: uint32(used)})
	}
	return records
}
