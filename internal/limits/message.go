package limits

import (
	"math"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/wire"
)

// The kinds of messages. Builds without leases used the first four of the range.
const (
	kindTokenRequest = peer.KindRangeLimits + 5 + iota
	kindTokenResponse
	kindHandoverRequest
	kindHandoverResponse
)

// The kinds of the messages to lessors. They are in another range, since token requests wait
// for their responses. Builds without the lessees' addresses used 11 and 12.
const (
	kindLeaseRequest = peer.KindRangeShares + 13 + iota
	kindLeaseResponse
)

// tokenRequest requests tokens from a tenant's allocator. The returned tokens were granted
// by AllocatorID.
type tokenRequest struct {
	Tenant      string
	AllocatorID quota.AllocatorID
	Request     quota.Request
	// Bypass means that a node that ranks higher did not respond, so that the next one may
	// lease the tenant's partition.
	Bypass bool
}

// bypassing returns a copy for the next node in rank, after the node asked first did not
// respond. It may have received the request, so the returned tokens must not count twice.
func (m *tokenRequest) bypassing() *tokenRequest {
	repeated := *m
	repeated.Request.Returned = quota.Amount{}
	repeated.Bypass = true
	return &repeated
}

// Kind implements peer.Message.
func (*tokenRequest) Kind() peer.Kind { return kindTokenRequest }

// Encode implements peer.Message.
func (m *tokenRequest) Encode(e *wire.Encoder) {
	e.String(m.Tenant)
	encodeAmount(e, m.Request.Needed)
	encodeAmount(e, m.Request.Wanted)
	e.Uint64(uint64(m.AllocatorID))
	encodeAmount(e, m.Request.Returned)
	e.Uint64(uint64(m.Request.ReturnedSince))
	e.Bool(m.Bypass)
}

// Decode implements peer.Message.
func (m *tokenRequest) Decode(d *wire.Decoder) {
	m.Tenant = d.String()
	m.Request.Needed, m.Request.Wanted = decodeAmount(d), decodeAmount(d)
	m.AllocatorID, m.Request.Returned, m.Request.ReturnedSince = quota.AllocatorID(d.Uint64()), decodeAmount(d), quota.Stamp(d.Uint64())
	m.Bypass = d.Bool()
}

// tokenOutcome is the kind of a tokenResponse.
type tokenOutcome uint8

const (
	// outcomeGranted means that the responding node is the allocator.
	outcomeGranted tokenOutcome = iota
	// outcomeRedirected means that Allocator, if it is set, should be asked instead.
	outcomeRedirected
	// outcomeUnleased means that the responding node cannot lease the tenant's partition
	// before RetryAfter, because another allocator has not given it up.
	outcomeUnleased
)

// tokenResponse is the response to a tokenRequest.
type tokenResponse struct {
	Outcome     tokenOutcome
	Allocator   identity.Node
	RetryAfter  time.Duration
	AllocatorID quota.AllocatorID
	Grant       quota.Grant
}

// Kind implements peer.Message.
func (*tokenResponse) Kind() peer.Kind { return kindTokenResponse }

// Encode implements peer.Message.
func (m *tokenResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Outcome))
	e.String(string(m.Allocator.Name))
	e.Uint64(uint64(m.Allocator.Incarnation))
	e.AddrPort(m.Allocator.PeerAddress)
	e.Duration(m.RetryAfter)
	e.Uint64(uint64(m.AllocatorID))
	encodeAmount(e, m.Grant.Amount)
	e.Uint64(uint64(m.Grant.Stamp))
	e.Duration(m.Grant.RequestAfter)
	e.Duration(m.Grant.ProgramStartAfter)
}

// Decode implements peer.Message.
func (m *tokenResponse) Decode(d *wire.Decoder) {
	m.Outcome = tokenOutcome(d.Uint8())
	m.Allocator = identity.Node{
		Name: identity.NodeName(d.String()), Incarnation: identity.Incarnation(d.Uint64()), PeerAddress: d.AddrPort(),
	}
	m.RetryAfter = decodeDelay(d)
	m.AllocatorID = quota.AllocatorID(d.Uint64())
	m.Grant.Amount, m.Grant.Stamp = decodeAmount(d), quota.Stamp(d.Uint64())
	m.Grant.RequestAfter, m.Grant.ProgramStartAfter = decodeDelay(d), decodeDelay(d)
}

// maxDelay bounds the delay that another node can impose on this one.
const maxDelay = time.Minute

func decodeDelay(d *wire.Decoder) time.Duration { return min(max(d.Duration(), 0), maxDelay) }

// handoverRequest requests the leases and accounts of some partitions from their allocator,
// which stops granting for their tenants.
type handoverRequest struct {
	Node       identity.NodeName
	Partitions quota.PartitionSet
}

// Kind implements peer.Message.
func (*handoverRequest) Kind() peer.Kind { return kindHandoverRequest }

// Encode implements peer.Message.
func (m *handoverRequest) Encode(e *wire.Encoder) {
	e.String(string(m.Node))
	e.Uint64(uint64(m.Partitions))
}

