package limits

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics count what the limits decide.
type metrics struct {
	decisions  *prometheus.CounterVec
	askSeconds prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	made := &metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_limit_decisions_total", Help: "Requests of tenants with a limit, by what was decided.",
		}, []string{"decision"}),
		askSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "stepseam_limit_question_seconds", Help: "Time until another node had granted tokens.",
			Buckets: []float64{.001, .002, .004, .008, .016, .032, .064, .128},
		}),
	}
	if registerer != nil {
		registerer.MustRegister(made.decisions, made.askSeconds)
	}
	return made
}

func (m *metrics) decided(err error) {
	var over *OverLimitError
	decision := "admitted"
	switch {
	case errors.As(err, &over) && over.Begins:
		decision = "program_over_limit"
	case errors.As(err, &over):
		decision = "over_limit"
	case err != nil:
		decision = "no_allocator"
	}
	m.decisions.WithLabelValues(decision).Inc()
}
