package limits

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/wait"
)

// errNoLimit is returned if the tenant has no limit in the configuration of the responding
// node.
var errNoLimit = errors.New("limits: the tenant has no limit")

// requestTokens requests tokens from a tenant's allocator. Errors wrap ErrNoAllocator or
// errNoLimit.
func (s *Service) requestTokens(ctx context.Context, message *tokenRequest) (*tokenResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.waitTimeout())
	defer cancel()
	var last error
	var redirect identity.Node
	for range maxAttempts {
		response, err := s.callAllocator(ctx, message, redirect)
		if err == nil || errors.Is(err, errNoLimit) {
			return response, err
		}
		last, redirect = err, identity.Node{}
		var redirected *redirectError
		switch {
		case errors.As(err, &redirected) && redirected.allocator.Name != s.config.Self:
			redirect = redirected.allocator
		case errors.Is(err, syscall.ECONNREFUSED):
			continue // try the next node in rank at once
		case redirected == nil && !errors.Is(err, errNoKnownNodes):
			if !s.recentlyStarted() {
				return nil, fmt.Errorf("%w: tenant %s: %w", ErrNoAllocator, message.Tenant, err)
			}
			message = message.withoutReturned()
		}
		if redirect.Name == "" && wait.For(ctx, membershipDelay) != nil {
			break
		}
	}
	return nil, fmt.Errorf("%w: tenant %s: %w", ErrNoAllocator, message.Tenant, last)
}

// recentlyStarted reports whether this node has started recently. It cannot go on without
// an allocator then, since it has no request rate of its own yet, and allocators that start
// at the same time respond late.
func (s *Service) recentlyStarted() bool { return s.config.Now()-s.startedAt < unstablePeriod }

// membershipDelay gives membership updates time to arrive before a node is called again.
const membershipDelay = 15 * time.Millisecond

// callAllocator requests tokens from the node that another one has redirected to, if any,
// and otherwise from the allocator according to this node, which may be itself.
func (s *Service) callAllocator(ctx context.Context, message *tokenRequest, redirect identity.Node) (*tokenResponse, error) {
	node, self := s.allocatorOf(message.Tenant)
	switch {
	case self:
		return s.grant(ctx, message)
	case redirect.Name != "":
		node = redirect
	case node.Name == "":
		return nil, errNoKnownNodes
	}
	startedAt := s.config.Now()
	response, err := s.callNode(ctx, node, message)
	if err == nil {
		s.metrics.requestSeconds.Observe((s.config.Now() - startedAt).Seconds())
	}
	return response, err
}

// allocatorOf returns a tenant's allocator, or true if it is this node. It returns neither
// if this node does not know the other nodes yet.
func (s *Service) allocatorOf(tenant string) (identity.Node, bool) {
	if s.config.Peers == nil || s.config.Strategy == StrategyStaticShares {
		return identity.Node{}, true
	}
	now := s.config.Now()
	node := s.placement.allocator(tenant, now)
	if node.Name == s.config.Self || node.Name == "" {
		// Without known members, this node may not have discovered the others yet.
		isAlone := s.placement.isAlone()
		return identity.Node{}, !isAlone || now-s.startedAt > discoveryPeriod
	}
	return node, false
}

// discoveryPeriod is the time after the start in which a node without known members assumes
// that it has not discovered them yet.
const discoveryPeriod = 2 * time.Second

// errNoKnownNodes is returned while this node has not discovered any others.
var errNoKnownNodes = errors.New("limits: no other nodes are known yet")

// redirectError means that the called node considers another one the tenant's allocator.
// Nodes may disagree for a short time after a membership change.
type redirectError struct{ node, allocator identity.Node }

// Error names both nodes.
func (e *redirectError) Error() string {
	return fmt.Sprintf("limits: node %s is not the allocator of the tenant, node %s is", e.node.Name, e.allocator.Name)
}

