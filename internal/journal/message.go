package journal

import (
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// Message kinds of the journal.
const (
	kindAppend = peer.KindRangeJournal + iota
	kindAppendResponse
	kindRenew
	kindRenewResponse
	kindPreVote
	kindPreVoteResponse
	kindPromise
	kindPromisePart
	kindPromiseResponse
	kindHandOver
	kindHandOverResponse
	kindClaimNow
	kindRelease
	kindDone
)

// messageConstructors has one constructor for each kind.
var messageConstructors = []func() peer.Message{
	func() peer.Message { return &appendRequest{} },
	func() peer.Message { return &appendResponse{} },
	func() peer.Message { return &renewRequest{} },
	func() peer.Message { return &renewResponse{} },
	func() peer.Message { return &preVoteRequest{} },
	func() peer.Message { return &preVoteResponse{} },
	func() peer.Message { return &promiseRequest{} },
	func() peer.Message { return &promisePart{} },
	func() peer.Message { return &promiseResponse{} },
	func() peer.Message { return &handOverRequest{} },
	func() peer.Message { return &handOverResponse{} },
	func() peer.Message { return &claimNowRequest{} },
	func() peer.Message { return &releaseRequest{} },
	func() peer.Message { return &doneMessage{} },
}

// appendRequest sends a Write to the replica incarnation To.
type appendRequest struct {
	To    identity.Reference
	Shard identity.ShardID
	Write Write
}

// Kind returns the message's kind.
func (*appendRequest) Kind() peer.Kind { return kindAppend }

// Encode appends the fields.
func (m *appendRequest) Encode(e *wire.Encoder) {
	encodeReference(e, m.To)
	e.Uint32(uint32(m.Shard))
	e.Uint64(uint64(m.Write.Epoch))
	encodeReference(e, m.Write.Owner)
	e.Uint64(uint64(m.Write.TailFrom))
	e.Bool(m.Write.Full)
	m.Write.Tail.encode(e)
	e.Uint64(m.Write.Logged)
	e.Uint64(m.Write.Term)
	e.Uint64(m.Write.Authorization)
	m.Write.Claim.encode(e)
}

// Decode reads the fields.
func (m *appendRequest) Decode(d *wire.Decoder) {
	m.To = decodeReference(d)
	m.Shard = identity.ShardID(d.Uint32())
	m.Write.Epoch = identity.Epoch(d.Uint64())
	m.Write.Owner = decodeReference(d)
	m.Write.TailFrom = identity.Epoch(d.Uint64())
	m.Write.Full = d.Bool()
	m.Write.Tail.decode(d)
	m.Write.Logged = d.Uint64()
	m.Write.Term = d.Uint64()
	m.Write.Authorization = d.Uint64()
	m.Write.Claim.decode(d)
}

type appendResponse struct{ Response WriteResponse }

// Kind returns the message's kind.
func (*appendResponse) Kind() peer.Kind { return kindAppendResponse }

// Encode appends the fields.
func (m *appendResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Response.Status))
	e.Uint64(uint64(m.Response.Promised))
	e.Uint64(m.Response.Last)
}

// Decode reads the fields.
func (m *appendResponse) Decode(d *wire.Decoder) {
	m.Response.Status = Status(d.Uint8())
	m.Response.Promised = identity.Epoch(d.Uint64())
	m.Response.Last = d.Uint64()
}

// renewRequest renews the leases of all shards that the owner has at one replica
// node.
type renewRequest struct {
	To       identity.Reference
	Owner    identity.Reference
	Renewals []Renewal
}

// Kind returns the message's kind.
func (*renewRequest) Kind() peer.Kind { return kindRenew }

// renewalSize is the encoded size of one Renewal.
const renewalSize = 4 + 8 + 8 + 8 + 8

// Encode appends the fields.
func (m *renewRequest) Encode(e *wire.Encoder) {
	encodeReference(e, m.To)
	encodeReference(e, m.Owner)
	e.Uint32(uint32(len(m.Renewals)))
	for _, renewal := range m.Renewals {
		e.Uint32(uint32(renewal.Shard))
		e.Uint64(uint64(renewal.Epoch))
		e.Uint64(renewal.Logged)
		e.Uint64(renewal.Term)
		e.Uint64(renewal.RevokedThrough)
	}
}

// Decode reads the fields.
func (m *renewRequest) Decode(d *wire.Decoder) {
	m.To = decodeReference(d)
	m.Owner = decodeReference(d)
	for range d.Count(renewalSize) {
		m.Renewals = append(m.Renewals, Renewal{
			Shard:          identity.ShardID(d.Uint32()),
			Epoch:          identity.Epoch(d.Uint64()),
			Logged:         d.Uint64(),
			Term:           d.Uint64(),
			RevokedThrough: d.Uint64(),
		})
	}
}

