package journal

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/wait"
)

// authorizationPoll is the interval at which shards are checked for whether an
// interim takeover is to be authorized or the authorization revoked.
const authorizationPoll = 500 * time.Millisecond

// interimAllowed reports whether the log has been unavailable for at least
// Config.InterimDelay, so that shards may be taken over without it.
func (m *Manager) interimAllowed() bool { return m.health.isDownFor(m.config.InterimDelay) }

// authorizationLoop authorizes interim takeovers of the owned shards while the log
// is unavailable: their replicas receive a full state from which an interim owner
// can continue if the owner dies. Once the log is available again, it wakes the
// writers, which revoke the authorization before they append new records.
func (m *Manager) authorizationLoop(ctx context.Context) {
	for wait.For(ctx, authorizationPoll/2+m.random.duration(authorizationPoll/2)) == nil {
		away, down := m.interimAllowed(), m.health.isDown()
		for _, shard := range m.owned() {
			switch {
			case away && shard.requestAuthorization() && m.claims.Allow():
				m.tasks.Go(func() { m.config.Host.Checkpoint(shard) })
			case !down && shard.hasAuthorization():
				shard.signalWriter()
			}
		}
	}
}

// requestAuthorization makes the next Enqueue authorize an interim takeover, if
// that is allowed, and reports whether it is.
func (s *ownedShard) requestAuthorization() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.authorizationRequested = s.mayAuthorize()
	return s.authorizationRequested
}

// mayAuthorize reports whether an interim takeover may be authorized. It may not
// while the log could come to record other replicas or a release. The caller holds
// mutex.
func (s *ownedShard) mayAuthorize() bool {
	joint := s.next != nil && s.next.joint
	return s.lossReason == nil && s.term == 0 && s.authorization == 0 && !s.handingOver && !s.sealed && !s.claiming && !s.replacing && !joint
}

// authorizeIfRequested compacts the tail to a full state and sends it to the
// replicas with an authorization for interim takeovers. The state covers all
// records enqueued so far, hence all that may still reach the log. The caller holds
// mutex.
func (s *ownedShard) authorizeIfRequested() error {
	if !s.authorizationRequested || !s.mayAuthorize() || !s.manager.health.isDown() {
		s.authorizationRequested = false
		return nil
	}
	s.authorizationRequested = false
	state, err := s.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("journal: snapshot of shard %d: %w", s.id, err)
	}
	last := s.tail.Last()
	s.authorization, s.revocationConfirmed = s.manager.authorizations.Add(1), false
	s.sinceSnapshot, s.snapshotSize = 0, len(state)
	if s.logged < last {
		s.snapshot = &pendingSnapshot{index: last, state: state}
	}
	s.tail.Compact(last, state)
	s.generation++
	return nil
}

// hasAuthorization reports whether an interim owner may take the shard over.
func (s *ownedShard) hasAuthorization() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.authorization > 0 || !s.revocationConfirmed
}

// isContested reports whether a replica promised an epoch above this owner's.
func (s *ownedShard) isContested() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, link := range s.links {
		if link.promised > s.claim.Epoch {
			return true
		}
	}
	return false
}

// revokeAuthorization reports whether the owner may append to the log. If the log
// is available, it revokes an outstanding authorization. The revocation takes
// effect once a read quorum of the replicas confirmed it, since the others are too
// few to promise an interim takeover.
func (s *ownedShard) revokeAuthorization() bool {
	down := s.manager.health.isDown()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.authorization > 0 && !down {
		s.authorization, s.revokedThrough = 0, s.manager.authorizations.Add(1)
		s.manager.tasks.Go(func() { s.manager.renew(s.manager.running, []*ownedShard{s}) })
	}
	if s.revocationConfirmed || s.authorization > 0 {
		return s.revocationConfirmed
	}
	confirmed := 0
	for _, replica := range s.claim.Replicas {
		if link := s.links[replica.Reference()]; link != nil && (link.restarted || link.revokedThrough >= s.revokedThrough) {
			confirmed++
		}
	}
	if confirmed < ReadQuorum(len(s.claim.Replicas)) {
		return false
	}
	s.revocationConfirmed = true
	s.tail.Trim(min(s.logged, s.tail.Last()))
	return true
}

// forbidAuthorization prevents authorizations until the returned function is
// called.
func (s *ownedShard) forbidAuthorization() (allow func()) {
	set := func(claiming bool) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.claiming = claiming
	}
	set(true)
	return func() { set(false) }
}

// awaitRevocation waits until the owner may append to the log.
func (s *ownedShard) awaitRevocation() error {
	for !s.revokeAuthorization() {
		if s.isFenced() {
			return errFenced
		}
		if err := wait.For(s.ctx, copyPoll); err != nil {
			return err
		}
	}
	return nil
}
