package routednode

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/settings"
)

func TestNodesAgreeOnFrequentReaders(t *testing.T) {
	is := is.New(t)
	view := membership.View{}
	for i := range 20 {
		view.Members = append(view.Members, membership.Member{Node: identity.Node{Name: identity.NodeName(fmt.Sprint("n", i))}, Status: membership.Alive})
	}
	settled := settings.DefaultRouted()
	settled.Keys.Revocation = 5 * time.Second
	often := 0
	for _, member := range view.Members {
		one := &frequentReader{self: member.Node.Name}
		is.Equal(one.wait(settings.DefaultRouted()), time.Second)
		one.SetView(view)
		if one.wait(settled) < 200*time.Millisecond {
			often++
		}
		is.Equal(one.wait(settings.DefaultRouted()), time.Second) // without a lease, no node reads often
		one.SetView(membership.View{Members: []membership.Member{member}})
		is.True(one.wait(settled) < 200*time.Millisecond) // the only member
	}
	is.Equal(often, frequentReaderCount)
}
