package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wait"
)

// errInterimOver is why an interim ownership ends: the log is back.
var errInterimOver = errors.New("journal: the log is back")

// takeShard takes the shard over by a claim in the log or, while the log is away,
// as its interim owner.
func (m *Manager) takeShard(ctx context.Context, shard identity.ShardID) error {
	if m.logAway() {
		return m.claimInterim(ctx, shard)
	}
	return m.claim(ctx, shard)
}

// claimInterim takes a shard over whose owner died while the log is away. Epoch
// and replicas stay those of the claim in the log; a term ranks the owners in it.
// A write quorum of the replicas must have leave for that from the owner, hold a
// whole state, and promise: the owner and all lower terms are fenced from then on,
// and any claim in the log ranks above all terms.
func (m *Manager) claimInterim(ctx context.Context, shard identity.ShardID) error {
	ctx, cancel := context.WithTimeout(ctx, m.config.ClaimTimeout)
	defer cancel()
	c := &claimant{manager: m, shard: shard, machine: m.config.Host.NewStateMachine(shard)}
	claim, err := c.findArmed(ctx)
	if err != nil {
		return err
	}
	term, err := c.preVoteInterim(ctx, claim)
	if err != nil {
		return err
	}
	answers := c.ask(claim, func(node identity.Node) (answer, error) {
		return c.askPromise(ctx, node, &promiseMessage{
			Epoch: claim.Epoch, Term: term, Claimant: m.config.Self.Reference(),
		}, claim)
	})
	promised := 0
	for _, answer := range answers {
		if answer.held {
			promised++
		}
	}
	if promised < WriteQuorum(len(claim.Replicas)) {
		return fmt.Errorf("%w: %d of %d promised term %d", errNoQuorum, promised, len(claim.Replicas), term)
	}
	tail, remaining := newestTail(answers)
	if !tail.Folded {
		return errTailGap
	}
	if err := wait.For(ctx, remaining); err != nil {
		return err
	}
	if err := c.fold(Step{Restored: true, State: tail.State, Entries: tail.Entries}); err != nil {
		return err
	}
	return m.openInterim(c, claim, term, tail)
}

// askVote asks one replica what it would promise.
func (c *claimant) askVote(ctx context.Context, node identity.Node) (answer, error) {
	message, err := c.manager.call(ctx, node, &preVoteMessage{To: node.Reference(), Shard: c.shard}, nil)
	if err != nil {
		return answer{}, err
	}
	vote, fits := message.(*preVoteAnswer)
	if !fits {
		return answer{}, errUnexpectedAnswer
	}
	return answer{gone: vote.OtherLife, remaining: vote.Remaining, vote: vote}, nil
}

// findArmed returns the claim under which a replica would promise an interim
// ownership. It asks where the tail should be, and where it was when the log was
// last read.
func (c *claimant) findArmed(ctx context.Context) (Claim, error) {
	m := c.manager
	slot := &m.slots[c.shard]
	slot.mutex.Lock()
	likely := Claim{Replicas: append([]identity.Node{m.config.Self}, slot.known.Replicas...)}
	slot.mutex.Unlock()
	if assignment, placed := m.desired(c.shard); placed {
		for _, replica := range assignment.Replicas {
			if !holdsLife(likely.Replicas, replica) {
				likely.Replicas = append(likely.Replicas, replica)
			}
		}
	}
	var newest Claim
	for _, answer := range c.ask(likely, func(node identity.Node) (answer, error) { return c.askVote(ctx, node) }) {
		if answer.vote != nil && answer.vote.Armed && answer.vote.Claim.Epoch > newest.Epoch {
			newest = answer.vote.Claim
		}
	}
	if newest.Epoch == 0 {
		return Claim{}, fmt.Errorf("%w: none holds a whole state while the log is away", errNoQuorum)
	}
	return newest, nil
}

// preVoteInterim returns the term to ask for, once a write quorum of the replicas
// would promise it and grants nobody a lease.
func (c *claimant) preVoteInterim(ctx context.Context, claim Claim) (uint64, error) {
	var term uint64
	var remaining time.Duration
	willing := 0
	for _, answer := range c.ask(claim, func(node identity.Node) (answer, error) { return c.askVote(ctx, node) }) {
		vote := answer.vote
		if vote == nil || !vote.Armed || vote.Claim.Epoch != claim.Epoch {
			continue
		}
		term = max(term, vote.Term)
		remaining = max(remaining, vote.Remaining)
		willing++
	}
	if willing < WriteQuorum(len(claim.Replicas)) {
		return 0, fmt.Errorf("%w: %d of %d hold a whole state", errNoQuorum, willing, len(claim.Replicas))
	}
	if remaining > 0 {
		return 0, &leaseRunsError{former: claim, remaining: remaining}
	}
	return term + 1, nil
}

// openInterim serves the shard once a write quorum holds what was recovered, since
// the next owner must find all that an answer was built on.
func (m *Manager) openInterim(c *claimant, claim Claim, term uint64, tail Tail) error {
	claim.Owner = m.config.Self
	shard := m.newOwnedShard(c.shard, claim, tail.After, c.machine)
	shard.term, shard.tail = term, tail
	shard.arming, shard.settled = m.armings.Add(1), false
	shard.committed, shard.logged = 0, 0
	slot := &m.slots[c.shard]
	slot.mutex.Lock()
	slot.owned = shard
	slot.mutex.Unlock()
	m.renew(m.running, []*ownedShard{shard})
	m.tasks.Go(shard.awaitLog)
	shard.mutex.Lock()
	shard.kickLinks()
	shard.mutex.Unlock()
	if err := shard.awaitHeld(tail.Last()); err != nil {
		return err
	}
	if err := shard.awaitLease(m.running); err != nil {
		return err
	}
	m.counters.interims.Add(1)
	shard.logger.Warn("shard opened without the log", "epoch", uint64(claim.Epoch), "term", term)
	m.config.Host.Opened(shard, c.machine)
	return nil
}

// awaitHeld waits until a write quorum holds all up to index.
func (s *ownedShard) awaitHeld(index uint64) error {
	for {
		s.mutex.Lock()
		held, gone := s.heldByQuorum(), s.gone
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

// awaitLog is the writer of an interim owner: it writes nothing, and steps down
// when the log is back, so that a claim there recovers its tail like any other.
func (s *ownedShard) awaitLog() {
	for {
		select {
		case <-s.wakeWriter:
		case <-s.ctx.Done():
			return
		}
		if s.takeContest() && s.isFenced() {
			s.lose(errFenced)
			return
		}
		if !s.manager.health.isDown() {
			s.stepDown()
			return
		}
	}
}

// stepDown ends an interim ownership and lets the next owner claim at once.
func (s *ownedShard) stepDown() {
	m := s.manager
	s.lose(errInterimOver)
	m.releaseLeases(s)
	m.tasks.Go(func() { m.tellNext(m.running, s.id) })
}
