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
	// Span tells which versions the service has, as known to the answering node.
	Span fleet.VersionSpan
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
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *query) Decode(d *wire.Decoder) {
	m.Keyed, m.Key, m.Route, m.Service = d.Bool(), decodeKey(d), d.String(), d.String()
	m.Relays = d.Bool()
	d.Blob()
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
	e.Blob(encodeLifetime(m.Span.StreamLifetime))
}

// encodeLifetime returns the fields that former builds skip; nothing for zero.
func encodeLifetime(lifetime time.Duration) []byte {
	if lifetime == 0 {
		return nil
	}
	e := wire.NewEncoder(nil)
	e.Duration(lifetime)
	return e.Bytes()
}

func decodeLifetime(later []byte) time.Duration {
	if len(later) == 0 {
		return 0
	}
	return wire.NewDecoder(later).Duration()
}

// Decode implements peer.Message.
func (m *queryResponse) Decode(d *wire.Decoder) {
	m.State = answerState(d.Uint8())
	m.Origin = Origin{Service: d.String(), Version: d.String()}
	m.Left = d.Duration()
	m.Span = fleet.VersionSpan{Only: d.Bool(), Version: d.String(), Age: d.Duration(), Several: d.Bool()}
	m.Span.StreamLifetime = decodeLifetime(d.Blob())
}
