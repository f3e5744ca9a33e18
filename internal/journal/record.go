package journal

import (
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/wire"
)

// ErrCorrupt reports that bytes in a log stream are not a valid journal record.
var ErrCorrupt = errors.New("journal: corrupt log record")

// RecordID is unique over all log records of a site. A record that is appended again
// after a request whose outcome was unknown takes effect once.
type RecordID [16]byte

// RecordKind is the type of a log record. Numbers are never reused.
type RecordKind uint8

// The kinds of log records.
const (
	// ClaimRecord claims the shard for a new epoch.
	ClaimRecord RecordKind = iota + 1
	// BatchRecord contains records of the shard's state machine.
	BatchRecord
	// SnapshotRecord contains the full state and the current claims; reading may start
	// at it.
	SnapshotRecord
	// ActivatedRecord means that the tail of the former epoch is in the log. From here
	// on a claimant recovers from the replica set of the activated claim.
	ActivatedRecord
	// ReleasedRecord means that the owner stopped and that all records are in the log.
	ReleasedRecord
)

// recordFormat is the first byte of each log record.
const recordFormat uint8 = 1

// Claim names the owner of an epoch and the replicas of its tail, each with its
// incarnation.
type Claim struct {
	Epoch identity.Epoch
	// TailFrom is the lowest epoch whose records at the replicas belong to this
	// ownership. It is lower than Epoch if the same owner claimed again.
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
	// Base is the offset from which a reader must start to include this record: the
	// newest valid snapshot known to the writer, or 0.
	Base siteservices.Offset
	// Index is the index of the last state machine record in the log before this
	// record; for a snapshot, of the last one that State covers. State machine records
	// are numbered from 1 over all epochs.
	Index uint64
	// Entries are the state machine records of a batch, the first with Index+1.
	Entries [][]byte
	// State is the snapshot after record Index.
	State []byte
	// Claim is the claim of a claim record, or the current claim of a snapshot.
	Claim Claim
	// Active is the active claim of a snapshot.
	Active Claim
	// Owner is the owner whose claim an activated record activates. It is needed because
	// the activation may be in the same append as a claim that loses its race.
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

// DecodeRecord decodes the result of Encode; errors wrap ErrCorrupt.
func DecodeRecord(raw []byte) (Record, error) {
	d := wire.NewDecoder(raw)
	if format := d.Uint8(); format != recordFormat && d.Err() == nil {
		return Record{}, fmt.Errorf("%w: format %d", ErrCorrupt, format)
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
		return Record{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
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
