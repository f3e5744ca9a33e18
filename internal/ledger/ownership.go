package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// The rule for unlogged grants: an exclusive owner may grant a program up to UnloggedLimit
// tokens before the log has a record of the program. They are at most the one turn that a
// program may use beyond its budget, so the whole budget is open to whoever serves the program
// after the owner died. Another node writes an assumed reservation in the owner's name before
// its own first one, so that they are charged until they are known not to exist.

// legacyUnloggedPercent is the percentage of the budget that an owner of a version without
// OwnerLimit records may grant unlogged.
const legacyUnloggedPercent = 35

// UnloggedLimit returns how many tokens of a program an exclusive owner may grant before they
// are logged, if one turn uses up to maxTokens tokens.
func UnloggedLimit(maxTokens uint32) uint64 { return uint64(maxTokens) }

// legacyUnloggedLimit is UnloggedLimit of a version without OwnerLimit records.
func legacyUnloggedLimit(budget, maxTokens uint32) uint64 {
	return max(uint64(maxTokens), uint64(budget)*legacyUnloggedPercent/100)
}

// legacyBudget returns what is open to a program whose first record is of a version that writes
// no assumed reservations and was not an exclusive owner. All versions must agree on it.
func legacyBudget(budget, maxTokens uint32) uint64 {
	whole := uint64(budget) + uint64(maxTokens)
	return min(uint64(budget), whole-min(whole, legacyUnloggedLimit(budget, maxTokens)))
}

const (
	// TakeoverDelay is how much longer than programs rest an owner waits before it is exclusive if its
	// predecessor did not release. By then the predecessor has made no unlogged grants for the longest
	// rest and TakeoverDelay less ConfirmationTTL, and each program that it served has either used the
	// new owner since, and so has a record, or has ended.
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
	// tainted is set, while there is no owner, if a former owner can have made unlogged grants,
	// or earlier records are not known.
	tainted bool
	// former is the last owner that did not release, if known.
	former IncarnationID
	// limited is set if the owner makes unlogged grants up to UnloggedLimit, formerLimited if
	// all former owners that may have left some did.
	limited, formerLimited bool
}

// Owner returns the incarnation that owns the partition, or an empty one.
func (p *Partition) Owner() IncarnationID { return p.owner.Incarnation }

// OwnedCleanly reports whether the records show that only the owner can have made unlogged
// grants.
func (p *Partition) OwnedCleanly() bool { return p.owner.clean }

// MayGrantUnlogged reports whether incarnation is the owner and no other can have made unlogged
// grants. confirmed is when its ownership was last confirmed, longestRest how long a program may rest
// between two turns.
func (p *Partition) MayGrantUnlogged(incarnation IncarnationID, confirmed, longestRest, now time.Duration) bool {
	if p.owner.Incarnation != incarnation || now-confirmed > ConfirmationTTL {
		return false
	}
	return p.owner.clean || now-p.owner.since > TakeoverDelay+longestRest
}

// claimOwnership makes an incarnation the owner. The ownership is clean if all records of the
// partition are known and the last owner has released.
func (p *Partition) claimOwnership(record OwnershipClaim, now time.Duration) {
	last := p.owner
	if last.Incarnation == record.Incarnation {
		return
	}
	tainted := last.tainted || last.Incarnation != ""
	p.owner = Ownership{Incarnation: record.Incarnation, since: now, clean: !tainted, former: last.former, formerLimited: last.allLimited()}
	if last.Incarnation != "" {
		p.owner.former = last.Incarnation
	}
}

// allLimited reports whether all unlogged grants that may exist are within UnloggedLimit.
func (o Ownership) allLimited() bool {
	return (o.Incarnation == "" || o.limited) && (o.clean || o.formerLimited || o.Incarnation == "" && !o.tainted)
}

