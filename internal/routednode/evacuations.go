package routednode

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/logstore"
)

// evacuations keeps the set of evacuated zones up to date from the operators' records and
// from peers, and tells of each change in log and metrics.
type evacuations struct {
	zones *evacuation.Zones
	// decode reads a record, as Adapter.DecodeEvacuation.
	decode func(logstore.Item) (evacuation.Change, bool, error)
	fleet  *fleet.Directory
	// returned is told of each zone that is taken back.
	returned func(zone string)
	now      clock
	logger   *slog.Logger
	// unreadable counts records that can't be read.
	unreadable prometheus.Counter
	// lastSend measures how long after a zone was evacuated this node still sent there.
	lastSend prometheus.Histogram
}

func newEvacuations(made evacuations, registerer prometheus.Registerer) *evacuations {
	made.unreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "stepseam_evacuations_unreadable_total", Help: "Operators' records on zones that can't be read.",
	})
	made.lastSend = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "stepseam_evacuation_last_send_seconds",
		Help:    "Time from the first word of a zone's evacuation to the last request that this node sent there, by evacuation.",
		Buckets: []float64{0, .05, .1, .25, .5, 1, 2, 5, 10},
	})
	registerer.MustRegister(made.unreadable, made.lastSend, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "stepseam_evacuated_zones", Help: "Zones that are evacuated, as far as this node knows.",
	}, func() float64 { return float64(len(made.zones.Snapshot(0).Zones)) }))
	return &made
}

// replace takes all records of the operators, known up to next.
func (e *evacuations) replace(items []logstore.Item, next logstore.Offset) {
	var evacuated, unclear []string
	for _, item := range items {
		change, matches, err := e.decode(item)
		switch {
		case !matches:
		case err != nil:
			e.noteUnreadable(item, err)
			unclear = append(unclear, change.Zone)
		case change.Evacuated:
			evacuated = append(evacuated, change.Zone)
		}
	}
	e.tell(e.zones.Replace(uint64(next), evacuated, unclear, e.now()), "store")
}

// change takes records in the order of the topic, known up to next.
func (e *evacuations) change(items []logstore.Item, next logstore.Offset) {
	var changes []evacuation.Change
	for _, item := range items {
		change, matches, err := e.decode(item)
		switch {
		case !matches:
		case err != nil:
			e.noteUnreadable(item, err)
		default:
			changes = append(changes, change)
		}
	}
	e.tell(e.zones.Apply(uint64(next), changes, e.now()), "store")
}

// adopt takes what a peer has told, which was asked then.
func (e *evacuations) adopt(told evacuation.Snapshot, asked time.Time, from string) {
	e.tell(e.zones.Merge(told, e.now()-time.Since(asked)), from)
}

func (e *evacuations) noteUnreadable(item logstore.Item, err error) {
	e.unreadable.Inc()
	e.logger.Error("evacuation can't be read, the zone stays as it was", "key", item.Key, "bytes", len(item.Value), "error", err)
}

// tell writes what has changed; from tells who has said so.
func (e *evacuations) tell(events []evacuation.Event, from string) {
	for _, event := range events {
		heardAfter := (e.now() - event.Since).Milliseconds()
		if !event.Evacuated {
			e.returned(event.Zone)
			e.logger.Info("zone taken back", "zone_name", event.Zone, "from", from, "evacuated_ms", heardAfter)
			continue
		}
		e.lastSend.Observe(event.LastSendDelay.Seconds())
		e.logger.Info("zone evacuated", "zone_name", event.Zone, "from", from, "heard_after_ms", heardAfter,
			"last_send_after_ms", event.LastSendDelay.Milliseconds(), "replicas", e.fleet.InZone(event.Zone))
	}
}
