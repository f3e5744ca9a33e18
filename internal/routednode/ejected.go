package routednode

import (
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/aggregator"
)

// ejectedReplicas describes the gauge of ejected replicas.
var ejectedReplicas = prometheus.NewDesc(
	"stepseam_replicas_ejected",
	"Replicas kept by this node that fail more than others of their service and are left alone but for probes, by the kind of the failures.",
	[]string{"reason"}, nil,
)

// ejectedCollector exports the number of ejected replicas by reason.
type ejectedCollector struct {
	aggregates *aggregator.Aggregates
	now        clock
}

// Describe implements prometheus.Collector.
func (c *ejectedCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- ejectedReplicas
}

// Collect implements prometheus.Collector.
func (c *ejectedCollector) Collect(metrics chan<- prometheus.Metric) {
	for reason, count := range c.aggregates.Ejected(c.now()) {
		metrics <- prometheus.MustNewConstMetric(ejectedReplicas, prometheus.GaugeValue, float64(count), reason.String())
	}
}
