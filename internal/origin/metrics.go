package origin

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/holders"
)

// metrics count records and resumptions.
type metrics struct {
	resolved *prometheus.CounterVec
	copies   *prometheus.CounterVec
}

func newMetrics(records *table, registerer prometheus.Registerer) *metrics {
	made := &metrics{
		resolved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_stream_origins_resolved_total", Help: "Streams taken up by clients, by where the version that began them was learned, or why it is not known.",
		}, []string{"outcome"}),
		copies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_stream_origin_copies_total", Help: "Copies of records of streams sent to other nodes, by outcome.",
		}, []string{"outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(
			made.resolved, made.copies,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "stepseam_stream_origins", Help: "Records of streams that this node holds.",
			}, func() float64 { return float64(records.size()) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "stepseam_stream_origins_evicted_total", Help: "Records of streams that were removed before they expired.",
			}, func() float64 { return float64(records.evictions()) }),
		)
	}
	return made
}

func (m *metrics) countResolved(found Found, err error) {
	outcome := string(found.Source)
	switch {
	case errors.Is(err, ErrConflicting):
		outcome = "conflicting"
	case err != nil:
		outcome = "unknown"
	}
	m.resolved.WithLabelValues(outcome).Inc()
}

func (m *metrics) countNotice(notice holders.Notice) {
	outcome := "stored"
	if notice.Err != nil {
		outcome = "failed"
	}
	m.copies.WithLabelValues(outcome).Add(float64(notice.Records))
}
