package table

import (
	"encoding/binary"
	"fmt"

	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/wire"
)

// SnapshotInterval is the number of records after which the stream wants a new
// summary: a record that holds a whole ledger, so that a site that starts cold
// need not read the stream from its beginning.
const SnapshotInterval = 256

// summaryMagic starts every summary, summaryFormat says how the rest is laid out.
const (
	summaryMagic  uint32 = 0x53544253
	summaryFormat uint16 = 1
)

// SnapshotDue tells that the stream has grown by SummaryInterval since its last
// summary, as far as the ledger has folded it.
func (l *VersionLog) SnapshotDue() bool { return l.next >= l.summarized+SnapshotInterval }

// Snapshot returns the record that sums up what the ledger has folded. It may
// stand anywhere behind, and more than once: it is no publication.
func (l *VersionLog) Snapshot() []byte {
	e := wire.NewEncoder(nil)
	e.Uint32(summaryMagic)
	e.Uint16(summaryFormat)
	l.Encode(e)
	return e.Bytes()
}

func isSummary(raw []byte) bool {
	return len(raw) >= 4 && binary.BigEndian.Uint32(raw) == summaryMagic
}

// DecodeSnapshot returns the ledger of the record at offset if that is a summary
// which this release understands, or ErrNotRecord.
func DecodeSnapshot(offset siteservices.Offset, raw []byte) (*VersionLog, error) {
	d := wire.NewDecoder(raw)
	if d.Uint32() != summaryMagic || d.Uint16() != summaryFormat {
		return nil, ErrNotRecord
	}
	l, err := DecodeVersionLog(d)
	if err != nil {
		return nil, err
	}
	if err := d.Finish(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotRecord, err)
	}
	if l.next > offset {
		return nil, fmt.Errorf("%w: the summary at %d claims to know %d records", ErrNotRecord, offset, l.next)
	}
	return l, nil
}
