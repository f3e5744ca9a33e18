// Package journal makes the records of shards durable on nodes without persistent
// storage.
//
// Each shard has a log stream with its claims and records. Records that are not in
// the log yet (the tail) are in the memory of the shard's replica set. The
// protocol's rules do no I/O; Manager executes them.
//
// Invariants:
//   - Log order decides: the first valid claim of an epoch wins, and a record
//     that follows a higher claim is superseded (fenced).
//   - A record is durable once a write quorum of the epoch's replica set, two of
//     three, has it.
//   - An owner serves only while its lease, granted by a write quorum, has not
//     expired on the owner's own monotonic clock.
//   - A replica is identified by its incarnation: after a restart it is another
//     replica.
//
// The rules are in record, ledger, tail, replica and quorum; the node's state is in
// manager. claim takes a shard over; owned, link and writer serve it; replace
// changes its replicas; hand_over passes it to another node. renew, claim_loop and
// sweep are periodic tasks. interim and interim_authorization handle outages of the
// log, and handlers are the replica's side of the protocol.
// docs/decisions/0002-journal.md has the design and its alternatives.
package journal

import (
	"context"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/identity"
)

// ErrNotOwner reports that this node does not own the shard, or no longer does.
// Records passed to Enqueue may or may not be durable.
var ErrNotOwner = errors.New("journal: not the owner of the shard")

// ErrNotLogged reports that records are not in the log because it is unavailable;
// actions that require them must not be performed. Only the wait of EnqueueDurable
// returns it.
var ErrNotLogged = errors.New("journal: record not in the log")

// ErrOutcomeUnknown reports that a record may or may not be durable.
var ErrOutcomeUnknown = errors.New("journal: unknown whether the record is durable")

// ErrLeaseExpired is an ErrNotOwner that may be temporary: the lease expired, but as
// far as this node can tell no other node has claimed the shard. The shard is served
// again once a write quorum of replicas renews the lease.
var ErrLeaseExpired = fmt.Errorf("%w: lease expired", ErrNotOwner)

// StateMachine is the state that results from a shard's records. During recovery
// the journal calls Restore at most once, first, then Apply for each record. After
// ShardOpened the host applies records itself, before it passes them to Enqueue; the
// journal then calls only Snapshot, and only from inside Enqueue and EnqueueDurable,
// on the caller's goroutine and so under the caller's shard lock. Snapshot must
// therefore cover exactly the records enqueued so far, including those of the
// current call, and must not acquire a lock that the caller holds.
type StateMachine interface {
	// Apply applies one record. Records arrive in the order of Enqueue.
	Apply(record []byte) error
	// Snapshot returns the state in a form that Restore accepts.
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Shard is one shard that this node owns. It is safe for concurrent use. Once Lost
// is closed, Enqueue, EnqueueDurable and CheckLease fail with ErrNotOwner.
type Shard interface {
	ID() identity.ShardID
	// Epoch is the current epoch. It rises while the shard stays open if the owner
	// claims again to replace a replica.
	Epoch() identity.Epoch
	// Enqueue appends records to the journal and returns at once. The order of records
	// is that of the calls, which the caller serializes under its own shard lock. The
	// wait returns nil once a write quorum of replicas, or the log, has the records.
	Enqueue(records ...[]byte) (wait func(ctx context.Context) error, err error)
	// EnqueueDurable is Enqueue with a wait that returns nil only once the records are
	// in the log and were read back as valid. While the log is known to be unavailable
	// the wait fails at once with ErrNotLogged; it never takes longer than
	// Config.DurableWait and then fails with ErrOutcomeUnknown.
	//
	// In either case the records keep their position in the journal: they may be
	// replicated, and may reach the log later. A caller that gives up enqueues a
	// compensating record; a later owner that reads one reads both, in order.
	EnqueueDurable(records ...[]byte) (wait func(ctx context.Context) error, err error)
	// CheckLease returns nil while this node may act as the owner. Callers check it
	// immediately before every dispatch and every response.
	CheckLease() error
	// Lost is closed when the shard is released or taken over.
	Lost() <-chan struct{}
}

// Host serves the shards that this node owns. The Manager calls it when a shard is
// opened or closed. Calls for one shard do not overlap.
type Host interface {
	// NewStateMachine returns an empty machine for recovery.
	NewStateMachine(shard identity.ShardID) StateMachine
	// ShardOpened passes a shard that was claimed and recovered. The host serves it until
	// Lost is closed.
	ShardOpened(shard Shard, machine StateMachine)
	// Checkpoint requests a call of Enqueue without records under the shard's lock, so
	// that the journal can take a snapshot of an idle shard. The host ignores it for a
	// shard that is not open.
	Checkpoint(shard Shard)
	// PrepareHandOver requests the host to prepare a planned hand-over: it stops accepting
	// calls for the shard (responding with not run and a short retry delay, or leaving
	// them to the gateway's retry), and returns once the next owner can take over the
	// calls in flight without interrupting them: their engine streams continue and the
	// next owner resumes them.
	PrepareHandOver(ctx context.Context, shard Shard)
}
