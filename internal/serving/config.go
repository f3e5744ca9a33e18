package serving

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/defaults"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/scheduling"
)

// Config configures an Owner. Self, ShardCount, Board, Directory and Policy are required;
// zero durations and counts take their defaults.
type Config struct {
	Self       identity.NodeName
	ShardCount int
	Board      *blackboard.Board
	Directory  backend.Directory
	Policy     scheduling.Policy
	// Logger and Registerer may be nil.
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// ProgramAlive queries the site for whether a program runs. known is false if no
	// authoritative answer is available. Without this function, the audit releases
	// nothing.
	ProgramAlive func(ctx context.Context, program identity.ProgramID) (alive, known bool, err error)

	// CachedTokens estimates the cached tokens of a branch at an engine; 0 if nothing is
	// known. It only influences the choice of an engine. Without this function, the
	// engine of the branch's last call is assumed to have the whole conversation cached.
	CachedTokens func(backend string, program identity.ProgramID, branch identity.BranchID) int

	// ModelWait returns the expected time until an engine has a model and its adapter
	// loaded, and false if one has them already or none is going to. Without this
	// function, refused callers get the retry delay of the policy.
	ModelWait func(model, adapter string) (time.Duration, bool)

	Timing Timing
	Limits Limits
	Hooks  Hooks
}

// Timing holds the timeouts and intervals of an Owner.
type Timing struct {
	// SequenceGapTimeout is how long a call waits for an earlier call of its branch that
	// has not arrived.
	SequenceGapTimeout time.Duration
	// DefaultCallTimeout is the time limit of a call whose class sets none.
	DefaultCallTimeout time.Duration
	// RetryInterval is the initial interval of the exponential backoff between attempts.
	RetryInterval time.Duration
	// StallTimeout is how long an attempt may make no progress at a back end that is
	// ejected, unknown or has not reported for as long.
	StallTimeout time.Duration
	// FenceTimeout is how long cancelling a stream of unknown outcome is retried before
	// the call runs elsewhere without a confirmation.
	FenceTimeout time.Duration
	// ReleaseRetryMin and ReleaseRetryMax bound the backoff between attempts to release
	// cache. RemovedEngineDelay is how long releases are retried before an engine that is
	// missing from the machine list counts as removed, with its memory.
	ReleaseRetryMin    time.Duration
	ReleaseRetryMax    time.Duration
	RemovedEngineDelay time.Duration
	// RequestTimeout bounds one cancel, release or listing request to an engine.
	RequestTimeout time.Duration
	// SweepInterval is the interval between checks for idle and over-age programs.
	SweepInterval time.Duration
	// TombstoneTTL is how long an ended program is retained to answer repeated requests.
	TombstoneTTL time.Duration
	// AuditInterval is the interval between audits of the engines' memory.
	AuditInterval time.Duration
	// EvictionInterval is the interval between searches for paused branches whose cache
	// is no longer worth its memory.
	EvictionInterval time.Duration
	// HandoverTimeout bounds the wait for application calls during a planned handover.
	HandoverTimeout time.Duration
}

// Limits holds the limits on memory and retries of an Owner.
type Limits struct {
	// MaxAttempts limits the attempts of one call that may have run.
	MaxAttempts int
	// RetryRate and RetryBurst limit the retries of such attempts on this node.
	RetryRate  float64
	RetryBurst int
	// MaxSequenceLead limits how far the sequence of an arriving call may be ahead of its
	// branch.
	MaxSequenceLead int
	// MaxTombstones limits the ended programs retained per shard.
	MaxTombstones int
	// MaxExplanations limits the decisions retained for Explain.
	MaxExplanations int
}

// Hooks replace single rules by incorrect ones, so that a test can verify that its checks
// detect the violation. All are nil in a daemon.
type Hooks struct {
	// Reserve replaces program.WorstCase.
	Reserve func(prompt, answer int64) int64
	// CheckLease replaces the check of the shard's lease.
	CheckLease func(shard journal.Shard) error
	// RequiresDurableIntent reports whether the intent of a call must be durable in the
	// log before dispatch.
	RequiresDurableIntent func(call identity.CallID, unrepeatable bool) bool
	// MayRetry reports whether a call with a lost attempt may run again.
	MayRetry func(call identity.CallID, unrepeatable bool) bool
	// Fence replaces the cancellation of a lost stream.
	Fence func(stream identity.StreamID) error
	// Release reports whether the outbox of a program is processed.
	Release func(program identity.ProgramID) bool
}

