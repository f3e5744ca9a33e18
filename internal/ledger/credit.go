package ledger

import "time"

// GrantID names the tokens that one turn may hand out, within one Credit.
type GrantID uint64

// part is one reservation of a credit.
type part struct {
	attempt AttemptID
	granted uint64
}

// Credit is what one node may hand out of one program's budget: its reservations
// in the log and, at a sure owner, some tokens ahead of them. It is pure and not
// safe for concurrent use.
//
// Invariant: spent plus what open turns may hand out is at most what the log has
// granted, or at most AheadLimit while the node may hand out ahead of the log.
type Credit struct {
	program ProgramID
	life    IncarnationID
	budget  uint32
	most    uint32
	parts   []part
	// spent is what was handed out since the last Rebase, settled what before.
	spent, settled uint64
	open           map[GrantID]openGrant
	// asked tells that a reservation's verdict is known, so that nothing may be
	// handed out ahead of the log any more.
	asked   bool
	touched time.Duration
	// Charged is what stood against the budget at the last verdict, in tokens.
	Charged uint64
	// wanting is how many tokens the reservation under way needs at least. refused is that of
	// one that the log has refused for what was handed out and what this credit holds; 0
	// where there is none.
	wanting, refused uint64
	// blocked tells that the last reservation was refused though it might fit once
	// others have settled theirs.
	blocked bool
}

type openGrant struct {
	most  uint64
	since time.Duration
}

// NewCredit returns a credit of a life of a node without reservations.
func NewCredit(program ProgramID, life IncarnationID, budget, most uint32, now time.Duration) *Credit {
	return &Credit{program: program, life: life, budget: budget, most: most, open: map[GrantID]openGrant{}, touched: now}
}

func (c *Credit) granted() uint64 {
	total := uint64(0)
	for _, one := range c.parts {
		total += one.granted
	}
	return total
}

// underWay is what open turns may hand out at most.
func (c *Credit) underWay() uint64 {
	total := uint64(0)
	for _, one := range c.open {
		total += one.most
	}
	return total
}

// Fits tells whether a turn of at most most tokens may begin. ahead tells whether
// the node may hand out tokens ahead of the log.
func (c *Credit) Fits(most uint32, ahead bool) bool {
	limit := c.granted()
	if ahead && !c.asked {
		limit = max(limit, UnloggedLimit(c.budget, c.most))
	}
	return c.spent+c.underWay()+uint64(most) <= limit
}

// Fresh tells whether nothing has been handed out to the program, as far as is
// known here.
func (c *Credit) Fresh() bool { return c.spent+c.settled == 0 && len(c.open) == 0 && c.Charged == 0 }

// Open begins a turn that fits.
func (c *Credit) Open(grant GrantID, most uint32, now time.Duration) {
	c.open[grant] = openGrant{most: uint64(most), since: now}
	c.touched = now
}

// Finish ends a turn that handed out used tokens. It tells whether it was open.
func (c *Credit) Finish(grant GrantID, used uint32, now time.Duration) bool {
	_, known := c.open[grant]
	if known {
		delete(c.open, grant)
		c.spent += uint64(used)
		c.touched = now
	}
	return known
}

// left is what a program has left of its budget where taken tokens stand against it.
func (c *Credit) left(taken uint64) uint64 { return uint64(c.budget) - min(uint64(c.budget), taken) }

// reserveTurns is how many whole turns a reservation holds at most.
const reserveTurns = 4

// lacking is how many tokens must be reserved so that a turn of at most most tokens fits.
func (c *Credit) lacking(most uint32) uint64 {
	needed := c.spent + c.underWay() + uint64(most)
	return needed - min(needed, c.granted())
}

// Exhausted tells whether the log would refuse a turn of at most most tokens again, as it did
// before: what stands against the budget then does not fall unless this credit gives back.
func (c *Credit) Exhausted(most uint32) bool { return c.refused > 0 && c.lacking(most) >= c.refused }

// NextReservation returns the reservation to ask for, so that a turn of at most most tokens
// fits. With ample, it holds some turns more, but at most half of what the program
// has left, so that another node can go on with the rest if this one dies.
func (c *Credit) NextReservation(attempt AttemptID, most uint32, sure, ample bool) Reservation {
	least := c.lacking(most)
	wanted := least
	if ample {
		wanted = max(min(c.left(c.granted()+c.settled)/2, reserveTurns*uint64(c.most)), least)
	}
	c.wanting = least
	if sure && !c.asked {
		wanted = max(wanted, UnloggedLimit(c.budget, c.most))
	}
	return Reservation{
		Program: c.program, Attempt: attempt, Budget: c.budget, MaxTurnTokens: c.most,
		MinTokens: uint32(least), WantedTokens: uint32(wanted), Exclusive: sure && !c.asked, Incarnation: c.life,
	}
}

