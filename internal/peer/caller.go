package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
)

// partOverhead is counted against the window for each part in addition to its bytes, so
// that empty parts are bounded too.
const partOverhead = 64

// clientConnection is the dialling side of a connection.
type clientConnection struct {
	*connection
	registry *Registry

	// callsMutex guards calls and nextRequest.
	callsMutex  sync.Mutex
	calls       map[uint64]*outgoingCall
	nextRequest uint64
}

// incomingMessage is a complete message or failure of a response.
type incomingMessage struct {
	frameType frameType
	kind      Kind
	payload   []byte
}

// outgoingCall is a request that waits for its response.
type outgoingCall struct {
	request  uint64
	assembly assembler
	// ready has capacity for one signal that queue has grown.
	ready chan struct{}

	// mutex guards queue, whose size is bounded by the window for parts.
	mutex sync.Mutex
	queue []incomingMessage
	// queuedBytes is the total cost of queue.
	queuedBytes int
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
	c.beginRequest()
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

// release unregisters a call. A later response is dropped.
func (c *clientConnection) release(call *outgoingCall) {
	c.callsMutex.Lock()
	delete(c.calls, call.request)
	c.callsMutex.Unlock()
	c.endRequest()
}

// call sends a request and passes parts to onPart until the final message.
func (c *clientConnection) call(ctx context.Context, kind Kind, fields []byte, onPart func(Message) error) (Message, error) {
	call := c.open()
	defer c.release(call)
	position, err := c.sendMessage(ctx, header{frameType: frameRequest, kind: kind, request: call.request}, fields)
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
		if received.frameType != framePart {
			return c.finish(received)
		}
		if err := c.deliver(received, onPart); err != nil {
			c.cancel(call)
			return nil, err
		}
		consumed += len(received.payload) + partOverhead
		if consumed >= c.options.PartWindowBytes/2 {
			c.extendWindow(call, consumed)
			consumed = 0
		}
	}
}

func (c *clientConnection) deliver(part incomingMessage, onPart func(Message) error) error {
	if onPart == nil {
		return nil
	}
	message, err := c.registry.Decode(part.kind, part.payload)
	if err != nil {
		return err
	}
	return onPart(message)
}

func (c *clientConnection) finish(received incomingMessage) (Message, error) {
	switch received.frameType {
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

// unreachable wraps the reason why a call has no response, as ErrNotSent if the request was
// certainly not sent.
func (c *clientConnection) unreachable(cause error, position uint64) error {
	notSent, failure := c.failure(position)
	if failure != nil && notSent {
		return fmt.Errorf("%w: %w: %w", ErrNotSent, errConnectionEnded, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, cause)
}

func (c *clientConnection) cancel(call *outgoingCall) {
	c.sendControl(header{frameType: frameCancel, request: call.request}, nil)
}

func (c *clientConnection) extendWindow(call *outgoingCall, bytes int) {
	var payload [4]byte
	binary.BigEndian.PutUint32(payload[:], uint32(bytes))
	c.sendControl(header{frameType: frameWindow, request: call.request}, payload[:])
}

// next waits for the next message of a call's response. Messages that arrived before the
// connection ended are still returned.
func (c *clientConnection) next(ctx context.Context, call *outgoingCall) (incomingMessage, error) {
	for {
		if received, found := call.take(); found {
			return received, nil
		}
		select {
		case <-call.ready:
		case <-ctx.Done():
			return incomingMessage{}, ctx.Err()
		case <-c.closed:
			if received, found := call.take(); found {
				return received, nil
			}
			_, failure := c.failure(0)
			return incomingMessage{}, failure
		}
	}
}

func (o *outgoingCall) take() (incomingMessage, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.queue) == 0 {
		return incomingMessage{}, false
	}
	received := o.queue[0]
	o.queue[0] = incomingMessage{}
	o.queue = o.queue[1:]
	o.queuedBytes -= len(received.payload) + partOverhead
	return received, true
}

func (o *outgoingCall) put(received incomingMessage, limit int) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.queuedBytes += len(received.payload) + partOverhead
	if received.frameType == framePart && o.queuedBytes > limit {
		return fmt.Errorf("%w: %d bytes of parts beyond the window", errProtocol, o.queuedBytes)
	}
	o.queue = append(o.queue, received)
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return nil
}

// receive handles one frame from the serving side.
func (c *clientConnection) receive(h header, payload []byte) error {
	switch h.frameType {
	case framePong:
		return nil
	case framePart, frameFinal, frameFailure, frameUnknownKind, frameRefused:
	default:
		return fmt.Errorf("%w: frame type %d at the caller", errProtocol, h.frameType)
	}
	c.callsMutex.Lock()
	call := c.calls[h.request]
	c.callsMutex.Unlock()
	if call == nil {
		return nil // released
	}
	message, complete, err := call.assembly.add(h, payload)
	if err != nil || !complete {
		return err
	}
	c.stats.MessagesReceived.Add(1)
	limit := c.options.PartWindowBytes + c.options.MaxMessageBytes
	return call.put(incomingMessage{frameType: h.frameType, kind: h.kind, payload: message}, limit)
}

var _ Client = (*Transport)(nil)

// errConnectionEnded marks calls whose connection ended before the request was sent.
var errConnectionEnded = errors.New("peer: connection ended")

// errStopping is the reason for refusing requests during a shutdown.
var errStopping = errors.New("peer: the node is stopping")
