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

// ErrKilled tells that the node itself was killed: nothing it does reaches
// anything any more.
var ErrKilled = errors.New("network: this node was killed")

// Endpoint is one life of one node on the network. It implements peer.Client
// for the node's calls and gives its datagram socket.
//
// A killed endpoint never comes back; a restart is a new Join. A frozen one
// behaves like a stopped process: whatever it was about to send leaves after the
// thaw, even if deadlines have passed meanwhile, and what arrives waits.
type Endpoint struct {
	network  *Network
	node     identity.Node
	registry *peer.Registry
	packets  *PacketConn
	// life ends when the endpoint is killed.
	life  context.Context
	death context.CancelFunc

	serving atomic.Bool
	sent    atomic.Int64
	bytes   atomic.Int64

	// mutex guards thawed: nil while running, else closed at the thaw.
	mutex  sync.Mutex
	thawed chan struct{}
}

func newEndpoint(network *Network, node identity.Node, registry *peer.Registry) *Endpoint {
	endpoint := &Endpoint{network: network, node: node, registry: registry}
	endpoint.life, endpoint.death = context.WithCancel(context.Background())
	endpoint.packets = newPacketConn(endpoint)
	return endpoint
}

// Node returns the life of the node that the endpoint stands for.
func (e *Endpoint) Node() identity.Node { return e.node }

// Serve begins to take calls. The registry must be complete by now.
func (e *Endpoint) Serve() { e.serving.Store(true) }

// Done is closed when the endpoint is killed.
func (e *Endpoint) Done() <-chan struct{} { return e.life.Done() }

// Packets returns the endpoint's datagram socket.
func (e *Endpoint) Packets() *PacketConn { return e.packets }

// Sent returns how many messages and datagrams, and bytes of them, the endpoint sent.
func (e *Endpoint) Sent() (messages, bytes int64) { return e.sent.Load(), e.bytes.Load() }

// Kill ends this life: its calls in and out fail, its handlers' contexts end,
// and nothing that it sends from now on leaves.
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

// Thaw lets a frozen endpoint go on.
func (e *Endpoint) Thaw() {
	e.mutex.Lock()
	if e.thawed != nil {
		close(e.thawed)
		e.thawed = nil
	}
	e.mutex.Unlock()
	e.network.change(func() {})
}

// Frozen tells whether the endpoint is frozen.
func (e *Endpoint) Frozen() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.thawed != nil
}

func (e *Endpoint) killed() bool { return e.life.Err() != nil }

// Gate is passed by everything that the node sends or takes in, also by other
// stand-ins on its behalf (its calls to engines and to the log, and their
// answers). It returns ctx's error if ctx has ended already. Otherwise it waits
// while the node is frozen, whatever becomes of ctx, because a stopped process
// does not notice its deadline before it sends; it fails with ErrKilled once
// the node is killed.
func (e *Endpoint) Gate(ctx context.Context) error {
	if err := ctx.Err(); err != nil && !e.killed() {
		return fmt.Errorf("network: %s: %w", e.node.Name, err)
	}
	return e.awaitThaw()
}

// awaitThaw waits while the endpoint is frozen; it may be frozen again meanwhile.
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
		case <-e.life.Done():
		}
	}
}

func (e *Endpoint) count(bytes int) {
	e.sent.Add(1)
	e.bytes.Add(int64(bytes))
}
