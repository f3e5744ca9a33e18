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

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/router"
)

var errTest = errors.New("unreadable")

// testViews returns views of a node whose replicas' entries are the JSON of fleet.Replica.
func testViews() *views {
	registry, logger := prometheus.NewRegistry(), slog.New(slog.DiscardHandler)
	return &views{
		router: router.New(router.Config{Registerer: registry, Now: func() time.Duration { return time.Minute }}),
		fleet:  fleet.NewDirectory(), tracker: balance.NewTracker("z"), cold: coldstart.NewLimiter("n"), logger: logger,
		operators: newHeldTopic("configuration"), replicas: newHeldTopic("replicas"), unreadable: newUnreadableEntries(logger, registry),
		adapter: Adapter{DecodeReplica: func(_ string, encoded []byte) (fleet.Replica, error) {
			var replica fleet.Replica
			return replica, json.Unmarshal(encoded, &replica)
		}},
	}
}

func entry(instance string, born int64, sequence uint64) logstore.Item {
	encoded, _ := json.Marshal(fleet.Replica{
		Instance: instance, StartedAtMs: born, Service: "s", Zone: "z", Slots: 4, State: fleet.StateReady, Sequence: sequence,
	})
	return logstore.Item{Key: instance, Value: encoded}
}

// TestListenersKnowWhatReadersKnow: a node that hears of another's topic knows the same
// replicas, without the beats.
func TestListenersKnowWhatReadersKnow(t *testing.T) {
	is := is.New(t)
	reader, listener := testViews(), testViews()
	reader.replaceEntries([]logstore.Item{entry("a", 1, 5), entry("b", 0, 1), {Key: "odd", Value: []byte("?")}}, 10)
	page, _ := reader.replicas.Page("", 1<<20)
	is.Equal(len(page.Items), 2)
	listener.replaceTold(page.Items, page.Position)
	is.True(listener.listed.Load())
	is.Equal(listener.fleet.Size(), 2)

	reader.changeEntries(10, []logstore.Item{entry("a", 1, 6), entry("b", 0, 2)}, 12) // beats
	items, position, complete := reader.replicas.Since(10)
	is.True(complete)
	is.Equal(len(items), 0)
	is.Equal(position, logstore.Offset(12))

	reader.changeEntries(12, []logstore.Item{entry("a", 2, 1), {Key: "b"}}, 14) // another life, and an end
	items, position, _ = reader.replicas.Since(10)
	listener.changeTold(items, position)
	is.Equal(listener.fleet.Size(), 1)
	found, known := listener.fleet.ByIncarnation("a@2", time.Minute)
	is.True(known)
	is.Equal(found.StartedAtMs, int64(2))
}

// TestWordsInAnyOrderLeaveTheNewestKnown: the store and another node tell of the same changes,
// and the later position stands.
func TestWordsInAnyOrderLeaveTheNewestKnown(t *testing.T) {
	is := is.New(t)
	v := testViews()
	v.replaceEntries([]logstore.Item{entry("a", 0, 1)}, 10)
	v.replicas.Confirm(time.Now())
	replica := fleet.Replica{Instance: "c", Service: "s", Zone: "z", Slots: 4, State: fleet.StateReady}
	v.changeTold([]logstore.Item{{Key: "a"}, {Key: "c", Value: fleet.Encode(&replica)}}, 20)
	v.changeEntries(10, []logstore.Item{entry("b", 0, 1)}, 15) // read before, and late
	is.Equal(v.fleet.Size(), 1)
	v.changeEntries(25, []logstore.Item{entry("b", 0, 1)}, 26) // a gap
	is.Equal(v.fleet.Size(), 1)
	v.replaceTold(nil, 12) // another node that is behind
	is.Equal(v.fleet.Size(), 1)
	v.changeEntries(20, []logstore.Item{entry("b", 0, 1)}, 21)
	is.Equal(v.fleet.Size(), 2)
}

// TestListenerDoesNotTakeUsualAgesForAnOutage: a replica that leaves without a word, heard of
// from another node when the own knowledge is as old as it gets without trouble, is used for
// as short a time as one whose end the store tells; after an outage it is not.
func TestListenerDoesNotTakeUsualAgesForAnOutage(t *testing.T) {
	for age, settled := range map[time.Duration]bool{2700 * time.Millisecond: true, 4 * time.Second: false} {
		is := is.New(t)
		now := time.Minute
		v := testViews()
		v.router = router.New(router.Config{Registerer: prometheus.NewRegistry(), Now: func() time.Duration { return now }})
		v.replaceEntries([]logstore.Item{entry("a", 0, 1)}, 10)
		v.replicas.Confirm(time.Now().Add(-age))
		v.changeTold([]logstore.Item{{Key: "a"}}, 11)
		is.Equal(len(v.fleet.Usable("s", now)), 1) // it may be unable to write
		is.Equal(len(v.fleet.Usable("s", now+time.Second)) == 0, settled)
	}
}

func TestUnreadableEntriesAreCountedAndDropped(t *testing.T) {
	is := is.New(t)
	v := testViews()
	v.replaceEntries([]logstore.Item{entry("a", 0, 1)}, 10)
	v.changeEntries(10, []logstore.Item{{Key: "a", Value: []byte("?")}, {Key: "x", Value: []byte("?")}}, 12)
	is.Equal(v.fleet.Size(), 0)
	is.Equal(len(v.fleet.Usable("s", time.Minute)), 0)
	is.Equal(testutil.ToFloat64(v.unreadable.counter), 2.0)
	items, _, _ := v.replicas.Since(10)
	is.Equal(items, []logstore.Item{{Key: "a"}}) // listeners drop it too
	v.changeEntries(12, []logstore.Item{entry("a", 0, 2)}, 13)
	is.Equal(v.fleet.Size(), 1)
	for i := range 3 * mostUnreadable {
		v.unreadable.note(fmt.Sprint(i), errTest)
	}
	is.True(len(v.unreadable.logged) <= mostUnreadable)
}