// Decode implements peer.Message.
func (m *handoverRequest) Decode(d *wire.Decoder) {
	m.Node, m.Partitions = identity.NodeName(d.String()), quota.PartitionSet(d.Uint64())
}

// handoverResponse has the cession of the partitions that the responding node gives up, and
// the accounts of their tenants.
type handoverResponse struct {
	Cession  quota.Cession
	Accounts map[string]quota.Account
}

// Kind implements peer.Message.
func (*handoverResponse) Kind() peer.Kind { return kindHandoverResponse }

// Encode implements peer.Message.
func (m *handoverResponse) Encode(e *wire.Encoder) {
	encodeCession(e, m.Cession)
	e.Uint32(uint32(len(m.Accounts)))
	for tenant, account := range m.Accounts {
		e.String(tenant)
		e.Float64(account.Requests)
		e.Float64(account.ProgramStarts)
		e.Float64(account.PerProgram)
	}
}

// The minimum encoded sizes of the elements of lists.
const (
	accountBytes  = 28
	cessionBytes  = 24
	conflictBytes = 40
)

// Decode implements peer.Message.
func (m *handoverResponse) Decode(d *wire.Decoder) {
	m.Cession = decodeCession(d)
	m.Accounts = map[string]quota.Account{}
	for range d.Count(accountBytes) {
		tenant := d.String()
		m.Accounts[tenant] = quota.Account{Requests: decodeTokens(d), ProgramStarts: decodeTokens(d), PerProgram: decodeTokens(d)}
	}
}

func encodeCession(e *wire.Encoder, cession quota.Cession) {
	e.Uint64(uint64(cession.From))
	e.Uint64(cession.UpTo)
	e.Uint64(uint64(cession.Partitions))
}

func decodeCession(d *wire.Decoder) quota.Cession {
	return quota.Cession{From: quota.AllocatorID(d.Uint64()), UpTo: d.Uint64(), Partitions: quota.PartitionSet(d.Uint64())}
}

// leaseRequest requests the leases of the receiving node's share.
type leaseRequest struct{ Request quota.LeaseRequest }

// Kind implements peer.Message.
func (*leaseRequest) Kind() peer.Kind { return kindLeaseRequest }

// Encode implements peer.Message.
func (m *leaseRequest) Encode(e *wire.Encoder) {
	encodeLessee(e, m.Request.Lessee)
	e.Uint64(m.Request.Sequence)
	e.Uint64(uint64(m.Request.Wanted))
	e.Uint64(uint64(m.Request.Held))
	e.Uint32(uint32(len(m.Request.Ceded)))
	for _, cession := range m.Request.Ceded {
		encodeCession(e, cession)
	}
}

// Decode implements peer.Message.
func (m *leaseRequest) Decode(d *wire.Decoder) {
	m.Request.Lessee, m.Request.Sequence = decodeLessee(d), d.Uint64()
	m.Request.Wanted, m.Request.Held = quota.PartitionSet(d.Uint64()), quota.PartitionSet(d.Uint64())
	for range d.Count(cessionBytes) {
		m.Request.Ceded = append(m.Request.Ceded, decodeCession(d))
	}
}

func encodeLessee(e *wire.Encoder, lessee quota.Lessee) {
	e.String(string(lessee.Node.Name))
	e.Uint64(uint64(lessee.Node.Incarnation))
	e.AddrPort(lessee.Address)
	e.Uint64(uint64(lessee.ID))
}

func decodeLessee(d *wire.Decoder) quota.Lessee {
	return quota.Lessee{
		Node:    identity.Reference{Name: identity.NodeName(d.String()), Incarnation: identity.Incarnation(d.Uint64())},
		Address: d.AddrPort(),
		ID:      quota.AllocatorID(d.Uint64()),
	}
}

// leaseResponse is the response to a leaseRequest.
type leaseResponse struct{ Response quota.LeaseResponse }

// Kind implements peer.Message.
func (*leaseResponse) Kind() peer.Kind { return kindLeaseResponse }

// Encode implements peer.Message.
func (m *leaseResponse) Encode(e *wire.Encoder) {
	e.Uint64(uint64(m.Response.Granted))
	e.Float64(m.Response.Share)
	e.Uint32(uint32(len(m.Response.Conflicts)))
	for _, conflict := range m.Response.Conflicts {
		e.Uint64(uint64(conflict.Partitions))
		encodeLessee(e, conflict.Lessee)
		e.Duration(conflict.Remaining)
	}
}

// Decode implements peer.Message.
func (m *leaseResponse) Decode(d *wire.Decoder) {
	m.Response.Granted, m.Response.Share = quota.PartitionSet(d.Uint64()), decodeFraction(d)
	for range d.Count(conflictBytes) {
		m.Response.Conflicts = append(m.Response.Conflicts, quota.Conflict{
			Partitions: quota.PartitionSet(d.Uint64()), Lessee: decodeLessee(d), Remaining: decodeDelay(d),
		})
	}
}

func decodeFraction(d *wire.Decoder) float64 {
	fraction := d.Float64()
	if math.IsNaN(fraction) {
		return 0
	}
	return min(max(fraction, 0), 1)
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
