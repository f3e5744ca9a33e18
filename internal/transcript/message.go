package transcript

import (
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// The message kinds. Each message ends with an empty blob, in which later builds may add fields.
const (
	kindAppendRequest = peer.KindRangeTranscripts + 1 + iota
	kindAppendResponse
	kindClaimRequest
	kindClaimResponse
)

// status is the outcome of a request at a holder.
type status uint8

const (
	// statusRefused means that the node is no holder or has no room.
	statusRefused status = iota
	// statusStored means that events are stored, or that a claim is promised.
	statusStored
	// statusFenced means that a higher ballot was promised.
	statusFenced
	// statusIncomplete means that earlier events are missing.
	statusIncomplete
	// statusOtherContent means that the stream answers another turn.
	statusOtherContent
)

// appendRequest stores events of the writer with Ballot at a holder, From being the number of
// events before them.
type appendRequest struct {
	Key     Key
	Content Content
	Holders []identity.Node
	Ballot  Ballot
	From    uint32
	Events  []Event
	// Left is for how long the transcript is needed.
	Left time.Duration
}

// appendResponse is the answer to an appendRequest. Stored is the number of events stored under
// the writer's ballot.
type appendResponse struct {
	Status   status
	Promised Ballot
	Stored   uint32
}

// claimRequest claims a transcript for a new writer. Holders is empty while they are not known.
type claimRequest struct {
	Key     Key
	Content Content
	Holders []identity.Node
	Ballot  Ballot
	Left    time.Duration
}

// claimResponse is the answer to a claimRequest. Accepted is the ballot of the writer of Events.
type claimResponse struct {
	Status             status
	Promised, Accepted Ballot
	Holders            []identity.Node
	Events             []Event
}

func encodeBallot(e *wire.Encoder, ballot Ballot) {
	e.Uint64(ballot.Round)
	e.Uint64(ballot.Writer)
}

func decodeBallot(d *wire.Decoder) Ballot { return Ballot{Round: d.Uint64(), Writer: d.Uint64()} }

func encodeDigest(e *wire.Encoder, digest [16]byte) { e.Blob(digest[:]) }

func decodeDigest(d *wire.Decoder) (digest [16]byte) {
	copy(digest[:], d.Blob())
	return digest
}

// minNodeBytes and minEventBytes are the minimum encoded sizes of a node and an event.
const (
	minNodeBytes  = 4 + 8 + 1
	minEventBytes = 8 + 1 + 4
)

func encodeNodes(e *wire.Encoder, nodes []identity.Node) {
	e.Uint32(uint32(len(nodes)))
	for _, node := range nodes {
		e.String(string(node.Name))
		e.Uint64(uint64(node.Incarnation))
		e.String(string(node.Zone))
		e.AddrPort(node.PeerAddress)
	}
}

func decodeNodes(d *wire.Decoder) []identity.Node {
	var nodes []identity.Node
	for range d.Count(minNodeBytes) {
		nodes = append(nodes, identity.Node{
			Name: identity.NodeName(d.String()), Incarnation: identity.Incarnation(d.Uint64()),
			Zone: identity.Zone(d.String()), PeerAddress: d.AddrPort(),
		})
	}
	return nodes
}

func encodeEvents(e *wire.Encoder, events []Event) {
	e.Uint32(uint32(len(events)))
	for _, event := range events {
		e.Int64(event.ID)
		e.Bool(event.HasID)
		e.Blob(event.Data)
	}
}

func decodeEvents(d *wire.Decoder) []Event {
	var events []Event
	for range d.Count(minEventBytes) {
		events = append(events, Event{ID: d.Int64(), HasID: d.Bool(), Data: d.Blob()})
	}
	return events
}

// Kind implements peer.Message.
func (*appendRequest) Kind() peer.Kind { return kindAppendRequest }

// Encode implements peer.Message.
func (m *appendRequest) Encode(e *wire.Encoder) {
	encodeDigest(e, m.Key)
	encodeDigest(e, m.Content)
	encodeNodes(e, m.Holders)
	encodeBallot(e, m.Ballot)
	e.Uint32(m.From)
	encodeEvents(e, m.Events)
	e.Duration(m.Left)
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *appendRequest) Decode(d *wire.Decoder) {
	m.Key, m.Content, m.Holders = decodeDigest(d), decodeDigest(d), decodeNodes(d)
	m.Ballot, m.From, m.Events, m.Left = decodeBallot(d), d.Uint32(), decodeEvents(d), d.Duration()
	d.Blob()
}

// Kind implements peer.Message.
func (*appendResponse) Kind() peer.Kind { return kindAppendResponse }

// Encode implements peer.Message.
func (m *appendResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	encodeBallot(e, m.Promised)
	e.Uint32(m.Stored)
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *appendResponse) Decode(d *wire.Decoder) {
	m.Status, m.Promised, m.Stored = status(d.Uint8()), decodeBallot(d), d.Uint32()
	d.Blob()
}

// Kind implements peer.Message.
func (*claimRequest) Kind() peer.Kind { return kindClaimRequest }

// Encode implements peer.Message.
func (m *claimRequest) Encode(e *wire.Encoder) {
	encodeDigest(e, m.Key)
	encodeDigest(e, m.Content)
	encodeNodes(e, m.Holders)
	encodeBallot(e, m.Ballot)
	e.Duration(m.Left)
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *claimRequest) Decode(d *wire.Decoder) {
	m.Key, m.Content, m.Holders = decodeDigest(d), decodeDigest(d), decodeNodes(d)
	m.Ballot, m.Left = decodeBallot(d), d.Duration()
	d.Blob()
}

// Kind implements peer.Message.
func (*claimResponse) Kind() peer.Kind { return kindClaimResponse }

// Encode implements peer.Message.
func (m *claimResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	encodeBallot(e, m.Promised)
	encodeBallot(e, m.Accepted)
	encodeNodes(e, m.Holders)
	encodeEvents(e, m.Events)
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *claimResponse) Decode(d *wire.Decoder) {
	m.Status, m.Promised, m.Accepted = status(d.Uint8()), decodeBallot(d), decodeBallot(d)
	m.Holders, m.Events = decodeNodes(d), decodeEvents(d)
	d.Blob()
}
