package shares

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// viewOf returns a view of nodes by name; the first letter of a name is the node's zone.
func viewOf(names ...Holder) membership.View {
	view := membership.View{}
	for _, name := range names {
		view.Members = append(view.Members, membership.Member{
			Node: identity.Node{Name: identity.NodeName(name), Zone: identity.Zone(name[:1]), Incarnation: 1}, Status: membership.Alive,
		})
	}
	return view
}

func TestFirstTableSpreadsOverZonesAndPrefersCapacity(t *testing.T) {
	is := is.New(t)
	view := viewOf("a1", "a2", "a3", "b1", "b2", "c1")
	view.Members[2].Load, view.Members[4].Load = 800, 800
	p := newPlanner(4)
	is.Equal(p.first(time.Hour), nil)
	p.setView(view, time.Hour)
	is.Equal(p.first(time.Hour), nil) // others may not be known yet
	holders := p.first(time.Hour + firstTableDelay)
	is.Equal(len(holders), 4)
	for _, name := range []Holder{"a3", "b2", "c1"} {
		is.True(slices.Contains(holders, name))
	}
}

func TestLoneNodeWaitsLongerForOthers(t *testing.T) {
	is := is.New(t)
	p := newPlanner(4)
	p.setView(viewOf("a1"), time.Hour)
	is.Equal(p.first(time.Hour+firstTableDelay), nil)
	is.Equal(p.first(time.Hour+aloneDelay), []Holder{"a1"})
}

func TestMissingHolderIsReplaced(t *testing.T) {
	holders := []Holder{"a1", "a2", "b1", "c1"}
	for name, test := range map[string]struct {
		members  []Holder
		after    time.Duration
		expected []Holder
	}{
		"soon, it may return":                {[]Holder{"a1", "a2", "b1", "b2"}, replaceAfter - time.Second, nil},
		"later":                              {[]Holder{"a1", "a2", "b1", "b2"}, replaceAfter, []Holder{"a1", "a2", "b1", "b2"}},
		"without a substitute":               {[]Holder{"a1", "a2", "b1"}, replaceAfter, []Holder{"a1", "a2", "b1"}},
		"half of them, perhaps a partition":  {[]Holder{"a1", "a2", "b2"}, replaceAfter, nil},
		"half of them, for long":             {[]Holder{"a1", "a2", "b2"}, replaceMinorityAfter, []Holder{"a1", "a2", "b2"}},
		"all of them, perhaps a partition":   {[]Holder{"b2", "b3"}, replaceAfter, nil},
		"none, and none is to be added":      {holders, time.Hour, nil},
		"one that leaves is not replaced":    {[]Holder{"a1", "a2", "b1", "c1", "b2"}, time.Hour, nil},
		"all of them, for long":              {[]Holder{"b2"}, replaceMinorityAfter, []Holder{"b2"}},
		"one, but the others have come late": {[]Holder{"a1", "a2", "b1"}, replaceAfter / 2, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPlanner(4)
			p.setView(viewOf("a1", "a2", "b1", "c1", "b2", "b3"), 0)
			lostAt := time.Minute
			p.setView(viewOf(test.members...), lostAt)
			is.Equal(p.next(holders, lostAt+test.after), test.expected)
		})
	}
}

// A node that has moved to another address holds no share there, and its former process may
// still run. Its name alone must not keep the share with a process that others cannot reach.
func TestMovedHolderIsReplaced(t *testing.T) {
	is := is.New(t)
	p := newPlanner(2)
	at := func(name identity.NodeName, port uint16) membership.Member {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port)
		return membership.Member{Node: identity.Node{Name: name, Zone: "z", PeerAddress: address}, Status: membership.Alive}
	}
	p.setView(membership.View{Members: []membership.Member{at("a", 1), at("b", 2)}}, 0)
	is.Equal(p.next([]Holder{"a", "b"}, addAfter), nil) // a table without addresses stands
	p.setView(membership.View{Members: []membership.Member{at("a", 3), at("b", 2)}}, addAfter)
	holders := []Holder{"a@10.0.0.1:1", "b@10.0.0.1:2"}
	is.Equal(p.next(holders, 2*addAfter-time.Millisecond), nil) // the former process may be back soon
	is.Equal(p.next(holders, 2*addAfter), []Holder{"b@10.0.0.1:2", "a@10.0.0.1:3"})
}

func TestHoldersAreAddedOneAtATime(t *testing.T) {
	is := is.New(t)
	p := newPlanner(4)
	p.setView(viewOf("a1", "a2"), 0)
	p.setView(viewOf("a1", "a2", "b1", "b2"), time.Minute)
	holders := []Holder{"a1", "a2"}
	is.Equal(p.next(holders, time.Minute), nil) // they have just started
	grown := p.next(holders, time.Minute+addAfter)
	is.Equal(len(grown), 3)
	is.Equal(grown[:2], holders)
	p.setView(viewOf("a1", "b1", "b2"), 2*time.Minute)
	is.Equal(p.next(holders, 2*time.Minute), nil) // not while a holder is missing
	for count := range 12 {
		p = newPlanner(4)
		p.setView(viewOf(Holder(fmt.Sprint("a", count)), "b1", "b2", "c1", "c2"), 0)
		is.Equal(len(p.fill(nil, 0, 0)), 4)
	}
}
