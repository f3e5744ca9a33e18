package limits

import (
	"context"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/wait"
)

var (
	// errNoLimit is returned if the tenant has no limit in the configuration of the
	// responding node.
	errNoLimit = errors.New("limits: the tenant has no limit")
	// errNoKnownNodes is returned while this node knows no allocator of a partition.
	errNoKnownNodes = errors.New("limits: no allocator is known yet")
	// errNoResponse is returned while no allocator has responded in time.
	errNoResponse = errors.New("limits: no allocator has responded in time")
)

const (
	// requestTimeout bounds a token request, over all nodes that are called for it.
	requestTimeout = 500 * time.Millisecond
	// membershipDelay gives membership updates time to arrive before a node is called again.
	membershipDelay = 15 * time.Millisecond
)

// redirectError means that the called node considers another one the tenant's allocator, if
// it knows one. Nodes may disagree for a short time after a membership change.
type redirectError struct{ node, allocator identity.Node }

// Error names both nodes.
func (e *redirectError) Error() string {
	return fmt.Sprintf("limits: node %s is not the allocator of the tenant, node %s is", e.node.Name, e.allocator.Name)
}

// unleasedError means that no tokens can be granted before another allocator's leases end.
type unleasedError struct {
	retryAfter time.Duration
	lessee     quota.Lessee
}

// Error names the other allocator.
func (e *unleasedError) Error() string {
	return fmt.Sprintf("limits: node %s has leased the tenant's limit for up to %s", e.lessee.Node.Name, e.retryAfter)
}

// requestTokens requests tokens from a tenant's allocator. Errors wrap ErrNoAllocator or
// errNoLimit.
func (s *Service) requestTokens(ctx context.Context, message *tokenRequest) (*tokenResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var last error
	var redirect identity.Node
	for range maxAttempts {
		node, response, err := s.callAllocator(ctx, message, redirect)
		if err == nil || errors.Is(err, errNoLimit) {
			return response, err
		}
		last, redirect = err, identity.Node{}
		var redirected *redirectError
		var unleased *unleasedError
		switch {
		case errors.As(err, &unleased):
			return nil, &UnavailableError{Tenant: message.Tenant, RetryAfter: unleased.retryAfter, Cause: err}
		case errors.As(err, &redirected):
			redirect = redirected.allocator
		case errors.Is(err, errNoKnownNodes):
		default:
			s.placement.recordFailure(node, s.config.Now())
			message = message.bypassing()
			continue // the next node in rank may take over
		}
		if wait.For(ctx, membershipDelay) != nil {
			break
		}
	}
	return nil, &UnavailableError{Tenant: message.Tenant, RetryAfter: allocatorRetryDelay, Cause: last}
}

// callAllocator requests tokens from the node that another one has redirected to, if any,
// and otherwise from the allocator according to this node, which may be itself.
func (s *Service) callAllocator(ctx context.Context, message *tokenRequest, redirect identity.Node) (identity.Node, *tokenResponse, error) {
	node, bypassed, self := s.allocatorOf(message.Tenant)
	if redirect.Name != "" {
		node, self = redirect, redirect.Name == s.config.Self
	}
	if bypassed {
		message = message.bypassing()
	}
	switch {
	case self:
		response, err := s.grant(ctx, message)
		return node, response, err
	case node.Name == "":
		return node, nil, errNoKnownNodes
	}
	startedAt := s.config.Now()
	response, err := s.callNode(ctx, node, message)
	if err == nil {
		s.metrics.requestSeconds.Observe((s.config.Now() - startedAt).Seconds())
	}
	return node, response, err
}

// allocatorOf returns a tenant's allocator as far as this node knows, and whether it is this
// node. bypassed reports whether a node that ranks higher did not respond.
func (s *Service) allocatorOf(tenant string) (node identity.Node, bypassed, self bool) {
	if !s.shared() {
		return identity.Node{Name: s.config.Self}, false, true
	}
	node, bypassed, _ = s.placement.allocator(quota.PartitionOf(tenant), s.config.Now())
	return node, bypassed, node.Name == s.config.Self
}

