package routednode

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/distance"
	"stepseam.example/stepseam/internal/membership"
)

// measureInterval is the time between two checks for outdated measurements. The traffic
// depends on the number of zones, not on the number of nodes.
const measureInterval = 500 * time.Millisecond

// distances measures round-trip times to other zones.
type distances struct {
	paths *distance.Map
	now   clock
	// measure returns the round-trip time to a node, and false if it did not respond.
	measure func(ctx context.Context, node netip.Addr) (time.Duration, bool)
	logger  *slog.Logger

	// mutex guards members, which maps each zone to the addresses of its live nodes.
	mutex   sync.Mutex
	members map[string][]netip.Addr
}

// setView updates the live members.
func (d *distances) setView(view membership.View) {
	members := map[string][]netip.Addr{}
	for _, member := range view.Members {
		if member.Status == membership.Alive {
			zone := string(member.Node.Zone)
			members[zone] = append(members[zone], member.Node.PeerAddress.Addr())
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.members = members
}

// run measures until ctx is canceled.
func (d *distances) run(ctx context.Context) {
	ticker := time.NewTicker(measureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.measureStale(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// measureStale measures the round trip to one node of each zone whose path needs it.
func (d *distances) measureStale(ctx context.Context) {
	for zone, node := range d.measurementTargets() {
		go func() {
			before := d.paths.PathTo(zone)
			roundTrip, ok := d.measure(ctx, node)
			if !ok {
				return
			}
			d.paths.Observe(zone, roundTrip, d.now())
			if !before.Measured {
				d.logger.Info("first round trip to zone measured", "zone_name", zone, "round_trip_ms", float64(roundTrip.Microseconds())/1000)
			}
		}()
	}
}

// measurementTargets returns a random node of each zone that needs a measurement.
func (d *distances) measurementTargets() map[string]netip.Addr {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	targets := map[string]netip.Addr{}
	for zone, nodes := range d.members {
		if d.paths.NeedsMeasurement(zone, d.now()) {
			targets[zone] = nodes[rand.IntN(len(nodes))]
		}
	}
	return targets
}

// zones returns the zones that have live members.
func (d *distances) zones() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	zones := make([]string, 0, len(d.members))
	for zone := range d.members {
		zones = append(zones, zone)
	}
	return zones
}

var roundTripDesc = prometheus.NewDesc("stepseam_zone_round_trip_seconds", "Round trip to a zone, as the choice of replicas counts it.", []string{"zone"}, nil)

// Describe implements prometheus.Collector.
func (d *distances) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- roundTripDesc }

// Collect implements prometheus.Collector.
func (d *distances) Collect(metrics chan<- prometheus.Metric) {
	for _, path := range d.paths.Paths(d.zones()) {
		metrics <- prometheus.MustNewConstMetric(roundTripDesc, prometheus.GaugeValue, path.RoundTrip.Seconds(), path.Zone)
	}
}

func (d *distances) register(registerer prometheus.Registerer) { registerer.MustRegister(d) }