// renewResponse lists the shards whose renewal was rejected; all others are granted.
type renewResponse struct {
	// OtherIncarnation is true if the requested incarnation is not running, so nothing
	// was granted.
	OtherIncarnation bool
	Fenced           []identity.ShardID
}

// Kind returns the message's kind.
func (*renewResponse) Kind() peer.Kind { return kindRenewResponse }

// Encode appends the fields.
func (m *renewResponse) Encode(e *wire.Encoder) {
	e.Bool(m.OtherIncarnation)
	e.Uint32(uint32(len(m.Fenced)))
	for _, shard := range m.Fenced {
		e.Uint32(uint32(shard))
	}
}

// Decode reads the fields.
func (m *renewResponse) Decode(d *wire.Decoder) {
	m.OtherIncarnation = d.Bool()
	for range d.Count(4) {
		m.Fenced = append(m.Fenced, identity.ShardID(d.Uint32()))
	}
}

// handOverRequest requests the owner to stop serving, flush the shard to the log and
// release it to the sender.
type handOverRequest struct {
	Shard identity.ShardID
	To    identity.Reference
}

// Kind returns the message's kind.
func (*handOverRequest) Kind() peer.Kind { return kindHandOver }

// Encode appends the fields.
func (m *handOverRequest) Encode(e *wire.Encoder) {
	e.Uint32(uint32(m.Shard))
	encodeReference(e, m.To)
}

// Decode reads the fields.
func (m *handOverRequest) Decode(d *wire.Decoder) {
	m.Shard = identity.ShardID(d.Uint32())
	m.To = decodeReference(d)
}

// handOverResult is the outcome of a request to hand over.
type handOverResult uint8

const (
	// handedOver means that the release is in the log.
	handedOver handOverResult = iota + 1
	// notOwner means that the node does not own the shard.
	notOwner
	// retryLater means that too many hand-overs are in progress, that the log is
	// unavailable, or that the node should keep the shard.
	retryLater
)

type handOverResponse struct{ Result handOverResult }

// Kind returns the message's kind.
func (*handOverResponse) Kind() peer.Kind { return kindHandOverResponse }

// Encode appends the fields.
func (m *handOverResponse) Encode(e *wire.Encoder) { e.Uint8(uint8(m.Result)) }

// Decode reads the fields.
func (m *handOverResponse) Decode(d *wire.Decoder) { m.Result = handOverResult(d.Uint8()) }

// claimNowRequest requests a node to claim released shards at once.
type claimNowRequest struct{ Shards []identity.ShardID }

// Kind returns the message's kind.
func (*claimNowRequest) Kind() peer.Kind { return kindClaimNow }

// Encode appends the fields.
func (m *claimNowRequest) Encode(e *wire.Encoder) {
	e.Uint32(uint32(len(m.Shards)))
	for _, shard := range m.Shards {
		e.Uint32(uint32(shard))
	}
}

// Decode reads the fields.
func (m *claimNowRequest) Decode(d *wire.Decoder) {
	for range d.Count(4) {
		m.Shards = append(m.Shards, identity.ShardID(d.Uint32()))
	}
}

// releaseRequest ends the lease of Owner for Epoch. With Drop it instead makes the
// replica drop the tail of older epochs, since Epoch's claim does not include it.
type releaseRequest struct {
	Shard identity.ShardID
	Owner identity.Reference
	Drop  bool
	Epoch identity.Epoch
}

// Kind returns the message's kind.
func (*releaseRequest) Kind() peer.Kind { return kindRelease }

// Encode appends the fields.
func (m *releaseRequest) Encode(e *wire.Encoder) {
	e.Uint32(uint32(m.Shard))
	encodeReference(e, m.Owner)
	e.Bool(m.Drop)
	e.Uint64(uint64(m.Epoch))
}

// Decode reads the fields.
func (m *releaseRequest) Decode(d *wire.Decoder) {
	m.Shard = identity.ShardID(d.Uint32())
	m.Owner = decodeReference(d)
	m.Drop = d.Bool()
	m.Epoch = identity.Epoch(d.Uint64())
}

// doneMessage is an empty response.
type doneMessage struct{}

// Kind returns the message's kind.
func (*doneMessage) Kind() peer.Kind { return kindDone }

// Encode appends nothing.
func (*doneMessage) Encode(*wire.Encoder) {}

// Decode reads nothing.
func (*doneMessage) Decode(*wire.Decoder) {}