// Rebase replaces all reservations by one for the next turns, where they hold more than half
// of what the program has left, or less than one turn: what is reserved for later is lost
// with the node, and a program of few turns with it. It returns the records that settle what
// was handed out and the new reservation, which must stand after them; false where nothing is
// to be written. Nothing may be handed out until the new verdict is known, so that a credit
// with an open turn stays as it is.
func (c *Credit) Rebase(attempt AttemptID) (settled []Record, next Reservation, changed bool) {
	left := c.left(c.settled + c.spent)
	half := max(left/2, uint64(c.most))
	held := c.granted() - min(c.granted(), c.spent)
	if !c.asked || len(c.open) > 0 || uint64(c.most) > left || held >= uint64(c.most) && held <= half {
		return nil, Reservation{}, false
	}
	settled = c.Settle()
	c.settled += c.spent
	c.parts, c.spent, c.refused, c.wanting = nil, 0, 0, uint64(c.most)
	next = Reservation{
		Program: c.program, Attempt: attempt, Budget: c.budget, MaxTurnTokens: c.most,
		MinTokens: c.most, WantedTokens: uint32(min(half, reserveTurns*uint64(c.most))), Incarnation: c.life,
	}
	return settled, next, true
}

// Low tells whether one more turn may not fit, if the open ones hand out half of
// what they may, so that more should be reserved before it is needed. What is
// reserved too early is lost with the node: no more than half of what the program has left is
// reserved so, and a credit that is rebased after each turn waits for that, unless turns are
// open side by side.
func (c *Credit) Low() bool {
	if !c.asked || c.settled > 0 && len(c.open) <= 1 {
		return false
	}
	needed, granted := c.spent+c.underWay()+uint64(c.most), c.granted()
	return granted < needed-c.underWay()/2 && needed-granted <= c.left(granted+c.settled)/2
}

// ApplyVerdict takes the verdict on a reservation. lives tells whether a life of a node
// may still give back what it has reserved.
func (c *Credit) ApplyVerdict(verdict Verdict, lives func(IncarnationID) bool) {
	c.asked = true
	c.Charged = verdict.Charged
	c.refused = 0
	if verdict.Granted == 0 && c.onlyHolder(verdict) {
		c.refused = c.wanting
	}
	c.blocked = verdict.Granted == 0 && c.heldByOthers(verdict, lives) >= verdict.Shortfall
	if verdict.Granted > 0 {
		c.parts = append(c.parts, part{attempt: verdict.Attempt, granted: uint64(verdict.Granted)})
	}
}

// onlyHolder tells whether nobody else has a reservation, which might be given back.
func (c *Credit) onlyHolder(verdict Verdict) bool {
	for _, one := range verdict.OpenReservations {
		if one.Incarnation != c.life {
			return false
		}
	}
	return true
}

// heldByOthers is what others than this credit have reserved and may give back.
func (c *Credit) heldByOthers(verdict Verdict, lives func(IncarnationID) bool) uint64 {
	held := uint64(0)
	for _, one := range verdict.OpenReservations {
		if lives(one.Incarnation) {
			held += uint64(one.Tokens)
		}
	}
	return held - min(held, c.granted())
}

// Blocked tells whether the last reservation was refused for what other nodes have
// reserved, which they may give back, rather than for what was handed out or is lost with them.
func (c *Credit) Blocked() bool { return c.blocked }

// Idle tells whether no turn is open and none has been for the given time.
func (c *Credit) Idle(since, now time.Duration) bool {
	return len(c.open) == 0 && now-c.touched >= since
}

// Expire counts turns as handed out in full that have been open for longer than
// life, since their end will not be told any more.
func (c *Credit) Expire(life, now time.Duration) {
	for grant, one := range c.open {
		if now-one.since > life {
			c.Finish(grant, uint32(one.most), now)
		}
	}
}

// Settle returns the records that close all reservations, by what was handed out.
func (c *Credit) Settle() []Record {
	records := make([]Record, 0, len(c.parts))
	left := c.spent
	for _, one := range c.parts {
		used := min(left, one.granted)
		left -= used
		records = append(records, Settlement{Program: c.program, Attempt: one.attempt, Used: uint32(used)})
	}
	return records
}
