// Package settings defines the settings of a stepseamd process, reads them from a YAML file
// and from flags, and validates them.
//
// All settings are validated before the process starts anything. All findings are reported
// together, each with its file, line and field, or the flag that set it. Unknown keys are
// findings.
package settings

import (
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// Settings are the settings of one stepseamd process. They do not change while the process
// runs; what may change at run time is in the table.
type Settings struct {
	Node      Node      `yaml:"node"`
	Addresses Addresses `yaml:"addresses"`
	// Seeds are probe addresses of other nodes through which a starting node joins, in
	// addition to the machine list. The site's first node needs none.
	Seeds    []netip.AddrPort `yaml:"seeds" validate:"dive,required"`
	Platform Platform         `yaml:"platform"`
	Shards   Shards           `yaml:"shards"`
	Journal  Journal          `yaml:"journal"`
	Table    Table            `yaml:"table"`
	Backends Backends         `yaml:"backends"`
	Limits   Limits           `yaml:"limits"`
	Drain    Drain            `yaml:"drain"`
	Logging  Logging          `yaml:"logging"`
}

// Node is the identity and the location of this node.
type Node struct {
	// Name is unique within the site and does not change over restarts.
	Name   identity.NodeName `yaml:"name" validate:"required,max=64,hostname_rfc1123"`
	Zone   identity.Zone     `yaml:"zone" validate:"required,max=64"`
	Region identity.Region   `yaml:"region" validate:"required,max=64"`
}

// Addresses are the addresses on which this node listens. Other nodes dial the same
// addresses, so each must be reachable and none may be 0.0.0.0.
type Addresses struct {
	// Callers is the address for callers' HTTP requests.
	Callers netip.AddrPort `yaml:"callers" validate:"required"`
	// Operators is the address for operators' HTTP requests, metrics and health checks.
	Operators netip.AddrPort `yaml:"operators" validate:"required"`
	// Peer is the TCP address of the protocol between nodes.
	Peer netip.AddrPort `yaml:"peer" validate:"required"`
	// Probe is the UDP address of the membership protocol.
	Probe netip.AddrPort `yaml:"probe" validate:"required"`
}

// Platform has the HTTP addresses of the platform's services.
type Platform struct {
	LogService  netip.AddrPort `yaml:"log_service" validate:"required"`
	MachineList netip.AddrPort `yaml:"machine_list" validate:"required"`
	WeightStore netip.AddrPort `yaml:"weight_store" validate:"required"`
	// Tools is the tool service; unset if the site has none. Only callers use it.
	Tools netip.AddrPort `yaml:"tools"`
	// MachineListInterval is the interval between reads of the machine list.
	MachineListInterval time.Duration `yaml:"machine_list_interval" validate:"min=100ms,max=5m"`
}

// Shards configures the distribution of programs over owners.
type Shards struct {
	// Count is the number of shards. It must be the same on all nodes and must not change
	// while there are programs.
	Count int `yaml:"count" validate:"min=1,max=65536"`
	// LeaseDuration is how long an owner may serve after its last renewal.
	LeaseDuration time.Duration `yaml:"lease_duration" validate:"min=500ms,max=5m"`
	// LeaseRenewal is the interval between renewals. It must be at most a third of
	// LeaseDuration, so that the lease survives a lost renewal.
	LeaseRenewal time.Duration `yaml:"lease_renewal" validate:"min=50ms,max=1m"`
}

// Journal configures the writing of records to the log and the tail of a shard in memory.
type Journal struct {
	// ShardTailBytes is the size of a shard's tail at which it is replaced by a snapshot.
	ShardTailBytes int64 `yaml:"shard_tail_bytes" validate:"min=4096"`
	// FlushInterval is the interval between background appends to the log.
	FlushInterval time.Duration `yaml:"flush_interval" validate:"min=1ms,max=1m"`
	// DurableTimeout is how long an unrepeatable call waits for the log before it is
	// rejected as not run.
	DurableTimeout time.Duration `yaml:"durable_timeout" validate:"min=100ms,max=5m"`
}

// Table configures how this node watches the table's stream and publishes to it.
type Table struct {
	// PollWait is the long-poll timeout of a read of the stream.
	PollWait time.Duration `yaml:"poll_wait" validate:"min=100ms,max=1m"`
	// PeerInterval is the interval between checks for peers with newer versions.
	PeerInterval time.Duration `yaml:"peer_interval" validate:"min=50ms,max=1m"`
	// PublishTimeout is how long a publication waits for its outcome.
	PublishTimeout time.Duration `yaml:"publish_timeout" validate:"min=1s,max=5m"`
}

// Backends configures the polling of engines and applications.
type Backends struct {
	// PollInterval is the interval between load reports of one back end.
	PollInterval time.Duration `yaml:"poll_interval" validate:"min=50ms,max=1m"`
	// PollTimeout is the timeout of a request for a load report.
	PollTimeout time.Duration `yaml:"poll_timeout" validate:"min=50ms,max=1m"`
	// ConnectTimeout is the dial timeout for a back end.
	ConnectTimeout time.Duration `yaml:"connect_timeout" validate:"min=50ms,max=1m"`
	// AuditInterval is the interval between audits for orphaned cache memory.
	AuditInterval time.Duration `yaml:"audit_interval" validate:"min=1s,max=1h"`
}

// Limits bound the memory and the time that callers' requests can take on a node.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `yaml:"body_bytes" validate:"min=1024,max=268435456"`
	// BodyTimeout is how long a request body may take to arrive.
	BodyTimeout time.Duration `yaml:"body_timeout" validate:"min=100ms,max=10m"`
	// SequenceGapWait is how long a call waits for missing earlier calls of its branch.
	SequenceGapWait time.Duration `yaml:"sequence_gap_wait" validate:"min=0s,max=5m"`
	// TableBytes is the maximum size of a table file.
	TableBytes int64 `yaml:"table_bytes" validate:"min=1024,max=67108864"`
}

// Drain configures a planned stop.
type Drain struct {
	// Timeout is how long a planned stop waits for running requests.
	Timeout time.Duration `yaml:"timeout" validate:"min=1s,max=1h"`
}

// Logging configures the log output to standard error.
type Logging struct {
	Level  string `yaml:"level" validate:"oneof=debug info warn error"`
	Format string `yaml:"format" validate:"oneof=text json"`
}

// Default returns the default settings. Node, addresses and platform have no defaults.
func Default() Settings {
	const mebibyte = 1 << 20
	return Settings{
		Platform: Platform{MachineListInterval: 2 * time.Second},
		Shards:   Shards{Count: 1024, LeaseDuration: 3 * time.Second, LeaseRenewal: 750 * time.Millisecond},
		Journal: Journal{
			ShardTailBytes: mebibyte,
			FlushInterval:  50 * time.Millisecond,
			DurableTimeout: 5 * time.Second,
		},
		Table: Table{PollWait: 2 * time.Second, PeerInterval: 500 * time.Millisecond, PublishTimeout: 15 * time.Second},
		Backends: Backends{
			PollInterval:   500 * time.Millisecond,
			PollTimeout:    2 * time.Second,
			ConnectTimeout: time.Second,
			AuditInterval:  15 * time.Second,
		},
		Limits: Limits{
			BodyBytes:       8 * mebibyte,
			BodyTimeout:     15 * time.Second,
			SequenceGapWait: 5 * time.Second,
			TableBytes:      4 * mebibyte,
		},
		Drain:   Drain{Timeout: time.Minute},
		Logging: Logging{Level: "info", Format: "text"},
	}
}
