package limits

import (
	"time"

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

// maxReturns bounds the returns of one message; older ones than that no longer count.
const maxReturns = 64

// ask asks the allocator of a tenant for tokens.
type ask struct {
	Tenant  string
	Request quota.Request
}

// Kind implements peer.Message.
func (*ask) Kind() peer.Kind { return kindAsk }

// Encode implements peer.Message.
func (m *ask) Encode(e *wire.Encoder) {
	e.String(m.Tenant)
	encodeAmount(e, m.Request.Needed)
	encodeAmount(e, m.Request.Wanted)
	encodeAmount(e, m.Request.Spent)
	returned := m.Request.Returned
	returned = returned[len(returned)-min(len(returned), maxReturns):]
	e.Uint32(uint32(len(returned)))
	for _, one := range returned {
		e.Duration(one.GrantedAt)
		encodeAmount(e, one.Amount)
	}
}

// Decode implements peer.Message.
func (m *ask) Decode(d *wire.Decoder) {
	m.Tenant = d.String()
	m.Request.Needed, m.Request.Wanted, m.Request.Spent = decodeAmount(d), decodeAmount(d), decodeAmount(d)
	for range d.Count(returnBytes) {
		m.Request.Returned = append(m.Request.Returned, quota.Return{GrantedAt: d.Duration(), Amount: decodeAmount(d)})
	}
}

// granted answers ask. Elsewhere tells that the answering node does not take itself for
// the tenant's allocator; then nothing is granted.
type granted struct {
	Elsewhere bool
	Source    quota.Source
	Grant     quota.Grant
}

// Kind implements peer.Message.
func (*granted) Kind() peer.Kind { return kindGranted }

// Encode implements peer.Message.
func (m *granted) Encode(e *wire.Encoder) {
	e.Bool(m.Elsewhere)
	e.Uint64(uint64(m.Source))
	encodeAmount(e, m.Grant.Amount)
	e.Duration(m.Grant.GrantedAt)
	e.Uint32(uint32(max(m.Grant.Used, 0)))
	e.Uint32(uint32(max(m.Grant.Limit, 0)))
	e.Duration(m.Grant.RequestAfter)
	e.Duration(m.Grant.BeginAfter)
}

// Decode implements peer.Message.
func (m *granted) Decode(d *wire.Decoder) {
	m.Elsewhere, m.Source = d.Bool(), quota.Source(d.Uint64())
	m.Grant.Amount, m.Grant.GrantedAt = decodeAmount(d), d.Duration()
	m.Grant.Used, m.Grant.Limit = int(d.Uint32()), int(d.Uint32())
	m.Grant.RequestAfter, m.Grant.BeginAfter = decodePause(d), decodePause(d)
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

// takenOver answers takeOver. Slots are the newest first; Known tells that they hold all
// that was granted in the span.
type takenOver struct {
	Known bool
	Slots []quota.Amount
}

// Kind implements peer.Message.
func (*takenOver) Kind() peer.Kind { return kindTakenOver }

// Encode implements peer.Message.
func (m *takenOver) Encode(e *wire.Encoder) {
	e.Bool(m.Known)
	e.Uint32(uint32(len(m.Slots)))
	for _, amount := range m.Slots {
		encodeAmount(e, amount)
	}
}

// Decode implements peer.Message.
func (m *takenOver) Decode(d *wire.Decoder) {
	m.Known = d.Bool()
	for range d.Count(amountBytes) {
		m.Slots = append(m.Slots, decodeAmount(d))
	}
}

const (
	amountBytes = 4 + 4
	returnBytes = 8 + amountBytes
	// maxAmount bounds what one message may tell of a tenant.
	maxAmount = 1 << 20
)

func encodeAmount(e *wire.Encoder, amount quota.Amount) {
	e.Uint32(uint32(min(max(amount.Requests, 0), maxAmount)))
	e.Uint32(uint32(min(max(amount.Begins, 0), maxAmount)))
}

func decodeAmount(d *wire.Decoder) quota.Amount {
	return quota.Amount{Requests: int(min(d.Uint32(), maxAmount)), Begins: int(min(d.Uint32(), maxAmount))}
}
