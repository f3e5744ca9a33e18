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

// leaseDriftShare is the part of a lease's duration that replicas add by default:
// it covers clocks that differ in speed by one part in ten.
const leaseDriftShare = 10

// The defaults of Config.
const (
	// DefaultLeaseDuration is the longest time that a shard stays without service
	// after its owner died, apart from the claim itself.
	DefaultLeaseDuration   = 2 * time.Second
	DefaultRenewInterval   = 500 * time.Millisecond
	DefaultReplicaTimeout  = time.Second
	DefaultLogTimeout      = 5 * time.Second
	DefaultDurableWait     = 5 * time.Second
	DefaultClaimTimeout    = 20 * time.Second
	DefaultClosingTimeout  = 35 * time.Second
	DefaultCopyTimeout     = 10 * time.Second
	DefaultReplaceDelay    = 2 * time.Second
	DefaultSettleDelay     = time.Second
	DefaultArmDelay        = time.Second
	DefaultGather          = 5 * time.Millisecond
	DefaultClaimRate       = 250
	DefaultMoveRate        = 100
	DefaultConcurrentMoves = 32
	DefaultBatchBytes      = 256 << 10
	DefaultSnapshotBytes   = 256 << 10
)

// Config is what a Manager works with. Fields with a default may be zero.
type Config struct {
	Self       identity.Node
	ShardCount int
	Lease      LeaseTerms
	// RenewInterval is the time between two renewals of all leases.
	RenewInterval time.Duration
	// ReplicaTimeout bounds one message to a replica, LogTimeout one request to
	// the log.
	ReplicaTimeout time.Duration
	LogTimeout     time.Duration
	// DurableWait bounds how long EnqueueDurable's wait lasts.
	DurableWait    time.Duration
	ClaimTimeout   time.Duration
	ClosingTimeout time.Duration
	// ReplaceDelay is how long a replica must be gone from the view before its
	// shards are claimed again without it.
	ReplaceDelay time.Duration
	// CopyTimeout bounds how long new replicas have to take the tail.
	CopyTimeout time.Duration
	// SettleDelay is how long a node that has just started waits for its view of the
	// members to fill before it claims.
	SettleDelay time.Duration
	// ArmDelay is how long the log must have been away before owners leave whole
	// states with their replicas and others may own shards without the log.
	ArmDelay time.Duration
	// Gather is how long the log writer lets records of one shard gather.
	Gather time.Duration
	// ClaimRate and MoveRate limit claims begun and shards handed over, per
	// second, so that a restart is no stampede.
	ClaimRate       rate.Limit
	MoveRate        rate.Limit
	ConcurrentMoves int
	// BatchBytes bounds one batch record. SnapshotBytes of records, or twice the
	// last snapshot's size if that is more, call for the next snapshot.
	BatchBytes    int
	SnapshotBytes int

	Log     siteservices.Log
	Peers   peer.Client
	Members *blackboard.Cell[membership.View]
	// Desired tells where a shard should be by a view; false where no node lives.
	Desired func(shard identity.ShardID, view membership.View) (placement.Assignment, bool)
	Host    Host
	Logger  *slog.Logger
	// Registerer takes the metrics; nil leaves them out.
	Registerer prometheus.Registerer
	// Random gives record ids and jitter; the Manager guards it with a lock.
	Random rand.Source
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Lease.Duration, DefaultLeaseDuration)
	defaults.Set(&c.Lease.Drift, c.Lease.Duration/leaseDriftShare)
	defaults.Set(&c.RenewInterval, DefaultRenewInterval)
	defaults.Set(&c.ReplicaTimeout, DefaultReplicaTimeout)
	defaults.Set(&c.LogTimeout, DefaultLogTimeout)
	defaults.Set(&c.DurableWait, DefaultDurableWait)
	defaults.Set(&c.ClaimTimeout, DefaultClaimTimeout)
	defaults.Set(&c.ClosingTimeout, DefaultClosingTimeout)
	defaults.Set(&c.CopyTimeout, DefaultCopyTimeout)
	defaults.Set(&c.ReplaceDelay, DefaultReplaceDelay)
	defaults.Set(&c.SettleDelay, DefaultSettleDelay)
	defaults.Set(&c.ArmDelay, DefaultArmDelay)
	defaults.Set(&c.Gather, DefaultGather)
	defaults.Set(&c.ClaimRate, DefaultClaimRate)
	defaults.Set(&c.MoveRate, DefaultMoveRate)
	defaults.Set(&c.ConcurrentMoves, DefaultConcurrentMoves)
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
