package limits

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics counts the decisions on requests and the changes of allocators.
type metrics struct {
	admitted, overLimit, programOverLimit, noAllocator prometheus.Counter
	requestSeconds                                     prometheus.Histogram
	// takeovers counts the accounts that this node has opened, by whether the predecessor
	// handed them over. partial counts the grants under less than the whole limit.
	takeovers  *prometheus.CounterVec
	partial    prometheus.Counter
	unleased   prometheus.Counter
	fraction   prometheus.Gauge
	leaseCalls *prometheus.CounterVec
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
		takeovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_limit_takeovers_total", Help: "Tenants' accounts that this node has opened as their allocator, by whether the predecessor handed the account over.",
		}, []string{"account"}),
		partial: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_limit_partial_grants_total", Help: "Responses to token requests under leases of less than the whole limit.",
		}),
		unleased: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_limit_unleased_total", Help: "Token requests rejected because another allocator's leases were still valid.",
		}),
		fraction: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "stepseam_limit_leased_fraction", Help: "Least fraction of the limits that this node has leased, of all partitions that it should allocate; 1 if there is none.",
		}),
		leaseCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_limit_lease_calls_total", Help: "Calls to lessors by outcome.",
		}, []string{"outcome"}),
	}
	result.fraction.Set(1)
	if registerer != nil {
		registerer.MustRegister(decisions, result.requestSeconds, result.takeovers, result.partial, result.unleased, result.fraction, result.leaseCalls)
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
