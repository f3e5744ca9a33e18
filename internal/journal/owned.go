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

// recordOverhead is what one record counts beside its bytes, so that many small
// records call for a snapshot too.
const recordOverhead = 64

// ownedShard is one shard while this node owns it. It implements Shard.
type ownedShard struct {
	manager *Manager
	id      identity.ShardID
	machine StateMachine
	logger  *slog.Logger
	// ctx ends when the shard is lost, and with it all that works for it.
	ctx    context.Context
	cancel context.CancelFunc
	lost   chan struct{}
	// writes ends before ctx where a planned stop gives up waiting for the log.
	writes     context.Context
	stopWrites context.CancelFunc
	// wakeWriter and urgent have room for one token: there is something to write,
	// and someone waits for it.
	wakeWriter chan struct{}
	urgent     chan struct{}

	epoch atomic.Uint64
	// leaseUntil is in nanoseconds since the Manager's start, on its monotonic clock.
	leaseUntil atomic.Int64

	// mutex guards all below.
	mutex sync.Mutex
	// claim is the activated claim; next is one on its way that replaces replicas.
	claim Claim
	next  *replacement
	links map[identity.Reference]*link
	// tail is what the log lacks; committed and logged are the last records that
	// a write quorum and the log hold.
	// generation rises when the tail is folded, so that replicas take it whole.
	tail       Tail
	generation uint64
	committed  uint64
	logged     uint64
	// snapshot waits to be written to the log; nil if none does.
	snapshot *pendingSnapshot
	// sinceSnapshot counts bytes of records since the last snapshot was taken.
	sinceSnapshot int
	snapshotSize  int
	waiters       []waiter
	durable       []waiter
	// contested is set when a replica promised a higher epoch.
	contested bool
	// moving is set when a planned stop begins, sealed when it takes no more records.
	moving bool
	sealed bool
	// replacing is set while the writer claims with the replicas of next.
	replacing bool
	// term is above 0 for an interim owner, which serves without the log.
	term uint64
	// arming is the number under which the replicas may let an interim owner go on
	// from the tail, 0 if they may not. While it is set, and until enough replicas
	// confirmed quiet (settled), the owner appends nothing new to the log, so that
	// the log never holds what an interim owner lacks.
	arming  uint64
	quiet   uint64
	settled bool
	// armWanted asks the next Enqueue to arm; claiming forbids it while this owner
	// claims again.
	armWanted bool
	claiming  bool
	// gone is why the shard was lost.
	gone error
	// flushed is closed once a sealed shard's release stands in the log.
	flushed chan struct{}
}

var _ Shard = (*ownedShard)(nil)

// pendingSnapshot is the state after record index.
type pendingSnapshot struct {
	index uint64
	state []byte
}

// waiter is told when record index is held.
type waiter struct {
	index uint64
	done  chan error
}

func (m *Manager) newOwnedShard(id identity.ShardID, claim Claim, index uint64, machine StateMachine) *ownedShard {
	s := &ownedShard{
		manager: m, id: id, machine: machine,
		logger:     m.config.Logger.With("shard", uint32(id)),
		lost:       make(chan struct{}),
		wakeWriter: make(chan struct{}, 1),
		urgent:     make(chan struct{}, 1),
		flushed:    make(chan struct{}),
		claim:      claim,
		links:      map[identity.Reference]*link{},
		tail:       Tail{After: index},
		generation: 1,
		committed:  index,
		logged:     index,
		settled:    true,
	}
	s.ctx, s.cancel = context.WithCancel(m.running)
	s.writes, s.stopWrites = context.WithCancel(s.ctx)
	s.epoch.Store(uint64(claim.Epoch))
	s.addLinks(claim.Replicas)
	return s
}

// ID returns the shard's number.
func (s *ownedShard) ID() identity.ShardID { return s.id }

// Epoch returns the epoch served now.
func (s *ownedShard) Epoch() identity.Epoch { return identity.Epoch(s.epoch.Load()) }

// Lost is closed when the shard is given up or taken over.
func (s *ownedShard) Lost() <-chan struct{} { return s.lost }

