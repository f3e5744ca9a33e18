package ledger

import "time"

// The rule of tokens that are handed out ahead of the log: a program may get at
// most AheadLimit tokens from a sure owner before a record of it stands, and if
// anybody else writes its first record, at most OpenBudget tokens after that. Both
// together are the budget and the most of one turn, which is what a program may
// be handed in all.

// aheadPercent of the budget may be handed out ahead of the log.
const aheadPercent = 35

// UnloggedLimit is how many tokens of a budget a sure owner may hand out ahead of the
// log, where one turn hands out at most most.
func UnloggedLimit(budget, most uint32) uint64 {
	return max(uint64(most), uint64(budget)*aheadPercent/100)
}

// LoggedBudget is what is left to those who can't be sure that nothing was handed
// out ahead of the log.
func LoggedBudget(budget, most uint32) uint64 {
	whole := uint64(budget) + uint64(most)
	return min(uint64(budget), whole-min(whole, UnloggedLimit(budget, most)))
}

const (
	// TakeoverDelay is how long an owner that took over from one that did not release
	// waits before it is sure. By then a former owner has not handed out tokens
	// ahead of the log for TakeoverDelay less ConfirmWithin; a program that it served
	// has come to the new owner since, and so has a record, or has ended.
	TakeoverDelay = 25 * time.Second
	// ConfirmationTTL is how long an owner may stay sure without hearing from the
	// log that it still is the owner.
	ConfirmationTTL = 10 * time.Second
)

// Ownership tells who may hand out tokens of a partition's programs ahead of the
// log, as far as its records say.
type Ownership struct {
	// Incarnation is the owner; empty where there is none.
	Incarnation IncarnationID
	// since is when the record was applied.
	since time.Duration
	// clean tells that no former owner can have left anything ahead of the log.
	clean bool
	// tainted tells, where there is no owner, that a former one can have.
	tainted bool
}

// Owner returns the life that owns the partition, or an empty one.
func (p *Partition) Owner() IncarnationID { return p.owner.Incarnation }

// MayGrantUnlogged tells whether life is the owner and nobody else can have handed out tokens
// ahead of the log. confirmed is when it last heard that it still is the owner.
func (p *Partition) MayGrantUnlogged(life IncarnationID, confirmed, now time.Duration) bool {
	if p.owner.Incarnation != life || now-confirmed > ConfirmationTTL {
		return false
	}
	return p.owner.clean || now-p.owner.since > TakeoverDelay
}

// own takes the ownership over. It is clean if all records of the partition are
// known and the last owner has released.
func (p *Partition) own(record OwnershipClaim, now time.Duration) {
	if p.owner.Incarnation == record.Incarnation {
		return
	}
	tainted := p.owner.tainted || p.owner.Incarnation != ""
	p.owner = Ownership{Incarnation: record.Incarnation, since: now, clean: !tainted && !p.skipped}
}

// release ends an ownership. After a sure owner's release nothing is ahead of the
// log; after another's, what a former owner handed out may still be.
func (p *Partition) release(record OwnershipRelease) {
	if p.owner.Incarnation != record.Incarnation {
		return
	}
	p.owner = Ownership{tainted: !p.owner.clean}
}