// callNode calls one node.
func (s *Service) callNode(ctx context.Context, node identity.Node, message *tokenRequest) (*tokenResponse, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := s.config.Peers.Call(call, node.PeerAddress, message, nil)
	if err != nil {
		return nil, err
	}
	got, ok := response.(*tokenResponse)
	if !ok {
		return nil, fmt.Errorf("limits: node %s responded with unexpected message type %T", node.Name, response)
	}
	s.placement.recordResponse(node)
	switch got.Outcome {
	case outcomeGranted:
		return got, nil
	case outcomeRedirected:
		return nil, &redirectError{node: node, allocator: got.Allocator}
	case outcomeUnleased:
		return nil, &unleasedError{retryAfter: got.RetryAfter, lessee: quota.Lessee{Node: got.Allocator.Reference()}}
	default:
		return nil, fmt.Errorf("limits: node %s responded with unknown outcome %d", node.Name, got.Outcome)
	}
}

// grant grants tokens as the tenant's allocator. Returned tokens count only if this
// incarnation of the allocator has granted them. Errors: errNoLimit; an *unleasedError if
// another allocator has leased the tenant's partition; a *redirectError if that one still
// renews its leases.
func (s *Service) grant(ctx context.Context, message *tokenRequest) (*tokenResponse, error) {
	limit, limited := s.limit(message.Tenant)
	if !limited {
		return nil, errNoLimit
	}
	p := quota.PartitionOf(message.Tenant)
	if s.fraction(p) == 0 {
		if s.conflictIsRecent(p) {
			if err := s.heldElsewhere(p); err != nil {
				return nil, err
			}
		}
		if !s.acquire(ctx, p) {
			if err := s.heldElsewhere(p); err != nil {
				return nil, err
			}
			return nil, errNoKnownNodes
		}
	}
	request := message.Request
	if message.AllocatorID != s.allocatorID {
		request.Returned = quota.Amount{}
	}
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fraction := s.allocator.Fraction(p, now)
	if fraction == 0 {
		return nil, errNoKnownNodes // the leases have just ended
	}
	s.recordFractionLocked(message.Tenant, fraction, now)
	opened, leasedFor := !s.allocator.Has(message.Tenant), s.allocator.LeasedFor(p, now)
	response := &tokenResponse{Outcome: outcomeGranted, AllocatorID: s.allocatorID, Grant: s.allocator.Grant(message.Tenant, limit, request, now)}
	s.grants.recordGrant(message.Tenant, limit, fraction, request, response.Grant, now)
	if opened && leasedFor < s.config.Policy.Span() {
		// A predecessor may have granted tokens that still count.
		s.metrics.takeovers.WithLabelValues("not_handed_over").Inc()
		s.logger.Info("opened the account of a tenant without that of a predecessor", "tenant", message.Tenant, "allocator", s.allocatorID,
			"fraction", fraction, "leased_for_ms", leasedFor.Milliseconds(), "granted", response.Grant.Amount.Requests)
	}
	return response, nil
}

// recordFractionLocked logs when the grants for a tenant become limited to a part of its
// limit, and when they no longer are. It requires the mutex.
func (s *Service) recordFractionLocked(tenant string, fraction float64, now time.Duration) {
	partial := fraction < wholeFraction
	if partial {
		s.metrics.partial.Inc()
	}
	if _, before := s.partialSince[tenant]; partial == before {
		return
	}
	leasedFor := s.allocator.LeasedFor(quota.PartitionOf(tenant), now).Milliseconds()
	if partial {
		s.partialSince[tenant] = now
		s.logger.Info("grants a tenant only a fraction of its limit", "tenant", tenant, "allocator", s.allocatorID, "fraction", fraction, "leased_for_ms", leasedFor)
		return
	}
	s.logger.Info("grants a tenant its whole limit", "tenant", tenant, "allocator", s.allocatorID, "leased_for_ms", leasedFor,
		"partial_for_ms", (now - s.partialSince[tenant]).Milliseconds())
	delete(s.partialSince, tenant)
}

// wholeFraction is the fraction from which a limit counts as leased as a whole. The sum of
// the shares may be a little less than one.
const wholeFraction = 0.999

