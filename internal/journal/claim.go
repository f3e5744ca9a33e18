package journal

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/wait"
)

// Reasons why a claim is not made, or not valid.
var (
	errOwnedElsewhere = errors.New("journal: another node owns the shard")
	errLostRace       = errors.New("journal: superseded by another claim")
	errNoQuorum       = errors.New("journal: too few of the former replicas answer")
	errNotDesired     = errors.New("journal: this node is not the desired owner of the shard")
	errRivalClaim     = errors.New("journal: another node is claiming the shard")
	errNoNodes        = errors.New("journal: no live node for a replica")
)

// leaseRunsError reports that a claim must wait: the former owner's lease may still
// be valid for remaining at too many of its replicas.
type leaseRunsError struct {
	former    Claim
	remaining time.Duration
}

// Error returns the former owner and the remaining time.
func (e *leaseRunsError) Error() string {
	return fmt.Sprintf("journal: the lease of epoch %d of %s may still be valid for %v",
		e.former.Epoch, e.former.Owner.Name, e.remaining)
}

// claimant is one attempt to claim one shard.
type claimant struct {
	manager *Manager
	shard   identity.ShardID
	// machine is built from the records read; it becomes the new owner's state.
	machine StateMachine
	stream  *stream
	// former is the claim that was active before.
	former Claim
}

// claim takes the shard over: it reads the log, verifies that the former owner is
// not active any more, appends a claim and reads it back, recovers the tail from
// the former replicas, and opens the shard.
func (m *Manager) claim(ctx context.Context, shard identity.ShardID) error {
	ctx, cancel := context.WithTimeout(ctx, m.config.ClaimTimeout)
	defer cancel()
	c := &claimant{manager: m, shard: shard, machine: m.config.Host.NewStateMachine(shard)}
	stream, err := m.openStream(ctx, shard, c.apply)
	if err != nil {
		return err
	}
	c.stream = stream
	m.recordClaim(shard, stream.ledger)
	if err := c.checkPredecessor(ctx); err != nil {
		return err
	}
	c.former = stream.ledger.Active()
	claim, err := c.appendClaim(ctx)
	if err != nil {
		return err
	}
	m.recordClaim(shard, stream.ledger)
	if stream.ledger.Active().Epoch != claim.Epoch {
		if err := c.recover(ctx, claim); err != nil {
			return err
		}
	}
	return m.open(c, claim)
}

// apply applies the effect of one log record to the machine.
func (c *claimant) apply(step Effect) error {
	if step.Restore {
		c.machine = c.manager.config.Host.NewStateMachine(c.shard)
		if err := c.machine.Restore(step.State); err != nil {
			return fmt.Errorf("restore: %w", err)
		}
	}
	for _, entry := range step.Entries {
		if err := c.machine.Apply(entry); err != nil {
			return fmt.Errorf("apply: %w", err)
		}
	}
	return nil
}

// checkPredecessor returns nil once no other owner can be active: the shard was
// never owned, or was released, or a quorum of its replicas reports that the lease
// expired. A live owner is requested to hand the shard over.
func (c *claimant) checkPredecessor(ctx context.Context) error {
	ledger := c.stream.ledger
	if err := c.yieldToRival(); err != nil {
		return err
	}
	active := ledger.Active()
	if active.Epoch == 0 || ledger.Released() {
		return nil
	}
	self := c.manager.config.Self.Reference()
	if active.Owner.Reference() != self && c.manager.isAlive(active.Owner) {
		if err := c.requestHandOver(ctx, active); err != nil {
			return err
		}
		if ledger.Released() {
			return nil
		}
	}
	return c.preVote(ctx, active)
}

// yieldToRival returns errRivalClaim for a while if a live node has a claim that is
// not yet activated, so that it can complete its claim.
func (c *claimant) yieldToRival() error {
	m, ledger := c.manager, c.stream.ledger
	current := ledger.Current()
	if current.Epoch == ledger.Active().Epoch || current.Owner.Name == m.config.Self.Name || !m.isAlive(current.Owner) {
		return nil
	}
	slot := &m.slots[c.shard]
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	if slot.rival != current.Epoch {
		slot.rival, slot.rivalSeen = current.Epoch, time.Now()
	}
	if time.Since(slot.rivalSeen) < m.config.Lease.ReplicaDuration() {
		return errRivalClaim
	}
	return nil
}

// isAlive reports whether this incarnation of node is live according to the
// membership view.
func (m *Manager) isAlive(node identity.Node) bool {
	return slices.ContainsFunc(m.config.Members.Load().Members, func(member membership.Member) bool {
		return member.Node.Reference() == node.Reference() && member.Status != membership.Dead
	})
}

