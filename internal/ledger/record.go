// Package ledger keeps the budgets of programs and the index of kept turns, as
// the records of a log tell them. The order of the log decides: every node that
// reads the same records comes to the same result, so no owner, lease or fence is
// needed. The package is pure.
package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// ErrRecord tells that a record can't be read. Such a record is passed over.
var ErrRecord = errors.New("ledger: unreadable record")

// ProgramID names a program.
type ProgramID string

// TurnID names a turn by the id of its request.
type TurnID string

// AttemptID names one attempt at a turn. It is unique.
type AttemptID uint64

// Reservation asks for tokens of a program's budget. It gets Wanted of them, or what
// the charges before it leave, but nothing if that is less than Least.
type Reservation struct {
	Program ProgramID
	Attempt AttemptID
	// Budget is the program's whole budget in tokens.
	Budget uint32
	// MaxTurnTokens is how many tokens one turn hands out at most.
	MaxTurnTokens           uint32
	MinTokens, WantedTokens uint32
	// Exclusive tells that nobody but the writer can have handed out tokens of the
	// program ahead of the log. Where a program's first record is not sure, a part
	// of its budget stays closed, see OpenBudget.
	Exclusive bool
	// Incarnation is the writer, which may give back what it does not hand out.
	Incarnation IncarnationID
}

// Settlement tells what an attempt handed out, in place of its reservation.
type Settlement struct {
	Program ProgramID
	Attempt AttemptID
	Used    uint32
}

// Location is where the text of a turn stands in the log.
type Location struct {
	Partition uint16
	Offset    uint64
	// Size is the record's length in bytes.
	Size uint32
}

// IndexEntry adds a turn that ended whole to the index.
type IndexEntry struct {
	Program ProgramID
	Turn    TurnID
	// Chain holds the locations of the turn's predecessors, the oldest first, and
	// of the turn itself.
	Chain []Location
	// Retention is how long the turn is kept.
	Retention time.Duration
	// CacheLocation is where the turn ran. Records of earlier versions don't tell it.
	CacheLocation CacheLocation
}

// CacheLocation tells which replica holds a turn's prompt and output in its memory.
type CacheLocation struct {
	// Instance is the replica; empty if not known.
	Instance string
	// Tokens is the length of prompt and output.
	Tokens uint32
}

// OwnershipClaim makes a life of a node the partition's owner. Only an owner may hand out
// tokens ahead of the log.
type OwnershipClaim struct{ Incarnation IncarnationID }

// OwnershipRelease ends the ownership of a life that has nothing ahead of the log any more.
type OwnershipRelease struct{ Incarnation IncarnationID }

// IncarnationID names one life of a process. It is unique.
type IncarnationID string

// Record is a Reserve, Settle, Keep, Own, Release or Text.
type Record interface{ encode() []byte }

type recordKind byte

const (
	kindReserve recordKind = 1
	kindSettle  recordKind = 2
	kindKeep    recordKind = 3
	kindOwn     recordKind = 4
	kindRelease recordKind = 5
	kindText    recordKind = 6
)

// LocationBytes is the encoded size of a Location, here and between nodes.
const LocationBytes = 2 + 8 + 4

// maxChain bounds the turns of one chain.
const maxChain = 1 << 12

// Encode returns the record's bytes.
func Encode(record Record) []byte { return record.encode() }

func (r Reservation) encode() []byte {
	encoded := appendText([]byte{byte(kindReserve)}, string(r.Program))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Attempt))
	for _, tokens := range []uint32{r.Budget, r.MaxTurnTokens, r.MinTokens, r.WantedTokens} {
		encoded = binary.BigEndian.AppendUint32(encoded, tokens)
	}
	sure := byte(0)
	if r.Exclusive {
		sure = 1
	}
	return appendText(append(encoded, sure), string(r.Incarnation))
}

func (r OwnershipClaim) encode() []byte {
	return appendText([]byte{byte(kindOwn)}, string(r.Incarnation))
}

