package serving

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/api"
)

// metrics are the Prometheus metrics of an Owner.
type metrics struct {
	answers         *prometheus.CounterVec
	problems        *prometheus.CounterVec
	attemptFailures *prometheus.CounterVec
	releaseFailures *prometheus.CounterVec
	ended           *prometheus.CounterVec
	replays         prometheus.Counter
	recovered       prometheus.Counter
	released        prometheus.Counter
	orphans         prometheus.Counter
	evicted         prometheus.Counter
	running         prometheus.Gauge
	pending         prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer, owner *Owner) *metrics {
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "stepseam", Name: name, Help: help}, labels)
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "stepseam", Name: name, Help: help})
	}
	m := &metrics{
		answers:         vector("calls_concluded_total", "Calls that got their outcome from this owner.", "kind"),
		problems:        vector("call_problems_total", "Calls that ended with a problem, by its code.", "code"),
		attemptFailures: vector("attempt_failures_total", "Attempts that a back end did not answer.", "backend"),
		releaseFailures: vector("release_failures_total", "Releases that an engine did not confirm.", "backend"),
		ended:           vector("programs_ended_total", "Programs that ended, by their last state.", "state"),
		replays:         counter("calls_replayed_total", "Calls answered from the journal."),
		recovered:       counter("calls_recovered_total", "Calls taken over from a former owner."),
		released:        counter("releases_total", "Releases of cache that engines confirmed."),
		evicted:         counter("branch_evictions_total", "Paused branches whose cache was given up."),
		orphans:         counter("orphans_released_total", "Programs whose cache nobody owned and the audit freed."),
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "stepseam", Name: name, Help: help})
	}
	m.running = gauge("programs_running", "Programs of this node's shards that take calls.")
	m.pending = gauge("releases_pending", "Releases of cache that no engine has confirmed yet.")
	if registerer == nil {
		return m
	}
	shards := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "stepseam", Name: "shards_owned", Help: "Shards that this node serves.",
	}, func() float64 { return float64(owner.Shards()) })
	registerer.MustRegister(m.answers, m.problems, m.attemptFailures, m.releaseFailures, m.ended,
		m.replays, m.recovered, m.released, m.orphans, m.evicted, m.running, m.pending, shards)
	return m
}

func (m *metrics) problem(err error) {
	var problem *api.Problem
	if errors.As(err, &problem) {
		m.problems.WithLabelValues(string(problem.Code)).Inc()
	}
}
