package routednode

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/router"
)

var errTest = errors.New("unreadable")

// testViews returns views that decode replica entries as JSON of fleet.Replica.
func testViews() *views {
	registry, logger := prometheus.NewRegistry(), slog.New(slog.DiscardHandler)
	return &views{
		router: router.New(router.Config{Registerer: registry, Now: func() time.Duration { return time.Minute }}),
		fleet:  fleet.NewDirectory(), tracker: balance.NewTracker("z"), cold: coldstart.NewLimiter("n"), logger: logger,
		freshness: &freshness{}, operators: newSharedTopic("configuration"), replicas: newSharedTopic("replicas"), unreadable: newUnreadableEntries(logger, registry),
		adapter: Adapter{DecodeReplica: func(_ string, encoded []byte) (fleet.Replica, error) {
			var replica fleet.Replica
			return replica, json.Unmarshal(encoded, &replica)
		}},
	}
}

func entry(instance string, startedAtMs int64, sequence uint64) logstore.Item {
	encoded, _ := json.Marshal(fleet.Replica{
		Instance: instance, StartedAtMs: startedAtMs, Service: "s", Zone: "z", Slots: 4, State: fleet.StateReady, Sequence: sequence,
	})
	return logstore.Item{Key: instance, Value: encoded}
}

// TestPullersHaveTheReadersReplicas checks that a node that pulls a topic has the same
// replicas as its source, without the heartbeats.
func TestPullersHaveTheReadersReplicas(t *testing.T) {
	is := is.New(t)
	reader, puller := testViews(), testViews()
	reader.replaceEntries([]logstore.Item{entry("a", 1, 5), entry("b", 0, 1), {Key: "odd", Value: []byte("?")}}, 10)
	page, _ := reader.replicas.Page("", 1<<20)
	is.Equal(len(page.Items), 2)
	puller.replaceFromPeer(page.Items, page.Position)
	is.True(puller.listed.Load())
	is.Equal(puller.fleet.Size(), 2)

	reader.applyEntries(10, []logstore.Item{entry("a", 1, 6), entry("b", 0, 2)}, 12) // heartbeats
	items, position, complete := reader.replicas.Since(10)
	is.True(complete)
	is.Equal(len(items), 0)
	is.Equal(position, logstore.Offset(12))

	reader.applyEntries(12, []logstore.Item{entry("a", 2, 1), {Key: "b"}}, 14) // a new incarnation of a, and the removal of b
	items, position, _ = reader.replicas.Since(10)
	puller.applyFromPeer(items, position)
	is.Equal(puller.fleet.Size(), 1)
	found, known := puller.fleet.ByIncarnation("a@2", time.Minute)
	is.True(known)
	is.Equal(found.StartedAtMs, int64(2))
}

// TestHighestPositionWinsInAnyOrder delivers the same changes from the store and from a
// peer.
func TestHighestPositionWinsInAnyOrder(t *testing.T) {
	is := is.New(t)
	v := testViews()
	v.replaceEntries([]logstore.Item{entry("a", 0, 1)}, 10)
	v.replicas.Confirm(time.Now())
	replica := fleet.Replica{Instance: "c", Service: "s", Zone: "z", Slots: 4, State: fleet.StateReady}
	v.applyFromPeer([]logstore.Item{{Key: "a"}, {Key: "c", Value: fleet.Encode(&replica)}}, 20)
	v.applyEntries(10, []logstore.Item{entry("b", 0, 1)}, 15) // read earlier, delivered late
	is.Equal(v.fleet.Size(), 1)
	v.applyEntries(25, []logstore.Item{entry("b", 0, 1)}, 26) // a gap
	is.Equal(v.fleet.Size(), 1)
	v.replaceFromPeer(nil, 12) // a peer that is behind
	is.Equal(v.fleet.Size(), 1)
	v.applyEntries(20, []logstore.Item{entry("b", 0, 1)}, 21)
	is.Equal(v.fleet.Size(), 2)
}

// TestUsualAgeIsNotTakenForAnOutage guards against a puller that keeps removed replicas for
// too long because it takes the usual age of its topic for an outage of the store.
func TestUsualAgeIsNotTakenForAnOutage(t *testing.T) {
	for age, settled := range map[time.Duration]bool{2700 * time.Millisecond: true, 4 * time.Second: false} {
		is := is.New(t)
		now := time.Minute
		v := testViews()
		v.router = router.New(router.Config{Registerer: prometheus.NewRegistry(), Now: func() time.Duration { return now }})
		v.replaceEntries([]logstore.Item{entry("a", 0, 1)}, 10)
		v.replicas.Confirm(time.Now().Add(-age))
		v.applyFromPeer([]logstore.Item{{Key: "a"}}, 11)
		is.Equal(len(v.fleet.Usable("s", now)), 1) // the replica may only have been unable to write
		is.Equal(len(v.fleet.Usable("s", now+time.Second)) == 0, settled)
	}
}