// callNode calls one node and records whether its machine refuses connections.
func (s *Service) callNode(ctx context.Context, node identity.Node, message *tokenRequest) (*tokenResponse, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := s.config.Peers.Call(call, node.PeerAddress, message, nil)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.placement.recordRefusal(node, s.config.Now())
		}
		return nil, err
	}
	got, ok := response.(*tokenResponse)
	if !ok {
		return nil, fmt.Errorf("limits: node %s responded with unexpected message type %T", node.Name, response)
	}
	if got.Redirect {
		return nil, &redirectError{node: node, allocator: got.Allocator}
	}
	return got, nil
}

// grant grants tokens as the tenant's allocator. Returned tokens count only if this
// incarnation of the allocator has granted them. Errors: errNoLimit; a *redirectError if
// another node has become the allocator in the meantime.
func (s *Service) grant(ctx context.Context, message *tokenRequest) (*tokenResponse, error) {
	limit, limited := s.limit(message.Tenant)
	if !limited {
		return nil, errNoLimit
	}
	s.detectPause(s.config.Now())
	s.synchronize(ctx, message.Tenant, limit)
	request := message.Request
	if message.AllocatorID != s.allocatorID {
		request.Returned = quota.Amount{}
	}
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.allocator.Has(message.Tenant) {
		allocator, _ := s.allocatorOf(message.Tenant)
		return nil, &redirectError{node: identity.Node{Name: s.config.Self}, allocator: allocator}
	}
	s.allocator.SetShare(s.limitFraction(now))
	return &tokenResponse{AllocatorID: s.allocatorID, Grant: s.allocator.Grant(message.Tenant, limit, request, now)}, nil
}

// limitFraction returns the fraction of each limit that this node may grant.
func (s *Service) limitFraction(now time.Duration) float64 {
	alive, total := s.placement.counts(now)
	if s.config.Strategy == StrategyStaticShares {
		alive = 1
	}
	fraction := float64(alive) / float64(total)
	s.metrics.fraction.Set(fraction)
	return fraction
}

// synchronize makes a tenant's account reflect the tokens that other nodes have granted. It
// imports the accounts of possible previous allocators, or else treats the limit as nearly
// exhausted.
func (s *Service) synchronize(ctx context.Context, tenant string, limit quota.Limit) {
	done, steady := s.beginSynchronizing(tenant)
	if done == nil {
		return
	}
	var remaining []quota.Account
	reached := true
	if !steady {
		remaining, reached = s.requestHandover(ctx, tenant)
	}
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fraction := s.limitFraction(now)
	s.allocator.SetShare(fraction)
	opened := openedExhausted
	switch {
	case len(remaining) > 0:
		opened = openedReceived
		for _, account := range remaining {
			s.allocator.Import(tenant, account, limit, now)
		}
	case s.allocator.Has(tenant) && reached:
		opened = openedVerified
		s.allocator.Verify(tenant, now)
	case steady:
		opened = openedUnused
		s.allocator.Fill(tenant, limit, now)
	default:
		s.allocator.FillConservatively(tenant, limit, now)
	}
	s.logOpened(tenant, opened, fraction, now)
	// The members may have changed during the calls.
	s.allocator.Relinquish(func(other string) bool { return other == tenant && s.allocatedElsewhere(tenant) }, s.limit, now)
	delete(s.synchronizing, tenant)
	close(done)
}

// openedAccount is what a new allocator knew of its predecessor's account.
type openedAccount string

const (
	// openedReceived is an account handed over by the predecessor, openedVerified one that
	// no other node has granted from.
	openedReceived openedAccount = "received"
	openedVerified openedAccount = "verified"
	// openedUnused is an account taken for full, openedExhausted one taken for nearly empty.
	openedUnused    openedAccount = "taken_for_unused"
	openedExhausted openedAccount = "taken_for_exhausted"
)

// logOpened requires the mutex.
func (s *Service) logOpened(tenant string, opened openedAccount, fraction float64, now time.Duration) {
	s.metrics.takeovers.WithLabelValues(string(opened)).Inc()
	alive, total := s.placement.counts(now)
	s.config.Logger.Info("opened the account of a tenant as its allocator", "tenant", tenant, "allocator", s.allocatorID, "account", opened,
		"tokens", s.allocator.Left()[tenant].Requests, "fraction", fraction, "members_alive", alive, "members_counted", total,
		"since_membership_change_ms", (now - s.changedAt).Milliseconds())
}

