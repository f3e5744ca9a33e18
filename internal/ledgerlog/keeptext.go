package ledgerlog

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

const (
	// indexTexts is how many of the largest texts use up a partition's window.
	indexTexts = 16
	// textKindBytes is what a record of the index takes besides its text.
	textKindBytes = 1
)

// textRule returns the bounds of texts in a partition of the index.
func (c *Config) textRule() ledger.TextLimits {
	if c.Partitions > ledger.IndexPartitions {
		return ledger.TextLimits{}
	}
	return ledger.TextLimits{
		Retain: c.Retain, WindowBytes: c.IndexTextBytes, TextBytes: min(c.IndexTextBytes/indexTexts, c.RecordBytes-textKindBytes),
	}
}

// PersistTurnWithText makes a turn and its text durable, where turn.Chain holds the turns before,
// and returns where the text stands. A small text goes before its place in the index, in
// one call of the store, unless apart: the index is read by nodes that may not read the
// text. Else the text goes to its own topic first. It tries until ctx ends. Errors wrap
// ErrUnavailable.
func (l *Ledger) PersistTurnWithText(ctx context.Context, turn ledger.IndexEntry, text []byte, apart bool) (ledger.Location, error) {
	number := l.Partition(turn.Program)
	tried := 0
	if !apart && l.mayHoldText(number, len(text)) {
		location, err := l.keepTogether(ctx, number, turn, text)
		if err == nil {
			l.texts.metrics.texts.WithLabelValues("index").Inc()
			return location, nil
		}
		if ctx.Err() != nil {
			return ledger.Location{}, fmt.Errorf("%w: keep turn and text: %w", ErrUnavailable, err)
		}
		tried = 1
	}
	location, err := l.WriteText(ctx, text)
	if err != nil {
		return ledger.Location{}, err
	}
	l.texts.metrics.texts.WithLabelValues("topic").Inc()
	turn.Chain = withLocation(turn.Chain, location)
	return location, l.keepFrom(ctx, turn, tried)
}

// mayHoldText tells whether a text may go into a partition of the index now: the store
// answers there, as far as is known, and the partition has room.
func (l *Ledger) mayHoldText(number, size int) bool {
	p := l.partitions[number]
	return l.config.Availability.Available(p.appender.partition) && p.follower.takesText(size)
}

// keepTogether writes a text and its turn in one call. Where the outcome is not known, the
// turn may be kept again elsewhere.
func (l *Ledger) keepTogether(ctx context.Context, number int, turn ledger.IndexEntry, text []byte) (ledger.Location, error) {
	p := l.partitions[number]
	turn.Chain = withLocation(turn.Chain, ledger.TextBefore(number, len(text)))
	p.holder.rebase(turn.Program)
	first, err := p.append(ctx, [][]byte{ledger.Encode(ledger.Text{Bytes: text}), ledger.Encode(turn)})
	if err != nil {
		return ledger.Location{}, err
	}
	p.follower.noteUnread(first, len(text))
	location := ledger.TextAt(number, uint64(first), len(text))
	l.texts.remember(location, text)
	return location, nil
}

// withLocation returns a longer chain and leaves the given one as it is.
func withLocation(chain []ledger.Location, location ledger.Location) []ledger.Location {
	longer := make([]ledger.Location, 0, len(chain)+1)
	return append(append(longer, chain...), location)
}

// takesText tells whether a text may stand in the partition. A node that has not read
// the partition does not know how many it holds, and puts none there.
func (f *follower) takesText(size int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.answered == 0 && f.confirmed == 0 {
		return false
	}
	now := f.clock()
	takes := f.state.AcceptsText(size, now)
	f.tellRoom(now)
	return takes
}

// tellRoom logs when the partition takes hardly any text any more, and when it takes the
// largest again. It needs the mutex.
func (f *follower) tellRoom(now time.Duration) {
	const smallest = 1
	room := f.state.AcceptsText(smallest, now)
	if f.textsApart {
		room = f.state.AcceptsText(f.largestText, now)
	}
	if room != f.textsApart {
		return
	}
	f.textsApart = !room
	held, demanded := f.state.TextBytes(now)
	f.logger.Info("texts in the index", "partition", f.partition.Number, "taken", room, "text_bytes", held, "demanded_bytes", demanded)
}

// noteUnread counts a text that this node wrote at an offset unless it was applied, which
// it is not while records of others stand before it.
func (f *follower) noteUnread(offset logstore.Offset, size int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if logstore.Offset(f.state.Next()) <= offset {
		f.state.NoteText(size, f.clock())
	}
}

// tellTexts hands on the texts among records that are to be applied next: whoever takes a
// partition over needs them for the turns to come. It needs the mutex.
func (f *follower) tellTexts(records [][]byte) {
	for i, record := range records {
		if text, found := ledger.TextOf(record); found {
			f.onText(ledger.TextAt(f.partition.Number, f.state.Next()+uint64(i), len(text)), bytes.Clone(text))
		}
	}
}

// indexText reads a text that stands in the index.
func (t *textStore) indexText(ctx context.Context, location ledger.Location, partition int) ([]byte, error) {
	if !location.Resolved() {
		return nil, errTextShort
	}
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result, err := t.config.Store.Read(call, logstore.ReadRequest{
		Partition: logstore.Partition{Topic: t.config.Topic, Number: partition},
		From:      logstore.Offset(location.Offset), MaxBytes: int(location.Size) + textKindBytes + callOverhead,
	})
	if err != nil {
		return nil, err
	}
	if len(result.Records) == 0 {
		return nil, errTextShort
	}
	return textOf(result.Records[0], location)
}

// textOf returns a copy of the text in a record of the index, which must be the location's.
func textOf(record []byte, location ledger.Location) ([]byte, error) {
	text, found := ledger.TextOf(record)
	if !found || len(text) != int(location.Size) {
		return nil, fmt.Errorf("%w: another record of %d bytes", errTextShort, len(record))
	}
	return bytes.Clone(text), nil
}
