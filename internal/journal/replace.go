package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/wait"
)

// replacement is a claim of the same owner on its way, with other replicas.
type replacement struct {
	replicas []identity.Node
	// ready is true once the replicas took the tail and granted the lease.
	ready bool
	// joint is true from the moment when records and the lease need both sets of
	// replicas: from before the claim is appended until it is activated, the log
	// may name either set to a claimant.
	joint bool
}

// exchangeReplicas begins to exchange the replicas for those that the shard should
// have now: they take the tail beside the present ones. The writer claims with them
// once they hold it, so that it goes on writing meanwhile.
func (s *ownedShard) exchangeReplicas() {
	replicas := s.manager.wantedReplicas(s.id, s.manager.view())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next != nil {
		s.kickWriter()
		return
	}
	if s.moving || s.gone != nil || s.arming > 0 || s.term > 0 || sameReplicas(replicas, s.claim.Replicas) || !s.mayExchange(replicas) {
		return
	}
	next := &replacement{replicas: replicas}
	s.next = next
	s.addLinks(replicas)
	s.kickLinks()
	s.manager.tasks.Go(func() { s.copyTail(next) })
}

// copyTail waits until the new replicas hold the tail, or gives them up.
func (s *ownedShard) copyTail(next *replacement) {
	err := s.awaitReplicas(next, s.manager.config.CopyTimeout)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.next != next:
	case err != nil:
		s.logger.Warn("replicas not replaced", "error", err)
		s.abandonReplicas()
	default:
		next.ready = true
		s.kickWriter()
	}
}

// takeReplacement returns the replicas that the writer is to claim with now, nil
// if there are none.
func (s *ownedShard) takeReplacement() *replacement {
	away := s.manager.health.isDown()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next == nil || !s.next.ready || s.moving || away {
		return nil
	}
	s.replacing = true
	return s.next
}

// replaceReplicas claims the shard again with next, while it goes on serving. An
// error tells that the shard is lost.
func (s *ownedShard) replaceReplicas(stream *stream, next *replacement) error {
	err := s.claimAgain(stream, next)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replacing = false
	if !errors.Is(err, errNotCopied) {
		return err
	}
	s.logger.Warn("replicas not replaced", "error", err)
	s.abandonReplicas()
	return nil
}

// beginMove starts a planned stop unless the writer claims with other replicas:
// that must not be cut short, because the log may name either set meanwhile.
func (s *ownedShard) beginMove() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.replacing || s.moving || s.gone != nil || s.arming > 0 || !s.settled || s.claiming {
		return false
	}
	s.moving = true
	if s.next != nil {
		s.abandonReplicas()
	}
	return true
}

// mayExchange tells whether the owner may let its replicas go for others. Without
// the consent of the present ones it may not go down to fewer: a node that is cut
// off from its peers but not from the log would else take the shard along where
// nobody can follow. The caller holds mutex.
func (s *ownedShard) mayExchange(replicas []identity.Node) bool {
	if len(replicas) == 0 {
		return false
	}
	present := s.claim.Replicas
	consent := 0
	for _, replica := range present {
		link := s.links[replica.Reference()]
		if link != nil && (link.gone || time.Since(link.granted) < s.manager.config.Lease.Duration) {
			consent++
		}
	}
	return len(replicas) >= len(present) || consent >= ReadQuorum(len(present))
}

// wantedReplicas returns where the tail of shard should be while this node owns
// it, by view.
func (m *Manager) wantedReplicas(shard identity.ShardID, view membership.View) []identity.Node {
	assignment, placed := m.config.Desired(shard, m.reachable(view))
	if !placed {
		return nil
	}
	replicas := slices.Clone(assignment.Replicas)
	self := m.config.Self.Reference()
	if assignment.Owner.Reference() == self || slices.ContainsFunc(replicas, func(n identity.Node) bool {
		return n.Reference() == assignment.Owner.Reference()
	}) {
		return replicas
	}
	// Another node should own the shard: it takes this node's place in the set.
	for i := range replicas {
		if replicas[i].Reference() == self {
			replicas[i] = assignment.Owner
		}
	}
	return replicas
}

func sameReplicas(a, b []identity.Node) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(node identity.Node) bool { return !holdsLife(b, node) })
}

