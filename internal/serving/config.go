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
	Bounds Bounds
	Hooks  Hooks
}

// Timing holds the timeouts and intervals of an Owner.
type Timing struct {
	// GapWait is how long a call waits for an earlier call of its branch that has not
	// arrived.
	GapWait time.Duration
	// MaxCall is the time limit of a call whose class sets none.
	MaxCall time.Duration
	// AttemptRetry is the initial interval of the exponential backoff between attempts.
	AttemptRetry time.Duration
	// Stall is how long an attempt may make no progress at a back end that is ejected,
	// unknown or has not reported for as long.
	Stall time.Duration
	// FenceLimit is how long cancelling a stream of unknown outcome is retried before the
	// call runs elsewhere without a confirmation.
	FenceLimit time.Duration
	// ReleaseRetry and ReleaseRetryMax bound the backoff between attempts to release
	// cache. GoneAfter is how long releases are retried before an engine that is missing
	// from the machine list counts as removed, with its memory.
	ReleaseRetry    time.Duration
	ReleaseRetryMax time.Duration
	GoneAfter       time.Duration
	// RequestTimeout bounds one cancel, release or listing request to an engine.
	RequestTimeout time.Duration
	// Sweep is the interval between checks for idle and over-age programs.
	Sweep time.Duration
	// Tombstone is how long an ended program is retained to answer repeated requests.
	Tombstone time.Duration
	// Audit is the interval between audits of the engines' memory.
	Audit time.Duration
	// Evict is the interval between searches for paused branches whose cache is no longer
	// worth its memory.
	Evict time.Duration
	// CloseWait bounds the wait for application calls during a planned handover.
	CloseWait time.Duration
}

// Bounds holds the limits on memory and retries of an Owner.
type Bounds struct {
	// Attempts limits the attempts of one call that may have run.
	Attempts int
	// RetryRate and RetryBurst limit the retries of such attempts on this node.
	RetryRate  float64
	RetryBurst int
	// EarlyCalls limits how far the sequence of an arriving call may be ahead of its
	// branch.
	EarlyCalls int
	// Tombstones limits the ended programs retained per shard.
	Tombstones int
	// Explanations limits the decisions retained for Explain.
	Explanations int
}

// Hooks replace single rules by incorrect ones, so that a test can verify that its checks
// detect the violation. All are nil in a daemon.
type Hooks struct {
	// Reserve replaces program.WorstCase.
	Reserve func(prompt, answer int64) int64
	// CheckLease replaces the check of the shard's lease.
	CheckLease func(shard journal.Shard) error
	// Durable reports whether the intent of a call must be durable in the log before
	// dispatch.
	Durable func(call identity.CallID, unrepeatable bool) bool
	// RunsAgain reports whether a call with a lost attempt may run again.
	RunsAgain func(call identity.CallID, unrepeatable bool) bool
	// Fence replaces the cancellation of a lost stream.
	Fence func(stream identity.StreamID) error
	// Release reports whether the outbox of a program is processed.
	Release func(program identity.ProgramID) bool
}

func defaultTiming() Timing {
	return Timing{
		GapWait:         5 * time.Second,
		MaxCall:         10 * time.Minute,
		AttemptRetry:    50 * time.Millisecond,
		Stall:           5 * time.Second,
		FenceLimit:      20 * time.Second,
		ReleaseRetry:    100 * time.Millisecond,
		ReleaseRetryMax: 5 * time.Second,
		GoneAfter:       30 * time.Second,
		RequestTimeout:  3 * time.Second,
		Sweep:           time.Second,
		Tombstone:       10 * time.Minute,
		Audit:           15 * time.Second,
		Evict:           5 * time.Second,
		CloseWait:       30 * time.Second,
	}
}

func defaultBounds() Bounds {
	return Bounds{
		Attempts:     4,
		RetryRate:    10,
		RetryBurst:   50,
		EarlyCalls:   32,
		Tombstones:   256,
		Explanations: 4096,
	}
}

func (t *Timing) setDefaults() {
	fallback := defaultTiming()
	defaults.Set(&t.GapWait, fallback.GapWait)
	defaults.Set(&t.MaxCall, fallback.MaxCall)
	defaults.Set(&t.AttemptRetry, fallback.AttemptRetry)
	defaults.Set(&t.Stall, fallback.Stall)
	defaults.Set(&t.FenceLimit, fallback.FenceLimit)
	defaults.Set(&t.ReleaseRetry, fallback.ReleaseRetry)
	defaults.Set(&t.ReleaseRetryMax, fallback.ReleaseRetryMax)
	defaults.Set(&t.GoneAfter, fallback.GoneAfter)
	defaults.Set(&t.RequestTimeout, fallback.RequestTimeout)
	defaults.Set(&t.Sweep, fallback.Sweep)
	defaults.Set(&t.Tombstone, fallback.Tombstone)
	defaults.Set(&t.Audit, fallback.Audit)
	defaults.Set(&t.Evict, fallback.Evict)
	defaults.Set(&t.CloseWait, fallback.CloseWait)
}

func (b *Bounds) setDefaults() {
	fallback := defaultBounds()
	defaults.Set(&b.Attempts, fallback.Attempts)
	defaults.Set(&b.RetryRate, fallback.RetryRate)
	defaults.Set(&b.RetryBurst, fallback.RetryBurst)
	defaults.Set(&b.EarlyCalls, fallback.EarlyCalls)
	defaults.Set(&b.Tombstones, fallback.Tombstones)
	defaults.Set(&b.Explanations, fallback.Explanations)
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
