package limits

import (
	"context"
	"fmt"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
)

const (
	// renewInterval is the time between two renewals of the leases.
	renewInterval = 200 * time.Millisecond
	// acquireTimeout is how long a token request waits for the lessors. Those that respond
	// later add to the leased fraction.
	acquireTimeout = 40 * time.Millisecond
	// conflictTTL is how long a conflict is taken for the present state of the lessors.
	conflictTTL = 2 * acquireTimeout
	// renewedRecently is the remaining validity of a lease whose lessee still renews it.
	renewedRecently = quota.LeaseTTL - 2*renewInterval
	// bypassTTL is how long a node leases a partition after it was asked to in place of one
	// that ranks higher.
	bypassTTL = 2 * time.Second
	// transferGrace is how long an allocator renews the leases of a partition that another
	// node should take over.
	transferGrace = 2 * time.Second
	// localLessor stands for this node itself among the lessors.
	localLessor = identity.NodeName("")
)

// conflict is another allocator that has leased a partition, as last heard from a lessor.
type conflict struct {
	lessee           quota.Lessee
	heardAt, expires time.Duration
}

// renewLoop renews the leases until ctx ends.
func (s *Service) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		if s.limited() {
			s.renew(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// renew requests the leases of all wanted partitions, without waiting for the responses. A
// lessor whose last response is pending is skipped.
func (s *Service) renew(ctx context.Context) {
	now := s.config.Now()
	s.mutex.Lock()
	wanted := s.wantedLocked(now)
	s.reportFractionLocked(wanted, now)
	s.mutex.Unlock()
	if wanted == 0 {
		return
	}
	s.leaseOwnShare(wanted, nil)
	for _, lessor := range s.lessors() {
		if !s.beginRenewal(lessor.Name) {
			continue
		}
		go func() {
			defer s.endRenewal(lessor.Name)
			s.lease(ctx, lessor, wanted, nil)
			s.takeOverConflicting(ctx, wanted)
		}()
	}
}

func (s *Service) beginRenewal(lessor identity.NodeName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.renewing[lessor] {
		return false
	}
	s.renewing[lessor] = true
	return true
}

func (s *Service) endRenewal(lessor identity.NodeName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.renewing, lessor)
}

// wantedLocked returns the partitions to lease: those for which this node ranks first, those
// for which it was asked in place of another node, and those that nobody has taken over yet.
// It requires the mutex.
func (s *Service) wantedLocked(now time.Duration) quota.PartitionSet {
	if s.closed {
		return 0
	}
	if !s.shared() {
		return quota.AllPartitions
	}
	leased := s.allocator.Leased(now)
	var wanted quota.PartitionSet
	for p := range quota.AllPartitions.All() {
		switch {
		case s.placement.ranksFirst(p):
			s.lastFirst[p] = now
			wanted = wanted.With(p)
		case now < s.bypassUntil[p], leased.Has(p) && now < s.lastFirst[p]+transferGrace:
			wanted = wanted.With(p)
		}
	}
	return wanted
}

// shared reports whether one allocator grants for several nodes.
func (s *Service) shared() bool {
	return s.config.Peers != nil && s.config.Strategy != StrategyStaticShares
}

// lessors returns the other nodes whose shares this node leases.
func (s *Service) lessors() []identity.Node {
	if !s.shared() {
		return nil
	}
	return s.placement.lessors()
}

// ownFraction returns this node's own share of each limit.
func (s *Service) ownFraction(now time.Duration) float64 {
	if s.config.Peers == nil {
		return 1
	}
	return s.config.Shares.Fraction(now)
}

// leaseOwnShare leases this node's own share to itself.
func (s *Service) leaseOwnShare(wanted quota.PartitionSet, ceded []quota.Cession) {
	now := s.config.Now()
	fraction := s.ownFraction(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	request := s.allocator.LeaseRequest(localLessor, wanted, ceded, now)
	response := s.lessor.Lease(request, fraction, s.config.LessorNow())
	s.applyLeasesLocked(localLessor, request, response, now, now)
}

// applyLeasesLocked requires the mutex.
func (s *Service) applyLeasesLocked(lessor identity.NodeName, request quota.LeaseRequest, response quota.LeaseResponse, sentAt, now time.Duration) {
	if s.closed {
		return
	}
	s.allocator.ApplyLeases(lessor, request, response, sentAt, now)
	for _, found := range response.Conflicts {
		for p := range found.Partitions.All() {
			if known := s.conflicts[p]; found.Lessee == (quota.Lessee{}) && now < known.expires && known.lessee != (quota.Lessee{}) {
				continue // the allocator that another lessor names can hand over
			}
			s.conflicts[p] = conflict{lessee: found.Lessee, heardAt: now, expires: now + found.Remaining}
		}
	}
}

// lease requests the leases of one lessor.
func (s *Service) lease(ctx context.Context, lessor identity.Node, wanted quota.PartitionSet, ceded []quota.Cession) {
	ctx, cancel := context.WithTimeout(ctx, quota.LeaseCallTimeout)
	defer cancel()
	sentAt := s.config.Now()
	s.mutex.Lock()
	request := s.allocator.LeaseRequest(lessor.Name, wanted, ceded, sentAt)
	s.mutex.Unlock()
	response, err := s.config.Peers.Call(ctx, lessor.PeerAddress, &leaseRequest{Request: request}, nil)
	got, ok := response.(*leaseResponse)
	if err != nil || !ok {
		s.metrics.leaseCalls.WithLabelValues("failed").Inc()
		return
	}
	s.metrics.leaseCalls.WithLabelValues("answered").Inc()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applyLeasesLocked(lessor.Name, request, got.Response, sentAt, s.config.Now())
}

// leaseAll requests the leases of all lessors and waits for the responses, but not longer
// than acquireTimeout.
func (s *Service) leaseAll(ctx context.Context, wanted quota.PartitionSet, ceded []quota.Cession) {
	s.leaseOwnShare(wanted, ceded)
	var calls sync.WaitGroup
	for _, lessor := range s.lessors() {
		calls.Go(func() { s.lease(ctx, lessor, wanted, ceded) })
	}
	done := make(chan struct{})
	go func() {
		calls.Wait()
		close(done)
	}()
	timer := time.NewTimer(acquireTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// acquire leases a partition, and takes it over from an allocator that ranks lower. It
// reports whether there are any leases afterwards.
func (s *Service) acquire(ctx context.Context, p quota.Partition) bool {
	if !s.shared() {
		s.leaseOwnShare(quota.AllPartitions, nil)
		return s.fraction(p) > 0
	}
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		return false
	}
	done := s.acquiring[p]
	if done == nil {
		done = make(chan struct{})
		s.acquiring[p] = done
		go func() {
			ctx := context.WithoutCancel(ctx)
			set := quota.PartitionSet(0).With(p)
			s.leaseAll(ctx, set, nil)
			s.takeOverConflicting(ctx, set)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			delete(s.acquiring, p)
			close(done)
		}()
	}
	s.mutex.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return s.fraction(p) > 0
}

// fraction returns the fraction of each limit of a partition that this node may grant.
func (s *Service) fraction(p quota.Partition) float64 {
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.allocator.Fraction(p, now)
}

// takeOverConflicting takes partitions over from allocators that rank lower than this node.
func (s *Service) takeOverConflicting(ctx context.Context, wanted quota.PartitionSet) {
	now := s.config.Now()
	from := map[quota.Lessee]quota.PartitionSet{}
	s.mutex.Lock()
	for p := range wanted.All() {
		found := s.conflicts[p]
		name := found.lessee.Node.Name
		if now >= found.expires || name == "" || name == s.config.Self || !s.placement.ranksFirst(p) || s.takingOver.Has(p) {
			continue
		}
		from[found.lessee] = from[found.lessee].With(p)
		s.takingOver = s.takingOver.With(p)
	}
	s.mutex.Unlock()
	var calls sync.WaitGroup
	for lessee, partitions := range from {
		calls.Go(func() {
			s.takeOver(ctx, lessee, partitions)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.takingOver &^= partitions
		})
	}
	calls.Wait()
}

// takeOver requests the handover of some partitions and leases them.
func (s *Service) takeOver(ctx context.Context, lessee quota.Lessee, partitions quota.PartitionSet) {
	node, known := s.placement.member(lessee.Node.Name)
	if !known {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := s.config.Now()
	response, err := s.config.Peers.Call(call, node.PeerAddress, &handoverRequest{Node: s.config.Self, Partitions: partitions}, nil)
	handover, ok := response.(*handoverResponse)
	if err != nil || !ok {
		s.logger.Info("cannot obtain the accounts of tenants from their allocator", "allocator_node", lessee.Node.Name, "allocator", lessee.ID,
			"partitions", partitions.Len(), "error", err)
		return
	}
	ceded := handover.Cession.Partitions & partitions
	if ceded == 0 {
		return
	}
	s.leaseAll(ctx, ceded, []quota.Cession{handover.Cession})
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for p := range ceded.All() {
		s.conflicts[p] = conflict{}
	}
	for tenant, account := range handover.Accounts {
		limit, limited := s.limit(tenant)
		if !limited || s.allocator.Fraction(quota.PartitionOf(tenant), now) == 0 {
			continue
		}
		s.allocator.Import(tenant, account, limit, sentAt, now)
		s.metrics.takeovers.WithLabelValues("handed_over").Inc()
		s.logger.Info("took over the account of a tenant", "tenant", tenant, "allocator", s.allocatorID, "predecessor", handover.Cession.From,
			"predecessor_node", lessee.Node.Name, "tokens", account.Requests, "fraction", s.allocator.Fraction(quota.PartitionOf(tenant), now))
	}
}

func (s *Service) handleLeaseRequest(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	message, ok := request.(*leaseRequest)
	if !ok {
		return nil, fmt.Errorf("limits: unexpected %T", request)
	}
	if s.placement.isReplaced(message.Request.Lessee.Node) {
		return &leaseResponse{}, nil
	}
	now := s.config.Now()
	fraction := s.ownFraction(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return &leaseResponse{}, nil
	}
	return &leaseResponse{Response: s.lessor.Lease(message.Request, fraction, s.config.LessorNow())}, nil
}

func (s *Service) handleHandoverRequest(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	message, ok := request.(*handoverRequest)
	if !ok {
		return nil, fmt.Errorf("limits: unexpected %T", request)
	}
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var yielded quota.PartitionSet
	for p := range message.Partitions.All() {
		if !s.placement.ranksFirst(p) || outranks(p, message.Node, s.config.Self) {
			yielded = yielded.With(p)
			s.bypassUntil[p], s.lastFirst[p] = 0, now-transferGrace
		}
	}
	accounts, cession := s.allocator.HandOver(yielded, now)
	return &handoverResponse{Cession: cession, Accounts: accounts}, nil
}
