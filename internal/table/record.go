package table

import (
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/wire"
)

// Stream is the name of the log stream to which versions are published.
const Stream = "table"

// recordMagic is the prefix of every publication in the stream. recordFormat is the
// version of its encoding and of the validation rules of Parse.
const (
	recordMagic  uint32 = 0x53544231
	recordFormat uint16 = 1
)

// ErrNewerFormat is returned for a record in a newer format than this release
// supports. A node must stop applying records then: if it skipped the record, it could
// disagree with other nodes about all later versions.
var ErrNewerFormat = errors.New("table: record of a newer release")

// ErrNotRecord is returned for bytes that are not a table record; all nodes skip them.
var ErrNotRecord = errors.New("table: not a table record")

// Record is one publication in the log.
type Record struct {
	// ID is unique to the publication. A record may be in the log more than once after
	// retried appends; only the first one counts.
	ID string
	// Base is the version that the publication replaces.
	Base   Version
	Author string
	Note   string
	// Published is the time by the publisher's clock, for display only.
	Published time.Time
	CSV       []byte
}

// Encode returns the binary form of the record.
func (r Record) Encode() []byte {
	e := wire.NewEncoder(make([]byte, 0, len(r.CSV)+128))
	e.Uint32(recordMagic)
	e.Uint16(recordFormat)
	e.String(r.ID)
	e.Uint64(uint64(r.Base))
	e.String(r.Author)
	e.String(r.Note)
	e.Time(r.Published)
	e.Blob(r.CSV)
	return e.Bytes()
}

// DecodeRecord is the inverse of Encode.
func DecodeRecord(raw []byte) (Record, error) {
	d := wire.NewDecoder(raw)
	if d.Uint32() != recordMagic {
		return Record{}, ErrNotRecord
	}
	if format := d.Uint16(); format > recordFormat {
		return Record{}, fmt.Errorf("%w: format %d, this one knows %d", ErrNewerFormat, format, recordFormat)
	}
	r := Record{ID: d.String(), Base: Version(d.Uint64()), Author: d.String(), Note: d.String(), Published: d.Time(), CSV: d.Blob()}
	if err := d.Finish(); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrNotRecord, err)
	}
	if r.ID == "" {
		return Record{}, fmt.Errorf("%w: no id", ErrNotRecord)
	}
	return r, nil
}
