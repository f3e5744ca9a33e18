package models

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/backend"
)

type metrics struct {
	orders      *prometheus.CounterVec
	weightWaits prometheus.Counter
	acting      prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) metrics {
	created := metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_model_orders_total",
			Help: "Orders sent to engines, repeats included, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		weightWaits: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "stepseam_model_weight_waits_total",
			Help: "Looks at which a load waited for the weight store.",
		}),
		acting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "stepseam_model_services_acting",
			Help: "Services whose models this node places.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(created.orders, created.weightWaits, created.acting)
	}
	return created
}

func (m metrics) count(kind backend.OrderKind, err error) {
	outcome := "unanswered"
	switch {
	case err == nil:
		outcome = "done"
	case errors.Is(err, errNotOwner):
		outcome = "not_sent"
	case errors.Is(err, backend.ErrStaleFence):
		outcome = "stale"
	case errors.Is(err, backend.ErrRefused):
		outcome = "refused"
	}
	m.orders.WithLabelValues(string(kind), outcome).Inc()
}
