package shares

import (
	"time"

	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// The kinds of messages.
const (
	kindTableRequest = peer.KindRangeShares + 1 + iota
	kindTableResponse
)

// tableRequest requests the newest table that another node knows.
type tableRequest struct{}

// Kind implements peer.Message.
func (*tableRequest) Kind() peer.Kind { return kindTableRequest }

// Encode implements peer.Message.
func (*tableRequest) Encode(*wire.Encoder) {}

// Decode implements peer.Message.
func (*tableRequest) Decode(*wire.Decoder) {}

// tableResponse has the newest table known to a node. If Known is set, it was confirmed to be
// the newest one Age ago.
type tableResponse struct {
	Table Table
	Known bool
	Age   time.Duration
}

// Kind implements peer.Message.
func (*tableResponse) Kind() peer.Kind { return kindTableResponse }

// Encode implements peer.Message.
func (m *tableResponse) Encode(e *wire.Encoder) {
	m.Table.encode(e)
	e.Bool(m.Known)
	e.Duration(m.Age)
}

// Decode implements peer.Message.
func (m *tableResponse) Decode(d *wire.Decoder) {
	m.Table = decodeTable(d)
	m.Known, m.Age = d.Bool(), max(d.Duration(), 0)
}

func (t Table) encode(e *wire.Encoder) {
	e.Uint64(t.Version)
	encodeNames(e, t.Holders)
	e.Uint32(uint32(len(t.Recent)))
	for _, holders := range t.Recent {
		encodeNames(e, holders)
	}
}

// nameBytes and listBytes are the minimum encoded sizes of a name and of a list of names.
const (
	nameBytes = 4
	listBytes = 4
)

func decodeTable(d *wire.Decoder) Table {
	table := Table{Version: d.Uint64(), Holders: decodeNames(d)}
	for range d.Count(listBytes) {
		table.Recent = append(table.Recent, decodeNames(d))
	}
	return table
}

func encodeNames(e *wire.Encoder, names []Holder) {
	e.Uint32(uint32(len(names)))
	for _, name := range names {
		e.String(string(name))
	}
}

func decodeNames(d *wire.Decoder) []Holder {
	var names []Holder
	for range d.Count(nameBytes) {
		names = append(names, Holder(d.String()))
	}
	return names
}
