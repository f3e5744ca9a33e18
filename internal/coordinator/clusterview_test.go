package coordinator

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

func largeView(count int) membership.View {
	view := membership.View{}
	for i := range count {
		view.Members = append(view.Members, membership.Member{
			Node: identity.Node{Name: identity.NodeName(fmt.Sprint("n", i)), Incarnation: identity.Incarnation(i)}, Status: membership.Alive,
		})
	}
	return view
}

// TestFirstCandidateHasHighestScore guards the placement of partitions, on which nodes of all
// versions must agree.
func TestFirstCandidateHasHighestScore(t *testing.T) {
	is := is.New(t)
	view := largeView(100)
	view.Members[3].Status, view.Members[4].Status = membership.Leaving, membership.Suspect
	placed := newClusterView(view, 24)
	for partition := range 24 {
		want, _ := membership.Highest(strconv.Itoa(partition), view.Members, membership.Member.Reachable)
		is.Equal(placed.ranked(partition, "n1", false)[0], want)
		is.Equal(placed.ranked(partition, "n1", false)[0], want) // cached
		if placed.ranked(partition, want.Name, true)[0] == want {
			t.Fatalf("%s is closing and still the first candidate of partition %d", want.Name, partition)
		}
	}
}

func TestIncarnationsOfMembers(t *testing.T) {
	is := is.New(t)
	view := largeView(3)
	placed := newClusterView(view, 24)
	is.True(placed.isMember(IncarnationOf(view.Members[1].Node.Reference())))
	is.True(!placed.isMember(IncarnationOf(identity.Reference{Name: "n1", Incarnation: 77})))
	is.Equal(len(placed.addresses("n1")), 2)
}

// BenchmarkHome measures the view's lookups for each turn, by number of members.
func BenchmarkHome(b *testing.B) {
	for _, count := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			placed := newClusterView(largeView(count), 24)
			incarnation := IncarnationOf(largeView(1).Members[0].Node.Reference())
			b.ReportAllocs()
			for i := range b.N {
				placed.ranked(i%24, "n1", false)
				placed.isMember(incarnation)
			}
		})
	}
}
