package limits

import (
	"fmt"
	"testing"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// BenchmarkAllocator measures the lookup of a tenant's allocator among 380 nodes.
func BenchmarkAllocator(b *testing.B) {
	p := newPlacement("n0")
	view := membership.View{}
	for i := range 380 {
		node := identity.Node{Name: identity.NodeName(fmt.Sprint("n", i)), Incarnation: 1}
		view.Members = append(view.Members, membership.Member{Node: node, Status: membership.Alive})
	}
	p.setView(view, 0)
	b.ReportAllocs()
	for b.Loop() {
		if p.allocator("acme", 0).Name == "" {
			b.Fatal("no allocator found")
		}
	}
}
