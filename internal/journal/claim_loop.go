package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/wait"
)

const (
	// claimInterval is the interval of the claim loop while wanted shards are missing,
	// idleInterval while none is.
	claimInterval = 100 * time.Millisecond
	idleInterval  = time.Second
)

// Bounds of the backoff after a failed claim.
const (
	minClaimBackoff = 50 * time.Millisecond
	maxClaimBackoff = 2 * time.Second
)

// claimLoop claims the shards that this node should own and does not, at a limited
// rate and in random order, until ctx ends.
func (m *Manager) claimLoop(ctx context.Context) {
	var wanted []identity.ShardID
	var version uint64
	fresh := false
	if wait.For(ctx, m.config.SettleDelay) != nil {
		return
	}
	for {
		_, _, changed := m.config.Members.Watch()
		view := m.view()
		m.reachability.observeView(view)
		if !fresh || view.Version != version {
			wanted, version, fresh = m.wantedShards(view), view.Version, true
		}
		interval := idleInterval
		if m.startClaims(wanted) {
			interval = claimInterval
		}
		timer := time.NewTimer(interval/2 + m.random.duration(interval))
		select {
		case <-timer.C:
		case <-changed:
		case <-m.wake:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (m *Manager) wakeClaims() { signal(m.wake) }

// wantedShards returns the shards that this node should own according to view.
func (m *Manager) wantedShards(view membership.View) []identity.ShardID {
	var wanted []identity.ShardID
	for i := range m.slots {
		shard := identity.ShardID(i)
		assignment, placed := m.config.Desired(shard, view)
		if placed && assignment.Owner.Reference() == m.config.Self.Reference() {
			wanted = append(wanted, shard)
		}
	}
	return wanted
}

// startClaims starts as many claims as the rate allows, and reports whether any of
// the wanted shards is missing.
func (m *Manager) startClaims(wanted []identity.ShardID) (missing bool) {
	if m.draining.Load() || (m.health.isDown() && !m.interimAllowed()) {
		return false
	}
	var due []identity.ShardID
	for _, shard := range wanted {
		owned, ready := m.slots[shard].state(time.Now())
		missing = missing || !owned
		if ready {
			due = append(due, shard)
		}
	}
	m.random.shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, shard := range due {
		if !m.claims.Allow() {
			break
		}
		m.startClaim(shard)
	}
	return missing
}

// state reports whether the shard is owned, and whether a claim of it may start.
func (s *slot) state(now time.Time) (owned, ready bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	owned = s.owned != nil
	return owned, !owned && s.attempt == nil && !now.Before(s.notBefore)
}

// startClaim starts a claim of shard unless one is in progress or the shard is
// owned. It returns a channel that is closed when the claim ends; nil if there is
// nothing to wait for.
func (m *Manager) startClaim(shard identity.ShardID) <-chan struct{} {
	slot := &m.slots[shard]
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	if m.draining.Load() || !m.started.Load() || m.running.Err() != nil {
		return nil
	}
	if slot.owned != nil || slot.attempt != nil {
		return slot.attempt
	}
	attempt := make(chan struct{})
	slot.attempt = attempt
	m.tasks.Go(func() {
		defer close(attempt)
		m.finishClaim(shard, m.acquireShard(m.running, shard))
	})
	return attempt
}

// finishClaim records the outcome of a claim and when the next may start.
func (m *Manager) finishClaim(shard identity.ShardID, err error) {
	slot := &m.slots[shard]
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	slot.attempt, slot.failure = nil, err
	if err == nil {
		slot.failures = 0
		return
	}
	m.counters.claimsFailed.Add(1)
	m.logClaimFailure(shard, slot.failures, err)
	pause := min(minClaimBackoff<<min(slot.failures, 6), maxClaimBackoff)
	pause = pause/2 + m.random.duration(pause)
	if runs, known := errors.AsType[*leaseRunsError](err); known && runs.remaining > 0 {
		// A dead owner does not renew its lease: retry when it expires.
		pause = min(runs.remaining+leaseMargin, maxClaimBackoff)
		time.AfterFunc(pause, m.wakeClaims)
	}
	slot.failures++
	slot.failedAt = time.Now()
	slot.notBefore = time.Now().Add(pause)
}

// failuresBeforeWarning is how many consecutive claims of a shard may fail with an
// expected error before failures are logged as warnings.
const failuresBeforeWarning = 10

// logClaimFailure logs a failed claim. Waiting for a lease or for another node is
// expected, as long as it ends.
func (m *Manager) logClaimFailure(shard identity.ShardID, failures int, err error) {
	ordinary := m.running.Err() != nil
	if _, waits := errors.AsType[*leaseRunsError](err); waits {
		ordinary = true
		if m.interimAllowed() {
			failures = 0 // expected while an interim owner serves the shard
		}
	}
	for _, reason := range []error{errOwnedElsewhere, errLostRace, errRivalClaim, errLogUnavailable} {
		ordinary = ordinary || errors.Is(err, reason)
	}
	if ordinary && failures < failuresBeforeWarning {
		m.config.Logger.Debug("claim not made", "shard", uint32(shard), "error", err)
		return
	}
	m.config.Logger.Warn("claim failed", "shard", uint32(shard), "failures", failures+1, "error", err)
}

// leaseMargin is added to the end of a lease that a claimant waits for.
const leaseMargin = time.Millisecond

// minClaimInterval is the minimum time between the failure of a claim and a claim
// that EnsureOwned starts.
const minClaimInterval = 50 * time.Millisecond

// EnsureOwned claims shard at once if this node should own it, and waits until it is
// open. Errors wrap ErrNotOwner; OwnerHint may name the owner.
func (m *Manager) EnsureOwned(ctx context.Context, shard identity.ShardID) error {
	if int(shard) >= len(m.slots) {
		return fmt.Errorf("%w: shard %d of %d", ErrNotOwner, shard, len(m.slots))
	}
	if owned := m.slots[shard].load(); owned != nil && owned.CheckLease() == nil {
		return nil
	}
	assignment, placed := m.desired(shard)
	if !placed || assignment.Owner.Reference() != m.config.Self.Reference() {
		return fmt.Errorf("%w: %w", ErrNotOwner, errNotDesired)
	}
	slot := &m.slots[shard]
	slot.mutex.Lock()
	tooSoon := slot.failure != nil && time.Since(slot.failedAt) < minClaimInterval
	slot.mutex.Unlock()
	if tooSoon {
		return slot.notOwned(shard)
	}
	if attempt := m.startClaim(shard); attempt != nil {
		select {
		case <-attempt:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotOwner, ctx.Err())
		}
	}
	return slot.notOwned(shard)
}

// notOwned returns nil if shard is served here, or the reason why it is not.
func (s *slot) notOwned(shard identity.ShardID) error {
	s.mutex.Lock()
	owned, failure := s.owned, s.failure
	s.mutex.Unlock()
	if owned != nil {
		return owned.CheckLease()
	}
	return fmt.Errorf("%w: shard %d: %w", ErrNotOwner, shard, failure)
}
