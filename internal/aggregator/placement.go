package aggregator

import (
	"net/netip"
	"sync"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// Placement maps replicas to their aggregators by rendezvous hashing over the alive members
// in the replica's zone, or over all alive members if there are none in the zone. A member
// that joins or leaves moves only its own replicas. It is safe for concurrent use.
type Placement struct {
	self identity.NodeName

	// mutex guards all fields below.
	mutex   sync.Mutex
	members []membership.Member
	// zones holds the members by zone, so that a lookup ranks only those of one zone.
	zones map[string][]membership.Member
	// cached holds the aggregators by replica until the members change.
	cached map[string]identity.Node
}

// NewPlacement returns a placement that maps all replicas to this node until SetView is
// called.
func NewPlacement(self identity.NodeName) *Placement {
	return &Placement{self: self, cached: map[string]identity.Node{}}
}

// SetView sets the members.
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
	clear(p.cached)
}

// AggregatorOf returns the address of a replica's aggregator. self reports whether it is
// this node.
func (p *Placement) AggregatorOf(instance, zone string) (address netip.Addr, self bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	node, found := p.cached[instance]
	if !found {
		node = p.choose(instance, zone)
		p.cached[instance] = node
	}
	return node.PeerAddress.Addr(), node.Name == p.self || node.Name == ""
}

// choose returns the aggregator of a replica. The caller must hold the mutex.
func (p *Placement) choose(instance, zone string) identity.Node {
	all := func(membership.Member) bool { return true }
	if node, found := membership.Highest(instance, p.zones[zone], all); found {
		return node
	}
	node, _ := membership.Highest(instance, p.members, all)
	return node
}
