package routednode

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/outlier"
)

func TestEjectedReplicasAreExportedByReason(t *testing.T) {
	is := is.New(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	now := func() time.Duration { return time.Second }
	exchange := aggregator.New(aggregator.Config{Conn: conn, Placement: aggregator.NewPlacement("n"), Now: now, Observer: newAggregatorMetrics(prometheus.NewRegistry())})
	shown := &ejectedCollector{aggregates: exchange.Aggregates(), now: now}
	is.Equal(testutil.CollectAndCount(shown), 0)
	for _, replica := range []string{"a", "b"} {
		for range 3 {
			exchange.ReportOutcome(aggregator.Replica{Instance: replica}, outlier.NoResponse, 0)
		}
	}
	is.NoErr(testutil.CollectAndCompare(shown, strings.NewReader(`
# HELP stepseam_replicas_ejected Replicas kept by this node that fail more than others of their service and are left alone but for probes, by the kind of the failures.
# TYPE stepseam_replicas_ejected gauge
stepseam_replicas_ejected{reason="silent"} 2
`)))
}
