package coordinator

import (
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// The kinds of messages of this package.
const (
	kindBegin = peer.KindRangeLedger + 1 + iota
	kindBegun
	kindFinish
	kindKeep
	kindDone
	kindRead
	kindTexts
	kindKept
	kindWorking
	kindFind
	kindFoundTurn
	kindKeepAnywhere
)

// status is the outcome of a request to a home.
type status uint8

const (
	statusDone status = iota + 1
	statusSpent
	statusNoSuchTurn
	statusUnavailable
	statusReserved
	statusStoreAway
)

// statusOf tells an error of the ledger to other nodes and in metrics.
func statusOf(err error) status {
	var spent *ledgerlog.BudgetExhaustedError
	switch {
	case err == nil:
		return statusDone
	case errors.As(err, &spent):
		return statusSpent
	case errors.Is(err, ledgerlog.ErrNoSuchTurn):
		return statusNoSuchTurn
	case errors.Is(err, ledgerlog.ErrBudgetReserved):
		return statusReserved
	case errors.Is(err, ledgerlog.ErrStoreUnavailable):
		return statusStoreAway
	}
	return statusUnavailable
}

// err is the error that a home has told with its reason; statusSpent is none without
// the charge that goes with it, see begun.
func (s status) err(home identity.NodeName, reason string) error {
	kind := ledgerlog.ErrUnavailable
	switch s {
	case statusDone:
		return nil
	case statusNoSuchTurn:
		kind = ledgerlog.ErrNoSuchTurn
	case statusReserved:
		kind = ledgerlog.ErrBudgetReserved
	case statusStoreAway:
		kind = ledgerlog.ErrStoreUnavailable
	}
	return fmt.Errorf("%w: home %s: %s", kind, home, reason)
}

// String returns the status's name in metrics and logs.
func (s status) String() string {
	switch s {
	case statusDone:
		return "done"
	case statusSpent:
		return "spent"
	case statusNoSuchTurn:
		return "no_such_turn"
	case statusReserved:
		return "reserved"
	case statusStoreAway:
		return "store_away"
	}
	return "unavailable"
}

// begin asks a home to begin a turn, under a Grant that the asking node chose.
type begin struct {
	Request Request
	Grant   ledger.GrantID
}

// Kind implements peer.Message.
func (*begin) Kind() peer.Kind { return kindBegin }

// Encode implements peer.Message.
func (m *begin) Encode(e *wire.Encoder) {
	e.String(string(m.Request.Program))
	e.Bool(m.Request.Budgeted)
	e.Uint32(m.Request.Budget)
	e.Uint32(m.Request.MaxTurnTokens)
	e.String(string(m.Request.Previous))
	e.Uint64(uint64(m.Grant))
}

// Decode implements peer.Message.
func (m *begin) Decode(d *wire.Decoder) {
	m.Request = Request{
		Program: ledger.ProgramID(d.String()), Budgeted: d.Bool(), Budget: d.Uint32(), MaxTurnTokens: d.Uint32(),
		Previous: ledger.TurnID(d.String()),
	}
	m.Grant = ledger.GrantID(d.Uint64())
}

// begun answers begin.
type begun struct {
	Status  status
	Charged uint64
	Ahead   bool
	First   bool
	Chain   []ledger.Location
	// Resident is where the turn before ran.
	Resident ledger.CacheLocation
	// Reason is an error's text.
	Reason string
}

// Kind implements peer.Message.
func (*begun) Kind() peer.Kind { return kindBegun }

// Encode implements peer.Message.
func (m *begun) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	e.Uint64(m.Charged)
	e.Bool(m.Ahead)
	e.Bool(m.First)
	encodeChain(e, m.Chain)
	encodeResident(e, m.Resident)
	e.String(m.Reason)
}

// Decode implements peer.Message.
func (m *begun) Decode(d *wire.Decoder) {
	m.Status, m.Charged = status(d.Uint8()), d.Uint64()
	m.Ahead, m.First, m.Chain = d.Bool(), d.Bool(), decodeChain(d)
	m.Resident, m.Reason = decodeResident(d), d.String()
}

// working is a part before begun: the home lives and waits for the log.
type working struct{}

// Kind implements peer.Message.
func (*working) Kind() peer.Kind { return kindWorking }

// Encode implements peer.Message.
func (*working) Encode(*wire.Encoder) {}

// Decode implements peer.Message.
func (*working) Decode(*wire.Decoder) {}

// finish tells a home what a turn handed out.
type finish struct {
	Program ledger.ProgramID
	Grant   ledger.GrantID
	Used    uint32
}

// Kind implements peer.Message.
func (*finish) Kind() peer.Kind { return kindFinish }

// Encode implements peer.Message.
func (m *finish) Encode(e *wire.Encoder) {
	e.String(string(m.Program))
	e.Uint64(uint64(m.Grant))
	e.Uint32(m.Used)
}

// Decode implements peer.Message.
func (m *finish) Decode(d *wire.Decoder) {
	m.Program, m.Grant, m.Used = ledger.ProgramID(d.String()), ledger.GrantID(d.Uint64()), d.Uint32()
}

// keep asks a home to write a turn: its text and its place in the index, where
// Turn.Chain holds the turns before.
type keep struct {
	Turn ledger.IndexEntry
	Text []byte
}

// Kind implements peer.Message.
func (*keep) Kind() peer.Kind { return kindKeep }

