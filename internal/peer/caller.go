package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
)

// partCost is what a part counts against the window besides its bytes, so that
// many empty parts are bounded too.
const partCost = 64

// clientConnection is the dialling side of a connection.
type clientConnection struct {
	*connection
	registry *Registry

	// callsMutex guards calls and nextRequest.
	callsMutex  sync.Mutex
	calls       map[uint64]*outgoingCall
	nextRequest uint64
}

// incoming is one whole message or failure of an answer.
type incoming struct {
	form    frameType
	kind    Kind
	payload []byte
}

// outgoingCall is one request that waits for its answer.
type outgoingCall struct {
	request  uint64
	assembly assembler
	// ready has room for one signal that queue has grown.
	ready chan struct{}

	// mutex guards queue, whose size the part window bounds.
	mutex sync.Mutex
	queue []incoming
	// queued is the cost of what stands in queue.
	queued int
}

func newClientConnection(socket net.Conn, t *Transport) *clientConnection {
	c := &clientConnection{
		connection: newConnection(socket, &t.options, &t.stats, true),
		registry:   t.registry,
		calls:      map[uint64]*outgoingCall{},
	}
	go c.writeLoop()
	go c.readLoop(c.receive)
	return c
}

func (c *clientConnection) alive() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

func (c *clientConnection) open() *outgoingCall {
	c.begin()
	c.callsMutex.Lock()
	defer c.callsMutex.Unlock()
	c.nextRequest++
	call := &outgoingCall{
		request:  c.nextRequest,
		assembly: assembler{limit: c.options.MaxMessageBytes},
		ready:    make(chan struct{}, 1),
	}
	c.calls[call.request] = call
	return call
}

// release forgets a call; an answer that comes later is dropped.
func (c *clientConnection) release(call *outgoingCall) {
	c.callsMutex.Lock()
	delete(c.calls, call.request)
	c.callsMutex.Unlock()
	c.end()
}

// call sends a request and hands its parts on until the final message.
func (c *clientConnection) call(ctx context.Context, kind Kind, fields []byte, onPart func(Message) error) (Message, error) {
	call := c.open()
	defer c.release(call)
	position, err := c.sendMessage(ctx, header{form: frameRequest, kind: kind, request: call.request}, fields)
	if err != nil {
		c.cancel(call)
		return nil, c.unreachable(err, position)
	}
	consumed := 0
	for {
		received, err := c.next(ctx, call)
		if err != nil {
			c.cancel(call)
			return nil, c.unreachable(err, position)
		}
		if received.form != framePart {
			return c.finish(received)
		}
		if err := c.handOn(received, onPart); err != nil {
			c.cancel(call)
			return nil, err
		}
		consumed += len(received.payload) + partCost
		if consumed >= c.options.PartWindowBytes/2 {
			c.grant(call, consumed)
			consumed = 0
		}
	}
}

func (c *clientConnection) handOn(part incoming, onPart func(Message) error) error {
	if onPart == nil {
		return nil
	}
	message, err := c.registry.Decode(part.kind, part.payload)
	if err != nil {
		return err
	}
	return onPart(message)
}

func (c *clientConnection) finish(received incoming) (Message, error) {
	switch received.form {
	case frameFinal:
		return c.registry.Decode(received.kind, received.payload)
	case frameUnknownKind:
		return nil, fmt.Errorf("%w: %d at the other node", ErrUnknownKind, received.kind)
	case frameRefused:
		return nil, fmt.Errorf("%w: refused: %s", ErrNotSent, received.payload)
	default:
		return nil, &RemoteError{Text: string(received.payload)}
	}
}

// unreachable wraps why a call has no answer, with what is certain about it.
func (c *clientConnection) unreachable(cause error, position uint64) error {
	neverLeft, failure := c.failure(position)
	if failure != nil && neverLeft {
		return fmt.Errorf("%w: %w: %w", ErrNotSent, errConnectionEnded, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, cause)
}

func (c *clientConnection) cancel(call *outgoingCall) {
	c.sendControl(header{form: frameCancel, request: call.request}, nil)
}

func (c *clientConnection) grant(call *outgoingCall, bytes int) {
	var payload [4]byte
	binary.BigEndian.PutUint32(payload[:], uint32(bytes))
	c.sendControl(header{form: frameWindow, request: call.request}, payload[:])
}

// next waits for the next message of a call's answer. What arrived before the
// connection ended is still handed out.
func (c *clientConnection) next(ctx context.Context, call *outgoingCall) (incoming, error) {
	for {
		if received, found := call.take(); found {
			return received, nil
		}
		select {
		case <-call.ready:
		case <-ctx.Done():
			return incoming{}, ctx.Err()
		case <-c.closed:
			if received, found := call.take(); found {
				return received, nil
			}
			_, failure := c.failure(0)
			return incoming{}, failure
		}
	}
}

func (o *outgoingCall) take() (incoming, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.queue) == 0 {
		return incoming{}, false
	}
	received := o.queue[0]
	o.queue[0] = incoming{}
	o.queue = o.queue[1:]
	o.queued -= len(received.payload) + partCost
	return received, true
}

func (o *outgoingCall) put(received incoming, limit int) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.queued += len(received.payload) + partCost
	if received.form == framePart && o.queued > limit {
		return fmt.Errorf("%w: %d bytes of parts beyond the window", errProtocol, o.queued)
	}
	o.queue = append(o.queue, received)
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return nil
}

// receive takes one frame from the other side.
func (c *clientConnection) receive(h header, payload []byte) error {
	switch h.form {
	case framePong:
		return nil
	case framePart, frameFinal, frameFailure, frameUnknownKind, frameRefused:
	default:
		return fmt.Errorf("%w: frame type %d at the caller", errProtocol, h.form)
	}
	c.callsMutex.Lock()
	call := c.calls[h.request]
	c.callsMutex.Unlock()
	if call == nil {
		return nil // a call that was given up
	}
	whole, complete, err := call.assembly.add(h, payload)
	if err != nil || !complete {
		return err
	}
	c.stats.MessagesReceived.Add(1)
	limit := c.options.PartWindowBytes + c.options.MaxMessageBytes
	return call.put(incoming{form: h.form, kind: h.kind, payload: whole}, limit)
}

var _ Client = (*Transport)(nil)

// errConnectionEnded marks calls whose connection ended before they left.
var errConnectionEnded = errors.New("peer: connection ended")

// errStopping is why a stopping node refuses requests.
var errStopping = errors.New("peer: the node is stopping")