func holdsLife(nodes []identity.Node, node identity.Node) bool {
	return slices.ContainsFunc(nodes, func(other identity.Node) bool {
		return other.Reference() == node.Reference()
	})
}

// errNotCopied tells that the new replicas could not be brought up to date.
var errNotCopied = errors.New("journal: tail not copied to the new replicas")

// claimAgain claims the next epoch for this owner with the replicas of next. The
// shard serves on meanwhile, since nobody else can have been activated in between:
// records and lease need both sets of replicas from here on, the claim and its
// activation go to the log, and then the old replicas are let go.
func (s *ownedShard) claimAgain(stream *stream, next *replacement) error {
	defer s.forbidArming()()
	if err := s.awaitSettled(); err != nil {
		return err
	}
	s.mutex.Lock()
	next.joint = true
	s.updateLease()
	s.mutex.Unlock()
	if err := s.awaitReplicas(next, s.manager.config.Lease.Duration); err != nil {
		return err
	}
	for attempt := 0; ; attempt++ {
		done, err := s.appendClaimAgain(stream, next.replicas)
		if done || err != nil {
			return err
		}
		if err := wait.For(s.ctx, s.manager.random.duration(counterClaimPause<<min(attempt, 4))); err != nil {
			return err
		}
	}
}

// copyPoll is the time between two looks at how far the new replicas got.
const copyPoll = 20 * time.Millisecond

// awaitReplicas waits until the replicas of next hold all that is enqueued so far,
// and their lease runs.
func (s *ownedShard) awaitReplicas(next *replacement, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	s.mutex.Lock()
	goal := s.tail.Last()
	s.mutex.Unlock()
	for {
		done, err := s.replicasReady(next, goal)
		if done || err != nil {
			return err
		}
		if err := wait.For(ctx, copyPoll); err != nil {
			return fmt.Errorf("%w: %w", errNotCopied, err)
		}
	}
}

func (s *ownedShard) replicasReady(next *replacement, goal uint64) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next != next {
		return false, fmt.Errorf("%w: given up", errNotCopied)
	}
	s.kickLinks()
	held := max(reached(s.matches(next.replicas)), s.logged)
	return held >= goal && s.leaseOf(next.replicas).After(time.Now()), nil
}

// abandonReplicas gives up an exchange whose claim was not appended. The caller
// holds mutex.
func (s *ownedShard) abandonReplicas() {
	s.next = nil
	s.updateLease()
	s.advance()
	s.dropLinks()
}

// appendClaimAgain appends the claim and, once it was read back as valid, its
// activation. It returns false where a claim of another node came in between that
// is not activated.
func (s *ownedShard) appendClaimAgain(stream *stream, replicas []identity.Node) (bool, error) {
	claim := Claim{
		Epoch: stream.ledger.Current().Epoch + 1, TailFrom: s.claim.TailFrom,
		Owner: s.manager.config.Self, Replicas: replicas,
	}
	record := &Record{
		Kind: ClaimRecord, ID: s.manager.random.recordID(), Shard: s.id,
		Epoch: claim.Epoch, Index: stream.ledger.Index(), Claim: claim,
	}
	activation := &Record{
		Kind: ActivatedRecord, ID: s.manager.random.recordID(), Shard: s.id,
		Epoch: claim.Epoch, Index: stream.ledger.Index(), Owner: claim.Owner.Reference(),
	}
	verdict, err := stream.append(s.ctx, true, record, activation)
	if err != nil {
		return false, err
	}
	active := stream.ledger.Active()
	if verdict == Valid && active.Epoch == claim.Epoch && active.Owner.Reference() == claim.Owner.Reference() {
		s.switchClaim(active)
		return true, nil
	}
	if active.Epoch != s.claim.Epoch {
		return false, fmt.Errorf("%w: epoch %d of %s", errTakenOver, active.Epoch, active.Owner.Name)
	}
	return false, nil
}

// switchClaim serves on under the new claim.
func (s *ownedShard) switchClaim(claim Claim) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.claim, s.next = claim, nil
	s.epoch.Store(uint64(claim.Epoch))
	s.dropLinks()
	s.updateLease()
	s.advance()
	s.kickLinks()
	s.manager.counters.replacements.Add(1)
	s.logger.Info("replicas replaced", "epoch", uint64(claim.Epoch))
}