// Encode implements peer.Message.
func (m *keep) Encode(e *wire.Encoder) {
	e.String(string(m.Turn.Program))
	e.String(string(m.Turn.Turn))
	encodeChain(e, m.Turn.Chain)
	e.Duration(m.Turn.Retention)
	encodeResident(e, m.Turn.CacheLocation)
	e.Blob(m.Text)
}

// Decode implements peer.Message.
func (m *keep) Decode(d *wire.Decoder) {
	m.Turn = ledger.IndexEntry{
		Program: ledger.ProgramID(d.String()), Turn: ledger.TurnID(d.String()), Chain: decodeChain(d), Retention: d.Duration(),
		CacheLocation: decodeResident(d),
	}
	m.Text = d.Blob()
	if m.Turn.Retention < 0 || m.Turn.Retention > maxKeep {
		m.Turn.Retention = maxKeep
	}
}

// maxKeep bounds how long a turn is kept.
const maxKeep = 24 * time.Hour

// kept answers keep.
type kept struct {
	Status   status
	Location ledger.Location
	Reason   string
}

// Kind implements peer.Message.
func (*kept) Kind() peer.Kind { return kindKept }

// Encode implements peer.Message.
func (m *kept) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	encodeLocation(e, m.Location)
	e.String(m.Reason)
}

// Decode implements peer.Message.
func (m *kept) Decode(d *wire.Decoder) {
	m.Status, m.Location, m.Reason = status(d.Uint8()), decodeLocation(d), d.String()
}

// done answers finish.
type done struct {
	Status status
	Reason string
}

// Kind implements peer.Message.
func (*done) Kind() peer.Kind { return kindDone }

// Encode implements peer.Message.
func (m *done) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	e.String(m.Reason)
}

// Decode implements peer.Message.
func (m *done) Decode(d *wire.Decoder) { m.Status, m.Reason = status(d.Uint8()), d.String() }

// read asks a node that reaches the store for the texts of a chain.
type read struct{ Chain []ledger.Location }

// Kind implements peer.Message.
func (*read) Kind() peer.Kind { return kindRead }

// Encode implements peer.Message.
func (m *read) Encode(e *wire.Encoder) { encodeChain(e, m.Chain) }

// Decode implements peer.Message.
func (m *read) Decode(d *wire.Decoder) { m.Chain = decodeChain(d) }

// texts answers read.
type texts struct {
	Status status
	Texts  [][]byte
}

// Kind implements peer.Message.
func (*texts) Kind() peer.Kind { return kindTexts }

// Encode implements peer.Message.
func (m *texts) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	e.Uint32(uint32(len(m.Texts)))
	for _, text := range m.Texts {
		e.Blob(text)
	}
}

// Decode implements peer.Message.
func (m *texts) Decode(d *wire.Decoder) {
	const leastBytes = 4
	m.Status = status(d.Uint8())
	for range d.Count(leastBytes) {
		m.Texts = append(m.Texts, d.Blob())
	}
}

// find asks a home for a turn in some of its partitions.
type find struct {
	Turn       ledger.TurnID
	Partitions []int
}

// Kind implements peer.Message.
func (*find) Kind() peer.Kind { return kindFind }

// Encode implements peer.Message.
func (m *find) Encode(e *wire.Encoder) {
	e.String(string(m.Turn))
	e.Uint32(uint32(len(m.Partitions)))
	for _, partition := range m.Partitions {
		e.Uint16(uint16(partition))
	}
}

// Decode implements peer.Message.
func (m *find) Decode(d *wire.Decoder) {
	const partitionBytes = 2
	m.Turn = ledger.TurnID(d.String())
	for range d.Count(partitionBytes) {
		m.Partitions = append(m.Partitions, int(d.Uint16()))
	}
}

// foundTurn answers find.
type foundTurn struct {
	Status   status
	Chain    []ledger.Location
	Resident ledger.CacheLocation
	// Reason is an error's text.
	Reason string
}

// Kind implements peer.Message.
func (*foundTurn) Kind() peer.Kind { return kindFoundTurn }

// Encode implements peer.Message.
func (m *foundTurn) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	encodeChain(e, m.Chain)
	encodeResident(e, m.Resident)
	e.String(m.Reason)
}

// Decode implements peer.Message.
func (m *foundTurn) Decode(d *wire.Decoder) {
	m.Status, m.Chain = status(d.Uint8()), decodeChain(d)
	m.Resident, m.Reason = decodeResident(d), d.String()
}

func encodeChain(e *wire.Encoder, chain []ledger.Location) {
	e.Uint32(uint32(len(chain)))
	for _, location := range chain {
		encodeLocation(e, location)
	}
}

func encodeLocation(e *wire.Encoder, location ledger.Location) {
	e.Uint16(location.Partition)
	e.Uint64(location.Offset)
	e.Uint32(location.Size)
}

func decodeLocation(d *wire.Decoder) ledger.Location {
	return ledger.Location{Partition: d.Uint16(), Offset: d.Uint64(), Size: d.Uint32()}
}

func decodeChain(d *wire.Decoder) []ledger.Location {
	count := d.Count(ledger.LocationBytes)
	if count == 0 {
		return nil
	}
	chain := make([]ledger.Location, 0, count)
	for range count {
		chain = append(chain, decodeLocation(d))
	}
	return chain
}

func encodeResident(e *wire.Encoder, resident ledger.CacheLocation) {
	e.String(resident.Instance)
	e.Uint32(resident.Tokens)
}

func decodeResident(d *wire.Decoder) ledger.CacheLocation {
	return ledger.CacheLocation{Instance: d.String(), Tokens: d.Uint32()}
}