func defaultTiming() Timing {
	return Timing{
		SequenceGapTimeout: 5 * time.Second,
		DefaultCallTimeout: 10 * time.Minute,
		RetryInterval:      50 * time.Millisecond,
		StallTimeout:       5 * time.Second,
		FenceTimeout:       20 * time.Second,
		ReleaseRetryMin:    100 * time.Millisecond,
		ReleaseRetryMax:    5 * time.Second,
		RemovedEngineDelay: 30 * time.Second,
		RequestTimeout:     3 * time.Second,
		SweepInterval:      time.Second,
		TombstoneTTL:       10 * time.Minute,
		AuditInterval:      15 * time.Second,
		EvictionInterval:   5 * time.Second,
		HandoverTimeout:    30 * time.Second,
	}
}

func defaultLimits() Limits {
	return Limits{
		MaxAttempts:     4,
		RetryRate:       10,
		RetryBurst:      50,
		MaxSequenceLead: 32,
		MaxTombstones:   256,
		MaxExplanations: 4096,
	}
}

func (t *Timing) setDefaults() {
	fallback := defaultTiming()
	defaults.Set(&t.SequenceGapTimeout, fallback.SequenceGapTimeout)
	defaults.Set(&t.DefaultCallTimeout, fallback.DefaultCallTimeout)
	defaults.Set(&t.RetryInterval, fallback.RetryInterval)
	defaults.Set(&t.StallTimeout, fallback.StallTimeout)
	defaults.Set(&t.FenceTimeout, fallback.FenceTimeout)
	defaults.Set(&t.ReleaseRetryMin, fallback.ReleaseRetryMin)
	defaults.Set(&t.ReleaseRetryMax, fallback.ReleaseRetryMax)
	defaults.Set(&t.RemovedEngineDelay, fallback.RemovedEngineDelay)
	defaults.Set(&t.RequestTimeout, fallback.RequestTimeout)
	defaults.Set(&t.SweepInterval, fallback.SweepInterval)
	defaults.Set(&t.TombstoneTTL, fallback.TombstoneTTL)
	defaults.Set(&t.AuditInterval, fallback.AuditInterval)
	defaults.Set(&t.EvictionInterval, fallback.EvictionInterval)
	defaults.Set(&t.HandoverTimeout, fallback.HandoverTimeout)
}

func (b *Limits) setDefaults() {
	fallback := defaultLimits()
	defaults.Set(&b.MaxAttempts, fallback.MaxAttempts)
	defaults.Set(&b.RetryRate, fallback.RetryRate)
	defaults.Set(&b.RetryBurst, fallback.RetryBurst)
	defaults.Set(&b.MaxSequenceLead, fallback.MaxSequenceLead)
	defaults.Set(&b.MaxTombstones, fallback.MaxTombstones)
	defaults.Set(&b.MaxExplanations, fallback.MaxExplanations)
}

// notOwnerRetry is the retry delay of a caller that reached a node which does not own the
// shard.
const notOwnerRetry = 500 * time.Millisecond

// NotOwnerError reports that this node does not own, or no longer owns, the shard of the
// program. It wraps journal.ErrNotOwner and an *api.Problem with api.CodeNoOwner. The
// request is to be repeated unchanged at the next owner, which joins, replays or runs it.
type NotOwnerError struct {
	Shard   identity.ShardID
	Problem *api.Problem
}

func notOwner(shard identity.ShardID) error {
	problem := api.NewProblem(api.CodeNoOwner, "shard %d has no owner here", shard).
		WithNotRun(false).WithRetryAfter(notOwnerRetry)
	return &NotOwnerError{Shard: shard, Problem: problem}
}

// notOwnerNotRun is notOwner for a request that this node has not accepted.
func notOwnerNotRun(shard identity.ShardID) error {
	problem := api.NewProblem(api.CodeNoOwner, "shard %d has no owner here", shard).WithRetryAfter(notOwnerRetry)
	return &NotOwnerError{Shard: shard, Problem: problem}
}

// Error implements error.
func (e *NotOwnerError) Error() string { return "serving: " + e.Problem.Error() }

// Unwrap returns journal.ErrNotOwner and the problem.
func (e *NotOwnerError) Unwrap() []error { return []error{journal.ErrNotOwner, e.Problem} }

// IsNotOwner reports whether err means that the request must go to the next owner of the
// shard.
func IsNotOwner(err error) bool { return errors.Is(err, journal.ErrNotOwner) }
