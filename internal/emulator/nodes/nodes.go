// Package nodes emulates nodes that call each other within one process, over links that can be cut.
package nodes

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// Network connects nodes. It is safe for concurrent use.
type Network struct {
	// delay is added to each call.
	delay time.Duration

	// mutex guards the fields below.
	mutex sync.Mutex
	nodes map[netip.AddrPort]*Node
	// partition holds the partition of each node; nodes of different ones can't reach each other.
	partition map[identity.NodeName]int
	// loses reports whether a call is lost; nil means that none is.
	loses func(from, to identity.NodeName, request peer.Message) bool
	calls map[peer.Kind]int
	bytes int
}

// Node is an incarnation of a node. Handlers are registered in Registry.
type Node struct {
	identity.Node
	Registry *peer.Registry

	network *Network
	// down is set once the incarnation has ended, old if it knows none of the messages. The network's
	// mutex guards them.
	down, old bool
}

// NewNetwork returns a network without nodes.
func NewNetwork(delay time.Duration) *Network {
	return &Network{delay: delay, nodes: map[netip.AddrPort]*Node{}, partition: map[identity.NodeName]int{}, calls: map[peer.Kind]int{}}
}

// Name returns the name of the node with a number.
func Name(number int) identity.NodeName { return identity.NodeName(fmt.Sprint("n", number)) }

// AddressOf returns the peer address of the node with a name.
func AddressOf(name identity.NodeName) netip.AddrPort {
	var number uint16
	_, _ = fmt.Sscanf(string(name), "n%d", &number)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 1)
}

// Start starts an incarnation of the node with a number, in one of three zones. It replaces the one
// before.
func (n *Network) Start(number int) *Node {
	name := Name(number)
	started := &Node{
		Node: identity.Node{
			Name: name, Zone: identity.Zone(fmt.Sprint("z", number%3)), PeerAddress: AddressOf(name), Incarnation: identity.Incarnation(time.Now().UnixNano()),
		},
		Registry: peer.NewRegistry(), network: n,
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nodes[started.PeerAddress] = started
	return started
}

// Stop ends the incarnation; the others are not told.
func (o *Node) Stop() {
	o.network.mutex.Lock()
	defer o.network.mutex.Unlock()
	o.down = true
}

// Down reports whether the incarnation has ended.
func (o *Node) Down() bool {
	o.network.mutex.Lock()
	defer o.network.mutex.Unlock()
	return o.down
}

// SetOld makes the node one of a build that knows none of the messages.
func (o *Node) SetOld() {
	o.network.mutex.Lock()
	defer o.network.mutex.Unlock()
	o.old = true
}

// Cut moves a node to a partition; all begin in partition 0.
func (n *Network) Cut(name identity.NodeName, partition int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partition[name] = partition
}

// Lose loses the calls that a function chooses, which nothing tells their callers; nil means none.
func (n *Network) Lose(loses func(from, to identity.NodeName, request peer.Message) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.loses = loses
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.partition)
}

// PartitionOf returns the partition of a node.
func (n *Network) PartitionOf(name identity.NodeName) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.partition[name]
}

// View returns the nodes that run in a partition.
func (n *Network) View(partition int) membership.View {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var view membership.View
	for i := range len(n.nodes) {
		if node := n.nodes[AddressOf(Name(i))]; node != nil && !node.down && n.partition[node.Name] == partition {
			view.Members = append(view.Members, membership.Member{Node: node.Node, Status: membership.Alive})
		}
	}
	return view
}

// Calls returns the number of calls of a kind.
func (n *Network) Calls(kind peer.Kind) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.calls[kind]
}

// Reset returns the number of all calls, and of the bytes of their requests and responses, and counts
// anew.
func (n *Network) Reset() (calls, bytes int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, count := range n.calls {
		calls += count
	}
	bytes = n.bytes
	clear(n.calls)
	n.bytes = 0
	return calls, bytes
}

// Client returns the client of an incarnation, which reaches nobody once that has ended.
func (o *Node) Client() peer.Client { return client{o} }

type client struct{ self *Node }

var errDown = fmt.Errorf("%w: down", peer.ErrUnreachable)

// Call implements peer.Client.
func (c client) Call(ctx context.Context, address netip.AddrPort, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	network := c.self.network
	time.Sleep(network.delay)
	encoded := Encode(request)
	target, err := network.target(c.self, address, request, len(encoded))
	if err != nil {
		return nil, err
	}
	if target == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	decoded, err := target.Registry.Decode(request.Kind(), encoded)
	if err != nil {
		return nil, err
	}
	answer, err := target.Registry.Handler(request.Kind()).Handle(ctx, decoded, nil)
	if err != nil {
		return nil, err
	}
	response := Encode(answer)
	network.mutex.Lock()
	network.bytes += len(response)
	network.mutex.Unlock()
	return target.Registry.Decode(answer.Kind(), response)
}

// target returns the node at an address, or nil if it can't be reached and nothing tells so.
func (n *Network) target(from *Node, address netip.AddrPort, request peer.Message, bytes int) (*Node, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.calls[request.Kind()]++
	n.bytes += bytes
	found := n.nodes[address]
	switch {
	case found == nil || n.partition[from.Name] != n.partition[found.Name]:
		return nil, nil
	case found.down || from.down:
		return nil, errDown
	case found.old:
		return nil, peer.ErrUnknownKind
	case n.loses != nil && n.loses(from.Name, found.Name, request):
		return nil, nil
	}
	return found, nil
}

// Encode returns the fields of a message.
func Encode(message peer.Message) []byte {
	encoder := wire.NewEncoder(nil)
	message.Encode(encoder)
	return encoder.Bytes()
}
