package distribution

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// member returns node i of a site of five zones, in which every fifth node is large.
func member(i int) membership.Member {
	capacity := uint32(192)
	if i/5%5 == 0 {
		capacity = 800
	}
	return membership.Member{Status: membership.Alive, Load: capacity, Node: identity.Node{
		Name: identity.NodeName(fmt.Sprintf("n%04d", i)), Zone: identity.Zone(fmt.Sprintf("z%d", i%5)), PeerAddress: address(i),
	}}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7)
}

func members(count int) []membership.Member {
	all := make([]membership.Member, 0, count)
	for i := range count {
		all = append(all, member(i))
	}
	return all
}

func TestAllNodesOfSmallSitesRead(t *testing.T) {
	is := is.New(t)
	policy := Policy{DirectEntries: 200_000, ReadEntries: 20_000}
	is.Equal(policy.Readers(100, 100), 100)
	is.Equal(policy.Readers(295, 140), 295)
	is.Equal(policy.Readers(984, 10_000), minReaders)
	is.Equal(policy.Readers(1000, 1000), 20)
	is.Equal(policy.Readers(1, 1_000_000), 1)
	role := NewPlan("n0003", members(10)).Role(10)
	is.True(role.Reads && role.All)
	is.Equal(role.Tier, 0)
}

// TestTreesAreBalanced checks for 1,000 nodes that each serves few others, that none is far
// from a reader, that the inner nodes are the large ones, and that readers are in different
// zones.
func TestTreesAreBalanced(t *testing.T) {
	is := is.New(t)
	all := members(1000)
	children := map[netip.AddrPort]int{}
	readers := map[identity.Zone]int{}
	for _, one := range all {
		role := NewPlan(one.Node.Name, all).Role(3)
		if role.Reads {
			readers[one.Node.Zone]++
			continue
		}
		is.True(role.Tier <= 4)
		children[role.Parents[0]]++
	}
	is.Equal(len(readers), 3)
	for i, one := range all {
		is.True(children[address(i)] <= 2*fanOut)
		if children[address(i)] > 0 {
			is.Equal(one.Load, uint32(800))
		}
	}
}

// TestParentsPrecedeTheirChildrenInRank guards against cycles: whichever members two nodes
// know, they never pull from each other.
func TestParentsPrecedeTheirChildrenInRank(t *testing.T) {
	all := members(60)
	rapid.Check(t, func(t *rapid.T) {
		readers := rapid.IntRange(1, 5).Draw(t, "readers")
		for i := range all {
			known := []membership.Member{all[i]}
			for _, j := range rapid.SliceOfN(rapid.IntRange(0, len(all)-1), 0, 30).Draw(t, "known") {
				if !slices.ContainsFunc(known, func(m membership.Member) bool { return m.Node == all[j].Node }) {
					known = append(known, all[j])
				}
			}
			if late, found := laterParent(known, readers); found {
				t.Fatalf("%s pulls from %s, which has a lower rank", all[i].Node.Name, late.Node.Name)
			}
		}
	})
}

// laterParent returns a parent of known[0] in the same zone that does not precede it in
// rank, if there is one.
func laterParent(known []membership.Member, readers int) (membership.Member, bool) {
	own := known[0]
	role := NewPlan(own.Node.Name, known).Role(readers)
	if role.Reads {
		return membership.Member{}, false
	}
	for _, parent := range role.Parents {
		at := slices.IndexFunc(known, func(m membership.Member) bool { return m.Node.PeerAddress == parent })
		if known[at].Node.Zone == own.Node.Zone && compareRanked(rankedOf(known[at]), rankedOf(own)) >= 0 {
			return known[at], true
		}
	}
	return membership.Member{}, false
}

func rankedOf(one membership.Member) ranked {
	return ranked{name: one.Node.Name, capacity: one.Load, score: membership.Score(rankKey, one.Node.Name)}
}
