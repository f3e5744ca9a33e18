package table

import (
	"encoding/binary"
	"fmt"

	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/wire"
)

// SnapshotInterval is the number of records after which a new snapshot is due: a record
// that contains a whole version log, so that a site that starts without any state need
// not read the stream from its beginning.
const SnapshotInterval = 256

// snapshotMagic is the prefix of every snapshot, snapshotFormat the version of its
// encoding.
const (
	snapshotMagic  uint32 = 0x53544253
	snapshotFormat uint16 = 1
)

// SnapshotDue reports whether SnapshotInterval records have been applied since the last
// snapshot.
func (l *VersionLog) SnapshotDue() bool { return l.next >= l.lastSnapshotEnd+SnapshotInterval }

// Snapshot returns the record that contains the whole state. It may be appended to the
// stream at any later offset, and more than once, since it is not a publication.
func (l *VersionLog) Snapshot() []byte {
	e := wire.NewEncoder(nil)
	e.Uint32(snapshotMagic)
	e.Uint16(snapshotFormat)
	l.Encode(e)
	return e.Bytes()
}

func isSnapshot(raw []byte) bool {
	return len(raw) >= 4 && binary.BigEndian.Uint32(raw) == snapshotMagic
}

// DecodeSnapshot returns the version log in the record at offset, or ErrNotRecord if the
// record is not a snapshot in a supported format.
func DecodeSnapshot(offset siteservices.Offset, raw []byte) (*VersionLog, error) {
	d := wire.NewDecoder(raw)
	if d.Uint32() != snapshotMagic || d.Uint16() != snapshotFormat {
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
		return nil, fmt.Errorf("%w: the snapshot at %d claims to contain %d records", ErrNotRecord, offset, l.next)
	}
	return l, nil
}
