package origin

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/holders"
)

// metrics count records and resumptions.
type metrics struct {
	resolved   *prometheus.CounterVec
	unrecorded *prometheus.CounterVec
	copies     *prometheus.CounterVec
	// confirmations count the attempts to have the store confirm a view, confirming how long they took.
	confirmations *prometheus.CounterVec
	confirming    *prometheus.HistogramVec
}

func newMetrics(records *table, registerer prometheus.Registerer) *metrics {
	made := &metrics{
		resolved: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_stream_origins_resolved_total", Help: "Streams taken up by clients, by where the version that began them was learned, or why it is not known.",
		}, []string{"outcome"}),
		unrecorded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_stream_origins_unrecorded_total", Help: "Streams without a record that clients took up, by whether they went on and when the store last confirmed this node's view: after the request arrived, before, or never; or that it confirmed another's after it.",
		}, []string{"outcome", "view"}),
		confirmations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_stream_origin_confirmations_total", Help: "Attempts to have the store confirm which versions there were, for streams without a record: by this node's own read or by peers' reads, by outcome.",
		}, []string{"by", "outcome"}),
		confirming: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "stepseam_stream_origin_confirmation_seconds", Help: "Time until the store had confirmed a view, or it was given up.",
			Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5},
		}, []string{"by"}),
		copies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_stream_origin_copies_total", Help: "Copies of records of streams sent to other nodes, by outcome.",
		}, []string{"outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(
			made.resolved, made.unrecorded, made.copies, made.confirmations, made.confirming,
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
	if outcome == "unknown" || found.Source == SourceOnlyVersion {
		m.unrecorded.WithLabelValues(outcome, found.Evidence.view()).Inc()
	}
}

// view names when the store last confirmed this node's view.
func (e *Evidence) view() string {
	switch {
	case e.Confirmed:
		return "after"
	case e.ConfirmedBy != "":
		return "after_by_peer"
	case e.ViewKnown:
		return "before"
	}
	return "never"
}

func (m *metrics) countNotice(notice holders.Notice) {
	outcome := "stored"
	if notice.Err != nil {
		outcome = "failed"
	}
	m.copies.WithLabelValues(outcome).Add(float64(notice.Records))
}

func (m *metrics) countConfirmation(by string, took time.Duration, confirmed bool) {
	outcome := "failed"
	if confirmed {
		outcome = "confirmed"
	}
	m.confirmations.WithLabelValues(by, outcome).Inc()
	m.confirming.WithLabelValues(by).Observe(took.Seconds())
}
