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

// site is a few services that share a port on distinct loopback addresses.
type site struct {
	t        *testing.T
	nodes    []identity.Node
	services []*Service
	stops    []context.CancelFunc
}

// testObserver counts invalid datagrams.
type testObserver struct{ invalid atomic.Int32 }

func (*testObserver) QueryDone(time.Duration, int, int) {}
func (*testObserver) Sent(int)                          {}
func (*testObserver) Received(int)                      {}
func (o *testObserver) InvalidDatagram()                { o.invalid.Add(1) }

func newSite(t *testing.T) *site {
	created := &site{t: t}
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
		created.nodes = append(created.nodes, node)
		startedAt := time.Now()
		created.services = append(created.services, New(Config{
			Conn: conn, Placement: NewPlacement(node.Name), Now: func() time.Duration { return time.Since(startedAt) },
			Observer: &testObserver{},
		}))
	}
	for _, service := range created.services {
		ctx, cancel := context.WithCancel(t.Context())
		created.stops = append(created.stops, cancel)
		t.Cleanup(cancel)
		go service.Run(ctx)
	}
	created.setView(created.nodes...)
	return created
}

// stop stops a node; its socket is closed when stop returns.
func (s *site) stop(number int) {
	s.stops[number]()
	// The service also closes the socket some time after its context ends.
	_ = s.services[number].config.Conn.Close()
}

// setView makes the given nodes the alive members at all services.
func (s *site) setView(nodes ...identity.Node) {
	view := membership.View{}
	for _, node := range nodes {
		view.Members = append(view.Members, membership.Member{Node: node, Status: membership.Alive})
	}
	for _, service := range s.services {
		service.config.Placement.SetView(view)
	}
}

// replicaAggregatedBy returns a replica whose aggregator is the given node.
func (s *site) replicaAggregatedBy(number int) Replica {
	for i := range 1000 {
		replica := Replica{Instance: fmt.Sprintf("replica-%d", i), Zone: "z", CapacityTokens: 1000}
		if address, _ := s.services[0].config.Placement.AggregatorOf(replica.Instance, replica.Zone); address == s.nodes[number].PeerAddress.Addr() {
			return replica
		}
	}
	s.t.Fatal("no replica is assigned to the node")
	return Replica{}
}

// queryUntil queries from a node until the state satisfies wanted, for a few seconds.
func (s *site) queryUntil(number int, replica Replica, segments []Segment, wanted func(State) bool) State {
	var state State
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		state = s.services[number].Query(s.t.Context(), []Replica{replica}, segments)[replica.Instance]
		if wanted(state) {
			return state
		}
	}
	s.t.Fatalf("node %d received state %+v of %s", number, state, replica.Instance)
	return state
}

func TestQueryReturnsLoadOfOtherNodes(t *testing.T) {
	is := is.New(t)
	site := newSite(t)
	for aggregator := range site.nodes {
		replica := site.replicaAggregatedBy(aggregator)
		prompt := []Segment{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}}
		site.services[0].Report(replica, loads.Load{InFlight: 2, PendingTokens: 128}, prompt)
		state := site.queryUntil(1, replica, prompt, func(state State) bool { return state.Load.InFlight == 2 && state.Complete })
		is.Equal(state.Load.PendingTokens, 128)
		is.Equal(state.CachedTokens, 150)
		site.services[0].Report(replica, loads.Load{}, nil)
		site.queryUntil(1, replica, prompt, func(state State) bool { return state.Load.InFlight == 0 && state.CachedTokens == 150 })
	}
}

func TestAggregatorFailover(t *testing.T) {
	site := newSite(t)
	replica := site.replicaAggregatedBy(2)
	site.services[0].Report(replica, loads.Load{InFlight: 3}, nil)
	site.queryUntil(1, replica, nil, func(state State) bool { return state.Load.InFlight == 3 })
	site.stop(2)
	site.setView(site.nodes[0], site.nodes[1])
	// No load changes: the repeated report reaches the new aggregator.
	site.queryUntil(1, replica, nil, func(state State) bool { return state.Load.InFlight == 3 })
}

func TestUnresponsiveAggregatorIsNotAwaitedAgain(t *testing.T) {
	is := is.New(t)
	site := newSite(t)
	site.stop(2)
	replica := site.replicaAggregatedBy(2)
	startedAt := time.Now()
	is.Equal(len(site.services[0].Query(t.Context(), []Replica{replica}, nil)), 0)
	is.True(time.Since(startedAt) >= QueryTimeout)
	const queries = 50
	startedAt = time.Now()
	for range queries {
		site.services[0].Query(t.Context(), []Replica{replica}, nil)
	}
	is.True(time.Since(startedAt) < queries*QueryTimeout/2)
}

func TestInvalidDatagramsAreCountedAndIgnored(t *testing.T) {
	is := is.New(t)
	site := newSite(t)
	replica := site.replicaAggregatedBy(1)
	site.services[0].Report(replica, loads.Load{InFlight: 1}, nil)
	site.queryUntil(2, replica, nil, func(state State) bool { return state.Load.InFlight == 1 })
	foreign, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(site.nodes[1].PeerAddress))
	is.NoErr(err)
	defer func() { _ = foreign.Close() }()
	seen, _ := site.services[1].config.Observer.(*testObserver)
	for seen.invalid.Load() == 0 {
		_, err = foreign.Write([]byte("invalid datagram"))
		is.NoErr(err)
		time.Sleep(time.Millisecond)
	}
	site.queryUntil(2, replica, nil, func(state State) bool { return state.Load.InFlight == 1 })
}

func TestQueryReturnsPartialResults(t *testing.T) {
	is := is.New(t)
	site := newSite(t)
	lost, kept := site.replicaAggregatedBy(2), site.replicaAggregatedBy(1)
	site.services[0].Report(kept, loads.Load{InFlight: 1}, nil)
	site.queryUntil(2, kept, nil, func(state State) bool { return state.Load.InFlight == 1 })
	site.stop(2)
	states := site.services[0].Query(t.Context(), []Replica{lost, kept}, nil)
	_, found := states[kept.Instance]
	is.True(found)
	_, found = states[lost.Instance]
	is.True(!found)
}

func TestPlacementPrefersZoneAndMovesMinimally(t *testing.T) {
	is := is.New(t)
	placement := NewPlacement("n0")
	_, self := placement.AggregatorOf("r", "z")
	is.True(self) // no other nodes are known
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
	aggregators := func() map[string]netip.Addr {
		kept := map[string]netip.Addr{}
		for i := range replicas {
			instance := fmt.Sprintf("r%d", i)
			kept[instance], _ = placement.AggregatorOf(instance, "odd")
		}
		return kept
	}
	placement.SetView(membership.View{Members: members})
	before := aggregators()
	for _, aggregator := range before {
		is.True(aggregator.As4()[3]%2 == 1)
	}
	removed := members[1].Node.PeerAddress.Addr()
	placement.SetView(membership.View{Members: append(members[:1:1], members[2:]...)})
	for instance, aggregator := range aggregators() {
		is.True(aggregator == before[instance] || before[instance] == removed)
	}
	nowhere, _ := placement.AggregatorOf("r", "elsewhere")
	is.True(nowhere.IsValid())
}
