package ledger

import "fmt"

// Explain describes what is charged to the budget, as of the last verdict: who has reserved how much,
// for how long, and whether it may be returned; and what turns of this credit hold now.
func (c *Credit) Explain(mayReturn func(IncarnationID) bool) string {
	text := fmt.Sprintf("%d of %d tokens are charged", c.Charged, c.budget)
	for _, one := range c.last.OpenReservations {
		if !one.Void {
			text += fmt.Sprintf(", %d %s for %.1f s", one.Tokens, c.purpose(one, mayReturn), one.Age.Seconds())
		}
	}
	if c.last.Withheld > 0 {
		text += fmt.Sprintf(", and %d are withheld since the first record is not an exclusive owner's", c.last.Withheld)
	}
	return text + fmt.Sprintf("; of what is reserved here, %d turns may use %d and %d are used", len(c.open), c.openTokens(), c.used)
}

// purpose says what an open reservation is for and whose it is.
func (c *Credit) purpose(one OpenReservation, mayReturn func(IncarnationID) bool) string {
	switch {
	case one.Assumed && !one.Refutable:
		return fmt.Sprintf("assumed for unlogged grants of %q or earlier owners", one.Incarnation)
	case one.Assumed:
		return fmt.Sprintf("for unlogged grants of former owner %q", one.Incarnation)
	case one.Incarnation == c.incarnation:
		return "reserved here"
	case !mayReturn(one.Incarnation):
		return fmt.Sprintf("reserved by %s (gone)", one.Incarnation)
	}
	return fmt.Sprintf("reserved by %s", one.Incarnation)
}
