package ledgerlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

const (
	// textReadTimeout bounds the read of one text, which takes several calls if the text has
	// several records.
	textReadTimeout = 2 * readTimeout
	// parallelTextReads is how many texts of one chain are read at a time.
	parallelTextReads = 8
	// minReadBytes is the lower limit of Config.CacheBytes as a bound on the texts that are read
	// at a time.
	minReadBytes = 1 << 20
)

// errTextShort reports that the log has less of a text than its location says.
var errTextShort = errors.New("ledgerlog: text in the log is incomplete")

// TextError reports that the text at a location could not be read.
type TextError struct {
	Partition logstore.Partition
	Location  ledger.Location
	// Err is the error of the last call.
	Err error
}

// Error implements error.
func (e *TextError) Error() string {
	return fmt.Sprintf("text of %d bytes at offset %d of partition %d of %s: %v", e.Location.Size, e.Location.Offset, e.Partition.Number, e.Partition.Topic, e.Err)
}

// Unwrap returns the error of the last call.
func (e *TextError) Unwrap() error { return e.Err }

// Texts returns the texts of a chain, oldest first, from the cache, the log or the archive. Errors wrap
// a *TextError, and ErrUnavailable if a later attempt may succeed, or if the turn is kept although no
// copy of a text was found. Without an archive they wrap ErrNoSuchTurn if the log has dropped a text.
func (l *Ledger) Texts(ctx context.Context, chain []ledger.Location) ([][]byte, error) {
	if texts, all := l.CachedTexts(chain); all {
		return texts, nil
	}
	texts, err := l.textsOf(ctx, chain[0], chain)
	switch {
	case errors.Is(err, errTextGone) && l.config.ArchiveTopic == "":
		return nil, fmt.Errorf("%w: its history is no longer retained: %w", ErrNoSuchTurn, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return texts, nil
}

// textsOf returns some of the texts of a chain whose first text is at a location. Its error wraps a
// *TextError, and errTextGone if the log has dropped a text that no archive has.
func (l *Ledger) textsOf(ctx context.Context, first ledger.Location, chain []ledger.Location) ([][]byte, error) {
	texts := make([][]byte, len(chain))
	group, within := errgroup.WithContext(ctx)
	group.SetLimit(parallelTextReads)
	for i, location := range chain {
		group.Go(func() (err error) {
			texts[i], err = l.texts.read(within, location)
			var trimmed *logstore.TrimmedError
			if err != nil && !errors.As(err, &trimmed) {
				return &TextError{Partition: l.texts.placeOf(location), Location: location, Err: err}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return texts, l.texts.addArchived(ctx, first, chain, texts)
}

// textRead is the read of one text with any number of waiters; text and err are set before done
// is closed.
type textRead struct {
	done chan struct{}
	text []byte
	err  error
}

// read returns the text at a location. Concurrent callers share a read, which goes on after they
// have left, so that the next attempt finds the text in the cache.
func (t *textStore) read(ctx context.Context, location ledger.Location) ([]byte, error) {
	for late := false; ctx.Err() == nil; late = true {
		reading, began := t.join(location)
		select {
		case <-reading.done:
		case <-ctx.Done():
			continue
		}
		if reading.err == nil || began || late {
			return reading.text, reading.err
		}
		// The read that failed may have begun long before this call, the next one has not.
	}
	return nil, ctx.Err()
}

// join returns the read of a text that is in progress, or begins one. A text in the cache is a
// read that is done.
func (t *textStore) join(location ledger.Location) (reading *textRead, began bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if reading, joined := t.reading[location]; joined {
		return reading, false
	}
	reading = &textRead{done: make(chan struct{})}
	if text, found := t.cache[location]; found {
		reading.text = text
		close(reading.done)
		return reading, true
	}
	t.reading[location] = reading
	go t.runRead(location, reading)
	return reading, true
}

func (t *textStore) runRead(location ledger.Location, reading *textRead) {
	ctx, cancel := context.WithTimeout(context.Background(), textReadTimeout)
	defer cancel()
	reading.text, reading.err = t.readBounded(ctx, location)
	if reading.err == nil {
		t.cacheText(location, reading.text)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.reading, location)
	close(reading.done)
}

// readBounded reads a text once the texts that are being read leave room for it, since reads that
// nobody waits for count toward no request.
func (t *textStore) readBounded(ctx context.Context, location ledger.Location) ([]byte, error) {
	size := min(int64(location.Size), t.readLimit)
	if err := t.readBytes.Acquire(ctx, size); err != nil {
		return nil, fmt.Errorf("ledgerlog: wait for other reads of texts: %w", err)
	}
	defer t.readBytes.Release(size)
	if _, inIndex := location.InIndex(t.config.Partitions); inIndex {
		return t.readIndexText(ctx, location)
	}
	return t.readRecords(ctx, location)
}

// readRecords reads a text from its own topic.
func (t *textStore) readRecords(ctx context.Context, location ledger.Location) ([]byte, error) {
	text := make([]byte, 0, location.Size)
	from := logstore.Offset(location.Offset)
	for len(text) < int(location.Size) {
		result, err := t.readOnce(ctx, t.placeOf(location), from, int(location.Size)-len(text)+callOverhead)
		if err != nil {
			return nil, err
		}
		for _, record := range result.Records {
			if len(text) < int(location.Size) {
				text = append(text, record...)
			}
		}
		if len(result.Records) == 0 {
			return nil, errTextShort
		}
		from += logstore.Offset(len(result.Records))
	}
	if len(text) != int(location.Size) {
		return nil, fmt.Errorf("%w: %d bytes of %d", errTextShort, len(text), location.Size)
	}
	return text, nil
}

// readIndexText reads a text from the index.
func (t *textStore) readIndexText(ctx context.Context, location ledger.Location) ([]byte, error) {
	if !location.Resolved() {
		return nil, errTextShort
	}
	result, err := t.readOnce(ctx, t.placeOf(location), logstore.Offset(location.Offset), int(location.Size)+textOverhead+callOverhead)
	if err != nil {
		return nil, err
	}
	if len(result.Records) == 0 {
		return nil, errTextShort
	}
	return textOf(result.Records[0], location)
}

// textOf returns a copy of the text in a record of the index. It fails if the record is not the
// location's.
func textOf(record []byte, location ledger.Location) ([]byte, error) {
	text, found := ledger.TextOf(record)
	if !found || len(text) != int(location.Size) {
		return nil, fmt.Errorf("%w: record of %d bytes is not the text", errTextShort, len(record))
	}
	return bytes.Clone(text), nil
}

// placeOf returns the partition of the log that has the text at a location.
func (t *textStore) placeOf(location ledger.Location) logstore.Partition {
	if partition, inIndex := location.InIndex(t.config.Partitions); inIndex {
		return logstore.Partition{Topic: t.config.Topic, Number: partition}
	}
	number, _ := location.InTopic(t.config.Partitions)
	return logstore.Partition{Topic: t.config.TextTopic, Number: number}
}

// readOnce makes one call. Offsets that the partition is known to have dropped are not asked for.
func (t *textStore) readOnce(ctx context.Context, place logstore.Partition, from logstore.Offset, maxBytes int) (logstore.ReadResult, error) {
	if dropped := t.droppedTo(place); from < dropped {
		return logstore.ReadResult{}, &logstore.TrimmedError{First: dropped}
	}
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result, err := t.config.Store.Read(call, logstore.ReadRequest{Partition: place, From: from, MaxBytes: maxBytes})
	var trimmed *logstore.TrimmedError
	if errors.As(err, &trimmed) {
		t.noteDropped(place, trimmed.First)
	}
	return result, err
}

// droppedTo returns the oldest offset that a partition may have.
func (t *textStore) droppedTo(place logstore.Partition) logstore.Offset {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.dropped[place]
}

func (t *textStore) noteDropped(place logstore.Partition, first logstore.Offset) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropped[place] = max(t.dropped[place], first)
}
