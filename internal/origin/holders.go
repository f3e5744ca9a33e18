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

// holdersOf returns up to count other nodes in the order in which they hold a stream's record.
// All nodes with the same members agree on the order, and a member that joins or ends moves few
// others. The first ones are spread over zones, with perZone at most in each.
func holdersOf(key Key, members []membership.Member, self identity.NodeName, count, perZone int) []identity.Node {
	type ranked struct {
		node  identity.Node
		score uint64
	}
	all := make([]ranked, 0, len(members))
	seed := xxhash.Sum64(key[:])
	for i := range members {
		if members[i].Node.Name != self {
			all = append(all, ranked{members[i].Node, mix(seed ^ xxhash.Sum64String(string(members[i].Node.Name)))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node.Name, b.node.Name))
	})
	inZone := map[identity.Zone]int{}
	first := make([]identity.Node, 0, min(count, len(all)))
	var rest []identity.Node
	for _, one := range all {
		if len(first) == count {
			break
		}
		if inZone[one.node.Zone] < perZone {
			inZone[one.node.Zone]++
			first = append(first, one.node)
		} else if len(rest) < count {
			rest = append(rest, one.node)
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
