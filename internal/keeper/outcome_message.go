package keeper

import (
	"encoding/binary"
	"math"

	"stepseam.example/stepseam/internal/outlier"
)

const (
	// maxInstance bounds the name of a replica in a datagram.
	maxInstance = 255
	// shareUnit is the share 1 in a datagram.
	shareUnit = math.MaxUint16

	ejectedBytes = 4 + 1
)

// soundness tells which of the replicas of the question of the same number are ejected.
type soundness struct {
	number  uint32
	ejected []ejected
}

// ejected is one ejected replica and the right to probe it.
type ejected struct {
	key   Key
	probe outlier.Probe
}

// encodeOutcome returns the datagram of an outcome.
func encodeOutcome(told outcome) []byte {
	name := told.instance[:min(len(told.instance), maxInstance)]
	encoded := appendHead(kindOutcome)
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(told.key))
	encoded = append(encoded, byte(told.became))
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(min(max(told.usual, 0), 1)*shareUnit))
	encoded = append(encoded, byte(len(name)))
	return append(encoded, name...)
}

// encodeSoundness returns the datagram that goes before an answer.
func encodeSoundness(told soundness) []byte {
	listed := told.ejected[:min(len(told.ejected), maxAsked)]
	encoded := appendHead(kindSoundness)
	encoded = binary.BigEndian.AppendUint32(encoded, told.number)
	encoded = append(encoded, byte(len(listed)))
	for _, one := range listed {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(one.key))
		encoded = append(encoded, byte(one.probe))
	}
	return encoded
}

func (r *reader) outcome() outcome {
	told := outcome{key: Key(r.uint32()), became: outlier.Outcome(r.byte())}
	told.usual = float64(binary.BigEndian.Uint16(r.take(2))) / shareUnit
	told.instance = string(r.take(r.byte()))
	return told
}

func (r *reader) soundness() soundness {
	told := soundness{number: r.uint32()}
	count := r.byte()
	if count > maxAsked || len(r.rest) != count*ejectedBytes {
		r.short = true
		return soundness{}
	}
	for range count {
		told.ejected = append(told.ejected, ejected{key: Key(r.uint32()), probe: outlier.Probe(r.byte())})
	}
	return told
}
