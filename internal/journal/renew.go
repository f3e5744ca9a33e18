package journal

import (
	"context"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// renewLoop renews the leases of all owned shards, with one request to each replica
// node.
func (m *Manager) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(m.config.RenewInterval)
	defer ticker.Stop()
	for {
		m.renew(ctx, m.owned())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// renewalBatch has the renewals for one replica node.
type renewalBatch struct {
	node     identity.Node
	renewals []Renewal
	shards   []*ownedShard
}

// renew sends the renewals of shards and does not wait for the responses, so that a
// slow replica does not delay the others.
func (m *Manager) renew(ctx context.Context, shards []*ownedShard) {
	for _, round := range batchRenewals(shards) {
		m.tasks.Go(func() { m.sendRenewals(ctx, round) })
	}
}

func batchRenewals(shards []*ownedShard) map[identity.Reference]*renewalBatch {
	rounds := map[identity.Reference]*renewalBatch{}
	for _, shard := range shards {
		shard.mutex.Lock()
		renewal := Renewal{Shard: shard.id, Epoch: shard.claim.Epoch, Logged: shard.logged, Term: shard.term, RevokedThrough: shard.revokedThrough}
		for reference, link := range shard.links {
			if link.restarted {
				continue
			}
			round := rounds[reference]
			if round == nil {
				round = &renewalBatch{node: link.node}
				rounds[reference] = round
			}
			round.renewals = append(round.renewals, renewal)
			round.shards = append(round.shards, shard)
		}
		shard.mutex.Unlock()
	}
	return rounds
}

func (m *Manager) sendRenewals(ctx context.Context, round *renewalBatch) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Lease.Duration)
	defer cancel()
	// The lease counts from before the request is sent, so that it ends before the
	// replica's own count, which starts on receipt.
	sentAt := time.Now()
	request := &renewRequest{To: round.node.Reference(), Owner: m.config.Self.Reference(), Renewals: round.renewals}
	message, err := m.call(ctx, round.node, request, nil)
	if m.running.Err() == nil {
		m.reachability.recordOutcome(round.node.Reference(), err == nil)
	}
	if err != nil {
		return
	}
	answer, fits := message.(*renewResponse)
	if !fits {
		return
	}
	fenced := map[identity.ShardID]bool{}
	for _, shard := range answer.Fenced {
		fenced[shard] = true
	}
	for i, shard := range round.shards {
		shard.handleRenewal(round.node, sentAt, round.renewals[i], answer.OtherIncarnation, fenced[shard.id])
	}
}

func (s *ownedShard) handleRenewal(node identity.Node, sentAt time.Time, renewal Renewal, otherLife, fenced bool) {
	s.mutex.Lock()
	current := s.claim.Epoch
	link := s.links[node.Reference()]
	switch {
	case link == nil || s.lossReason != nil:
	case otherLife:
		s.markRestarted(link)
		s.updateLease()
	case !fenced:
		link.granted = later(link.granted, sentAt)
		if link.revokedThrough < renewal.RevokedThrough {
			link.revokedThrough = renewal.RevokedThrough
			s.signalWriter()
		}
		s.updateLease()
	}
	s.mutex.Unlock()
	if fenced && renewal.Epoch == current {
		s.handleRenewalRejected(node)
	}
}
