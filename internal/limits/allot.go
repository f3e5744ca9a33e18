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
)

// errNoLimit tells that a tenant has no limit in the configuration of the asked node.
var errNoLimit = errors.New("limits: the tenant has no limit")

// ask gets tokens from a tenant's allocator. Errors wrap ErrNoAllocator or errNoLimit.
func (s *Service) ask(ctx context.Context, tenant string, request quota.Request) (*granted, error) {
	began := s.config.Now()
	ctx, cancel := context.WithTimeout(ctx, askPatience)
	defer cancel()
	var last error
	for range askTries {
		node, self := s.allocatorOf(tenant)
		if self {
			return s.grant(ctx, tenant, request)
		}
		answer, err := s.askNode(ctx, node, &ask{Tenant: tenant, Request: request})
		if err == nil {
			s.metrics.askSeconds.Observe((s.config.Now() - began).Seconds())
			return answer, nil
		}
		last = err
		if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, errElsewhere) || ctx.Err() != nil {
			break
		}
	}
	return nil, fmt.Errorf("%w: tenant %s: %w", ErrNoAllocator, tenant, last)
}

// allocatorOf returns the node that allots a tenant, and whether that is this one.
func (s *Service) allocatorOf(tenant string) (identity.Node, bool) {
	if s.config.Peers == nil || s.config.Way == WayShares {
		return identity.Node{}, true
	}
	node := s.placement.allocator(tenant, s.config.Now())
	return node, node.Name == s.config.Self || node.Name == ""
}

// errElsewhere tells that a node does not take itself for a tenant's allocator.
var errElsewhere = errors.New("limits: the asked node does not allot the tenant")

// elsewherePause lets the members' news arrive before another node is asked.
const elsewherePause = 15 * time.Millisecond

// askNode asks one node. It notes whether the node's machine refuses connections.
func (s *Service) askNode(ctx context.Context, node identity.Node, message *ask) (*granted, error) {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := s.config.Peers.Call(call, node.PeerAddress, message, nil)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.placement.refuse(node, s.config.Now())
		}
		return nil, err
	}
	got, ok := answer.(*granted)
	if !ok {
		return nil, fmt.Errorf("limits: %s answered %T", node.Name, answer)
	}
	if got.Elsewhere {
		time.Sleep(elsewherePause)
		return nil, fmt.Errorf("%w: %s", errElsewhere, node.Name)
	}
	return got, nil
}

// grant hands out tokens as the tenant's allocator.
func (s *Service) grant(ctx context.Context, tenant string, request quota.Request) (*granted, error) {
	limit, limited := s.limit(tenant)
	if !limited {
		return nil, errNoLimit
	}
	s.settle(ctx, tenant, limit)
	now := s.config.Now()
	live, all := s.placement.counts(now)
	if s.config.Way == WayShares {
		live = 1
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.allocator.SetShare(float64(live) / float64(all))
	return &granted{Source: s.source, Grant: s.allocator.Grant(tenant, limit, request, now)}, nil
}

// settle makes an account count what others have granted in the span: from the node
// that allotted the tenant before, or by taking the limit for used.
func (s *Service) settle(ctx context.Context, tenant string, limit quota.Limit) {
	for {
		s.mutex.Lock()
		if s.allocator.Settled(tenant) {
			s.mutex.Unlock()
			return
		}
		under := s.settling[tenant]
		if under == nil {
			break
		}
		s.mutex.Unlock()
		<-under
	}
	done := make(chan struct{})
	s.settling[tenant] = done
	steady := s.config.Now()-s.changedAt > s.config.Policy.Span()
	s.mutex.Unlock()

	var slots []quota.Amount
	known := steady || s.config.Way == WayShares
	if !known {
		slots, known = s.takeOver(ctx, tenant)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known {
		s.allocator.Settle(tenant, slots, s.config.Now())
	} else {
		s.allocator.Presume(tenant, limit, s.config.Now())
	}
	delete(s.settling, tenant)
	close(done)
}

// takeOver asks the node that most likely allotted a tenant before for its account.
func (s *Service) takeOver(ctx context.Context, tenant string) ([]quota.Amount, bool) {
	before, found := s.placement.allotsBefore(tenant, s.config.Now())
	if !found || s.config.Peers == nil {
		return nil, false
	}
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := s.config.Peers.Call(call, before.PeerAddress, &takeOver{Tenant: tenant}, nil)
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.placement.refuse(before, s.config.Now())
	}
	told, ok := answer.(*takenOver)
	if err != nil || !ok || !told.Known {
		s.config.Logger.Info("a limit's use is not known", "tenant", tenant, "asked", before.Name, "error", err)
		return nil, false
	}
	return told.Slots, true
}

// Register adds the messages and handlers of this node as an allocator.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(
		func() peer.Message { return &ask{} }, func() peer.Message { return &granted{} },
		func() peer.Message { return &takeOver{} }, func() peer.Message { return &takenOver{} },
	)
	registry.Handle(kindAsk, peer.HandlerFunc(s.handleAsk))
	registry.Handle(kindTakeOver, peer.HandlerFunc(s.handleTakeOver))
}

func (s *Service) handleAsk(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	asked, ok := request.(*ask)
	if !ok {
		return nil, fmt.Errorf("limits: unexpected %T", request)
	}
	if !s.allots(ctx, asked.Tenant) {
		return &granted{Elsewhere: true, Source: s.source}, nil
	}
	return s.grant(ctx, asked.Tenant, asked.Request)
}

// allots tells whether this node allots a tenant. Where it takes another for that, which
// the asking node did not, it looks whether that one's machine refuses connections.
func (s *Service) allots(ctx context.Context, tenant string) bool {
	for range askTries {
		node, self := s.allocatorOf(tenant)
		if self {
			return true
		}
		_, err := s.askNode(ctx, node, &ask{Tenant: tenant})
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
	}
	return false
}

func (s *Service) handleTakeOver(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	asked, ok := request.(*takeOver)
	if !ok {
		return nil, fmt.Errorf("limits: unexpected %T", request)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slots, known := s.allocator.HandOver(asked.Tenant, s.config.Now())
	return &takenOver{Known: known, Slots: slots}, nil
}