// beginSynchronizing returns a channel to be closed once the account is synchronized, or
// nil if it already is. It waits for a synchronization in progress. steady means that there
// was no membership change for so long that no tokens granted by another node can still
// count.
func (s *Service) beginSynchronizing(tenant string) (done chan struct{}, steady bool) {
	for {
		s.mutex.Lock()
		if s.allocator.Synchronized(tenant) {
			s.mutex.Unlock()
			return nil, false
		}
		inProgress := s.synchronizing[tenant]
		if inProgress == nil {
			break
		}
		s.mutex.Unlock()
		<-inProgress
	}
	defer s.mutex.Unlock()
	done = make(chan struct{})
	s.synchronizing[tenant] = done
	return done, s.config.Strategy == StrategyStaticShares || s.config.Now()-s.changedAt > s.config.Policy.Span()
}

// requestHandover requests the accounts of all nodes that may have been the tenant's
// allocator. reached reports whether all of them responded.
func (s *Service) requestHandover(ctx context.Context, tenant string) (remaining []quota.Account, reached bool) {
	if s.config.Peers == nil {
		return nil, true
	}
	previous := s.placement.previousAllocators(tenant, s.config.Now())
	reached = len(previous) > 0
	for _, node := range previous {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := s.config.Peers.Call(call, node.PeerAddress, &handoverRequest{Tenant: tenant}, nil)
		cancel()
		handover, ok := response.(*handoverResponse)
		if err != nil || !ok {
			reached = false
			s.config.Logger.Info("cannot obtain the account of a tenant from its previous allocator", "tenant", tenant, "asked", node.Name, "error", err)
			continue
		}
		if handover.Found {
			remaining = append(remaining, handover.Account)
		}
	}
	return remaining, reached
}

// Register registers the messages and handlers of the allocator.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(
		func() peer.Message { return &tokenRequest{} }, func() peer.Message { return &tokenResponse{} },
		func() peer.Message { return &handoverRequest{} }, func() peer.Message { return &handoverResponse{} },
	)
	registry.Handle(kindTokenRequest, peer.HandlerFunc(s.handleTokenRequest))
	registry.Handle(kindHandoverRequest, peer.HandlerFunc(s.handleHandoverRequest))
}

func (s *Service) handleTokenRequest(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	message, ok := request.(*tokenRequest)
	if !ok {
		return nil, fmt.Errorf("limits: unexpected %T", request)
	}
	if allocator, self := s.isAllocator(ctx, message.Tenant); !self {
		return &tokenResponse{Redirect: true, Allocator: allocator, AllocatorID: s.allocatorID}, nil
	}
	response, err := s.grant(ctx, message)
	var redirected *redirectError
	if errors.As(err, &redirected) {
		return &tokenResponse{Redirect: true, Allocator: redirected.allocator, AllocatorID: s.allocatorID}, nil
	}
	return response, err
}

// isAllocator reports whether this node is the tenant's allocator, or else which node is.
// Before it redirects to another node, it checks that the other one's machine accepts
// connections.
func (s *Service) isAllocator(ctx context.Context, tenant string) (allocator identity.Node, self bool) {
	for range maxAttempts {
		allocator, self = s.allocatorOf(tenant)
		if self || allocator.Name == "" {
			return allocator, self
		}
		_, err := s.callNode(ctx, allocator, &tokenRequest{Tenant: tenant})
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return allocator, false
		}
	}
	return identity.Node{}, false
}

func (s *Service) handleHandoverRequest(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	message, ok := request.(*handoverRequest)
	if !ok {
		return nil, fmt.Errorf("limits: unexpected %T", request)
	}
	limit, limited := s.limit(message.Tenant)
	if !limited {
		return &handoverResponse{}, nil
	}
	now := s.config.Now()
	s.detectPause(now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.allocator.SetShare(s.limitFraction(now))
	account, known := s.allocator.HandOver(message.Tenant, limit, now)
	return &handoverResponse{Found: known, Account: account}, nil
}
