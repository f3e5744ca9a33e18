// Package program is the pure state machine of one agent program: the order of
// its calls, its branches and their history, its budget, repeats, the intents of
// unrepeatable calls, the engines that hold its cache, and its end.
//
// Commands look at the state and return records; the state is the fold of the
// records (Program.Apply) and nothing else. The package imports no clock,
// network or randomness: the time is an argument.
//
// Invariants:
//   - A branch has at most one open call, and a call opens only once every call
//     before it in its branch is answered.
//   - Spent + Reserved never passes the budget: an attempt reserves its worst
//     case before it is sent, its result settles it, and an attempt whose result
//     is lost stays charged in full.
//   - An idempotency key names at most one call that ran.
//   - An engine that may hold cache of the program is a placement or stands in
//     the outbox until it confirmed the release.
package program

import (
	"time"

	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/wire"
)

// Limits are what the table granted the program when it was created. They stay
// for its whole life: a later version of the table changes neither a running
// program's budget nor its limits, so that no reservation that was made under
// them can turn out to be too large. Counts and durations of 0 are no bound; a
// budget of 0 is no tokens at all.
type Limits struct {
	Model        string
	Adapter      string
	BudgetTokens int64
	MaxCalls     int
	MaxBranches  int
	MaxDuration  time.Duration
	IdleTimeout  time.Duration
	CallTimeout  time.Duration
	MaxTokens    int
}

// LimitsOf returns the limits that class grants.
func LimitsOf(class table.Class) Limits {
	return Limits{
		Model:        class.Model,
		Adapter:      class.Adapter,
		BudgetTokens: class.BudgetTokens,
		MaxCalls:     class.MaxCalls,
		MaxBranches:  class.MaxBranches,
		MaxDuration:  class.MaxDuration,
		IdleTimeout:  class.IdleTimeout,
		CallTimeout:  class.CallTimeout,
		MaxTokens:    class.MaxTokens,
	}
}

func (l Limits) encode(e *wire.Encoder) {
	e.String(l.Model)
	e.String(l.Adapter)
	e.Int64(l.BudgetTokens)
	e.Int64(int64(l.MaxCalls))
	e.Int64(int64(l.MaxBranches))
	e.Duration(l.MaxDuration)
	e.Duration(l.IdleTimeout)
	e.Duration(l.CallTimeout)
	e.Int64(int64(l.MaxTokens))
}

func decodeLimits(d *wire.Decoder) Limits {
	return Limits{
		Model:        d.String(),
		Adapter:      d.String(),
		BudgetTokens: d.Int64(),
		MaxCalls:     int(d.Int64()),
		MaxBranches:  int(d.Int64()),
		MaxDuration:  d.Duration(),
		IdleTimeout:  d.Duration(),
		CallTimeout:  d.Duration(),
		MaxTokens:    int(d.Int64()),
	}
}
