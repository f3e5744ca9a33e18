package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// replacement is a claim of the same owner on its way, with other replicas.
type replacement struct {
	claim Claim
	// joint is true from the moment when records and the lease need both sets of
	// replicas: from before the claim is appended until it is activated, the log
	// may name either set to a claimant.
	joint bool
}

// takeReplacementWish tells whether replicas are to be exchanged.
func (s *ownedShard) takeReplacementWish() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	wanted := s.wantReplicas && !s.moving
	s.wantReplicas = false
	s.replacing = wanted
	return wanted
}

func (s *ownedShard) endReplacement() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replacing = false
}

// beginMove starts a planned stop unless replicas are being exchanged: that must
// not be cut short, because the log may name either set meanwhile.
func (s *ownedShard) beginMove() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.replacing || s.moving || s.gone != nil {
		return false
	}
	s.moving = true
	return true
}

// replaceReplicas claims the shard again with the replicas that it should have
// now, while it goes on serving. An error tells that the shard is lost.
func (s *ownedShard) replaceReplicas(stream *stream) error {
	if s.manager.health.isDown() {
		return nil // the claim needs the log; sweepLoop asks again
	}
	replicas := s.manager.wantedReplicas(s.id, s.manager.view())
	s.mutex.Lock()
	same := sameReplicas(replicas, s.claim.Replicas)
	s.mutex.Unlock()
	if same || len(replicas) == 0 || !s.mayExchange(replicas) {
		return nil
	}
	err := s.claimAgain(stream, replicas)
	if errors.Is(err, errNotCopied) {
		s.logger.Warn("replicas not replaced", "error", err)
		return nil
	}
	return err
}

// mayExchange tells whether the owner may let its replicas go for others. Without
// the consent of the present ones it may not go down to fewer: a node that is cut
// off from its peers but not from the log would else take the shard along where
// nobody can follow.
func (s *ownedShard) mayExchange(replicas []identity.Node) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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

// claimAgain claims the next epoch for this owner with replicas. The shard serves
// on meanwhile, since nobody else can have been activated in between: first the
// new replicas take the tail and grant the lease, then the claim and its
// activation go to the log, and then the old replicas are let go.
func (s *ownedShard) claimAgain(stream *stream, replicas []identity.Node) error {
	if err := s.prepareReplicas(replicas); err != nil {
		return err
	}
	for attempt := 0; ; attempt++ {
		done, err := s.appendClaimAgain(stream, replicas)
		if err != nil {
			return err
		}
		if done {
			return nil
		}
		if err := sleep(s.ctx, s.manager.random.duration(counterClaimPause<<min(attempt, 4))); err != nil {
			return err
		}
	}
}

// prepareReplicas copies the tail to the new replicas and gets their lease.
func (s *ownedShard) prepareReplicas(replicas []identity.Node) error {
	s.mutex.Lock()
	s.next = &replacement{claim: Claim{Replicas: replicas}}
	s.addLinks(replicas)
	s.kickLinks()
	s.mutex.Unlock()
	if err := s.awaitReplicas(false); err != nil {
		s.abandonReplicas()
		return err
	}
	s.mutex.Lock()
	s.next.joint = true
	s.updateLease()
	s.mutex.Unlock()
	if err := s.awaitReplicas(true); err != nil {
		s.abandonReplicas()
		return err
	}
	return nil
}

// copyPoll is the time between two looks at how far the new replicas got.
const copyPoll = 20 * time.Millisecond

// awaitReplicas waits until the new replicas hold all that is enqueued so far,
// and their lease runs.
func (s *ownedShard) awaitReplicas(joint bool) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.manager.config.ClaimTimeout)
	defer cancel()
	s.mutex.Lock()
	goal := s.tail.Last()
	s.mutex.Unlock()
	for !s.replicasReady(goal) {
		if err := sleep(ctx, copyPoll); err != nil {
			return fmt.Errorf("%w (joint %t): %w", errNotCopied, joint, err)
		}
	}
	return nil
}

func (s *ownedShard) replicasReady(goal uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.kickLinks()
	replicas := s.next.claim.Replicas
	held := max(reached(s.matches(replicas)), s.logged)
	return held >= goal && s.leaseOf(replicas).After(time.Now())
}

func (s *ownedShard) abandonReplicas() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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
