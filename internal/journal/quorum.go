package journal

import (
	"slices"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// WriteQuorum returns how many of count replicas must have a record, or grant a
// lease: 2 of 3, 2 of 2, 1 of 1.
func WriteQuorum(count int) int { return count/2 + 1 }

// ReadQuorum returns how many of count replicas must respond to a claimant, so that
// they include a member of every write quorum.
func ReadQuorum(count int) int { return count - WriteQuorum(count) + 1 }

// quorumValue returns the highest value that a write quorum of values reaches.
func quorumValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)-WriteQuorum(len(sorted))]
}

// leaseEnd returns when a lease ends whose renewals were sent at the times in
// granted (zero if not granted): the latest end that a write quorum grants.
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

// responseCount counts the replicas of a claim that responded to a claimant.
type responseCount struct {
	replicas  int
	answered  int
	restarted int
}

// complete reports whether enough replicas responded: a read quorum, or all that
// were not restarted if that leaves too few.
func (s responseCount) complete() bool {
	return s.answered >= ReadQuorum(s.replicas) || (s.answered+s.restarted == s.replicas && s.restarted > 0)
}

// mayMissRecords reports whether acknowledged records may be lost: fewer replicas
// than a read quorum still have their tail.
func (s responseCount) mayMissRecords() bool { return s.answered < ReadQuorum(s.replicas) }

// accepts reports whether a tail of epoch belongs to the ownership of claim.
func (c *Claim) accepts(epoch identity.Epoch) bool {
	return epoch >= c.TailFrom && epoch <= c.Epoch && epoch > 0
}
