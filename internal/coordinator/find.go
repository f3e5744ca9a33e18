package coordinator

import (
	"context"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
)

// findTurn returns a kept turn. It stands in its program's partition as a rule, but may
// stand in any: another program may go on from it, and another partition took it while
// its own did not answer. The homes of the others are asked, who know their partitions
// to the last records, so that this node does not read the whole log. Errors wrap
// ledgerlog.ErrNoSuchTurn or ledgerlog.ErrUnavailable.
func (s *Service) findTurn(ctx context.Context, program ledger.ProgramID, turn ledger.TurnID) (ledger.IndexedTurn, error) {
	if kept, found := s.config.Ledger.CachedTurn(turn); found {
		return kept, nil
	}
	own := s.config.Ledger.Partition(program)
	kept, unread := s.config.Ledger.Find(ctx, turn, own)
	if unread == nil {
		return kept, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := s.partitionsByHome(own)
	answers := make(chan found, len(asked))
	for home, partitions := range asked {
		go func() { answers <- s.findAt(ctx, home, partitions, turn) }()
	}
	for range asked {
		answer := <-answers
		if answer.err == nil {
			return answer.kept, nil
		}
		if !errors.Is(answer.err, ledgerlog.ErrNoSuchTurn) {
			unread = answer.err
		}
	}
	return ledger.IndexedTurn{}, unread
}

// found is the outcome of looking in some partitions.
type found struct {
	kept ledger.IndexedTurn
	err  error
}

// partitionsByHome groups all partitions but one by the nodes that keep them; those
// without a home, and this node's own, come under an empty node.
func (s *Service) partitionsByHome(except int) map[identity.Node][]int {
	grouped := map[identity.Node][]int{}
	for partition := range s.config.Ledger.Partitions() {
		if partition == except {
			continue
		}
		home, self := s.home(partition)
		if self || !s.mayAsk(home) {
			home = identity.Node{}
		}
		grouped[home] = append(grouped[home], partition)
	}
	return grouped
}

// findAt looks for a turn in partitions of one home, or here where that is empty or
// does not answer.
func (s *Service) findAt(ctx context.Context, home identity.Node, partitions []int, turn ledger.TurnID) found {
	if home.Name != "" {
		if answer, err := s.call(ctx, home, &find{Turn: turn, Partitions: partitions}, nil); err == nil {
			return foundBy(home.Name, answer)
		}
	}
	kept, err := s.config.Ledger.Find(ctx, turn, partitions...)
	return found{kept, err}
}

// foundBy reads a home's answer.
func foundBy(home identity.NodeName, answer peer.Message) found {
	got, ok := answer.(*foundTurn)
	if !ok {
		return found{err: fmt.Errorf("%w: home %s answered %T", ledgerlog.ErrUnavailable, home, answer)}
	}
	return found{ledger.IndexedTurn{Chain: got.Chain, CacheLocation: got.Resident}, got.Status.err(home, got.Reason)}
}

func (s *Service) handleFind(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	asked, ok := request.(*find)
	if !ok {
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	kept, err := s.config.Ledger.Find(ctx, asked.Turn, asked.Partitions...)
	if err != nil {
		return &foundTurn{Status: statusOf(err), Reason: err.Error()}, nil
	}
	return &foundTurn{Status: statusDone, Chain: kept.Chain, Resident: kept.CacheLocation}, nil
}
