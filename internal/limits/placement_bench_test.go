package limits

import (
	"fmt"
	"testing"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/shares"
)

// BenchmarkAllocator measures the lookup of a tenant's allocator among 380 nodes.
func BenchmarkAllocator(b *testing.B) {
	p := newPlacement("n0")
	view := membership.View{}
	for i := range 380 {
		node := identity.Node{Name: identity.NodeName(fmt.Sprint("n", i)), Incarnation: 1}
		view.Members = append(view.Members, membership.Member{Node: node, Status: membership.Alive})
	}
	p.setView(view)
	p.setHolders([]shares.Holder{"n0", "n31", "n62", "n93", "n124", "n155", "n186", "n217", "n248", "n279", "n310", "n341"})
	b.ReportAllocs()
	for b.Loop() {
		if _, _, found := p.allocator(7, 0); !found {
			b.Fatal("no allocator found")
		}
	}
}
