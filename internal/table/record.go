package table

import (
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/wire"
)

// Stream is the log stream that versions are published to.
const Stream = "table"

// recordMagic starts every record of the stream, recordFormat says how the rest
// is laid out and which rules of Parse it was checked by.
const (
	recordMagic  uint32 = 0x53544231
	recordFormat uint16 = 1
)

// ErrNewerFormat tells that a record was written by a newer release. A node
// that skipped it could disagree with others about all later versions, so it
// must stop folding instead.
var ErrNewerFormat = errors.New("table: record of a newer release")

// ErrNotRecord tells that the bytes are no table record; all nodes skip it.
var ErrNotRecord = errors.New("table: not a table record")

// Record is one publication as it stands in the log.
type Record struct {
	// ID is unique to the publication; a record may stand in the log more than
	// once after lost answers, and only the first counts.
	ID string
	// Base is the version that the author started from.
	Base   Version
	Author string
	Note   string
	// Published is the publisher's clock, for display only.
	Published time.Time
	CSV       []byte
}

// Encode returns the record's form in the log.
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

// DecodeRecord reads what Encode wrote.
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
