package limits

import (
	"math"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/wire"
)

// The kinds of messages of this package.
const (
	kindAsk = peer.KindRangeLimits + 1 + iota
	kindGranted
	kindTakeOver
	kindTakenOver
)

// ask asks the allocator of a tenant for tokens. What is returned was granted by Source.
type ask struct {
	Tenant  string
	Source  quota.AllocatorID
	Request quota.Request
}

// again returns the question to be asked once more where the first may have been heard: what
// was given back with it must not count twice.
func (m *ask) again() *ask {
	repeated := *m
	repeated.Request.Returned = quota.Amount{}
	return &repeated
}

// Kind implements peer.Message.
func (*ask) Kind() peer.Kind { return kindAsk }

// Encode implements peer.Message.
func (m *ask) Encode(e *wire.Encoder) {
	e.String(m.Tenant)
	encodeAmount(e, m.Request.Needed)
	encodeAmount(e, m.Request.Wanted)
	encodeAmount(e, m.Request.Spent)
	e.Uint64(uint64(m.Source))
	encodeAmount(e, m.Request.Returned)
}

// Decode implements peer.Message.
func (m *ask) Decode(d *wire.Decoder) {
	m.Tenant = d.String()
	m.Request.Needed, m.Request.Wanted, m.Request.Spent = decodeAmount(d), decodeAmount(d), decodeAmount(d)
	m.Source, m.Request.Returned = quota.AllocatorID(d.Uint64()), decodeAmount(d)
}

// granted answers ask. Elsewhere tells that the answering node takes Allocator for the
// tenant's allocator, if it knows one; then nothing is granted.
type granted struct {
	Elsewhere bool
	Allocator identity.Node
	Source    quota.AllocatorID
	Grant     quota.Grant
}

// Kind implements peer.Message.
func (*granted) Kind() peer.Kind { return kindGranted }

// Encode implements peer.Message.
func (m *granted) Encode(e *wire.Encoder) {
	e.Bool(m.Elsewhere)
	e.String(string(m.Allocator.Name))
	e.Uint64(uint64(m.Allocator.Incarnation))
	e.AddrPort(m.Allocator.PeerAddress)
	e.Uint64(uint64(m.Source))
	encodeAmount(e, m.Grant.Amount)
	e.Bool(m.Grant.BelowLimit)
	e.Duration(m.Grant.RequestAfter)
	e.Duration(m.Grant.ProgramStartAfter)
}

// Decode implements peer.Message.
func (m *granted) Decode(d *wire.Decoder) {
	m.Elsewhere = d.Bool()
	m.Allocator = identity.Node{
		Name: identity.NodeName(d.String()), Incarnation: identity.Incarnation(d.Uint64()), PeerAddress: d.AddrPort(),
	}
	m.Source = quota.AllocatorID(d.Uint64())
	m.Grant.Amount, m.Grant.BelowLimit = decodeAmount(d), d.Bool()
	m.Grant.RequestAfter, m.Grant.ProgramStartAfter = decodePause(d), decodePause(d)
}

// maxPause bounds what another node may ask this one to wait.
const maxPause = time.Minute

func decodePause(d *wire.Decoder) time.Duration { return min(max(d.Duration(), 0), maxPause) }

// takeOver asks the node that allotted a tenant before for what it has counted. That
// node allots the tenant no longer.
type takeOver struct{ Tenant string }

// Kind implements peer.Message.
func (*takeOver) Kind() peer.Kind { return kindTakeOver }

// Encode implements peer.Message.
func (m *takeOver) Encode(e *wire.Encoder) { e.String(m.Tenant) }

// Decode implements peer.Message.
func (m *takeOver) Decode(d *wire.Decoder) { m.Tenant = d.String() }

// takenOver answers takeOver with what is left of the limit; Known tells that the node had
// an account of it.
type takenOver struct {
	Known   bool
	Account quota.Account
}

// Kind implements peer.Message.
func (*takenOver) Kind() peer.Kind { return kindTakenOver }

// Encode implements peer.Message.
func (m *takenOver) Encode(e *wire.Encoder) {
	e.Bool(m.Known)
	e.Float64(m.Account.Requests)
	e.Float64(m.Account.ProgramStarts)
	e.Float64(m.Account.PerProgram)
}

// Decode implements peer.Message.
func (m *takenOver) Decode(d *wire.Decoder) {
	m.Known = d.Bool()
	m.Account = quota.Account{Requests: decodeTokens(d), ProgramStarts: decodeTokens(d), PerProgram: decodeTokens(d)}
}

// maxAmount bounds what one message may tell of a tenant.
const maxAmount = 1 << 20

func decodeTokens(d *wire.Decoder) float64 {
	tokens := d.Float64()
	if math.IsNaN(tokens) {
		return 0
	}
	return min(max(tokens, -maxAmount), maxAmount)
}

func encodeAmount(e *wire.Encoder, amount quota.Amount) {
	e.Uint32(uint32(min(max(amount.Requests, 0), maxAmount)))
	e.Uint32(uint32(min(max(amount.ProgramStarts, 0), maxAmount)))
}

func decodeAmount(d *wire.Decoder) quota.Amount {
	return quota.Amount{Requests: int(min(d.Uint32(), maxAmount)), ProgramStarts: int(min(d.Uint32(), maxAmount))}
}
