package coordinator

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// The message kinds of this package. They are sent to other nodes, so their order must not
// change.
const (
	kindBeginRequest = peer.KindRangeLedger + 1 + iota
	kindBeginResponse
	kindFinishRequest
	kindPersistRequest
	kindFinishResponse
	kindReadRequest
	kindReadResponse
	kindPersistResponse
	kindProgress
	kindFindRequest
	kindFindResponse
	kindPersistAnywhereRequest
)

// status is the outcome of a request to another node.
type status uint8

const (
	statusDone status = iota + 1
	statusBudgetExhausted
	statusNoSuchTurn
	statusUnavailable
	statusBudgetReserved
	statusStoreUnavailable
)

// statusOf returns the status of a ledger error, for other nodes and metrics.
func statusOf(err error) status {
	var spent *ledgerlog.BudgetExhaustedError
	switch {
	case err == nil:
		return statusDone
	case errors.As(err, &spent):
		return statusBudgetExhausted
	case errors.Is(err, ledgerlog.ErrNoSuchTurn):
		return statusNoSuchTurn
	case errors.Is(err, ledgerlog.ErrBudgetReserved):
		return statusBudgetReserved
	case errors.Is(err, ledgerlog.ErrStoreUnavailable):
		return statusStoreUnavailable
	}
	return statusUnavailable
}

// err returns the error that a node reported with its reason. For statusBudgetExhausted see
// beginResponse.err, which knows the charge.
func (s status) err(coordinator identity.NodeName, reason string) error {
	kind := ledgerlog.ErrUnavailable
	switch s {
	case statusDone:
		return nil
	case statusNoSuchTurn:
		kind = ledgerlog.ErrNoSuchTurn
	case statusBudgetReserved:
		kind = ledgerlog.ErrBudgetReserved
	case statusStoreUnavailable:
		kind = ledgerlog.ErrStoreUnavailable
	}
	return fmt.Errorf("%w: home %s: %s", kind, coordinator, reason)
}

// String returns the status as shown in metrics and logs.
func (s status) String() string {
	switch s {
	case statusDone:
		return "done"
	case statusBudgetExhausted:
		return "spent"
	case statusNoSuchTurn:
		return "no_such_turn"
	case statusBudgetReserved:
		return "reserved"
	case statusStoreUnavailable:
		return "store_away"
	}
	return "unavailable"
}

// beginRequest asks a coordinator to begin a turn. Grant is chosen by the sender.
type beginRequest struct {
	Request Request
	Grant   ledger.GrantID
}

// Kind implements peer.Message.
func (*beginRequest) Kind() peer.Kind { return kindBeginRequest }

// Encode implements peer.Message.
func (m *beginRequest) Encode(e *wire.Encoder) {
	e.String(string(m.Request.Program))
	e.Bool(m.Request.Budgeted)
	e.Uint32(m.Request.Budget)
	e.Uint32(m.Request.MaxTurnTokens)
	e.String(string(m.Request.Previous))
	e.Uint64(uint64(m.Grant))
}

// Decode implements peer.Message.
func (m *beginRequest) Decode(d *wire.Decoder) {
	m.Request = Request{
		Program: ledger.ProgramID(d.String()), Budgeted: d.Bool(), Budget: d.Uint32(), MaxTurnTokens: d.Uint32(),
		Previous: ledger.TurnID(d.String()),
	}
	m.Grant = ledger.GrantID(d.Uint64())
}

// beginResponse responds to beginRequest.
type beginResponse struct {
	Status   status
	Charged  uint64
	Unlogged bool
	First    bool
	Chain    []ledger.Location
	// CacheLocation is where the previous turn ran.
	CacheLocation ledger.CacheLocation
	// Reason is the text of the error, if any.
	Reason string
}

// Kind implements peer.Message.
func (*beginResponse) Kind() peer.Kind { return kindBeginResponse }

// Encode implements peer.Message.
func (m *beginResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	e.Uint64(m.Charged)
	e.Bool(m.Unlogged)
	e.Bool(m.First)
	encodeChain(e, m.Chain)
	encodeCacheLocation(e, m.CacheLocation)
	e.String(m.Reason)
}

// Decode implements peer.Message.
func (m *beginResponse) Decode(d *wire.Decoder) {
	m.Status, m.Charged = status(d.Uint8()), d.Uint64()
	m.Unlogged, m.First, m.Chain = d.Bool(), d.Bool(), decodeChain(d)
	m.CacheLocation, m.Reason = decodeCacheLocation(d), d.String()
}

// progress is sent before the final response while the sender waits for the log.
type progress struct{}

// Kind implements peer.Message.
func (*progress) Kind() peer.Kind { return kindProgress }

// Encode implements peer.Message.
func (*progress) Encode(*wire.Encoder) {}

// Decode implements peer.Message.
func (*progress) Decode(*wire.Decoder) {}

// finishRequest reports how many tokens a turn used.
type finishRequest struct {
	Program ledger.ProgramID
	Grant   ledger.GrantID
	Used    uint32
}

// Kind implements peer.Message.
func (*finishRequest) Kind() peer.Kind { return kindFinishRequest }

// Encode implements peer.Message.
func (m *finishRequest) Encode(e *wire.Encoder) {
	e.String(string(m.Program))
	e.Uint64(uint64(m.Grant))
	e.Uint32(m.Used)
}

// Decode implements peer.Message.
func (m *finishRequest) Decode(d *wire.Decoder) {
	m.Program, m.Grant, m.Used = ledger.ProgramID(d.String()), ledger.GrantID(d.Uint64()), d.Uint32()
}

// persistRequest asks a node to write a turn's text and its index entry. Turn.Chain contains the
// locations of the previous turns.
type persistRequest struct {
	Turn ledger.IndexEntry
	Text []byte
}

