package routednode

import (
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/aggregator"
)

// ejectedReplicas describes the gauge of the replicas that nodes leave alone.
var ejectedReplicas = prometheus.NewDesc(
	"stepseam_replicas_ejected",
	"Replicas kept by this node that fail more than others of their service and are left alone but for probes, by the kind of the failures.",
	[]string{"reason"}, nil,
)

// ejectedCollector shows what a book holds as ejected.
type ejectedCollector struct {
	book *aggregator.Aggregates
	now  clock
}

// Describe implements prometheus.Collector.
func (c *ejectedCollector) Describe(described chan<- *prometheus.Desc) { described <- ejectedReplicas }

// Collect implements prometheus.Collector.
func (c *ejectedCollector) Collect(metrics chan<- prometheus.Metric) {
	for reason, count := range c.book.Ejected(c.now()) {
		metrics <- prometheus.MustNewConstMetric(ejectedReplicas, prometheus.GaugeValue, float64(count), reason.String())
	}
}
