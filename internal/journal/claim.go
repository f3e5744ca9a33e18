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

// The reasons why a claim is not made or does not hold.
var (
	errHeldElsewhere = errors.New("journal: another node holds the shard")
	errLostRace      = errors.New("journal: another claim came first")
	errNoQuorum      = errors.New("journal: too few of the former replicas answer")
	errNotDesired    = errors.New("journal: this node should not own the shard")
	errClaimUnderWay = errors.New("journal: another node is claiming the shard")
	errNoNodes       = errors.New("journal: no live node to hold the tail")
)

// leaseRunsError tells that the former owner's lease may still run at so many of
// its replicas that a claim must wait for remaining.
type leaseRunsError struct {
	former    Claim
	remaining time.Duration
}

// Error names the owner and how long to wait.
func (e *leaseRunsError) Error() string {
	return fmt.Sprintf("journal: the lease of epoch %d of %s may still run for %v",
		e.former.Epoch, e.former.Owner.Name, e.remaining)
}

// claimant is one try to claim one shard.
type claimant struct {
	manager *Manager
	shard   identity.ShardID
	// machine is the fold of what was read, the next owner's state in the end.
	machine StateMachine
	stream  *stream
	// former is the claim that was active before.
	former Claim
}

// claim takes the shard over: it reads the log, makes sure that the former owner
// is gone, appends its claim, reads it back, recovers the tail from the former
// replicas, and opens the shard.
func (m *Manager) claim(ctx context.Context, shard identity.ShardID) error {
	ctx, cancel := context.WithTimeout(ctx, m.config.ClaimTimeout)
	defer cancel()
	c := &claimant{manager: m, shard: shard, machine: m.config.Host.NewStateMachine(shard)}
	stream, err := m.openStream(ctx, shard, c.fold)
	if err != nil {
		return err
	}
	c.stream = stream
	m.noteClaim(shard, stream.ledger)
	if err := c.clearTheWay(ctx); err != nil {
		return err
	}
	c.former = stream.ledger.Active()
	claim, err := c.appendClaim(ctx)
	if err != nil {
		return err
	}
	m.noteClaim(shard, stream.ledger)
	if stream.ledger.Active().Epoch != claim.Epoch {
		if err := c.recover(ctx, claim); err != nil {
			return err
		}
	}
	return m.open(c, claim)
}

// fold applies one log record to the machine.
func (c *claimant) fold(step Step) error {
	if step.Restored {
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

// clearTheWay returns nil once no owner stands in the way: the shard was never
// owned, or was released, or its replicas agree that the lease ran out. A live
// owner is asked to hand over.
func (c *claimant) clearTheWay(ctx context.Context) error {
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
		if err := c.askHandOver(ctx, active); err != nil {
			return err
		}
		if ledger.Released() {
			return nil
		}
	}
	return c.preVote(ctx, active)
}

// yieldToRival leaves another node some time to finish a claim it made.
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
	if time.Since(slot.rivalSeen) < m.config.Lease.Hold() {
		return errClaimUnderWay
	}
	return nil
}

// isAlive tells whether this life of node is live by the members' view.
func (m *Manager) isAlive(node identity.Node) bool {
	return slices.ContainsFunc(m.config.Members.Load().Members, func(member membership.Member) bool {
		return member.Node.Reference() == node.Reference() && member.Status != membership.Dead
	})
}

// preVote asks the replicas of the active claim whether the owner's lease ran
// out. A node that is cut off from them learns nothing, and so does not claim
// what it could not recover.
func (c *claimant) preVote(ctx context.Context, active Claim) error {
	answers := c.ask(active, func(node identity.Node) (answer, error) { return c.askVote(ctx, node) })
	lapsed := survey{count: len(active.Replicas)}
	for _, answer := range answers {
		switch {
		case answer.remaining > 0:
		case answer.gone:
			lapsed.gone++
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
	slices.SortFunc(answers, func(a, b answer) int { return cmp.Compare(a.remaining, b.remaining) })
	return &leaseRunsError{former: active, remaining: answers[quorum-1].remaining}
}

// answer is what one replica told a claimant.
type answer struct {
	gone      bool
	remaining time.Duration
	refused   bool
	tail      Tail
	held      bool
	// term is that of the tail's writer; vote is the whole answer to a pre-vote.
	term uint64
	vote *preVoteAnswer
}

// ask puts one question to all replicas of a claim at the same time and returns
// the answers of those that answer. A replica whose name lives on with a higher
// incarnation counts as gone even if it cannot be reached.
func (c *claimant) ask(claim Claim, question func(node identity.Node) (answer, error)) []answer {
	var mutex sync.Mutex
	var group sync.WaitGroup
	var answers []answer
	for _, replica := range claim.Replicas {
		group.Go(func() {
			given, err := question(replica)
			if err != nil {
				// No lease of the former life runs any more by then.
				if !c.manager.reach.replaced(replica.Reference(), c.manager.config.Lease.Hold()) {
					return
				}
				given = answer{gone: true}
			}
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, given)
		})
	}
	group.Wait()
	return answers
}

// appendClaim claims the next epoch and reads back whether it holds. Where no
// tail is to be recovered, the activation goes in the same append.
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

// turn out to be dead, the sweep exchanges them.
func (m *Manager) open(c *claimant, claim Claim) error {
	shard := m.newOwnedShard(c.shard, claim, c.stream.ledger.Index(), c.machine)
	c.stream.onStep = nil
	slot := &m.slots[c.shard]
	slot.mutex.Lock()
	slot.owned = shard
	slot.known = claim
	slot.mutex.Unlock()
	m.renew(m.running, []*ownedShard{shard})
	m.tasks.Go(func() { shard.write(c.stream) })
	if err := shard.awaitLease(m.running); err != nil {
		return err
	}
	m.dropFormer(c, claim)
	m.counters.claims.Add(1)
	shard.logger.Info("shard opened", "epoch", uint64(claim.Epoch), "index", c.stream.ledger.Index())
	m.config.Host.Opened(shard, c.machine)
	return nil
}

// awaitLease waits for the first grant of the lease.
func (s *ownedShard) awaitLease(ctx context.Context) error {
	for {
		err := s.CheckLease()
		if !errors.Is(err, ErrLeaseLapsed) {
			return err
		}
		if wait.For(ctx, leasePoll) != nil {
			return err
		}
	}
}

// leasePoll is the time between two looks for the first grant of a lease.
const leasePoll = time.Millisecond

// dropFormer lets the former replicas forget a tail that the log holds now.
func (m *Manager) dropFormer(c *claimant, claim Claim) {
	for _, replica := range c.former.Replicas {
		if !holdsLife(claim.Replicas, replica) {
			m.dropReplica(replica, c.shard, claim.Epoch)
		}
	}
}
