package distribution

import (
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// The message kinds.
const (
	kindPullRequest = peer.KindRangeDistribution + 1 + iota
	kindPullResponse
)

// pullRequest requests a topic, or the changes to it, from a peer.
type pullRequest struct {
	// Topic is the topic's index, the same on all nodes.
	Topic uint8
	// Known is set if the requesting node has the topic up to Position.
	Known    bool
	Position logstore.Offset
	// Paging requests a page of the snapshot, starting after the key After.
	Paging bool
	After  string
	// MaxWait is how long the response may be delayed until there is a change.
	MaxWait time.Duration
	// From is the requesting node's address.
	From netip.AddrPort
}

// Kind implements peer.Message.
func (*pullRequest) Kind() peer.Kind { return kindPullRequest }

// Encode implements peer.Message.
func (m *pullRequest) Encode(e *wire.Encoder) {
	e.Uint8(m.Topic)
	e.Bool(m.Known)
	e.Uint64(uint64(m.Position))
	e.Bool(m.Paging)
	e.String(m.After)
	e.Duration(m.MaxWait)
	e.AddrPort(m.From)
	e.Blob(nil)
}

// Decode implements peer.Message.
func (m *pullRequest) Decode(d *wire.Decoder) {
	m.Topic, m.Known, m.Position = d.Uint8(), d.Bool(), logstore.Offset(d.Uint64())
	m.Paging, m.After, m.MaxWait = d.Bool(), d.String(), d.Duration()
	m.From = d.AddrPort()
	d.Blob() // fields added by newer builds
}

// state is the type of a response.
type state uint8

// The types of responses.
const (
	// stateUnknown: the responding node does not have the topic.
	stateUnknown state = iota + 1
	// stateBusy: the responding node serves too many others at the moment.
	stateBusy
	// stateBehind: the responding node's position is lower than the requested one.
	stateBehind
	// stateGap: the responding node no longer has all changes since the position; a
	// snapshot is needed.
	stateGap
	// stateChanges: the response contains all changes since the position.
	stateChanges
	// statePage: the response contains a page of the snapshot.
	statePage
)

// String returns the state's metric label.
func (s state) String() string {
	switch s {
	case stateUnknown:
		return "unknown"
	case stateBusy:
		return "busy"
	case stateBehind:
		return "behind"
	case stateGap:
		return "gap"
	case stateChanges:
		return "changes"
	case statePage:
		return "page"
	}
	return "unreadable"
}

// pullResponse responds to pullRequest.
type pullResponse struct {
	State    state
	Position logstore.Offset
	// AgeKnown is set if the topic was confirmed to be the newest Age before the response
	// was sent. The response was sent Waited after the request arrived.
	AgeKnown    bool
	Age, Waited time.Duration
	// More is set if pages follow.
	More  bool
	Items []logstore.Item
	// Alternatives are other nodes that have the topic.
	Alternatives []netip.AddrPort
}

// Kind implements peer.Message.
func (*pullResponse) Kind() peer.Kind { return kindPullResponse }

// Encode implements peer.Message.
func (m *pullResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.State))
	e.Uint64(uint64(m.Position))
	e.Bool(m.AgeKnown)
	e.Duration(m.Age)
	e.Duration(m.Waited)
	e.Bool(m.More)
	e.Uint32(uint32(len(m.Items)))
	for _, item := range m.Items {
		e.String(item.Key)
		e.Bool(item.Value != nil)
		e.Blob(item.Value)
	}
	e.Uint32(uint32(len(m.Alternatives)))
	for _, address := range m.Alternatives {
		e.AddrPort(address)
	}
	e.Blob(nil)
}

// minItemBytes and minAddressBytes are the minimum encoded sizes.
const (
	minItemBytes    = 9
	minAddressBytes = 4
)

// Decode implements peer.Message.
func (m *pullResponse) Decode(d *wire.Decoder) {
	m.State, m.Position = state(d.Uint8()), logstore.Offset(d.Uint64())
	m.AgeKnown, m.Age, m.Waited = d.Bool(), d.Duration(), d.Duration()
	m.More = d.Bool()
	for range d.Count(minItemBytes) {
		item := logstore.Item{Key: d.String()}
		present, value := d.Bool(), d.Blob()
		if present {
			item.Value = value
		}
		m.Items = append(m.Items, item)
	}
	for range d.Count(minAddressBytes) {
		m.Alternatives = append(m.Alternatives, d.AddrPort())
	}
	d.Blob() // fields added by newer builds
}
