package membership

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
)

func TestRemovedMemberMovesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	var members []Member
	for i := range 10 {
		members = append(members, Member{Node: identity.Node{Name: identity.NodeName(fmt.Sprint("n", i))}, Status: Alive})
	}
	all := func(Member) bool { return true }
	_, found := Highest("k", nil, all)
	is.True(!found)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		before, found := Highest(key, members, all)
		is.True(found)
		after, found := Highest(key, members, func(member Member) bool { return member.Node.Name != "n3" })
		is.True(found)
		if before != after {
			is.Equal(before.Name, identity.NodeName("n3"))
			moved++
		}
	}
	is.True(moved > 50 && moved < 150) // about a tenth
}
