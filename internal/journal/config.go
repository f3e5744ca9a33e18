package journal

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/defaults"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/placement"
	"stepseam.example/stepseam/internal/siteservices"
)

// leaseDriftDivisor gives the default of LeaseTerms.Drift as a fraction of the
// lease's duration: a tenth covers clocks whose rates differ by 10%.
const leaseDriftDivisor = 10

// Defaults of Config.
const (
	// DefaultLeaseDuration bounds how long a shard is without an owner after a crash,
	// apart from the time that the claim takes.
	DefaultLeaseDuration       = 2 * time.Second
	DefaultRenewInterval       = 500 * time.Millisecond
	DefaultReplicaTimeout      = time.Second
	DefaultLogTimeout          = 5 * time.Second
	DefaultDurableWait         = 5 * time.Second
	DefaultClaimTimeout        = 20 * time.Second
	DefaultClosingTimeout      = 35 * time.Second
	DefaultCopyTimeout         = 10 * time.Second
	DefaultReplaceDelay        = 2 * time.Second
	DefaultSettleDelay         = time.Second
	DefaultInterimDelay        = time.Second
	DefaultBatchDelay          = 5 * time.Millisecond
	DefaultClaimRate           = 250
	DefaultHandOverRate        = 100
	DefaultConcurrentHandOvers = 32
	DefaultBatchBytes          = 256 << 10
	DefaultSnapshotBytes       = 256 << 10
)

// Config configures a Manager. Fields with a default may be zero.
type Config struct {
	Self       identity.Node
	ShardCount int
	Lease      LeaseTerms
	// RenewInterval is the time between two renewals of all leases.
	RenewInterval time.Duration
	// ReplicaTimeout bounds one request to a replica, LogTimeout one request to the
	// log.
	ReplicaTimeout time.Duration
	LogTimeout     time.Duration
	// DurableWait bounds the wait that EnqueueDurable returns.
	DurableWait    time.Duration
	ClaimTimeout   time.Duration
	ClosingTimeout time.Duration
	// ReplaceDelay is how long a replica must be missing from the membership view, or
	// unreachable, before it is replaced.
	ReplaceDelay time.Duration
	// CopyTimeout bounds the time for new replicas to receive the tail.
	CopyTimeout time.Duration
	// SettleDelay is how long a starting node waits for its membership view to fill
	// before it claims shards.
	SettleDelay time.Duration
	// InterimDelay is how long the log must have been unavailable before owners
	// authorize interim takeovers and other nodes may own shards without the log.
	InterimDelay time.Duration
	// BatchDelay is how long the log writer waits to batch records of one shard.
	BatchDelay time.Duration
	// ClaimRate and HandOverRate limit the claims and hand-overs that start in a
	// second, which spreads the load of a restart.
	ClaimRate           rate.Limit
	HandOverRate        rate.Limit
	ConcurrentHandOvers int
	// BatchBytes bounds one batch record. The next snapshot is taken after
	// SnapshotBytes of records, or twice the size of the last snapshot if that is more.
	BatchBytes    int
	SnapshotBytes int

	Log     siteservices.Log
	Peers   peer.Client
	Members *blackboard.Cell[membership.View]
	// Desired returns the desired placement of a shard for a view; false if no node can
	// have it.
	Desired func(shard identity.ShardID, view membership.View) (placement.Assignment, bool)
	Host    Host
	Logger  *slog.Logger
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
	// Random is the source of record ids and jitter; the Manager guards it with a lock.
	Random rand.Source
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Lease.Duration, DefaultLeaseDuration)
	defaults.Set(&c.Lease.Drift, c.Lease.Duration/leaseDriftDivisor)
	defaults.Set(&c.RenewInterval, DefaultRenewInterval)
	defaults.Set(&c.ReplicaTimeout, DefaultReplicaTimeout)
	defaults.Set(&c.LogTimeout, DefaultLogTimeout)
	defaults.Set(&c.DurableWait, DefaultDurableWait)
	defaults.Set(&c.ClaimTimeout, DefaultClaimTimeout)
	defaults.Set(&c.ClosingTimeout, DefaultClosingTimeout)
	defaults.Set(&c.CopyTimeout, DefaultCopyTimeout)
	defaults.Set(&c.ReplaceDelay, DefaultReplaceDelay)
	defaults.Set(&c.SettleDelay, DefaultSettleDelay)
	defaults.Set(&c.InterimDelay, DefaultInterimDelay)
	defaults.Set(&c.BatchDelay, DefaultBatchDelay)
	defaults.Set(&c.ClaimRate, DefaultClaimRate)
	defaults.Set(&c.HandOverRate, DefaultHandOverRate)
	defaults.Set(&c.ConcurrentHandOvers, DefaultConcurrentHandOvers)
	defaults.Set(&c.BatchBytes, DefaultBatchBytes)
	defaults.Set(&c.SnapshotBytes, DefaultSnapshotBytes)
	if c.Desired == nil {
		cache := &placement.Cache{}
		c.Desired = func(shard identity.ShardID, view membership.View) (placement.Assignment, bool) {
			return cache.Get(view).Desired(shard)
		}
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Random == nil {
		c.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	return c
}
