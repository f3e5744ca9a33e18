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
	if write.Epoch < r.promised {
		return WriteAnswer{Refusal: Fenced, Promised: r.promised}
	}
	if !r.take(write) {
		return WriteAnswer{Refusal: Missing, Promised: r.promised}
	}
	r.promised, r.epoch = write.Epoch, write.Epoch
	r.owner, r.tailFrom = write.Owner, write.TailFrom
	r.tail.Trim(min(write.Logged, r.tail.Last()))
	return WriteAnswer{Promised: r.promised, Last: r.tail.Last()}
}

// take puts the records in place; false tells that some in between are missing.
func (r *Replica) take(write Write) bool {
	same := r.sameOwnership(write)
	if !write.Whole {
		return same && r.tail.Add(write.Tail.After, write.Tail.Entries)
	}
	if !same || write.Tail.Last() >= r.tail.Last() {
		r.tail = write.Tail
		// An owner that counts as its own replica must not share its slice.
		r.tail.Entries = slices.Clone(write.Tail.Entries)
	}
	return true
}

// sameOwnership tells whether the tail held here belongs to write's ownership.
func (r *Replica) sameOwnership(write Write) bool {
	return r.epoch > 0 && r.tailFrom == write.TailFrom && r.owner == write.Owner
}

// Renewal asks for the lease of one shard.
type Renewal struct {
	Shard identity.ShardID
	Epoch identity.Epoch
	// Logged is the index up to which the log holds all records.
	Logged uint64
}

// Renew grants the lease to owner until terms.Hold from now.
func (r *Replica) Renew(now time.Time, owner identity.Reference, renewal Renewal, terms LeaseTerms) Refusal {
	if renewal.Epoch < r.promised {
		return Fenced
	}
	r.promised, r.leased, r.holder = renewal.Epoch, renewal.Epoch, owner
	r.heldUntil = later(r.heldUntil, now.Add(terms.Hold()))
	if r.owner == owner && r.epoch > 0 {
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
	r.tail, r.epoch, r.owner, r.tailFrom = Tail{}, 0, identity.Reference{}, 0
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
	// TailEpoch and Tail are what the replica holds, and of which epoch.
	TailEpoch identity.Epoch
	Tail      Tail
}

// Promise refuses all epochs below epoch from here on.
func (r *Replica) Promise(now time.Time, epoch identity.Epoch) Promise {
	if epoch < r.promised {
		return Promise{Refusal: Fenced, Promised: r.promised}
	}
	r.promised = epoch
	return Promise{
		Promised:  epoch,
		Remaining: r.Remaining(now),
		TailEpoch: r.epoch,
		Tail:      r.tail,
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
