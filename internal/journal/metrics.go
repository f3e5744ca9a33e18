package journal

import "github.com/prometheus/client_golang/prometheus"

// metric exports one field of Stats.
type metric struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
	value       func(Stats) float64
}

// collector exports Stats at each scrape.
type collector struct {
	manager *Manager
	metrics []metric
}

func newCollector(manager *Manager) *collector {
	c := &collector{manager: manager}
	add := func(kind prometheus.ValueType, name, help string, value func(Stats) float64) {
		description := prometheus.NewDesc(prometheus.BuildFQName("stepseam", "journal", name), help, nil, nil)
		c.metrics = append(c.metrics, metric{description: description, kind: kind, value: value})
	}
	gauge := func(name, help string, value func(Stats) float64) { add(prometheus.GaugeValue, name, help, value) }
	counter := func(name, help string, value func(Stats) uint64) {
		add(prometheus.CounterValue, name, help, func(s Stats) float64 { return float64(value(s)) })
	}
	gauge("owned_shards", "Shards that this node owns.", func(s Stats) float64 { return float64(s.Owned) })
	gauge("lapsed_leases", "Owned shards not served because their lease ran out.",
		func(s Stats) float64 { return float64(s.LapsedLeases) })
	gauge("tail_records", "Records of owned shards that the log lacks.", func(s Stats) float64 { return float64(s.TailRecords) })
	gauge("tail_bytes", "Bytes of owned shards that the log lacks.", func(s Stats) float64 { return float64(s.TailBytes) })
	gauge("replica_shards", "Shards of other owners whose tails are held here.",
		func(s Stats) float64 { return float64(s.ReplicaShards) })
	gauge("replica_bytes", "Bytes of the tails held here.", func(s Stats) float64 { return float64(s.ReplicaBytes) })
	gauge("log_down", "1 while the log service does not answer this node.", func(s Stats) float64 {
		if s.LogDown {
			return 1
		}
		return 0
	})
	counter("claims_total", "Shards opened after a claim.", func(s Stats) uint64 { return s.Claims })
	counter("claims_failed_total", "Claims not made or not won.", func(s Stats) uint64 { return s.ClaimsFailed })
	counter("replacements_total", "Claims made to exchange replicas.", func(s Stats) uint64 { return s.Replacements })
	counter("handovers_total", "Shards handed over to another node.", func(s Stats) uint64 { return s.HandOvers })
	counter("lost_total", "Shards taken over by another node.", func(s Stats) uint64 { return s.Lost })
	counter("incomplete_recoveries_total", "Recoveries that may lack acknowledged records.",
		func(s Stats) uint64 { return s.IncompleteRecoveries })
	counter("interim_ownerships_total", "Shards opened without the log.", func(s Stats) uint64 { return s.InterimOwnerships })
	counter("records_total", "Records enqueued.", func(s Stats) uint64 { return s.Records })
	counter("record_bytes_total", "Bytes of records enqueued.", func(s Stats) uint64 { return s.RecordBytes })
	counter("log_appends_total", "Batches and snapshots written to the log.", func(s Stats) uint64 { return s.LogAppends })
	counter("log_bytes_total", "Bytes written to the log.", func(s Stats) uint64 { return s.LogBytes })
	counter("snapshots_total", "Snapshots written to the log.", func(s Stats) uint64 { return s.Snapshots })
	counter("fenced_total", "Messages of former owners refused here.", func(s Stats) uint64 { return s.Fenced })
	return c
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, metric := range c.metrics {
		descriptions <- metric.description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(values chan<- prometheus.Metric) {
	stats := c.manager.Stats()
	for _, metric := range c.metrics {
		values <- prometheus.MustNewConstMetric(metric.description, metric.kind, metric.value(stats))
	}
}
