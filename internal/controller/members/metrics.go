package members

import (
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/membership"
)

// collector reads the metrics at each scrape.
type collector struct {
	controller  *Controller
	members     *prometheus.Desc
	events      *prometheus.Desc
	datagrams   *prometheus.Desc
	bytes       *prometheus.Desc
	viewVersion *prometheus.Desc
}

func newCollector(controller *Controller) *collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("stepseam_membership_"+name, help, labels, nil)
	}
	return &collector{
		controller:  controller,
		members:     describe("members", "Members in this node's view, by status.", "status"),
		events:      describe("events_total", "What the protocol did here: suspicion, refutation (of this node), death, sync, invalid datagram.", "event"),
		datagrams:   describe("datagrams_total", "Datagrams sent and received.", "direction"),
		bytes:       describe("bytes_total", "Payload bytes sent and received.", "direction"),
		viewVersion: describe("view_version", "Version of this node's view; rises with each change."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{c.members, c.events, c.datagrams, c.bytes, c.viewVersion} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	view := c.controller.config.Board.Members.Load()
	count := map[membership.Status]int{membership.Alive: 0, membership.Suspect: 0, membership.Leaving: 0}
	for _, member := range view.Members {
		count[member.Status]++
	}
	for status, members := range count {
		metrics <- prometheus.MustNewConstMetric(c.members, prometheus.GaugeValue, float64(members), status.String())
	}
	metrics <- prometheus.MustNewConstMetric(c.viewVersion, prometheus.GaugeValue, float64(view.Version))
	counter := func(description *prometheus.Desc, value uint64, label string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), label)
	}
	statistics := c.controller.Statistics()
	counter(c.events, statistics.Suspicions, "suspicion")
	counter(c.events, statistics.Refutations, "refutation")
	counter(c.events, statistics.Deaths, "death")
	counter(c.events, statistics.Syncs, "sync")
	counter(c.events, statistics.Invalid, "invalid")
	traffic := c.controller.Traffic()
	counter(c.datagrams, traffic.SentMessages, "sent")
	counter(c.datagrams, traffic.ReceivedMessages, "received")
	counter(c.bytes, traffic.SentBytes, "sent")
	counter(c.bytes, traffic.ReceivedBytes, "received")
}
