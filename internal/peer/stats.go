package peer

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// countedKinds is the number of kinds that are counted apart; kinds above it
// are counted together.
const countedKinds = 1024

// Stats counts what a transport did since it was made. It is safe for
// concurrent use.
type Stats struct {
	BytesSent        atomic.Int64
	BytesReceived    atomic.Int64
	MessagesSent     atomic.Int64
	MessagesReceived atomic.Int64
	// Dials counts connections asked for, DialFailures those not made.
	Dials        atomic.Int64
	DialFailures atomic.Int64
	// Broken counts connections that ended with requests under way.
	Broken atomic.Int64
	// Refused counts requests that were handed to no handler for lack of room.
	Refused atomic.Int64

	sentByKind [countedKinds]atomic.Int64
}

// SentBytes returns the bytes of messages of kind that were sent, without framing.
func (s *Stats) SentBytes(kind Kind) int64 { return s.sentByKind[min(kind, countedKinds-1)].Load() }

func (s *Stats) countSent(kind Kind, bytes int) {
	s.MessagesSent.Add(1)
	s.sentByKind[min(kind, countedKinds-1)].Add(int64(bytes))
}

// statDescriptions are the metrics that a transport shows, with their counters.
var statDescriptions = []struct {
	description *prometheus.Desc
	value       func(*Stats) *atomic.Int64
}{
	{describe("bytes_sent_total", "Bytes sent to other nodes, framing included."), func(s *Stats) *atomic.Int64 { return &s.BytesSent }},
	{describe("bytes_received_total", "Bytes received from other nodes."), func(s *Stats) *atomic.Int64 { return &s.BytesReceived }},
	{describe("messages_sent_total", "Messages sent to other nodes."), func(s *Stats) *atomic.Int64 { return &s.MessagesSent }},
	{describe("messages_received_total", "Messages received from other nodes."), func(s *Stats) *atomic.Int64 { return &s.MessagesReceived }},
	{describe("dials_total", "Connections to other nodes asked for."), func(s *Stats) *atomic.Int64 { return &s.Dials }},
	{describe("dial_failures_total", "Connections to other nodes not made."), func(s *Stats) *atomic.Int64 { return &s.DialFailures }},
	{describe("connections_broken_total", "Connections that ended with requests under way."), func(s *Stats) *atomic.Int64 { return &s.Broken }},
	{describe("requests_refused_total", "Requests of other nodes refused for lack of room or at a stop."), func(s *Stats) *atomic.Int64 { return &s.Refused }},
}

func describe(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("stepseam_peer_"+name, help, nil, nil)
}

// collector shows a transport's counters as metrics.
type collector struct{ stats *Stats }

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, shown := range statDescriptions {
		descriptions <- shown.description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	for _, shown := range statDescriptions {
		metrics <- prometheus.MustNewConstMetric(shown.description, prometheus.CounterValue, float64(shown.value(c.stats).Load()))
	}
}
