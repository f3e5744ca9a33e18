package coordinator

import (
	"context"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/residency"
	"stepseam.example/stepseam/internal/wait"
)

// PersistTurn writes the text and the index entry of a finished turn. Chain contains the previous
// turns. It retries until ctx ends, since giving up would break off a response whose end is
// delayed until the turn is persisted. Errors wrap ledgerlog.ErrUnavailable. The text is sent
// to no node outside the allowed regions.
func (s *Service) PersistTurn(ctx context.Context, turn ledger.IndexEntry, text []byte, allowed residency.AllowedRegions) error {
	for {
		err := s.tryPersist(ctx, turn, text, allowed)
		if err == nil || ctx.Err() != nil {
			return err
		}
		s.config.Logger.Info("failed to persist turn; retrying", "turn", turn.Turn, "error", err)
		_ = wait.For(ctx, persistRetryInterval) // the next attempt returns the error if ctx has ended
	}
}

// tryPersist makes one attempt to persist a turn. It prefers the coordinator if that is another
// node, so that the turns of many nodes share calls of the store. Otherwise this node writes,
// or, if the store is unavailable to it, another one.
func (s *Service) tryPersist(ctx context.Context, turn ledger.IndexEntry, text []byte, allowed residency.AllowedRegions) error {
	request := newPendingTurn(turn, text, allowed)
	coordinator, remote := s.remote(turn.Program, allowed)
	if remote {
		location, err := s.persistRemotely(ctx, coordinator, request)
		if err == nil {
			s.config.Ledger.CacheText(location, text)
			return nil
		}
		s.config.Logger.Info("coordinator failed to persist turn; persisting locally", "turn", turn.Turn, "home", coordinator.Name, "error", err)
	}
	_, err := s.persistLocally(ctx, request)
	if err == nil || ctx.Err() != nil || s.storeAvailable() {
		return err
	}
	location, helpErr := callHelpers(s, coordinator.Name, allowed, func(helper identity.Node) (ledger.Location, error) {
		return s.persistRemotely(ctx, helper, request)
	})
	if helpErr == nil {
		s.config.Ledger.CacheText(location, text)
	}
	return helpErr
}

// persistLocally writes a turn through this node's own ledger and stops if the store becomes
// unavailable to this node. Persisting a turn twice is harmless.
func (s *Service) persistLocally(ctx context.Context, turn pendingTurn) (ledger.Location, error) {
	ctx, cancel := s.untilStoreUnavailable(ctx)
	defer cancel()
	if !s.storeAvailable() {
		return ledger.Location{}, errStoreUnavailable
	}
	return s.config.Ledger.PersistTurnWithText(ctx, turn.turn, turn.text, turn.restricted)
}

// remote returns a program's coordinator and whether it may do the work: it is another node
// that can be called, the store is not known to be unavailable to it, and it is in an allowed
// region.
func (s *Service) remote(program ledger.ProgramID, allowed residency.AllowedRegions) (identity.Node, bool) {
	coordinator, self := s.coordinator(s.config.Ledger.Partition(program))
	return coordinator, !self && s.mayCall(coordinator) && !s.storeUnavailable.has(coordinator.Name) && allowed.Allows(string(coordinator.Region))
}

// persistRemotely asks another node to persist a turn.
func (s *Service) persistRemotely(ctx context.Context, target identity.Node, request pendingTurn) (ledger.Location, error) {
	response, err := s.requestPersist(ctx, target, request)
	if err != nil {
		return ledger.Location{}, err
	}
	got, ok := response.(*persistResponse)
	if !ok || got.Status != statusDone {
		s.recordStatus(target, ok, got)
		return ledger.Location{}, fmt.Errorf("%w: node %s did not persist the turn: %+v", ledgerlog.ErrUnavailable, target.Name, response)
	}
	return got.Location, nil
}

// Texts returns the texts of a chain of a program's turns from memory, the coordinator or the
// store. Errors wrap ledgerlog.ErrUnavailable, or ledgerlog.ErrNoSuchTurn if a text is no longer
// retained. Nodes outside the allowed regions are not
// called, since they would read the texts.
func (s *Service) Texts(ctx context.Context, program ledger.ProgramID, chain []ledger.Location, allowed residency.AllowedRegions) ([][]byte, error) {
	if found, all := s.config.Ledger.CachedTexts(chain); all {
		return found, nil
	}
	coordinator, remote := s.remote(program, allowed)
	var remoteErr error
	if remote {
		var found [][]byte
		if found, remoteErr = s.readRemotely(ctx, coordinator, chain); remoteErr == nil || errors.Is(remoteErr, ledgerlog.ErrNoSuchTurn) {
			return found, remoteErr
		}
		s.config.Logger.Info("coordinator failed to read turns; reading locally", "program", program, "home", coordinator.Name, "error", remoteErr)
	}
	found, err := s.readLocally(ctx, chain)
	if err != nil && remoteErr != nil {
		err = fmt.Errorf("here: %w; at the coordinator: %v", err, remoteErr)
	}
	if err == nil || ctx.Err() != nil || s.storeAvailable() {
		return found, err
	}
	return callHelpers(s, coordinator.Name, allowed, func(helper identity.Node) ([][]byte, error) { return s.readRemotely(ctx, helper, chain) })
}

// readLocally reads texts from the store and stops if the store becomes unavailable to this
// node.
func (s *Service) readLocally(ctx context.Context, chain []ledger.Location) ([][]byte, error) {
	ctx, cancel := s.untilStoreUnavailable(ctx)
	defer cancel()
	return s.config.Ledger.Texts(ctx, chain)
}

// readRemotely asks another node to read texts and caches them.
func (s *Service) readRemotely(ctx context.Context, target identity.Node, chain []ledger.Location) ([][]byte, error) {
	response, err := s.callWithProgress(ctx, target, &readRequest{Chain: chain})
	if err != nil {
		return nil, err
	}
	got, ok := response.(*readResponse)
	if !ok {
		return nil, fmt.Errorf("%w: node %s sent an unexpected response %T", ledgerlog.ErrUnavailable, target.Name, response)
	}
	if got.Status != statusDone {
		return nil, got.err(target.Name)
	}
	if len(got.Texts) != len(chain) {
		return nil, fmt.Errorf("%w: node %s did not read all texts", ledgerlog.ErrUnavailable, target.Name)
	}
	for i, location := range chain {
		s.config.Ledger.CacheText(location, got.Texts[i])
	}
	return got.Texts, nil
}

func (s *Service) handleRead(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	turn, ok := request.(*readRequest)
	if !ok {
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	defer s.sendProgress(sendPart)()
	found, err := s.readLocally(ctx, turn.Chain)
	if err != nil {
		return failedRead(err), nil
	}
	return &readResponse{Status: statusDone, Texts: found}, nil
}
