package journal

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// errTakenOver is why a shard is lost when another claim stands in the log.
var errTakenOver = errors.New("journal: another node's claim stands in the log")

// write brings the shard's records to the log until the shard is lost. It alone
// uses the stream: one append is under way at a time, and an answer that got lost
// is read back before the next one.
func (s *ownedShard) write(stream *stream) {
	for {
		select {
		case <-s.wakeWriter:
		case <-s.ctx.Done():
			return
		}
		if err := s.drainToLog(stream); err != nil && s.ctx.Err() == nil {
			s.lose(err)
		}
		if s.ctx.Err() != nil {
			return
		}
	}
}

// drainToLog writes until nothing is left to do. An error tells that the shard is
// lost.
func (s *ownedShard) drainToLog(stream *stream) error {
	for {
		if err := s.claimIfNeeded(stream); err != nil {
			return err
		}
		if !s.settle() {
			return nil
		}
		if err := s.gather(); err != nil {
			return err
		}
		record, sealed := s.nextRecord()
		switch {
		case record == nil && !sealed:
			return nil
		case record == nil:
			err := s.writeRelease(stream)
			if errors.Is(err, errLogAway) {
				return s.reopen(stream)
			}
			return err
		}
		err := s.writeRecord(stream, record)
		if err != nil && s.writes.Err() != nil && s.ctx.Err() == nil {
			return s.reopen(stream)
		}
		if err != nil {
			return err
		}
	}
}

// claimIfNeeded claims again where replicas promised to another claim or are to be
// exchanged. An error tells that the shard is lost.
func (s *ownedShard) claimIfNeeded(stream *stream) error {
	if s.takeContest() {
		if err := s.answerContest(stream); err != nil {
			return err
		}
	}
	if next := s.takeReplacement(); next != nil {
		return s.replaceReplicas(stream, next)
	}
	return nil
}

func (s *ownedShard) takeContest() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	contested := s.contested
	s.contested = false
	return contested
}

// answerContest looks in the log for the claim that replicas promised to. If it
// took nothing over and enough replicas still grant the lease, this owner claims
// above it; otherwise the shard is lost.
func (s *ownedShard) answerContest(stream *stream) error {
	if s.isFenced() {
		return errFenced
	}
	if err := stream.catchUp(s.ctx); err != nil {
		if s.ctx.Err() != nil {
			return err
		}
		return nil // without the log nobody takes over; the next renewal asks again
	}
	if stream.ledger.Current().Epoch == s.claim.Epoch {
		if !s.isContested() {
			return nil
		}
		// A replica promised an interim owner that got no further: a claim above it
		// wins the replica back.
		return s.counterClaim(stream)
	}
	if stream.ledger.Active().Epoch == s.claim.Epoch && s.CheckLease() != nil {
		return errFenced
	}
	return s.counterClaim(stream)
}

// isFenced tells whether so many replicas promised a higher epoch that no write
// quorum is left.
func (s *ownedShard) isFenced() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fenced := 0
	for _, replica := range s.claim.Replicas {
		if link := s.links[replica.Reference()]; link != nil && link.fenced > s.claim.Epoch {
			fenced++
		}
	}
	return fenced >= ReadQuorum(len(s.claim.Replicas))
}

// gather lets records come together, unless someone waits for the log.
func (s *ownedShard) gather() error {
	s.mutex.Lock()
	urgent := s.sealed || len(s.durable) > 0 || s.tail.Last() == s.logged
	s.mutex.Unlock()
	if urgent {
		return nil
	}
	timer := time.NewTimer(s.manager.config.Gather)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.urgent:
	case <-s.ctx.Done():
	}
	return s.ctx.Err()
}

// nextRecord returns what the log should get next, or nil when it holds all.
func (s *ownedShard) nextRecord() (record *Record, sealed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.arming > 0 || !s.settled {
		return nil, false
	}
	if s.snapshot != nil {
		return s.record(SnapshotRecord, s.snapshot.index, func(r *Record) {
			r.State, r.Claim, r.Active = s.snapshot.state, s.claim, s.claim
		}), s.sealed
	}
	if s.tail.Last() == s.logged {
		return nil, s.sealed
	}
	entries, _ := s.tail.From(s.logged, s.manager.config.BatchBytes)
	return s.record(BatchRecord, s.logged, func(r *Record) { r.Entries = entries }), s.sealed
}

func (s *ownedShard) record(kind RecordKind, index uint64, fill func(*Record)) *Record {
	record := &Record{
		Kind: kind, ID: s.manager.random.recordID(), Shard: s.id,
		Epoch: s.claim.Epoch, Index: index,
	}
	if fill != nil {
		fill(record)
	}
	return record
}

