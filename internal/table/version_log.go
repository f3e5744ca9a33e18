package table

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/wire"
)

// Status is the outcome of a publication.
type Status string

// The statuses of publications.
const (
	// Accepted: the first valid publication on the version that was current.
	Accepted Status = "accepted"
	// Lost: another publication was accepted on the same base before it.
	Lost Status = "lost"
	// Refused: the table has findings, or its base was never accepted.
	Refused Status = "refused"
)

// Entry is one publication in the history.
type Entry struct {
	Offset    siteservices.Offset
	ID        string
	Base      Version
	Author    string
	Note      string
	Published time.Time
	Status    Status
	// Version is the entry's own version if it was accepted. If it lost, it is the
	// version that was accepted on its base.
	Version Version
	// Reason is why a table was refused.
	Reason string
	// Digest is a hash of the CSV.
	Digest uint64
}

// maxHistory is the number of publications in the history. It bounds the size of the
// state, and must be the same on all nodes, since a record whose id is in the history
// is ignored as a duplicate. An older duplicate is not accepted either, because its
// base is no longer current.
const maxHistory = 256

// maxTextBytes bounds each text of an entry.
const maxTextBytes = 2048

// VersionLog is the state that results from applying the records of the table stream
// in offset order. It is a function of the first Next() records only. Therefore, of
// two version logs of one stream the one with the higher Next is newer, and a node
// may adopt it from another node instead of reading the stream. It is not safe for
// concurrent use.
type VersionLog struct {
	next    siteservices.Offset
	current *Table
	csv     []byte
	history []Entry
	// lastSnapshotEnd is the offset after the last snapshot in the stream, 0 if there
	// is none.
	lastSnapshotEnd siteservices.Offset
}

// NewVersionLog returns the version log of an empty stream.
func NewVersionLog() *VersionLog { return &VersionLog{} }

// Next returns the offset of the next record to apply.
func (l *VersionLog) Next() siteservices.Offset { return l.next }

// Current returns the accepted table with the highest version, or nil.
func (l *VersionLog) Current() *Table { return l.current }

// CSV returns the current table as its author wrote it.
func (l *VersionLog) CSV() []byte { return l.csv }

// Version returns the current version, 0 before the first.
func (l *VersionLog) Version() Version {
	if l.current == nil {
		return 0
	}
	return l.current.Version
}

// History returns the most recent publications, oldest first.
func (l *VersionLog) History() []Entry { return append([]Entry(nil), l.history...) }

// Find returns the entry of the publication with this id, if it is in the history.
func (l *VersionLog) Find(id string) (Entry, bool) {
	for _, entry := range l.history {
		if entry.ID == id {
			return entry, true
		}
	}
	return Entry{}, false
}

// AcceptedOn returns the publication that was accepted on base, if it is in the
// history.
func (l *VersionLog) AcceptedOn(base Version) (Entry, bool) {
	for _, entry := range l.history {
		if entry.Status == Accepted && entry.Base == base {
			return entry, true
		}
	}
	return Entry{}, false
}

// Apply applies the record at Next(). Bytes that are not a record are skipped. The only
// possible error is ErrNewerFormat, and then the state does not change.
func (l *VersionLog) Apply(raw []byte) error {
	record, err := DecodeRecord(raw)
	if errors.Is(err, ErrNewerFormat) {
		return fmt.Errorf("table: offset %d: %w", l.next, err)
	}
	offset := l.next
	l.next++
	if err != nil {
		if isSnapshot(raw) {
			l.lastSnapshotEnd = l.next
		}
		return nil
	}
	if _, repeated := l.Find(record.ID); repeated {
		return nil
	}
	l.appendHistory(l.decide(offset, record))
	return nil
}

