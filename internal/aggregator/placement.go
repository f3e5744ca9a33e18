package aggregator

import (
	"net/netip"
	"sync"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// Placement tells which node keeps a replica: of the members that live in the
// replica's zone, or of all where none does, the one of the highest hash together
// with the replica (rendezvous hashing), so that a member that comes or goes moves
// only its own share. It is safe for concurrent use.
type Placement struct {
	self identity.NodeName

	// mutex guards all below.
	mutex   sync.Mutex
	members []membership.Member
	// zones holds the members by zone, so that a look-up ranks those of one zone alone.
	zones map[string][]membership.Member
	// known remembers the keepers by replica until the members change.
	known map[string]identity.Node
}

// NewPlacement returns a placement by which this node keeps all replicas, until
// SetView.
func NewPlacement(self identity.NodeName) *Placement {
	return &Placement{self: self, known: map[string]identity.Node{}}
}

// SetView tells which nodes live.
func (p *Placement) SetView(view membership.View) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.members, p.zones = p.members[:0], map[string][]membership.Member{}
	for _, member := range view.Members {
		if member.Status == membership.Alive {
			p.members = append(p.members, member)
			zone := string(member.Node.Zone)
			p.zones[zone] = append(p.zones[zone], member)
		}
	}
	clear(p.known)
}

// AggregatorOf returns the address of the node that keeps a replica; self where it is this
// node.
func (p *Placement) AggregatorOf(instance, zone string) (address netip.Addr, self bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	node, found := p.known[instance]
	if !found {
		node = p.choose(instance, zone)
		p.known[instance] = node
	}
	return node.PeerAddress.Addr(), node.Name == p.self || node.Name == ""
}

// choose needs the mutex.
func (p *Placement) choose(instance, zone string) identity.Node {
	all := func(membership.Member) bool { return true }
	if node, found := membership.Highest(instance, p.zones[zone], all); found {
		return node
	}
	node, _ := membership.Highest(instance, p.members, all)
	return node
}
