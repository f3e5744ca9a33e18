package journal

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// recordOverhead is added to the size of each record when it is counted toward the
// next snapshot, so that many small records cause one too.
const recordOverhead = 64

// ownedShard is one shard while this node owns it. It implements Shard.
type ownedShard struct {
	manager *Manager
	id      identity.ShardID
	machine StateMachine
	logger  *slog.Logger
	// ctx ends when the shard is lost, and stops all goroutines that work for it.
	ctx    context.Context
	cancel context.CancelFunc
	lost   chan struct{}
	// appendContext bounds appends to the log. It ends before ctx if a planned stop
	// times out waiting for the log.
	appendContext context.Context
	stopAppends   context.CancelFunc
	// wakeWriter and urgent have a capacity of one. They signal that there is something
	// to write, and that a caller waits for it.
	wakeWriter chan struct{}
	urgent     chan struct{}

	epoch atomic.Uint64
	// leaseUntil is in nanoseconds since the Manager's start, on its monotonic clock.
	leaseUntil atomic.Int64

	// mutex guards the fields below.
	mutex sync.Mutex
	// claim is the activated claim; next is a pending claim with other replicas.
	claim Claim
	next  *replacement
	links map[identity.Reference]*link
	// tail has the records that may not be in the log; committed and logged are the
	// indexes of the last records that a write quorum and the log have. generation
	// increases when the tail is compacted, so that replicas receive it in full.
	tail       Tail
	generation uint64
	committed  uint64
	logged     uint64
	// snapshot is to be written to the log; nil if there is none.
	snapshot *pendingSnapshot
	// sinceSnapshot counts bytes of records since the last snapshot.
	sinceSnapshot int
	snapshotSize  int
	waiters       []waiter
	durable       []waiter
	// contested is set when a replica promised a higher epoch.
	contested bool
	// handingOver is set when a planned stop begins, sealed when no more records are
	// accepted.
	handingOver bool
	sealed      bool
	// replacing is set while the writer claims with the replicas of next.
	replacing bool
	// term is above 0 for an interim owner, which serves without the log.
	term uint64
	// authorization is the number under which the replicas may let an interim owner
	// continue from the tail, 0 if they may not. While it is set, and until enough
	// replicas confirmed revokedThrough (revocationConfirmed), the owner appends nothing
	// new to the log, so that the log never has records that an interim owner has not.
	authorization       uint64
	revokedThrough      uint64
	revocationConfirmed bool
	// authorizationRequested makes the next Enqueue authorize an interim takeover;
	// claiming prevents that while this owner claims again.
	authorizationRequested bool
	claiming               bool
	// lossReason is why the shard was lost; nil while it is owned.
	lossReason error
	// flushed is closed once the release of a sealed shard is in the log.
	flushed chan struct{}
}

var _ Shard = (*ownedShard)(nil)

// pendingSnapshot is the state after record index.
type pendingSnapshot struct {
	index uint64
	state []byte
}

// waiter is notified when record index is durable.
type waiter struct {
	index uint64
	done  chan error
}

func (m *Manager) newOwnedShard(id identity.ShardID, claim Claim, index uint64, machine StateMachine) *ownedShard {
	s := &ownedShard{
		manager: m, id: id, machine: machine,
		logger:              m.config.Logger.With("shard", uint32(id)),
		lost:                make(chan struct{}),
		wakeWriter:          make(chan struct{}, 1),
		urgent:              make(chan struct{}, 1),
		flushed:             make(chan struct{}),
		claim:               claim,
		links:               map[identity.Reference]*link{},
		tail:                Tail{After: index},
		generation:          1,
		committed:           index,
		logged:              index,
		revocationConfirmed: true,
	}
	s.ctx, s.cancel = context.WithCancel(m.running)
	s.appendContext, s.stopAppends = context.WithCancel(s.ctx)
	s.epoch.Store(uint64(claim.Epoch))
	s.addLinks(claim.Replicas)
	return s
}

// ID returns the shard's number.
func (s *ownedShard) ID() identity.ShardID { return s.id }

// Epoch returns the current epoch.
func (s *ownedShard) Epoch() identity.Epoch { return identity.Epoch(s.epoch.Load()) }

// Lost is closed when the shard is released or taken over.
func (s *ownedShard) Lost() <-chan struct{} { return s.lost }

// CheckLease returns nil while the lease is valid by this node's monotonic clock.
func (s *ownedShard) CheckLease() error {
	select {
	case <-s.lost:
		return fmt.Errorf("%w: shard %d", ErrNotOwner, s.id)
	default:
	}
	if int64(time.Since(s.manager.start)) >= s.leaseUntil.Load() {
		return fmt.Errorf("%w: shard %d", ErrLeaseExpired, s.id)
	}
	return nil
}

// Enqueue appends records and returns a wait for a write quorum.
func (s *ownedShard) Enqueue(records ...[]byte) (wait func(ctx context.Context) error, err error) {
	done, err := s.enqueue(records, false)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) error { return await(ctx, done) }, nil
}

// EnqueueDurable appends records and returns a wait for the log. The records are
// appended in any case, so that the host's state and the journal agree; while the
// log is known to be unavailable only the wait fails.
func (s *ownedShard) EnqueueDurable(records ...[]byte) (wait func(ctx context.Context) error, err error) {
	away := s.manager.health.isDown() || s.hasAuthorization()
	done, err := s.enqueue(records, !away)
	if err != nil {
		return nil, err
	}
	if away {
		refusal := fmt.Errorf("%w: the log service is unavailable", ErrNotLogged)
		return func(context.Context) error { return refusal }, nil
	}
	deadline := time.Now().Add(s.manager.config.DurableWait)
	return func(ctx context.Context) error {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		return await(ctx, done)
	}, nil
}

