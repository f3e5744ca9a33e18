package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

// errCut is what a dial over a cut link ends with.
var errCut = errors.New("scale: link is cut")

// Fabric is what hollow nodes reach each other by.
type Fabric interface {
	// Attach gives a node its addresses and its links. The registry may be filled
	// until the link's Serve.
	Attach(node identity.Node, registry *peer.Registry) (Link, error)
	// Cut stops everything between two regions, in both directions; Heal undoes
	// all cuts.
	Cut(a, b identity.Region)
	Heal()
}

// Link is one node's access to a Fabric.
type Link interface {
	// Node returns the node with its addresses.
	Node() identity.Node
	Client() peer.Client
	Packets() membership.PacketConn
	Serve()
	// Kill ends all at once and sends nothing more.
	Kill()
	// Peers counts what the peer protocol sent and received.
	Peers() Flow
}

// Flow counts messages and bytes in both directions.
type Flow struct {
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes int64
}

// Loopback is a Fabric of real sockets on the loopback address: the peer
// protocol over TCP and membership over UDP.
type Loopback struct {
	// whole tells that nothing is cut, so that the usual case takes no lock that
	// all nodes share.
	whole atomic.Bool
	// mutex guards all below.
	mutex sync.Mutex
	// streams and packets tell the region of a TCP and of a UDP address: the two
	// may have the same port.
	streams map[netip.AddrPort]identity.Region
	packets map[netip.AddrPort]identity.Region
	cuts    map[[2]identity.Region]bool
	open    map[*cuttable]struct{}
}

// NewLoopback returns a fabric without nodes.
func NewLoopback() *Loopback {
	l := &Loopback{
		streams: map[netip.AddrPort]identity.Region{},
		packets: map[netip.AddrPort]identity.Region{},
		cuts:    map[[2]identity.Region]bool{},
		open:    map[*cuttable]struct{}{},
	}
	l.whole.Store(true)
	return l
}

// Cut implements Fabric. Open TCP connections over the cut break.
func (l *Loopback) Cut(a, b identity.Region) {
	l.mutex.Lock()
	l.whole.Store(false)
	l.cuts[[2]identity.Region{a, b}], l.cuts[[2]identity.Region{b, a}] = true, true
	var broken []*cuttable
	for connection := range l.open {
		if l.cuts[connection.ends] {
			broken = append(broken, connection)
		}
	}
	l.mutex.Unlock()
	for _, connection := range broken {
		_ = connection.Close() // its user sees the error
	}
}

// Heal implements Fabric.
func (l *Loopback) Heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clear(l.cuts)
	l.whole.Store(true)
}

// isCut looks to's region up in regions, which is streams or packets.
func (l *Loopback) isCut(from identity.Region, regions map[netip.AddrPort]identity.Region, to netip.AddrPort) bool {
	if l.whole.Load() {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.cuts[[2]identity.Region{from, regions[to]}]
}

// cuttable is a dialled connection that the fabric can break.
type cuttable struct {
	net.Conn
	fabric *Loopback
	ends   [2]identity.Region
}

// Close implements net.Conn.
func (c *cuttable) Close() error {
	c.fabric.mutex.Lock()
	delete(c.fabric.open, c)
	c.fabric.mutex.Unlock()
	return c.Conn.Close()
}

// cutDialTime is how long a dial over a cut link takes to fail.
const cutDialTime = time.Second

func (l *Loopback) dial(ctx context.Context, from identity.Region, to netip.AddrPort) (net.Conn, error) {
	if l.isCut(from, l.streams, to) {
		select {
		case <-time.After(cutDialTime):
		case <-ctx.Done():
		}
		return nil, errCut
	}
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wrapped := &cuttable{Conn: connection, fabric: l, ends: [2]identity.Region{from, l.streams[to]}}
	if l.cuts[wrapped.ends] { // cut while the dial was under way
		_ = connection.Close() // nobody uses it
		return nil, errCut
	}
	l.open[wrapped] = struct{}{}
	return wrapped, nil
}

// loopbackLink is one node on a Loopback.
type loopbackLink struct {
	fabric    *Loopback
	node      identity.Node
	listener  net.Listener
	packets   *net.UDPConn
	transport *peer.Transport
}

// idleTimeout closes connections sooner than a real node does: all nodes share
// one process's limit of open files. Renewals keep the lasting ones open.
const idleTimeout = 3 * time.Second

// Attach implements Fabric.
func (l *Loopback) Attach(node identity.Node, registry *peer.Registry) (Link, error) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	listener, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return nil, fmt.Errorf("scale: listen: %w", err)
	}
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("scale: listen: %w", err), listener.Close())
	}
	node.PeerAddress = listener.Addr().(*net.TCPAddr).AddrPort()
	node.ProbeAddress = packets.LocalAddr().(*net.UDPAddr).AddrPort()
	l.mutex.Lock()
	l.streams[node.PeerAddress], l.packets[node.ProbeAddress] = node.Region, node.Region
	l.mutex.Unlock()
	transport := peer.NewTransport(registry, peer.Options{
		IdleTimeout: idleTimeout,
		Logger:      slog.New(slog.DiscardHandler),
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return l.dial(ctx, node.Region, address)
		},
	})
	return &loopbackLink{fabric: l, node: node, listener: listener, packets: packets, transport: transport}, nil
}

// Node implements Link.
func (l *loopbackLink) Node() identity.Node { return l.node }

// Client implements Link.
func (l *loopbackLink) Client() peer.Client { return l.transport }

// Packets implements Link.
func (l *loopbackLink) Packets() membership.PacketConn {
	return &cuttablePackets{UDPConn: l.packets, link: l}
}

// Serve implements Link.
func (l *loopbackLink) Serve() {
	go func() { _ = l.transport.Serve(l.listener) }() // ends with Kill
}

// Kill implements Link.
func (l *loopbackLink) Kill() {
	_ = l.packets.Close()
	_ = l.listener.Close()
	l.transport.Close()
}

// Peers implements Link.
func (l *loopbackLink) Peers() Flow {
	stats := l.transport.Stats()
	return Flow{
		SentMessages: stats.MessagesSent.Load(), SentBytes: stats.BytesSent.Load(),
		ReceivedMessages: stats.MessagesReceived.Load(), ReceivedBytes: stats.BytesReceived.Load(),
	}
}

// cuttablePackets drops datagrams over cut links.
type cuttablePackets struct {
	*net.UDPConn
	link *loopbackLink
}

// WriteToUDPAddrPort sends a datagram unless the link is cut.
func (c *cuttablePackets) WriteToUDPAddrPort(payload []byte, to netip.AddrPort) (int, error) {
	if c.link.fabric.isCut(c.link.node.Region, c.link.fabric.packets, to) {
		return len(payload), nil
	}
	return c.UDPConn.WriteToUDPAddrPort(payload, to)
}
