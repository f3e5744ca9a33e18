package ledgerlog

import (
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

// WriteText writes the text of a turn to its topic. Errors wrap ErrUnavailable.
func (l *Ledger) WriteText(ctx context.Context, text []byte) (ledger.Location, error) {
	location, err := l.texts.write(ctx, text)
	if err != nil {
		return ledger.Location{}, fmt.Errorf("%w: keep text: %w", ErrUnavailable, err)
	}
	return location, nil
}

// PersistTurn adds a turn to the index. Once it returns without an error, every node finds the
// turn. If the program's own partition is unavailable, the entry goes into another one;
// persisting a turn twice is harmless. It retries until ctx ends. Errors wrap ErrUnavailable.
func (l *Ledger) PersistTurn(ctx context.Context, turn ledger.IndexEntry) error {
	return l.persistFrom(ctx, turn, 0, nil)
}

// persistFrom is PersistTurn after tried partitions, starting with the program's own, have been
// tried. copyText, unless it is nil, returns the copy of the turn's text for the archive of a partition,
// which is written beside the entry.
func (l *Ledger) persistFrom(ctx context.Context, turn ledger.IndexEntry, tried int, copyText func() (keys []string, records [][]byte)) error {
	record := [][]byte{ledger.Encode(turn)}
	own := l.Partition(turn.Program)
	for next := tried; ; {
		var p *partition
		p, next = l.nextPartition(own, next)
		p.creditManager.rebase(turn.Program)
		err := p.appendWithCopy(ctx, record, copyText)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w: keep turn: %w", ErrUnavailable, err)
		}
	}
}

// nextPartition returns the partition for an attempt and the number of the next attempt. It
// skips partitions that are known to be unavailable, unless all of them are.
func (l *Ledger) nextPartition(own, try int) (*partition, int) {
	at := func(i int) *partition { return l.partitions[(own+i%maxPersistPartitions)%len(l.partitions)] }
	for i := try; i < try+maxPersistPartitions; i++ {
		if place := at(i); l.config.Availability.Available(place.appender.partition) {
			return place, i + 1
		}
	}
	return at(try), try + 1
}

// append writes adjacent records together with the lazy submissions and returns the offset of
// the first.
func (p *partition) append(ctx context.Context, records [][]byte) (logstore.Offset, error) {
	within, cancel := context.WithTimeout(ctx, partitionTimeout)
	defer cancel()
	waiting := newSubmission(within, records)
	p.flush(waiting)
	return waiting.wait()
}

// appendWithCopy is append for the entry of a turn, and waits for the copy of its text, too, if there is
// one.
func (p *partition) appendWithCopy(ctx context.Context, record [][]byte, copyText func() (keys []string, records [][]byte)) error {
	within, cancel := context.WithTimeout(ctx, partitionTimeout)
	defer cancel()
	var copied *submission
	if copyText != nil {
		keys, records := copyText()
		copied = newKeyedSubmission(within, keys, records)
		p.copies.enqueue(copied)
	}
	if _, err := p.append(within, record); err != nil {
		return err
	}
	if copied == nil {
		return nil
	}
	_, err := copied.wait()
	return err
}

const (
	// maxPersistPartitions is how many partitions are tried for a turn's index entry.
	maxPersistPartitions = 4
	// partitionTimeout is how long one partition is tried before another one is.
	partitionTimeout = 350 * time.Millisecond
)

// Partitions returns the number of partitions.
func (l *Ledger) Partitions() int { return len(l.partitions) }

// CachedTurn returns the index entry of a turn that this node has read, from any partition.
func (l *Ledger) CachedTurn(turn ledger.TurnID) (ledger.IndexedTurn, bool) {
	for _, p := range l.partitions {
		if entry, found := p.reader.turn(turn); found {
			return entry, true
		}
	}
	return ledger.IndexedTurn{}, false
}

// CacheText puts the text at a location into the cache.
func (l *Ledger) CacheText(location ledger.Location, text []byte) { l.texts.cacheText(location, text) }

// CachedTexts returns the texts of a chain if all of them are in the cache.
func (l *Ledger) CachedTexts(chain []ledger.Location) ([][]byte, bool) {
	texts := make([][]byte, 0, len(chain))
	for _, location := range chain {
		text, found := l.texts.cachedText(location)
		if !found {
			return nil, false
		}
		texts = append(texts, text)
	}
	return texts, true
}
