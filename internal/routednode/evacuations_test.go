package routednode

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
)

var errGarbage = errors.New("garbage")

// testEvacuations decodes records with keys "zone/NAME"; the value "garbage" is invalid.
func testEvacuations(logger *slog.Logger) *evacuations {
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	return newEvacuations(evacuations{
		zones: evacuation.NewZones(), fleet: fleet.NewDirectory(), now: newClock(), logger: logger,
		onReturned: func(string) {},
		decode: func(item logstore.Item) (evacuation.Change, bool, error) {
			zone, matches := strings.CutPrefix(item.Key, "zone/")
			if string(item.Value) == "garbage" {
				return evacuation.Change{Zone: zone}, matches, errGarbage
			}
			return evacuation.Change{Zone: zone, Evacuated: item.Value != nil}, matches, nil
		},
	}, prometheus.NewRegistry())
}

func item(key, value string) logstore.Item { return logstore.Item{Key: key, Value: []byte(value)} }

func TestUnreadableRecordDoesNotAffectOtherZones(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	e := testEvacuations(slog.New(slog.NewTextHandler(&log, nil)))
	e.apply([]logstore.Item{item("zone/a", "{}"), item("config", "{}")}, 2)
	e.apply([]logstore.Item{item("zone/a", "garbage"), item("zone/b", "{}"), item("zone/c", "garbage")}, 5)
	is.True(e.zones.Evacuated("a"))
	is.True(e.zones.Evacuated("b"))
	is.True(!e.zones.Evacuated("c"))
	e.replace([]logstore.Item{item("zone/a", "garbage"), item("config", "{}")}, 9) // the evacuation of b has ended
	is.True(e.zones.Evacuated("a"))
	is.True(!e.zones.Evacuated("b"))
	is.Equal(testutil.ToFloat64(e.unreadable.counter), 3.0)
	for _, part := range []string{"key=zone/c", "zone_name=b from=store", `msg="zone taken back"`, "replicas=0"} {
		is.True(strings.Contains(log.String(), part))
	}
}

// TestLatePeerSnapshotDoesNotEvacuateReturnedZone guards against a delayed snapshot from a
// peer that evacuates a zone again after its evacuation has ended.
func TestLatePeerSnapshotDoesNotEvacuateReturnedZone(t *testing.T) {
	is := is.New(t)
	e := testEvacuations(nil)
	late := evacuation.Snapshot{Position: 2, Zones: map[string]time.Duration{"a": time.Second}}
	e.merge(late, time.Now(), "peer")
	is.True(e.zones.Evacuated("a"))
	e.apply([]logstore.Item{{Key: "zone/a"}}, 3)
	e.merge(late, time.Now(), "peer")
	is.True(!e.zones.Evacuated("a"))
}
