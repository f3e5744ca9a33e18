package distribution

import (
	"cmp"
	"net/netip"
	"slices"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// headsPerZone is how many nodes of a zone ask the readers, so that a zone goes on
	// while one of them is gone.
	headsPerZone = 2
	// fanOut is how many nodes ask one node. With 8, a zone of 200 nodes is three steps
	// deep, and its inner nodes are its 25 largest.
	fanOut = 8
	// leastReaders is how many nodes read the store however many entries there are.
	leastReaders = 2
)

// Policy says how many nodes read the store themselves.
type Policy struct {
	// DirectEntries is up to how many entries, over all nodes, all nodes read the store.
	DirectEntries int
	// ReadEntries is how many entries the readers may read together beyond that.
	ReadEntries int
}

// Readers returns how many of the nodes read topics with a number of entries.
func (p Policy) Readers(nodes, entries int) int {
	if nodes*entries <= p.DirectEntries {
		return nodes
	}
	return min(max(p.ReadEntries/entries, leastReaders), nodes)
}

// Role is a node's place in the distribution.
type Role struct {
	// Reads tells that it reads the store.
	Reads bool
	// All tells that all nodes do.
	All bool
	// Tier is how many nodes there are between it and a reader, and 0 at a reader.
	Tier int
	// Parents are the nodes to hear from, the best first. All of them go before this node
	// in rank, so that two never wait for each other.
	Parents []netip.AddrPort
}

// Plan places the nodes of a site by the members that one node knows.
type Plan struct {
	self identity.NodeName
	// order holds the living members by rank, zones holds them by zone.
	order []ranked
	zones map[identity.Zone][]ranked
}

type ranked struct {
	name     identity.NodeName
	zone     identity.Zone
	address  netip.AddrPort
	capacity uint32
	score    uint64
	// inZone is how many of its zone go before it.
	inZone int
}

// rankKey is what nodes are ranked for.
const rankKey = "distribution"

// NewPlan ranks the members that live: those with more processor first, equals by hash.
func NewPlan(self identity.NodeName, members []membership.Member) *Plan {
	plan := &Plan{self: self, zones: map[identity.Zone][]ranked{}}
	for _, member := range members {
		if member.Status != membership.Alive && member.Node.Name != self {
			continue
		}
		plan.order = append(plan.order, ranked{
			name: member.Node.Name, zone: member.Node.Zone, address: member.Node.PeerAddress,
			capacity: member.Load, score: membership.Score(rankKey, member.Node.Name),
		})
	}
	slices.SortFunc(plan.order, compareRanked)
	for i := range plan.order {
		one := &plan.order[i]
		one.inZone = len(plan.zones[one.zone])
		plan.zones[one.zone] = append(plan.zones[one.zone], *one)
	}
	// The first of each zone go before the second ones, so that readers lie in many zones.
	slices.SortStableFunc(plan.order, func(a, b ranked) int { return cmp.Compare(a.inZone, b.inZone) })
	return plan
}

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// Size returns how many nodes are placed.
func (p *Plan) Size() int { return len(p.order) }

// Role returns this node's place among a number of readers.
func (p *Plan) Role(readers int) Role {
	readers = min(readers, len(p.order))
	self, found := p.find()
	if !found {
		return Role{}
	}
	place := Role{All: readers == len(p.order)}
	for i, reader := range p.order[:readers] {
		if reader.name == p.self {
			place.Reads = true
			continue
		}
		// Each node has another reader first.
		if (int(self.score)&0xffff+i)%max(readers, 1) == 0 {
			place.Parents = append([]netip.AddrPort{reader.address}, place.Parents...)
		} else if len(place.Parents) < fanOut {
			place.Parents = append(place.Parents, reader.address)
		}
	}
	if place.Reads {
		return place
	}
	place.Tier = 1
	if self.inZone >= headsPerZone {
		place.Parents = append(p.parents(self), place.Parents...)
		place.Tier = tier(self.inZone)
	}
	return place
}

func (p *Plan) find() (ranked, bool) {
	for _, one := range p.order {
		if one.name == p.self {
			return one, true
		}
	}
	return ranked{}, false
}

// parents returns whom a node below the heads asks: its own parent, the one beside that,
// and the heads.
func (p *Plan) parents(self ranked) []netip.AddrPort {
	zone := p.zones[self.zone]
	first := parentOf(self.inZone)
	var parents []netip.AddrPort
	for _, index := range []int{first, first ^ 1, 0, 1} {
		if address := zone[min(index, self.inZone-1)].address; !slices.Contains(parents, address) {
			parents = append(parents, address)
		}
	}
	return parents
}

// parentOf returns the place in its zone of the node that a node below the heads asks.
func parentOf(inZone int) int { return (inZone - headsPerZone) / fanOut }

// tier returns how many nodes there are between a node and a reader.
func tier(inZone int) int {
	steps := 1
	for inZone >= headsPerZone {
		inZone = parentOf(inZone)
		steps++
	}
	return steps
}
