package journal

import (
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/wire"
)

// ErrDamaged tells that bytes in a log stream are no journal record.
var ErrDamaged = errors.New("journal: damaged log record")

// RecordID is unique over all log records of a site, so that a record that
// landed twice after a lost answer is counted once.
type RecordID [16]byte

// RecordKind numbers the kinds of log records. Numbers are never reused.
type RecordKind uint8

// The kinds of log records.
const (
	// ClaimRecord takes the shard for a new epoch.
	ClaimRecord RecordKind = iota + 1
	// BatchRecord holds records of the shard's state machine.
	BatchRecord
	// SnapshotRecord holds the whole state, and the claims that stand; a fold may
	// start at it.
	SnapshotRecord
	// ActivatedRecord tells that the tail of the former epoch stands in the log,
	// so that the claim's own replica set is the one to ask from here on.
	ActivatedRecord
	// ReleasedRecord tells that the owner stopped and that the log holds all.
	ReleasedRecord
)

// recordFormat is the first byte of each log record.
const recordFormat uint8 = 1

// Claim names the owner of an epoch and the replicas of its tail, each with its
// incarnation.
type Claim struct {
	Epoch identity.Epoch
	// TailFrom is the lowest epoch whose records at the replicas belong to this
	// ownership. It is lower than Epoch where the same owner claimed again.
	TailFrom identity.Epoch
	Owner    identity.Node
	Replicas []identity.Node
}

// Record is one record of a shard's log stream.
type Record struct {
	Kind  RecordKind
	ID    RecordID
	Shard identity.ShardID
	Epoch identity.Epoch
	// Base is the offset from which a fold that wants to include this record must
	// start: the newest valid snapshot known to the writer, or 0.
	Base siteservices.Offset
	// Index is the last state machine record that the log holds before a batch,
	// and at any other record. State machine records count from 1 over all epochs.
	Index uint64
	// Entries are the state machine records of a batch: Index+1 and on.
	Entries [][]byte
	// State is the snapshot after record Index.
	State []byte
	// Claim is the claim of a claim record, and the standing one of a snapshot.
	Claim Claim
	// Active is the activated claim that a snapshot follows.
	Active Claim
	// Owner is whose claim an activated record activates: it may stand in one
	// append with its claim, which may lose its race.
	Owner identity.Reference
}

// Encode returns the record's bytes.
func (r *Record) Encode() []byte {
	e := &wire.Encoder{}
	e.Uint8(recordFormat)
	e.Uint8(uint8(r.Kind))
	for _, b := range r.ID {
		e.Uint8(b)
	}
	e.Uint32(uint32(r.Shard))
	e.Uint64(uint64(r.Epoch))
	e.Uint64(uint64(r.Base))
	e.Uint64(r.Index)
	switch r.Kind {
	case ClaimRecord:
		r.Claim.encode(e)
	case BatchRecord:
		encodeBlobs(e, r.Entries)
	case SnapshotRecord:
		e.Blob(r.State)
		r.Claim.encode(e)
		r.Active.encode(e)
	case ActivatedRecord:
		encodeReference(e, r.Owner)
	}
	return e.Bytes()
}

// DecodeRecord reads what Encode wrote; errors wrap ErrDamaged.
func DecodeRecord(raw []byte) (Record, error) {
	d := wire.NewDecoder(raw)
	if format := d.Uint8(); format != recordFormat && d.Err() == nil {
		return Record{}, fmt.Errorf("%w: format %d", ErrDamaged, format)
	}
	r := Record{Kind: RecordKind(d.Uint8())}
	for i := range r.ID {
		r.ID[i] = d.Uint8()
	}
	r.Shard = identity.ShardID(d.Uint32())
	r.Epoch = identity.Epoch(d.Uint64())
	r.Base = siteservices.Offset(d.Uint64())
	r.Index = d.Uint64()
	switch r.Kind {
	case ClaimRecord:
		r.Claim.decode(d)
	case BatchRecord:
		r.Entries = decodeBlobs(d)
	case SnapshotRecord:
		r.State = d.Blob()
		r.Claim.decode(d)
		r.Active.decode(d)
	case ActivatedRecord:
		r.Owner = decodeReference(d)
	case ReleasedRecord:
	default:
		d.Fail(fmt.Errorf("kind %d", r.Kind))
	}
	if err := d.Finish(); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return r, nil
}

func (c *Claim) encode(e *wire.Encoder) {
	e.Uint64(uint64(c.Epoch))
	e.Uint64(uint64(c.TailFrom))
	encodeNode(e, c.Owner)
	e.Uint32(uint32(len(c.Replicas)))
	for _, replica := range c.Replicas {
		encodeNode(e, replica)
	}
}

func (c *Claim) decode(d *wire.Decoder) {
	c.Epoch = identity.Epoch(d.Uint64())
	c.TailFrom = identity.Epoch(d.Uint64())
	c.Owner = decodeNode(d)
	for range d.Count(1) {
		c.Replicas = append(c.Replicas, decodeNode(d))
	}
}

func encodeNode(e *wire.Encoder, node identity.Node) {
	e.String(string(node.Name))
	e.String(string(node.Zone))
	e.String(string(node.Region))
	e.Uint64(uint64(node.Incarnation))
	e.AddrPort(node.PeerAddress)
	e.AddrPort(node.ProbeAddress)
}

func decodeNode(d *wire.Decoder) identity.Node {
	return identity.Node{
		Name:         identity.NodeName(d.String()),
		Zone:         identity.Zone(d.String()),
		Region:       identity.Region(d.String()),
		Incarnation:  identity.Incarnation(d.Uint64()),
		PeerAddress:  d.AddrPort(),
		ProbeAddress: d.AddrPort(),
	}
}

func encodeReference(e *wire.Encoder, reference identity.Reference) {
	e.String(string(reference.Name))
	e.Uint64(uint64(reference.Incarnation))
}

func decodeReference(d *wire.Decoder) identity.Reference {
	return identity.Reference{
		Name:        identity.NodeName(d.String()),
		Incarnation: identity.Incarnation(d.Uint64()),
	}
}

func encodeBlobs(e *wire.Encoder, blobs [][]byte) {
	e.Uint32(uint32(len(blobs)))
	for _, blob := range blobs {
		e.Blob(blob)
	}
}

func decodeBlobs(d *wire.Decoder) [][]byte {
	var blobs [][]byte
	for range d.Count(4) {
		blobs = append(blobs, d.Blob())
	}
	return blobs
}
