package peer

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// trackedKinds is the number of kinds with separate counters. Kinds above share one.
const trackedKinds = 1024

// Stats counts the events of a transport. It is safe for concurrent use.
type Stats struct {
	BytesSent        atomic.Int64
	BytesReceived    atomic.Int64
	MessagesSent     atomic.Int64
	MessagesReceived atomic.Int64
	// Dials counts attempts to connect, DialFailures the failed ones.
	Dials        atomic.Int64
	DialFailures atomic.Int64
	// Broken counts connections that ended with requests in flight.
	Broken atomic.Int64
	// Refused counts requests that were not passed to a handler, because of its limit or a
	// shutdown.
	Refused atomic.Int64

	sentByKind [trackedKinds]atomic.Int64
}

// SentBytes returns the bytes sent in messages of a kind, without framing.
func (s *Stats) SentBytes(kind Kind) int64 { return s.sentByKind[min(kind, trackedKinds-1)].Load() }

func (s *Stats) countSent(kind Kind, bytes int) {
	s.MessagesSent.Add(1)
	s.sentByKind[min(kind, trackedKinds-1)].Add(int64(bytes))
}

// statDescriptions are the transport's metrics with their counters.
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

// collector exposes a transport's counters as metrics.
type collector struct{ stats *Stats }

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, stat := range statDescriptions {
		descriptions <- stat.description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	for _, stat := range statDescriptions {
		metrics <- prometheus.MustNewConstMetric(stat.description, prometheus.CounterValue, float64(stat.value(c.stats).Load()))
	}
}
