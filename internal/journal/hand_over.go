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

// requestHandOver requests the live owner of a claim to stop and release the shard.
// It returns nil if the claimant may go on: after the release, or if the owner did
// not respond, in which case its replicas decide.
func (c *claimant) requestHandOver(ctx context.Context, active Claim) error {
	m := c.manager
	callCtx, cancel := context.WithTimeout(ctx, m.config.ClosingTimeout+m.config.LogTimeout)
	defer cancel()
	request := &handOverRequest{Shard: c.shard, To: m.config.Self.Reference()}
	message, err := m.config.Peers.Call(callCtx, active.Owner.PeerAddress, request, nil)
	if err != nil {
		return nil // the replicas report whether the owner still has the lease
	}
	answer, fits := message.(*handOverResponse)
	if !fits {
		return errUnexpectedResponse
	}
	if answer.Result == retryLater {
		return fmt.Errorf("%w: %s does not hand it over yet", errOwnedElsewhere, active.Owner.Name)
	}
	return c.stream.catchUp(ctx)
}

// handleHandOver releases the shard to the node that should own it. The hand-over
// continues if the requester disconnects, and can then be read from the log.
func (m *Manager) handleHandOver(ctx context.Context, request *handOverRequest) (peer.Message, error) {
	if int(request.Shard) >= len(m.slots) {
		return nil, fmt.Errorf("journal: shard %d of %d", request.Shard, len(m.slots))
	}
	shard := m.slots[request.Shard].load()
	if shard == nil {
		return &handOverResponse{Result: notOwner}, nil
	}
	assignment, placed := m.desired(request.Shard)
	wanted := !placed || assignment.Owner.Reference() != m.config.Self.Reference()
	if !wanted || m.health.isDown() || !m.handOvers.Allow() {
		return &handOverResponse{Result: retryLater}, nil
	}
	done := make(chan error, 1)
	m.tasks.Go(func() { done <- m.handOver(m.running, shard) })
	select {
	case err := <-done:
		if err != nil {
			return &handOverResponse{Result: retryLater}, nil
		}
		return &handOverResponse{Result: handedOver}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// errBusy reports that a shard cannot be handed over at the moment.
var errBusy = errors.New("journal: the shard cannot be handed over at the moment")

// handOver lets the host finish, flushes the shard to the log, and releases it.
func (m *Manager) handOver(ctx context.Context, shard *ownedShard) error {
	if !shard.beginHandOver() {
		return fmt.Errorf("%w: shard %d", errBusy, shard.id)
	}
	closing, cancel := context.WithTimeout(ctx, m.config.ClosingTimeout)
	m.config.Host.PrepareHandOver(closing, shard)
	cancel()
	shard.seal()
	select {
	case <-shard.flushed:
	case <-shard.ctx.Done():
	case <-ctx.Done():
	}
	// The shard's context also ends with the release, so check flushed again.
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

// seal rejects further records and closes Lost; records enqueued before are flushed
// to the log.
func (s *ownedShard) seal() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.sealed || s.lossReason != nil {
		return
	}
	s.sealed = true
	close(s.lost)
	time.AfterFunc(s.manager.config.LogTimeout, s.stopAppends)
	signal(s.urgent)
	s.signalWriter()
}

// handleClaimNow starts claims of shards that another node released.
func (m *Manager) handleClaimNow(request *claimNowRequest) (peer.Message, error) {
	for _, shard := range request.Shards {
		if int(shard) < len(m.slots) {
			m.startClaim(shard)
		}
	}
	return &doneMessage{}, nil
}

// Drain performs a planned stop: it hands over all shards, notifies their next
// owners, and returns once no other owner has a lease at this node, or when ctx
// ends.
func (m *Manager) Drain(ctx context.Context) error {
	m.draining.Store(true)
	for len(m.owned()) > 0 {
		if err := m.drainOwned(ctx); err != nil {
			return m.abandonOwned(fmt.Errorf("journal: drain: %w", err))
		}
		if err := wait.For(ctx, drainRetryInterval); err != nil {
			return m.abandonOwned(fmt.Errorf("journal: drain: %w", err))
		}
	}
	return m.awaitReplicasReleased(ctx)
}

// drainRetryInterval is the delay before failed hand-overs are retried.
const drainRetryInterval = 20 * time.Millisecond

// drainOwned hands over all shards owned now. That requires the log: while it is
// unavailable, the shards are served until it recovers or ctx ends.
func (m *Manager) drainOwned(ctx context.Context) error {
	if err := m.health.await(ctx, false); err != nil {
		return fmt.Errorf("the log service is unavailable: %w", err)
	}
	group := errgroup.Group{}
	group.SetLimit(m.config.ConcurrentHandOvers)
	for _, shard := range m.owned() {
		group.Go(func() error { return m.drainShard(ctx, shard) })
	}
	return group.Wait()
}

func (m *Manager) drainShard(ctx context.Context, shard *ownedShard) error {
	if err := m.handOver(ctx, shard); err != nil {
		if errors.Is(err, ErrNotOwner) || errors.Is(err, errBusy) {
			return nil // taken over, or opened again because the log became unavailable
		}
		return err
	}
	m.notifyNextOwner(ctx, shard.id)
	return nil
}

// notifyNextOwner requests the node that should own the shard to claim it.
func (m *Manager) notifyNextOwner(ctx context.Context, shard identity.ShardID) {
	assignment, placed := m.desired(shard)
	if !placed || assignment.Owner.Reference() == m.config.Self.Reference() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.ReplicaTimeout)
	defer cancel()
	request := &claimNowRequest{Shards: []identity.ShardID{shard}}
	_, _ = m.config.Peers.Call(ctx, assignment.Owner.PeerAddress, request, nil) // best effort: its claim loop claims the shard anyway
}

// abandonOwned gives up the shards that could not be handed over. Their tails stay
// with the replicas, and their leases are released so that no claimant has to wait.
func (m *Manager) abandonOwned(reason error) error {
	for _, shard := range m.owned() {
		m.releaseLeases(shard)
		shard.lose(reason)
	}
	return reason
}

// releasePoll is the interval at which a draining node checks its replicas.
const releasePoll = 100 * time.Millisecond

// awaitReplicasReleased waits until this node grants no lease to another owner.
func (m *Manager) awaitReplicasReleased(ctx context.Context) error {
	for {
		needed := 0
		for i := range m.replicas {
			if holder, _, held := m.replicas[i].leaseHolder(time.Now()); held && holder.Name != m.config.Self.Name {
				needed++
			}
		}
		if needed == 0 {
			return nil
		}
		if err := wait.For(ctx, releasePoll); err != nil {
			return fmt.Errorf("journal: drain: still a replica of %d shards: %w", needed, err)
		}
	}
}

// isLeaving reports whether this incarnation of node is leaving according to view.
func isLeaving(view membership.View, node identity.Node) bool {
	return slices.ContainsFunc(view.Members, func(member membership.Member) bool {
		return member.Node.Reference() == node.Reference() && member.Status == membership.Leaving
	})
}

// isServing reports whether this incarnation of node is a usable replica according
// to view: a member that is not leaving.
func isServing(view membership.View, node identity.Node) bool {
	return slices.ContainsFunc(view.Members, func(member membership.Member) bool {
		return member.Node.Reference() == node.Reference() &&
			(member.Status == membership.Alive || member.Status == membership.Suspect)
	})
}
