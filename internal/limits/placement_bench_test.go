package limits

import (
	"fmt"
	"testing"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// BenchmarkAllocator looks for the allocator of a tenant among 380 nodes, as each question
// to an allocator does at either side.
func BenchmarkAllocator(b *testing.B) {
	placed := newPlacement("n0")
	view := membership.View{}
	for i := range 380 {
		node := identity.Node{Name: identity.NodeName(fmt.Sprint("n", i)), Incarnation: 1}
		view.Members = append(view.Members, membership.Member{Node: node, Status: membership.Alive})
	}
	placed.setView(view, 0)
	b.ReportAllocs()
	for b.Loop() {
		if placed.allocator("acme", 0).Name == "" {
			b.Fatal("none")
		}
	}
}
