package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
)

// Register adds the messages and handlers of this node as a home.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(
		func() peer.Message { return &begin{} }, func() peer.Message { return &begun{} },
		func() peer.Message { return &finish{} }, func() peer.Message { return &keep{} }, func() peer.Message { return &done{} },
		func() peer.Message { return &kept{} }, func() peer.Message { return &working{} }, func() peer.Message { return &read{} }, func() peer.Message { return &texts{} },
		func() peer.Message { return &find{} }, func() peer.Message { return &foundTurn{} },
		func() peer.Message { return &keepAnywhere{} },
	)
	registry.Handle(kindBegin, peer.HandlerFunc(s.handleBegin))
	registry.Handle(kindFinish, peer.HandlerFunc(s.handleFinish))
	registry.Handle(kindKeep, peer.HandlerFunc(s.handleKeep))
	registry.Handle(kindKeepAnywhere, peer.HandlerFunc(s.handleKeep))
	registry.Handle(kindRead, peer.HandlerFunc(s.handleRead))
	registry.Handle(kindFind, peer.HandlerFunc(s.handleFind))
}

func (s *Service) handleBegin(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	asked, ok := request.(*begin)
	if !ok {
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	defer s.tellWorking(sendPart)()
	home := s.isHome(s.config.Ledger.Partition(asked.Request.Program))
	answer := &begun{Status: statusDone}
	if asked.Request.Budgeted {
		grant, err := s.take(ctx, &asked.Request, asked.Grant, home)
		if err != nil {
			return s.refusal(err), nil
		}
		answer.Charged, answer.Ahead, answer.First = grant.Charged, grant.Unlogged, grant.First
	}
	if asked.Request.Previous != "" {
		previous, err := s.findTurn(ctx, asked.Request.Program, asked.Request.Previous)
		if err != nil {
			s.config.Ledger.FinishTurn(asked.Request.Program, asked.Grant, 0)
			return s.refusal(err), nil
		}
		answer.Chain, answer.Resident = previous.Chain, previous.CacheLocation
	}
	return answer, nil
}

// refusal tells an error of the ledger to the asking node. Whatever failed while the store
// does not answer this node failed for that, and another node may do it.
func (s *Service) refusal(err error) *begun {
	answer := &begun{Status: statusOf(err), Reason: err.Error()}
	if answer.Status == statusUnavailable && !s.storeAnswers() {
		answer.Status = statusStoreAway
	}
	var spent *ledgerlog.BudgetExhaustedError
	if errors.As(err, &spent) {
		answer.Charged = spent.Charged
	}
	return answer
}

func (s *Service) handleFinish(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	told, ok := request.(*finish)
	if !ok {
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	s.config.Ledger.FinishTurn(told.Program, told.Grant, told.Used)
	return &done{Status: statusDone}, nil
}

// tellWorking tells the asking node again and again that this one lives and works,
// unless the store does not answer it, so that the asking node may as well do the work
// itself. The returned function ends that; nothing is sent after it.
func (s *Service) tellWorking(sendPart func(peer.Message) error) (stop func()) {
	ended := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		ticker := time.NewTicker(workingAfter)
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
			// A node that is gone needs no word.
			_ = sendPart(&working{})
		}
	}()
	return func() {
		close(ended)
		<-finished
	}
}
