package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gateway's request metrics.
type metrics struct {
	requests  *prometheus.CounterVec
	durations *prometheus.HistogramVec
	tokens    prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, g *Gateway) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_gateway_requests_total",
			Help: "Callers' requests by route and HTTP status; status 0 is a caller that left without an answer.",
		}, []string{"route", "status"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "stepseam_gateway_request_seconds",
			Help:    "Time from a request's header to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 3, 12),
		}, []string{"route"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_gateway_tokens_total",
			Help: "Tokens streamed to callers.",
		}),
	}
	inFlight := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "stepseam_gateway_requests_in_flight",
		Help: "Callers' requests under way.",
	}, func() float64 { return float64(g.inFlight.Load()) })
	if registerer != nil {
		registerer.MustRegister(m.requests, m.durations, m.tokens, inFlight)
	}
	return m
}

// request records one request. pattern is empty if the request was refused before
// routing.
func (m *metrics) request(pattern string, status int, took time.Duration) {
	if pattern == "" {
		pattern = "refused"
	}
	m.requests.WithLabelValues(pattern, strconv.Itoa(status)).Inc()
	m.durations.WithLabelValues(pattern).Observe(took.Seconds())
}
