package aggregator

import (
	"encoding/binary"
	"errors"
	"fmt"

	"stepseam.example/stepseam/internal/loads"
)

// form tells datagrams of this version from others.
const form uint16 = 0x6b01

// kind tells what a datagram holds.
type kind uint8

// The kinds of datagrams.
const (
	kindReport kind = 1 + iota
	kindQuestion
	kindAnswer
	kindOutcome
	// kindJudged is an answer that tells of ejected replicas too.
	kindJudged
)

const (
	// maxParts is how many parts of a prompt are told; the first ones count, since a
	// part is of use only with all before it.
	maxParts = 32
	// maxAsked is how many replicas one question names.
	maxAsked = 16
	// datagramBytes is more than any datagram of this package has.
	datagramBytes = 2048

	headBytes     = 2 + 1
	partBytes     = 4 + 4
	stateBytes    = 4 + loads.EncodedSize + 4 + 1
	settledFlag   = 1
	maxWireTokens = 1<<32 - 1
)

// errForm tells that a datagram is not of this package.
var errForm = errors.New("keeper: unreadable datagram")

// question asks for the states of replicas, for a request with the given prompt.
type question struct {
	number uint32
	keys   []ReplicaKey
	parts  []Segment
}

// answer answers the question of the same number.
type answer struct {
	number uint32
	states []State
	// judged tells that it says which replicas are ejected.
	judged bool
}

// datagram is one decoded message; the field of its kind is set.
type datagram struct {
	kind     kind
	report   Report
	question question
	answer   answer
	outcome  outcome
}

func appendHead(of kind) []byte {
	return append(binary.BigEndian.AppendUint16(make([]byte, 0, 64), form), byte(of))
}

func appendTokens(encoded []byte, tokens int) []byte {
	return binary.BigEndian.AppendUint32(encoded, uint32(min(max(tokens, 0), maxWireTokens)))
}

func appendParts(encoded []byte, parts []Segment) []byte {
	parts = parts[:min(len(parts), maxParts)]
	encoded = append(encoded, byte(len(parts)))
	for _, part := range parts {
		encoded = binary.BigEndian.AppendUint32(encoded, part.ID)
		encoded = appendTokens(encoded, part.Tokens)
	}
	return encoded
}

// encodeReport returns the datagram of a report.
func encodeReport(report Report) []byte {
	encoded := appendHead(kindReport)
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(report.Key))
	encoded = binary.BigEndian.AppendUint64(encoded, report.Sequence)
	encoded = report.Load.Append(encoded)
	encoded = appendTokens(encoded, report.CapacityTokens)
	return appendParts(encoded, report.Segments)
}

// encodeQuestion returns the datagram of a question.
func encodeQuestion(asked question) []byte {
	keys := asked.keys[:min(len(asked.keys), maxAsked)]
	encoded := appendHead(kindQuestion)
	encoded = binary.BigEndian.AppendUint32(encoded, asked.number)
	encoded = append(encoded, byte(len(keys)))
	for _, key := range keys {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(key))
	}
	return appendParts(encoded, asked.parts)
}

// encodeAnswer returns the datagram of an answer.
func encodeAnswer(told answer) []byte {
	states := told.states[:min(len(told.states), maxAsked)]
	form := kindAnswer
	if told.judged {
		form = kindJudged
	}
	encoded := appendHead(form)
	encoded = binary.BigEndian.AppendUint32(encoded, told.number)
	encoded = append(encoded, byte(len(states)))
	for _, state := range states {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(state.Key))
		encoded = state.Load.Append(encoded)
		encoded = appendTokens(encoded, state.CachedTokens)
		flags := byte(0)
		if state.Complete {
			flags = settledFlag
		}
		if told.judged {
			flags |= judgedFlags(state)
		}
		encoded = append(encoded, flags)
	}
	return encoded
}

// reader takes fields from the front of a datagram; a datagram that ends early makes
// every further field zero and short true.
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

func (r *reader) parts() []Segment {
	count := r.byte()
	if count > maxParts || len(r.rest) != count*partBytes {
		r.short = true
		return nil
	}
	parts := make([]Segment, 0, count)
	for range count {
		parts = append(parts, Segment{ID: r.uint32(), Tokens: r.tokens()})
	}
	return parts
}

func (r *reader) report() Report {
	return Report{
		Key: ReplicaKey(r.uint32()), Sequence: r.uint64(), Load: r.load(),
		CapacityTokens: r.tokens(), Segments: r.parts(),
	}
}

func (r *reader) question() question {
	asked := question{number: r.uint32()}
	count := r.byte()
	if count > maxAsked {
		r.short = true
		return question{}
	}
	for range count {
		asked.keys = append(asked.keys, ReplicaKey(r.uint32()))
	}
	asked.parts = r.parts()
	return asked
}

func (r *reader) answer() answer {
	return r.answerOf(func(state *State, flags int) { state.Complete = flags&settledFlag != 0 })
}

func (r *reader) answerOf(read func(state *State, flags int)) answer {
	told := answer{number: r.uint32()}
	count := r.byte()
	if count > maxAsked || len(r.rest) != count*stateBytes {
		r.short = true
		return answer{}
	}
	for range count {
		state := State{Key: ReplicaKey(r.uint32()), Load: r.load(), CachedTokens: r.tokens()}
		read(&state, r.byte())
		told.states = append(told.states, state)
	}
	return told
}

// decode reads a datagram.
func decode(encoded []byte) (datagram, error) {
	if len(encoded) < headBytes || binary.BigEndian.Uint16(encoded) != form {
		return datagram{}, errForm
	}
	read := datagram{kind: kind(encoded[2])}
	fields := &reader{rest: encoded[headBytes:]}
	switch read.kind {
	case kindReport:
		read.report = fields.report()
	case kindQuestion:
		read.question = fields.question()
	case kindAnswer:
		read.answer = fields.answer()
	case kindOutcome:
		read.outcome = fields.outcome()
	case kindJudged:
		read.answer = fields.judgedAnswer()
	default:
		return datagram{}, fmt.Errorf("%w: kind %d", errForm, read.kind)
	}
	if fields.short || len(fields.rest) > 0 {
		return datagram{}, fmt.Errorf("%w: %d bytes of kind %d", errForm, len(encoded), read.kind)
	}
	return read, nil
}
