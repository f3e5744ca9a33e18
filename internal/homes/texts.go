package homes

import (
	"context"
	"fmt"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
)

// Keep makes a turn that ended whole durable: its text and its place in the index.
// Chain holds the turns before. Errors wrap ledgerlog.ErrUnavailable.
func (s *Service) Keep(ctx context.Context, turn ledger.Keep, text []byte) error {
	home, remote := s.remote(turn.Program)
	within, cancel := s.ownTime(ctx, remote)
	defer cancel()
	location, err := s.config.Ledger.WriteText(within, text)
	if err != nil && (!remote || ctx.Err() != nil) {
		return err
	}
	if err != nil {
		s.config.Logger.Info("turn is kept through its home", "turn", turn.Turn, "home", home.Name, "error", err)
		return s.keepThere(ctx, home, &keep{Turn: turn, WithText: true, Text: text})
	}
	turn.Chain = withLocation(turn.Chain, location)
	if remote {
		if err := s.keepThere(ctx, home, &keep{Turn: turn}); err == nil {
			return nil
		}
	}
	// A turn that is kept twice is kept.
	return s.config.Ledger.Keep(ctx, turn)
}

func withLocation(chain []ledger.Location, location ledger.Location) []ledger.Location {
	longer := make([]ledger.Location, 0, len(chain)+1)
	return append(append(longer, chain...), location)
}

// remote returns the home of a program if that is another node that answers.
func (s *Service) remote(program ledger.ProgramID) (identity.Node, bool) {
	home, self := s.home(s.config.Ledger.Partition(program))
	return home, !self && home.Name != "" && s.config.Peers != nil && !s.avoided(home.Name)
}

// ownTime bounds the calls of the store where another node may make them instead.
func (s *Service) ownTime(ctx context.Context, remote bool) (context.Context, context.CancelFunc) {
	if !remote {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, ownStoreTime)
}

func (s *Service) keepThere(ctx context.Context, home identity.Node, request *keep) error {
	answer, err := s.call(ctx, home, request)
	if err != nil {
		return err
	}
	if got, ok := answer.(*done); !ok || got.Status != statusDone {
		return fmt.Errorf("%w: home %s did not keep the turn: %+v", ledgerlog.ErrUnavailable, home.Name, answer)
	}
	return nil
}

// Texts returns the texts of a chain of a program's turns. Errors wrap
// ledgerlog.ErrUnavailable.
func (s *Service) Texts(ctx context.Context, program ledger.ProgramID, chain []ledger.Location) ([][]byte, error) {
	home, remote := s.remote(program)
	within, cancel := s.ownTime(ctx, remote)
	defer cancel()
	found, err := s.config.Ledger.Texts(within, chain)
	if err == nil || !remote || ctx.Err() != nil {
		return found, err
	}
	s.config.Logger.Info("turns are read through their home", "program", program, "home", home.Name, "error", err)
	answer, err := s.call(ctx, home, &read{Chain: chain})
	if err != nil {
		return nil, err
	}
	got, ok := answer.(*texts)
	if !ok || got.Status != statusDone || len(got.Texts) != len(chain) {
		return nil, fmt.Errorf("%w: home %s has not read the turns", ledgerlog.ErrUnavailable, home.Name)
	}
	return got.Texts, nil
}

func (s *Service) handleKeep(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	asked, ok := request.(*keep)
	if !ok {
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	if asked.WithText {
		location, err := s.config.Ledger.WriteText(ctx, asked.Text)
		if err != nil {
			return &done{Status: statusUnavailable, Reason: err.Error()}, nil
		}
		asked.Turn.Chain = withLocation(asked.Turn.Chain, location)
	}
	if err := s.config.Ledger.Keep(ctx, asked.Turn); err != nil {
		return &done{Status: statusUnavailable, Reason: err.Error()}, nil
	}
	return &done{Status: statusDone}, nil
}

func (s *Service) handleRead(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	asked, ok := request.(*read)
	if !ok {
		return nil, fmt.Errorf("homes: unexpected %T", request)
	}
	found, err := s.config.Ledger.Texts(ctx, asked.Chain)
	if err != nil {
		return &texts{Status: statusUnavailable}, nil
	}
	return &texts{Status: statusDone, Texts: found}, nil
}
