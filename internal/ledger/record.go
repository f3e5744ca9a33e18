// Package ledger computes the budgets of programs and the index of turns from the records of a
// log. The order of the log decides: every node that reads the same records computes the same
// state, so no lock, lease or fencing is needed. The package does no I/O.
package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// ErrRecord reports a record that can't be decoded. Such records are skipped.
var ErrRecord = errors.New("ledger: unreadable record")

// ProgramID identifies a program.
type ProgramID string

// TurnID identifies a turn by the id of its request.
type TurnID string

// AttemptID identifies one reservation attempt. It is unique.
type AttemptID uint64

// Reservation reserves tokens of a program's budget. It gets WantedTokens, or what is left of
// the budget if that is less, but nothing if that is less than MinTokens.
type Reservation struct {
	Program ProgramID
	Attempt AttemptID
	// Budget is the program's whole budget in tokens.
	Budget uint32
	// MaxTurnTokens is the upper bound of one turn's tokens.
	MaxTurnTokens           uint32
	MinTokens, WantedTokens uint32
	// Exclusive is set if no other incarnation can have granted unlogged tokens to the program,
	// except those that its assumed reservation stands for. If a program's first record is not
	// exclusive, as earlier versions write it, part of its budget is withheld.
	Exclusive bool
	// Incarnation is the writer, which may return what it does not use.
	Incarnation IncarnationID
}

// Settlement replaces an attempt's reservation by what was used.
type Settlement struct {
	Program ProgramID
	Attempt AttemptID
	Used    uint32
}

// Location is where the text of a turn is in the log.
type Location struct {
	Partition uint16
	Offset    uint64
	// Size is the length of the text in bytes.
	Size uint32
}

// IndexEntry adds a finished turn to the index.
type IndexEntry struct {
	Program ProgramID
	Turn    TurnID
	// Chain contains the locations of the turn's predecessors, oldest first, and of the turn
	// itself.
	Chain []Location
	// Retention is how long the turn is kept.
	Retention time.Duration
	// CacheLocation is where the turn ran. Records of older versions do not have it.
	CacheLocation CacheLocation
}

// CacheLocation is the replica that has a turn's prompt and output in its cache.
type CacheLocation struct {
	// Instance is the replica, or empty if not known.
	Instance string
	// Tokens is the length of prompt and output.
	Tokens uint32
}

// OwnershipClaim makes an incarnation the partition's owner. Only an owner may make unlogged
// grants.
type OwnershipClaim struct{ Incarnation IncarnationID }

// OwnershipRelease ends the ownership of an incarnation, all of whose grants are in the log.
type OwnershipRelease struct{ Incarnation IncarnationID }

// OwnerLimit says that an owner makes unlogged grants up to UnloggedLimit. Exclusive is set if
// no other incarnation can have made any. Earlier versions skip the record.
type OwnerLimit struct {
	Incarnation IncarnationID
	Exclusive   bool
}

// IncarnationID identifies one incarnation of a process. It is unique.
type IncarnationID string

// Record is a Reservation, Settlement, IndexEntry, OwnershipClaim, OwnershipRelease, OwnerLimit
// or Text.
type Record interface{ encode() []byte }

type recordKind byte

const (
	kindReservation      recordKind = 1
	kindSettlement       recordKind = 2
	kindIndexEntry       recordKind = 3
	kindOwnershipClaim   recordKind = 4
	kindOwnershipRelease recordKind = 5
	kindText             recordKind = 6
	kindOwnerLimit       recordKind = 7
)

// LocationBytes is the encoded size of a Location, in records and in messages between nodes.
const LocationBytes = 2 + 8 + 4

// maxChainLength bounds the turns of one chain.
const maxChainLength = 1 << 12

// Encode returns the encoding of a record.
func Encode(record Record) []byte { return record.encode() }

func (r Reservation) encode() []byte {
	encoded := appendString([]byte{byte(kindReservation)}, string(r.Program))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Attempt))
	for _, tokens := range []uint32{r.Budget, r.MaxTurnTokens, r.MinTokens, r.WantedTokens} {
		encoded = binary.BigEndian.AppendUint32(encoded, tokens)
	}
	return appendString(appendBool(encoded, r.Exclusive), string(r.Incarnation))
}

func (r OwnerLimit) encode() []byte {
	return appendBool(appendString([]byte{byte(kindOwnerLimit)}, string(r.Incarnation)), r.Exclusive)
}

func (r OwnershipClaim) encode() []byte {
	return appendString([]byte{byte(kindOwnershipClaim)}, string(r.Incarnation))
}

