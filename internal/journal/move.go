package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"

	"golang.org/x/sync/errgroup"
	"stepseam.example/stepseam/internal/wait"
)

// askHandOver asks the live owner of a claim to stop and release the shard. It
// returns nil when the claimant may go on: after the release, or when the asked
// node cannot tell and the replicas are to be asked.
func (c *claimant) askHandOver(ctx context.Context, active Claim) error {
	m := c.manager
	callCtx, cancel := context.WithTimeout(ctx, m.config.ClosingTimeout+m.config.LogTimeout)
	defer cancel()
	request := &handOverMessage{Shard: c.shard, To: m.config.Self.Reference()}
	message, err := m.config.Peers.Call(callCtx, active.Owner.PeerAddress, request, nil)
	if err != nil {
		return nil // the replicas know whether it still holds the lease
	}
	answer, fits := message.(*handOverAnswer)
	if !fits {
		return errUnexpectedAnswer
	}
	if answer.Result == tryLater {
		return fmt.Errorf("%w: %s hands it over later", errHeldElsewhere, active.Owner.Name)
	}
	return c.stream.catchUp(ctx)
}

// handleHandOver gives the shard up to the node that should own it. It goes on
// even if the asking node is gone, which then finds the release in the log.
func (m *Manager) handleHandOver(ctx context.Context, request *handOverMessage) (peer.Message, error) {
	if int(request.Shard) >= len(m.slots) {
		return nil, fmt.Errorf("journal: shard %d of %d", request.Shard, len(m.slots))
	}
	shard := m.slots[request.Shard].load()
	if shard == nil {
		return &handOverAnswer{Result: notOwner}, nil
	}
	assignment, placed := m.desired(request.Shard)
	wanted := !placed || assignment.Owner.Reference() != m.config.Self.Reference()
	if !wanted || m.health.isDown() || !m.moves.Allow() {
		return &handOverAnswer{Result: tryLater}, nil
	}
	done := make(chan error, 1)
	m.tasks.Go(func() { done <- m.handOver(m.running, shard) })
	select {
	case err := <-done:
		if err != nil {
			return &handOverAnswer{Result: tryLater}, nil
		}
		return &handOverAnswer{Result: handedOver}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// errBusy tells that a shard cannot be handed over at the moment.
var errBusy = errors.New("journal: the shard's replicas are being exchanged or it is being handed over")

// handOver lets the host finish, brings all to the log, and releases the shard.
func (m *Manager) handOver(ctx context.Context, shard *ownedShard) error {
	if !shard.beginMove() {
		return fmt.Errorf("%w: shard %d", errBusy, shard.id)
	}
	closing, cancel := context.WithTimeout(ctx, m.config.ClosingTimeout)
	m.config.Host.Closing(closing, shard)
	cancel()
	shard.seal()
	select {
	case <-shard.flushed:
	case <-shard.ctx.Done():
	case <-ctx.Done():
	}
	// The end of the shard's context comes with the release too.
	select {
	case <-shard.flushed:
		m.counters.handOvers.Add(1)
		return nil
	default:
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return fmt.Errorf("%w: shard %d", ErrNotOwner, shard.id)
}

// seal takes no more records and closes Lost; what was taken goes to the log.
func (s *ownedShard) seal() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sealed || s.gone != nil {
		return
	}
	s.sealed = true
	close(s.lost)
	time.AfterFunc(s.manager.config.LogTimeout, s.stopWrites)
	signal(s.urgent)
	s.kickWriter()
}

// handleClaimNow claims shards at once that another node released.
func (m *Manager) handleClaimNow(request *claimNowMessage) (peer.Message, error) {
	for _, shard := range request.Shards {
		if int(shard) < len(m.slots) {
			m.begin(shard)
		}
	}
	return &doneMessage{}, nil
}

// Drain is the planned stop: it hands over all shards, tells their next owners to
// claim at once, and returns when no other node needs this one's memory any more,
// or when ctx ends.
func (m *Manager) Drain(ctx context.Context) error {
	m.draining.Store(true)
	for len(m.owned()) > 0 {
		if err := m.drainOwned(ctx); err != nil {
			return m.leave(fmt.Errorf("journal: drain: %w", err))
		}
		if err := wait.For(ctx, drainPause); err != nil {
			return m.leave(fmt.Errorf("journal: drain: %w", err))
		}
	}
	return m.awaitUnneeded(ctx)
}

// drainPause is the time before what could not be handed over is tried again.
const drainPause = 20 * time.Millisecond

// drainOwned hands over all that is owned now. Without the log nothing can be
// handed over: the shards are served until it is back or ctx ends.
func (m *Manager) drainOwned(ctx context.Context) error {
	if err := m.health.await(ctx, false); err != nil {
		return fmt.Errorf("the log service is away: %w", err)
	}
	group := errgroup.Group{}
	group.SetLimit(m.config.ConcurrentMoves)
	for _, shard := range m.owned() {
		group.Go(func() error { return m.drainShard(ctx, shard) })
	}
	return group.Wait()
}

func (m *Manager) drainShard(ctx context.Context, shard *ownedShard) error {
	if err := m.handOver(ctx, shard); err != nil {
		if errors.Is(err, ErrNotOwner) || errors.Is(err, errBusy) {
			return nil // taken over meanwhile, or opened again because the log went away
		}
		return err
	}
	m.tellNext(ctx, shard.id)
	return nil
}

// tellNext asks the node that should own the shard to claim it at once.
func (m *Manager) tellNext(ctx context.Context, shard identity.ShardID) {
	assignment, placed := m.desired(shard)
	if !placed || assignment.Owner.Reference() == m.config.Self.Reference() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.ReplicaTimeout)
	defer cancel()
	request := &claimNowMessage{Shards: []identity.ShardID{shard}}
	_, _ = m.config.Peers.Call(ctx, assignment.Owner.PeerAddress, request, nil) // it claims by itself a little later
}

// leave ends what could not be handed over: the replicas hold the tails, and the
// leases are given back so that nobody waits for them.
func (m *Manager) leave(reason error) error {
	for _, shard := range m.owned() {
		m.releaseLeases(shard)
		shard.lose(reason)
	}
	return reason
}

// unneededPoll is the time between two looks at what this replica still holds.
const unneededPoll = 100 * time.Millisecond

// awaitUnneeded waits until no live owner keeps a tail or a lease at this node.
func (m *Manager) awaitUnneeded(ctx context.Context) error {
	for {
		needed := 0
		for i := range m.replicas {
			if holder, _, held := m.replicas[i].holder(time.Now()); held && holder.Name != m.config.Self.Name {
				needed++
			}
		}
		if needed == 0 {
			return nil
		}
		if err := wait.For(ctx, unneededPoll); err != nil {
			return fmt.Errorf("journal: drain: still a replica of %d shards: %w", needed, err)
		}
	}
}

// isLeaving tells whether this life of node is about to stop.
func isLeaving(view membership.View, node identity.Node) bool {
	return slices.ContainsFunc(view.Members, func(member membership.Member) bool {
		return member.Node.Reference() == node.Reference() && member.Status == membership.Leaving
	})
}

// isServing tells whether a replica can be counted on by the members' view: its
// very life is a member and does not leave.
func isServing(view membership.View, node identity.Node) bool {
	return slices.ContainsFunc(view.Members, func(member membership.Member) bool {
		return member.Node.Reference() == node.Reference() &&
			(member.Status == membership.Alive || member.Status == membership.Suspect)
	})
}
