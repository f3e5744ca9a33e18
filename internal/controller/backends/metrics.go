package backends

import (
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/scheduling"
)

type metrics struct {
	pollFailures *prometheus.CounterVec
	callFailures *prometheus.CounterVec
	resyncs      prometheus.Counter
	// confirmations counts the reports that dispatches waited for.
	confirmations prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, controller *Controller) *metrics {
	vector := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "stepseam", Name: name, Help: help}, []string{"backend"})
	}
	m := &metrics{
		pollFailures: vector("backend_poll_failures_total", "Load reports that a back end did not give."),
		callFailures: vector("backend_call_failures_total", "Calls that failed at a back end and count against its health."),
		resyncs: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "stepseam", Name: "cache_map_resyncs_total",
			Help: "Whole lists of held prefixes that were read after a gap in an engine's cache events.",
		}),
		confirmations: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "stepseam", Name: "backend_confirmations_total",
			Help: "Load reports that a dispatch waited for because the last one was old.",
		}),
	}
	if registerer == nil {
		return m
	}
	prefixes := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "stepseam", Name: "cache_map_prefixes", Help: "Prefixes in the cache map.",
	}, func() float64 { return float64(controller.cache.Len()) })
	registerer.MustRegister(m.pollFailures, m.callFailures, m.resyncs, m.confirmations, prefixes, stateCollector{controller})
	return m
}

// stateCollector counts the back ends on the board by role and state at each
// scrape.
type stateCollector struct{ controller *Controller }

var stateDescription = prometheus.NewDesc("stepseam_backends",
	"Back ends on this node's board by role and state; leaving goes before health.", []string{"role", "state"}, nil)

// Describe implements prometheus.Collector.
func (s stateCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- stateDescription
}

// Collect implements prometheus.Collector.
func (s stateCollector) Collect(values chan<- prometheus.Metric) {
	type group struct{ role, state string }
	counts := map[group]int{}
	for _, shown := range s.controller.config.Board.Backends.Clone() {
		state := healthName(shown.Health)
		if shown.Leaving {
			state = "leaving"
		}
		counts[group{string(shown.Role), state}]++
	}
	for at, count := range counts {
		values <- prometheus.MustNewConstMetric(stateDescription, prometheus.GaugeValue, float64(count), at.role, at.state)
	}
}

func healthName(health scheduling.Health) string {
	switch health {
	case scheduling.Healthy:
		return "healthy"
	case scheduling.Probation:
		return "probation"
	default:
		return "ejected"
	}
}
