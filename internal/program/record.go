package program

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wire"
)

// ErrUnknownRecord is returned for a record of an unknown kind, as written by a newer
// version.
var ErrUnknownRecord = errors.New("program: unknown kind of record")

// Record is one state change of a program. Records are immutable and are applied in
// journal order.
type Record interface {
	// Program returns the program that the record belongs to.
	Program() identity.ProgramID
	kind() recordKind
	encode(e *wire.Encoder)
}

type recordKind uint8

// The kinds of records. The numbers are stored in journals and must not change.
const (
	kindCreated recordKind = iota + 1
	kindIntent
	kindRetry
	kindNotRun
	kindWithdrawn
	kindResult
	kindDeduplicated
	kindEnded
	kindReleased
	kindRemoved
	kindEvicted
)

// Created creates a program.
type Created struct {
	ID     identity.ProgramID
	Tenant string
	Class  string
	Limits Limits
	At     time.Time
}

// Attempt is one dispatch of a call to one back end.
type Attempt struct {
	Stream  identity.StreamID
	Backend string
	Address netip.AddrPort
	// Reserved is the number of tokens reserved from the budget.
	Reserved int64
	At       time.Time
}

// Intent opens a call with its first attempt. It must be journalled before the
// dispatch.
type Intent struct {
	Request Request
	Attempt Attempt
}

// Retry replaces the attempt of an open call. If the previous attempt is still
// pending, its reservation stays charged.
type Retry struct{ Attempt Attempt }

// NotRun records that an attempt certainly did not run, which frees its reservation.
type NotRun struct{ Stream identity.StreamID }

// Withdrawn removes an unanswered call from its branch, so that its sequence may be
// used again.
type Withdrawn struct {
	Call identity.CallID
	At   time.Time
}

// Result answers a call permanently.
type Result struct {
	Stream identity.StreamID
	Answer Answer
}

// Deduplicated answers a call with the answer of the earlier call Of, which carried
// the same idempotency key.
type Deduplicated struct {
	ID     identity.CallID
	Digest Digest
	Of     identity.CallID
	At     time.Time
}

// Ended ends a program and queues the release of all its cache.
type Ended struct {
	ID    identity.ProgramID
	State api.ProgramState
	At    time.Time
}

// Released records that an engine has confirmed a release.
type Released struct {
	ID      identity.ProgramID
	Backend string
	Branch  identity.BranchID
}

// Evicted queues the release of a paused branch's cached prefix. The branch
// continues, and its next call prefills the whole prompt.
type Evicted struct {
	ID     identity.ProgramID
	Branch identity.BranchID
}

// Removed removes an ended program.
type Removed struct{ ID identity.ProgramID }

// Program implements Record.
func (r Created) Program() identity.ProgramID { return r.ID }

// Program implements Record.
func (r Intent) Program() identity.ProgramID { return r.Request.ID.Program }

// Program implements Record.
func (r Retry) Program() identity.ProgramID { return r.Attempt.Stream.Call.Program }

// Program implements Record.
func (r NotRun) Program() identity.ProgramID { return r.Stream.Call.Program }

// Program implements Record.
func (r Withdrawn) Program() identity.ProgramID { return r.Call.Program }

// Program implements Record.
func (r Result) Program() identity.ProgramID { return r.Stream.Call.Program }

// Program implements Record.
func (r Deduplicated) Program() identity.ProgramID { return r.ID.Program }

// Program implements Record.
func (r Ended) Program() identity.ProgramID { return r.ID }

// Program implements Record.
func (r Released) Program() identity.ProgramID { return r.ID }

// Program implements Record.
func (r Evicted) Program() identity.ProgramID { return r.ID }

// Program implements Record.
func (r Removed) Program() identity.ProgramID { return r.ID }

func (Created) kind() recordKind      { return kindCreated }
func (Intent) kind() recordKind       { return kindIntent }
func (Retry) kind() recordKind        { return kindRetry }
func (NotRun) kind() recordKind       { return kindNotRun }
func (Withdrawn) kind() recordKind    { return kindWithdrawn }
func (Result) kind() recordKind       { return kindResult }
func (Deduplicated) kind() recordKind { return kindDeduplicated }
func (Ended) kind() recordKind        { return kindEnded }
func (Released) kind() recordKind     { return kindReleased }
func (Removed) kind() recordKind      { return kindRemoved }
func (Evicted) kind() recordKind      { return kindEvicted }

