package journal

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// claimInterval is the time between two looks at which shards to claim.
	claimInterval = 100 * time.Millisecond
	// sweepInterval is the time between two looks at the replicas of owned shards.
	sweepInterval = 500 * time.Millisecond
)

// The bounds of the pause after a claim that failed.
const (
	claimPauseShortest = 50 * time.Millisecond
	claimPauseLongest  = 2 * time.Second
)

// claimLoop claims the shards that this node should own and does not, at a
// limited rate and in random order, until ctx ends.
func (m *Manager) claimLoop(ctx context.Context) {
	var wanted []identity.ShardID
	var version uint64
	fresh := false
	for {
		view := m.view()
		_, _, changed := m.config.Members.Watch()
		if !fresh || view.Version != version {
			wanted, version, fresh = m.wantedShards(view), view.Version, true
		}
		m.claimSome(wanted)
		timer := time.NewTimer(claimInterval/2 + m.random.duration(claimInterval))
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

func (m *Manager) wakeClaims() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// wantedShards returns the shards that this node should own by view.
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

// claimSome begins as many claims as the rate allows.
func (m *Manager) claimSome(wanted []identity.ShardID) {
	if m.draining.Load() || m.health.isDown() {
		return
	}
	due := make([]identity.ShardID, 0, len(wanted))
	for _, shard := range wanted {
		if m.slots[shard].isDue(time.Now()) {
			due = append(due, shard)
		}
	}
	m.random.shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, shard := range due {
		if !m.claims.Allow() {
			return
		}
		m.begin(shard)
	}
}

func (s *slot) isDue(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.owned == nil && s.attempt == nil && !now.Before(s.notBefore)
}

// begin starts a claim of shard unless one is under way or the shard is owned,
// and returns what is closed when it ends; nil if there is nothing to wait for.
func (m *Manager) begin(shard identity.ShardID) <-chan struct{} {
	slot := &m.slots[shard]
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	if m.draining.Load() || m.running == nil {
		return nil
	}
	if slot.owned != nil || slot.attempt != nil {
		return slot.attempt
	}
	attempt := make(chan struct{})
	slot.attempt = attempt
	m.tasks.Go(func() {
		defer close(attempt)
		m.finish(slot, m.claim(m.running, shard))
	})
	return attempt
}

// finish notes how a claim ended and when the next may start.
func (m *Manager) finish(slot *slot, err error) {
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	slot.attempt, slot.failure = nil, err
	if err == nil {
		slot.failures = 0
		return
	}
	m.counters.claimsFailed.Add(1)
	pause := min(claimPauseShortest<<min(slot.failures, 6), claimPauseLongest)
	slot.failures++
	slot.notBefore = time.Now().Add(pause/2 + m.random.duration(pause))
}

// EnsureOwned claims shard at once, if this node should own it, and waits until
// it is open. Errors wrap ErrNotOwner; OwnerHint tells who may own it instead.
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
	if attempt := m.begin(shard); attempt != nil {
		select {
		case <-attempt:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotOwner, ctx.Err())
		}
	}
	slot := &m.slots[shard]
	slot.mutex.Lock()
	owned, failure := slot.owned, slot.failure
	slot.mutex.Unlock()
	if owned != nil {
		return owned.CheckLease()
	}
	return fmt.Errorf("%w: shard %d: %w", ErrNotOwner, shard, failure)
}

// sweepLoop looks whether the replicas of owned shards should be exchanged.
func (m *Manager) sweepLoop(ctx context.Context) {
	absent := map[identity.Reference]time.Time{}
	for sleep(ctx, sweepInterval/2+m.random.duration(sweepInterval)) == nil {
		if m.health.isDown() || m.draining.Load() {
			continue
		}
		view := m.view()
		for _, shard := range m.owned() {
			if m.needsReplicas(shard, view, absent) && m.claims.Allow() {
				shard.askReplicas()
			}
		}
	}
}

func (s *ownedShard) askReplicas() {
	s.mutex.Lock()
	s.wantReplicas = true
	s.mutex.Unlock()
	s.kickWriter()
}

// needsReplicas tells whether a replica has been gone for a while, or more
// replicas or better ones can be had now.
func (m *Manager) needsReplicas(shard *ownedShard, view membership.View, absent map[identity.Reference]time.Time) bool {
	shard.mutex.Lock()
	replicas := shard.claim.Replicas
	idle := shard.next == nil && !shard.sealed
	shard.mutex.Unlock()
	if !idle {
		return false
	}
	now := time.Now()
	for _, replica := range replicas {
		if isServing(view, replica) {
			delete(absent, replica.Reference())
			continue
		}
		if isLeaving(view, replica) {
			return true // it waits for this before it stops
		}
		since, known := absent[replica.Reference()]
		if !known {
			absent[replica.Reference()] = now
			continue
		}
		if now.Sub(since) >= m.config.ReplaceDelay {
			return true
		}
	}
	wanted := m.wantedReplicas(shard.id, view)
	return len(wanted) > len(replicas) || (holdsLife(replicas, m.config.Self) && !holdsLife(wanted, m.config.Self))
}
