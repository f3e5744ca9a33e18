package network

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// partWindow is how many parts of one call are in flight before sendPart blocks.
const partWindow = 64

// errCallerCancelled is what sendPart returns once the caller no longer waits.
var errCallerCancelled = errors.New("network: the caller cancelled the call")

// frame is one encoded message in transit.
type frame struct {
	kind    peer.Kind
	fields  []byte
	final   bool
	failure error
	// arrival is when the frame arrives.
	arrival time.Time
}

func encode(message peer.Message) (peer.Kind, []byte) {
	encoder := wire.NewEncoder(nil)
	message.Encode(encoder)
	return message.Kind(), encoder.Bytes()
}

// exchange is one call in flight between the caller's and the handler's side.
type exchange struct {
	network     *Network
	caller      *Endpoint
	callee      *Endpoint
	drawnFaults drawnFaults
	frames      chan frame
	// broken runs while heartbeats are lost; only the caller's side uses it.
	broken *time.Timer
	// callerDone is done when the handler's side learns that the caller no longer waits.
	callerDone   context.Context
	cancelCaller context.CancelFunc
}

// Call implements peer.Client.
func (e *Endpoint) Call(ctx context.Context, address netip.AddrPort, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	kind, fields := encode(request)
	if err := e.Gate(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", peer.ErrNotSent, err)
	}
	message, err := e.call(ctx, address, kind, fields, onPart)
	// A paused process does not return an answer before its thaw.
	if gateErr := e.awaitThaw(); gateErr != nil {
		return nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, gateErr)
	}
	return message, err
}

func (e *Endpoint) call(ctx context.Context, address netip.AddrPort, kind peer.Kind, fields []byte, onPart func(peer.Message) error) (peer.Message, error) {
	network := e.network
	callee := network.atPeer(address)
	if callee == nil || callee.killed() || !callee.serving.Load() {
		return nil, e.refused(ctx, callee, address)
	}
	e.count(len(fields))
	exchange := &exchange{
		network: network, caller: e, callee: callee,
		drawnFaults: network.draw(e.node, callee.node, kind),
		frames:      make(chan frame, partWindow),
	}
	exchange.callerDone, exchange.cancelCaller = context.WithCancel(callee.lifetime)
	defer exchange.leave()
	latency := network.latency(e.node, callee.node)
	time.AfterFunc(latency, func() { exchange.deliver(kind, fields) })
	if exchange.drawnFaults.duplicate && !exchange.drawnFaults.loseRequest {
		time.AfterFunc(latency+exchange.drawnFaults.duplicateAfter, func() { exchange.deliverDuplicate(kind, fields) })
	}
	return exchange.receive(ctx, onPart)
}

// refused returns the error of a call to an address without a listener: at once if the
// other machine can refuse the connection, else after the dial timeout.
func (e *Endpoint) refused(ctx context.Context, callee *Endpoint, address netip.AddrPort) error {
	if callee != nil && !e.network.Reaches(callee.node, e.node) {
		select {
		case <-time.After(DetectionTime):
		case <-ctx.Done():
		case <-e.lifetime.Done():
		}
	}
	return fmt.Errorf("%w: nothing listens at %s", peer.ErrNotSent, address)
}

// leave notifies the handler's side that the caller stopped waiting, after the latency.
func (x *exchange) leave() {
	if x.broken != nil {
		x.broken.Stop()
	}
	delay := x.network.latency(x.caller.node, x.callee.node)
	if !x.network.Reaches(x.caller.node, x.callee.node) {
		delay = DetectionTime
	}
	time.AfterFunc(delay, x.cancelCaller)
}

// deliver passes the request, which has arrived at the other side, to the handler there.
func (x *exchange) deliver(kind peer.Kind, fields []byte) {
	if x.drawnFaults.loseRequest {
		x.reset("the request was lost")
		return
	}
	if !x.carryRequest() {
		return
	}
	request, err := x.callee.registry.Decode(kind, fields)
	if err != nil {
		x.answer(nil, err)
		return
	}
	handler := x.callee.registry.Handler(kind)
	if handler == nil {
		x.answer(nil, fmt.Errorf("%w: %d", peer.ErrUnknownKind, kind))
		return
	}
	message, err := handler.Handle(x.callerDone, request, x.sendPart)
	x.answer(message, err)
}

// deliverDuplicate runs the handler a second time and drops its response.
func (x *exchange) deliverDuplicate(kind peer.Kind, fields []byte) {
	if !x.carryRequest() {
		return
	}
	request, err := x.callee.registry.Decode(kind, fields)
	handler := x.callee.registry.Handler(kind)
	if err != nil || handler == nil {
		return
	}
	// The response of a duplicate is dropped.
	_, _ = handler.Handle(x.callee.lifetime, request, func(peer.Message) error { return errCallerCancelled })
}

// carryRequest waits until the request has arrived at the other node's process.
func (x *exchange) carryRequest() bool {
	for !x.network.Reaches(x.caller.node, x.callee.node) {
		// TCP retransmits until the connection fails.
		changed := x.network.watch()
		if x.network.Reaches(x.caller.node, x.callee.node) {
			break
		}
		select {
		case <-changed:
		case <-x.callerDone.Done():
			return false
		}
	}
	return x.callee.awaitThaw() == nil
}

// reset fails the call at the caller as a reset connection does.
func (x *exchange) reset(reason string) {
	failure := fmt.Errorf("%w: %s", peer.ErrUnreachable, reason)
	delay := x.network.latency(x.callee.node, x.caller.node)
	select {
	case x.frames <- frame{final: true, failure: failure, arrival: time.Now().Add(delay)}:
	case <-x.callerDone.Done():
	}
}

