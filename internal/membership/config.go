package membership

import "time"

// MaxDatagram is the largest datagram in bytes; it fits the usual path MTU
// whole, so that no update is lost to fragmentation.
const MaxDatagram = 1400

// Config holds the protocol's times and counts. All nodes of a site should have
// the same.
type Config struct {
	// ProbeInterval is the time between two probes of one node. A node probes one
	// member per interval, so its cost does not grow with the site.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe waits before other members are
	// asked to probe in its place.
	ProbeTimeout time.Duration
	// IndirectProbes is how many members are asked then.
	IndirectProbes int
	// SuspicionFactor times ProbeInterval times the decimal logarithm of the
	// site's size (at least 1) is how long a suspect has to refute.
	SuspicionFactor int
	// RetransmitFactor times the binary logarithm of the site's size is how often
	// a node passes on one update.
	RetransmitFactor int
	// ReconnectInterval is the time between two contacts to a seed or to a member
	// held dead, which is how the two sides of a healed cut find each other.
	ReconnectInterval time.Duration
	// SyncPatience is how long views may differ before a sync is asked for, so
	// that updates on their way arrive first; SyncInterval bounds how often.
	SyncPatience time.Duration
	SyncInterval time.Duration
	// DeadRetention is how long a dead member is remembered.
	DeadRetention time.Duration
}

// DefaultConfig returns the times that fit links of up to 100 ms one way.
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