func (s *ownedShard) writeRecord(stream *stream, record *Record) error {
	verdict, err := stream.append(s.writes, true, record)
	if err != nil {
		return err
	}
	if verdict != Valid {
		return s.counterClaim(stream)
	}
	s.manager.countAppend(record.Kind, stream.size)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if record.Kind == SnapshotRecord && s.snapshot != nil && s.snapshot.index == record.Index {
		s.snapshot = nil
	}
	s.noteLogged(record.Index + uint64(len(record.Entries)))
	return nil
}

func (m *Manager) countAppend(kind RecordKind, size int) {
	m.counters.logAppends.Add(1)
	m.counters.logBytes.Add(uint64(size))
	if kind == SnapshotRecord {
		m.counters.snapshots.Add(1)
	}
}

// writeRelease ends a planned stop: the log holds all, and says so. It fails with
// errLogAway if the log is away and the release cannot have landed.
func (s *ownedShard) writeRelease(stream *stream) error {
	s.mutex.Lock()
	record := s.record(ReleasedRecord, s.logged, nil)
	s.mutex.Unlock()
	verdict, err := stream.append(s.ctx, false, record)
	if err != nil {
		return err
	}
	if verdict != Valid {
		return errTakenOver
	}
	s.manager.releaseLeases(s)
	close(s.flushed)
	s.lose(errHandedOver)
	return nil
}

// errReopened is why a shard whose hand-over failed is gone: this node opened it
// again.
var errReopened = errors.New("journal: the log went away during the hand-over")

// reopen hands the shard to the host again, in the same epoch. A log that goes
// away during a hand-over must not leave the shard without an owner for the length
// of the outage: as long as the release cannot have landed, this node serves on.
func (s *ownedShard) reopen(stream *stream) error {
	m := s.manager
	s.mutex.Lock()
	if s.gone != nil {
		defer s.mutex.Unlock()
		return s.gone
	}
	again := m.newOwnedShard(s.id, s.claim, s.logged, s.machine)
	again.tail, again.committed, again.snapshot = s.tail, s.committed, s.snapshot
	again.quiet, again.settled = s.quiet, s.settled
	again.sinceSnapshot, again.snapshotSize = s.sinceSnapshot, s.snapshotSize
	again.waiters, again.durable = s.waiters, s.durable
	s.waiters, s.durable = nil, nil
	slot := &m.slots[s.id]
	slot.mutex.Lock()
	slot.owned = again
	slot.mutex.Unlock()
	s.mutex.Unlock()
	s.lose(errReopened)
	m.renew(m.running, []*ownedShard{again})
	again.mutex.Lock()
	again.kickLinks()
	again.mutex.Unlock()
	again.kickWriter()
	m.tasks.Go(func() { again.write(stream) })
	m.tasks.Go(func() {
		if again.awaitLease(m.running) == nil {
			m.config.Host.Opened(again, again.machine)
		}
	})
	return nil
}

// releaseLeases tells the replicas that the owner stopped, so that a claimant
// that has not read the release needs not wait.
func (m *Manager) releaseLeases(s *ownedShard) {
	s.mutex.Lock()
	claim := s.claim
	s.mutex.Unlock()
	for _, replica := range claim.Replicas {
		m.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(m.running, m.config.ReplicaTimeout)
			defer cancel()
			request := &releaseMessage{Shard: s.id, Owner: m.config.Self.Reference(), Epoch: claim.Epoch}
			_, _ = m.call(ctx, replica, request, nil) // the lease runs out by itself
		})
	}
}

// counterClaim handles a record that turned out void. A claim of another node
// that was never activated took nothing over yet: while the replicas have not
// promised it anything this owner still serves, and claims again above it.
func (s *ownedShard) counterClaim(stream *stream) error {
	active := stream.ledger.Active()
	if active.Epoch != s.claim.Epoch || stream.ledger.Released() {
		return fmt.Errorf("%w: epoch %d of %s", errTakenOver, active.Epoch, active.Owner.Name)
	}
	rival := stream.ledger.Current()
	if rival.Owner.Reference() != s.manager.config.Self.Reference() {
		s.logger.Warn("unactivated claim of another node", "epoch", uint64(rival.Epoch), "owner", string(rival.Owner.Name))
	}
	next := &replacement{replicas: s.claim.Replicas, ready: true}
	s.mutex.Lock()
	s.next = next
	s.mutex.Unlock()
	return s.claimAgain(stream, next)
}

// counterClaimPause keeps two claimants from outbidding each other in step.
const counterClaimPause = 200 * time.Millisecond
