package ledger

import "slices"

// Fail notes that the outcome of a pending reservation is not known. What it reserved, if it was
// written, is not used, unless it turns out to be what is charged for unlogged grants: no other node
// assumes any for a program that has a reservation.
func (c *Credit) Fail(attempt AttemptID) {
	if c.Uncovered() {
		c.uncertain = append(c.uncertain, attempt)
		return
	}
	c.unneeded = append(c.unneeded, attempt)
}

// Uncertain reports whether the outcome of a reservation is unknown that may cover unlogged grants.
func (c *Credit) Uncertain() bool { return len(c.uncertain) > 0 }

// resolveUncertain decides on the reservations whose outcome was unknown, by a later verdict: those in
// the log cover the unlogged grants that nothing else does, the others are not used. A refused
// reservation, which counted those grants once more, may fit then.
func (c *Credit) resolveUncertain(verdict Verdict) {
	if verdict.OpenReservations == nil && c.Uncovered() {
		return
	}
	for _, attempt := range c.uncertain {
		found := slices.IndexFunc(verdict.OpenReservations, func(one OpenReservation) bool { return one.Attempt == attempt })
		if found < 0 || !c.Uncovered() {
			c.unneeded = append(c.unneeded, attempt)
			continue
		}
		c.reservations = append(c.reservations, reservation{attempt: attempt, granted: uint64(verdict.OpenReservations[found].Tokens)})
		c.refusedTokens, c.blocked = 0, verdict.Granted == 0
	}
	c.uncertain = nil
}
