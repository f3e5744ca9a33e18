package aggregator

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/loopback"
	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/membership"
)

// site is some nodes' exchanges, each at an IP number of its own and all at one port.
type site struct {
	t         *testing.T
	nodes     []identity.Node
	exchanges []*Service
	stops     []context.CancelFunc
}

// observed counts unreadable datagrams.
type observed struct{ unreadable atomic.Int32 }

func (*observed) QueryDone(time.Duration, int, int) {}
func (*observed) Sent(int)                          {}
func (*observed) Received(int)                      {}
func (o *observed) InvalidDatagram()                { o.unreadable.Add(1) }

func newSite(t *testing.T) *site {
	made := &site{t: t}
	free, err := loopback.FreeAddress(loopback.ProcessIP())
	if err != nil {
		t.Fatal(err)
	}
	const nodes = 3
	for number := range nodes {
		address := netip.AddrPortFrom(loopback.ExtraIP(number), free.Port())
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			t.Fatal(err)
		}
		node := identity.Node{Name: identity.NodeName(fmt.Sprintf("n%d", number)), Zone: "z", PeerAddress: address}
		made.nodes = append(made.nodes, node)
		began := time.Now()
		made.exchanges = append(made.exchanges, New(Config{
			Conn: conn, Placement: NewPlacement(node.Name), Now: func() time.Duration { return time.Since(began) },
			Observer: &observed{},
		}))
	}
	for _, exchange := range made.exchanges {
		ctx, cancel := context.WithCancel(t.Context())
		made.stops = append(made.stops, cancel)
		t.Cleanup(cancel)
		go exchange.Run(ctx)
	}
	made.view(made.nodes...)
	return made
}

// stop silences a node; its socket is closed when stop returns.
func (s *site) stop(number int) {
	s.stops[number]()
	// The exchange closes the socket too, at some moment after its context ends.
	_ = s.exchanges[number].config.Conn.Close()
}

// view tells all exchanges that just these nodes live.
func (s *site) view(nodes ...identity.Node) {
	view := membership.View{}
	for _, node := range nodes {
		view.Members = append(view.Members, membership.Member{Node: node, Status: membership.Alive})
	}
	for _, exchange := range s.exchanges {
		exchange.config.Placement.SetView(view)
	}
}

// replicaKeptBy returns a replica that the node of the given number keeps.
func (s *site) replicaKeptBy(number int) Replica {
	for i := range 1000 {
		replica := Replica{Instance: fmt.Sprintf("replica-%d", i), Zone: "z", CapacityTokens: 1000}
		if address, _ := s.exchanges[0].config.Placement.AggregatorOf(replica.Instance, replica.Zone); address == s.nodes[number].PeerAddress.Addr() {
			return replica
		}
	}
	s.t.Fatal("no replica falls to the node")
	return Replica{}
}

// ask lets a node ask until a state is as wanted, for a few seconds at most.
func (s *site) ask(number int, replica Replica, parts []Segment, wanted func(State) bool) State {
	var state State
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		state = s.exchanges[number].Query(s.t.Context(), []Replica{replica}, parts)[replica.Instance]
		if wanted(state) {
			return state
		}
	}
	s.t.Fatalf("node %d is told %+v of %s", number, state, replica.Instance)
	return state
}

func TestNodesLearnOfEachOthersRequestsFromTheKeeper(t *testing.T) {
	is := is.New(t)
	site := newSite(t)
	for keeper := range site.nodes {
		replica := site.replicaKeptBy(keeper)
		prompt := []Segment{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}}
		site.exchanges[0].Report(replica, loads.Load{InFlight: 2, PendingTokens: 128}, prompt)
		state := site.ask(1, replica, prompt, func(state State) bool { return state.Load.InFlight == 2 && state.Complete })
		is.Equal(state.Load.PendingTokens, 128)
		is.Equal(state.CachedTokens, 150)
		site.exchanges[0].Report(replica, loads.Load{}, nil)
		site.ask(1, replica, prompt, func(state State) bool { return state.Load.InFlight == 0 && state.CachedTokens == 150 })
	}
}

