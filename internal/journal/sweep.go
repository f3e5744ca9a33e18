package journal

import (
	"context"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/wait"
)

const (
	// sweepInterval is the interval at which replicas of owned shards are checked.
	sweepInterval = 500 * time.Millisecond
	// garbageInterval is the interval at which tails with an expired lease are checked.
	garbageInterval = time.Minute
)

// sweepLoop starts the replacement of replicas of owned shards where needed, and
// removes tails from this node that are no longer needed.
func (m *Manager) sweepLoop(ctx context.Context) {
	absent := map[identity.Reference]time.Time{}
	collected := time.Now()
	for wait.For(ctx, sweepInterval/2+m.random.duration(sweepInterval)) == nil {
		if m.health.isDown() || m.draining.Load() {
			continue
		}
		view := m.view()
		for _, shard := range m.owned() {
			if m.needsReplicas(shard, view, absent) && m.claims.Allow() {
				shard.startReplacement()
			}
		}
		if time.Since(collected) >= garbageInterval {
			collected = time.Now()
			m.collectGarbage(ctx)
		}
	}
}

// needsReplicas reports whether a replica has been missing for ReplaceDelay, is
// leaving or restarted, or whether more or better placed replicas are available.
func (m *Manager) needsReplicas(shard *ownedShard, view membership.View, absent map[identity.Reference]time.Time) bool {
	shard.mutex.Lock()
	replicas := shard.claim.Replicas
	idle := shard.next == nil && !shard.handingOver
	ready := shard.next != nil && shard.next.ready
	restarted := false
	for _, link := range shard.links {
		restarted = restarted || link.restarted
	}
	shard.mutex.Unlock()
	if !idle {
		return ready // signal the writer again: the log may have been unavailable
	}
	wanted := m.wantedReplicas(shard.id, view)
	if restarted && !sameReplicas(wanted, replicas) {
		return true
	}
	view = m.reachable(view)
	now := time.Now()
	for _, replica := range replicas {
		if isServing(view, replica) {
			delete(absent, replica.Reference())
			continue
		}
		if isLeaving(view, replica) {
			return true // its drain waits for the replacement
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
	return len(wanted) > len(replicas) || m.improvesSpread(wanted, replicas) ||
		(containsIncarnation(replicas, m.config.Self) && !containsIncarnation(wanted, m.config.Self))
}

// improvesSpread reports whether wanted spans more zones than present, or has a
// write quorum in the owner's region where present has none, without spanning fewer
// zones. It restores placements that degraded in the outage of a zone.
func (m *Manager) improvesSpread(wanted, present []identity.Node) bool {
	if len(wanted) < len(present) {
		return false
	}
	quorum := WriteQuorum(len(present))
	return zoneCount(wanted) > zoneCount(present) ||
		(m.inOwnRegion(wanted) >= quorum && m.inOwnRegion(present) < quorum && zoneCount(wanted) >= zoneCount(present))
}

func zoneCount(nodes []identity.Node) int {
	return len(lo.UniqBy(nodes, func(node identity.Node) identity.Zone { return node.Zone }))
}

func (m *Manager) inOwnRegion(nodes []identity.Node) int {
	return lo.CountBy(nodes, func(node identity.Node) bool { return node.Region == m.config.Self.Region })
}

// collectGarbage drops tails whose owner died or could not reach this node to drop
// them: the log has a later ownership that is active.
func (m *Manager) collectGarbage(ctx context.Context) {
	for i := range m.replicas {
		epoch, lapsed := m.replicas[i].lapsedEpoch(time.Now())
		if !lapsed {
			continue
		}
		stream, err := m.openStream(ctx, identity.ShardID(i), nil)
		if err != nil {
			return // the log is unavailable; the next round retries
		}
		m.recordClaim(identity.ShardID(i), stream.ledger)
		active := stream.ledger.Active()
		if active.Epoch > epoch && !active.accepts(epoch) {
			m.replicas[i].drop(active.Epoch)
		}
	}
}
