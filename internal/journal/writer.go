package journal

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// errTakenOver reports that a shard was lost to another node's claim in the log.
var errTakenOver = errors.New("journal: taken over by another node's claim")

// write appends the shard's records to the log until the shard is lost. Only write
// uses the stream: one append is in flight at a time, and an append whose outcome is
// unknown is resolved before the next.
func (s *ownedShard) write(stream *stream) {
	for {
		select {
		case <-s.wakeWriter:
		case <-s.ctx.Done():
			return
		}
		if err := s.flushToLog(stream); err != nil && s.ctx.Err() == nil {
			s.lose(err)
		}
		if s.ctx.Err() != nil {
			return
		}
	}
}

// flushToLog appends until nothing is left to do. An error means that the shard is
// lost.
func (s *ownedShard) flushToLog(stream *stream) error {
	for {
		if err := s.reclaimIfNeeded(stream); err != nil {
			return err
		}
		if !s.revokeAuthorization() {
			return nil
		}
		if err := s.awaitBatch(); err != nil {
			return err
		}
		record, sealed := s.nextRecord()
		switch {
		case record == nil && !sealed:
			return nil
		case record == nil:
			err := s.writeRelease(stream)
			if errors.Is(err, errLogUnavailable) {
				return s.reopen(stream)
			}
			return err
		}
		err := s.writeRecord(stream, record)
		if err != nil && s.appendContext.Err() != nil && s.ctx.Err() == nil {
			return s.reopen(stream)
		}
		if err != nil {
			return err
		}
	}
}

// reclaimIfNeeded claims again if replicas promised a higher epoch or are to be
// replaced. An error means that the shard is lost.
func (s *ownedShard) reclaimIfNeeded(stream *stream) error {
	if s.takeContested() {
		if err := s.resolveContest(stream); err != nil {
			return err
		}
	}
	if next := s.takeReplacement(); next != nil {
		return s.replaceReplicas(stream, next)
	}
	return nil
}

func (s *ownedShard) takeContested() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	contested := s.contested
	s.contested = false
	return contested
}

// resolveContest reads the log for the claim that replicas promised to. If that claim
// is not activated and enough replicas still grant the lease, this owner claims above
// it; otherwise the shard is lost.
func (s *ownedShard) resolveContest(stream *stream) error {
	if s.isFenced() {
		return errFenced
	}
	if err := stream.catchUp(s.ctx); err != nil {
		if s.ctx.Err() != nil {
			return err
		}
		return nil // no takeover without the log; the next renewal detects the claim again
	}
	if stream.ledger.Current().Epoch == s.claim.Epoch {
		if !s.isContested() {
			return nil
		}
		// A replica promised an interim owner that did not succeed. A higher epoch
		// supersedes that promise.
		return s.counterClaim(stream)
	}
	if stream.ledger.Active().Epoch == s.claim.Epoch && s.CheckLease() != nil {
		return errFenced
	}
	return s.counterClaim(stream)
}

// isFenced reports whether so many replicas promised a higher epoch that no write
// quorum is left.
func (s *ownedShard) isFenced() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fenced := 0
	for _, replica := range s.claim.Replicas {
		if link := s.links[replica.Reference()]; link != nil && link.promised > s.claim.Epoch {
			fenced++
		}
	}
	return fenced >= ReadQuorum(len(s.claim.Replicas))
}

// awaitBatch waits for Config.BatchDelay to batch records, unless a caller waits for the
// log.
func (s *ownedShard) awaitBatch() error {
	s.mutex.Lock()
	urgent := s.sealed || len(s.durable) > 0 || s.tail.Last() == s.logged
	s.mutex.Unlock()
	if urgent {
		return nil
	}
	timer := time.NewTimer(s.manager.config.BatchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.urgent:
	case <-s.ctx.Done():
	}
	return s.ctx.Err()
}

// nextRecord returns the next record for the log, or nil if the log has all.
func (s *ownedShard) nextRecord() (record *Record, sealed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.authorization > 0 || !s.revocationConfirmed {
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
	verdict, err := stream.append(s.appendContext, true, record)
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
	s.setLogged(record.Index + uint64(len(record.Entries)))
	return nil
}

func (m *Manager) countAppend(kind RecordKind, size int) {
	m.counters.logAppends.Add(1)
	m.counters.logBytes.Add(uint64(size))
	if kind == SnapshotRecord {
		m.counters.snapshots.Add(1)
	}
}

// writeRelease completes a planned stop: it appends the release once the log has all
// records. It fails with errLogUnavailable if the log is unavailable and the release
// cannot have been written.
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

// errReopened is the loss reason of a shard whose hand-over failed and which this
// node opened again.
var errReopened = errors.New("journal: the log became unavailable during the hand-over")

// reopen passes the shard to the host again, in the same epoch. It is used if the
// log becomes unavailable during a hand-over and the release cannot have been
// written, so that the shard is served through the outage.
func (s *ownedShard) reopen(stream *stream) error {
	m := s.manager
	s.mutex.Lock()
	if s.lossReason != nil {
		defer s.mutex.Unlock()
		return s.lossReason
	}
	again := m.newOwnedShard(s.id, s.claim, s.logged, s.machine)
	again.tail, again.committed, again.snapshot = s.tail, s.committed, s.snapshot
	again.revokedThrough, again.revocationConfirmed = s.revokedThrough, s.revocationConfirmed
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
	again.startSenders()
	again.mutex.Unlock()
	again.signalWriter()
	m.tasks.Go(func() { again.write(stream) })
	m.tasks.Go(func() {
		if again.awaitLease(m.running) == nil {
			m.config.Host.ShardOpened(again, again.machine)
		}
	})
	return nil
}

// releaseLeases ends the shard's leases at the replicas, so that a claimant that has
// not read the release does not wait for them to expire.
func (m *Manager) releaseLeases(s *ownedShard) {
	s.mutex.Lock()
	claim := s.claim
	s.mutex.Unlock()
	for _, replica := range claim.Replicas {
		m.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(m.running, m.config.ReplicaTimeout)
			defer cancel()
			request := &releaseRequest{Shard: s.id, Owner: m.config.Self.Reference(), Epoch: claim.Epoch}
			_, _ = m.call(ctx, replica, request, nil) // best effort: the lease expires
		})
	}
}

// counterClaim handles a superseded record. If the claim that superseded it was
// never activated, it took nothing over, and this owner claims above it; otherwise
// the shard is lost.
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
	return s.reclaim(stream, next)
}

// counterClaimPause is the base of the random delay that keeps two claimants from
// outbidding each other repeatedly.
const counterClaimPause = 200 * time.Millisecond
