package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/wire"
)

// The bounds of the exponential delay after an accept error.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// errCallerDisconnected is returned by sendPart if the caller no longer waits.
var errCallerDisconnected = errors.New("peer: the caller has disconnected")

// server is the accepting side of a transport.
type server struct {
	transport *Transport
	// activeHandlers counts the running handlers per range of kinds. Each range has a limit
	// of its own, so that calls that wait for minutes cannot block lease renewals and
	// journal records.
	activeHandlers [handlerRanges]atomic.Int64
	stopping       atomic.Bool
	baseContext    context.Context
	cancelBase     context.CancelFunc

	// mutex guards listeners and connections, and orders admissions with respect to stop.
	mutex       sync.Mutex
	listeners   map[net.Listener]bool
	connections map[*serverConnection]bool
	handlers    sync.WaitGroup
}

func newServer(transport *Transport) server {
	baseContext, cancelBase := context.WithCancel(context.Background())
	return server{
		transport: transport, baseContext: baseContext, cancelBase: cancelBase,
		listeners: map[net.Listener]bool{}, connections: map[*serverConnection]bool{},
	}
}

// Serve accepts connections from listener until Shutdown or Close closes it, and then
// returns nil. The registry must be complete before.
func (t *Transport) Serve(listener net.Listener) error {
	t.server.addListener(listener)
	delay := minAcceptDelay
	for {
		socket, err := listener.Accept()
		if err == nil {
			delay = minAcceptDelay
			go t.server.accept(socket)
			continue
		}
		if t.server.stopping.Load() || errors.Is(err, net.ErrClosed) {
			return nil
		}
		// Errors such as too many open files are transient, so the node must keep
		// accepting.
		t.options.Logger.Error("cannot accept peer connection", "address", listener.Addr(), "error", err)
		select {
		case <-time.After(delay):
		case <-t.server.baseContext.Done():
		}
		delay = min(2*delay, maxAcceptDelay)
	}
}

// Shutdown closes the listeners, refuses new requests, which callers see as ErrNotSent, and
// waits until all handlers have returned or ctx ends.
func (t *Transport) Shutdown(ctx context.Context) error {
	t.server.stop()
	done := make(chan struct{})
	go func() {
		t.server.handlers.Wait()
		close(done)
	}()
	select {
	case <-done:
		t.server.flush(ctx)
		return nil
	case <-ctx.Done():
		return fmt.Errorf("peer: shutdown with %d handlers running: %w", t.server.totalActive(), ctx.Err())
	}
}

// handlerRanges is the number of ranges of kinds. Kinds above share the last range.
const handlerRanges = 14

func handlerRange(kind Kind) int { return min(int(kind/kindRangeSize), handlerRanges-1) }

// totalActive returns the number of running handlers.
func (s *server) totalActive() int64 {
	var total int64
	for i := range s.activeHandlers {
		total += s.activeHandlers[i].Load()
	}
	return total
}

// flush waits until the responses of all handlers are written.
func (s *server) flush(ctx context.Context) {
	s.mutex.Lock()
	connections := slices.Collect(maps.Keys(s.connections))
	s.mutex.Unlock()
	for _, connection := range connections {
		connection.flush(ctx)
	}
}

func (s *server) addListener(listener net.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners[listener] = true
	if s.stopping.Load() {
		_ = listener.Close()
	}
}

func (s *server) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping.Store(true)
	for listener := range s.listeners {
		_ = listener.Close() // it may be closed already
	}
}

func (s *server) close() {
	s.stop()
	s.cancelBase()
	s.mutex.Lock()
	connections := s.connections
	s.connections = map[*serverConnection]bool{}
	s.mutex.Unlock()
	for connection := range connections {
		connection.fail(net.ErrClosed)
	}
}

// accept checks the preface and serves one connection until it ends.
func (s *server) accept(socket net.Conn) {
	if err := readPreface(socket, s.transport.options.SilenceTimeout); err != nil {
		s.transport.options.Logger.Warn("rejected peer connection", "remote", socket.RemoteAddr(), "error", err)
		_ = socket.Close()
		return
	}
	connection := &serverConnection{
		connection: newConnection(socket, &s.transport.options, &s.transport.stats, false),
		server:     s,
		requests:   map[uint64]*incomingRequest{},
	}
	s.mutex.Lock()
	s.connections[connection] = true
	s.mutex.Unlock()
	if s.baseContext.Err() != nil {
		connection.fail(net.ErrClosed)
	}
	go connection.writeLoop()
	connection.readLoop(connection.receive)
	connection.cancelAll()
	s.mutex.Lock()
	delete(s.connections, connection)
	s.mutex.Unlock()
}

func readPreface(socket net.Conn, timeout time.Duration) error {
	if err := socket.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	received := make([]byte, len(preface))
	if _, err := io.ReadFull(socket, received); err != nil {
		return err
	}
	if string(received) != preface {
		return fmt.Errorf("%w: preface %q", errProtocol, received)
	}
	return socket.SetReadDeadline(time.Time{})
}

// serverConnection is the accepting side of a connection.
type serverConnection struct {
	*connection
	server *server

	// requestsMutex guards requests.
	requestsMutex sync.Mutex
	requests      map[uint64]*incomingRequest
}

// incomingRequest is a request that is being received or handled.
type incomingRequest struct {
	number uint64
	// assembly and complete are used only by the reader.
	assembly       assembler
	complete       bool
	ctx            context.Context
	cancel         context.CancelFunc
	windowExtended chan struct{}
	// credit is the remaining window for parts in bytes.
	credit atomic.Int64
}