func TestNextNodeKeepsAReplicaWhoseKeeperIsGone(t *testing.T) {
	site := newSite(t)
	replica := site.replicaKeptBy(2)
	site.exchanges[0].Report(replica, loads.Load{InFlight: 3}, nil)
	site.ask(1, replica, nil, func(state State) bool { return state.Load.InFlight == 3 })
	site.stop(2)
	site.view(site.nodes[0], site.nodes[1])
	// Nothing changes at the reporting node: its repeated report reaches the new keeper.
	site.ask(1, replica, nil, func(state State) bool { return state.Load.InFlight == 3 })
}

func TestSilentKeeperIsWaitedForOnceOnly(t *testing.T) {
	is := is.New(t)
	site := newSite(t)
	site.stop(2)
	replica := site.replicaKeptBy(2)
	began := time.Now()
	is.Equal(len(site.exchanges[0].Query(t.Context(), []Replica{replica}, nil)), 0)
	is.True(time.Since(began) >= QueryTimeout)
	const asked = 50
	began = time.Now()
	for range asked {
		site.exchanges[0].Query(t.Context(), []Replica{replica}, nil)
	}
	is.True(time.Since(began) < asked*QueryTimeout/2)
}

func TestUnreadableDatagramsAreCountedAndChangeNothing(t *testing.T) {
	is := is.New(t)
	site := newSite(t)
	replica := site.replicaKeptBy(1)
	site.exchanges[0].Report(replica, loads.Load{InFlight: 1}, nil)
	site.ask(2, replica, nil, func(state State) bool { return state.Load.InFlight == 1 })
	foreign, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(site.nodes[1].PeerAddress))
	is.NoErr(err)
	defer func() { _ = foreign.Close() }()
	seen, _ := site.exchanges[1].config.Observer.(*observed)
	for seen.unreadable.Load() == 0 {
		_, err = foreign.Write([]byte("not of this package"))
		is.NoErr(err)
		time.Sleep(time.Millisecond)
	}
	site.ask(2, replica, nil, func(state State) bool { return state.Load.InFlight == 1 })
}

func TestOneSilentKeeperDoesNotHideTheOthersAnswers(t *testing.T) {
	is := is.New(t)
	site := newSite(t)
	lost, kept := site.replicaKeptBy(2), site.replicaKeptBy(1)
	site.exchanges[0].Report(kept, loads.Load{InFlight: 1}, nil)
	site.ask(2, kept, nil, func(state State) bool { return state.Load.InFlight == 1 })
	site.stop(2)
	states := site.exchanges[0].Query(t.Context(), []Replica{lost, kept}, nil)
	_, found := states[kept.Instance]
	is.True(found)
	_, found = states[lost.Instance]
	is.True(!found)
}

func TestKeeperIsOfTheReplicasZoneAndMovesOnlyItsShare(t *testing.T) {
	is := is.New(t)
	placement := NewPlacement("n0")
	_, self := placement.AggregatorOf("r", "z")
	is.True(self) // nobody else is known
	const nodes, replicas = 30, 300
	var members []membership.Member
	for i := range nodes {
		zone := identity.Zone("even")
		if i%2 == 1 {
			zone = "odd"
		}
		members = append(members, membership.Member{Status: membership.Alive, Node: identity.Node{
			Name: identity.NodeName(fmt.Sprintf("n%d", i)), Zone: zone,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
		}})
	}
	keepers := func() map[string]netip.Addr {
		kept := map[string]netip.Addr{}
		for i := range replicas {
			instance := fmt.Sprintf("r%d", i)
			kept[instance], _ = placement.AggregatorOf(instance, "odd")
		}
		return kept
	}
	placement.SetView(membership.View{Members: members})
	before := keepers()
	for _, keeper := range before {
		is.True(keeper.As4()[3]%2 == 1)
	}
	gone := members[1].Node.PeerAddress.Addr()
	placement.SetView(membership.View{Members: append(members[:1:1], members[2:]...)})
	for instance, keeper := range keepers() {
		is.True(keeper == before[instance] || before[instance] == gone)
	}
	nowhere, _ := placement.AggregatorOf("r", "elsewhere")
	is.True(nowhere.IsValid())
}
