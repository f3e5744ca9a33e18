package journal

import (
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// preVoteRequest queries whether a lease granted by the replica incarnation To is
// still valid.
type preVoteRequest struct {
	To    identity.Reference
	Shard identity.ShardID
}

// Kind returns the message's kind.
func (*preVoteRequest) Kind() peer.Kind { return kindPreVote }

// Encode appends the fields.
func (m *preVoteRequest) Encode(e *wire.Encoder) {
	encodeReference(e, m.To)
	e.Uint32(uint32(m.Shard))
}

// Decode reads the fields.
func (m *preVoteRequest) Decode(d *wire.Decoder) {
	m.To = decodeReference(d)
	m.Shard = identity.ShardID(d.Uint32())
}

type preVoteResponse struct {
	// OtherIncarnation is true if the requested incarnation is not running.
	OtherIncarnation bool
	// Remaining is how long a lease may still be valid as far as this node can tell.
	Remaining time.Duration
	Promised  identity.Epoch
	// Term is the highest interim term promised; Authorized is true if the replica would
	// promise an interim takeover under Claim.
	Term       uint64
	Authorized bool
	Claim      Claim
}

// Kind returns the message's kind.
func (*preVoteResponse) Kind() peer.Kind { return kindPreVoteResponse }

// Encode appends the fields.
func (m *preVoteResponse) Encode(e *wire.Encoder) {
	e.Bool(m.OtherIncarnation)
	e.Duration(m.Remaining)
	e.Uint64(uint64(m.Promised))
	e.Uint64(m.Term)
	e.Bool(m.Authorized)
	m.Claim.encode(e)
}

// Decode reads the fields.
func (m *preVoteResponse) Decode(d *wire.Decoder) {
	m.OtherIncarnation = d.Bool()
	m.Remaining = d.Duration()
	m.Promised = identity.Epoch(d.Uint64())
	m.Term = d.Uint64()
	m.Authorized = d.Bool()
	m.Claim.decode(d)
}

// promiseRequest requests the replica incarnation To to reject epochs below Epoch,
// whose claim the sender has read back from the log as valid. With a Term, the
// sender requests interim ownership under Epoch until the log is available.
type promiseRequest struct {
	To       identity.Reference
	Shard    identity.ShardID
	Epoch    identity.Epoch
	Term     uint64
	Claimant identity.Reference
}

// Kind returns the message's kind.
func (*promiseRequest) Kind() peer.Kind { return kindPromise }

// Encode appends the fields.
func (m *promiseRequest) Encode(e *wire.Encoder) {
	encodeReference(e, m.To)
	e.Uint32(uint32(m.Shard))
	e.Uint64(uint64(m.Epoch))
	e.Uint64(m.Term)
	encodeReference(e, m.Claimant)
}

// Decode reads the fields.
func (m *promiseRequest) Decode(d *wire.Decoder) {
	m.To = decodeReference(d)
	m.Shard = identity.ShardID(d.Uint32())
	m.Epoch = identity.Epoch(d.Uint64())
	m.Term = d.Uint64()
	m.Claimant = decodeReference(d)
}

// promisePart is one part of the encoded tail. Parts are sent in order.
type promisePart struct{ Bytes []byte }

// Kind returns the message's kind.
func (*promisePart) Kind() peer.Kind { return kindPromisePart }

// Encode appends the fields.
func (m *promisePart) Encode(e *wire.Encoder) { e.Blob(m.Bytes) }

// Decode reads the fields.
func (m *promisePart) Decode(d *wire.Decoder) { m.Bytes = d.Blob() }

// promiseResponse follows the parts of the tail.
type promiseResponse struct {
	Status    Status
	Promised  identity.Epoch
	Remaining time.Duration
	TailEpoch identity.Epoch
	TailTerm  uint64
}

// Kind returns the message's kind.
func (*promiseResponse) Kind() peer.Kind { return kindPromiseResponse }

// Encode appends the fields.
func (m *promiseResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	e.Uint64(uint64(m.Promised))
	e.Duration(m.Remaining)
	e.Uint64(uint64(m.TailEpoch))
	e.Uint64(m.TailTerm)
}

// Decode reads the fields.
func (m *promiseResponse) Decode(d *wire.Decoder) {
	m.Status = Status(d.Uint8())
	m.Promised = identity.Epoch(d.Uint64())
	m.Remaining = d.Duration()
	m.TailEpoch = identity.Epoch(d.Uint64())
	m.TailTerm = d.Uint64()
}
