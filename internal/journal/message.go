package journal

import (
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// The message kinds of the journal.
const (
	kindAppend = peer.KindRangeJournal + iota
	kindAppendAnswer
	kindRenew
	kindRenewAnswer
	kindPreVote
	kindPreVoteAnswer
	kindPromise
	kindPromisePart
	kindPromiseAnswer
	kindHandOver
	kindHandOverAnswer
	kindClaimNow
	kindRelease
	kindDone
)

// messageMakers makes an empty message of each kind.
var messageMakers = []func() peer.Message{
	func() peer.Message { return &appendMessage{} },
	func() peer.Message { return &appendAnswer{} },
	func() peer.Message { return &renewMessage{} },
	func() peer.Message { return &renewAnswer{} },
	func() peer.Message { return &preVoteMessage{} },
	func() peer.Message { return &preVoteAnswer{} },
	func() peer.Message { return &promiseMessage{} },
	func() peer.Message { return &promisePart{} },
	func() peer.Message { return &promiseAnswer{} },
	func() peer.Message { return &handOverMessage{} },
	func() peer.Message { return &handOverAnswer{} },
	func() peer.Message { return &claimNowMessage{} },
	func() peer.Message { return &releaseMessage{} },
	func() peer.Message { return &doneMessage{} },
}

// appendMessage brings a Write to the replica life To.
type appendMessage struct {
	To    identity.Reference
	Shard identity.ShardID
	Write Write
}

// Kind returns the message's kind.
func (*appendMessage) Kind() peer.Kind { return kindAppend }

// Encode appends the fields.
func (m *appendMessage) Encode(e *wire.Encoder) {
	encodeReference(e, m.To)
	e.Uint32(uint32(m.Shard))
	e.Uint64(uint64(m.Write.Epoch))
	encodeReference(e, m.Write.Owner)
	e.Uint64(uint64(m.Write.TailFrom))
	e.Bool(m.Write.Whole)
	m.Write.Tail.encode(e)
	e.Uint64(m.Write.Logged)
	e.Uint64(m.Write.Term)
	e.Uint64(m.Write.Armed)
	m.Write.Claim.encode(e)
}

// Decode reads the fields.
func (m *appendMessage) Decode(d *wire.Decoder) {
	m.To = decodeReference(d)
	m.Shard = identity.ShardID(d.Uint32())
	m.Write.Epoch = identity.Epoch(d.Uint64())
	m.Write.Owner = decodeReference(d)
	m.Write.TailFrom = identity.Epoch(d.Uint64())
	m.Write.Whole = d.Bool()
	m.Write.Tail.decode(d)
	m.Write.Logged = d.Uint64()
	m.Write.Term = d.Uint64()
	m.Write.Armed = d.Uint64()
	m.Write.Claim.decode(d)
}

type appendAnswer struct{ Answer WriteAnswer }

// Kind returns the message's kind.
func (*appendAnswer) Kind() peer.Kind { return kindAppendAnswer }

// Encode appends the fields.
func (m *appendAnswer) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Answer.Refusal))
	e.Uint64(uint64(m.Answer.Promised))
	e.Uint64(m.Answer.Last)
}

// Decode reads the fields.
func (m *appendAnswer) Decode(d *wire.Decoder) {
	m.Answer.Refusal = Refusal(d.Uint8())
	m.Answer.Promised = identity.Epoch(d.Uint64())
	m.Answer.Last = d.Uint64()
}

// renewMessage asks one replica node for the leases of all shards that it holds
// for the owner.
type renewMessage struct {
	To       identity.Reference
	Owner    identity.Reference
	Renewals []Renewal
}

// Kind returns the message's kind.
func (*renewMessage) Kind() peer.Kind { return kindRenew }

// renewalSize is the encoded size of one Renewal.
const renewalSize = 4 + 8 + 8 + 8 + 8

// Encode appends the fields.
func (m *renewMessage) Encode(e *wire.Encoder) {
	encodeReference(e, m.To)
	encodeReference(e, m.Owner)
	e.Uint32(uint32(len(m.Renewals)))
	for _, renewal := range m.Renewals {
		e.Uint32(uint32(renewal.Shard))
		e.Uint64(uint64(renewal.Epoch))
		e.Uint64(renewal.Logged)
		e.Uint64(renewal.Term)
		e.Uint64(renewal.Quiet)
	}
}

