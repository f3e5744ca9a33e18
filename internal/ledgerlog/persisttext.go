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
	// minIndexTexts is how many texts of the maximum size fill a partition's limit.
	minIndexTexts = 16
	// textOverhead is the size of a text record besides its text, in bytes.
	textOverhead = 1
)

// textLimits returns the limits for texts in a partition of the index.
func (c *Config) textLimits() ledger.TextLimits {
	if c.Partitions > ledger.IndexPartitions {
		return ledger.TextLimits{}
	}
	return ledger.TextLimits{
		Retain: c.Retain, WindowBytes: c.IndexTextBytes, TextBytes: min(c.IndexTextBytes/minIndexTexts, c.RecordBytes-textOverhead),
	}
}

// PersistTurnWithText writes a turn's text and index entry and returns the location of the
// text. turn.Chain contains the locations of the previous turns. A small text is written right
// before its index entry, in one call, unless separate is set: nodes that may not read the text
// read the index. Other texts are written to their own topic first. It retries until ctx ends.
// Errors wrap ErrUnavailable.
func (l *Ledger) PersistTurnWithText(ctx context.Context, turn ledger.IndexEntry, text []byte, separate bool) (ledger.Location, error) {
	number := l.Partition(turn.Program)
	tried := 0
	if !separate && l.acceptsText(number, len(text)) {
		location, err := l.persistTogether(ctx, number, turn, text)
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
	if !separate || l.config.ArchiveTopic == "" || l.config.Partitions > ledger.ArchivedPartitions {
		turn.Chain = withLocation(turn.Chain, location)
		return location, l.persistFrom(ctx, turn, tried, nil)
	}
	// The node that archives the turn may not read the text.
	location = location.WithArchive()
	l.texts.cacheText(location, text)
	turn.Chain = withLocation(turn.Chain, location)
	return location, l.persistFrom(ctx, turn, tried, func() (keys []string, records [][]byte) {
		return encodeText(turn.Chain[0], location, text, l.config.archivePartBytes())
	})
}

// acceptsText reports whether a text may go into a partition of the index now: the partition is
// available, as far as known, and has room.
func (l *Ledger) acceptsText(number, size int) bool {
	p := l.partitions[number]
	return l.config.Availability.Available(p.appender.partition) && p.reader.acceptsText(size)
}

// persistTogether writes a text and its index entry in one call. If the outcome is unknown, the
// caller may persist the turn again elsewhere.
func (l *Ledger) persistTogether(ctx context.Context, number int, turn ledger.IndexEntry, text []byte) (ledger.Location, error) {
	p := l.partitions[number]
	turn.Chain = withLocation(turn.Chain, ledger.TextBefore(number, len(text)))
	p.creditManager.rebase(turn.Program)
	first, err := p.append(ctx, [][]byte{ledger.Encode(ledger.Text{Bytes: text}), ledger.Encode(turn)})
	if err != nil {
		return ledger.Location{}, err
	}
	p.reader.countUnread(first, len(text))
	location := ledger.TextAt(number, uint64(first), len(text))
	l.texts.cacheText(location, text)
	return location, nil
}

// withLocation returns a copy of chain with location appended.
func withLocation(chain []ledger.Location, location ledger.Location) []ledger.Location {
	longer := make([]ledger.Location, 0, len(chain)+1)
	return append(append(longer, chain...), location)
}

// acceptsText reports whether a text may go into the partition. A node that has not read the
// partition does not know how many bytes of texts it has, and adds none.
func (r *reader) acceptsText(size int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.answered == 0 && r.confirmed == 0 {
		return false
	}
	now := r.clock()
	takes := r.state.AcceptsText(size, now)
	r.logRoom(now)
	return takes
}

// logRoom logs when the partition stops accepting texts of any size, and when it accepts the
// largest again. The caller must hold the mutex.
func (r *reader) logRoom(now time.Duration) {
	const smallest = 1
	room := r.state.AcceptsText(smallest, now)
	if r.textsRefused {
		room = r.state.AcceptsText(r.largestText, now)
	}
	if room != r.textsRefused {
		return
	}
	r.textsRefused = !room
	total, demanded := r.state.TextBytes(now)
	r.logger.Info("changed whether the index accepts texts", "partition", r.partition.Number, "taken", room, "text_bytes", total, "demanded_bytes", demanded)
}

// countUnread counts a text that this node wrote at an offset but has not applied yet, which
// happens if unread records of other nodes come before it.
func (r *reader) countUnread(offset logstore.Offset, size int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if logstore.Offset(r.state.Next()) <= offset {
		r.state.NoteText(size, r.clock())
	}
}

// emitTexts passes on the texts among records that are about to be applied, since a node that
// takes a partition over needs them for the next turns. The caller must hold the mutex.
func (r *reader) emitTexts(records [][]byte) {
	for i, record := range records {
		if text, found := ledger.TextOf(record); found {
			r.onText(ledger.TextAt(r.partition.Number, r.state.Next()+uint64(i), len(text)), bytes.Clone(text))
		}
	}
}
