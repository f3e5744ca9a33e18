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

// measurePause is the time between two looks which ways are to be measured: a datagram
// to each other zone every few seconds, whatever the number of nodes.
const measurePause = 500 * time.Millisecond

// distances measures the ways to other zones.
type distances struct {
	known *distance.Map
	now   clock
	// measure asks a node, see keeper.Exchange.Measure.
	measure func(ctx context.Context, node netip.Addr) (time.Duration, bool)
	logger  *slog.Logger

	// mutex guards members: the nodes that live, by zone.
	mutex   sync.Mutex
	members map[string][]netip.Addr
}

// setView takes the members.
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

// run measures until ctx ends.
func (d *distances) run(ctx context.Context) {
	ticker := time.NewTicker(measurePause)
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

// measureStale asks one node of each zone whose way was not measured lately.
func (d *distances) measureStale(ctx context.Context) {
	for zone, node := range d.drawn() {
		go func() {
			before := d.known.PathTo(zone)
			roundTrip, answered := d.measure(ctx, node)
			if !answered {
				return
			}
			d.known.Observe(zone, roundTrip, d.now())
			if !before.Measured {
				d.logger.Info("distance learned", "zone_name", zone, "round_trip_ms", float64(roundTrip.Microseconds())/1000)
			}
		}()
	}
}

// drawn returns a node of each zone to be measured.
func (d *distances) drawn() map[string]netip.Addr {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	drawn := map[string]netip.Addr{}
	for zone, nodes := range d.members {
		if d.known.NeedsMeasurement(zone, d.now()) {
			drawn[zone] = nodes[rand.IntN(len(nodes))]
		}
	}
	return drawn
}

// zones returns the zones that have members.
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
	for _, way := range d.known.Paths(d.zones()) {
		metrics <- prometheus.MustNewConstMetric(roundTripDesc, prometheus.GaugeValue, way.RoundTrip.Seconds(), way.Zone)
	}
}

func (d *distances) register(registerer prometheus.Registerer) { registerer.MustRegister(d) }
