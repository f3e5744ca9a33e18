package origin

import (
	"time"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// The message kinds. Each message ends with an empty blob, in which later builds may add fields.
const (
	kindNotice = peer.KindRangeOrigins + 1 + iota
	kindNoticeResponse
	kindQuery
	kindQueryResponse
)

// notice copies records to a holder.
type notice struct{ Records []Record }

// noticeResponse tells whether the holder has stored the records. A node that stops does not.
type noticeResponse struct{ Stored bool }

// query asks for a record, and which versions the service has that a route leads to. Keyed is
// false if the client does not name the stream.
type query struct {
	Keyed          bool
	Key            Key
	Route, Service string
	// Relays is set if the other node is to ask the holders of the record in turn.
	Relays bool
	// Confirms is set if the other node is to have the store confirm its view of the versions before it
	// answers. Builds before confirmations ignore it.
	Confirms bool
}

// answerState is what a node knows of a stream.
type answerState uint8

const (
	stateUnknown answerState = iota
	stateKnown
	stateConflicting
)

// queryResponse is the answer to a query.
type queryResponse struct {
	State answerState
	// Origin and Left are set if the state is known.
	Origin Origin
	Left   time.Duration
	// Span tells which versions the service has, as known to the answering node. Its time of
	// confirmation is not sent, but its age in View.
	Span fleet.VersionSpan
	View viewAge
}

// viewAge is how long before an answer the store last confirmed the node's view. Builds before
// confirmations don't tell it. Confirmed is set if that was after the query arrived.
type viewAge struct {
	Known, Confirmed bool
	Age              time.Duration
}

// Kind implements peer.Message.
func (*notice) Kind() peer.Kind { return kindNotice }

// Encode implements peer.Message.
func (m *notice) Encode(e *wire.Encoder) {
	e.Uint32(uint32(len(m.Records)))
	for _, record := range m.Records {
		e.Blob(record.Key[:])
		e.String(record.Origin.Service)
		e.String(record.Origin.Version)
		e.Duration(record.Left)
	}
	e.Blob(nil)
}

// minRecordBytes is the minimum encoded size of a record.
const minRecordBytes = 36

// Decode implements peer.Message.
func (m *notice) Decode(d *wire.Decoder) {
	for range d.Count(minRecordBytes) {
		m.Records = append(m.Records, Record{
			Key: decodeKey(d), Origin: Origin{Service: d.String(), Version: d.String()}, Left: d.Duration(),
		})
	}
	d.Blob()
}

func decodeKey(d *wire.Decoder) Key {
	var key Key
	copy(key[:], d.Blob())
	return key
}

// Kind implements peer.Message.
func (*noticeResponse) Kind() peer.Kind { return kindNoticeResponse }

// Encode implements peer.Message.
func (m *noticeResponse) Encode(e *wire.Encoder) {
	e.Bool(m.Stored)
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *noticeResponse) Decode(d *wire.Decoder) {
	m.Stored = d.Bool()
	d.Blob()
}

// Kind implements peer.Message.
func (*query) Kind() peer.Kind { return kindQuery }

// Encode implements peer.Message.
func (m *query) Encode(e *wire.Encoder) {
	e.Bool(m.Keyed)
	e.Blob(m.Key[:])
	e.String(m.Route)
	e.String(m.Service)
	e.Bool(m.Relays)
	var later []byte
	if m.Confirms {
		later = []byte{1}
	}
	e.Blob(later)
}

// Decode implements peer.Message.
func (m *query) Decode(d *wire.Decoder) {
	m.Keyed, m.Key, m.Route, m.Service = d.Bool(), decodeKey(d), d.String(), d.String()
	m.Relays = d.Bool()
	if later := d.Blob(); len(later) > 0 {
		m.Confirms = wire.NewDecoder(later).Bool()
	}
}

// Kind implements peer.Message.
func (*queryResponse) Kind() peer.Kind { return kindQueryResponse }

// Encode implements peer.Message.
func (m *queryResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.State))
	e.String(m.Origin.Service)
	e.String(m.Origin.Version)
	e.Duration(m.Left)
	e.Bool(m.Span.Only)
	e.String(m.Span.Version)
	e.Duration(m.Span.Age)
	e.Bool(m.Span.Several)
	e.Blob(m.encodeLater())
}

// lifetimeBytes is the length of what builds before confirmations read of the fields behind the others.
const lifetimeBytes = 8

// encodeLater returns the fields that former builds skip, or of which they read the first only;
// nothing if they are unknown.
func (m *queryResponse) encodeLater() []byte {
	if m.Span.StreamLifetime == 0 && !m.View.Known {
		return nil
	}
	e := wire.NewEncoder(nil)
	e.Duration(m.Span.StreamLifetime)
	if m.View.Known {
		e.Duration(m.View.Age)
		e.Bool(m.View.Confirmed)
	}
	return e.Bytes()
}

func (m *queryResponse) decodeLater(later []byte) {
	if len(later) == 0 {
		return
	}
	d := wire.NewDecoder(later)
	m.Span.StreamLifetime = d.Duration()
	if len(later) > lifetimeBytes {
		m.View = viewAge{Age: d.Duration(), Confirmed: d.Bool()}
		m.View.Known = d.Err() == nil && m.View.Age >= 0
		m.View.Confirmed = m.View.Confirmed && m.View.Known
	}
}

// Decode implements peer.Message.
func (m *queryResponse) Decode(d *wire.Decoder) {
	m.State = answerState(d.Uint8())
	m.Origin = Origin{Service: d.String(), Version: d.String()}
	m.Left = d.Duration()
	m.Span = fleet.VersionSpan{Only: d.Bool(), Version: d.String(), Age: d.Duration(), Several: d.Bool()}
	m.decodeLater(d.Blob())
}
