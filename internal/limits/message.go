package limits

import (
	"math"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/wire"
)

// The kinds of messages.
const (
	kindTokenRequest = peer.KindRangeLimits + 1 + iota
	kindTokenResponse
	kindHandoverRequest
	kindHandoverResponse
)

// tokenRequest requests tokens from a tenant's allocator. The returned tokens were granted
// by AllocatorID.
type tokenRequest struct {
	Tenant      string
	AllocatorID quota.AllocatorID
	Request     quota.Request
}

// withoutReturned returns a copy to retry a request that may have been received: its
// returned tokens must not count twice.
func (m *tokenRequest) withoutReturned() *tokenRequest {
	repeated := *m
	repeated.Request.Returned = quota.Amount{}
	return &repeated
}

// Kind implements peer.Message.
func (*tokenRequest) Kind() peer.Kind { return kindTokenRequest }

// Encode implements peer.Message.
func (m *tokenRequest) Encode(e *wire.Encoder) {
	e.String(m.Tenant)
	encodeAmount(e, m.Request.Needed)
	encodeAmount(e, m.Request.Wanted)
	encodeAmount(e, m.Request.Spent)
	e.Uint64(uint64(m.AllocatorID))
	encodeAmount(e, m.Request.Returned)
}

// Decode implements peer.Message.
func (m *tokenRequest) Decode(d *wire.Decoder) {
	m.Tenant = d.String()
	m.Request.Needed, m.Request.Wanted, m.Request.Spent = decodeAmount(d), decodeAmount(d), decodeAmount(d)
	m.AllocatorID, m.Request.Returned = quota.AllocatorID(d.Uint64()), decodeAmount(d)
}

// tokenResponse is the response to a tokenRequest. With Redirect, the responding node
// grants nothing and considers Allocator, if it knows one, the tenant's allocator.
type tokenResponse struct {
	Redirect    bool
	Allocator   identity.Node
	AllocatorID quota.AllocatorID
	Grant       quota.Grant
}

// Kind implements peer.Message.
func (*tokenResponse) Kind() peer.Kind { return kindTokenResponse }

// Encode implements peer.Message.
func (m *tokenResponse) Encode(e *wire.Encoder) {
	e.Bool(m.Redirect)
	e.String(string(m.Allocator.Name))
	e.Uint64(uint64(m.Allocator.Incarnation))
	e.AddrPort(m.Allocator.PeerAddress)
	e.Uint64(uint64(m.AllocatorID))
	encodeAmount(e, m.Grant.Amount)
	e.Bool(m.Grant.BelowLimit)
	e.Duration(m.Grant.RequestAfter)
	e.Duration(m.Grant.ProgramStartAfter)
}

// Decode implements peer.Message.
func (m *tokenResponse) Decode(d *wire.Decoder) {
	m.Redirect = d.Bool()
	m.Allocator = identity.Node{
		Name: identity.NodeName(d.String()), Incarnation: identity.Incarnation(d.Uint64()), PeerAddress: d.AddrPort(),
	}
	m.AllocatorID = quota.AllocatorID(d.Uint64())
	m.Grant.Amount, m.Grant.BelowLimit = decodeAmount(d), d.Bool()
	m.Grant.RequestAfter, m.Grant.ProgramStartAfter = decodeDelay(d), decodeDelay(d)
}

// maxDelay bounds the delay that another node can impose on this one.
const maxDelay = time.Minute

func decodeDelay(d *wire.Decoder) time.Duration { return min(max(d.Duration(), 0), maxDelay) }

// handoverRequest requests a tenant's account from a previous allocator, which stops
// granting for the tenant.
type handoverRequest struct{ Tenant string }

// Kind implements peer.Message.
func (*handoverRequest) Kind() peer.Kind { return kindHandoverRequest }

// Encode implements peer.Message.
func (m *handoverRequest) Encode(e *wire.Encoder) { e.String(m.Tenant) }

// Decode implements peer.Message.
func (m *handoverRequest) Decode(d *wire.Decoder) { m.Tenant = d.String() }

// handoverResponse is the response to a handoverRequest. Found reports whether the node had
// an account.
type handoverResponse struct {
	Found   bool
	Account quota.Account
}

// Kind implements peer.Message.
func (*handoverResponse) Kind() peer.Kind { return kindHandoverResponse }

// Encode implements peer.Message.
func (m *handoverResponse) Encode(e *wire.Encoder) {
	e.Bool(m.Found)
	e.Float64(m.Account.Requests)
	e.Float64(m.Account.ProgramStarts)
	e.Float64(m.Account.PerProgram)
}

// Decode implements peer.Message.
func (m *handoverResponse) Decode(d *wire.Decoder) {
	m.Found = d.Bool()
	m.Account = quota.Account{Requests: decodeTokens(d), ProgramStarts: decodeTokens(d), PerProgram: decodeTokens(d)}
}

// maxAmount bounds the amounts in one message.
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