// receive handles one frame from the dialling side.
func (c *serverConnection) receive(h header, payload []byte) error {
	switch h.frameType {
	case framePing:
		c.sendControl(header{frameType: framePong}, nil)
		return nil
	case frameRequest:
		return c.receiveRequest(h, payload)
	case frameCancel:
		c.remove(h.request)
		return nil
	case frameWindow:
		return c.receiveWindow(h, payload)
	default:
		return fmt.Errorf("%w: frame type %d at the server", errProtocol, h.frameType)
	}
}

func (c *serverConnection) receiveRequest(h header, payload []byte) error {
	request := c.request(h.request)
	if request.complete {
		return fmt.Errorf("%w: request %d came twice", errProtocol, h.request)
	}
	message, complete, err := request.assembly.add(h, payload)
	if err != nil || !complete {
		return err
	}
	request.complete = true
	c.stats.MessagesReceived.Add(1)
	if reason := c.server.admit(h.kind); reason != nil {
		c.stats.Refused.Add(1)
		c.remove(h.request)
		c.sendControl(header{frameType: frameRefused, request: h.request}, []byte(reason.Error()))
		return nil
	}
	go c.handle(request, h.kind, message)
	return nil
}

// admit counts a new handler, or returns the reason why it is refused.
func (s *server) admit(kind Kind) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping.Load() {
		return errStopping
	}
	active := &s.activeHandlers[handlerRange(kind)]
	if active.Load() >= int64(s.transport.options.MaxHandlers) {
		return fmt.Errorf("peer: %d requests of the kind's range at work", active.Load())
	}
	active.Add(1)
	s.handlers.Add(1)
	return nil
}

// request returns the request with a number, and creates it for its first chunk.
func (c *serverConnection) request(number uint64) *incomingRequest {
	c.requestsMutex.Lock()
	defer c.requestsMutex.Unlock()
	if found := c.requests[number]; found != nil {
		return found
	}
	ctx, cancel := context.WithCancel(c.server.baseContext)
	request := &incomingRequest{
		number:   number,
		assembly: assembler{limit: c.options.MaxMessageBytes},
		ctx:      ctx, cancel: cancel,
		windowExtended: make(chan struct{}, 1),
	}
	request.credit.Store(int64(c.options.PartWindowBytes))
	c.requests[number] = request
	c.beginRequest()
	return request
}

// remove deletes a request that has ended or been cancelled.
func (c *serverConnection) remove(number uint64) {
	c.requestsMutex.Lock()
	request := c.requests[number]
	delete(c.requests, number)
	c.requestsMutex.Unlock()
	if request != nil {
		request.cancel()
		c.endRequest()
	}
}

// cancelAll cancels all requests after the connection has ended.
func (c *serverConnection) cancelAll() {
	c.requestsMutex.Lock()
	requests := c.requests
	c.requests = map[uint64]*incomingRequest{}
	c.requestsMutex.Unlock()
	for _, request := range requests {
		request.cancel()
	}
}

func (c *serverConnection) receiveWindow(h header, payload []byte) error {
	if len(payload) != 4 {
		return fmt.Errorf("%w: window of %d bytes", errProtocol, len(payload))
	}
	c.requestsMutex.Lock()
	request := c.requests[h.request]
	c.requestsMutex.Unlock()
	if request == nil {
		return nil
	}
	request.credit.Add(int64(binary.BigEndian.Uint32(payload)))
	select {
	case request.windowExtended <- struct{}{}:
	default:
	}
	return nil
}

// handle runs the handler and sends its response.
func (c *serverConnection) handle(request *incomingRequest, kind Kind, fields []byte) {
	defer c.server.handlers.Done()
	defer c.server.activeHandlers[handlerRange(kind)].Add(-1)
	defer c.remove(request.number)
	handler := c.server.transport.registry.Handler(kind)
	if handler == nil {
		c.sendControl(header{frameType: frameUnknownKind, kind: kind, request: request.number}, nil)
		return
	}
	message, err := c.server.transport.registry.Decode(kind, fields)
	if err == nil {
		message, err = handler.Handle(request.ctx, message, func(part Message) error {
			return c.sendPart(request, part)
		})
	}
	if request.ctx.Err() != nil {
		return // the caller no longer waits
	}
	if err != nil {
		text := err.Error()
		c.sendControl(header{frameType: frameFailure, request: request.number}, []byte(text[:min(len(text), chunkSize)]))
		return
	}
	// An error means that the connection has ended, which the caller detects itself.
	_ = c.sendResponse(request, frameFinal, message)
}

func (c *serverConnection) sendResponse(request *incomingRequest, frameType frameType, message Message) error {
	encoder := wire.NewEncoder(nil)
	message.Encode(encoder)
	_, err := c.sendMessage(request.ctx, header{frameType: frameType, kind: message.Kind(), request: request.number}, encoder.Bytes())
	return err
}

// sendPart sends a part once the window is open. A part larger than the window is sent
// whole and deducted from later extensions.
func (c *serverConnection) sendPart(request *incomingRequest, part Message) error {
	for request.credit.Load() <= 0 {
		select {
		case <-request.windowExtended:
		case <-request.ctx.Done():
			return errCallerDisconnected
		}
	}
	if request.ctx.Err() != nil {
		return errCallerDisconnected
	}
	encoder := wire.NewEncoder(nil)
	part.Encode(encoder)
	request.credit.Add(-int64(len(encoder.Bytes()) + partOverhead))
	_, err := c.sendMessage(request.ctx, header{frameType: framePart, kind: part.Kind(), request: request.number}, encoder.Bytes())
	if err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	return nil
}
