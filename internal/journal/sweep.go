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
	// sweepInterval is the time between two looks at the replicas of owned shards.
	sweepInterval = 500 * time.Millisecond
	// garbageInterval is the time between two looks at tails nobody attends to.
	garbageInterval = time.Minute
)

// sweepLoop looks whether the replicas of owned shards should be exchanged, and
// whether tails are kept here that nobody needs.
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
				shard.exchangeReplicas()
			}
		}
		if time.Since(collected) >= garbageInterval {
			collected = time.Now()
			m.collectGarbage(ctx)
		}
	}
}

// needsReplicas tells whether a replica has been gone for a while, or more
// replicas or better ones can be had now.
func (m *Manager) needsReplicas(shard *ownedShard, view membership.View, absent map[identity.Reference]time.Time) bool {
	shard.mutex.Lock()
	replicas := shard.claim.Replicas
	idle := shard.next == nil && !shard.moving
	ready := shard.next != nil && shard.next.ready
	restarted := false
	for _, link := range shard.links {
		restarted = restarted || link.gone
	}
	shard.mutex.Unlock()
	if !idle {
		return ready // the writer was told, but the log was away
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
	return len(wanted) > len(replicas) || m.spreadsBetter(wanted, replicas) ||
		(holdsLife(replicas, m.config.Self) && !holdsLife(wanted, m.config.Self))
}

// spreadsBetter tells whether wanted loses fewer replicas to the loss of one zone
// than present does, or keeps a quorum in the owner's region where present does
// not. Sets get worse in a zone's outage, and nothing else would undo that.
func (m *Manager) spreadsBetter(wanted, present []identity.Node) bool {
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

// collectGarbage forgets tails that were never dropped because their owner died
// or could not be reached: the log tells that a later ownership was activated.
func (m *Manager) collectGarbage(ctx context.Context) {
	for i := range m.replicas {
		epoch, lapsed := m.replicas[i].unattended(time.Now())
		if !lapsed {
			continue
		}
		stream, err := m.openStream(ctx, identity.ShardID(i), nil)
		if err != nil {
			return // the log is away; the next round looks again
		}
		m.noteClaim(identity.ShardID(i), stream.ledger)
		active := stream.ledger.Active()
		if active.Epoch > epoch && !active.accepts(epoch) {
			m.replicas[i].drop(active.Epoch)
		}
	}
}
