package network

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
)

// ErrKilled is returned once the node itself was killed: nothing that it sends is
// delivered.
var ErrKilled = errors.New("network: this node was killed")

// Endpoint is one incarnation of one node on the network. It implements peer.Client for
// the node's calls and provides its datagram socket.
//
// A killed endpoint stays dead; a restart is a new Join. A frozen one behaves like a
// paused process: what it was about to send leaves after the thaw, even if deadlines have
// passed, and arriving messages wait.
type Endpoint struct {
	network  *Network
	node     identity.Node
	registry *peer.Registry
	packets  *PacketConn
	// lifetime ends when the endpoint is killed.
	lifetime context.Context
	death    context.CancelFunc

	serving atomic.Bool
	sent    atomic.Int64
	bytes   atomic.Int64

	// mutex guards thawed: nil while running, else closed at the thaw.
	mutex  sync.Mutex
	thawed chan struct{}
}

func newEndpoint(network *Network, node identity.Node, registry *peer.Registry) *Endpoint {
	endpoint := &Endpoint{network: network, node: node, registry: registry}
	endpoint.lifetime, endpoint.death = context.WithCancel(context.Background())
	endpoint.packets = newPacketConn(endpoint)
	return endpoint
}

// Node returns the identity of the node's incarnation.
func (e *Endpoint) Node() identity.Node { return e.node }

// Serve starts accepting calls. The registry must be complete by then.
func (e *Endpoint) Serve() { e.serving.Store(true) }

// Done is closed when the endpoint is killed.
func (e *Endpoint) Done() <-chan struct{} { return e.lifetime.Done() }

// Packets returns the endpoint's datagram socket.
func (e *Endpoint) Packets() *PacketConn { return e.packets }

// Sent returns how many messages and datagrams the endpoint sent, and their bytes.
func (e *Endpoint) Sent() (messages, bytes int64) { return e.sent.Load(), e.bytes.Load() }

// Kill ends this incarnation: its calls in both directions fail, its handlers' contexts
// end, and nothing that it sends from now on is delivered.
func (e *Endpoint) Kill() {
	e.death()
	e.network.change(func() {})
}

// Freeze stops the endpoint as SIGSTOP would, until Thaw.
func (e *Endpoint) Freeze() {
	e.mutex.Lock()
	if e.thawed == nil {
		e.thawed = make(chan struct{})
	}
	e.mutex.Unlock()
	e.network.change(func() {})
}

// Thaw resumes a frozen endpoint.
func (e *Endpoint) Thaw() {
	e.mutex.Lock()
	if e.thawed != nil {
		close(e.thawed)
		e.thawed = nil
	}
	e.mutex.Unlock()
	e.network.change(func() {})
}

// Frozen reports whether the endpoint is frozen.
func (e *Endpoint) Frozen() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.thawed != nil
}

func (e *Endpoint) killed() bool { return e.lifetime.Err() != nil }

// Gate is called before everything that the node sends or receives, also by other
// emulators on its behalf (its calls to engines and to the log, and their responses). It
// returns ctx's error if ctx has ended already. Otherwise it blocks while the node is
// frozen, even if ctx ends, because a paused process does not notice its deadline before
// it sends; it fails with ErrKilled once the node is killed.
func (e *Endpoint) Gate(ctx context.Context) error {
	if err := ctx.Err(); err != nil && !e.killed() {
		return fmt.Errorf("network: %s: %w", e.node.Name, err)
	}
	return e.awaitThaw()
}

// awaitThaw blocks while the endpoint is frozen; it may be frozen again meanwhile.
func (e *Endpoint) awaitThaw() error {
	for {
		if e.killed() {
			return fmt.Errorf("%w: %s", ErrKilled, e.node.Name)
		}
		e.mutex.Lock()
		thawed := e.thawed
		e.mutex.Unlock()
		if thawed == nil {
			return nil
		}
		select {
		case <-thawed:
		case <-e.lifetime.Done():
		}
	}
}

func (e *Endpoint) count(bytes int) {
	e.sent.Add(1)
	e.bytes.Add(int64(bytes))
}