// Decode reads the fields.
func (m *renewMessage) Decode(d *wire.Decoder) {
	m.To = decodeReference(d)
	m.Owner = decodeReference(d)
	for range d.Count(renewalSize) {
		m.Renewals = append(m.Renewals, Renewal{
			Shard:  identity.ShardID(d.Uint32()),
			Epoch:  identity.Epoch(d.Uint64()),
			Logged: d.Uint64(),
			Term:   d.Uint64(),
			Quiet:  d.Uint64(),
		})
	}
}

// renewAnswer lists the shards whose lease was refused; all others are granted.
type renewAnswer struct {
	// OtherLife tells that the asked life is gone, so nothing was granted.
	OtherLife bool
	Fenced    []identity.ShardID
}

// Kind returns the message's kind.
func (*renewAnswer) Kind() peer.Kind { return kindRenewAnswer }

// Encode appends the fields.
func (m *renewAnswer) Encode(e *wire.Encoder) {
	e.Bool(m.OtherLife)
	e.Uint32(uint32(len(m.Fenced)))
	for _, shard := range m.Fenced {
		e.Uint32(uint32(shard))
	}
}

// Decode reads the fields.
func (m *renewAnswer) Decode(d *wire.Decoder) {
	m.OtherLife = d.Bool()
	for range d.Count(4) {
		m.Fenced = append(m.Fenced, identity.ShardID(d.Uint32()))
	}
}

// it to the sender.
type handOverMessage struct {
	Shard identity.ShardID
	To    identity.Reference
}

// Kind returns the message's kind.
func (*handOverMessage) Kind() peer.Kind { return kindHandOver }

// Encode appends the fields.
func (m *handOverMessage) Encode(e *wire.Encoder) {
	e.Uint32(uint32(m.Shard))
	encodeReference(e, m.To)
}

// Decode reads the fields.
func (m *handOverMessage) Decode(d *wire.Decoder) {
	m.Shard = identity.ShardID(d.Uint32())
	m.To = decodeReference(d)
}

// handOverResult is what became of a request to hand over.
type handOverResult uint8

const (
	// handedOver: the log holds the release.
	handedOver handOverResult = iota + 1
	// notOwner: the asked node does not own the shard.
	notOwner
	// tryLater: too many moves at once, or the log is away.
	tryLater
)

type handOverAnswer struct{ Result handOverResult }

// Kind returns the message's kind.
func (*handOverAnswer) Kind() peer.Kind { return kindHandOverAnswer }

// Encode appends the fields.
func (m *handOverAnswer) Encode(e *wire.Encoder) { e.Uint8(uint8(m.Result)) }

// Decode reads the fields.
func (m *handOverAnswer) Decode(d *wire.Decoder) { m.Result = handOverResult(d.Uint8()) }

// claimNowMessage asks a node to claim shards at once that were released.
type claimNowMessage struct{ Shards []identity.ShardID }

// Kind returns the message's kind.
func (*claimNowMessage) Kind() peer.Kind { return kindClaimNow }

// Encode appends the fields.
func (m *claimNowMessage) Encode(e *wire.Encoder) {
	e.Uint32(uint32(len(m.Shards)))
	for _, shard := range m.Shards {
		e.Uint32(uint32(shard))
	}
}

// Decode reads the fields.
func (m *claimNowMessage) Decode(d *wire.Decoder) {
	for range d.Count(4) {
		m.Shards = append(m.Shards, identity.ShardID(d.Uint32()))
	}
}

// releaseMessage ends the lease that Owner holds for Epoch; with Drop the tail of
// older epochs is not needed any more, since Epoch's claim stands without this
// replica.
type releaseMessage struct {
	Shard identity.ShardID
	Owner identity.Reference
	Drop  bool
	Epoch identity.Epoch
}

// Kind returns the message's kind.
func (*releaseMessage) Kind() peer.Kind { return kindRelease }

// Encode appends the fields.
func (m *releaseMessage) Encode(e *wire.Encoder) {
	e.Uint32(uint32(m.Shard))
	encodeReference(e, m.Owner)
	e.Bool(m.Drop)
	e.Uint64(uint64(m.Epoch))
}

// Decode reads the fields.
func (m *releaseMessage) Decode(d *wire.Decoder) {
	m.Shard = identity.ShardID(d.Uint32())
	m.Owner = decodeReference(d)
	m.Drop = d.Bool()
	m.Epoch = identity.Epoch(d.Uint64())
}

// doneMessage is the empty answer.
type doneMessage struct{}

// Kind returns the message's kind.
func (*doneMessage) Kind() peer.Kind { return kindDone }

// Encode appends nothing.
func (*doneMessage) Encode(*wire.Encoder) {}

// Decode reads nothing.
func (*doneMessage) Decode(*wire.Decoder) {}
