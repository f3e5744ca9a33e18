package journal

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/wait"
)

// armPoll is the time between two looks at whether shards are to be armed or
// brought to the log again.
const armPoll = 500 * time.Millisecond

// logAway tells whether the log has been away for so long that shards may be
// owned without it.
func (m *Manager) logAway() bool { return m.health.isAway(m.config.ArmDelay) }

// armLoop arms the owned shards while the log is away: their replicas get a whole
// state, so that one of them can go on if the owner dies. When the log is back it
// wakes the writers, which take that back before anything new goes to the log.
func (m *Manager) armLoop(ctx context.Context) {
	for wait.For(ctx, armPoll/2+m.random.duration(armPoll/2)) == nil {
		away, down := m.logAway(), m.health.isDown()
		for _, shard := range m.owned() {
			switch {
			case away && shard.wantsArming() && m.claims.Allow():
				m.tasks.Go(func() { m.config.Host.Checkpoint(shard) })
			case !down && shard.isArmed():
				shard.kickWriter()
			}
		}
	}
}

// wantsArming asks the next Enqueue to arm the shard, if that is allowed.
func (s *ownedShard) wantsArming() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.armWanted = s.mayArm()
	return s.armWanted
}

// mayArm tells whether the shard may be armed: not while the log may come to name
// other replicas or a release. The caller holds mutex.
func (s *ownedShard) mayArm() bool {
	joint := s.next != nil && s.next.joint
	return s.gone == nil && s.term == 0 && s.arming == 0 && !s.moving && !s.sealed && !s.claiming && !s.replacing && !joint
}

// maybeArm folds the tail to a whole state that the replicas take with leave to
// let an interim owner go on from it. It holds all that was ever enqueued, so all
// that may still reach the log. The caller holds mutex.
func (s *ownedShard) maybeArm() error {
	if !s.armWanted || !s.mayArm() || !s.manager.health.isDown() {
		s.armWanted = false
		return nil
	}
	s.armWanted = false
	state, err := s.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("journal: snapshot of shard %d: %w", s.id, err)
	}
	last := s.tail.Last()
	s.arming, s.settled = s.manager.armings.Add(1), false
	s.sinceSnapshot, s.snapshotSize = 0, len(state)
	if s.logged < last {
		s.snapshot = &pendingSnapshot{index: last, state: state}
	}
	s.tail.Fold(last, state)
	s.generation++
	return nil
}

// isArmed tells whether an interim owner may take the shard over.
func (s *ownedShard) isArmed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.arming > 0 || !s.settled
}

// isContested tells whether a replica promised a fence above this owner's.
func (s *ownedShard) isContested() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, link := range s.links {
		if link.fenced > s.claim.Epoch {
			return true
		}
	}
	return false
}

// settle tells whether the owner may append to the log. Once the log is back it
// takes the leave for an interim owner back; it has effect when so many replicas
// confirmed that too few are left to promise one.
func (s *ownedShard) settle() bool {
	down := s.manager.health.isDown()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.arming > 0 && !down {
		s.arming, s.quiet = 0, s.manager.armings.Add(1)
		s.manager.tasks.Go(func() { s.manager.renew(s.manager.running, []*ownedShard{s}) })
	}
	if s.settled || s.arming > 0 {
		return s.settled
	}
	confirmed := 0
	for _, replica := range s.claim.Replicas {
		if link := s.links[replica.Reference()]; link != nil && (link.gone || link.quiet >= s.quiet) {
			confirmed++
		}
	}
	if confirmed < ReadQuorum(len(s.claim.Replicas)) {
		return false
	}
	s.settled = true
	s.tail.Trim(min(s.logged, s.tail.Last()))
	return true
}

// forbidArming keeps the shard from being armed until the returned function is
// called.
func (s *ownedShard) forbidArming() (allow func()) {
	set := func(claiming bool) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.claiming = claiming
	}
	set(true)
	return func() { set(false) }
}

// awaitSettled waits until the owner may append to the log.
func (s *ownedShard) awaitSettled() error {
	for !s.settle() {
		if s.isFenced() {
			return errFenced
		}
		if err := wait.For(s.ctx, copyPoll); err != nil {
			return err
		}
	}
	return nil
}