// Kind implements peer.Message.
func (*persistRequest) Kind() peer.Kind { return kindPersistRequest }

// Encode implements peer.Message.
func (m *persistRequest) Encode(e *wire.Encoder) {
	e.String(string(m.Turn.Program))
	e.String(string(m.Turn.Turn))
	encodeChain(e, m.Turn.Chain)
	e.Duration(m.Turn.Retention)
	encodeCacheLocation(e, m.Turn.CacheLocation)
	e.Blob(m.Text)
}

// Decode implements peer.Message.
func (m *persistRequest) Decode(d *wire.Decoder) {
	m.Turn = ledger.IndexEntry{
		Program: ledger.ProgramID(d.String()), Turn: ledger.TurnID(d.String()), Chain: decodeChain(d), Retention: d.Duration(),
		CacheLocation: decodeCacheLocation(d),
	}
	m.Text = d.Blob()
	if m.Turn.Retention < 0 || m.Turn.Retention > maxRetention {
		m.Turn.Retention = maxRetention
	}
}

// maxRetention bounds how long a turn is retained.
const maxRetention = 24 * time.Hour

// persistResponse responds to persistRequest and persistAnywhereRequest.
type persistResponse struct {
	Status   status
	Location ledger.Location
	Reason   string
}

// Kind implements peer.Message.
func (*persistResponse) Kind() peer.Kind { return kindPersistResponse }

// Encode implements peer.Message.
func (m *persistResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	encodeLocation(e, m.Location)
	e.String(m.Reason)
}

// Decode implements peer.Message.
func (m *persistResponse) Decode(d *wire.Decoder) {
	m.Status, m.Location, m.Reason = status(d.Uint8()), decodeLocation(d), d.String()
}

// finishResponse responds to finishRequest.
type finishResponse struct {
	Status status
	Reason string
}

// Kind implements peer.Message.
func (*finishResponse) Kind() peer.Kind { return kindFinishResponse }

// Encode implements peer.Message.
func (m *finishResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	e.String(m.Reason)
}

// Decode implements peer.Message.
func (m *finishResponse) Decode(d *wire.Decoder) { m.Status, m.Reason = status(d.Uint8()), d.String() }

// readRequest asks a node to read the texts of a chain from the store.
type readRequest struct{ Chain []ledger.Location }

// Kind implements peer.Message.
func (*readRequest) Kind() peer.Kind { return kindReadRequest }

// Encode implements peer.Message.
func (m *readRequest) Encode(e *wire.Encoder) { encodeChain(e, m.Chain) }

// Decode implements peer.Message.
func (m *readRequest) Decode(d *wire.Decoder) { m.Chain = decodeChain(d) }

// readResponse responds to readRequest.
type readResponse struct {
	Status status
	// Texts contains the texts of the chain, or, if Status is not statusDone, the reason alone.
	Texts [][]byte
}

// failedRead returns the response to a request whose texts could not be read.
func failedRead(err error) *readResponse {
	return &readResponse{Status: statusOf(err), Texts: [][]byte{[]byte(err.Error())}}
}

// err returns the error that a node reported.
func (m *readResponse) err(from identity.NodeName) error {
	return m.Status.err(from, string(bytes.Join(m.Texts, nil)))
}

// Kind implements peer.Message.
func (*readResponse) Kind() peer.Kind { return kindReadResponse }

// Encode implements peer.Message.
func (m *readResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	e.Uint32(uint32(len(m.Texts)))
	for _, text := range m.Texts {
		e.Blob(text)
	}
}

// Decode implements peer.Message.
func (m *readResponse) Decode(d *wire.Decoder) {
	const leastBytes = 4
	m.Status = status(d.Uint8())
	for range d.Count(leastBytes) {
		m.Texts = append(m.Texts, d.Blob())
	}
}

// findRequest asks a coordinator to search some of its partitions for a turn.
type findRequest struct {
	Turn       ledger.TurnID
	Partitions []int
}

// Kind implements peer.Message.
func (*findRequest) Kind() peer.Kind { return kindFindRequest }

// Encode implements peer.Message.
func (m *findRequest) Encode(e *wire.Encoder) {
	e.String(string(m.Turn))
	e.Uint32(uint32(len(m.Partitions)))
	for _, partition := range m.Partitions {
		e.Uint16(uint16(partition))
	}
}

// Decode implements peer.Message.
func (m *findRequest) Decode(d *wire.Decoder) {
	const partitionBytes = 2
	m.Turn = ledger.TurnID(d.String())
	for range d.Count(partitionBytes) {
		m.Partitions = append(m.Partitions, int(d.Uint16()))
	}
}

// findResponse responds to findRequest.
type findResponse struct {
	Status        status
	Chain         []ledger.Location
	CacheLocation ledger.CacheLocation
	// Reason is the text of the error, if any.
	Reason string
}

// Kind implements peer.Message.
func (*findResponse) Kind() peer.Kind { return kindFindResponse }

// Encode implements peer.Message.
func (m *findResponse) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.Status))
	encodeChain(e, m.Chain)
	encodeCacheLocation(e, m.CacheLocation)
	e.String(m.Reason)
}

// Decode implements peer.Message.
func (m *findResponse) Decode(d *wire.Decoder) {
	m.Status, m.Chain = status(d.Uint8()), decodeChain(d)
	m.CacheLocation, m.Reason = decodeCacheLocation(d), d.String()
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

func encodeCacheLocation(e *wire.Encoder, cacheLocation ledger.CacheLocation) {
	e.String(cacheLocation.Instance)
	e.Uint32(cacheLocation.Tokens)
}

func decodeCacheLocation(d *wire.Decoder) ledger.CacheLocation {
	return ledger.CacheLocation{Instance: d.String(), Tokens: d.Uint32()}
}
