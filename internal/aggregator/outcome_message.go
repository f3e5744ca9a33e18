package aggregator

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

	// readsJudged is set in the numbers of questions of nodes that read answers of
	// kindJudged. Keepers that don't know these give the number back as it is.
	readsJudged uint32 = 1 << 31

	// Flags of a state in an answer of kindJudged, beside settledFlag.
	ejectedFlag   = 2
	safeProbeFlag = 4
	anyProbeFlag  = 8
)

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

func (r *reader) outcome() outcome {
	told := outcome{key: ReplicaKey(r.uint32()), became: outlier.Outcome(r.byte())}
	told.usual = float64(binary.BigEndian.Uint16(r.take(2))) / shareUnit
	told.instance = string(r.take(r.byte()))
	return told
}

// judgedFlags returns what an answer of kindJudged tells of a replica beside the others.
func judgedFlags(state State) byte {
	flags := byte(0)
	if state.Ejected {
		flags = ejectedFlag
	}
	switch state.Probe {
	case outlier.SafeProbe:
		flags |= safeProbeFlag
	case outlier.AnyProbe:
		flags |= anyProbeFlag
	case outlier.NoProbe:
	}
	return flags
}

func (r *reader) judgedAnswer() answer {
	told := r.answerOf(func(state *State, flags int) {
		state.Complete, state.Ejected = flags&settledFlag != 0, flags&ejectedFlag != 0
		switch {
		case flags&anyProbeFlag != 0:
			state.Probe = outlier.AnyProbe
		case flags&safeProbeFlag != 0:
			state.Probe = outlier.SafeProbe
		}
	})
	told.judged = true
	return told
}
