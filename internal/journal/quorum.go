package journal

import (
	"slices"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// WriteQuorum is how many of count replicas must hold a record, or grant a
// lease: 2 of 3, 2 of 2, 1 of 1.
func WriteQuorum(count int) int { return count/2 + 1 }

// ReadQuorum is how many of count replicas a claimant must hear, so that every
// write quorum has one among them.
func ReadQuorum(count int) int { return count - WriteQuorum(count) + 1 }

// reached returns the highest value that a write quorum of values has reached.
func reached(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)-WriteQuorum(len(sorted))]
}

// leaseEnd returns when a lease ends whose renewals were sent at the times in
// granted (zero where none was granted): the end that a write quorum agrees on.
func leaseEnd(granted []time.Time, terms LeaseTerms) time.Time {
	if len(granted) == 0 {
		return time.Time{}
	}
	sorted := slices.Clone(granted)
	slices.SortFunc(sorted, time.Time.Compare)
	agreed := sorted[len(sorted)-WriteQuorum(len(sorted))]
	if agreed.IsZero() {
		return time.Time{}
	}
	return agreed.Add(terms.Duration)
}

// survey counts what the replicas of a claim answered to a claimant.
type survey struct {
	count    int
	answered int
	gone     int
}

// complete tells whether enough answered: a read quorum, or all that can.
func (s survey) complete() bool {
	return s.answered >= ReadQuorum(s.count) || (s.answered+s.gone == s.count && s.gone > 0)
}

// mayLack tells whether records that were held may be among the lost: every
// copy that a write quorum needs one of is gone.
func (s survey) mayLack() bool { return s.answered < ReadQuorum(s.count) }

// accepts tells whether a tail of epoch belongs to the ownership of claim.
func (c *Claim) accepts(epoch identity.Epoch) bool {
	return epoch >= c.TailFrom && epoch <= c.Epoch && epoch > 0
}
