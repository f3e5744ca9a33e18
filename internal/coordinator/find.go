package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
)

// findTurn returns the index entry of a turn. The entry is normally in its program's partition,
// but may be in any other: another program may continue the turn, or another partition took the
// entry while its own was unavailable. The coordinators of the other partitions are queried,
// since they have read them to the end, so that this node does not have to read the whole log.
// They are queried after the own partition has been searched, or beside that if it takes long.
// Errors wrap ledgerlog.ErrNoSuchTurn or ledgerlog.ErrUnavailable.
func (s *Service) findTurn(ctx context.Context, program ledger.ProgramID, turn ledger.TurnID) (ledger.IndexedTurn, error) {
	if entry, found := s.config.Ledger.CachedTurn(turn); found {
		return entry, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	own := s.config.Ledger.Partition(program)
	groups := s.partitionsByCoordinator(own)
	answers := make(chan findResult, len(groups)+1)
	go func() { answers <- s.findLocally(ctx, []int{own}, turn) }()
	searchOthers := sync.OnceFunc(func() {
		for coordinator, partitions := range groups {
			go func() { answers <- s.findAtCoordinator(ctx, coordinator, partitions, turn) }()
		}
	})
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	var unread error
	for pending := len(groups) + 1; pending > 0; {
		select {
		case <-timer.C:
		case answer := <-answers:
			if answer.err == nil {
				return answer.entry, nil
			}
			if !errors.Is(answer.err, ledgerlog.ErrNoSuchTurn) {
				unread = errors.Join(unread, answer.err)
			}
			pending--
		}
		searchOthers()
	}
	if unread != nil {
		return ledger.IndexedTurn{}, unread
	}
	return ledger.IndexedTurn{}, fmt.Errorf("%w: %s", ledgerlog.ErrNoSuchTurn, turn)
}

// findResult is the outcome of a search in some partitions.
type findResult struct {
	entry ledger.IndexedTurn
	err   error
}

// partitionsByCoordinator groups all partitions but one by their coordinators. Partitions that
// this node coordinates, and those without a coordinator that can be called, are grouped under
// an empty node.
func (s *Service) partitionsByCoordinator(except int) map[identity.Node][]int {
	grouped := map[identity.Node][]int{}
	for partition := range s.config.Ledger.Partitions() {
		if partition == except {
			continue
		}
		coordinator, self := s.coordinator(partition)
		if self || !s.mayCall(coordinator) {
			coordinator = identity.Node{}
		}
		grouped[coordinator] = append(grouped[coordinator], partition)
	}
	return grouped
}

// findAtCoordinator searches partitions at their coordinator. This node searches them itself if
// there is no coordinator, or if it can't read them all: that it can't does not mean that no node
// can.
func (s *Service) findAtCoordinator(ctx context.Context, coordinator identity.Node, partitions []int, turn ledger.TurnID) findResult {
	if coordinator.Name == "" {
		return s.findLocally(ctx, partitions, turn)
	}
	remote := s.findRemotely(ctx, coordinator, partitions, turn)
	if !errors.Is(remote.err, ledgerlog.ErrUnavailable) || ctx.Err() != nil {
		return remote
	}
	local := s.findLocally(ctx, partitions, turn)
	if errors.Is(local.err, ledgerlog.ErrUnavailable) {
		local.err = errors.Join(local.err, remote.err)
	}
	return local
}

func (s *Service) findLocally(ctx context.Context, partitions []int, turn ledger.TurnID) findResult {
	entry, err := s.config.Ledger.Find(ctx, turn, partitions...)
	return findResult{entry, err}
}

// findRemotely searches partitions at their coordinator as long as it reports progress. One that reports
// none may be of a version that never does in a search.
func (s *Service) findRemotely(ctx context.Context, coordinator identity.Node, partitions []int, turn ledger.TurnID) findResult {
	answer, err := s.callWhileProgressing(ctx, coordinator, &findRequest{Turn: turn, Partitions: partitions})
	if err != nil {
		return findResult{err: err}
	}
	return findResultOf(coordinator.Name, answer)
}

// findResultOf converts a coordinator's response.
func findResultOf(coordinator identity.NodeName, answer peer.Message) findResult {
	got, ok := answer.(*findResponse)
	if !ok {
		return findResult{err: fmt.Errorf("%w: home %s answered %T", ledgerlog.ErrUnavailable, coordinator, answer)}
	}
	return findResult{ledger.IndexedTurn{Chain: got.Chain, CacheLocation: got.CacheLocation}, got.Status.err(coordinator, got.Reason)}
}

func (s *Service) handleFind(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	query, ok := request.(*findRequest)
	if !ok {
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	defer s.sendProgress(sendPart)()
	entry, err := s.config.Ledger.Find(ctx, query.Turn, query.Partitions...)
	if err != nil {
		return &findResponse{Status: statusOf(err), Reason: err.Error()}, nil
	}
	return &findResponse{Status: statusDone, Chain: entry.Chain, CacheLocation: entry.CacheLocation}, nil
}