func await(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	default:
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

func (s *ownedShard) enqueue(records [][]byte, durable bool) (<-chan error, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lossReason != nil || s.sealed {
		return nil, fmt.Errorf("%w: shard %d", ErrNotOwner, s.id)
	}
	for _, record := range records {
		s.tail.Entries = append(s.tail.Entries, record)
		s.sinceSnapshot += len(record) + recordOverhead
		s.manager.counters.recordBytes.Add(uint64(len(record)))
	}
	s.manager.counters.records.Add(uint64(len(records)))
	if err := errors.Join(s.authorizeIfRequested(), s.maybeSnapshot()); err != nil {
		s.logger.Error("no snapshot of the shard", "error", err)
	}
	waiting := waiter{index: s.tail.Last(), done: make(chan error, 1)}
	if durable {
		s.durable = append(s.durable, waiting)
		signal(s.urgent)
	} else {
		s.waiters = append(s.waiters, waiting)
	}
	s.advance()
	s.startSenders()
	s.signalWriter()
	return waiting.done, nil
}

// maybeSnapshot takes a snapshot once enough records were enqueued since the last
// one. If the tail is large, which means that the log is slow or unavailable, the
// snapshot also replaces its records, here and at the replicas, so that memory is
// bounded by the size of the state. The caller holds mutex.
func (s *ownedShard) maybeSnapshot() error {
	threshold := max(s.manager.config.SnapshotBytes, 2*s.snapshotSize)
	if s.sinceSnapshot < threshold {
		return nil
	}
	s.sinceSnapshot = 0
	state, err := s.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("journal: snapshot of shard %d: %w", s.id, err)
	}
	s.snapshotSize = len(state)
	s.snapshot = &pendingSnapshot{index: s.tail.Last(), state: state}
	if s.tail.Bytes() < threshold/2 {
		return nil
	}
	s.tail.Compact(s.snapshot.index, state)
	s.generation++
	return nil
}

// advance notifies all waiters whose records are durable. The caller holds mutex.
func (s *ownedShard) advance() {
	s.committed = max(s.committed, s.logged, s.replicatedByQuorum())
	s.waiters = releaseWaiters(s.waiters, s.committed)
	s.durable = releaseWaiters(s.durable, s.logged)
}

func releaseWaiters(waiters []waiter, index uint64) []waiter {
	count := 0
	for count < len(waiters) && waiters[count].index <= index {
		waiters[count].done <- nil
		count++
	}
	return waiters[count:]
}

// replicatedByQuorum returns the index of the last record that a write quorum of the
// replicas has: of the active claim, and also of the next one while it is pending.
// The caller holds mutex.
func (s *ownedShard) replicatedByQuorum() uint64 {
	held := quorumValue(s.matches(s.claim.Replicas))
	if s.next != nil && s.next.joint {
		held = min(held, quorumValue(s.matches(s.next.replicas)))
	}
	return held
}

func (s *ownedShard) matches(replicas []identity.Node) []uint64 {
	matches := make([]uint64, len(replicas))
	for i, replica := range replicas {
		if link := s.links[replica.Reference()]; link != nil {
			matches[i] = link.match
		}
	}
	return matches
}

// setLogged records that the log has all records up to index. The caller holds
// mutex.
func (s *ownedShard) setLogged(index uint64) {
	if index <= s.logged {
		return
	}
	s.logged = index
	if s.authorization == 0 {
		s.tail.Trim(index)
	}
	s.advance()
}

func (s *ownedShard) tailSize() (records, bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.tail.Entries), s.tail.Bytes()
}

func (s *ownedShard) signalWriter() { signal(s.wakeWriter) }

// signal sends to a channel with a capacity of one, without blocking.
func signal(tokens chan<- struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}

// errHandedOver is the loss reason of a shard that was handed over.
var errHandedOver = errors.New("journal: handed over")

// lose gives the shard up. Waits for records fail with ErrOutcomeUnknown.
func (s *ownedShard) lose(reason error) {
	s.mutex.Lock()
	if s.lossReason != nil {
		s.mutex.Unlock()
		return
	}
	s.lossReason = reason
	waiters := append(s.waiters, s.durable...)
	s.waiters, s.durable = nil, nil
	if !s.sealed {
		close(s.lost)
	}
	s.mutex.Unlock()
	s.cancel()
	for _, waiting := range waiters {
		waiting.done <- fmt.Errorf("%w: %w: shard %d: %w", ErrOutcomeUnknown, ErrNotOwner, s.id, reason)
	}
	s.manager.removeOwned(s)
	if errors.Is(reason, errHandedOver) || errors.Is(reason, errReopened) || errors.Is(reason, errLogRecovered) || s.manager.running.Err() != nil {
		return
	}
	s.manager.counters.lost.Add(1)
	s.logger.Warn("shard lost", "epoch", uint64(s.Epoch()), "reason", reason)
}

// removeOwned removes a lost shard from its slot.
func (m *Manager) removeOwned(shard *ownedShard) {
	slot := &m.slots[shard.id]
	slot.mutex.Lock()
	if slot.owned == shard {
		slot.owned = nil
	}
	slot.mutex.Unlock()
	m.wakeClaims()
}
