package network

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// packetQueueLength is the receive buffer of a socket in datagrams; further ones are
// dropped.
const packetQueueLength = 512

// PacketConn is a node's datagram socket. Its methods are a subset of *net.UDPConn's, so
// that code can use an interface that both implement.
type PacketConn struct {
	endpoint *Endpoint
	queue    chan packet
	closed   chan struct{}
	once     sync.Once
}

type packet struct {
	payload []byte
	from    netip.AddrPort
}

func newPacketConn(endpoint *Endpoint) *PacketConn {
	return &PacketConn{
		endpoint: endpoint,
		queue:    make(chan packet, packetQueueLength),
		closed:   make(chan struct{}),
	}
}

// ReadFromUDPAddrPort waits for a datagram. It returns net.ErrClosed once the socket is
// closed or the node killed.
func (c *PacketConn) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	select {
	case received := <-c.queue:
		if c.endpoint.awaitThaw() != nil {
			return 0, netip.AddrPort{}, net.ErrClosed
		}
		return copy(buffer, received.payload), received.from, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	case <-c.endpoint.lifetime.Done():
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort sends a datagram. As with UDP, success does not imply delivery.
func (c *PacketConn) WriteToUDPAddrPort(payload []byte, to netip.AddrPort) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	if c.endpoint.awaitThaw() != nil {
		return 0, net.ErrClosed
	}
	c.endpoint.count(len(payload))
	target := c.endpoint.network.atProbe(to)
	if target != nil {
		c.send(target, append([]byte(nil), payload...))
	}
	return len(payload), nil
}

func (c *PacketConn) send(target *Endpoint, payload []byte) {
	network, from, to := c.endpoint.network, c.endpoint.node, target.node
	drawn := network.draw(from, to, 0)
	if drawn.dropDatagram || !network.Reaches(from, to) {
		return
	}
	sent := packet{payload: payload, from: from.ProbeAddress}
	time.AfterFunc(network.latency(from, to)+drawn.holdBack, func() { target.packets.deliver(sent) })
}

func (c *PacketConn) deliver(received packet) {
	select {
	case c.queue <- received:
	default:
	}
}

// Close closes the socket.
func (c *PacketConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}
