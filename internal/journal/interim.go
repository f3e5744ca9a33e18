package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wait"
)

// errLogRecovered ends an interim ownership once the log is available.
var errLogRecovered = errors.New("journal: the log is available again")

// acquireShard takes the shard over by a claim in the log or, during an outage of
// the log, as its interim owner.
func (m *Manager) acquireShard(ctx context.Context, shard identity.ShardID) error {
	if m.interimAllowed() {
		return m.claimInterim(ctx, shard)
	}
	return m.claim(ctx, shard)
}

// claimInterim takes over a shard whose owner died while the log is unavailable.
// Epoch and replicas stay those of the claim in the log; terms order the owners
// within the epoch. A write quorum of the replicas must have a full state with the
// owner's authorization, and must promise the term. They then reject the owner and
// all lower terms. Any later claim in the log supersedes all terms.
func (m *Manager) claimInterim(ctx context.Context, shard identity.ShardID) error {
	ctx, cancel := context.WithTimeout(ctx, m.config.ClaimTimeout)
	defer cancel()
	c := &claimant{manager: m, shard: shard, machine: m.config.Host.NewStateMachine(shard)}
	claim, err := c.findAuthorization(ctx)
	if err != nil {
		return err
	}
	term, err := c.preVoteInterim(ctx, claim)
	if err != nil {
		return err
	}
	answers := c.queryReplicas(claim, func(node identity.Node) (replicaResponse, error) {
		return c.requestPromise(ctx, node, &promiseRequest{
			Epoch: claim.Epoch, Term: term, Claimant: m.config.Self.Reference(),
		}, claim)
	})
	promised := 0
	for _, answer := range answers {
		if answer.hasTail {
			promised++
		}
	}
	if promised < WriteQuorum(len(claim.Replicas)) {
		return fmt.Errorf("%w: %d of %d promised term %d", errNoQuorum, promised, len(claim.Replicas), term)
	}
	tail, remaining := newestTail(answers)
	if !tail.Compacted {
		return errTailGap
	}
	if err := wait.For(ctx, remaining); err != nil {
		return err
	}
	if err := c.apply(Effect{Restore: true, State: tail.State, Entries: tail.Entries}); err != nil {
		return err
	}
	return m.openInterim(c, claim, term, tail)
}

// requestVote queries one replica for what it would promise.
func (c *claimant) requestVote(ctx context.Context, node identity.Node) (replicaResponse, error) {
	message, err := c.manager.call(ctx, node, &preVoteRequest{To: node.Reference(), Shard: c.shard}, nil)
	if err != nil {
		return replicaResponse{}, err
	}
	vote, fits := message.(*preVoteResponse)
	if !fits {
		return replicaResponse{}, errUnexpectedResponse
	}
	return replicaResponse{restarted: vote.OtherIncarnation, remaining: vote.Remaining, vote: vote}, nil
}

// findAuthorization returns the newest claim for which a replica would promise an
// interim takeover. It queries the desired replicas and those of the claim last
// read from the log.
func (c *claimant) findAuthorization(ctx context.Context) (Claim, error) {
	m := c.manager
	slot := &m.slots[c.shard]
	slot.mutex.Lock()
	likely := Claim{Replicas: append([]identity.Node{m.config.Self}, slot.latestClaim.Replicas...)}
	slot.mutex.Unlock()
	if assignment, placed := m.desired(c.shard); placed {
		for _, replica := range assignment.Replicas {
			if !containsIncarnation(likely.Replicas, replica) {
				likely.Replicas = append(likely.Replicas, replica)
			}
		}
	}
	var newest Claim
	for _, answer := range c.queryReplicas(likely, func(node identity.Node) (replicaResponse, error) { return c.requestVote(ctx, node) }) {
		if answer.vote != nil && answer.vote.Authorized && answer.vote.Claim.Epoch > newest.Epoch {
			newest = answer.vote.Claim
		}
	}
	if newest.Epoch == 0 {
		return Claim{}, fmt.Errorf("%w: no replica has an authorized full state while the log is unavailable", errNoQuorum)
	}
	return newest, nil
}

// preVoteInterim returns the term to request, once a write quorum of the replicas
// would promise it and none of these has granted a lease that is still valid.
func (c *claimant) preVoteInterim(ctx context.Context, claim Claim) (uint64, error) {
	var term uint64
	var remaining time.Duration
	willing := 0
	for _, answer := range c.queryReplicas(claim, func(node identity.Node) (replicaResponse, error) { return c.requestVote(ctx, node) }) {
		vote := answer.vote
		if vote == nil || !vote.Authorized || vote.Claim.Epoch != claim.Epoch {
			continue
		}
		term = max(term, vote.Term)
		remaining = max(remaining, vote.Remaining)
		willing++
	}
	if willing < WriteQuorum(len(claim.Replicas)) {
		return 0, fmt.Errorf("%w: %d of %d have an authorized full state", errNoQuorum, willing, len(claim.Replicas))
	}
	if remaining > 0 {
		return 0, &leaseRunsError{former: claim, remaining: remaining}
	}
	return term + 1, nil
}

// openInterim serves the shard once a write quorum has the recovered tail, since
// the next owner must find every record that a response was based on.
func (m *Manager) openInterim(c *claimant, claim Claim, term uint64, tail Tail) error {
	claim.Owner = m.config.Self
	shard := m.newOwnedShard(c.shard, claim, tail.After, c.machine)
	shard.term, shard.tail = term, tail
	shard.authorization, shard.revocationConfirmed = m.authorizations.Add(1), false
	shard.committed, shard.logged = 0, 0
	slot := &m.slots[c.shard]
	slot.mutex.Lock()
	slot.owned = shard
	slot.mutex.Unlock()
	m.renew(m.running, []*ownedShard{shard})
	m.tasks.Go(shard.awaitLogRecovery)
	shard.mutex.Lock()
	shard.startSenders()
	shard.mutex.Unlock()
	if err := shard.awaitReplicated(tail.Last()); err != nil {
		return err
	}
	if err := shard.awaitLease(m.running); err != nil {
		return err
	}
	m.counters.interims.Add(1)
	shard.logger.Warn("shard opened without the log", "epoch", uint64(claim.Epoch), "term", term)
	m.config.Host.ShardOpened(shard, c.machine)
	return nil
}

// awaitReplicated waits until a write quorum has all records up to index.
func (s *ownedShard) awaitReplicated(index uint64) error {
	for {
		s.mutex.Lock()
		held, gone := s.replicatedByQuorum(), s.lossReason
		s.mutex.Unlock()
		if gone != nil {
			return gone
		}
		if held >= index {
			return nil
		}
		if err := wait.For(s.ctx, leasePoll); err != nil {
			return err
		}
	}
}

// awaitLogRecovery is the writer of an interim owner: it appends nothing, and steps
// down once the log is available, so that a claim in the log recovers its tail like
// any other.
func (s *ownedShard) awaitLogRecovery() {
	for {
		select {
		case <-s.wakeWriter:
		case <-s.ctx.Done():
			return
		}
		if s.takeContested() && s.isFenced() {
			s.lose(errFenced)
			return
		}
		if !s.manager.health.isDown() {
			s.stepDown()
			return
		}
	}
}

// stepDown ends an interim ownership and notifies the next owner, which can claim
// at once.
func (s *ownedShard) stepDown() {
	m := s.manager
	s.lose(errLogRecovered)
	m.releaseLeases(s)
	m.tasks.Go(func() { m.notifyNextOwner(m.running, s.id) })
}
