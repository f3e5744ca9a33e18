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

// Reserve asks for tokens of a program's budget. It gets Wanted of them, or what
// the charges before it leave, but nothing if that is less than Least.
type Reserve struct {
	Program ProgramID
	Attempt AttemptID
	// Budget is the program's whole budget in tokens.
	Budget uint32
	// Most is how many tokens one turn hands out at most.
	Most          uint32
	Least, Wanted uint32
	// Sure tells that nobody but the writer can have handed out tokens of the
	// program ahead of the log. Where a program's first record is not sure, a part
	// of its budget stays closed, see OpenBudget.
	Sure bool
	// Life is the writer, which may give back what it does not hand out.
	Life LifeID
}

// Settle tells what an attempt handed out, in place of its reservation.
type Settle struct {
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

// Keep adds a turn that ended whole to the index.
type Keep struct {
	Program ProgramID
	Turn    TurnID
	// Chain holds the locations of the turn's predecessors, the oldest first, and
	// of the turn itself.
	Chain []Location
	// For is how long the turn is kept.
	For time.Duration
	// Resident is where the turn ran. Records of earlier versions don't tell it.
	Resident Resident
}

// Resident tells which replica holds a turn's prompt and output in its memory.
type Resident struct {
	// Instance is the replica; empty if not known.
	Instance string
	// Tokens is the length of prompt and output.
	Tokens uint32
}

// Own makes a life of a node the partition's owner. Only an owner may hand out
// tokens ahead of the log.
type Own struct{ Life LifeID }

// Release ends the ownership of a life that has nothing ahead of the log any more.
type Release struct{ Life LifeID }

// LifeID names one life of a process. It is unique.
type LifeID string

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

func (r Reserve) encode() []byte {
	encoded := appendText([]byte{byte(kindReserve)}, string(r.Program))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Attempt))
	for _, tokens := range []uint32{r.Budget, r.Most, r.Least, r.Wanted} {
		encoded = binary.BigEndian.AppendUint32(encoded, tokens)
	}
	sure := byte(0)
	if r.Sure {
		sure = 1
	}
	return appendText(append(encoded, sure), string(r.Life))
}

func (r Own) encode() []byte { return appendText([]byte{byte(kindOwn)}, string(r.Life)) }

func (r Release) encode() []byte { return appendText([]byte{byte(kindRelease)}, string(r.Life)) }

func (r Settle) encode() []byte {
	encoded := appendText([]byte{byte(kindSettle)}, string(r.Program))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Attempt))
	return binary.BigEndian.AppendUint32(encoded, r.Used)
}

func (r Keep) encode() []byte {
	encoded := appendText([]byte{byte(kindKeep)}, string(r.Program))
	encoded = appendText(encoded, string(r.Turn))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(r.For/time.Millisecond))
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(r.Chain)))
	for _, location := range r.Chain {
		encoded = binary.BigEndian.AppendUint16(encoded, location.Partition)
		encoded = binary.BigEndian.AppendUint64(encoded, location.Offset)
		encoded = binary.BigEndian.AppendUint32(encoded, location.Size)
	}
	encoded = appendText(encoded, r.Resident.Instance)
	return binary.BigEndian.AppendUint32(encoded, r.Resident.Tokens)
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
		record = Reserve{
			Program: ProgramID(reader.text()), Attempt: AttemptID(reader.uint64()),
			Budget: reader.uint32(), Most: reader.uint32(), Least: reader.uint32(), Wanted: reader.uint32(),
			Sure: reader.take(1)[0] == 1, Life: LifeID(reader.text()),
		}
	case kindSettle:
		record = Settle{Program: ProgramID(reader.text()), Attempt: AttemptID(reader.uint64()), Used: reader.uint32()}
	case kindKeep:
		record = reader.keep()
	case kindOwn:
		record = Own{Life: LifeID(reader.text())}
	case kindRelease:
		record = Release{Life: LifeID(reader.text())}
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

func (f *fields) keep() Keep {
	record := Keep{
		Program: ProgramID(f.text()), Turn: TurnID(f.text()),
		For: time.Duration(f.uint32()) * time.Millisecond,
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
		record.Resident = Resident{Instance: f.text(), Tokens: f.uint32()}
	}
	return record
}
