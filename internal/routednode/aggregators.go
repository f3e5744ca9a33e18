package routednode

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/router"
	"stepseam.example/stepseam/internal/settings"
)

// provideAggregator binds the node's address for aggregators; it returns nil if no address
// is configured or the node runs without others.
func provideAggregator(injector do.Injector) (*aggregator.Service, error) {
	cfg := do.MustInvoke[settings.Routed](injector)
	others, err := do.Invoke[*peers](injector)
	if err != nil || others == nil || !cfg.Addresses.Aggregators.IsValid() {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Addresses.Aggregators))
	if err != nil {
		return nil, fmt.Errorf("routednode: addresses.keepers: %w", err)
	}
	placement := aggregator.NewPlacement(cfg.Node.Name)
	others.onView = append(others.onView, placement.SetView)
	logger, registry, now := do.MustInvoke[*slog.Logger](injector), do.MustInvoke[*prometheus.Registry](injector), do.MustInvoke[clock](injector)
	metrics := newAggregatorMetrics(registry)
	made := aggregator.New(aggregator.Config{
		Conn: conn, Placement: placement, Now: now, Observer: metrics,
		OnEjectionChange: func(changed aggregator.EjectionChange) { router.LogTransition(logger, changed) },
	})
	metrics.registerTracked(registry, made.Aggregates())
	registry.MustRegister(&ejectedCollector{aggregates: made.Aggregates(), now: now})
	return made, nil
}

// aggregatorMetrics counts queries to aggregators.
type aggregatorMetrics struct {
	seconds prometheus.Histogram
	queried *prometheus.CounterVec
	bytes   *prometheus.CounterVec
	// unreadable counts invalid datagrams.
	unreadable prometheus.Counter
}

func newAggregatorMetrics(registerer prometheus.Registerer) *aggregatorMetrics {
	made := &aggregatorMetrics{
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "stepseam_keeper_question_seconds", Help: "Time until the keepers of replicas had answered, or were given up.",
			Buckets: []float64{.0005, .001, .002, .004, .008, .016},
		}),
		queried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_keepers_asked_total", Help: "Keepers asked, by whether they answered in time.",
		}, []string{"outcome"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_keeper_bytes_total", Help: "Payload bytes of datagrams to and from keepers.",
		}, []string{"direction"}),
		unreadable: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_keeper_datagrams_unreadable_total", Help: "Datagrams to keepers that were refused.",
		}),
	}
	registerer.MustRegister(made.seconds, made.queried, made.bytes, made.unreadable)
	return made
}

// QueryDone implements aggregator.Observer.
func (m *aggregatorMetrics) QueryDone(took time.Duration, queried, responded int) {
	m.seconds.Observe(took.Seconds())
	m.queried.WithLabelValues("answered").Add(float64(responded))
	m.queried.WithLabelValues("silent").Add(float64(queried - responded))
}

// Sent implements aggregator.Observer.
func (m *aggregatorMetrics) Sent(bytes int) { m.bytes.WithLabelValues("sent").Add(float64(bytes)) }

// Received implements aggregator.Observer.
func (m *aggregatorMetrics) Received(bytes int) {
	m.bytes.WithLabelValues("received").Add(float64(bytes))
}

// InvalidDatagram implements aggregator.Observer.
func (m *aggregatorMetrics) InvalidDatagram() { m.unreadable.Inc() }

// registerTracked registers a gauge of the replicas that this node aggregates.
func (m *aggregatorMetrics) registerTracked(registerer prometheus.Registerer, aggregates *aggregator.Aggregates) {
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "stepseam_replicas_kept", Help: "Replicas on which other nodes report to this node.",
	}, func() float64 { return float64(aggregates.Len()) }))
}
