package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// codecVersion is the first byte of each encoded replica. Later versions may append fields,
// which readers of this version ignore. The number increases only if older readers must not
// decode the rest.
const codecVersion = 1

var (
	errCodecVersion = errors.New("fleet: the encoded replica's version is not known")
	errCodecShort   = errors.New("fleet: the encoded replica ends early")
	errCodecState   = errors.New("fleet: the encoded replica's state is not known")
)

// codecStates maps encoded numbers to states.
var codecStates = []State{StateReady, StateDraining}

// Encode encodes a replica in the compact form that nodes exchange. Numbers are varints;
// strings and addresses are prefixed with their length. A replica takes about 40 bytes, a
// sixth of its entry in the store.
func Encode(replica *Replica) []byte {
	encoded := make([]byte, 0, 64)
	encoded = append(encoded, codecVersion)
	encoded = binary.AppendUvarint(encoded, uint64(replica.StartedAtMs))
	encoded = appendText(encoded, replica.Service)
	address, _ := replica.Address.MarshalBinary() // cannot fail: AddrPort always has a binary form
	encoded = appendText(encoded, string(address))
	encoded = appendText(encoded, replica.Zone)
	encoded = binary.AppendUvarint(encoded, uint64(replica.Slots))
	state := 0
	if replica.State == StateDraining {
		state = 1
	}
	encoded = binary.AppendUvarint(encoded, uint64(state))
	encoded = binary.AppendUvarint(encoded, replica.Sequence)
	encoded = binary.AppendUvarint(encoded, uint64(replica.ColdRemaining))
	if replica.VersionUnknown {
		return encoded // as received from a build without versions
	}
	return appendText(encoded, replica.Version)
}

func appendText(encoded []byte, text string) []byte {
	return append(binary.AppendUvarint(encoded, uint64(len(text))), text...)
}

// Decode decodes and validates the replica of an instance.
func Decode(instance string, encoded []byte) (Replica, error) {
	if len(encoded) == 0 || encoded[0] != codecVersion {
		return Replica{}, errCodecVersion
	}
	reader := codecReader{rest: encoded[1:]}
	replica := Replica{Instance: instance}
	replica.StartedAtMs = int64(reader.number())
	replica.Service = reader.text()
	address := reader.text()
	replica.Zone = reader.text()
	replica.Slots = int(reader.number())
	state := reader.number()
	replica.Sequence = reader.number()
	replica.ColdRemaining = time.Duration(reader.number())
	if replica.VersionUnknown = len(reader.rest) == 0; !replica.VersionUnknown {
		replica.Version = reader.text()
	}
	switch {
	case reader.short:
		return Replica{}, errCodecShort
	case state >= uint64(len(codecStates)):
		return Replica{}, fmt.Errorf("%w: %d", errCodecState, state)
	}
	replica.State = codecStates[state]
	var parsed netip.AddrPort
	if err := parsed.UnmarshalBinary([]byte(address)); err != nil {
		return Replica{}, fmt.Errorf("fleet: encoded replica: %w", err)
	}
	replica.Address = parsed
	if err := replica.Validate(); err != nil {
		return Replica{}, err
	}
	return replica, nil
}

// codecReader decodes fields and records whether the input was too short.
type codecReader struct {
	rest  []byte
	short bool
}

func (r *codecReader) number() uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.short, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *codecReader) text() string {
	size := r.number()
	if size > uint64(len(r.rest)) {
		r.short, r.rest = true, nil
		return ""
	}
	text := string(r.rest[:size])
	r.rest = r.rest[size:]
	return text
}
