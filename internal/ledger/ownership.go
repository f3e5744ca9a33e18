package ledger

import "time"

// The rule for unlogged grants: an exclusive owner may grant a program up to UnloggedLimit
// tokens before the log has a record of the program. If another node writes the first record,
// up to LoggedBudget tokens may be granted after it. Together these are at most the budget and
// one turn, which is the most that a program may use.

// unloggedPercent is the percentage of the budget that may be granted unlogged.
const unloggedPercent = 35

// UnloggedLimit returns how many tokens of a budget an exclusive owner may grant before they
// are logged, if one turn uses up to maxTokens tokens.
func UnloggedLimit(budget, maxTokens uint32) uint64 {
	return max(uint64(maxTokens), uint64(budget)*unloggedPercent/100)
}

// LoggedBudget returns what may be granted by nodes that can't exclude earlier unlogged grants.
func LoggedBudget(budget, maxTokens uint32) uint64 {
	whole := uint64(budget) + uint64(maxTokens)
	return min(uint64(budget), whole-min(whole, UnloggedLimit(budget, maxTokens)))
}

const (
	// TakeoverDelay is how long an owner waits before it is exclusive if its predecessor did
	// not release. By then the predecessor has made no unlogged grants for TakeoverDelay less
	// ConfirmationTTL, and each program that it served has either used the new owner since, and
	// so has a record, or has ended.
	TakeoverDelay = 25 * time.Second
	// ConfirmationTTL is how long an owner stays exclusive after the log last confirmed its
	// ownership.
	ConfirmationTTL = 10 * time.Second
)

// Ownership is the state of a partition's ownership, as far as its records say. The owner may
// make unlogged grants.
type Ownership struct {
	// Incarnation is the owner, or empty if there is none.
	Incarnation IncarnationID
	// since is when the owner's claim was applied.
	since time.Duration
	// clean is set if no former owner can have left unlogged grants.
	clean bool
	// tainted is set, while there is no owner, if a former owner can have made unlogged grants.
	tainted bool
}

// Owner returns the incarnation that owns the partition, or an empty one.
func (p *Partition) Owner() IncarnationID { return p.owner.Incarnation }

// MayGrantUnlogged reports whether incarnation is the owner and no other can have made unlogged
// grants. confirmed is when its ownership was last confirmed.
func (p *Partition) MayGrantUnlogged(incarnation IncarnationID, confirmed, now time.Duration) bool {
	if p.owner.Incarnation != incarnation || now-confirmed > ConfirmationTTL {
		return false
	}
	return p.owner.clean || now-p.owner.since > TakeoverDelay
}

// claimOwnership makes an incarnation the owner. The ownership is clean if all records of the
// partition are known and the last owner has released.
func (p *Partition) claimOwnership(record OwnershipClaim, now time.Duration) {
	if p.owner.Incarnation == record.Incarnation {
		return
	}
	tainted := p.owner.tainted || p.owner.Incarnation != ""
	p.owner = Ownership{Incarnation: record.Incarnation, since: now, clean: !tainted && !p.truncated}
}

// releaseOwnership ends an ownership. After the release of a clean owner, all grants are
// logged; after any other release, unlogged grants of a former owner may remain.
func (p *Partition) releaseOwnership(record OwnershipRelease) {
	if p.owner.Incarnation != record.Incarnation {
		return
	}
	p.owner = Ownership{tainted: !p.owner.clean}
}
