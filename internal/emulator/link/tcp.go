package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Buffer sizes of one direction: the data in flight on the emulated link.
const (
	chunkBytes   = 32 << 10
	chunksQueued = 64
)

// Route names the two ends of a relay.
type Route struct {
	// From names the caller; if empty, the caller's IP address is used.
	From string
	// To names the target's endpoint.
	To string
	// Listen is the relay's listen address; port 0 selects a free port.
	Listen netip.AddrPort
	// Target is the address to which the relay forwards.
	Target netip.AddrPort
}

// Relay forwards traffic until it is closed.
type Relay struct {
	address netip.AddrPort
	cancel  context.CancelFunc
	close   func() error
	// running counts the relay's goroutines.
	running sync.WaitGroup
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() netip.AddrPort { return r.address }

// Close closes the relay and its connections and waits for its goroutines.
func (r *Relay) Close() error {
	r.cancel()
	err := r.close()
	r.running.Wait()
	return err
}

// RelayTCP starts a relay of TCP connections.
func (n *Network) RelayTCP(route Route) (*Relay, error) {
	listener, err := net.Listen("tcp", route.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("link: relay to %s: %w", route.To, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	relay := &Relay{address: address, cancel: cancel, close: listener.Close}
	relay.running.Go(func() { n.accept(ctx, relay, listener, route) })
	return relay, nil
}

func (n *Network) accept(ctx context.Context, relay *Relay, listener net.Listener, route Route) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		relay.running.Go(func() { n.relayConnection(ctx, caller.(*net.TCPConn), route) })
	}
}

// relayConnection connects caller to the target once both directions are open, as a
// handshake needs both, and forwards until either side ends or is refused.
func (n *Network) relayConnection(ctx context.Context, caller *net.TCPConn, route Route) {
	defer caller.Close()
	way := direction{from: sourceName(route, caller.RemoteAddr()), to: route.To}
	if n.refused(way) {
		_ = caller.SetLinger(0)
		return
	}
	if !n.awaitOpen(ctx, way) || !n.awaitOpen(ctx, way.reversed()) {
		return
	}
	dialed, err := (&net.Dialer{}).DialContext(ctx, "tcp", route.Target.String())
	if err != nil {
		return
	}
	target := dialed.(*net.TCPConn)
	defer target.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		_ = caller.Close()
		_ = target.Close()
	})
	defer stop()
	go n.resetIfRefused(ctx, cancel, way, caller, target)
	var pumps sync.WaitGroup
	pumps.Go(func() { n.pump(ctx, cancel, pipe{from: caller, to: target, way: way}) })
	pumps.Go(func() { n.pump(ctx, cancel, pipe{from: target, to: caller, way: way.reversed()}) })
	pumps.Wait()
}

// resetIfRefused resets both sides of a connection as soon as connections are refused.
func (n *Network) resetIfRefused(ctx context.Context, cancel context.CancelFunc, way direction, sides ...*net.TCPConn) {
	if !n.awaitRefusal(ctx, way) {
		return
	}
	for _, side := range sides {
		_ = side.SetLinger(0)
	}
	cancel()
}

// pipe is one direction of a relayed connection.
type pipe struct {
	from, to *net.TCPConn
	way      direction
}

// chunk is the result of one read; the last one is empty and states how the reading
// ended.
type chunk struct {
	bytes []byte
	read  time.Time
	// broken is true on a last chunk that ended with a reset instead of an end of file.
	broken bool
}

// pump forwards one direction. The end of the stream is delayed and stalled like its
// bytes.
func (n *Network) pump(ctx context.Context, cancel context.CancelFunc, p pipe) {
	chunks := make(chan chunk, chunksQueued)
	var reader sync.WaitGroup
	reader.Go(func() { readChunks(ctx, p.from, chunks) })
	defer reader.Wait()
	for next := range chunks {
		if !n.carry(ctx, p.way, next.read) {
			return
		}
		if len(next.bytes) == 0 {
			if next.broken {
				cancel()
				return
			}
			_ = p.to.CloseWrite()
			return
		}
		if _, err := p.to.Write(next.bytes); err != nil {
			cancel()
			return
		}
	}
}

// carry waits for the delay and while way is cut.
func (n *Network) carry(ctx context.Context, way direction, read time.Time) bool {
	due := read.Add(n.condition(way).Delay)
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	return n.awaitOpen(ctx, way)
}

// readChunks reads from until it ends and closes chunks.
func readChunks(ctx context.Context, from *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		now := time.Now()
		if count > 0 && !send(ctx, chunks, chunk{bytes: buffer[:count], read: now}) {
			return
		}
		if err != nil {
			send(ctx, chunks, chunk{read: now, broken: !errors.Is(err, io.EOF)})
			return
		}
	}
}

func send(ctx context.Context, chunks chan<- chunk, next chunk) bool {
	select {
	case chunks <- next:
		return true
	case <-ctx.Done():
		return false
	}
}

// sourceName returns the name under which a caller's conditions are stored.
func sourceName(route Route, address net.Addr) string {
	if route.From != "" {
		return route.From
	}
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return address.String()
	}
	return parsed.Addr().Unmap().String()
}
