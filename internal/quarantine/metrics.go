package quarantine

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
)

// metrics count quarantined requests and records.
type metrics struct {
	quarantined prometheus.Counter
	copies      *prometheus.CounterVec
}

func newMetrics(records *table, registerer prometheus.Registerer) *metrics {
	made := &metrics{
		quarantined: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_requests_quarantined_total", Help: "Contents of requests under which so many replicas have ended that they are not sent any more, as learned by this node.",
		}),
		copies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_quarantine_copies_total", Help: "Copies of records of broken attempts sent to other nodes, by outcome.",
		}, []string{"outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(
			made.quarantined, made.copies,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "stepseam_quarantine_records", Help: "Contents of requests of which this node knows attempts that broke off.",
			}, func() float64 { return float64(records.size.Load()) }),
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name: "stepseam_quarantine_evicted_total", Help: "Records of broken attempts that were removed before they expired.",
			}, func() float64 {
				records.mutex.Lock()
				defer records.mutex.Unlock()
				return float64(records.evicted)
			}),
		)
	}
	return made
}

func (m *metrics) countNotice(stored bool, records int) {
	outcome := "failed"
	if stored {
		outcome = "stored"
	}
	m.copies.WithLabelValues(outcome).Add(float64(records))
}

// Status is what a node knows of one content, for operators.
type Status struct {
	Content     string `json:"content"`
	Quarantined bool   `json:"quarantined"`
	// Identified reports whether the content names a program.
	Identified bool `json:"identified"`
	// LeftMs is how long the record is kept, in milliseconds.
	LeftMs int64 `json:"leftMs"`
	Ends   []End `json:"ends"`
}

// Status returns the contents under which replicas have ended or may have, those with the most ends
// first.
func (s *Service) Status() []Status {
	now := s.config.Now()
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	statuses := lo.FilterMap(lo.Values(s.table.records), func(one *entry, _ int) (Status, bool) {
		ends := one.ends(now)
		return Status{
			Content: one.key.String(), Quarantined: one.ended() >= MaxEnded, Identified: one.identified,
			LeftMs: (one.expiresAt - now).Milliseconds(), Ends: ends,
		}, len(ends) > 0
	})
	slices.SortFunc(statuses, func(a, b Status) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Content, b.Content))
	})
	return statuses
}

// EndsOf returns the ends under a content, for the log.
func (s *Service) EndsOf(key Key) []End {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	if !known {
		return nil
	}
	return found.ends(s.config.Now())
}
