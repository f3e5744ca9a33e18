package journal

import (
	"slices"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// Status is the outcome of a request to a replica; the zero value is success.
type Status uint8

// Statuses of replicas.
const (
	// Granted means that the request was accepted.
	Granted Status = iota
	// Fenced means that a higher epoch or term was promised.
	Fenced
	// Gap means that preceding records are missing; the sender must send its full tail.
	Gap
	// OtherIncarnation means that the requested incarnation is not running: the process
	// restarted and lost the former incarnation's tails.
	OtherIncarnation
)

// LeaseTerms are the lease durations that all nodes of a site must agree on.
type LeaseTerms struct {
	// Duration is how long a grant is valid, counted by the owner from when it sent the
	// renewal.
	Duration time.Duration
	// Drift is what a replica adds, counted from receipt. It must exceed the drift
	// between any two clocks of the site within Duration.
	Drift time.Duration
}

// ReplicaDuration returns how long a replica that granted a lease rejects other owners.
func (t LeaseTerms) ReplicaDuration() time.Duration { return t.Duration + t.Drift }

// Replica contains the tail of one shard on behalf of its owner. It does no I/O and
// is not safe for concurrent use. The promised epoch never decreases.
type Replica struct {
	// promised is the lowest epoch that may still write or renew.
	promised identity.Epoch
	// epoch and owner wrote the tail, in an ownership that began at tailFrom.
	epoch    identity.Epoch
	owner    identity.Reference
	tailFrom identity.Epoch
	tail     Tail
	// leaseUntil is when the last grant expires on this node's clock.
	leaseUntil  time.Time
	leaseHolder identity.Reference
	leaseEpoch  identity.Epoch
	// term orders the interim owners of the promised epoch; claimant is the one it was
	// promised to. tailTerm is the term of the tail's writer.
	term     uint64
	claimant identity.Reference
	tailTerm uint64
	// authorization is the number of the full state that authorizes an interim takeover
	// under claim; revokedThrough, by revokedBy, revokes all numbers up to it.
	authorization  uint64
	claim          Claim
	revokedThrough uint64
	revokedBy      identity.Reference
}

// Write is a request of an owner to a replica.
type Write struct {
	Epoch identity.Epoch
	Owner identity.Reference
	// TailFrom is that of the owner's claim.
	TailFrom identity.Epoch
	// Full is true if Tail is the owner's full tail. Otherwise Tail.Entries follow
	// record Tail.After, which the replica must have.
	Full bool
	Tail Tail
	// Logged is the index up to which the log has all records.
	Logged uint64
	// Term is 0 for an owner whose claim is in the log.
	Term uint64
	// Authorization is the number under which the owner authorizes an interim takeover,
	// with the claim that names the replicas; 0 if it authorizes none.
	Authorization uint64
	Claim         Claim
}

// WriteResponse is a replica's response to a Write.
type WriteResponse struct {
	Status   Status
	Promised identity.Epoch
	// Last is the index of the last record at the replica.
	Last uint64
}

// Append stores records of the epoch's owner. A duplicated or late request never
// removes what a newer one added.
func (r *Replica) Append(write Write) WriteResponse {
	if r.rejects(write.Epoch, write.Term, write.Owner) {
		return WriteResponse{Status: Fenced, Promised: r.promised}
	}
	if !r.applyWrite(write) {
		return WriteResponse{Status: Gap, Promised: r.promised}
	}
	r.promised, r.epoch = write.Epoch, write.Epoch
	r.term, r.claimant = write.Term, write.Owner
	r.owner, r.tailFrom, r.tailTerm = write.Owner, write.TailFrom, write.Term
	if !r.authorizesInterim() {
		r.tail.Trim(min(write.Logged, r.tail.Last()))
	}
	return WriteResponse{Promised: r.promised, Last: r.tail.Last()}
}

// applyWrite updates the tail. It returns false if preceding records are missing.
func (r *Replica) applyWrite(write Write) bool {
	same := r.sameOwnership(write)
	if !write.Full {
		return same && r.tail.Add(write.Tail.After, write.Tail.Entries)
	}
	if !same {
		r.authorization, r.claim = 0, Claim{}
	}
	last, held := write.Tail.Last(), r.tail.Last()
	if !same || last > held || (last == held && write.Authorization >= r.authorization) {
		r.tail = write.Tail
		// An owner that is its own replica must not share its slice with it.
		r.tail.Entries = slices.Clone(write.Tail.Entries)
	}
	if write.Authorization > r.authorization {
		r.authorization, r.claim = write.Authorization, write.Claim
	}
	return true
}

// rejects reports whether a higher epoch or term was promised, or the same term to
// another interim owner.
func (r *Replica) rejects(epoch identity.Epoch, term uint64, owner identity.Reference) bool {
	if epoch != r.promised {
		return epoch < r.promised
	}
	return term < r.term || (term > 0 && term == r.term && owner != r.claimant)
}

// authorizesInterim reports whether an interim owner may continue from this tail: it
// is a full state, its authorization was not revoked, and it is of the promised
// epoch.
func (r *Replica) authorizesInterim() bool {
	if !r.tail.Compacted || r.authorization == 0 || r.claim.Epoch != r.promised {
		return false
	}
	return r.revokedBy != r.owner || r.revokedThrough < r.authorization
}

// sameOwnership reports whether the tail belongs to write's ownership.
func (r *Replica) sameOwnership(write Write) bool {
	return r.epoch > 0 && r.tailFrom == write.TailFrom && r.owner == write.Owner && r.tailTerm == write.Term
}

// Renewal requests the lease of one shard.
type Renewal struct {
	Shard identity.ShardID
	Epoch identity.Epoch
	// Logged is the index up to which the log has all records.
	Logged uint64
	// Term is that of the owner; RevokedThrough revokes all authorizations up to that
	// number.
	Term           uint64
	RevokedThrough uint64
}

// Renew grants the lease to owner until terms.ReplicaDuration after now.
func (r *Replica) Renew(now time.Time, owner identity.Reference, renewal Renewal, terms LeaseTerms) Status {
	if r.rejects(renewal.Epoch, renewal.Term, owner) {
		return Fenced
	}
	r.promised, r.leaseEpoch, r.leaseHolder = renewal.Epoch, renewal.Epoch, owner
	r.term, r.claimant = renewal.Term, owner
	r.leaseUntil = later(r.leaseUntil, now.Add(terms.ReplicaDuration()))
	if r.revokedBy == r.owner && r.revokedThrough >= r.authorization {
		r.authorization = 0 // stays revoked if another owner renews
	}
	if r.revokedBy != owner || r.revokedThrough < renewal.RevokedThrough {
		r.revokedBy, r.revokedThrough = owner, renewal.RevokedThrough
	}
	if r.owner == owner && r.epoch > 0 && !r.authorizesInterim() {
		r.tail.Trim(min(renewal.Logged, r.tail.Last()))
	}
	return Granted
}

// Release ends the lease of owner for epoch before it expires.
func (r *Replica) Release(owner identity.Reference, epoch identity.Epoch) {
	if r.leaseHolder == owner && r.leaseEpoch == epoch {
		r.leaseUntil = time.Time{}
	}
}

// Drop removes a tail older than epoch, whose claim does not include this replica.
func (r *Replica) Drop(epoch identity.Epoch) {
	if r.epoch >= epoch || r.leaseEpoch >= epoch || r.promised > epoch {
		return
	}
	r.promised = epoch
	r.term, r.claimant = 0, identity.Reference{}
	r.tail, r.epoch, r.owner, r.tailFrom, r.tailTerm = Tail{}, 0, identity.Reference{}, 0, 0
	r.authorization, r.claim = 0, Claim{}
	r.leaseUntil = time.Time{}
}

// Remaining returns how long the lease granted here is still valid.
func (r *Replica) Remaining(now time.Time) time.Duration {
	return max(r.leaseUntil.Sub(now), 0)
}

// LeaseHolder returns the owner to which the lease is granted and its epoch; false
// if no lease is valid.
func (r *Replica) LeaseHolder(now time.Time) (identity.Reference, identity.Epoch, bool) {
	return r.leaseHolder, r.leaseEpoch, r.Remaining(now) > 0
}

// Promised returns the lowest epoch that may still write.
func (r *Replica) Promised() identity.Epoch { return r.promised }

// Bytes returns the size of the tail.
func (r *Replica) Bytes() int { return r.tail.Bytes() }

// Promise is a replica's response to a claimant: it rejects all epochs below
// Promised, and returns its tail.
type Promise struct {
	Status Status
	// Promised is the epoch promised, higher than requested if Status is Fenced.
	Promised identity.Epoch
	// Remaining is how long a lease granted before is still valid; the claimant must
	// wait until it expires.
	Remaining time.Duration
	// TailEpoch and TailTerm are those of the writer of Tail.
	TailEpoch identity.Epoch
	TailTerm  uint64
	Tail      Tail
}

// Promise rejects all epochs below epoch from now on.
func (r *Replica) Promise(now time.Time, epoch identity.Epoch) Promise {
	if epoch < r.promised || (epoch == r.promised && r.term > 0) {
		return Promise{Status: Fenced, Promised: r.promised}
	}
	r.promised = epoch
	r.term, r.claimant = 0, identity.Reference{}
	return r.promise(now)
}

// PromiseInterim rejects all terms of epoch below term from now on, and all other
// owners in it, provided that the owner authorized an interim takeover.
func (r *Replica) PromiseInterim(now time.Time, epoch identity.Epoch, term uint64, claimant identity.Reference) Promise {
	if epoch != r.promised || r.rejects(epoch, term, claimant) || !r.authorizesInterim() {
		return Promise{Status: Fenced, Promised: r.promised}
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
