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

// Config is what an Owner needs. Self, ShardCount, Board, Directory and Policy
// are required; zero durations and counts take the defaults.
type Config struct {
	Self       identity.NodeName
	ShardCount int
	Board      *blackboard.Board
	Directory  backend.Directory
	Policy     scheduling.Policy
	// Logger may be nil, Registerer too.
	Logger     *slog.Logger
	Registerer prometheus.Registerer
	// ProgramAlive asks the site whether a program runs; the audit releases
	// nothing without it. known is false where nobody could say for certain.
	ProgramAlive func(ctx context.Context, program identity.ProgramID) (alive, known bool, err error)

	// CachedTokens is what is believed of a prefix at an engine, 0 also where
	// nothing is; it steers choices only. Without it, the engine of the branch's
	// last call counts as holding the whole conversation.
	CachedTokens func(backend string, program identity.ProgramID, branch identity.BranchID) int

	// ModelWait returns how long it takes until some engine has a model and its
	// adapter, false where one has them already or none will. Without it callers
	// are told the policy's time to come back.
	ModelWait func(model, adapter string) (time.Duration, bool)

	Timing Timing
	Bounds Bounds
	Hooks  Hooks
}

// Timing holds the owner's times.
type Timing struct {
	// GapWait is how long a call waits for an earlier one that nobody has sent.
	GapWait time.Duration
	// MaxCall bounds one call where its class sets no bound.
	MaxCall time.Duration
	// AttemptRetry is the first pause between attempts; it grows with jitter.
	AttemptRetry time.Duration
	// Stall is how long an attempt may make no progress at a back end that is
	// ejected, gone or has not reported for as long.
	Stall time.Duration
	// FenceLimit is how long a stream whose fate is unknown is cancelled before
	// the call runs again elsewhere without the confirmation.
	FenceLimit time.Duration
	// ReleaseRetry and ReleaseRetryMax bound the pauses between tries to release
	// cache; GoneAfter is how long an engine must be off the machine list until
	// its memory counts as gone with it.
	ReleaseRetry    time.Duration
	ReleaseRetryMax time.Duration
	GoneAfter       time.Duration
	// RequestTimeout bounds one cancel, release or held request.
	RequestTimeout time.Duration
	// Sweep is the time between looks for programs that are idle or over age.
	Sweep time.Duration
	// Tombstone is how long an ended program answers repeats.
	Tombstone time.Duration
	// Audit is the time between comparisons of an engine's memory with the owners.
	Audit time.Duration
	// Evict is the time between looks for paused branches whose cache is not worth
	// its memory any more.
	Evict time.Duration
	// CloseWait bounds the wait for application calls at a planned hand-over.
	CloseWait time.Duration
}

// Bounds holds the owner's limits of memory and retries.
type Bounds struct {
	// Attempts bounds the dispatches of one call that may have run.
	Attempts int
	// RetryRate and RetryBurst are the node's budget of such retries.
	RetryRate  float64
	RetryBurst int
	// EarlyCalls is how far ahead of its branch a call may arrive.
	EarlyCalls int
	// Tombstones bounds the ended programs kept for each shard.
	Tombstones int
	// Explanations bounds the decisions kept for Explain.
	Explanations int
}

// Hooks replace single rules by wrong ones, so that checkers can show that they
// notice. All are nil in a daemon.
type Hooks struct {
	// Reserve replaces program.WorstCase.
	Reserve func(prompt, answer int64) int64
	// CheckLease replaces the look at the lease.
	CheckLease func(shard journal.Shard) error
	// Durable tells whether a call's intent must stand in the log.
	Durable func(call identity.CallID, unrepeatable bool) bool
	// RunsAgain tells whether a call with a lost attempt may run again.
	RunsAgain func(call identity.CallID, unrepeatable bool) bool
	// Fence replaces the cancelling of a lost stream.
	Fence func(stream identity.StreamID) error
	// Release tells whether the outbox is worked off.
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

// notOwnerRetry is when a caller who met no owner should come back.
const notOwnerRetry = 500 * time.Millisecond

// NotOwnerError tells that this node does not own the program's shard, or not
// any more. It is journal.ErrNotOwner and an *api.Problem with
// api.CodeNoOwner. A request that fails with it is to be repeated, unchanged,
// at the next owner, who joins it, replays it or runs it.
type NotOwnerError struct {
	Shard   identity.ShardID
	Problem *api.Problem
}

func notOwner(shard identity.ShardID) error {
	problem := api.NewProblem(api.CodeNoOwner, "shard %d has no owner here", shard).
		WithNotRun(false).WithRetryAfter(notOwnerRetry)
	return &NotOwnerError{Shard: shard, Problem: problem}
}

// neverOwner is notOwner for a request that this node did nothing with.
func neverOwner(shard identity.ShardID) error {
	problem := api.NewProblem(api.CodeNoOwner, "shard %d has no owner here", shard).WithRetryAfter(notOwnerRetry)
	return &NotOwnerError{Shard: shard, Problem: problem}
}

// Error implements error.
func (e *NotOwnerError) Error() string { return "serving: " + e.Problem.Error() }

// Unwrap makes errors.Is and errors.As see both sides.
func (e *NotOwnerError) Unwrap() []error { return []error{journal.ErrNotOwner, e.Problem} }

// IsNotOwner tells that err asks for the next owner of the shard.
func IsNotOwner(err error) bool { return errors.Is(err, journal.ErrNotOwner) }
