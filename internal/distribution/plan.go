package distribution

import (
	"cmp"
	"net/netip"
	"slices"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// headsPerZone is the number of nodes in each zone that pull from readers, so that a
	// zone stays connected if one of them fails.
	headsPerZone = 2
	// fanOut is the number of nodes that pull from one node. With 8, the tree of a zone of
	// 200 nodes has three levels, and its inner nodes are the 25 largest.
	fanOut = 8
	// minReaders is the number of readers however many entries there are.
	minReaders = 2
)

// Policy determines how many nodes read the store.
type Policy struct {
	// DirectEntries is the number of entries, summed over all nodes, up to which all nodes
	// read the store.
	DirectEntries int
	// ReadEntries is the number of entries that the readers may read in total above that.
	ReadEntries int
}

// Readers returns the number of readers among the nodes, for topics with the given number
// of entries.
func (p Policy) Readers(nodes, entries int) int {
	if nodes*entries <= p.DirectEntries {
		return nodes
	}
	return min(max(p.ReadEntries/entries, minReaders), nodes)
}

// Role is a node's role in the distribution tree.
type Role struct {
	// Reads is set if the node reads the store.
	Reads bool
	// All is set if all nodes read the store.
	All bool
	// Tier is the number of hops to a reader; 0 at a reader.
	Tier int
	// Parents are the nodes to pull from, in order of preference. They all precede this
	// node in rank, so that no two nodes wait for each other.
	Parents []netip.AddrPort
}

// Plan assigns roles to the nodes of a site according to the members that one node knows.
type Plan struct {
	self identity.NodeName
	// order contains the live members by rank; zones groups them by zone.
	order []ranked
	zones map[identity.Zone][]ranked
}

type ranked struct {
	name     identity.NodeName
	zone     identity.Zone
	address  netip.AddrPort
	capacity uint32
	score    uint64
	// inZone is the node's rank within its zone, from 0.
	inZone int
}

// rankKey is the hash key by which nodes are ranked.
const rankKey = "distribution"

// NewPlan ranks the live members by capacity, then by hash.
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
	// The first nodes of all zones precede the second ones, so that readers are spread over
	// many zones.
	slices.SortStableFunc(plan.order, func(a, b ranked) int { return cmp.Compare(a.inZone, b.inZone) })
	return plan
}

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// Size returns the number of ranked nodes.
func (p *Plan) Size() int { return len(p.order) }

// Role returns this node's role, given the number of readers.
func (p *Plan) Role(readers int) Role {
	readers = min(readers, len(p.order))
	self, found := p.find()
	if !found {
		return Role{}
	}
	role := Role{All: readers == len(p.order)}
	for i, reader := range p.order[:readers] {
		if reader.name == p.self {
			role.Reads = true
			continue
		}
		// Nodes prefer different readers, chosen by hash.
		if (int(self.score)&0xffff+i)%max(readers, 1) == 0 {
			role.Parents = append([]netip.AddrPort{reader.address}, role.Parents...)
		} else if len(role.Parents) < fanOut {
			role.Parents = append(role.Parents, reader.address)
		}
	}
	if role.Reads {
		return role
	}
	role.Tier = 1
	if self.inZone >= headsPerZone {
		role.Parents = append(p.parents(self), role.Parents...)
		role.Tier = tier(self.inZone)
	}
	return role
}

func (p *Plan) find() (ranked, bool) {
	for _, one := range p.order {
		if one.name == p.self {
			return one, true
		}
	}
	return ranked{}, false
}

// parents returns the sources of a node below the zone heads: its own parent, that one's
// sibling, and the heads.
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

// parentOf returns the rank in its zone of the parent of a node below the heads.
func parentOf(inZone int) int { return (inZone - headsPerZone) / fanOut }

// tier returns the number of hops between a node and a reader.
func tier(inZone int) int {
	steps := 1
	for inZone >= headsPerZone {
		inZone = parentOf(inZone)
		steps++
	}
	return steps
}
