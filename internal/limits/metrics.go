package limits

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts the decisions on requests.
type metrics struct {
	admitted, overLimit, programOverLimit, noAllocator prometheus.Counter
	requestSeconds                                     prometheus.Histogram
	takeovers                                          *prometheus.CounterVec
	withoutAllocator                                   prometheus.Counter
	fraction                                           prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "stepseam_limit_decisions_total", Help: "Requests of tenants with a limit, by what was decided.",
	}, []string{"decision"})
	result := &metrics{
		admitted: decisions.WithLabelValues("admitted"), overLimit: decisions.WithLabelValues("over_limit"),
		programOverLimit: decisions.WithLabelValues("program_over_limit"), noAllocator: decisions.WithLabelValues("no_allocator"),
		requestSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "stepseam_limit_question_seconds", Help: "Time until another node had granted tokens.",
			Buckets: []float64{.001, .002, .004, .008, .016, .032, .064, .128},
		}),
	}
	result.takeovers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "stepseam_limit_takeovers_total", Help: "Accounts that this node has opened as a tenant's allocator, by what it knew of its predecessor's.",
	}, []string{"account"})
	result.withoutAllocator = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "stepseam_limit_tokens_without_allocator_total", Help: "Tokens taken while no allocator responded.",
	})
	result.fraction = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "stepseam_limit_fraction", Help: "Fraction of each limit that this node may grant as an allocator.",
	})
	if registerer != nil {
		registerer.MustRegister(decisions, result.requestSeconds, result.takeovers, result.withoutAllocator, result.fraction)
	}
	return result
}

func (m *metrics) observe(err error) {
	if err == nil {
		m.admitted.Inc()
		return
	}
	var over *OverLimitError
	switch {
	case errors.As(err, &over) && over.ProgramStart:
		m.programOverLimit.Inc()
	case errors.As(err, &over):
		m.overLimit.Inc()
	default:
		m.noAllocator.Inc()
	}
}
