package ledgerlog

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

// WriteText makes the text of a turn durable. Errors wrap ErrUnavailable.
func (l *Ledger) WriteText(ctx context.Context, text []byte) (ledger.Location, error) {
	location, err := l.texts.write(ctx, text)
	if err != nil {
		return ledger.Location{}, fmt.Errorf("%w: keep text: %w", ErrUnavailable, err)
	}
	return location, nil
}

// PersistTurn adds a turn to the index. When it returns without an error, every node
// finds the turn. While the program's own partition does not answer, another one
// holds the record; a turn that is kept twice is kept. It tries until ctx ends.
// Errors wrap ErrUnavailable.
func (l *Ledger) PersistTurn(ctx context.Context, turn ledger.IndexEntry) error {
	return l.keepFrom(ctx, turn, 0)
}

// keepFrom is Keep where some partitions, from the program's own on, have been tried.
func (l *Ledger) keepFrom(ctx context.Context, turn ledger.IndexEntry, tried int) error {
	record := [][]byte{ledger.Encode(turn)}
	own := l.Partition(turn.Program)
	for next := tried; ; {
		var p *partition
		p, next = l.keepPlace(own, next)
		p.holder.rebase(turn.Program)
		_, err := p.append(ctx, record)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w: keep turn: %w", ErrUnavailable, err)
		}
	}
}

// keepPlace returns the partition for one try of several, and where the next try goes on: the
// next partition that the store answers, as far as is known, and the next one where it answers
// none of them.
func (l *Ledger) keepPlace(own, try int) (*partition, int) {
	at := func(i int) *partition { return l.partitions[(own+i%keepPartitions)%len(l.partitions)] }
	for i := try; i < try+keepPartitions; i++ {
		if place := at(i); l.config.Availability.Available(place.appender.partition) {
			return place, i + 1
		}
	}
	return at(try), try + 1
}

// append writes adjacent records, with what waits for a call to go with, and returns the
// offset of the first.
func (p *partition) append(ctx context.Context, records [][]byte) (logstore.Offset, error) {
	within, cancel := context.WithTimeout(ctx, partitionPatience)
	defer cancel()
	waiting := newSubmission(within, records)
	p.flush(waiting)
	return waiting.wait()
}

const (
	// keepPartitions is how many partitions are tried for a turn's place in the index.
	keepPartitions = 4
	// partitionPatience is how long one partition is tried where another will do.
	partitionPatience = 350 * time.Millisecond
)

// Partitions returns how many partitions the ledger has.
func (l *Ledger) Partitions() int { return len(l.partitions) }

// CachedTurn returns a kept turn that this node has read of, in whichever partition.
func (l *Ledger) CachedTurn(turn ledger.TurnID) (ledger.IndexedTurn, bool) {
	for _, p := range l.partitions {
		if kept, found := p.follower.turn(turn); found {
			return kept, true
		}
	}
	return ledger.IndexedTurn{}, false
}

// Find returns a kept turn, from the first of the given partitions that holds it; each
// is read to its end first unless the turn is known. One that can't be read only matters
// if the turn is found in no other, since then it may stand there; numbers of no
// partition are passed over. Errors wrap ErrNoSuchTurn or ErrUnavailable.
func (l *Ledger) Find(ctx context.Context, turn ledger.TurnID, partitions ...int) (ledger.IndexedTurn, error) {
	absent := fmt.Errorf("%w: %s", ErrNoSuchTurn, turn)
	for _, number := range partitions {
		if number < 0 || number >= len(l.partitions) {
			continue
		}
		kept, found, err := l.partitions[number].follower.find(ctx, turn)
		if found {
			return kept, nil
		}
		if err != nil {
			absent = fmt.Errorf("%w: look for turn %s: %w", ErrUnavailable, turn, err)
		}
	}
	return ledger.IndexedTurn{}, absent
}

// CacheText keeps the text at a location in memory.
func (l *Ledger) CacheText(location ledger.Location, text []byte) { l.texts.remember(location, text) }

// CachedTexts returns the texts of a chain if all of them are in memory.
func (l *Ledger) CachedTexts(chain []ledger.Location) ([][]byte, bool) {
	texts := make([][]byte, 0, len(chain))
	for _, location := range chain {
		text, found := l.texts.recall(location)
		if !found {
			return nil, false
		}
		texts = append(texts, text)
	}
	return texts, true
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
