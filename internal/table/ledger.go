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

// Status tells what became of a publication.
type Status string

// The statuses of publications.
const (
	// Accepted: the first valid one on the version that was current.
	Accepted Status = "accepted"
	// Lost: another one was accepted on the same base before it.
	Lost Status = "lost"
	// Refused: the table has findings, or names a base that was never accepted.
	Refused Status = "refused"
)

// Entry is one publication in the ledger's history.
type Entry struct {
	Offset    siteservices.Offset
	ID        string
	Base      Version
	Author    string
	Note      string
	Published time.Time
	Status    Status
	// Version is the entry's own version if it was accepted; if it lost, the
	// version that won on its base.
	Version Version
	// Reason says why a table was refused.
	Reason string
	// Digest is a hash of the CSV.
	Digest uint64
}

// historyLength is the number of publications that a ledger remembers. It
// bounds the ledger's size, and is part of the rule: a repeated id is dropped
// if it is among them. An older repeat loses all the same, for its base is old.
const historyLength = 256

// maximumText bounds each text of an entry, in bytes.
const maximumText = 2048

// VersionLog folds the records of the table stream in offset order. It is a pure
// function of the stream's first Next() records: of two ledgers of one stream
// the one that has folded more is right, and a node that takes it from another
// node comes to the state it would have read itself. Not safe for concurrent use.
type VersionLog struct {
	next    siteservices.Offset
	current *Table
	csv     []byte
	history []Entry
	// summarized is the offset behind the last summary in the stream, 0 if there is none.
	summarized siteservices.Offset
}

// NewVersionLog returns the ledger of an empty stream.
func NewVersionLog() *VersionLog { return &VersionLog{} }

// Next returns the offset of the next record to fold.
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

// History returns the remembered publications, oldest first.
func (l *VersionLog) History() []Entry { return append([]Entry(nil), l.history...) }

// Find returns what became of the publication with id.
func (l *VersionLog) Find(id string) (Entry, bool) {
	for _, entry := range l.history {
		if entry.ID == id {
			return entry, true
		}
	}
	return Entry{}, false
}

// AcceptedOn returns the publication that was accepted on base.
func (l *VersionLog) AcceptedOn(base Version) (Entry, bool) {
	for _, entry := range l.history {
		if entry.Status == Accepted && entry.Base == base {
			return entry, true
		}
	}
	return Entry{}, false
}

// Apply takes the record at Next(). Bytes that are no record are passed over.
// It fails only with ErrNewerFormat, and then stays where it is.
func (l *VersionLog) Apply(raw []byte) error {
	record, err := DecodeRecord(raw)
	if errors.Is(err, ErrNewerFormat) {
		return fmt.Errorf("table: offset %d: %w", l.next, err)
	}
	offset := l.next
	l.next++
	if err != nil {
		if isSummary(raw) {
			l.summarized = l.next
		}
		return nil
	}
	if _, repeated := l.Find(record.ID); repeated {
		return nil
	}
	l.remember(l.judge(offset, record))
	return nil
}

// judge decides about one publication and takes it in force if it is accepted.
func (l *VersionLog) judge(offset siteservices.Offset, record Record) Entry {
	entry := Entry{
		Offset: offset, ID: record.ID, Base: record.Base, Author: clip(record.Author), Note: clip(record.Note),
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
		entry.Status, entry.Reason = Refused, clip(err.Error())
		return entry
	}
	entry.Status, entry.Version = Accepted, record.Base+1
	l.accept(parsed, entry, record.CSV)
	return entry
}

// clip bounds what the history keeps of texts.
func clip(text string) string {
	if len(text) <= maximumText {
		return text
	}
	return strings.ToValidUTF8(text[:maximumText], "") + "…"
}

func (l *VersionLog) accept(parsed *Table, entry Entry, csv []byte) {
	parsed.Version, parsed.Base, parsed.ID = entry.Version, entry.Base, entry.ID
	parsed.Author, parsed.Note, parsed.Published = entry.Author, entry.Note, entry.Published
	l.current, l.csv = parsed, bytes.Clone(csv)
}

func (l *VersionLog) remember(entry Entry) {
	l.history = append(l.history, entry)
	if len(l.history) > historyLength {
		l.history = append([]Entry(nil), l.history[1:]...)
	}
}

// Encode appends the ledger's whole state, for a node that is behind.
func (l *VersionLog) Encode(e *wire.Encoder) {
	e.Uint64(uint64(l.next))
	e.Uint64(uint64(l.summarized))
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

// smallestEntry is the least number of bytes of an encoded entry.
const smallestEntry = 64

// DecodeVersionLog reads what Encode wrote.
func DecodeVersionLog(d *wire.Decoder) (*VersionLog, error) {
	l := &VersionLog{next: siteservices.Offset(d.Uint64()), summarized: siteservices.Offset(d.Uint64())}
	csv := d.Blob()
	if d.Bool() {
		entry := decodeEntry(d)
		parsed, err := Parse(csv)
		if err != nil {
			return nil, fmt.Errorf("table: ledger of a peer: %w", err)
		}
		l.accept(parsed, entry, csv)
	}
	for range d.Count(smallestEntry) {
		l.history = append(l.history, decodeEntry(d))
	}
	if d.Err() != nil {
		return nil, fmt.Errorf("table: ledger of a peer: %w", d.Err())
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

// Clone returns a copy that later folds of l do not change.
func (l *VersionLog) Clone() *VersionLog {
	// Tables and texts are replaced whole, never changed in place.
	return &VersionLog{next: l.next, current: l.current, csv: l.csv, history: l.History(), summarized: l.summarized}
}
