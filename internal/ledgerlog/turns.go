package ledgerlog

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/ledger"
)

// Turn is a turn that ended whole.
type Turn struct {
	Program ledger.ProgramID
	ID      ledger.TurnID
	// Chain holds the locations of its predecessors, the oldest first.
	Chain []ledger.Location
	// Text is its input followed by its output.
	Text []byte
	// For is how long it is kept.
	For time.Duration
}

// Keep makes a turn durable and settles its reservation, which may be nil. When it
// returns without an error, every node finds the turn. Errors wrap ErrUnavailable.
func (l *Ledger) Keep(ctx context.Context, turn Turn, reservation *Reservation, used uint32) error {
	if reservation != nil {
		reservation.Settle(used)
	}
	location, err := l.texts.write(ctx, turn.Text)
	if err != nil {
		return fmt.Errorf("%w: keep text: %w", ErrUnavailable, err)
	}
	chain := make([]ledger.Location, 0, len(turn.Chain)+1)
	chain = append(append(chain, turn.Chain...), location)
	record := ledger.Encode(ledger.Keep{Program: turn.Program, Turn: turn.ID, Chain: chain, For: turn.For})
	if _, err := l.of(turn.Program).append(ctx, [][]byte{record}, nil); err != nil {
		return fmt.Errorf("%w: keep turn: %w", ErrUnavailable, err)
	}
	return nil
}

// Chain returns the locations of a kept turn and its predecessors. It looks where
// program's turns stand first and then everywhere, since a turn may be gone on
// from under another program. Errors wrap ErrNoSuchTurn or ErrUnavailable.
func (l *Ledger) Chain(ctx context.Context, program ledger.ProgramID, turn ledger.TurnID) ([]ledger.Location, error) {
	own := l.of(program)
	if chain, found := own.follower.chain(turn); found {
		return chain, nil
	}
	for _, p := range l.partitions {
		if chain, found := p.follower.chain(turn); found {
			return chain, nil
		}
	}
	order := append([]*partition{own}, l.partitions...)
	for i, p := range order {
		if i > 0 && p == own {
			continue
		}
		if err := p.follower.readToEnd(ctx); err != nil {
			return nil, fmt.Errorf("%w: look for turn %s: %w", ErrUnavailable, turn, err)
		}
		if chain, found := p.follower.chain(turn); found {
			return chain, nil
		}
	}
	return nil, fmt.Errorf("%w: %s", ErrNoSuchTurn, turn)
}

// Texts returns the texts of a chain, the oldest first. Errors wrap ErrUnavailable.
func (l *Ledger) Texts(ctx context.Context, chain []ledger.Location) ([][]byte, error) {
	texts := make([][]byte, 0, len(chain))
	for _, location := range chain {
		text, err := l.texts.read(ctx, location)
		if err != nil {
			return nil, fmt.Errorf("%w: read turn: %w", ErrUnavailable, err)
		}
		texts = append(texts, text)
	}
	return texts, nil
}
