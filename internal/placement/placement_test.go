package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/testseed"
)

const testShards = 512

// TestMain sets the defaults of rapid's flags, which the command line overrides.
func TestMain(m *testing.M) {
	testseed.MainWith(m, map[string]string{"rapid.checks": "40", "rapid.seed": "1"})
}

// site returns a view of count live nodes spread in turn over the zones of the regions.
func site(count, regions, zonesPerRegion int) membership.View {
	view := membership.View{Version: 1}
	for i := range count {
		zone := i % (regions * zonesPerRegion)
		view.Members = append(view.Members, membership.Member{
			Status: membership.Alive,
			Node: identity.Node{
				Name:   identity.NodeName(fmt.Sprintf("node-%03d", i)),
				Zone:   identity.Zone(fmt.Sprintf("zone-%d", zone)),
				Region: identity.Region(fmt.Sprintf("region-%d", zone/zonesPerRegion)),
			},
		})
	}
	return view
}

func names(nodes []identity.Node) []identity.NodeName {
	var all []identity.NodeName
	for _, node := range nodes {
		all = append(all, node.Name)
	}
	return all
}

func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		zonesPerRegion := rapid.IntRange(1, 4).Draw(t, "zones per region")
		count := rapid.IntRange(1, 24).Draw(t, "nodes")
		view := site(count, regions, zonesPerRegion)
		placement := New(view)
		zones := min(count, regions*zonesPerRegion)
		for shard := range identity.ShardID(testShards) {
			assignment, found := placement.Desired(shard)
			if !found || len(assignment.Replicas) != min(ReplicaCount, count) {
				t.Fatalf("shard %d: %d replicas of %d nodes", shard, len(assignment.Replicas), count)
			}
			ownerIn := slices.Contains(names(assignment.Replicas), assignment.Owner.Name)
			if ownerIn != (count <= ReplicaCount) {
				t.Fatalf("shard %d: owner among the replicas: %v with %d nodes", shard, ownerIn, count)
			}
			inZone := map[identity.Zone]int{}
			for _, replica := range assignment.Replicas {
				inZone[replica.Zone]++
				if inZone[replica.Zone] > 1 && zones >= ReplicaCount && count > ReplicaCount {
					t.Fatalf("shard %d: two replicas in %s of %d zones", shard, replica.Zone, zones)
				}
			}
		}
	})
}

func TestRegionalMajority(t *testing.T) {
	is := is.New(t)
	placement := New(site(24, 3, 2))
	for shard := range identity.ShardID(testShards) {
		assignment, _ := placement.Desired(shard)
		inRegion := 0
		for _, replica := range assignment.Replicas {
			if replica.Region == assignment.Owner.Region {
				inRegion++
			}
		}
		is.Equal(inRegion, regionalReplicas)
	}
}

func TestOnlyShardsOfTheRemovedNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(5, 40).Draw(t, "nodes")
		before := site(count, rapid.IntRange(1, 3).Draw(t, "regions"), 2)
		gone := rapid.IntRange(0, count-1).Draw(t, "gone")
		after := before
		after.Members = slices.Clone(before.Members)
		if rapid.Bool().Draw(t, "leaving") {
			after.Members[gone].Status = membership.Leaving
		} else {
			after.Members = slices.Delete(after.Members, gone, gone+1)
		}
		name := before.Members[gone].Node.Name
		full, reduced := New(before), New(after)
		for shard := range identity.ShardID(testShards) {
			was, _ := full.Desired(shard)
			now, _ := reduced.Desired(shard)
			if was.Owner.Name != name && was.Owner.Name != now.Owner.Name {
				t.Fatalf("shard %d moved from %s to %s as %s went", shard, was.Owner.Name, now.Owner.Name, name)
			}
			involved := was.Owner.Name == name || slices.Contains(names(was.Replicas), name)
			if !involved && !slices.Equal(names(was.Replicas), names(now.Replicas)) {
				t.Fatalf("shard %d: replicas %v became %v as %s went", shard, names(was.Replicas), names(now.Replicas), name)
			}
		}
	})
}