// conflictIsRecent reports whether the lessors need not be asked again yet.
func (s *Service) conflictIsRecent(p quota.Partition) bool {
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now < s.conflicts[p].heardAt+conflictTTL
}

// heldElsewhere returns an error if another allocator has leased a partition, as far as this
// node has heard from the lessors.
func (s *Service) heldElsewhere(p quota.Partition) error {
	now := s.config.Now()
	s.mutex.Lock()
	found := s.conflicts[p]
	s.mutex.Unlock()
	remaining := found.expires - now
	if remaining <= 0 {
		return nil
	}
	if node, known := s.placement.member(found.lessee.Node.Name); known && remaining > renewedRecently && node.Name != s.config.Self {
		return &redirectError{node: identity.Node{Name: s.config.Self}, allocator: node}
	}
	s.metrics.unleased.Inc()
	return &unleasedError{retryAfter: remaining, lessee: found.lessee}
}

// reportFractionLocked reports the least fraction leased. It requires the mutex.
func (s *Service) reportFractionLocked(wanted quota.PartitionSet, now time.Duration) {
	least := 1.0
	for p := range wanted.All() {
		least = min(least, s.allocator.Fraction(p, now))
	}
	s.metrics.fraction.Set(least)
	partial := least < wholeFraction
	if partial == s.partial {
		return
	}
	s.partial = partial
	if partial {
		s.logger.Info("grants only a fraction of the limits", "allocator", s.allocatorID, "least_fraction", least, "partitions", wanted.Len(), "lessors", len(s.lessors())+1)
		return
	}
	s.logger.Info("grants the whole limits", "allocator", s.allocatorID, "partitions", wanted.Len())
}

// Register registers the messages and handlers of the allocator.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(
		func() peer.Message { return &tokenRequest{} }, func() peer.Message { return &tokenResponse{} },
		func() peer.Message { return &handoverRequest{} }, func() peer.Message { return &handoverResponse{} },
		func() peer.Message { return &leaseRequest{} }, func() peer.Message { return &leaseResponse{} },
	)
	registry.Handle(kindTokenRequest, peer.HandlerFunc(s.handleTokenRequest))
	registry.Handle(kindHandoverRequest, peer.HandlerFunc(s.handleHandoverRequest))
	registry.Handle(kindLeaseRequest, peer.HandlerFunc(s.handleLeaseRequest))
}

func (s *Service) handleTokenRequest(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	message, ok := request.(*tokenRequest)
	if !ok {
		return nil, fmt.Errorf("limits: unexpected %T", request)
	}
	p := quota.PartitionOf(message.Tenant)
	if s.fraction(p) == 0 && !s.placement.ranksFirst(p) {
		allocator, _, _ := s.allocatorOf(message.Tenant)
		if !message.Bypass {
			return s.redirectTo(allocator), nil
		}
		s.standIn(p)
	}
	response, err := s.grant(ctx, message)
	var redirected *redirectError
	var unleased *unleasedError
	switch {
	case errors.As(err, &redirected):
		return s.redirectTo(redirected.allocator), nil
	case errors.As(err, &unleased):
		return &tokenResponse{
			Outcome: outcomeUnleased, RetryAfter: unleased.retryAfter, AllocatorID: s.allocatorID,
			Allocator: identity.Node{Name: unleased.lessee.Node.Name, Incarnation: unleased.lessee.Node.Incarnation},
		}, nil
	case errors.Is(err, errNoKnownNodes):
		return s.redirectTo(identity.Node{}), nil
	default:
		return response, err
	}
}

// redirectTo returns a response that names the allocator, if one is known that is not this
// node.
func (s *Service) redirectTo(allocator identity.Node) *tokenResponse {
	if allocator.Name == s.config.Self {
		allocator = identity.Node{}
	}
	return &tokenResponse{Outcome: outcomeRedirected, Allocator: allocator, AllocatorID: s.allocatorID}
}

// standIn lets this node lease a partition in place of one that ranks higher.
func (s *Service) standIn(p quota.Partition) {
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bypassUntil[p] = now + bypassTTL
}
