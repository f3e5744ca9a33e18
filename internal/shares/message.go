package shares

import (
	"errors"
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
	encodeHolders(e, t.Holders)
	e.Uint32(uint32(len(t.Recent)))
	for _, holders := range t.Recent {
		encodeHolders(e, holders)
	}
}

// holderBytes and listBytes are the minimum encoded sizes of a holder and of a list of them.
const (
	holderBytes = 4
	listBytes   = 4
)

// maxVersion is the highest version of a table that counts. Versions rise by one, or double after a loss
// of the store, so that a higher one is another writer's, and is left room for those that follow.
const maxVersion = 1 << 62

var errVersion = errors.New("shares: the version is out of range")

func decodeTable(d *wire.Decoder) Table {
	table := Table{Version: d.Uint64(), Holders: decodeHolders(d)}
	if table.Version > maxVersion {
		d.Fail(errVersion)
	}
	for range d.Count(listBytes) {
		table.Recent = append(table.Recent, decodeHolders(d))
	}
	return table
}

func encodeHolders(e *wire.Encoder, holders []Holder) {
	e.Uint32(uint32(len(holders)))
	for _, holder := range holders {
		e.String(string(holder))
	}
}

func decodeHolders(d *wire.Decoder) []Holder {
	var holders []Holder
	for range d.Count(holderBytes) {
		holders = append(holders, Holder(d.String()))
	}
	return holders
}
