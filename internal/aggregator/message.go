package aggregator

import (
	"encoding/binary"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/loads"
)

// magic identifies the protocol and its version.
const magic uint16 = 0x6b01

// kind is the type of a datagram.
type kind uint8

// The kinds of datagrams.
const (
	kindReport kind = 1 + iota
	kindQuery
	kindResponse
	kindOutcome
	// kindEjectionResponse is a response that includes the ejection state.
	kindEjectionResponse
)

const (
	// maxSegments bounds the segments in a datagram. The first ones are sent, since a
	// segment is useful only together with the preceding ones.
	maxSegments = 32
	// maxQueriedReplicas bounds the replicas in one query.
	maxQueriedReplicas = 16
	// maxDatagramBytes is an upper bound on the size of a datagram.
	maxDatagramBytes = 2048

	headerBytes   = 2 + 1
	segmentBytes  = 4 + 4
	stateBytes    = 4 + loads.EncodedSize + 4 + 1
	completeFlag  = 1
	maxWireTokens = 1<<32 - 1
)

// errInvalidDatagram is returned for a datagram that cannot be decoded.
var errInvalidDatagram = errors.New("aggregator: invalid datagram")

// query requests the states of replicas for a prompt.
type query struct {
	number   uint32
	keys     []ReplicaKey
	segments []Segment
}

// response is the reply to the query with the same number.
type response struct {
	number uint32
	states []State
	// withEjections reports whether the states include the ejection state.
	withEjections bool
}

// datagram is a decoded message; only the field of its kind is set.
type datagram struct {
	kind          kind
	report        Report
	query         query
	response      response
	outcomeReport outcomeReport
}

func appendHeader(of kind) []byte {
	return append(binary.BigEndian.AppendUint16(make([]byte, 0, 64), magic), byte(of))
}

func appendTokens(encoded []byte, tokens int) []byte {
	return binary.BigEndian.AppendUint32(encoded, uint32(min(max(tokens, 0), maxWireTokens)))
}

func appendSegments(encoded []byte, segments []Segment) []byte {
	segments = segments[:min(len(segments), maxSegments)]
	encoded = append(encoded, byte(len(segments)))
	for _, segment := range segments {
		encoded = binary.BigEndian.AppendUint32(encoded, segment.ID)
		encoded = appendTokens(encoded, segment.Tokens)
	}
	return encoded
}

// encodeReport returns the datagram of a report.
func encodeReport(report Report) []byte {
	encoded := appendHeader(kindReport)
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(report.Key))
	encoded = binary.BigEndian.AppendUint64(encoded, report.Sequence)
	encoded = report.Load.Append(encoded)
	encoded = appendTokens(encoded, report.CapacityTokens)
	return appendSegments(encoded, report.Segments)
}

// encodeQuery returns the datagram of a query.
func encodeQuery(q query) []byte {
	keys := q.keys[:min(len(q.keys), maxQueriedReplicas)]
	encoded := appendHeader(kindQuery)
	encoded = binary.BigEndian.AppendUint32(encoded, q.number)
	encoded = append(encoded, byte(len(keys)))
	for _, key := range keys {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(key))
	}
	return appendSegments(encoded, q.segments)
}

// encodeResponse returns the datagram of a response.
func encodeResponse(resp response) []byte {
	states := resp.states[:min(len(resp.states), maxQueriedReplicas)]
	messageKind := kindResponse
	if resp.withEjections {
		messageKind = kindEjectionResponse
	}
	encoded := appendHeader(messageKind)
	encoded = binary.BigEndian.AppendUint32(encoded, resp.number)
	encoded = append(encoded, byte(len(states)))
	for _, state := range states {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(state.Key))
		encoded = state.Load.Append(encoded)
		encoded = appendTokens(encoded, state.CachedTokens)
		flags := byte(0)
		if state.Complete {
			flags = completeFlag
		}
		if resp.withEjections {
			flags |= ejectionFlags(state)
		}
		encoded = append(encoded, flags)
	}
	return encoded
}

// reader decodes fields from the front of a datagram. After the end of the datagram all
// further fields are zero and short is true.
type reader struct {
	rest  []byte
	short bool
}

func (r *reader) take(count int) []byte {
	if len(r.rest) < count {
		r.short, r.rest = true, nil
		return make([]byte, count)
	}
	taken := r.rest[:count]
	r.rest = r.rest[count:]
	return taken
}

func (r *reader) byte() int        { return int(r.take(1)[0]) }
func (r *reader) uint32() uint32   { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) uint64() uint64   { return binary.BigEndian.Uint64(r.take(8)) }
func (r *reader) tokens() int      { return int(r.uint32()) }
func (r *reader) load() loads.Load { return loads.DecodeLoad(r.take(loads.EncodedSize)) }

func (r *reader) segments() []Segment {
	count := r.byte()
	if count > maxSegments || len(r.rest) != count*segmentBytes {
		r.short = true
		return nil
	}
	segments := make([]Segment, 0, count)
	for range count {
		segments = append(segments, Segment{ID: r.uint32(), Tokens: r.tokens()})
	}
	return segments
}

func (r *reader) report() Report {
	return Report{
		Key: ReplicaKey(r.uint32()), Sequence: r.uint64(), Load: r.load(),
		CapacityTokens: r.tokens(), Segments: r.segments(),
	}
}

func (r *reader) query() query {
	q := query{number: r.uint32()}
	count := r.byte()
	if count > maxQueriedReplicas {
		r.short = true
		return query{}
	}
	for range count {
		q.keys = append(q.keys, ReplicaKey(r.uint32()))
	}
	q.segments = r.segments()
	return q
}

func (r *reader) response() response {
	return r.responseWith(func(state *State, flags int) { state.Complete = flags&completeFlag != 0 })
}

func (r *reader) responseWith(readFlags func(state *State, flags int)) response {
	resp := response{number: r.uint32()}
	count := r.byte()
	if count > maxQueriedReplicas || len(r.rest) != count*stateBytes {
		r.short = true
		return response{}
	}
	for range count {
		state := State{Key: ReplicaKey(r.uint32()), Load: r.load(), CachedTokens: r.tokens()}
		readFlags(&state, r.byte())
		resp.states = append(resp.states, state)
	}
	return resp
}

// decode decodes a datagram.
func decode(encoded []byte) (datagram, error) {
	if len(encoded) < headerBytes || binary.BigEndian.Uint16(encoded) != magic {
		return datagram{}, errInvalidDatagram
	}
	read := datagram{kind: kind(encoded[2])}
	fields := &reader{rest: encoded[headerBytes:]}
	switch read.kind {
	case kindReport:
		read.report = fields.report()
	case kindQuery:
		read.query = fields.query()
	case kindResponse:
		read.response = fields.response()
	case kindOutcome:
		read.outcomeReport = fields.outcomeReport()
	case kindEjectionResponse:
		read.response = fields.ejectionResponse()
	default:
		return datagram{}, fmt.Errorf("%w: kind %d", errInvalidDatagram, read.kind)
	}
	if fields.short || len(fields.rest) > 0 {
		return datagram{}, fmt.Errorf("%w: %d bytes of kind %d", errInvalidDatagram, len(encoded), read.kind)
	}
	return read, nil
}
