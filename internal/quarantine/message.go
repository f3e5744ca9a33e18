package quarantine

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// The message kinds. Each message ends with an empty blob, in which later builds may add fields.
const (
	kindNotice = peer.KindRangeQuarantine + 1 + iota
	kindNoticeResponse
	kindProbe
	kindProbeResponse
)

// record is an entry on its way to another node.
type record struct {
	key        Key
	identified bool
	// announced is set if the sender tells all nodes.
	announced bool
	lifetime  time.Duration
	// clientLeft is how long the clients wait under whose requests replicas ended.
	clientLeft time.Duration
	// voidAgo is how long ago the time was before which attempts do not count, if void is set.
	void     bool
	voidAgo  time.Duration
	attempts []sharedAttempt
}

// sharedAttempt is an attempt with ages in place of readings. Attempts that are under way have no
// brokeAgo; left is the time until they are over at the latest.
type sharedAttempt struct {
	id             uint64
	replica        Replica
	state          state
	beganAgo       time.Duration
	broken         bool
	brokeAgo, left time.Duration
}

// notice copies records to a node. With pull, the response contains the records that all nodes
// should have.
type notice struct {
	records []record
	pull    bool
}

// noticeResponse tells whether the node has stored the records, and what it knows of their keys.
// synced is false if it has just started and does not know yet what others knew.
type noticeResponse struct {
	stored  bool
	synced  bool
	records []record
}

// probe asks a node to find out whether a replica at an address has ended, and probeResponse tells
// what it has found.
type probe struct{ address netip.AddrPort }

type probeResponse struct{ found finding }

// Kind implements peer.Message.
func (*probe) Kind() peer.Kind { return kindProbe }

// Encode implements peer.Message.
func (m *probe) Encode(e *wire.Encoder) {
	e.AddrPort(m.address)
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *probe) Decode(d *wire.Decoder) {
	m.address = d.AddrPort()
	d.Blob()
}

// Kind implements peer.Message.
func (*probeResponse) Kind() peer.Kind { return kindProbeResponse }

// Encode implements peer.Message.
func (m *probeResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.found))
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *probeResponse) Decode(d *wire.Decoder) {
	m.found = finding(d.Uint8())
	d.Blob()
}

// Kind implements peer.Message.
func (*notice) Kind() peer.Kind { return kindNotice }

// Encode implements peer.Message.
func (m *notice) Encode(e *wire.Encoder) {
	encodeRecords(e, m.records)
	e.Bool(m.pull)
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *notice) Decode(d *wire.Decoder) {
	m.records = decodeRecords(d)
	m.pull = d.Bool()
	d.Blob()
}

// Kind implements peer.Message.
func (*noticeResponse) Kind() peer.Kind { return kindNoticeResponse }

// Encode implements peer.Message.
func (m *noticeResponse) Encode(e *wire.Encoder) {
	e.Bool(m.stored)
	e.Bool(m.synced)
	encodeRecords(e, m.records)
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *noticeResponse) Decode(d *wire.Decoder) {
	m.stored, m.synced = d.Bool(), d.Bool()
	m.records = decodeRecords(d)
	d.Blob()
}

// The minimum encoded sizes of a record and of an attempt.
const (
	minRecordBytes  = 51
	minAttemptBytes = 46
)

func encodeRecords(e *wire.Encoder, records []record) {
	e.Uint32(uint32(len(records)))
	for i := range records {
		one := &records[i]
		e.Blob(one.key[:])
		e.Bool(one.identified)
		e.Bool(one.announced)
		e.Duration(one.lifetime)
		e.Duration(one.clientLeft)
		e.Bool(one.void)
		e.Duration(one.voidAgo)
		e.Uint32(uint32(len(one.attempts)))
		for _, shared := range one.attempts {
			e.Uint64(shared.id)
			e.String(shared.replica.Instance)
			e.Int64(shared.replica.StartedAtMs)
			e.Uint8(uint8(shared.state))
			e.Duration(shared.beganAgo)
			e.Bool(shared.broken)
			e.Duration(shared.brokeAgo)
			e.Duration(shared.left)
		}
	}
}

func decodeRecords(d *wire.Decoder) []record {
	var records []record
	for range d.Count(minRecordBytes) {
		var one record
		copy(one.key[:], d.Blob())
		one.identified, one.announced, one.lifetime, one.clientLeft = d.Bool(), d.Bool(), d.Duration(), d.Duration()
		one.void, one.voidAgo = d.Bool(), d.Duration()
		for range d.Count(minAttemptBytes) {
			one.attempts = append(one.attempts, sharedAttempt{
				id: d.Uint64(), replica: Replica{Instance: d.String(), StartedAtMs: d.Int64()}, state: state(d.Uint8()),
				beganAgo: d.Duration(), broken: d.Bool(), brokeAgo: d.Duration(), left: d.Duration(),
			})
		}
		records = append(records, one)
	}
	return records
}

// share returns the record of an entry for other nodes, or false if there is nothing to tell. The
// caller must hold the table's mutex.
func (e *entry) share(now time.Duration) (record, bool) {
	shared := record{key: e.key, identified: e.identified, announced: e.announced > 0, lifetime: e.expiresAt - now, clientLeft: e.clientUntil - now, void: e.void, voidAgo: now - e.voidBefore}
	shared.attempts = lo.FilterMap(e.attempts, func(one *attempt, _ int) (sharedAttempt, bool) {
		return sharedAttempt{
			id: one.id, replica: one.replica, state: one.state, beganAgo: now - one.began, broken: one.broken,
			brokeAgo: now - one.brokeAt, left: one.until - now,
		}, one.state > stateWatched
	})
	return shared, (e.void || len(shared.attempts) > 0) && shared.lifetime > 0
}

// received returns a shared attempt with readings of this node.
func (s *sharedAttempt) received(now time.Duration) attempt {
	made := attempt{id: s.id, replica: s.replica, state: s.state, began: now - s.beganAgo, until: now + min(s.left, maxLifetime)}
	if s.broken {
		made.broken, made.brokeAt = true, now-s.brokeAgo
	}
	return made
}

// valid reports whether a received record may be stored.
func (r *record) valid() bool {
	return r.lifetime > 0 && len(r.attempts) <= maxAttempts && lo.EveryBy(r.attempts, func(one sharedAttempt) bool {
		return one.state >= stateOpen && one.state <= stateCleared && one.replica.Instance != "" && one.beganAgo >= 0
	})
}
