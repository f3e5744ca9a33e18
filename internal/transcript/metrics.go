package transcript

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics count transcripts and resumptions.
type metrics struct {
	appends *prometheus.CounterVec
	resumed *prometheus.CounterVec
}

func newMetrics(records *table, registerer prometheus.Registerer) *metrics {
	made := &metrics{
		appends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_transcript_appends_total", Help: "Events of streams that were sent once a majority of the holders had stored them, after the timeout, or behind events that were not stored.",
		}, []string{"outcome"}),
		resumed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_transcripts_resumed_total", Help: "Persisted streams taken up by clients, by whether the output before is known.",
		}, []string{"outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(
			made.appends, made.resumed,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "stepseam_transcripts", Help: "Transcripts that this node holds.",
			}, func() float64 { count, _ := records.size(); return float64(count) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "stepseam_transcript_bytes", Help: "Bytes of the transcripts that this node holds.",
			}, func() float64 { _, bytes := records.size(); return float64(bytes) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "stepseam_transcript_refusals_total", Help: "Transcripts or events that this node had no room for.",
			}, func() float64 { return float64(records.refusals()) }),
		)
	}
	return made
}

func (m *metrics) countResumed(err error) {
	outcome := "known"
	switch {
	case errors.Is(err, ErrOtherContent):
		outcome = "other_content"
	case err != nil:
		outcome = "unknown"
	}
	m.resumed.WithLabelValues(outcome).Inc()
}