func TestOwnersAreBalanced(t *testing.T) {
	const shards = 4096
	for _, count := range []int{6, 8, 48, 380} {
		placement := New(site(count, 1, 3))
		owned := map[identity.NodeName]int{}
		for shard := range identity.ShardID(shards) {
			owner, _ := placement.Owner(shard)
			owned[owner.Name]++
		}
		mean := float64(shards) / float64(count)
		const deviations = 5
		for name, shardCount := range owned {
			if math.Abs(float64(shardCount)-mean) > deviations*math.Sqrt(mean) {
				t.Errorf("%d nodes: %s owns %d shards, mean %.1f", count, name, shardCount, mean)
			}
		}
	}
}

func TestRanksKeepLeavingMembers(t *testing.T) {
	is := is.New(t)
	view := site(6, 1, 3)
	for shard := range identity.ShardID(testShards) {
		before, _ := Desired(shard, view)
		changed := view
		changed.Members = slices.Clone(view.Members)
		for i := range changed.Members {
			if changed.Members[i].Node.Name == before.Owner.Name {
				changed.Members[i].Status = membership.Leaving
			}
		}
		after, _ := Desired(shard, changed)
		ranks := Ranks(shard, changed, 3)
		is.Equal(len(ranks), 3)
		is.Equal(ranks[0].Name, before.Owner.Name)
		is.Equal(ranks[1].Name, after.Owner.Name)
	}
	is.Equal(len(Ranks(0, view, 99)), 6)
}

func TestNoLiveMember(t *testing.T) {
	is := is.New(t)
	view := site(1, 1, 1)
	view.Members[0].Status = membership.Leaving
	_, found := Desired(0, view)
	is.True(!found)
}

func TestCacheIsKeyedByViewVersion(t *testing.T) {
	is := is.New(t)
	var cache Cache
	view := site(6, 1, 3)
	first := cache.Get(view)
	is.Equal(cache.Get(view), first)
	view.Version++
	is.True(cache.Get(view) != first)
}

// TestInheritedChoicesEqualComputedOnes applies random membership changes to a cache and
// compares its results with newly computed ones.
func TestInheritedChoicesEqualComputedOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const names = 20
		all := site(names, rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "zones")).Members
		present := map[int]bool{}
		var cache Cache
		for version := range rapid.IntRange(2, 12).Draw(t, "changes") {
			for range rapid.IntRange(1, 4).Draw(t, "nodes changed") {
				node := rapid.IntRange(0, names-1).Draw(t, "node")
				present[node] = !present[node]
				all[node].Status = rapid.SampledFrom([]membership.Status{membership.Alive, membership.Alive, membership.Suspect}).Draw(t, "status")
			}
			view := membership.View{Version: uint64(version)}
			for node := range all {
				if present[node] || node < 3 {
					view.Members = append(view.Members, all[node])
				}
			}
			cached, fresh := cache.Get(view), New(view)
			for shard := range identity.ShardID(64) {
				got, gotFound := cached.Desired(shard)
				want, wantFound := fresh.Desired(shard)
				if gotFound != wantFound || !slices.Equal(got.Replicas, want.Replicas) || got.Owner != want.Owner {
					t.Fatalf("shard %d: inherited %v, from scratch %v", shard, assigned(got), assigned(want))
				}
			}
		}
	})
}

func assigned(assignment Assignment) []identity.NodeName {
	return append([]identity.NodeName{assignment.Owner.Name}, names(assignment.Replicas)...)
}

// BenchmarkOneNodeChanges measures a view in which one node joined or left.
func BenchmarkOneNodeChanges(b *testing.B) {
	whole := site(380, 3, 2)
	reduced := whole
	reduced.Members = slices.Delete(slices.Clone(whole.Members), 100, 101)
	views := []membership.View{whole, reduced}
	var cache Cache
	b.ReportAllocs()
	version := uint64(0)
	for b.Loop() {
		version++
		view := views[version%2]
		view.Version = version
		placement := cache.Get(view)
		for shard := range identity.ShardID(4096) {
			placement.Owner(shard)
		}
	}
}

func BenchmarkAllShardsAtTwoYearSize(b *testing.B) {
	view := site(380, 3, 2)
	b.ReportAllocs()
	for b.Loop() {
		placement := New(view)
		for shard := range identity.ShardID(4096) {
			placement.Owner(shard)
		}
	}
}