func (r Created) encode(e *wire.Encoder) {
	e.String(string(r.ID))
	e.String(r.Tenant)
	e.String(r.Class)
	r.Limits.encode(e)
	e.Time(r.At)
}

func (a Attempt) encode(e *wire.Encoder) {
	encodeStreamID(e, a.Stream)
	e.String(a.Backend)
	e.AddrPort(a.Address)
	e.Int64(a.Reserved)
	e.Time(a.At)
}

func (r Intent) encode(e *wire.Encoder) {
	r.Request.encode(e)
	r.Attempt.encode(e)
}

func (r Retry) encode(e *wire.Encoder)  { r.Attempt.encode(e) }
func (r NotRun) encode(e *wire.Encoder) { encodeStreamID(e, r.Stream) }

func (r Withdrawn) encode(e *wire.Encoder) {
	encodeCallID(e, r.Call)
	e.Time(r.At)
}

func (r Result) encode(e *wire.Encoder) {
	encodeStreamID(e, r.Stream)
	r.Answer.encode(e)
}

func (r Deduplicated) encode(e *wire.Encoder) {
	encodeCallID(e, r.ID)
	e.Blob(r.Digest[:])
	encodeCallID(e, r.Of)
	e.Time(r.At)
}

func (r Ended) encode(e *wire.Encoder) {
	e.String(string(r.ID))
	e.String(string(r.State))
	e.Time(r.At)
}

func (r Released) encode(e *wire.Encoder) {
	e.String(string(r.ID))
	e.String(r.Backend)
	e.String(string(r.Branch))
}

func (r Evicted) encode(e *wire.Encoder) {
	e.String(string(r.ID))
	e.String(string(r.Branch))
}

func (r Removed) encode(e *wire.Encoder) { e.String(string(r.ID)) }

// Encode returns the binary form of record: one byte for the kind, then the fields.
func Encode(record Record) []byte {
	var e wire.Encoder
	e.Uint8(uint8(record.kind()))
	record.encode(&e)
	return e.Bytes()
}

func decodeAttempt(d *wire.Decoder) Attempt {
	return Attempt{
		Stream:   decodeStreamID(d),
		Backend:  d.String(),
		Address:  d.AddrPort(),
		Reserved: d.Int64(),
		At:       d.Time(),
	}
}

func decodeDeduplicated(d *wire.Decoder) Deduplicated {
	r := Deduplicated{ID: decodeCallID(d)}
	copy(r.Digest[:], d.Blob())
	r.Of = decodeCallID(d)
	r.At = d.Time()
	return r
}

// Decode is the inverse of Encode.
func Decode(raw []byte) (Record, error) {
	d := wire.NewDecoder(raw)
	kind := recordKind(d.Uint8())
	record := decodeFields(kind, d)
	if record == nil && d.Err() == nil {
		return nil, fmt.Errorf("%w: %d", ErrUnknownRecord, kind)
	}
	if err := d.Finish(); err != nil {
		return nil, fmt.Errorf("program: record of kind %d: %w", kind, err)
	}
	return record, nil
}

func decodeFields(kind recordKind, d *wire.Decoder) Record {
	switch kind {
	case kindCreated:
		return Created{
			ID: identity.ProgramID(d.String()), Tenant: d.String(), Class: d.String(),
			Limits: decodeLimits(d), At: d.Time(),
		}
	case kindIntent:
		return Intent{Request: decodeRequest(d), Attempt: decodeAttempt(d)}
	case kindRetry:
		return Retry{Attempt: decodeAttempt(d)}
	case kindNotRun:
		return NotRun{Stream: decodeStreamID(d)}
	case kindWithdrawn:
		return Withdrawn{Call: decodeCallID(d), At: d.Time()}
	case kindResult:
		return Result{Stream: decodeStreamID(d), Answer: decodeAnswer(d)}
	case kindDeduplicated:
		return decodeDeduplicated(d)
	case kindEnded:
		return Ended{ID: identity.ProgramID(d.String()), State: api.ProgramState(d.String()), At: d.Time()}
	case kindReleased:
		return Released{ID: identity.ProgramID(d.String()), Backend: d.String(), Branch: identity.BranchID(d.String())}
	case kindEvicted:
		return Evicted{ID: identity.ProgramID(d.String()), Branch: identity.BranchID(d.String())}
	case kindRemoved:
		return Removed{ID: identity.ProgramID(d.String())}
	default:
		return nil
	}
}
