// Package pipe is an in-memory network of stream connections. Real HTTP clients and
// servers run over it in virtual time inside a synctest bubble, where sockets don't work.
package pipe

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// Network connects addresses in one process. Its mutex guards the listeners.
type Network struct {
	mutex     sync.Mutex
	listeners map[netip.AddrPort]*Listener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: map[netip.AddrPort]*Listener{}}
}

// Listen accepts the connections to address and replaces an earlier listener.
func (n *Network) Listen(address netip.AddrPort) *Listener {
	listener := &Listener{
		address: address, network: n,
		incoming: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners[address] = listener
	return listener
}

// Dial connects to an address; its signature is that of http.Transport.DialContext. It
// fails like a refused connection if nobody listens.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	n.mutex.Lock()
	listener, found := n.listeners[target]
	n.mutex.Unlock()
	if !found {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	select {
	case listener.incoming <- far:
		return near, nil
	case <-listener.closed:
		err = syscall.ECONNREFUSED
	case <-ctx.Done():
		err = ctx.Err()
	}
	return nil, &net.OpError{Op: "dial", Net: network, Err: err}
}

// Listener is a net.Listener on a Network.
type Listener struct {
	address  netip.AddrPort
	network  *Network
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.incoming:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Established connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mutex.Lock()
		defer l.network.mutex.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
