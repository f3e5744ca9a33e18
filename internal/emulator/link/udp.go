package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	// datagramBytes is the largest datagram that is relayed.
	datagramBytes = 64 << 10
	// sessionIdle is how long a caller's socket towards the target is kept without
	// traffic.
	sessionIdle = 2 * time.Minute
)

// RelayUDP starts a relay of UDP datagrams. Each caller gets its own socket towards the
// target, so that responses can be routed back.
func (n *Network) RelayUDP(route Route) (*Relay, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(route.Listen))
	if err != nil {
		return nil, fmt.Errorf("link: relay to %s: %w", route.To, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	address := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	relay := &Relay{address: address, cancel: cancel, close: socket.Close}
	datagrams := &datagramRelay{
		network: n, relay: relay, route: route, socket: socket,
		sessions: make(map[netip.AddrPort]*net.UDPConn),
	}
	relay.running.Go(func() { datagrams.run(ctx) })
	return relay, nil
}

// datagramRelay is one running UDP relay.
type datagramRelay struct {
	network *Network
	relay   *Relay
	route   Route
	socket  *net.UDPConn
	// mutex guards sessions.
	mutex sync.Mutex
	// sessions maps each caller to its socket towards the target.
	sessions map[netip.AddrPort]*net.UDPConn
}

func (d *datagramRelay) run(ctx context.Context) {
	defer d.closeSessions()
	buffer := make([]byte, datagramBytes)
	for {
		count, caller, err := d.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		session := d.session(ctx, caller)
		if session == nil {
			continue
		}
		way := direction{from: sourceName(d.route, net.UDPAddrFromAddrPort(caller)), to: d.route.To}
		d.forward(way, buffer[:count], func(datagram []byte) { _, _ = session.Write(datagram) })
	}
}

// forward sends a datagram, at once or after the delay of the direction, or drops it.
func (d *datagramRelay) forward(way direction, datagram []byte, write func([]byte)) {
	delay, passes := d.network.passes(way)
	if !passes {
		return
	}
	if delay == 0 {
		write(datagram)
		return
	}
	copied := append([]byte(nil), datagram...)
	time.AfterFunc(delay, func() { write(copied) })
}

// session returns the socket of caller towards the target, or nil if none can be opened.
func (d *datagramRelay) session(ctx context.Context, caller netip.AddrPort) *net.UDPConn {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if found := d.sessions[caller]; found != nil {
		return found
	}
	if ctx.Err() != nil {
		return nil
	}
	session, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(d.route.Target))
	if err != nil {
		return nil
	}
	d.sessions[caller] = session
	d.relay.running.Go(func() { d.answers(caller, session) })
	return session
}

// answers forwards the target's datagrams to caller until reading fails.
func (d *datagramRelay) answers(caller netip.AddrPort, session *net.UDPConn) {
	defer d.drop(caller, session)
	way := direction{from: d.route.To, to: sourceName(d.route, net.UDPAddrFromAddrPort(caller))}
	buffer := make([]byte, datagramBytes)
	for {
		_ = session.SetReadDeadline(time.Now().Add(sessionIdle))
		count, err := session.Read(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Nobody listens at the target; it may be restarting.
			continue
		}
		d.forward(way, buffer[:count], func(datagram []byte) {
			_, _ = d.socket.WriteToUDPAddrPort(datagram, caller)
		})
	}
}

func (d *datagramRelay) drop(caller netip.AddrPort, session *net.UDPConn) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_ = session.Close()
	delete(d.sessions, caller)
}

func (d *datagramRelay) closeSessions() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, session := range d.sessions {
		_ = session.Close()
	}
}
