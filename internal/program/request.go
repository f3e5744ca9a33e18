package program

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/wire"
)

// Digest is a hash of the body of a call. It excludes the position (branch,
// sequence) and the delivery options (stream, deadline), which may differ in a
// duplicate.
type Digest [sha256.Size]byte

// Request is one call in the form of the state machine.
type Request struct {
	ID     identity.CallID
	Digest Digest
	Kind   api.CallKind
	// Model, Adapter and MaxTokens are completed by Normalize.
	Model     string
	Adapter   string
	MaxTokens int
	// Messages are the messages as sent; after Normalize only the new ones.
	Messages       []api.Message
	WholeHistory   bool
	Application    string
	Operation      string
	Input          []byte
	IdempotencyKey string
	Unrepeatable   bool
}

// NewRequest converts call to a Request of program.
func NewRequest(program identity.ProgramID, call api.CallRequest) Request {
	branch := identity.BranchID(call.Branch)
	if branch == "" {
		branch = identity.MainBranch
	}
	request := Request{
		ID:             identity.CallID{Program: program, Branch: branch, Sequence: identity.Sequence(call.Sequence)},
		Kind:           call.Kind,
		Model:          call.Model,
		MaxTokens:      call.MaxTokens,
		Messages:       call.Messages,
		WholeHistory:   call.WholeHistory,
		Application:    call.Application,
		Operation:      call.Operation,
		Input:          compact(call.Input),
		IdempotencyKey: call.IdempotencyKey,
		Unrepeatable:   call.Unrepeatable,
	}
	request.Digest = request.digest()
	return request
}

// compact removes insignificant white space, so that duplicates encoded by different
// libraries have the same digest.
func compact(input []byte) []byte {
	if len(input) == 0 {
		return nil
	}
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, input); err != nil {
		return input
	}
	return buffer.Bytes()
}

func (r *Request) digest() Digest {
	var e wire.Encoder
	r.encodeBody(&e)
	return sha256.Sum256(e.Bytes())
}

func (r *Request) encodeBody(e *wire.Encoder) {
	e.String(string(r.Kind))
	e.String(r.Model)
	e.String(r.Adapter)
	e.Int64(int64(r.MaxTokens))
	encodeMessages(e, r.Messages)
	e.Bool(r.WholeHistory)
	e.String(r.Application)
	e.String(r.Operation)
	e.Blob(r.Input)
	e.String(r.IdempotencyKey)
	e.Bool(r.Unrepeatable)
}

func (r *Request) encode(e *wire.Encoder) {
	encodeCallID(e, r.ID)
	e.Blob(r.Digest[:])
	r.encodeBody(e)
}

func decodeRequest(d *wire.Decoder) Request {
	r := Request{ID: decodeCallID(d)}
	copy(r.Digest[:], d.Blob())
	r.Kind = api.CallKind(d.String())
	r.Model = d.String()
	r.Adapter = d.String()
	r.MaxTokens = int(d.Int64())
	r.Messages = decodeMessages(d)
	r.WholeHistory = d.Bool()
	r.Application = d.String()
	r.Operation = d.String()
	r.Input = d.Blob()
	r.IdempotencyKey = d.String()
	r.Unrepeatable = d.Bool()
	return r
}

// minMessageSize is the minimum size of an encoded message: two lengths.
const minMessageSize = 8

func encodeMessages(e *wire.Encoder, messages []api.Message) {
	e.Uint32(uint32(len(messages)))
	for _, message := range messages {
		e.String(message.Role)
		e.String(message.Content)
	}
}

func decodeMessages(d *wire.Decoder) []api.Message {
	count := d.Count(minMessageSize)
	if count == 0 {
		return nil
	}
	messages := make([]api.Message, count)
	for i := range messages {
		messages[i] = api.Message{Role: d.String(), Content: d.String()}
	}
	return messages
}

func encodeCallID(e *wire.Encoder, id identity.CallID) {
	e.String(string(id.Program))
	e.String(string(id.Branch))
	e.Uint64(uint64(id.Sequence))
}

func decodeCallID(d *wire.Decoder) identity.CallID {
	return identity.CallID{
		Program:  identity.ProgramID(d.String()),
		Branch:   identity.BranchID(d.String()),
		Sequence: identity.Sequence(d.Uint64()),
	}
}

func encodeStreamID(e *wire.Encoder, id identity.StreamID) {
	encodeCallID(e, id.Call)
	e.Uint64(uint64(id.Epoch))
	e.Uint32(id.Attempt)
}

func decodeStreamID(d *wire.Decoder) identity.StreamID {
	return identity.StreamID{Call: decodeCallID(d), Epoch: identity.Epoch(d.Uint64()), Attempt: d.Uint32()}
}
