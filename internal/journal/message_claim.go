package journal

import (
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// preVoteMessage asks whether the lease granted by the replica life To runs.
type preVoteMessage struct {
	To    identity.Reference
	Shard identity.ShardID
}

// Kind returns the message's kind.
func (*preVoteMessage) Kind() peer.Kind { return kindPreVote }

// Encode appends the fields.
func (m *preVoteMessage) Encode(e *wire.Encoder) {
	encodeReference(e, m.To)
	e.Uint32(uint32(m.Shard))
}

// Decode reads the fields.
func (m *preVoteMessage) Decode(d *wire.Decoder) {
	m.To = decodeReference(d)
	m.Shard = identity.ShardID(d.Uint32())
}

type preVoteAnswer struct {
	// OtherLife tells that the asked life is gone.
	OtherLife bool
	// Remaining is how long a lease may still run by what this node knows.
	Remaining time.Duration
	Promised  identity.Epoch
	// Term is the highest interim term promised; Armed tells that the replica would
	// promise an interim ownership under Claim.
	Term  uint64
	Armed bool
	Claim Claim
}

// Kind returns the message's kind.
func (*preVoteAnswer) Kind() peer.Kind { return kindPreVoteAnswer }

// Encode appends the fields.
func (m *preVoteAnswer) Encode(e *wire.Encoder) {
	e.Bool(m.OtherLife)
	e.Duration(m.Remaining)
	e.Uint64(uint64(m.Promised))
	e.Uint64(m.Term)
	e.Bool(m.Armed)
	m.Claim.encode(e)
}

// Decode reads the fields.
func (m *preVoteAnswer) Decode(d *wire.Decoder) {
	m.OtherLife = d.Bool()
	m.Remaining = d.Duration()
	m.Promised = identity.Epoch(d.Uint64())
	m.Term = d.Uint64()
	m.Armed = d.Bool()
	m.Claim.decode(d)
}

// promiseMessage asks the replica life To to refuse epochs below Epoch, whose
// claim the sender has read back from the log as valid. With a Term the sender
// wants to own the shard under Epoch until the log is back.
type promiseMessage struct {
	To       identity.Reference
	Shard    identity.ShardID
	Epoch    identity.Epoch
	Term     uint64
	Claimant identity.Reference
}

// Kind returns the message's kind.
func (*promiseMessage) Kind() peer.Kind { return kindPromise }

// Encode appends the fields.
func (m *promiseMessage) Encode(e *wire.Encoder) {
	encodeReference(e, m.To)
	e.Uint32(uint32(m.Shard))
	e.Uint64(uint64(m.Epoch))
	e.Uint64(m.Term)
	encodeReference(e, m.Claimant)
}

// Decode reads the fields.
func (m *promiseMessage) Decode(d *wire.Decoder) {
	m.To = decodeReference(d)
	m.Shard = identity.ShardID(d.Uint32())
	m.Epoch = identity.Epoch(d.Uint64())
	m.Term = d.Uint64()
	m.Claimant = decodeReference(d)
}

// promisePart is one piece of the encoded tail, in order.
type promisePart struct{ Bytes []byte }

// Kind returns the message's kind.
func (*promisePart) Kind() peer.Kind { return kindPromisePart }

// Encode appends the fields.
func (m *promisePart) Encode(e *wire.Encoder) { e.Blob(m.Bytes) }

// Decode reads the fields.
func (m *promisePart) Decode(d *wire.Decoder) { m.Bytes = d.Blob() }

// promiseAnswer ends the parts of the tail.
type promiseAnswer struct {
	Refusal   Refusal
	Promised  identity.Epoch
	Remaining time.Duration
	TailEpoch identity.Epoch
	TailTerm  uint64
}

// Kind returns the message's kind.
func (*promiseAnswer) Kind() peer.Kind { return kindPromiseAnswer }

// Encode appends the fields.
func (m *promiseAnswer) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Refusal))
	e.Uint64(uint64(m.Promised))
	e.Duration(m.Remaining)
	e.Uint64(uint64(m.TailEpoch))
	e.Uint64(m.TailTerm)
}

// Decode reads the fields.
func (m *promiseAnswer) Decode(d *wire.Decoder) {
	m.Refusal = Refusal(d.Uint8())
	m.Promised = identity.Epoch(d.Uint64())
	m.Remaining = d.Duration()
	m.TailEpoch = identity.Epoch(d.Uint64())
	m.TailTerm = d.Uint64()
}

// handOverMessage asks the owner to stop, flush the shard to the log and release
