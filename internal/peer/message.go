// Package peer implements the protocol between nodes: typed messages in binary encoding,
// framed over TCP. Every request has a kind. Its response is any number of parts followed
// by one final message or error.
//
// The package defines no message types. Each subsystem registers its own messages in the
// node's Registry.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"stepseam.example/stepseam/internal/wire"
)

// Kind identifies a message type on the wire. Kinds are never reused.
type Kind uint16

// The ranges of kinds, one per subsystem. A subsystem's kinds are the start of its range
// plus a small constant.
const (
	KindRangeJournal      Kind = 100
	KindRangePrograms     Kind = 200
	KindRangeTable        Kind = 300
	KindRangeBackends     Kind = 400
	KindRangeOperator     Kind = 500
	KindRangeLedger       Kind = 600
	KindRangeRelay        Kind = 700
	KindRangeLimits       Kind = 800
	KindRangeDistribution Kind = 900
	KindRangeShares       Kind = 1000
	KindRangeOrigins      Kind = 1100
	KindRangeQuarantine   Kind = 1200
	KindRangeTranscripts  Kind = 1300

	kindRangeSize = 100
)

// Message is a typed message of the protocol.
type Message interface {
	Kind() Kind
	// Encode appends the message's fields.
	Encode(e *wire.Encoder)
	// Decode reads the fields in the same order.
	Decode(d *wire.Decoder)
}

// ErrUnreachable means that there is no response from the other node: the request may or
// may not have been handled.
var ErrUnreachable = errors.New("peer: unreachable")

// ErrNotSent is an ErrUnreachable whose request was certainly not handled.
var ErrNotSent = fmt.Errorf("%w: not sent", ErrUnreachable)

// ErrUnknownKind means that the other node does not know the kind of a message.
var ErrUnknownKind = errors.New("peer: unknown message kind")

// RemoteError is an error returned by the other node's handler, as text. Handlers with
// typed errors return them in a message instead.
type RemoteError struct{ Text string }

// Error returns the other node's text.
func (e *RemoteError) Error() string { return "peer: remote: " + e.Text }

// Client sends requests to other nodes. It is safe for concurrent use.
type Client interface {
	// Call sends request to the node at address and returns the final message. Preceding
	// parts are passed to onPart in order, or dropped if it is nil. An error from onPart
	// ends the call with that error. When ctx ends, the context of the handler on the other
	// node is cancelled.
	Call(ctx context.Context, address netip.AddrPort, request Message, onPart func(Message) error) (Message, error)
}

// Handler handles the requests of the kinds that it is registered for.
type Handler interface {
	// Handle handles request and returns the final message. It may send parts before.
	// sendPart returns an error if the caller no longer waits for the response.
	Handle(ctx context.Context, request Message, sendPart func(Message) error) (Message, error)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, request Message, sendPart func(Message) error) (Message, error)

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, request Message, sendPart func(Message) error) (Message, error) {
	return f(ctx, request, sendPart)
}

// Registry maps kinds to constructors of messages and to handlers. It must not be modified
// once the transport is in use.
type Registry struct {
	makers   map[Kind]func() Message
	handlers map[Kind]Handler
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{makers: map[Kind]func() Message{}, handlers: map[Kind]Handler{}}
}

// Add registers message types by functions that return an empty message.
func (r *Registry) Add(makers ...func() Message) {
	for _, maker := range makers {
		r.makers[maker().Kind()] = maker
	}
}

// Handle registers the handler for a kind of request.
func (r *Registry) Handle(kind Kind, handler Handler) { r.handlers[kind] = handler }

// Handler returns the handler for kind, or nil.
func (r *Registry) Handler(kind Kind) Handler { return r.handlers[kind] }

// Decode decodes a message of the given kind.
func (r *Registry) Decode(kind Kind, fields []byte) (Message, error) {
	maker, found := r.makers[kind]
	if !found {
		return nil, fmt.Errorf("%w: %d", ErrUnknownKind, kind)
	}
	message := maker()
	decoder := wire.NewDecoder(fields)
	message.Decode(decoder)
	if err := decoder.Finish(); err != nil {
		return nil, fmt.Errorf("peer: message kind %d: %w", kind, err)
	}
	return message, nil
}