func (r OwnershipRelease) encode() []byte {
	return appendString([]byte{byte(kindOwnershipRelease)}, string(r.Incarnation))
}

func (r Settlement) encode() []byte {
	encoded := appendString([]byte{byte(kindSettlement)}, string(r.Program))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Attempt))
	return binary.BigEndian.AppendUint32(encoded, r.Used)
}

func (r IndexEntry) encode() []byte {
	encoded := appendString([]byte{byte(kindIndexEntry)}, string(r.Program))
	encoded = appendString(encoded, string(r.Turn))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(r.Retention/time.Millisecond))
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(r.Chain)))
	for _, location := range r.Chain {
		encoded = binary.BigEndian.AppendUint16(encoded, location.Partition)
		encoded = binary.BigEndian.AppendUint64(encoded, location.Offset)
		encoded = binary.BigEndian.AppendUint32(encoded, location.Size)
	}
	encoded = appendString(encoded, r.CacheLocation.Instance)
	return binary.BigEndian.AppendUint32(encoded, r.CacheLocation.Tokens)
}

func appendBool(encoded []byte, set bool) []byte {
	if set {
		return append(encoded, 1)
	}
	return append(encoded, 0)
}

func appendString(encoded []byte, readString string) []byte {
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(len(readString)))
	return append(encoded, readString...)
}

// Decode decodes a record. Its error wraps ErrRecord.
func Decode(encoded []byte) (Record, error) {
	if len(encoded) == 0 {
		return nil, fmt.Errorf("%w: empty", ErrRecord)
	}
	reader := &decoder{rest: encoded[1:]}
	var record Record
	switch recordKind(encoded[0]) {
	case kindReservation:
		record = Reservation{
			Program: ProgramID(reader.readString()), Attempt: AttemptID(reader.uint64()),
			Budget: reader.uint32(), MaxTurnTokens: reader.uint32(), MinTokens: reader.uint32(), WantedTokens: reader.uint32(),
			Exclusive: reader.take(1)[0] == 1, Incarnation: IncarnationID(reader.readString()),
		}
	case kindSettlement:
		record = Settlement{Program: ProgramID(reader.readString()), Attempt: AttemptID(reader.uint64()), Used: reader.uint32()}
	case kindIndexEntry:
		record = reader.indexEntry()
	case kindOwnershipClaim:
		record = OwnershipClaim{Incarnation: IncarnationID(reader.readString())}
	case kindOwnershipRelease:
		record = OwnershipRelease{Incarnation: IncarnationID(reader.readString())}
	case kindOwnerLimit:
		record = OwnerLimit{Incarnation: IncarnationID(reader.readString()), Exclusive: reader.take(1)[0] == 1}
	case kindText:
		record = Text{Bytes: reader.take(len(reader.rest))}
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrRecord, encoded[0])
	}
	if reader.truncated || len(reader.rest) > 0 {
		return nil, fmt.Errorf("%w: kind %d of %d bytes", ErrRecord, encoded[0], len(encoded))
	}
	return record, nil
}

// decoder reads the fields of a record. After an incomplete field, truncated is set and all
// further fields are zero.
type decoder struct {
	rest      []byte
	truncated bool
}

func (f *decoder) take(size int) []byte {
	if f.truncated || len(f.rest) < size {
		f.truncated = true
		return make([]byte, size)
	}
	taken := f.rest[:size]
	f.rest = f.rest[size:]
	return taken
}

func (f *decoder) uint16() uint16     { return binary.BigEndian.Uint16(f.take(2)) }
func (f *decoder) uint32() uint32     { return binary.BigEndian.Uint32(f.take(4)) }
func (f *decoder) uint64() uint64     { return binary.BigEndian.Uint64(f.take(8)) }
func (f *decoder) readString() string { return string(f.take(int(f.uint16()))) }

func (f *decoder) indexEntry() IndexEntry {
	record := IndexEntry{
		Program: ProgramID(f.readString()), Turn: TurnID(f.readString()),
		Retention: time.Duration(f.uint32()) * time.Millisecond,
	}
	count := int(f.uint16())
	if count > maxChainLength || count*LocationBytes > len(f.rest) {
		f.truncated = true
		return record
	}
	for range count {
		record.Chain = append(record.Chain, Location{Partition: f.uint16(), Offset: f.uint64(), Size: f.uint32()})
	}
	if len(f.rest) > 0 {
		record.CacheLocation = CacheLocation{Instance: f.readString(), Tokens: f.uint32()}
	}
	return record
}
