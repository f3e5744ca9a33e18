package evacuation

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func evacuated(zone string) Change { return Change{Zone: zone, Evacuated: true} }

func takenBack(zone string) Change { return Change{Zone: zone} }

func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	is := is.New(t)
	z := NewZones()
	is.True(z.TrySend("a", time.Second))
	events := z.Apply(1, []Change{evacuated("a"), evacuated("b")}, 2*time.Second)
	is.Equal(events, []Event{{Change: evacuated("a"), Since: 2 * time.Second}, {Change: evacuated("b"), Since: 2 * time.Second}})
	is.True(!z.TrySend("a", 3*time.Second))
	is.True(z.TrySend("c", 3*time.Second))
	is.Equal(len(z.Apply(2, []Change{evacuated("a")}, 3*time.Second)), 0) // a repeated record
	events = z.Apply(3, []Change{takenBack("a")}, 4*time.Second)
	is.Equal(events, []Event{{Change: takenBack("a"), Since: 2 * time.Second}})
	is.True(z.TrySend("a", 4*time.Second))
	is.True(z.Evacuated("b"))
}

func TestReplaceKeepsZonesWithUnreadableRecords(t *testing.T) {
	is := is.New(t)
	z := NewZones()
	z.Apply(3, []Change{evacuated("a"), evacuated("b"), evacuated("c")}, 0)
	// The history was trimmed: the evacuation of a has ended meanwhile, and the record of c
	// is unreadable.
	z.Replace(9, []string{"b"}, []string{"c", "d"}, time.Second)
	is.True(!z.Evacuated("a"))
	is.True(z.Evacuated("b"))
	is.True(z.Evacuated("c"))
	is.True(!z.Evacuated("d"))
}

func TestLowerPositionHasNoEffect(t *testing.T) {
	is := is.New(t)
	z := NewZones()
	z.Apply(1, []Change{evacuated("a")}, 0)
	z.Apply(2, []Change{takenBack("a")}, 0)
	z.Merge(Snapshot{Position: 1, Zones: map[string]time.Duration{"a": time.Second}}, 0)
	z.Apply(1, []Change{evacuated("a")}, 0)
	z.Replace(1, []string{"a"}, nil, 0)
	is.True(!z.Evacuated("a"))
}

// TestMergeReportsLastSendDelay checks the delay at a node that learns of an evacuation
// from a peer after it has sent more requests to the zone.
func TestMergeReportsLastSendDelay(t *testing.T) {
	is := is.New(t)
	near, far := NewZones(), NewZones()
	near.Apply(1, []Change{evacuated("a")}, 10*time.Second)
	is.True(far.TrySend("a", 10400*time.Millisecond))
	events := far.Merge(near.Snapshot(10500*time.Millisecond), 10500*time.Millisecond)
	is.Equal(events, []Event{{Change: evacuated("a"), Since: 10 * time.Second, LastSendDelay: 400 * time.Millisecond}})
	is.True(!far.TrySend("a", 10600*time.Millisecond))
}

// TestNodesAgreeWithTopicAtTheirPosition applies the topic to two nodes in random
// combinations of reads, snapshots and merges. Each node must have the state of the topic
// at its position.
func TestNodesAgreeWithTopicAtTheirPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c"}
		sets := []map[string]bool{{}}
		var topic []Change
		nodes := []*Zones{NewZones(), NewZones()}
		read := []uint64{0, 0}
		check := func(z *Zones) {
			snapshot := z.Snapshot(0)
			want := sets[snapshot.Position]
			for _, zone := range zones {
				if z.Evacuated(zone) != want[zone] {
					t.Fatalf("at %d: zone %s evacuated %v, want %v", snapshot.Position, zone, z.Evacuated(zone), want[zone])
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			one := rapid.IntRange(0, 1).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				change := Change{Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Evacuated: rapid.Bool().Draw(t, "evacuated")}
				topic = append(topic, change)
				next := maps.Clone(sets[len(sets)-1])
				next[change.Zone] = change.Evacuated
				sets = append(sets, next)
			case 2: // a read continues where the last one ended, whatever was merged since
				until := read[one] + uint64(rapid.IntRange(0, len(topic)-int(read[one])).Draw(t, "records"))
				nodes[one].Apply(until, topic[read[one]:until], 0)
				read[one] = until
			case 3:
				until := uint64(len(topic))
				var there []string
				for zone, evacuated := range sets[until] {
					if evacuated {
						there = append(there, zone)
					}
				}
				nodes[one].Replace(until, there, nil, 0)
				read[one] = until
			case 4:
				nodes[one].Merge(nodes[1-one].Snapshot(0), 0)
			}
			check(nodes[one])
		}
	})
}