// CheckLease returns nil while the lease runs on this node's monotonic clock.
func (s *ownedShard) CheckLease() error {
	select {
	case <-s.lost:
		return fmt.Errorf("%w: shard %d", ErrNotOwner, s.id)
	default:
	}
	if int64(time.Since(s.manager.start)) >= s.leaseUntil.Load() {
		return fmt.Errorf("%w: shard %d", ErrLeaseLapsed, s.id)
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

// EnqueueDurable appends records and returns a wait for the log. The records take
// their place in the journal in any case, so that the host's state and the journal
// never part; while the log is known to be away only the wait is cut short.
func (s *ownedShard) EnqueueDurable(records ...[]byte) (wait func(ctx context.Context) error, err error) {
	away := s.manager.health.isDown() || s.isArmed()
	done, err := s.enqueue(records, !away)
	if err != nil {
		return nil, err
	}
	if away {
		refusal := fmt.Errorf("%w: the log service is away", ErrNotHeld)
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
		return fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	}
}

func (s *ownedShard) enqueue(records [][]byte, durable bool) (<-chan error, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.gone != nil || s.sealed {
		return nil, fmt.Errorf("%w: shard %d", ErrNotOwner, s.id)
	}
	for _, record := range records {
		s.tail.Entries = append(s.tail.Entries, record)
		s.sinceSnapshot += len(record) + recordOverhead
		s.manager.counters.recordBytes.Add(uint64(len(record)))
	}
	s.manager.counters.records.Add(uint64(len(records)))
	if err := errors.Join(s.maybeArm(), s.maybeSnapshot()); err != nil {
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
	s.kickLinks()
	s.kickWriter()
	return waiting.done, nil
}

// maybeSnapshot takes a snapshot once enough records came since the last one.
// While the log is away it takes the place of the records in the tail, here and
// at the replicas, so that memory follows the live state. The caller holds mutex.
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
	s.tail.Fold(s.snapshot.index, state)
	s.generation++
	return nil
}

// advance wakes all whose records are held by now. The caller holds mutex.
func (s *ownedShard) advance() {
	s.committed = max(s.committed, s.logged, s.heldByQuorum())
	s.waiters = release(s.waiters, s.committed)
	s.durable = release(s.durable, s.logged)
}

func release(waiters []waiter, index uint64) []waiter {
	count := 0
	for count < len(waiters) && waiters[count].index <= index {
		waiters[count].done <- nil
		count++
	}
	return waiters[count:]
}

// heldByQuorum returns the last record that the replicas hold: by the standing
// claim, and by the next one as well while it is on its way. The caller holds mutex.
func (s *ownedShard) heldByQuorum() uint64 {
	held := reached(s.matches(s.claim.Replicas))
	if s.next != nil && s.next.joint {
		held = min(held, reached(s.matches(s.next.replicas)))
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

// noteLogged takes note that the log holds all records up to index. The caller
// holds mutex.
func (s *ownedShard) noteLogged(index uint64) {
	if index <= s.logged {
		return
	}
	s.logged = index
	if s.arming == 0 {
		s.tail.Trim(index)
	}
	s.advance()
}

func (s *ownedShard) tailSize() (records, bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.tail.Entries), s.tail.Bytes()
}

func (s *ownedShard) kickWriter() { signal(s.wakeWriter) }

// signal leaves a token in a channel that has room for one.
func signal(tokens chan<- struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}

// errHandedOver is why a shard that was handed over is gone.
var errHandedOver = errors.New("journal: handed over")

// lose gives the shard up: whoever waits for a record is told that it is unknown
// whether it lasts.
func (s *ownedShard) lose(reason error) {
	s.mutex.Lock()
	if s.gone != nil {
		s.mutex.Unlock()
		return
	}
	s.gone = reason
	waiters := append(s.waiters, s.durable...)
	s.waiters, s.durable = nil, nil
	if !s.sealed {
		close(s.lost)
	}
	s.mutex.Unlock()
	s.cancel()
	for _, waiting := range waiters {
		waiting.done <- fmt.Errorf("%w: %w: shard %d: %w", ErrUnknown, ErrNotOwner, s.id, reason)
	}
	s.manager.forget(s)
	if errors.Is(reason, errHandedOver) || errors.Is(reason, errReopened) || errors.Is(reason, errInterimOver) || s.manager.running.Err() != nil {
		return
	}
	s.manager.counters.lost.Add(1)
	s.logger.Warn("shard lost", "epoch", uint64(s.Epoch()), "reason", reason)
}

// forget takes a shard that is gone out of its slot.
func (m *Manager) forget(shard *ownedShard) {
	slot := &m.slots[shard.id]
	slot.mutex.Lock()
	if slot.owned == shard {
		slot.owned = nil
	}
	slot.mutex.Unlock()
	m.wakeClaims()
}
