package routednode

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
)

// evacuations applies zone evacuations from the store and from peers, and reports each
// change in the log and the metrics.
type evacuations struct {
	zones *evacuation.Zones
	// decode decodes a record; see Adapter.DecodeEvacuation.
	decode func(logstore.Item) (evacuation.Change, bool, error)
	fleet  *fleet.Directory
	// onReturned is called with each zone whose evacuation has ended.
	onReturned func(zone string)
	now        clock
	logger     *slog.Logger
	// unreadable counts records that could not be decoded.
	unreadable *unreadableRecords
	// lastSend observes the delay between an evacuation and the last request that this node
	// sent to the zone.
	lastSend prometheus.Histogram
}

func newEvacuations(e evacuations, registerer prometheus.Registerer) *evacuations {
	e.unreadable = newUnreadableRecords("cannot decode evacuation record; the zone's state is unchanged", prometheus.CounterOpts{
		Name: "stepseam_evacuations_unreadable_total", Help: "Operators' records on zones that can't be read.",
	}, e.logger, registerer)
	e.lastSend = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "stepseam_evacuation_last_send_seconds",
		Help:    "Time from the first word of a zone's evacuation to the last request that this node sent there, by evacuation.",
		Buckets: []float64{0, .05, .1, .25, .5, 1, 2, 5, 10},
	})
	registerer.MustRegister(e.lastSend, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "stepseam_evacuated_zones", Help: "Zones that are evacuated, as far as this node knows.",
	}, func() float64 { return float64(len(e.zones.Snapshot(0).Zones)) }))
	return &e
}

// replace applies a snapshot of the operator topic at position next.
func (e *evacuations) replace(items []logstore.Item, next logstore.Offset) {
	var evacuated, unreadable []string
	for _, item := range items {
		change, matches, err := e.decode(item)
		switch {
		case !matches:
		case err != nil:
			e.unreadable.record(item.Key, len(item.Value), err)
			unreadable = append(unreadable, change.Zone)
		case change.Evacuated:
			evacuated = append(evacuated, change.Zone)
		}
	}
	e.report(e.zones.Replace(uint64(next), evacuated, unreadable, e.now()), "store")
}

// apply applies records in topic order, up to position next.
func (e *evacuations) apply(items []logstore.Item, next logstore.Offset) {
	var changes []evacuation.Change
	for _, item := range items {
		change, matches, err := e.decode(item)
		switch {
		case !matches:
		case err != nil:
			e.unreadable.record(item.Key, len(item.Value), err)
		default:
			changes = append(changes, change)
		}
	}
	e.report(e.zones.Apply(uint64(next), changes, e.now()), "store")
}

// merge applies a peer's snapshot; requested is when it was requested.
func (e *evacuations) merge(snapshot evacuation.Snapshot, requested time.Time, source string) {
	e.report(e.zones.Merge(snapshot, e.now()-time.Since(requested)), source)
}

// report logs the events and records their metrics; source is logged.
func (e *evacuations) report(events []evacuation.Event, source string) {
	for _, event := range events {
		sinceMs := (e.now() - event.Since).Milliseconds()
		if !event.Evacuated {
			e.onReturned(event.Zone)
			e.logger.Info("zone taken back", "zone_name", event.Zone, "from", source, "evacuated_ms", sinceMs)
			continue
		}
		e.lastSend.Observe(event.LastSendDelay.Seconds())
		e.logger.Info("zone evacuated", "zone_name", event.Zone, "from", source, "heard_after_ms", sinceMs,
			"last_send_after_ms", event.LastSendDelay.Milliseconds(), "replicas", e.fleet.InZone(event.Zone))
	}
}