// preVote queries the replicas of the active claim whether the owner's lease
// expired. A node that is partitioned from them gets no responses, and so does not
// claim a shard that it could not recover.
func (c *claimant) preVote(ctx context.Context, active Claim) error {
	answers := c.queryReplicas(active, func(node identity.Node) (replicaResponse, error) { return c.requestVote(ctx, node) })
	lapsed := responseCount{replicas: len(active.Replicas)}
	for _, answer := range answers {
		switch {
		case answer.remaining > 0:
		case answer.restarted:
			lapsed.restarted++
		default:
			lapsed.answered++
		}
	}
	if lapsed.complete() {
		return nil
	}
	quorum := ReadQuorum(len(active.Replicas))
	if len(answers) < quorum {
		return errNoQuorum
	}
	slices.SortFunc(answers, func(a, b replicaResponse) int { return cmp.Compare(a.remaining, b.remaining) })
	return &leaseRunsError{former: active, remaining: answers[quorum-1].remaining}
}

// replicaResponse is what one replica reports to a claimant.
type replicaResponse struct {
	restarted bool
	remaining time.Duration
	fenced    bool
	tail      Tail
	hasTail   bool
	// term is that of the tail's writer; vote is the full response to a pre-vote.
	term uint64
	vote *preVoteResponse
}

// queryReplicas sends a query to all replicas of a claim concurrently and returns
// the responses. A replica whose name is now used by a higher incarnation counts as
// restarted even if it is unreachable.
func (c *claimant) queryReplicas(claim Claim, question func(node identity.Node) (replicaResponse, error)) []replicaResponse {
	var mutex sync.Mutex
	var group sync.WaitGroup
	var answers []replicaResponse
	for _, replica := range claim.Replicas {
		group.Go(func() {
			given, err := question(replica)
			if err != nil {
				// After this delay no lease of the former incarnation is valid.
				if !c.manager.reachability.hasNewerIncarnation(replica.Reference(), c.manager.config.Lease.ReplicaDuration()) {
					return
				}
				given = replicaResponse{restarted: true}
			}
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, given)
		})
	}
	group.Wait()
	return answers
}

// appendClaim claims the next epoch and returns the claim if it is valid when read
// back. If no tail has to be recovered, the activation is in the same append.
func (c *claimant) appendClaim(ctx context.Context) (Claim, error) {
	m, ledger := c.manager, c.stream.ledger
	replicas := m.wantedReplicas(c.shard, m.view())
	if len(replicas) == 0 {
		return Claim{}, errNoNodes
	}
	epoch := ledger.Current().Epoch + 1
	claim := Claim{Epoch: epoch, TailFrom: epoch, Owner: m.config.Self, Replicas: replicas}
	records := []*Record{{
		Kind: ClaimRecord, ID: m.random.recordID(), Shard: c.shard,
		Epoch: epoch, Index: ledger.Index(), Claim: claim,
	}}
	if ledger.Active().Epoch == 0 || ledger.Released() {
		records = append(records, c.activation(claim))
	}
	verdict, err := c.stream.append(ctx, false, records...)
	if err != nil {
		return Claim{}, err
	}
	current := ledger.Current()
	if verdict != Valid || current.Epoch != epoch || current.Owner.Reference() != m.config.Self.Reference() {
		return Claim{}, fmt.Errorf("%w: epoch %d of %s", errLostRace, current.Epoch, current.Owner.Name)
	}
	return current, nil
}

func (c *claimant) activation(claim Claim) *Record {
	return &Record{
		Kind: ActivatedRecord, ID: c.manager.random.recordID(), Shard: c.shard,
		Epoch: claim.Epoch, Index: c.stream.ledger.Index(), Owner: claim.Owner.Reference(),
	}
}

// open serves the shard: it acquires the lease and notifies the host. The claim is
// in the log by now, so the wait for the lease has no timeout: if replicas turn out
// to be dead, sweepLoop replaces them.
func (m *Manager) open(c *claimant, claim Claim) error {
	shard := m.newOwnedShard(c.shard, claim, c.stream.ledger.Index(), c.machine)
	c.stream.onEffect = nil
	slot := &m.slots[c.shard]
	slot.mutex.Lock()
	slot.owned = shard
	slot.latestClaim = claim
	slot.mutex.Unlock()
	m.renew(m.running, []*ownedShard{shard})
	m.tasks.Go(func() { shard.write(c.stream) })
	if err := shard.awaitLease(m.running); err != nil {
		return err
	}
	m.dropFormerReplicas(c, claim)
	m.counters.claims.Add(1)
	shard.logger.Info("shard opened", "epoch", uint64(claim.Epoch), "index", c.stream.ledger.Index())
	m.config.Host.ShardOpened(shard, c.machine)
	return nil
}

// awaitLease waits until the lease is granted for the first time.
func (s *ownedShard) awaitLease(ctx context.Context) error {
	for {
		err := s.CheckLease()
		if !errors.Is(err, ErrLeaseExpired) {
			return err
		}
		if wait.For(ctx, leasePoll) != nil {
			return err
		}
	}
}

// leasePoll is the interval of polls for the first grant of a lease and for
// replicated records.
const leasePoll = time.Millisecond

// dropFormerReplicas makes former replicas drop a tail that is now in the log.
func (m *Manager) dropFormerReplicas(c *claimant, claim Claim) {
	for _, replica := range c.former.Replicas {
		if !containsIncarnation(claim.Replicas, replica) {
			m.dropReplica(replica, c.shard, claim.Epoch)
		}
	}
}
