package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// copies is the number of other nodes that hold a record. After the loss of half of all
	// nodes, one of them is left for 97 % of the records.
	copies = 5
	// queried is the number of nodes to ask for a record. It exceeds copies since nodes that
	// have started or ended meanwhile shift the ranks.
	queried = 8
	// copiesPerZone bounds the first holders in a zone, so that the loss of a zone leaves others.
	// One more is asked, since a node that started meanwhile may precede a holder of its zone.
	copiesPerZone  = 2
	queriedPerZone = copiesPerZone + 1
)

// memberSet is some members of a view, prepared for ranking. It is immutable.
type memberSet struct {
	nodes []identity.Node
	// hashes are those of the nodes' names, zones the indexes of their zones.
	hashes []uint64
	zones  []int
	// zoneCount is the number of zones.
	zoneCount int
}

func newMemberSet(members []membership.Member) *memberSet {
	made := &memberSet{}
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

// rankedMember is a node of a memberSet with its score for a key.
type rankedMember struct {
	index int
	score uint64
}

func compareRanks(a, b rankedMember) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// best returns the members with the highest scores for a key, at least count of each zone if it
// has as many, by rank.
func (s *memberSet) best(key Key, self identity.NodeName, count int) []rankedMember {
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

// holders returns up to count other nodes in the order in which they hold a stream's record. All
// nodes with the same members agree on the order, and a member that joins or ends moves few
// others. The first ones are spread over zones, with perZone at most in each.
func (s *memberSet) holders(key Key, self identity.NodeName, count, perZone int) []identity.Node {
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
