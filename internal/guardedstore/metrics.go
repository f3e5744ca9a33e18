package guardedstore

import "github.com/prometheus/client_golang/prometheus"

// metrics show the breakers at work.
type metrics struct {
	probes, held prometheus.Counter
}

func newMetrics(gated *Store, registerer prometheus.Registerer) *metrics {
	made := &metrics{
		probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_store_probes_total", Help: "Calls that went out while the store did not answer.",
		}),
		held: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_store_calls_held_total", Help: "Calls that were refused or told to wait since the store did not answer.",
		}),
	}
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "stepseam_store_breakers_open", Help: "Open breakers: of partitions that the store does not answer, and of the node.",
	}, gated.open)
	if registerer != nil {
		registerer.MustRegister(made.probes, made.held, open)
	}
	return made
}
