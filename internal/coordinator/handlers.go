package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
)

// Register adds this package's messages and handlers to registry.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(
		func() peer.Message { return &beginRequest{} }, func() peer.Message { return &beginResponse{} },
		func() peer.Message { return &finishRequest{} }, func() peer.Message { return &persistRequest{} }, func() peer.Message { return &finishResponse{} },
		func() peer.Message { return &persistResponse{} }, func() peer.Message { return &progress{} }, func() peer.Message { return &readRequest{} }, func() peer.Message { return &readResponse{} },
		func() peer.Message { return &findRequest{} }, func() peer.Message { return &findResponse{} },
		func() peer.Message { return &persistAnywhereRequest{} },
	)
	registry.Handle(kindBeginRequest, peer.HandlerFunc(s.handleBegin))
	registry.Handle(kindFinishRequest, peer.HandlerFunc(s.handleFinish))
	registry.Handle(kindPersistRequest, peer.HandlerFunc(s.handlePersist))
	registry.Handle(kindPersistAnywhereRequest, peer.HandlerFunc(s.handlePersist))
	registry.Handle(kindReadRequest, peer.HandlerFunc(s.handleRead))
	registry.Handle(kindFindRequest, peer.HandlerFunc(s.handleFind))
}

func (s *Service) handleBegin(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	received, ok := request.(*beginRequest)
	if !ok {
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	defer s.sendProgress(sendPart)()
	coordinator := s.isCoordinator(s.config.Ledger.Partition(received.Request.Program))
	answer := &beginResponse{Status: statusDone}
	if received.Request.Budgeted {
		grant, err := s.reserveTurn(ctx, &received.Request, received.Grant, coordinator, false)
		if err != nil {
			return s.refusal(err), nil
		}
		answer.Charged, answer.Unlogged, answer.First = grant.Charged, grant.Unlogged, grant.First
	}
	if received.Request.Previous != "" {
		previous, err := s.findTurn(ctx, received.Request.Program, received.Request.Previous)
		if err != nil {
			s.config.Ledger.FinishTurn(received.Request.Program, received.Grant, 0)
			return s.refusal(err), nil
		}
		answer.Chain, answer.CacheLocation = previous.Chain, previous.CacheLocation
	}
	return answer, nil
}

// refusal converts an error of the ledger to a response. While the store is unavailable to this
// node, any other failure to reach it is reported as such, so that the caller tries another
// node.
func (s *Service) refusal(err error) *beginResponse {
	answer := &beginResponse{Status: statusOf(err), Reason: err.Error()}
	if answer.Status == statusUnavailable && !s.storeAvailable() {
		answer.Status = statusStoreUnavailable
	}
	var spent *ledgerlog.BudgetExhaustedError
	if errors.As(err, &spent) {
		answer.Charged, answer.Reason = spent.Charged, spent.Detail
	}
	return answer
}

func (s *Service) handleFinish(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	received, ok := request.(*finishRequest)
	if !ok {
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	s.config.Ledger.FinishTurn(received.Program, received.Grant, received.Used)
	return &finishResponse{Status: statusDone}, nil
}

// sendProgress reports progress to the caller at regular intervals, except while the store is
// unavailable to this node, so that the caller may do the work itself. The returned function
// stops the reports; none is sent after it returns.
func (s *Service) sendProgress(sendPart func(peer.Message) error) (stop func()) {
	ended := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-ended:
				return
			}
			if s.config.StoreAvailable != nil && !s.config.StoreAvailable() {
				continue
			}
			// A caller that is unreachable needs no report.
			_ = sendPart(&progress{})
		}
	}()
	return func() {
		close(ended)
		<-finished
	}
}