// decide returns the outcome of a publication and makes it the current version if it
// is accepted.
func (l *VersionLog) decide(offset siteservices.Offset, record Record) Entry {
	entry := Entry{
		Offset: offset, ID: record.ID, Base: record.Base, Author: truncate(record.Author), Note: truncate(record.Note),
		Published: record.Published, Digest: xxhash.Sum64(record.CSV),
	}
	if record.Base < l.Version() {
		entry.Status, entry.Version = Lost, record.Base+1
		return entry
	}
	if record.Base > l.Version() {
		entry.Status = Refused
		entry.Reason = fmt.Sprintf("names base %d, the current version is %d", record.Base, l.Version())
		return entry
	}
	parsed, err := Parse(record.CSV)
	if err != nil {
		entry.Status, entry.Reason = Refused, truncate(err.Error())
		return entry
	}
	entry.Status, entry.Version = Accepted, record.Base+1
	l.setCurrent(parsed, entry, record.CSV)
	return entry
}

// truncate shortens text to maxTextBytes.
func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "…"
}

func (l *VersionLog) setCurrent(parsed *Table, entry Entry, csv []byte) {
	parsed.Version, parsed.Base, parsed.ID = entry.Version, entry.Base, entry.ID
	parsed.Author, parsed.Note, parsed.Published = entry.Author, entry.Note, entry.Published
	l.current, l.csv = parsed, bytes.Clone(csv)
}

func (l *VersionLog) appendHistory(entry Entry) {
	l.history = append(l.history, entry)
	if len(l.history) > maxHistory {
		l.history = append([]Entry(nil), l.history[1:]...)
	}
}

// Encode appends the whole state.
func (l *VersionLog) Encode(e *wire.Encoder) {
	e.Uint64(uint64(l.next))
	e.Uint64(uint64(l.lastSnapshotEnd))
	e.Blob(l.csv)
	e.Bool(l.current != nil)
	if l.current != nil {
		l.currentEntry().encode(e)
	}
	e.Uint32(uint32(len(l.history)))
	for _, entry := range l.history {
		entry.encode(e)
	}
}

func (l *VersionLog) currentEntry() Entry {
	t := l.current
	return Entry{
		ID: t.ID, Base: t.Base, Author: t.Author, Note: t.Note, Published: t.Published,
		Status: Accepted, Version: t.Version, Digest: xxhash.Sum64(l.csv),
	}
}

// minEntrySize is the minimum size of an encoded entry in bytes.
const minEntrySize = 64

// DecodeVersionLog is the inverse of Encode.
func DecodeVersionLog(d *wire.Decoder) (*VersionLog, error) {
	l := &VersionLog{next: siteservices.Offset(d.Uint64()), lastSnapshotEnd: siteservices.Offset(d.Uint64())}
	csv := d.Blob()
	if d.Bool() {
		entry := decodeEntry(d)
		parsed, err := Parse(csv)
		if err != nil {
			return nil, fmt.Errorf("table: decode version log: %w", err)
		}
		l.setCurrent(parsed, entry, csv)
	}
	for range d.Count(minEntrySize) {
		l.history = append(l.history, decodeEntry(d))
	}
	if d.Err() != nil {
		return nil, fmt.Errorf("table: decode version log: %w", d.Err())
	}
	return l, nil
}

func (entry Entry) encode(e *wire.Encoder) {
	e.Uint64(uint64(entry.Offset))
	e.String(entry.ID)
	e.Uint64(uint64(entry.Base))
	e.String(entry.Author)
	e.String(entry.Note)
	e.Time(entry.Published)
	e.String(string(entry.Status))
	e.Uint64(uint64(entry.Version))
	e.String(entry.Reason)
	e.Uint64(entry.Digest)
}

func decodeEntry(d *wire.Decoder) Entry {
	return Entry{
		Offset: siteservices.Offset(d.Uint64()), ID: d.String(), Base: Version(d.Uint64()), Author: d.String(),
		Note: d.String(), Published: d.Time(), Status: Status(d.String()), Version: Version(d.Uint64()),
		Reason: d.String(), Digest: d.Uint64(),
	}
}

// Clone returns a copy that is not affected by later changes of l.
func (l *VersionLog) Clone() *VersionLog {
	// Tables and texts are replaced and never modified, so they can be shared.
	return &VersionLog{next: l.next, current: l.current, csv: l.csv, history: l.History(), lastSnapshotEnd: l.lastSnapshotEnd}
}
