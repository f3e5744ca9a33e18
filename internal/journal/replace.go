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

// replacement is a pending claim of the same owner with other replicas.
type replacement struct {
	replicas []identity.Node
	// ready is true once the replicas have the tail and granted the lease.
	ready bool
	// joint is true while records and the lease need quorums of both replica sets: from
	// before the claim is appended until it is activated, a claimant may find either set
	// in the log.
	joint bool
}

// startReplacement starts to replace the replicas by the desired ones, which receive
// the tail in addition to the current ones. The writer claims with them once they
// have it, and continues to write until then.
func (s *ownedShard) startReplacement() {
	replicas := s.manager.wantedReplicas(s.id, s.manager.view())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next != nil {
		s.signalWriter()
		return
	}
	if s.handingOver || s.lossReason != nil || s.authorization > 0 || s.term > 0 || sameReplicas(replicas, s.claim.Replicas) || !s.mayReplace(replicas) {
		return
	}
	next := &replacement{replicas: replicas}
	s.next = next
	s.addLinks(replicas)
	s.startSenders()
	s.manager.tasks.Go(func() { s.copyTail(next) })
}

// copyTail waits until the new replicas have the tail, or abandons the replacement.
func (s *ownedShard) copyTail(next *replacement) {
	err := s.awaitReplicas(next, s.manager.config.CopyTimeout)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.next != next:
	case err != nil:
		s.logger.Warn("replicas not replaced", "error", err)
		s.abandonReplacement()
	default:
		next.ready = true
		s.signalWriter()
	}
}

// takeReplacement returns the replacement to claim with, or nil if none is ready.
func (s *ownedShard) takeReplacement() *replacement {
	away := s.manager.health.isDown()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next == nil || !s.next.ready || s.handingOver || away {
		return nil
	}
	s.replacing = true
	return s.next
}

// replaceReplicas claims the shard again with next while it is served. An error
// means that the shard is lost.
func (s *ownedShard) replaceReplicas(stream *stream, next *replacement) error {
	err := s.reclaim(stream, next)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replacing = false
	if !errors.Is(err, errNotCopied) {
		return err
	}
	s.logger.Warn("replicas not replaced", "error", err)
	s.abandonReplacement()
	return nil
}

// beginHandOver starts a planned stop and reports whether it did. It does not while
// the writer claims with other replicas, which must not be interrupted because the
// log may name either set meanwhile.
func (s *ownedShard) beginHandOver() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.replacing || s.handingOver || s.lossReason != nil || s.authorization > 0 || !s.revocationConfirmed || s.claiming {
		return false
	}
	s.handingOver = true
	if s.next != nil {
		s.abandonReplacement()
	}
	return true
}

// mayReplace reports whether the owner may replace its replicas. It may reduce their
// number only if a read quorum of the current ones consents: a node that is
// partitioned from its peers but not from the log could otherwise move the shard to
// replicas that no other node can reach. The caller holds mutex.
func (s *ownedShard) mayReplace(replicas []identity.Node) bool {
	if len(replicas) == 0 {
		return false
	}
	present := s.claim.Replicas
	consent := 0
	for _, replica := range present {
		link := s.links[replica.Reference()]
		if link != nil && (link.restarted || time.Since(link.granted) < s.manager.config.Lease.Duration) {
			consent++
		}
	}
	return len(replicas) >= len(present) || consent >= ReadQuorum(len(present))
}

// wantedReplicas returns the desired replicas of shard for view while this node owns
// it.
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
	// Another node should own the shard: it replaces this node in the set.
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
	return !slices.ContainsFunc(a, func(node identity.Node) bool { return !containsIncarnation(b, node) })
}

func containsIncarnation(nodes []identity.Node, node identity.Node) bool {
	return slices.ContainsFunc(nodes, func(other identity.Node) bool {
		return other.Reference() == node.Reference()
	})
}

// errNotCopied reports that the new replicas could not be brought up to date.
var errNotCopied = errors.New("journal: tail not copied to the new replicas")

// reclaim claims the next epoch for this owner with the replicas of next. The shard
// is served meanwhile, since no other claim can be activated in between: records and
// the lease need quorums of both replica sets until the claim and its activation are
// in the log; then the old replicas are dropped.
func (s *ownedShard) reclaim(stream *stream, next *replacement) error {
	defer s.forbidAuthorization()()
	if err := s.awaitRevocation(); err != nil {
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
		done, err := s.appendReclaim(stream, next.replicas)
		if done || err != nil {
			return err
		}
		if err := wait.For(s.ctx, s.manager.random.duration(counterClaimPause<<min(attempt, 4))); err != nil {
			return err
		}
	}
}

// copyPoll is the interval at which progress of the new replicas is checked.
const copyPoll = 20 * time.Millisecond

// awaitReplicas waits until the replicas of next have all records enqueued before
// the call, and granted the lease.
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
		return false, fmt.Errorf("%w: replacement abandoned", errNotCopied)
	}
	s.startSenders()
	held := max(quorumValue(s.matches(next.replicas)), s.logged)
	return held >= goal && s.leaseEndOf(next.replicas).After(time.Now()), nil
}

// abandonReplacement ends a replacement whose claim was not appended. The caller
// holds mutex.
func (s *ownedShard) abandonReplacement() {
	s.next = nil
	s.updateLease()
	s.advance()
	s.dropLinks()
}

// appendReclaim appends the claim and its activation and reports whether they are
// valid when read back. It returns false without an error if another node's claim,
// which is not activated, came first.
func (s *ownedShard) appendReclaim(stream *stream, replicas []identity.Node) (bool, error) {
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

// switchClaim makes claim the active one.
func (s *ownedShard) switchClaim(claim Claim) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.claim, s.next = claim, nil
	s.epoch.Store(uint64(claim.Epoch))
	s.dropLinks()
	s.updateLease()
	s.advance()
	s.startSenders()
	s.manager.counters.replacements.Add(1)
	s.logger.Info("replicas replaced", "epoch", uint64(claim.Epoch))
}
