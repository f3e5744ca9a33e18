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
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/nodes"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/holders"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

// cluster is nodes that call each other in this process. A node that is down, or of a build
// without this package, answers no call.
type cluster struct {
	*nodes.Network
	members []*testNode
}

type testNode struct {
	*nodes.Node
	service *Service
	span    fleet.VersionSpan
	// confirm is how the store confirms the span; without it, the store is away. confirmed is when it last did.
	confirm   func(ctx context.Context) error
	confirmed time.Time
	confirms  int
	// standsStill is how long the node stands still after it has read its view.
	standsStill time.Duration
	// mutex guards all fields above but the first two.
	mutex sync.Mutex
}

// versions implements Versions.
func (n *testNode) versions(string, string) fleet.VersionSpan {
	n.mutex.Lock()
	span := n.span
	span.Confirmed = n.confirmed
	n.mutex.Unlock()
	time.Sleep(n.standsStill)
	if span.Only {
		span.Age += n.standsStill
	}
	return span
}

// confirmSince implements Confirm.
func (n *testNode) confirmSince(ctx context.Context, since time.Time) error {
	n.mutex.Lock()
	confirm, known := n.confirm, !n.confirmed.Before(since)
	n.mutex.Unlock()
	if known {
		return nil
	}
	if confirm == nil {
		return errStoreAway
	}
	sent := time.Now()
	err := confirm(ctx)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.confirms++
	if err == nil {
		n.confirmed = sent
	}
	return err
}

var errStoreAway = errors.New("the store is away")

// confirmAtOnce is a store that answers at once.
func confirmAtOnce(context.Context) error { return nil }

// newCluster returns nodes in three zones that know each other.
func newCluster(count int) *cluster {
	c := &cluster{Network: nodes.NewNetwork(0), members: make([]*testNode, count)}
	for i := range count {
		c.start(i)
	}
	c.shareView()
	return c
}

// start starts an incarnation of a node without records.
func (c *cluster) start(number int) *testNode {
	node := &testNode{Node: c.Start(number)}
	began := time.Now()
	node.service = New(Config{
		Self: node.Name, Peers: node.Client(), Logger: slog.New(slog.DiscardHandler),
		Now: func() time.Duration { return time.Since(began) + time.Hour },
	})
	node.confirm = confirmAtOnce
	node.service.SetVersions(node.versions)
	node.service.SetConfirm(node.confirmSince)
	node.service.Register(node.Registry)
	c.members[number] = node
	return node
}

func (c *cluster) node(i int) *testNode { return c.members[i] }

// shareView gives all nodes the view of those that are up.
func (c *cluster) shareView() {
	view := c.View(0)
	for _, node := range c.members {
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
		is.True(c.Calls(kindNotice) <= holders.Copies*streams)
		for i := range 12 { // those that began the streams, in all zones; members still list them
			c.node(i).Stop()
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
		c.Cut("n0", 1)
		c.node(0).service.Announce(KeyOf("t", "1"), v1, time.Minute)
		time.Sleep(time.Second)
		began := time.Now()
		_, err := c.node(1).service.Resolve(t.Context(), named("1"))
		is.True(errors.Is(err, ErrUnknown))
		is.True(time.Since(began) <= queryTimeout) // n0 does not respond
		c.Heal()
		time.Sleep(4 * time.Second)
		c.node(0).Stop()
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
		is.Equal(c.Calls(kindNotice), 2)
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
			stopped.Stop()
			c.shareView()
			c.start(i)
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
		c.node(0).Stop()
		c.node(1).Stop()
		started := c.start(11)
		started.service.config.Seeds = []netip.AddrPort{nodes.AddressOf("n1"), nodes.AddressOf("n11"), nodes.AddressOf("n3")}
		started.service.config.Address = nodes.AddressOf("n11")
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
			c.node(i).SetOld()
		}
		for i := range 20 {
			c.node(0).service.Announce(KeyOf("t", fmt.Sprint(i)), v1, time.Minute)
		}
		synctest.Wait()
		c.node(0).Stop()
		found := 0
		for i := range 20 {
			if _, err := c.node(11).service.Resolve(t.Context(), named(fmt.Sprint(i))); err == nil {
				found++
			}
		}
		is.True(found >= 19) // four of eleven can hold a record, and the next in rank take over
	})
}

// Without a record a stream goes on only where no other version can have begun it. One that its client
// does not name went on although another node knew of a version that had just appeared.
func TestUnknownStreamNeedsTheOnlyVersionForLongEnough(t *testing.T) {
	only := func(version string, age time.Duration) fleet.VersionSpan {
		return fleet.VersionSpan{Only: true, Version: version, Age: age}
	}
	for name, c := range map[string]struct {
		here, there fleet.VersionSpan
		goesOn      bool
		// away is set if the store is away for all.
		away bool
	}{
		"known here":                  {only("v1", time.Minute), only("v1", time.Second), true, false},
		"known to another":            {only("v1", time.Second), only("v1", time.Minute), true, false},
		"known to none long enough":   {only("v1", time.Second), only("v1", time.Second), false, false},
		"several here":                {fleet.VersionSpan{Several: true}, only("v1", time.Minute), false, false},
		"several at another":          {only("v1", time.Minute), fleet.VersionSpan{Several: true}, false, false},
		"another version at another":  {only("v1", time.Minute), only("v2", time.Minute), false, false},
		"this node's view is too old": {fleet.VersionSpan{}, only("v1", time.Minute), false, true},
		"the other's view is too old": {only("v1", time.Minute), fleet.VersionSpan{}, true, false},
		"confirmed by nobody":         {only("v1", time.Minute), only("v1", time.Minute), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newCluster(2)
				site.node(0).span, site.node(1).span = c.here, c.there
				if c.away {
					site.node(0).confirm, site.node(1).confirm = nil, nil
				}
				found, err := site.node(0).service.Resolve(t.Context(), named("1"))
				is.Equal(err == nil, c.goesOn)
				if c.goesOn {
					evidence := found.Evidence
					is.Equal(found, Found{Origin: v1, Source: SourceOnlyVersion, Node: lo.Ternary(c.there.Only, site.node(1).Name, ""), Evidence: evidence})
					is.Equal([]time.Duration{evidence.Here, evidence.There, evidence.Window}, []time.Duration{c.here.Age, c.there.Age, time.Minute})
					is.True(evidence.Confirmed || evidence.ConfirmedBy != "")
				}
				unnamed := Query{Route: "r", Service: "s", Window: time.Minute}
				_, err = site.node(0).service.Resolve(t.Context(), unnamed)
				is.Equal(err == nil, c.goesOn)
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
	_, _, found := table.get(KeyOf("t", "x"), time.Minute+MaxLifetime)
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
	f.Add(uint16(0), nodes.Encode(&notice{Records: []Record{{Key: KeyOf("t", "1"), Origin: v1, Left: time.Second}}}))
	f.Add(uint16(3), nodes.Encode(&queryResponse{State: stateKnown, Origin: v1}))
	f.Fuzz(func(_ *testing.T, kind uint16, fields []byte) {
		_, _ = registry.Decode(kindNotice+peer.Kind(kind%4), fields)
	})
}
