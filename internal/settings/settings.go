// Package settings holds the settings of a stepseamd process: their fields with
// defaults, how they are read from a YAML file and from flags, and their check.
//
// Everything is checked before anything starts, and all findings are reported
// together, each with file, line and field (or the flag that set it). Unknown
// keys are findings.
package settings

import (
	"net/netip"
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// Settings are all settings of one stepseamd process. They do not change while
// the process runs; what changes at run time stands in the table.
type Settings struct {
	Node      Node      `yaml:"node"`
	Addresses Addresses `yaml:"addresses"`
	// Seeds are probe addresses of other nodes that a starting node asks first.
	// The machine list adds to them; the site's first node needs none.
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

// Node says who and where this node is.
type Node struct {
	// Name is unique within the site and stable over restarts.
	Name   identity.NodeName `yaml:"name" validate:"required,max=64,hostname_rfc1123"`
	Zone   identity.Zone     `yaml:"zone" validate:"required,max=64"`
	Region identity.Region   `yaml:"region" validate:"required,max=64"`
}

// Addresses are where this node listens. Other nodes dial the same addresses,
// so each is an IP number that they can reach, never 0.0.0.0.
type Addresses struct {
	// Callers takes callers' HTTP requests.
	Callers netip.AddrPort `yaml:"callers" validate:"required"`
	// Operators takes operators' HTTP requests, metrics and health checks.
	Operators netip.AddrPort `yaml:"operators" validate:"required"`
	// Peer takes the internal protocol over TCP.
	Peer netip.AddrPort `yaml:"peer" validate:"required"`
	// Probe takes membership datagrams over UDP.
	Probe netip.AddrPort `yaml:"probe" validate:"required"`
}

// Platform says where the platform's services answer HTTP.
type Platform struct {
	LogService  netip.AddrPort `yaml:"log_service" validate:"required"`
	MachineList netip.AddrPort `yaml:"machine_list" validate:"required"`
	WeightStore netip.AddrPort `yaml:"weight_store" validate:"required"`
	// Tools is the tool service; unset where the site has none. Callers use it,
	// nodes do not yet.
	Tools netip.AddrPort `yaml:"tools"`
	// MachineListInterval is the time between two reads of the machine list.
	MachineListInterval time.Duration `yaml:"machine_list_interval" validate:"min=100ms,max=5m"`
}

// Shards says how programs are spread over owners.
type Shards struct {
	// Count is fixed for the site: all nodes have the same, and it never changes
	// while programs live.
	Count int `yaml:"count" validate:"min=1,max=65536"`
	// LeaseDuration is how long an owner may serve after its last renewal.
	LeaseDuration time.Duration `yaml:"lease_duration" validate:"min=500ms,max=5m"`
	// LeaseRenewal is the time between two renewals; at most a third of
	// LeaseDuration, so that one lost renewal costs nothing.
	LeaseRenewal time.Duration `yaml:"lease_renewal" validate:"min=50ms,max=1m"`
}

// Journal says how records go to the log, and bounds a shard's tail in memory.
type Journal struct {
	// ShardTailBytes is the size of one shard's tail that makes it fold into a
	// snapshot.
	ShardTailBytes int64 `yaml:"shard_tail_bytes" validate:"min=4096"`
	// FlushInterval is the time between two background appends to the log.
	FlushInterval time.Duration `yaml:"flush_interval" validate:"min=1ms,max=1m"`
	// DurableTimeout bounds how long an unrepeatable call waits for the log
	// before it is refused as not run.
	DurableTimeout time.Duration `yaml:"durable_timeout" validate:"min=100ms,max=5m"`
}

// Table says how this node follows the table's stream.
type Table struct {
	// PollWait is how long one read of the stream waits for a record.
	PollWait time.Duration `yaml:"poll_wait" validate:"min=100ms,max=1m"`
	// PeerInterval is the time between two looks for peers with newer versions.
	PeerInterval time.Duration `yaml:"peer_interval" validate:"min=50ms,max=1m"`
	// PublishTimeout bounds how long a publish waits for its outcome.
	PublishTimeout time.Duration `yaml:"publish_timeout" validate:"min=1s,max=5m"`
}

// Backends says how engines and applications are watched.
type Backends struct {
	// PollInterval is the time between two load reports of one back end.
	PollInterval time.Duration `yaml:"poll_interval" validate:"min=50ms,max=1m"`
	// PollTimeout bounds one load report.
	PollTimeout time.Duration `yaml:"poll_timeout" validate:"min=50ms,max=1m"`
	// ConnectTimeout bounds the making of a connection to a back end.
	ConnectTimeout time.Duration `yaml:"connect_timeout" validate:"min=50ms,max=1m"`
	// AuditInterval is the time between two searches for orphaned cache memory.
	AuditInterval time.Duration `yaml:"audit_interval" validate:"min=1s,max=1h"`
}

// Limits bound what callers can make a node hold.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64 `yaml:"body_bytes" validate:"min=1024,max=268435456"`
	// BodyTimeout is how long a request body may take to arrive.
	BodyTimeout time.Duration `yaml:"body_timeout" validate:"min=100ms,max=10m"`
	// SequenceGapWait is how long a call waits for an earlier one to arrive.
	SequenceGapWait time.Duration `yaml:"sequence_gap_wait" validate:"min=0s,max=5m"`
	// TableBytes is the largest table file.
	TableBytes int64 `yaml:"table_bytes" validate:"min=1024,max=67108864"`
}

// Drain says how a planned stop goes.
type Drain struct {
	// Timeout is when a planned stop gives up on requests that still run.
	Timeout time.Duration `yaml:"timeout" validate:"min=1s,max=1h"`
}

// Logging says what goes to standard error.
type Logging struct {
	Level  string `yaml:"level" validate:"oneof=debug info warn error"`
	Format string `yaml:"format" validate:"oneof=text json"`
}

// Default returns settings with every default. Node, addresses and platform
// have none.
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