// limitOwner applies what an owner says of its unlogged grants. An exclusive owner repeats it for
// readers to whom its claim is lost.
func (p *Partition) limitOwner(record OwnerLimit, now time.Duration) {
	if record.Exclusive && p.owner.Incarnation == "" && p.owner.tainted {
		p.owner = Ownership{Incarnation: record.Incarnation, since: now}
	}
	if p.owner.Incarnation != record.Incarnation {
		return
	}
	p.owner.limited = true
	if record.Exclusive {
		p.owner.clean, p.owner.former = true, ""
	}
}

// releaseOwnership ends an ownership. After the release of a clean owner, all grants are
// logged; after any other release, unlogged grants of a former owner may remain. The release of an
// incarnation that was displaced before says that all of its grants are logged, too.
func (p *Partition) releaseOwnership(record OwnershipRelease) {
	for _, one := range p.accounts {
		if one.unlogged.incarnation == record.Incarnation && p.next > one.asOf {
			one.unlogged, one.changed = unloggedGrants{}, p.next
		}
	}
	last := p.owner
	if last.Incarnation != record.Incarnation {
		return
	}
	p.owner = Ownership{tainted: !last.clean, former: last.former, formerLimited: last.clean || last.formerLimited}
}

// unloggedGrants says which unlogged grants of a program may exist.
type unloggedGrants struct {
	possible bool
	// limited is set if they are within UnloggedLimit.
	limited bool
	// incarnation is the one that can have made them, or empty if several can.
	incarnation IncarnationID
}

// possibleUnlogged returns which unlogged grants a program may have whose first record is the
// next one.
func (p *Partition) possibleUnlogged() unloggedGrants {
	switch {
	case p.owner.clean:
		return unloggedGrants{possible: true, limited: p.owner.limited, incarnation: p.owner.Incarnation}
	case p.owner.Incarnation == "" && !p.owner.tainted:
		return unloggedGrants{}
	}
	return unloggedGrants{possible: true, limited: p.owner.allLimited()}
}

// MayHaveUnloggedGrants reports whether some incarnation may have made unlogged grants to
// programs without a record.
func (p *Partition) MayHaveUnloggedGrants() bool { return p.possibleUnlogged().possible }

// AssumedReservations returns the reservations that stand for unlogged grants of other
// incarnations to a program that has no record: one for grants up to UnloggedLimit, and one for
// more, unless complete is set and the records exclude it. A writer that is not an exclusive
// owner writes them directly before its first reservation. They have no effect if they are
// written again. complete reports whether all records are known.
func (p *Partition) AssumedReservations(program ProgramID, writer IncarnationID, budget, maxTokens uint32, complete bool) []Reservation {
	incarnation := p.owner.former
	if p.owner.clean && p.owner.Incarnation != writer {
		incarnation = p.owner.Incarnation
	}
	tokens := uint32(UnloggedLimit(maxTokens))
	one := Reservation{
		Program: program, Attempt: assumedAttempt(program), Budget: budget, MaxTurnTokens: maxTokens,
		MinTokens: tokens, WantedTokens: tokens, Exclusive: true, Incarnation: assumedPrefix + incarnation,
	}
	more := uint32(legacyUnloggedLimit(budget, maxTokens)) - tokens
	if more == 0 || complete && p.owner.allLimited() {
		return []Reservation{one}
	}
	legacy := one
	legacy.Attempt, legacy.MinTokens, legacy.WantedTokens = legacyAttempt(program), more, more
	return []Reservation{one, legacy}
}

// assumedPrefix keeps the name in assumed reservations apart from all writers', so that they are
// another incarnation's to the one they are named after, too.
const assumedPrefix = "unlogged:"

// assumedAttempt and legacyAttempt return the attempts of a program's assumed reservations.
func assumedAttempt(program ProgramID) AttemptID {
	return AttemptID(xxhash.Sum64String("unlogged grants of " + string(program)))
}

func legacyAttempt(program ProgramID) AttemptID {
	return AttemptID(xxhash.Sum64String("legacy unlogged grants of " + string(program)))
}

// isAssumed reports whether an attempt is that of an assumed reservation.
func isAssumed(program ProgramID, attempt AttemptID) bool {
	return attempt == assumedAttempt(program) || attempt == legacyAttempt(program)
}
