package journal

import (
	"slices"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// Refusal is why a replica did not do what it was asked; the zero value means
// that it did.
type Refusal uint8

// The refusals of replicas.
const (
	// Granted is no refusal.
	Granted Refusal = iota
	// Fenced tells that a higher epoch was promised.
	Fenced
	// Missing tells that records in between are not here; the sender starts over
	// with its whole tail.
	Missing
	// OtherLife tells that the replica asked for is gone: its process restarted
	// and holds nothing of what the former life held.
	OtherLife
)

// LeaseTerms are the durations that owners and replicas of a site agree on.
type LeaseTerms struct {
	// Duration is how long a grant lasts, counted by the owner from the moment
	// when it sent the renewal.
	Duration time.Duration
	// Drift is what a replica adds, counting from the receipt: more than two
	// clocks of the site can drift apart within Duration.
	Drift time.Duration
}

// Hold is how long a replica that granted a lease keeps others out.
func (t LeaseTerms) Hold() time.Duration { return t.Duration + t.Drift }

// Replica holds the tail of one shard for its owner. It is pure and not safe for
// concurrent use. It never goes back below the epoch that it promised.
type Replica struct {
	// promised is the lowest epoch that may still write or renew.
	promised identity.Epoch
	// epoch and owner wrote the tail, in an ownership that began at tailFrom.
	epoch    identity.Epoch
	owner    identity.Reference
	tailFrom identity.Epoch
	tail     Tail
	// heldUntil is when the last grant runs out on this node's clock.
	heldUntil time.Time
	holder    identity.Reference
	leased    identity.Epoch
	// term ranks the interim owners of the promised epoch; claimant is whom it was
	// promised to. tailTerm is the term of the tail's writer.
	term     uint64
	claimant identity.Reference
	tailTerm uint64
	// armed is the number of the whole state that allows an interim ownership under
	// claim; quiet, by quietOwner, takes all numbers up to it back.
	armed      uint64
	claim      Claim
	quiet      uint64
	quietOwner identity.Reference
}

// Write is what an owner sends to a replica.
type Write struct {
	Epoch identity.Epoch
	Owner identity.Reference
	// TailFrom is that of the owner's claim.
	TailFrom identity.Epoch
	// Whole tells that Tail replaces all that the replica holds. Otherwise
	// Tail.Entries follow record Tail.After, which the replica must hold.
	Whole bool
	Tail  Tail
	// Logged is the index up to which the log holds all records.
	Logged uint64
	// Term is 0 for an owner whose claim stands in the log.
	Term uint64
	// Armed is the number under which the owner allows an interim ownership, with
	// the claim that names the replicas; 0 if it allows none.
	Armed uint64
	Claim Claim
}

// WriteAnswer is what the replica makes of a Write.
type WriteAnswer struct {
	Refusal  Refusal
	Promised identity.Epoch
	// Last is the last record held.
	Last uint64
}

// Append takes records of the epoch's owner. A message that arrives twice or late
// never takes away what a later one brought.
func (r *Replica) Append(write Write) WriteAnswer {
	if r.refuses(write.Epoch, write.Term, write.Owner) {
		return WriteAnswer{Refusal: Fenced, Promised: r.promised}
	}
	if !r.take(write) {
		return WriteAnswer{Refusal: Missing, Promised: r.promised}
	}
	r.promised, r.epoch = write.Epoch, write.Epoch
	r.term, r.claimant = write.Term, write.Owner
	r.owner, r.tailFrom, r.tailTerm = write.Owner, write.TailFrom, write.Term
	if !r.isArmed() {
		r.tail.Trim(min(write.Logged, r.tail.Last()))
	}
	return WriteAnswer{Promised: r.promised, Last: r.tail.Last()}
}

// take puts the records in place; false tells that some in between are missing.
func (r *Replica) take(write Write) bool {
	same := r.sameOwnership(write)
	if !write.Whole {
		return same && r.tail.Add(write.Tail.After, write.Tail.Entries)
	}
	if !same {
		r.armed, r.claim = 0, Claim{}
	}
	last, held := write.Tail.Last(), r.tail.Last()
	if !same || last > held || (last == held && write.Armed >= r.armed) {
		r.tail = write.Tail
		// An owner that counts as its own replica must not share its slice.
		r.tail.Entries = slices.Clone(write.Tail.Entries)
	}
	if write.Armed > r.armed {
		r.armed, r.claim = write.Armed, write.Claim
	}
	return true
}

// refuses tells whether a higher fence was promised, or the same one to another
// interim owner.
func (r *Replica) refuses(epoch identity.Epoch, term uint64, owner identity.Reference) bool {
	if epoch != r.promised {
		return epoch < r.promised
	}
	return term < r.term || (term > 0 && term == r.term && owner != r.claimant)
}

// isArmed tells whether an interim owner may go on from the tail held here: it is
// a whole state, which the owner has not taken back, of the promised epoch.
func (r *Replica) isArmed() bool {
	if !r.tail.Folded || r.armed == 0 || r.claim.Epoch != r.promised {
		return false
	}
	return r.quietOwner != r.owner || r.quiet < r.armed
}

// sameOwnership tells whether the tail held here belongs to write's ownership.
func (r *Replica) sameOwnership(write Write) bool {
	return r.epoch > 0 && r.tailFrom == write.TailFrom && r.owner == write.Owner && r.tailTerm == write.Term
}

// Renewal asks for the lease of one shard.
type Renewal struct {
	Shard identity.ShardID
	Epoch identity.Epoch
	// Logged is the index up to which the log holds all records.
	Logged uint64
	// Term is that of the owner; Quiet takes back all Armed numbers up to it.
	Term  uint64
	Quiet uint64
}

// Renew grants the lease to owner until terms.Hold from now.
func (r *Replica) Renew(now time.Time, owner identity.Reference, renewal Renewal, terms LeaseTerms) Refusal {
	if r.refuses(renewal.Epoch, renewal.Term, owner) {
		return Fenced
	}
	r.promised, r.leased, r.holder = renewal.Epoch, renewal.Epoch, owner
	r.term, r.claimant = renewal.Term, owner
	r.heldUntil = later(r.heldUntil, now.Add(terms.Hold()))
	if r.quietOwner == r.owner && r.quiet >= r.armed {
		r.armed = 0 // also when another owner's renewals come
	}
	if r.quietOwner != owner || r.quiet < renewal.Quiet {
		r.quietOwner, r.quiet = owner, renewal.Quiet
	}
	if r.owner == owner && r.epoch > 0 && !r.isArmed() {
		r.tail.Trim(min(renewal.Logged, r.tail.Last()))
	}
	return Granted
}

// Release ends the lease that owner holds here for epoch before it runs out.
func (r *Replica) Release(owner identity.Reference, epoch identity.Epoch) {
	if r.holder == owner && r.leased == epoch {
		r.heldUntil = time.Time{}
	}
}

// Drop forgets a tail older than epoch, whose claim stands without this replica.
func (r *Replica) Drop(epoch identity.Epoch) {
	if r.epoch >= epoch || r.leased >= epoch || r.promised > epoch {
		return
	}
	r.promised = epoch
	r.term, r.claimant = 0, identity.Reference{}
	r.tail, r.epoch, r.owner, r.tailFrom, r.tailTerm = Tail{}, 0, identity.Reference{}, 0, 0
	r.armed, r.claim = 0, Claim{}
	r.heldUntil = time.Time{}
}

// Remaining returns how long the lease granted here still runs.
func (r *Replica) Remaining(now time.Time) time.Duration {
	return max(r.heldUntil.Sub(now), 0)
}

// Holder returns the owner that holds the lease here and its epoch; false when
// none does.
func (r *Replica) Holder(now time.Time) (identity.Reference, identity.Epoch, bool) {
	return r.holder, r.leased, r.Remaining(now) > 0
}

// Promised returns the lowest epoch that may still write here.
func (r *Replica) Promised() identity.Epoch { return r.promised }

// Bytes returns the size of the tail held here.
func (r *Replica) Bytes() int { return r.tail.Bytes() }

// Promise is a replica's word that it takes nothing below Epoch any more, with
// what it holds.
type Promise struct {
	Refusal Refusal
	// Promised is the epoch promised, higher than asked if refused.
	Promised identity.Epoch
	// Remaining is how long a lease granted before still runs; the claimant must
	// wait it out.
	Remaining time.Duration
	// TailEpoch, TailTerm and Tail are what the replica holds, and of which writer.
	TailEpoch identity.Epoch
	TailTerm  uint64
	Tail      Tail
}

// Promise refuses all epochs below epoch from here on.
func (r *Replica) Promise(now time.Time, epoch identity.Epoch) Promise {
	if epoch < r.promised || (epoch == r.promised && r.term > 0) {
		return Promise{Refusal: Fenced, Promised: r.promised}
	}
	r.promised = epoch
	r.term, r.claimant = 0, identity.Reference{}
	return r.promise(now)
}

// PromiseInterim refuses all below term of epoch from here on, and all others in
// it but claimant, provided that the owner left a whole state here for that.
func (r *Replica) PromiseInterim(now time.Time, epoch identity.Epoch, term uint64, claimant identity.Reference) Promise {
	if epoch != r.promised || r.refuses(epoch, term, claimant) || !r.isArmed() {
		return Promise{Refusal: Fenced, Promised: r.promised}
	}
	r.term, r.claimant = term, claimant
	return r.promise(now)
}

func (r *Replica) promise(now time.Time) Promise {
	return Promise{
		Promised:  r.promised,
		Remaining: r.Remaining(now),
		TailEpoch: r.epoch,
		TailTerm:  r.tailTerm,
		Tail:      r.tail,
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
