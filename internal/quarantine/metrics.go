package quarantine

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/holders"
	"stepseam.example/stepseam/internal/quarantinestatus"
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

func (m *metrics) countNotice(notice holders.Notice) {
	outcome := "stored"
	if notice.Err != nil {
		outcome = "failed"
	}
	m.copies.WithLabelValues(outcome).Add(float64(notice.Records))
}

// Status returns the contents under which replicas have ended or may have, those with the most ends
// first.
func (s *Service) Status() []quarantinestatus.Content {
	now := s.config.Now()
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	contents := lo.FilterMap(lo.Values(s.table.records), func(one *entry, _ int) (quarantinestatus.Content, bool) {
		ends := one.ends(now)
		return quarantinestatus.Content{
			Key: one.key.String(), Quarantined: one.ended() >= MaxEnded, Identified: one.identified,
			LeftMs: (one.expiresAt - now).Milliseconds(), Ends: ends,
		}, len(ends) > 0
	})
	slices.SortFunc(contents, func(a, b quarantinestatus.Content) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Key, b.Key))
	})
	return contents
}

// EndsOf returns the ends under a content, for the log.
func (s *Service) EndsOf(key Key) []quarantinestatus.End {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	if !known {
		return nil
	}
	return found.ends(s.config.Now())
}