func (x *exchange) sendPart(part peer.Message) error {
	kind, fields := encode(part)
	return x.put(frame{kind: kind, fields: fields})
}

func (x *exchange) answer(message peer.Message, err error) {
	if x.drawnFaults.loseAnswer {
		x.reset("the answer was lost")
		return
	}
	if err != nil {
		failure := error(&peer.RemoteError{Text: err.Error()})
		if errors.Is(err, peer.ErrUnknownKind) {
			failure = err
		}
		_ = x.put(frame{final: true, failure: failure}) // the caller may have stopped waiting
		return
	}
	kind, fields := encode(message)
	_ = x.put(frame{kind: kind, fields: fields, final: true}) // the caller may have stopped waiting
}

// put sends one frame to the caller. It blocks while the sender is frozen or the window
// is full.
func (x *exchange) put(sent frame) error {
	if err := x.callee.awaitThaw(); err != nil {
		return err
	}
	if x.callerDone.Err() != nil {
		return errCallerCancelled
	}
	x.callee.count(len(sent.fields))
	sent.arrival = time.Now().Add(x.network.latency(x.callee.node, x.caller.node))
	select {
	case x.frames <- sent:
		return nil
	case <-x.callerDone.Done():
		return errCallerCancelled
	}
}

// receive passes parts on until the final frame, and watches the connection.
func (x *exchange) receive(ctx context.Context, onPart func(peer.Message) error) (peer.Message, error) {
	for {
		received, err := x.next(ctx)
		if err != nil {
			return nil, err
		}
		if received.failure != nil {
			return nil, received.failure
		}
		message, err := x.caller.registry.Decode(received.kind, received.fields)
		if err != nil {
			return nil, err
		}
		if received.final {
			return message, nil
		}
		if onPart == nil {
			continue
		}
		if err := onPart(message); err != nil {
			return nil, err
		}
	}
}

// next returns the next frame that arrived at the caller's running process.
func (x *exchange) next(ctx context.Context) (frame, error) {
	var received frame
	err := x.wait(func(broken <-chan time.Time, changed <-chan struct{}) (bool, error) {
		select {
		case received = <-x.frames:
			return true, nil
		case <-changed:
			return false, nil
		case <-broken:
			return false, x.lost()
		case <-x.death():
			return x.drain(&received)
		case <-x.caller.lifetime.Done():
			return false, fmt.Errorf("%w: %w", peer.ErrUnreachable, ErrKilled)
		case <-ctx.Done():
			return false, fmt.Errorf("%w: %w", peer.ErrUnreachable, ctx.Err())
		}
	})
	if err != nil {
		return frame{}, err
	}
	if err := x.arrive(ctx, received); err != nil {
		return frame{}, err
	}
	return received, x.caller.awaitThaw()
}

// death is closed when the caller can learn that the callee was killed: its machine
// resets the connection, if the reset gets through.
func (x *exchange) death() <-chan struct{} {
	if !x.network.Reaches(x.callee.node, x.caller.node) {
		return nil
	}
	return x.callee.lifetime.Done()
}

// drain returns a frame that was sent before the callee was killed.
func (x *exchange) drain(received *frame) (bool, error) {
	select {
	case *received = <-x.frames:
		return true, nil
	default:
		return false, fmt.Errorf("%w: %s was killed", peer.ErrUnreachable, x.callee.node.Name)
	}
}

// arrive waits until a sent frame has arrived.
func (x *exchange) arrive(ctx context.Context, sent frame) error {
	timer := time.NewTimer(time.Until(sent.arrival))
	defer timer.Stop()
	arrived := false
	return x.wait(func(broken <-chan time.Time, changed <-chan struct{}) (bool, error) {
		if arrived && x.network.Reaches(x.callee.node, x.caller.node) {
			return true, nil
		}
		select {
		case <-timer.C:
			arrived = true
			return x.network.Reaches(x.callee.node, x.caller.node), nil
		case <-changed:
			return false, nil
		case <-broken:
			return false, x.lost()
		case <-x.caller.lifetime.Done():
			return false, fmt.Errorf("%w: %w", peer.ErrUnreachable, ErrKilled)
		case <-ctx.Done():
			return false, fmt.Errorf("%w: %w", peer.ErrUnreachable, ctx.Err())
		}
	})
}

// wait runs step until it is done or fails. While the connection is broken, a timer runs;
// healing before it expires stops it.
func (x *exchange) wait(step func(broken <-chan time.Time, changed <-chan struct{}) (bool, error)) error {
	for {
		changed := x.network.watch()
		x.watchConnection()
		var broken <-chan time.Time
		if x.broken != nil {
			broken = x.broken.C
		}
		done, err := step(broken, changed)
		if done || err != nil {
			return err
		}
	}
}

func (x *exchange) watchConnection() {
	connected := x.connected()
	if connected && x.broken != nil {
		x.broken.Stop()
		x.broken = nil
	}
	if !connected && x.broken == nil {
		x.broken = time.NewTimer(DetectionTime)
	}
}

// connected reports whether heartbeats get through in both directions.
func (x *exchange) connected() bool {
	return !x.callee.Frozen() && !x.caller.Frozen() &&
		x.network.Reaches(x.caller.node, x.callee.node) &&
		x.network.Reaches(x.callee.node, x.caller.node)
}

func (x *exchange) lost() error {
	return fmt.Errorf("%w: connection from %s to %s lost", peer.ErrUnreachable, x.caller.node.Name, x.callee.node.Name)
}
