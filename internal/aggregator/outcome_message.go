package aggregator

import (
	"encoding/binary"
	"math"

	"stepseam.example/stepseam/internal/outlier"
)

const (
	// maxInstanceBytes bounds the name of a replica in a datagram.
	maxInstanceBytes = 255
	// rateUnit encodes a rate of 1 in a datagram.
	rateUnit = math.MaxUint16

	// acceptsEjections is set in the query numbers of nodes that can decode
	// kindEjectionResponse. Aggregators that don't know the flag return the number
	// unchanged.
	acceptsEjections uint32 = 1 << 31

	// Flags of a state in a kindEjectionResponse, in addition to completeFlag.
	ejectedFlag   = 2
	safeProbeFlag = 4
	anyProbeFlag  = 8
)

// encodeOutcome returns the datagram of an outcome.
func encodeOutcome(report outcomeReport) []byte {
	name := report.instance[:min(len(report.instance), maxInstanceBytes)]
	encoded := appendHeader(kindOutcome)
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(report.key))
	encoded = append(encoded, byte(report.result))
	encoded = binary.BigEndian.AppendUint16(encoded, uint16(min(max(report.baseline, 0), 1)*rateUnit))
	encoded = append(encoded, byte(len(name)))
	return append(encoded, name...)
}

func (r *reader) outcomeReport() outcomeReport {
	report := outcomeReport{key: ReplicaKey(r.uint32()), result: outlier.Outcome(r.byte())}
	report.baseline = float64(binary.BigEndian.Uint16(r.take(2))) / rateUnit
	report.instance = string(r.take(r.byte()))
	return report
}

// ejectionFlags returns the flags that only a kindEjectionResponse carries.
func ejectionFlags(state State) byte {
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

func (r *reader) ejectionResponse() response {
	resp := r.responseWith(func(state *State, flags int) {
		state.Complete, state.Ejected = flags&completeFlag != 0, flags&ejectedFlag != 0
		switch {
		case flags&anyProbeFlag != 0:
			state.Probe = outlier.AnyProbe
		case flags&safeProbeFlag != 0:
			state.Probe = outlier.SafeProbe
		}
	})
	resp.withEjections = true
	return resp
}
