// Package journal makes the records of shards last on nodes that keep nothing.
//
// One log stream per shard holds claims and records; what the log does not hold
// yet (the tail) is held in memory by the shard's replica set. The rules are
// pure and live in this package without I/O; Manager runs them.
//
// Invariants:
//   - Log order decides: the first valid claim of an epoch wins, and a record
//     behind a higher claim is void (fenced).
//   - A record counts as held once two of the three replicas of the epoch's
//     replica set hold it.
//   - An owner serves only while its lease, granted by two of three replicas,
//     has not run out on the owner's own monotonic clock.
//   - A replica is named with its incarnation: one that restarted is another.
//
// To read: record, ledger, tail, replica and quorum are the pure rules; manager
// holds what a node knows; claim takes a shard over, owned, link and writer keep
// it, replace exchanges its replicas, move hands it over, renew, schedule and
// sweep are the loops, arm and interim own shards while the log is away, handlers the replica's side. The design and the ways
// weighed stand in docs/decisions/0002-journal.md.
package journal

import (
	"context"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/identity"
)

// ErrNotOwner tells that this node does not hold the shard, or not any more.
// What was handed to Append with it may or may not be held.
var ErrNotOwner = errors.New("journal: not the owner of the shard")

// ErrNotHeld tells that the log does not hold records that were to be durable,
// because it is away: whatever depends on them must not be done. Only the wait of
// EnqueueDurable returns it.
var ErrNotHeld = errors.New("journal: record not held by the log")

// ErrUnknown tells that a record may or may not last.
var ErrUnknown = errors.New("journal: unknown whether the record is held")

// ErrLeaseLapsed is an ErrNotOwner that may pass: the lease ran out, but nobody
// else has claimed the shard as far as this node knows. The shard serves again
// once two of three replicas renew the lease.
var ErrLeaseLapsed = fmt.Errorf("%w: lease lapsed", ErrNotOwner)

// StateMachine is folded from a shard's records. During recovery the journal
// calls Restore at most once, first, then Apply per record. From Opened on the
// host applies records itself, before it hands them to Enqueue; the journal then
// calls only Snapshot, and only from inside Enqueue and EnqueueDurable, on the
// caller's goroutine, so under the caller's shard lock. Snapshot must therefore
// cover exactly the records enqueued so far, those of this very call included,
// and must not take a lock that the caller holds.
type StateMachine interface {
	// Apply takes one record. Records are those given to Enqueue, in order.
	Apply(record []byte) error
	// Snapshot returns a state that Restore turns back into the same machine.
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Shard is one shard that this node owns. It is safe for concurrent use. Once
// Lost is closed every method fails with ErrNotOwner.
type Shard interface {
	ID() identity.ShardID
	// Epoch is the epoch served now. It rises while the shard stays open when the
	// owner claims again to replace a lost replica.
	Epoch() identity.Epoch
	// Enqueue puts records at the journal's end in the order of the calls, which
	// the caller keeps under its own shard lock, and returns at once. The wait
	// returns nil once two of three replicas hold them (or the log does).
	Enqueue(records ...[]byte) (wait func(ctx context.Context) error, err error)
	// EnqueueDurable is Enqueue with a wait that returns nil only once the
	// records stand in the log and were read back as valid there. While the log is
	// known to be away the wait fails at once with ErrNotHeld; it never lasts
	// longer than Config.DurableWait and then fails with ErrUnknown.
	//
	// Either way the records have their place in the journal: replicas may hold
	// them, and they may reach the log later. A caller that gives up enqueues a
	// record that takes them back; a later owner that sees it sees both, in order.
	EnqueueDurable(records ...[]byte) (wait func(ctx context.Context) error, err error)
	// CheckLease returns nil while this node may act as the owner. It is asked
	// right before every dispatch and every answer.
	CheckLease() error
	// Lost is closed when the shard is given up or taken over.
	Lost() <-chan struct{}
}

// Host is told by the Manager which shards this node comes to own. Calls for
// one shard do not overlap.
type Host interface {
	// NewStateMachine returns the empty machine that recovery fills.
	NewStateMachine(shard identity.ShardID) StateMachine
	// Opened hands over a shard that was claimed and recovered. The host serves
	// it until Lost is closed.
	Opened(shard Shard, machine StateMachine)
	// Checkpoint asks the host to call Enqueue without records under the shard's
	// lock, so that the journal can take a snapshot of a shard that is idle. A shard
	// that is not open is passed over.
	Checkpoint(shard Shard)
	// Closing asks the host to finish before a planned hand-over: it stops taking
	// calls for the shard (answering them with not run and a short time to come
	// back, or leaving them to the gateway's retry), and returns once the calls
	// that are under way can be taken over by the next owner without a cut: their
	// engine streams go on and the next owner resumes them.
	Closing(ctx context.Context, shard Shard)
}
