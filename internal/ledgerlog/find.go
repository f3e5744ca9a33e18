package ledgerlog

import (
	"context"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/ledger"
)

// parallelFinds is how many partitions are read at a time in search of a turn. It bounds the
// memory that the responses take.
const parallelFinds = 8

// findOutcome is the outcome of a search in one partition.
type findOutcome struct {
	entry ledger.IndexedTurn
	found bool
	err   error
}

// Find returns the index entry of a turn from any of the given partitions. They are read to
// their ends at the same time unless the turn is known, so that one that does not answer hides
// no turn of another. A partition that can't be read causes an error only if no other one has
// the turn. Invalid partition numbers are skipped. Errors wrap ErrNoSuchTurn or ErrUnavailable.
func (l *Ledger) Find(ctx context.Context, turn ledger.TurnID, partitions ...int) (ledger.IndexedTurn, error) {
	readers := l.readersOf(partitions)
	for _, one := range readers {
		if entry, found := one.turn(turn); found {
			return entry, nil
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan findOutcome, len(readers))
	slots := make(chan struct{}, parallelFinds)
	for _, one := range readers {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			entry, found, err := one.find(ctx, turn)
			outcomes <- findOutcome{entry, found, err}
		}()
	}
	var unread error
	for range readers {
		outcome := <-outcomes
		if outcome.found {
			return outcome.entry, nil
		}
		unread = errors.Join(unread, outcome.err)
	}
	if unread != nil {
		return ledger.IndexedTurn{}, fmt.Errorf("%w: look for turn %s: %w", ErrUnavailable, turn, unread)
	}
	return ledger.IndexedTurn{}, fmt.Errorf("%w: %s", ErrNoSuchTurn, turn)
}

// readersOf returns the readers of the partitions that exist.
func (l *Ledger) readersOf(partitions []int) []*reader {
	var readers []*reader
	for _, number := range partitions {
		if number >= 0 && number < len(l.partitions) {
			readers = append(readers, l.partitions[number].reader)
		}
	}
	return readers
}