func (r OwnershipRelease) encode() []byte {
	return appendText([]byte{byte(kindRelease)}, string(r.Incarnation))
}

func (r Settlement) encode() []byte {
	encoded := appendText([]byte{byte(kindSettle)}, string(r.Program))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Attempt))
	return binary.BigEndian.AppendUint32(encoded, r.Used)
}

func (r IndexEntry) encode() []byte {
	encoded := appendText([]byte{byte(kindKeep)}, string(r.Program))
	encoded = appendText(encoded, string(r.Turn))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(r.Retention/time.Millisecond))
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(r.Chain)))
	for _, location := range r.Chain {
		encoded = binary.BigEndian.AppendUint16(encoded, location.Partition)
		encoded = binary.BigEndian.AppendUint64(encoded, location.Offset)
		encoded = binary.BigEndian.AppendUint32(encoded, location.Size)
	}
	encoded = appendText(encoded, r.CacheLocation.Instance)
	return binary.BigEndian.AppendUint32(encoded, r.CacheLocation.Tokens)
}

func appendText(encoded []byte, text string) []byte {
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(text)))
	return append(encoded, text...)
}

// Decode reads a record. Its error wraps ErrRecord.
func Decode(encoded []byte) (Record, error) {
	if len(encoded) == 0 {
		return nil, fmt.Errorf("%w: empty", ErrRecord)
	}
	reader := &fields{rest: encoded[1:]}
	var record Record
	switch recordKind(encoded[0]) {
	case kindReserve:
		record = Reservation{
			Program: ProgramID(reader.text()), Attempt: AttemptID(reader.uint64()),
			Budget: reader.uint32(), MaxTurnTokens: reader.uint32(), MinTokens: reader.uint32(), WantedTokens: reader.uint32(),
			Exclusive: reader.take(1)[0] == 1, Incarnation: IncarnationID(reader.text()),
		}
	case kindSettle:
		record = Settlement{Program: ProgramID(reader.text()), Attempt: AttemptID(reader.uint64()), Used: reader.uint32()}
	case kindKeep:
		record = reader.keep()
	case kindOwn:
		record = OwnershipClaim{Incarnation: IncarnationID(reader.text())}
	case kindRelease:
		record = OwnershipRelease{Incarnation: IncarnationID(reader.text())}
	case kindText:
		record = Text{Bytes: reader.take(len(reader.rest))}
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrRecord, encoded[0])
	}
	if reader.short || len(reader.rest) > 0 {
		return nil, fmt.Errorf("%w: kind %d of %d bytes", ErrRecord, encoded[0], len(encoded))
	}
	return record, nil
}

// fields takes a record apart; after a field that is not whole, short is set and
// all further fields are zero.
type fields struct {
	rest  []byte
	short bool
}

func (f *fields) take(size int) []byte {
	if f.short || len(f.rest) < size {
		f.short = true
		return make([]byte, size)
	}
	taken := f.rest[:size]
	f.rest = f.rest[size:]
	return taken
}

func (f *fields) uint16() uint16 { return binary.BigEndian.Uint16(f.take(2)) }
func (f *fields) uint32() uint32 { return binary.BigEndian.Uint32(f.take(4)) }
func (f *fields) uint64() uint64 { return binary.BigEndian.Uint64(f.take(8)) }
func (f *fields) text() string   { return string(f.take(int(f.uint16()))) }

func (f *fields) keep() IndexEntry {
	record := IndexEntry{
		Program: ProgramID(f.text()), Turn: TurnID(f.text()),
		Retention: time.Duration(f.uint32()) * time.Millisecond,
	}
	count := int(f.uint16())
	if count > maxChain || count*LocationBytes > len(f.rest) {
		f.short = true
		return record
	}
	for range count {
		record.Chain = append(record.Chain, Location{Partition: f.uint16(), Offset: f.uint64(), Size: f.uint32()})
	}
	if len(f.rest) > 0 {
		record.CacheLocation = CacheLocation{Instance: f.text(), Tokens: f.uint32()}
	}
	return record
}
