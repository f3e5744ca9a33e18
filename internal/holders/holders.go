// Package holders copies records to a few nodes that any node finds from a record's key alone, by
// rendezvous hashing over the members.
package holders

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// Copies is the number of other nodes that hold a record. After the loss of half of all
	// nodes, one of them is left for 97 % of the records.
	Copies = 5
	// Queried is the number of nodes to ask for a record. It exceeds Copies since nodes that
	// have started or ended meanwhile shift the ranks.
	Queried = 8
	// CopiesPerZone bounds the first holders in a zone, so that the loss of a zone leaves others.
	// One more is asked, since a node that started meanwhile may precede a holder of its zone.
	CopiesPerZone = 2
	// QueriedPerZone bounds the first nodes to ask in a zone.
	QueriedPerZone = CopiesPerZone + 1
)

// Key identifies a record.
type Key [16]byte

// Members are the members of a view.
type Members struct {
	// All are all members, Reachable those that may store records: others stop.
	All, Reachable *Set
}

// Count returns the number of all members.
func (m *Members) Count() int { return len(m.All.nodes) }

// MembersOf returns the members of a view.
func MembersOf(view membership.View) *Members {
	reachable := lo.Filter(view.Members, func(member membership.Member, _ int) bool { return member.Reachable() })
	return &Members{All: NewSet(view.Members), Reachable: NewSet(reachable)}
}

// Set is some members of a view, prepared for ranking. It is immutable.
type Set struct {
	nodes []identity.Node
	// hashes are those of the nodes' names, zones the indexes of their zones.
	hashes []uint64
	zones  []int
	// zoneCount is the number of zones.
	zoneCount int
}

// NewSet returns a set of members.
func NewSet(members []membership.Member) *Set {
	made := &Set{}
	indexes := map[identity.Zone]int{}
	for i := range members {
		node := members[i].Node
		index, known := indexes[node.Zone]
		if !known {
			index = len(indexes)
			indexes[node.Zone] = index
		}
		made.nodes = append(made.nodes, node)
		made.hashes = append(made.hashes, xxhash.Sum64String(string(node.Name)))
		made.zones = append(made.zones, index)
	}
	made.zoneCount = len(indexes)
	return made
}

// Nodes returns the members. The caller must not modify the slice.
func (s *Set) Nodes() []identity.Node { return s.nodes }

// rankedMember is a node of a Set with its score for a key.
type rankedMember struct {
	index int
	score uint64
}

func compareRanks(a, b rankedMember) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// best returns the members with the highest scores for a key, at least count of each zone if it
// has as many, by rank.
func (s *Set) best(key Key, self identity.NodeName, count int) []rankedMember {
	seed := xxhash.Sum64(key[:])
	perZone := make([][]rankedMember, s.zoneCount)
	for i, hash := range s.hashes {
		one := rankedMember{i, mix(seed ^ hash)}
		zone := perZone[s.zones[i]]
		if len(zone) == count && compareRanks(one, zone[count-1]) > 0 || s.nodes[i].Name == self {
			continue
		}
		place, _ := slices.BinarySearchFunc(zone, one, compareRanks)
		zone = slices.Insert(zone, place, one)
		perZone[s.zones[i]] = zone[:min(len(zone), count)]
	}
	all := slices.Concat(perZone...)
	slices.SortFunc(all, compareRanks)
	return all
}

// Rank returns up to count nodes other than self in the order in which they hold a record. All
// nodes with the same members agree on the order, and a member that joins or ends moves few
// others. The first ones are spread over zones, with perZone at most in each.
func (s *Set) Rank(key Key, self identity.NodeName, count, perZone int) []identity.Node {
	inZone := make([]int, s.zoneCount)
	first := make([]identity.Node, 0, count)
	var rest []identity.Node
	for _, one := range s.best(key, self, count) {
		zone := s.zones[one.index]
		switch {
		case len(first) == count:
			return first
		case inZone[zone] < perZone:
			inZone[zone]++
			first = append(first, s.nodes[one.index])
		case len(rest) < count:
			rest = append(rest, s.nodes[one.index])
		}
	}
	return append(first, rest[:min(len(rest), count-len(first))]...)
}

// mix is the finalizer of MurmurHash3.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
