package guardedstore

import "github.com/prometheus/client_golang/prometheus"

// metrics shows the effect of the circuit breakers.
type metrics struct {
	probes, blocked prometheus.Counter
}

func newMetrics(guarded *Store, registerer prometheus.Registerer) *metrics {
	created := &metrics{
		probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_store_probes_total", Help: "Calls that went out while the store did not answer.",
		}),
		blocked: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_store_calls_held_total", Help: "Calls that were refused or told to wait since the store did not answer.",
		}),
	}
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "stepseam_store_breakers_open", Help: "Open breakers: of partitions that the store does not answer, and of the node.",
	}, guarded.open)
	if registerer != nil {
		registerer.MustRegister(created.probes, created.blocked, open)
	}
	return created
}
