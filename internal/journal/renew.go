package journal

import (
	"context"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// renewLoop renews the leases of all owned shards, with one message per replica
// node for all its shards.
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

// renewalRound is what one replica node is asked for at once.
type renewalRound struct {
	node     identity.Node
	renewals []Renewal
	shards   []*ownedShard
}

// renew sends one round for shards and does not wait for the answers, so that a
// slow replica does not hold up the others.
func (m *Manager) renew(ctx context.Context, shards []*ownedShard) {
	for _, round := range collectRounds(shards) {
		m.tasks.Go(func() { m.renewAt(ctx, round) })
	}
}

func collectRounds(shards []*ownedShard) map[identity.Reference]*renewalRound {
	rounds := map[identity.Reference]*renewalRound{}
	for _, shard := range shards {
		shard.mutex.Lock()
		renewal := Renewal{Shard: shard.id, Epoch: shard.claim.Epoch, Logged: shard.logged, Term: shard.term, Quiet: shard.quiet}
		for reference, link := range shard.links {
			if link.gone {
				continue
			}
			round := rounds[reference]
			if round == nil {
				round = &renewalRound{node: link.node}
				rounds[reference] = round
			}
			round.renewals = append(round.renewals, renewal)
			round.shards = append(round.shards, shard)
		}
		shard.mutex.Unlock()
	}
	return rounds
}

func (m *Manager) renewAt(ctx context.Context, round *renewalRound) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Lease.Duration)
	defer cancel()
	// The lease counts from before the message leaves: however long it is under
	// way, the replica's own count begins later.
	sentAt := time.Now()
	request := &renewMessage{To: round.node.Reference(), Owner: m.config.Self.Reference(), Renewals: round.renewals}
	message, err := m.call(ctx, round.node, request, nil)
	if m.running.Err() == nil {
		m.reach.note(round.node.Reference(), err == nil)
	}
	if err != nil {
		return
	}
	answer, fits := message.(*renewAnswer)
	if !fits {
		return
	}
	fenced := map[identity.ShardID]bool{}
	for _, shard := range answer.Fenced {
		fenced[shard] = true
	}
	for i, shard := range round.shards {
		shard.takeRenewal(round.node, sentAt, round.renewals[i], answer.OtherLife, fenced[shard.id])
	}
}

func (s *ownedShard) takeRenewal(node identity.Node, sentAt time.Time, renewal Renewal, otherLife, fenced bool) {
	s.mutex.Lock()
	current := s.claim.Epoch
	link := s.links[node.Reference()]
	switch {
	case link == nil || s.gone != nil:
	case otherLife:
		s.loseReplica(link)
		s.updateLease()
	case !fenced:
		link.granted = later(link.granted, sentAt)
		if link.quiet < renewal.Quiet {
			link.quiet = renewal.Quiet
			s.kickWriter()
		}
		s.updateLease()
	}
	s.mutex.Unlock()
	if fenced && renewal.Epoch == current {
		s.contest(node)
	}
}
