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

// member returns node number i of a site of five zones, of which every fifth node is large.
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

func TestSmallSitesReadTheStoreThemselves(t *testing.T) {
	is := is.New(t)
	policy := Policy{DirectEntries: 200_000, ReadEntries: 20_000}
	is.Equal(policy.Readers(100, 100), 100)
	is.Equal(policy.Readers(295, 140), 295)
	is.Equal(policy.Readers(984, 10_000), leastReaders)
	is.Equal(policy.Readers(1000, 1000), 20)
	is.Equal(policy.Readers(1, 1_000_000), 1)
	place := NewPlan("n0003", members(10)).Role(10)
	is.True(place.Reads && place.All)
	is.Equal(place.Tier, 0)
}

// TestTreesAreFlatAndEven: of 1,000 nodes each is asked by few, none is far from a reader,
// the inner ones are the large ones, and readers lie in different zones.
func TestTreesAreFlatAndEven(t *testing.T) {
	is := is.New(t)
	all := members(1000)
	asked := map[netip.AddrPort]int{}
	readers := map[identity.Zone]int{}
	for _, one := range all {
		place := NewPlan(one.Node.Name, all).Role(3)
		if place.Reads {
			readers[one.Node.Zone]++
			continue
		}
		is.True(place.Tier <= 4)
		asked[place.Parents[0]]++
	}
	is.Equal(len(readers), 3)
	for i, one := range all {
		is.True(asked[address(i)] <= 2*fanOut)
		if asked[address(i)] > 0 {
			is.Equal(one.Load, uint32(800))
		}
	}
}

// TestNobodyWaitsForThoseThatWaitForIt: whatever part of the members two nodes know, never
// does each hear from the other, since parents go before in a rank that all agree on.
func TestNobodyWaitsForThoseThatWaitForIt(t *testing.T) {
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
				t.Fatalf("%s hears from %s, which comes later", all[i].Node.Name, late.Node.Name)
			}
		}
	})
}

// laterParent returns a parent of the first of the known members that lies in its zone and
// comes after it in rank, if there is one.
func laterParent(known []membership.Member, readers int) (membership.Member, bool) {
	own := known[0]
	place := NewPlan(own.Node.Name, known).Role(readers)
	if place.Reads {
		return membership.Member{}, false
	}
	for _, parent := range place.Parents {
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
