package membership

import "time"

// MaxDatagram is the largest datagram in bytes. It fits the usual path MTU, so that no
// datagram is fragmented.
const MaxDatagram = 1400

// Config holds the parameters of the protocol. All nodes of a site should use the same.
type Config struct {
	// ProbeInterval is the time between two probes by one node. A node probes one member
	// per interval, so its cost does not depend on the size of the site.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may take before indirect probes are
	// requested.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that probe indirectly.
	IndirectProbes int
	// SuspicionFactor times ProbeInterval times the decimal logarithm of the site's size
	// (at least 1) is the time that a suspect has to refute.
	SuspicionFactor int
	// RetransmitFactor times the binary logarithm of the site's size is how often a node
	// gossips an update.
	RetransmitFactor int
	// ReconnectInterval is the time between two pings to a seed or a dead member. It lets
	// the sides of a healed network partition find each other.
	ReconnectInterval time.Duration
	// SyncPatience is how long views may differ before a sync is requested, so that updates
	// in transit can arrive first. SyncInterval bounds the frequency of syncs.
	SyncPatience time.Duration
	SyncInterval time.Duration
	// DeadRetention is how long a dead member is remembered.
	DeadRetention time.Duration
}

// DefaultConfig returns a configuration for links with a latency of up to 100 ms.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:     500 * time.Millisecond,
		ProbeTimeout:      220 * time.Millisecond,
		IndirectProbes:    3,
		SuspicionFactor:   4,
		RetransmitFactor:  3,
		ReconnectInterval: 2 * time.Second,
		SyncPatience:      2 * time.Second,
		SyncInterval:      3 * time.Second,
		DeadRetention:     24 * time.Hour,
	}
}
