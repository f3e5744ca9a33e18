package coordinator

import (
	"context"
	"fmt"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/residency"
	"stepseam.example/stepseam/internal/wait"
)

// PersistTurn makes a turn that ended whole durable: its text and its place in the index.
// Chain holds the turns before. It tries until ctx ends, since an answer whose end
// is held back for it would be broken off otherwise. Errors wrap
// ledgerlog.ErrUnavailable. The text goes to no node outside the regions within.
func (s *Service) PersistTurn(ctx context.Context, turn ledger.IndexEntry, text []byte, within residency.AllowedRegions) error {
	for {
		err := s.keepOnce(ctx, turn, text, within)
		if err == nil || ctx.Err() != nil {
			return err
		}
		s.config.Logger.Info("turn not kept yet", "turn", turn.Turn, "error", err)
		_ = wait.For(ctx, keepPause) // the end of ctx shows in the next try
	}
}

// keepOnce lets the home write, where that is another node, so that the turns of
// many nodes share its calls of the store; else this node writes, or where the store does
// not answer it, one that the store may answer.
func (s *Service) keepOnce(ctx context.Context, turn ledger.IndexEntry, text []byte, within residency.AllowedRegions) error {
	request := writingOf(turn, text, within)
	home, remote := s.remote(turn.Program, within)
	if remote {
		location, err := s.keepThere(ctx, home, request)
		if err == nil {
			s.config.Ledger.CacheText(location, text)
			return nil
		}
		s.config.Logger.Info("home did not keep a turn", "turn", turn.Turn, "home", home.Name, "error", err)
	}
	_, err := s.keepHere(ctx, request)
	if err == nil || ctx.Err() != nil || s.storeAnswers() {
		return err
	}
	location, helpErr := firstHelp(s, home.Name, within, func(helper identity.Node) (ledger.Location, error) {
		return s.keepThere(ctx, helper, request)
	})
	if helpErr == nil {
		s.config.Ledger.CacheText(location, text)
	}
	return helpErr
}

// keepHere writes a turn through this node's own ledger, unless the store stops answering
// this node. A turn that is kept twice is kept.
func (s *Service) keepHere(ctx context.Context, asked writing) (ledger.Location, error) {
	ctx, cancel := s.whileStoreAnswers(ctx)
	defer cancel()
	if !s.storeAnswers() {
		return ledger.Location{}, errStoreAway
	}
	return s.config.Ledger.PersistTurnWithText(ctx, asked.turn, asked.text, asked.apart)
}

// remote returns the home of a program if that is another node that may be asked, that the
// store may answer, and that may hold texts that belong within the given regions.
func (s *Service) remote(program ledger.ProgramID, within residency.AllowedRegions) (identity.Node, bool) {
	home, self := s.home(s.config.Ledger.Partition(program))
	return home, !self && s.mayAsk(home) && !s.storeless.has(home.Name) && within.Allows(string(home.Region))
}

// keepThere lets another node write a turn.
func (s *Service) keepThere(ctx context.Context, there identity.Node, request writing) (ledger.Location, error) {
	answer, err := s.askToKeep(ctx, there, request)
	if err != nil {
		return ledger.Location{}, err
	}
	got, ok := answer.(*kept)
	if !ok || got.Status != statusDone {
		s.noteStatus(there, ok, got)
		return ledger.Location{}, fmt.Errorf("%w: %s did not keep the turn: %+v", ledgerlog.ErrUnavailable, there.Name, answer)
	}
	return got.Location, nil
}

// Texts returns the texts of a chain of a program's turns: from memory, from the
// home's or from the store. Errors wrap ledgerlog.ErrUnavailable. No node outside the
// regions within is asked, since it would read the texts.
func (s *Service) Texts(ctx context.Context, program ledger.ProgramID, chain []ledger.Location, within residency.AllowedRegions) ([][]byte, error) {
	if found, all := s.config.Ledger.CachedTexts(chain); all {
		return found, nil
	}
	home, remote := s.remote(program, within)
	if remote {
		found, err := s.readThere(ctx, home, chain)
		if err == nil {
			return found, nil
		}
		s.config.Logger.Info("home did not read turns", "program", program, "home", home.Name, "error", err)
	}
	found, err := s.readHere(ctx, chain)
	if err == nil || ctx.Err() != nil || s.storeAnswers() {
		return found, err
	}
	return firstHelp(s, home.Name, within, func(helper identity.Node) ([][]byte, error) { return s.readThere(ctx, helper, chain) })
}

// readHere reads texts from the store, unless that stops answering this node.
func (s *Service) readHere(ctx context.Context, chain []ledger.Location) ([][]byte, error) {
	ctx, cancel := s.whileStoreAnswers(ctx)
	defer cancel()
	return s.config.Ledger.Texts(ctx, chain)
}

// readThere lets another node read texts.
func (s *Service) readThere(ctx context.Context, there identity.Node, chain []ledger.Location) ([][]byte, error) {
	answer, err := s.callWhileItWorks(ctx, there, &read{Chain: chain})
	if err != nil {
		return nil, err
	}
	got, ok := answer.(*texts)
	if !ok || got.Status != statusDone || len(got.Texts) != len(chain) {
		return nil, fmt.Errorf("%w: %s has not read the turns", ledgerlog.ErrUnavailable, there.Name)
	}
	for i, location := range chain {
		s.config.Ledger.CacheText(location, got.Texts[i])
	}
	return got.Texts, nil
}

func (s *Service) handleRead(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	asked, ok := request.(*read)
	if !ok {
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	defer s.tellWorking(sendPart)()
	found, err := s.readHere(ctx, asked.Chain)
	if err != nil {
		return &texts{Status: statusUnavailable}, nil
	}
	return &texts{Status: statusDone, Texts: found}, nil
}
