package forwarding

import (
	"fmt"
	"net/netip"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
	"stepseam.example/stepseam/internal/wire/apiwire"
)

// The kinds of messages about programs.
const (
	KindCall    = peer.KindRangePrograms + iota // a callMessage
	KindFetch                                   // a fetchMessage
	KindCreate                                  // a createMessage
	KindProgram                                 // a programMessage
	KindToken                                   // a tokenMessage, as a part
	KindOutcome                                 // an outcomeMessage, the response to all requests
)

// attemptHeader numbers one attempt of a request that modifies state, so that a node
// handles it once even if it is delivered several times.
type attemptHeader struct{ attempt uint64 }

func (t *attemptHeader) setAttempt(attempt uint64) { t.attempt = attempt }

func (t *attemptHeader) attemptNumber() uint64 { return t.attempt }

// numberedMessage is a message with an attemptHeader.
type numberedMessage interface {
	setAttempt(attempt uint64)
	attemptNumber() uint64
}

// callMessage requests that the owner runs, joins or replays a call.
type callMessage struct {
	attemptHeader
	program identity.ProgramID
	call    api.CallRequest
	from    int
	// tokens requests that the tokens are streamed.
	tokens bool
}

func (*callMessage) Kind() peer.Kind { return KindCall }

func (m *callMessage) Encode(e *wire.Encoder) {
	e.Uint64(m.attempt)
	e.String(string(m.program))
	encodeCall(e, &m.call)
	e.Int64(int64(m.from))
	e.Bool(m.tokens)
}

func (m *callMessage) Decode(d *wire.Decoder) {
	m.attempt = d.Uint64()
	m.program = identity.ProgramID(d.String())
	m.call = decodeCall(d)
	m.from = int(d.Int64())
	m.tokens = d.Bool()
}

// fetchMessage requests the answer of a call.
type fetchMessage struct {
	call   identity.CallID
	from   int
	tokens bool
}

func (*fetchMessage) Kind() peer.Kind { return KindFetch }

func (m *fetchMessage) Encode(e *wire.Encoder) {
	e.String(string(m.call.Program))
	e.String(string(m.call.Branch))
	e.Uint64(uint64(m.call.Sequence))
	e.Int64(int64(m.from))
	e.Bool(m.tokens)
}

func (m *fetchMessage) Decode(d *wire.Decoder) {
	m.call.Program = identity.ProgramID(d.String())
	m.call.Branch = identity.BranchID(d.String())
	m.call.Sequence = identity.Sequence(d.Uint64())
	m.from = int(d.Int64())
	m.tokens = d.Bool()
}

// createMessage requests that the owner creates a program.
type createMessage struct {
	attemptHeader
	program       identity.ProgramID
	tenant, class string
}

func (*createMessage) Kind() peer.Kind { return KindCreate }

func (m *createMessage) Encode(e *wire.Encoder) {
	e.Uint64(m.attempt)
	e.String(string(m.program))
	e.String(m.tenant)
	e.String(m.class)
}

func (m *createMessage) Decode(d *wire.Decoder) {
	m.attempt = d.Uint64()
	m.program = identity.ProgramID(d.String())
	m.tenant = d.String()
	m.class = d.String()
}

// action is the operation of a programMessage.
type action uint8

const (
	actionGet action = iota + 1
	actionEnd
	actionCancel
)

// programMessage requests an operation on a whole program.
type programMessage struct {
	attemptHeader
	program identity.ProgramID
	action  action
}

func (*programMessage) Kind() peer.Kind { return KindProgram }

func (m *programMessage) Encode(e *wire.Encoder) {
	e.Uint64(m.attempt)
	e.String(string(m.program))
	e.Uint8(uint8(m.action))
}

func (m *programMessage) Decode(d *wire.Decoder) {
	m.attempt = d.Uint64()
	m.program = identity.ProgramID(d.String())
	m.action = action(d.Uint8())
	if m.action < actionGet || m.action > actionCancel {
		d.Fail(fmt.Errorf("forwarding: unknown action %d", m.action))
	}
}

// tokenMessage is one token of a streamed answer.
type tokenMessage struct {
	index int
	text  string
}

func (*tokenMessage) Kind() peer.Kind { return KindToken }

func (m *tokenMessage) Encode(e *wire.Encoder) {
	e.Int64(int64(m.index))
	e.String(m.text)
}

func (m *tokenMessage) Decode(d *wire.Decoder) {
	m.index = int(d.Int64())
	m.text = d.String()
}

// outcomeForm selects the field of an outcomeMessage that is set.
type outcomeForm uint8

const (
	outcomeAnswer outcomeForm = iota + 1
	outcomeProgram
	outcomeProblem
	outcomeNotOwner
)

// outcomeMessage is the response to a request: its result, a problem for the caller, or a
// hint at the owner.
type outcomeMessage struct {
	form     outcomeForm
	answer   api.Answer
	program  api.Program
	problem  *api.Problem
	notOwner notOwner
}

func (*outcomeMessage) Kind() peer.Kind { return KindOutcome }

func (m *outcomeMessage) Encode(e *wire.Encoder) {
	e.Uint8(uint8(m.form))
	switch m.form {
	case outcomeAnswer:
		encodeAnswer(e, &m.answer)
	case outcomeProgram:
		apiwire.EncodeProgram(e, &m.program)
	case outcomeProblem:
		encodeProblem(e, m.problem)
	case outcomeNotOwner:
		m.notOwner.encode(e)
	}
}

func (m *outcomeMessage) Decode(d *wire.Decoder) {
	m.form = outcomeForm(d.Uint8())
	switch m.form {
	case outcomeAnswer:
		m.answer = decodeAnswer(d)
	case outcomeProgram:
		m.program = apiwire.DecodeProgram(d)
	case outcomeProblem:
		m.problem = decodeProblem(d)
	case outcomeNotOwner:
		m.notOwner.decode(d)
	default:
		d.Fail(fmt.Errorf("forwarding: unknown outcome %d", m.form))
	}
}

// notOwner is the response of a node that does not own the shard.
type notOwner struct {
	// accepted reports whether the node may have accepted the request before it lost the
	// shard.
	accepted bool
	// hint is the owner that the node knows; its name is empty if unknown.
	hint hint
}

// hint identifies a node that may own a shard.
type hint struct {
	node  identity.Reference
	peer  netip.AddrPort
	epoch identity.Epoch
}

func (n *notOwner) encode(e *wire.Encoder) {
	e.Bool(n.accepted)
	e.String(string(n.hint.node.Name))
	e.Uint64(uint64(n.hint.node.Incarnation))
	e.AddrPort(n.hint.peer)
	e.Uint64(uint64(n.hint.epoch))
}

func (n *notOwner) decode(d *wire.Decoder) {
	n.accepted = d.Bool()
	n.hint.node.Name = identity.NodeName(d.String())
	n.hint.node.Incarnation = identity.Incarnation(d.Uint64())
	n.hint.peer = d.AddrPort()
	n.hint.epoch = identity.Epoch(d.Uint64())
}

// Error implements error.
func (n *notOwner) Error() string {
	return fmt.Sprintf("forwarding: not the owner; the owner may be %s", n.hint.node.Name)
}

// addMessages registers the message types of this package.
func addMessages(registry *peer.Registry) {
	registry.Add(
		func() peer.Message { return &callMessage{} },
		func() peer.Message { return &fetchMessage{} },
		func() peer.Message { return &createMessage{} },
		func() peer.Message { return &programMessage{} },
		func() peer.Message { return &tokenMessage{} },
		func() peer.Message { return &outcomeMessage{} },
	)
}
