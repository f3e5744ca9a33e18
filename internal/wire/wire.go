// Package wire encodes and decodes the fields of binary messages and records.
// All integers are big endian (encoding/binary); strings and byte slices carry
// a 32-bit length prefix. A Decoder keeps its first error, so that a message
// decodes all its fields in sequence and checks for errors once.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"
)

// ErrShort is the cause of a decoding error where the input ends early.
var ErrShort = errors.New("wire: input ends early")

// ErrTrailing is the cause of a decoding error where bytes are left over.
var ErrTrailing = errors.New("wire: bytes left after the last field")

// Encoder appends fields to a buffer. The zero value is ready to use.
type Encoder struct{ buffer []byte }

// NewEncoder returns an encoder that appends to buffer.
func NewEncoder(buffer []byte) *Encoder { return &Encoder{buffer: buffer} }

// Bytes returns the encoded bytes.
func (e *Encoder) Bytes() []byte { return e.buffer }

// Uint8 appends one byte.
func (e *Encoder) Uint8(v uint8) { e.buffer = append(e.buffer, v) }

// Bool appends one byte, 1 for true.
func (e *Encoder) Bool(v bool) {
	if v {
		e.Uint8(1)
		return
	}
	e.Uint8(0)
}

// Uint16 appends two bytes.
func (e *Encoder) Uint16(v uint16) { e.buffer = binary.BigEndian.AppendUint16(e.buffer, v) }

// Uint32 appends four bytes.
func (e *Encoder) Uint32(v uint32) { e.buffer = binary.BigEndian.AppendUint32(e.buffer, v) }

// Uint64 appends eight bytes.
func (e *Encoder) Uint64(v uint64) { e.buffer = binary.BigEndian.AppendUint64(e.buffer, v) }

// Int64 appends eight bytes in two's complement.
func (e *Encoder) Int64(v int64) { e.Uint64(uint64(v)) }

// Float64 appends the eight bytes of the IEEE 754 form.
func (e *Encoder) Float64(v float64) { e.Uint64(math.Float64bits(v)) }

// Duration appends v in nanoseconds.
func (e *Encoder) Duration(v time.Duration) { e.Int64(int64(v)) }

// Time appends v in Unix nanoseconds; the zero time has an encoding of its own.
func (e *Encoder) Time(v time.Time) {
	if v.IsZero() {
		e.Int64(math.MinInt64)
		return
	}
	e.Int64(v.UnixNano())
}

// Blob appends a length and the bytes.
func (e *Encoder) Blob(v []byte) {
	e.Uint32(uint32(len(v)))
	e.buffer = append(e.buffer, v...)
}

// String appends a length and the string's bytes.
func (e *Encoder) String(v string) {
	e.Uint32(uint32(len(v)))
	e.buffer = append(e.buffer, v...)
}

// AddrPort appends an address in its binary form.
func (e *Encoder) AddrPort(v netip.AddrPort) {
	raw, _ := v.MarshalBinary() // cannot fail: AddrPort always has a binary form
	e.Blob(raw)
}

// Decoder reads fields in the order in which an Encoder appended them.
type Decoder struct {
	rest []byte
	err  error
}

// NewDecoder returns a decoder over input, which it does not change.
func NewDecoder(input []byte) *Decoder { return &Decoder{rest: input} }

// Err returns the first error, or nil.
func (d *Decoder) Err() error { return d.err }

// Finish returns the first error, or ErrTrailing if input is left over.
func (d *Decoder) Finish() error {
	if d.err == nil && len(d.rest) > 0 {
		d.err = fmt.Errorf("%w: %d", ErrTrailing, len(d.rest))
	}
	return d.err
}

// Fail records err unless an earlier error is recorded.
func (d *Decoder) Fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

func (d *Decoder) take(count int) []byte {
	if d.err != nil {
		return nil
	}
	if len(d.rest) < count {
		d.err = fmt.Errorf("%w: want %d bytes, have %d", ErrShort, count, len(d.rest))
		return nil
	}
	taken := d.rest[:count]
	d.rest = d.rest[count:]
	return taken
}

// Uint8 reads one byte.
func (d *Decoder) Uint8() uint8 {
	if raw := d.take(1); raw != nil {
		return raw[0]
	}
	return 0
}

// Bool reads one byte.
func (d *Decoder) Bool() bool { return d.Uint8() != 0 }

// Uint16 reads two bytes.
func (d *Decoder) Uint16() uint16 {
	if raw := d.take(2); raw != nil {
		return binary.BigEndian.Uint16(raw)
	}
	return 0
}

// Uint32 reads four bytes.
func (d *Decoder) Uint32() uint32 {
	if raw := d.take(4); raw != nil {
		return binary.BigEndian.Uint32(raw)
	}
	return 0
}

// Uint64 reads eight bytes.
func (d *Decoder) Uint64() uint64 {
	if raw := d.take(8); raw != nil {
		return binary.BigEndian.Uint64(raw)
	}
	return 0
}

// Int64 reads eight bytes in two's complement.
func (d *Decoder) Int64() int64 { return int64(d.Uint64()) }

// Float64 reads the eight bytes of the IEEE 754 form.
func (d *Decoder) Float64() float64 { return math.Float64frombits(d.Uint64()) }

// Duration reads a duration in nanoseconds.
func (d *Decoder) Duration() time.Duration { return time.Duration(d.Int64()) }

// Time reads a time in Unix nanoseconds.
func (d *Decoder) Time() time.Time {
	nanoseconds := d.Int64()
	if nanoseconds == math.MinInt64 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Blob reads a length and that many bytes; the result is a copy.
func (d *Decoder) Blob() []byte {
	raw := d.take(int(d.Uint32()))
	if len(raw) == 0 {
		return nil
	}
	return append([]byte(nil), raw...)
}

// String reads a length and that many bytes.
func (d *Decoder) String() string { return string(d.take(int(d.Uint32()))) }

// AddrPort reads an address in its binary form.
func (d *Decoder) AddrPort() netip.AddrPort {
	raw := d.Blob()
	var address netip.AddrPort
	if d.err != nil {
		return address
	}
	if err := address.UnmarshalBinary(raw); err != nil {
		d.Fail(fmt.Errorf("wire: address: %w", err))
	}
	return address
}

// Count reads a 32-bit element count and checks that the input can contain that
// many elements of at least minimumSize bytes, so that a corrupt count cannot
// cause an unbounded allocation.
func (d *Decoder) Count(minimumSize int) int {
	count := int(d.Uint32())
	if d.err == nil && count*max(minimumSize, 1) > len(d.rest) {
		d.err = fmt.Errorf("%w: %d elements", ErrShort, count)
	}
	if d.err != nil {
		return 0
	}
	return count
}
