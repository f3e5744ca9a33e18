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

// clock returns a monotonic reading, the same to all parts of the node.
type clock func() time.Duration

func newClock() clock {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}

// provideKeepers binds the node's address for keepers; it returns nil where there is
// none, or no other nodes.
func provideKeepers(injector do.Injector) (*aggregator.Service, error) {
	chosen := do.MustInvoke[settings.Routed](injector)
	others, err := do.Invoke[*peers](injector)
	if err != nil || others == nil || !chosen.Addresses.Aggregators.IsValid() {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(chosen.Addresses.Aggregators))
	if err != nil {
		return nil, fmt.Errorf("routednode: addresses.keepers: %w", err)
	}
	placement := aggregator.NewPlacement(chosen.Node.Name)
	others.onView = append(others.onView, placement.SetView)
	logger, registry, now := do.MustInvoke[*slog.Logger](injector), do.MustInvoke[*prometheus.Registry](injector), do.MustInvoke[clock](injector)
	measured := newKeeperMetrics(registry)
	made := aggregator.New(aggregator.Config{
		Conn: conn, Placement: placement, Now: now, Observer: measured,
		OnEjectionChange: func(changed aggregator.EjectionChange) { router.LogTransition(logger, changed) },
	})
	measured.registerKept(registry, made.Aggregates())
	registry.MustRegister(&ejectedCollector{book: made.Aggregates(), now: now})
	return made, nil
}

// keeperMetrics count the questions to keepers.
type keeperMetrics struct {
	seconds prometheus.Histogram
	asked   *prometheus.CounterVec
	bytes   *prometheus.CounterVec
	// unreadable counts datagrams that were refused.
	unreadable prometheus.Counter
}

func newKeeperMetrics(registerer prometheus.Registerer) *keeperMetrics {
	made := &keeperMetrics{
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "stepseam_keeper_question_seconds", Help: "Time until the keepers of replicas had answered, or were given up.",
			Buckets: []float64{.0005, .001, .002, .004, .008, .016},
		}),
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_keepers_asked_total", Help: "Keepers asked, by whether they answered in time.",
		}, []string{"outcome"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_keeper_bytes_total", Help: "Payload bytes of datagrams to and from keepers.",
		}, []string{"direction"}),
		unreadable: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_keeper_datagrams_unreadable_total", Help: "Datagrams to keepers that were refused.",
		}),
	}
	registerer.MustRegister(made.seconds, made.asked, made.bytes, made.unreadable)
	return made
}

// QueryDone implements keeper.Observer.
func (m *keeperMetrics) QueryDone(took time.Duration, asked, answered int) {
	m.seconds.Observe(took.Seconds())
	m.asked.WithLabelValues("answered").Add(float64(answered))
	m.asked.WithLabelValues("silent").Add(float64(asked - answered))
}

// Sent implements keeper.Observer.
func (m *keeperMetrics) Sent(bytes int) { m.bytes.WithLabelValues("sent").Add(float64(bytes)) }

// Received implements keeper.Observer.
func (m *keeperMetrics) Received(bytes int) {
	m.bytes.WithLabelValues("received").Add(float64(bytes))
}

// InvalidDatagram implements keeper.Observer.
func (m *keeperMetrics) InvalidDatagram() { m.unreadable.Inc() }

// registerKept adds a gauge of what book holds.
func (m *keeperMetrics) registerKept(registerer prometheus.Registerer, book *aggregator.Aggregates) {
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "stepseam_replicas_kept", Help: "Replicas on which other nodes report to this node.",
	}, func() float64 { return float64(book.Len()) }))
}
