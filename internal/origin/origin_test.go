package origin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/holders"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

// cluster is nodes that call each other in this process. A node that is down, or of a build
// without this package, answers no call.
type cluster struct {
	mutex sync.Mutex
	nodes map[netip.AddrPort]*testNode
	// cut holds the pairs of nodes that can't reach each other.
	cut map[[2]identity.NodeName]bool
	// calls counts the messages by kind.
	calls map[peer.Kind]int
}

type testNode struct {
	identity.Node
	service  *Service
	registry *peer.Registry
	down     bool
	old      bool
	span     fleet.VersionSpan
}

// client calls other nodes on behalf of one.
type client struct {
	cluster *cluster
	self    identity.NodeName
}

var errDown = fmt.Errorf("%w: down", peer.ErrUnreachable)

// Call implements peer.Client.
func (c client) Call(ctx context.Context, address netip.AddrPort, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	c.cluster.mutex.Lock()
	c.cluster.calls[request.Kind()]++
	target := c.cluster.nodes[address]
	down, old := target.down || c.cluster.nodes[addressOf(c.self)].down, target.old
	cut := c.cluster.cut[pair(c.self, target.Name)]
	c.cluster.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if down {
		return nil, errDown
	}
	if old {
		return nil, peer.ErrUnknownKind
	}
	decoded, err := target.registry.Decode(request.Kind(), encode(request))
	if err != nil {
		return nil, err
	}
	answer, err := target.registry.Handler(request.Kind()).Handle(ctx, decoded, nil)
	if err != nil {
		return nil, err
	}
	return target.registry.Decode(answer.Kind(), encode(answer))
}

func encode(message peer.Message) []byte {
	encoder := wire.NewEncoder(nil)
	message.Encode(encoder)
	return encoder.Bytes()
}

func pair(a, b identity.NodeName) [2]identity.NodeName {
	return [2]identity.NodeName{min(a, b), max(a, b)}
}

func addressOf(name identity.NodeName) netip.AddrPort {
	var number byte
	_, _ = fmt.Sscanf(string(name), "n%d", &number)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, number}), 1)
}

// newCluster returns nodes in three zones that know each other.
func newCluster(count int) *cluster {
	c := &cluster{nodes: map[netip.AddrPort]*testNode{}, cut: map[[2]identity.NodeName]bool{}, calls: map[peer.Kind]int{}}
	for i := range count {
		c.start(identity.NodeName(fmt.Sprint("n", i)), identity.Zone(fmt.Sprint("z", i%3)))
	}
	c.shareView()
	return c
}

// start starts an incarnation of a node without records.
func (c *cluster) start(name identity.NodeName, zone identity.Zone) *testNode {
	node := &testNode{Node: identity.Node{Name: name, Zone: zone, PeerAddress: addressOf(name)}, registry: peer.NewRegistry()}
	began := time.Now()
	node.service = New(Config{
		Self: name, Peers: client{c, name}, Logger: slog.New(slog.DiscardHandler),
		Now: func() time.Duration { return time.Since(began) + time.Hour },
	})
	node.service.SetVersions(func(string, string) fleet.VersionSpan { return node.span })
	node.service.Register(node.registry)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.nodes[node.PeerAddress] = node
	return node
}

// stop ends a node; the others are not told.
func (c *cluster) stop(node *testNode) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	node.down = true
}

func (c *cluster) node(i int) *testNode {
	return c.nodes[addressOf(identity.NodeName(fmt.Sprint("n", i)))]
}

// shareView gives all nodes the view of those that are up.
func (c *cluster) shareView() {
	var view membership.View
	for i := range len(c.nodes) {
		if node := c.node(i); !node.down {
			view.Members = append(view.Members, membership.Member{Node: node.Node, Status: membership.Alive})
		}
	}
	for _, node := range c.nodes {
		node.service.SetView(view)
	}
}

var v1 = Origin{Service: "s", Version: "v1"}

func named(id string) Query {
	return Query{Key: KeyOf("t", id), Keyed: true, Route: "r", Service: "s", Window: time.Minute}
}

// Nodes other than the one that began a stream did not know its version.
func TestOriginIsFoundFromAnyNodeAfterTheLossOfHalf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(24)
		const streams = 200
		for i := range streams {
			c.node(i%12).service.Announce(KeyOf("t", fmt.Sprint(i)), v1, time.Minute)
		}
		synctest.Wait()
		is.True(c.calls[kindNotice] <= holders.Copies*streams)
		for i := range 12 { // those that began the streams, in all zones; members still list them
			c.stop(c.node(i))
		}
		found := 0
		for i := range streams {
			if origin, err := c.node(12+i%12).service.Resolve(t.Context(), named(fmt.Sprint(i))); err == nil {
				is.Equal(origin.Origin, v1)
				found++
			}
		}
		is.True(found >= streams*95/100)
	})
}

func TestOriginOfAnotherTenantIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3)
		c.node(0).service.Announce(KeyOf("t", "1"), v1, time.Minute)
		synctest.Wait()
		for _, key := range []Key{KeyOf("u", "1"), KeyOf("", "t1"), KeyOf("t1", "")} {
			wanted := named("1")
			wanted.Key = key
			_, err := c.node(1).service.Resolve(t.Context(), wanted)
			is.True(errors.Is(err, ErrUnknown))
		}
		found, err := c.node(1).service.Resolve(t.Context(), named("1"))
		is.NoErr(err)
		is.Equal(found.Origin, v1)
	})
}

// Two streams under one ID must not go on at the version of either.
func TestDifferentOriginsOfOneStreamConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(6)
		c.node(0).service.Announce(KeyOf("t", "1"), v1, time.Minute)
		c.node(1).service.Announce(KeyOf("t", "1"), Origin{"s", "v2"}, time.Minute)
		synctest.Wait()
		_, err := c.node(2).service.Resolve(t.Context(), named("1"))
		is.True(errors.Is(err, ErrConflicting))
	})
}

// A node that is cut off while it begins a stream copies the record once the cut has healed.
func TestRecordIsCopiedAfterCutHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9)
		ctx, cancel := context.WithCancel(t.Context())
		go c.node(0).service.Run(ctx)
		for i := 1; i < 9; i++ {
			c.cut[pair("n0", c.node(i).Name)] = true
		}
		c.node(0).service.Announce(KeyOf("t", "1"), v1, time.Minute)
		time.Sleep(time.Second)
		began := time.Now()
		_, err := c.node(1).service.Resolve(t.Context(), named("1"))
		is.True(errors.Is(err, ErrUnknown))
		is.True(time.Since(began) <= queryTimeout) // n0 does not respond
		c.mutex.Lock()
		clear(c.cut)
		c.mutex.Unlock()
		time.Sleep(4 * time.Second)
		c.stop(c.node(0))
		_, err = c.node(1).service.Resolve(t.Context(), named("1"))
		is.NoErr(err)
		cancel()
		synctest.Wait()
	})
}

// A site of three nodes sent each record again and again, since it has fewer holders than are enough.
func TestRecordsOfSmallSiteAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3)
		ctx, cancel := context.WithCancel(t.Context())
		go c.node(0).service.Run(ctx)
		c.node(0).service.Announce(KeyOf("t", "1"), v1, time.Minute)
		time.Sleep(10 * holders.RedistributeInterval)
		synctest.Wait()
		is.Equal(c.calls[kindNotice], 2)
		cancel()
		synctest.Wait()
	})
}

// Records outlive a planned restart of all nodes, one after the other.
func TestRecordsOutliveRollingRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(7)
		const streams = 50
		for i := range streams {
			c.node(i%7).service.Announce(KeyOf("t", fmt.Sprint(i)), v1, time.Minute)
		}
		synctest.Wait()
		for i := range 7 {
			stopped := c.node(i)
			stopped.service.Close()
			synctest.Wait()
			c.stop(stopped)
			c.shareView()
			c.start(stopped.Name, stopped.Zone)
			c.shareView()
		}
		for i := range streams {
			_, err := c.node(i%7).service.Resolve(t.Context(), named(fmt.Sprint(i)))
			is.NoErr(err)
		}
	})
}

// A node that has just started and knows no other members refused all resumptions.
func TestNodeThatKnowsNoMembersAsksSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(12)
		c.node(0).service.Announce(KeyOf("t", "1"), v1, time.Minute)
		synctest.Wait()
		c.stop(c.node(0))
		c.stop(c.node(1))
		started := c.start("n11", "z2")
		started.service.config.Seeds = []netip.AddrPort{addressOf("n1"), addressOf("n11"), addressOf("n3")}
		started.service.config.Address = addressOf("n11")
		found, err := started.service.Resolve(t.Context(), named("1"))
		is.NoErr(err)
		is.Equal(found.Origin, v1)
		_, err = started.service.Resolve(t.Context(), named("2"))
		is.True(errors.Is(err, ErrUnknown))
		time.Sleep(2 * joinTime)
		started.service.SetView(membership.View{})
		_, err = started.service.Resolve(t.Context(), named("3"))
		is.True(errors.Is(err, ErrUnknown))
	})
}

func TestNodesOfAnOlderBuildHoldNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(12)
		for i := 1; i < 8; i++ {
			c.node(i).old = true
		}
		for i := range 20 {
			c.node(0).service.Announce(KeyOf("t", fmt.Sprint(i)), v1, time.Minute)
		}
		synctest.Wait()
		c.stop(c.node(0))
		found := 0
		for i := range 20 {
			if _, err := c.node(11).service.Resolve(t.Context(), named(fmt.Sprint(i))); err == nil {
				found++
			}
		}
		is.True(found >= 19) // four of eleven can hold a record, and the next in rank take over
	})
}

// Without a record a stream goes on only where no other version can have begun it.
func TestUnknownStreamNeedsTheOnlyVersionForLongEnough(t *testing.T) {
	only := func(version string, age time.Duration) fleet.VersionSpan {
		return fleet.VersionSpan{Only: true, Version: version, Age: age}
	}
	for name, c := range map[string]struct {
		here, there fleet.VersionSpan
		goesOn      bool
	}{
		"known here":                  {only("v1", time.Minute), only("v1", time.Second), true},
		"known to another":            {only("v1", time.Second), only("v1", time.Minute), true},
		"known to none long enough":   {only("v1", time.Second), only("v1", time.Second), false},
		"several here":                {fleet.VersionSpan{Several: true}, only("v1", time.Minute), false},
		"several at another":          {only("v1", time.Minute), fleet.VersionSpan{Several: true}, false},
		"another version at another":  {only("v1", time.Minute), only("v2", time.Minute), false},
		"this node's view is too old": {fleet.VersionSpan{}, only("v1", time.Minute), false},
		"the other's view is too old": {only("v1", time.Minute), fleet.VersionSpan{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newCluster(2)
				site.node(0).span, site.node(1).span = c.here, c.there
				found, err := site.node(0).service.Resolve(t.Context(), named("1"))
				is.Equal(err == nil, c.goesOn)
				if c.goesOn {
					is.Equal(found, Found{Origin: v1, Source: SourceOnlyVersion})
				}
				unnamed := Query{Route: "r", Service: "s", Window: time.Minute}
				_, err = site.node(0).service.Resolve(t.Context(), unnamed)
				is.Equal(err == nil, c.goesOn || c.here.Only && c.here.Age >= time.Minute)
			})
		})
	}
}

func TestTableIsBoundedAndForgetsExpiredRecords(t *testing.T) {
	is := is.New(t)
	table := newTable()
	for i := range maxRecords + 10 {
		table.put(Record{Key: KeyOf("t", fmt.Sprint(i)), Origin: v1, Left: time.Minute}, 0)
	}
	is.Equal(table.size(), maxRecords)
	is.Equal(table.evictions(), uint64(10))
	table.put(Record{Key: KeyOf("t", "x"), Origin: v1, Left: time.Hour}, time.Minute)
	is.Equal(table.size(), 1)
	_, _, found := table.get(KeyOf("t", "x"), time.Minute+maxLifetime)
	is.True(!found)
}

// Holders that survive must be among those that are asked, whatever else started or ended.
func TestSurvivingHoldersAreAskedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var members []membership.Member
		for i := range rapid.IntRange(2, 60).Draw(t, "members") {
			name := identity.NodeName(fmt.Sprint("n", i))
			members = append(members, membership.Member{Node: identity.Node{Name: name, Zone: identity.Zone(fmt.Sprint(random.IntN(4)))}, Status: membership.Alive})
		}
		key := KeyOf("t", fmt.Sprint(random.Uint64()))
		stored := holders.NewSet(members).Rank(holders.Key(key), "n0", holders.Copies, holders.CopiesPerZone)
		var survivors []membership.Member
		lost := map[identity.NodeName]bool{}
		for _, member := range members {
			if lost[member.Node.Name] = random.IntN(2) == 0; !lost[member.Node.Name] {
				survivors = append(survivors, member)
			}
		}
		asked := map[identity.NodeName]bool{}
		for _, node := range holders.NewSet(survivors).Rank(holders.Key(key), "", holders.Queried, holders.QueriedPerZone) {
			asked[node.Name] = true
		}
		for _, holder := range stored {
			if !lost[holder.Name] && !asked[holder.Name] {
				t.Fatalf("%s holds the record and is not asked", holder.Name)
			}
		}
	})
}

func FuzzDecodeMessages(f *testing.F) {
	registry := peer.NewRegistry()
	New(Config{Now: func() time.Duration { return 0 }}).Register(registry)
	f.Add(uint16(0), encode(&notice{Records: []Record{{Key: KeyOf("t", "1"), Origin: v1, Left: time.Second}}}))
	f.Add(uint16(3), encode(&queryResponse{State: stateKnown, Origin: v1}))
	f.Fuzz(func(_ *testing.T, kind uint16, fields []byte) {
		_, _ = registry.Decode(kindNotice+peer.Kind(kind%4), fields)
	})
}