func TestUnreadableEntriesAreCountedAndDropped(t *testing.T) {
	is := is.New(t)
	v := testViews()
	v.replaceEntries([]logstore.Item{entry("a", 0, 1)}, 10)
	v.applyEntries(10, []logstore.Item{{Key: "a", Value: []byte("?")}, {Key: "x", Value: []byte("?")}}, 12)
	is.Equal(v.fleet.Size(), 0)
	is.Equal(len(v.fleet.Usable("s", time.Minute)), 0)
	is.Equal(testutil.ToFloat64(v.unreadable.counter), 2.0)
	items, _, _ := v.replicas.Since(10)
	is.Equal(items, []logstore.Item{{Key: "a"}}) // pullers drop it too
	v.applyEntries(12, []logstore.Item{entry("a", 0, 2)}, 13)
	is.Equal(v.fleet.Size(), 1)
	for i := range 3 * maxLoggedInstances {
		v.unreadable.record(fmt.Sprint(i), errTest)
	}
	is.True(len(v.unreadable.logged) <= maxLoggedInstances)
}

// versioned returns a replica's entry with a version.
func versioned(instance, version string) logstore.Item {
	encoded, _ := json.Marshal(fleet.Replica{Instance: instance, Service: "s", Zone: "z", Slots: 4, State: fleet.StateReady, Version: version})
	return logstore.Item{Key: instance, Value: encoded}
}

// A node that pulls its view vouched for the only version over a time in which another version had
// come and gone unseen: a peer sends the result of changes, not each of them.
func TestVersionsThatAPullerHasMissedEndItsHistory(t *testing.T) {
	const age = time.Minute
	for name, c := range map[string]struct {
		// pulled are the reader's changes between pulls.
		pulled []func(reader *views)
		// aged sets the last confirmation of the pullers' views back, and kept is set if they keep their history.
		aged, kept bool
	}{
		"nothing missed":             {pulled: []func(*views){addOther("w", "v1")}, kept: true},
		"a version came and went":    {pulled: []func(*views){comeAndGo}},
		"seen before it went":        {pulled: []func(*views){addOther("b", "v2"), removeOther("b")}},
		"an outage without changes":  {pulled: []func(*views){func(reader *views) { reader.applyNext(versioned("a", "v1")) }}, aged: true, kept: true},
		"the view had been outdated": {pulled: []func(*views){addOther("w", "v1")}, aged: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var now time.Duration
			nodes := []*views{testViews(), testViews(), testViews()} // each pulls from the one before
			nodes[0].replaceEntries([]logstore.Item{versioned("a", "v1")}, 10)
			for i, puller := range nodes[1:] {
				page, _ := nodes[i].replicas.Page("", 1<<20)
				puller.router = router.New(router.Config{Registerer: prometheus.NewRegistry(), Now: func() time.Duration { return now }})
				puller.replaceFromPeer(page.Items, page.Position)
				puller.replicas.Confirm(time.Now().Add(-lo.Ternary(c.aged, outageAge+time.Second, 0)))
			}
			now = age
			for _, change := range c.pulled {
				change(nodes[0])
				for i, puller := range nodes[1:] {
					position, _ := puller.replicas.Position()
					items, next, complete := nodes[i].replicas.Since(position)
					is.True(complete)
					puller.applyFromPeer(items, next)
				}
			}
			for _, puller := range nodes[1:] {
				span := puller.fleet.VersionSpan("s", now)
				is.True(span.Only)
				is.Equal(span.Age == age, c.kept)
			}
		})
	}
}

func addOther(instance, version string) func(reader *views) {
	return func(reader *views) { reader.applyNext(versioned(instance, version)) }
}

func removeOther(instance string) func(reader *views) {
	return func(reader *views) { reader.applyNext(logstore.Item{Key: instance}) }
}

func comeAndGo(reader *views) {
	reader.applyNext(versioned("b", "v2"))
	reader.applyNext(logstore.Item{Key: "b"})
}

func (v *views) applyNext(item logstore.Item) {
	position, _ := v.replicas.Position()
	v.applyEntries(position, []logstore.Item{item}, position+1)
}
