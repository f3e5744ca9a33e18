// Package program is the deterministic state machine of an agent program: the order
// of its calls, its branches and their history, its budget, duplicate calls, the
// intents of unrepeatable calls, the engines that may have its prefixes cached, and
// its end.
//
// Commands read the state and return records; the state changes only by applying
// records (Program.Apply). The package uses no clock, network or randomness: the
// current time is an argument.
//
// Invariants:
//   - A branch has at most one open call, and a call opens only once all earlier
//     calls of its branch are answered.
//   - Spent + Reserved never exceeds the budget: an attempt reserves its worst
//     case before it is sent, its result settles the reservation, and an attempt
//     without a known result stays charged in full.
//   - At most one call with a given idempotency key has run.
//   - An engine that may have cached prefixes of the program is a placement or in
//     the outbox until it has confirmed the release.
package program

import (
	"time"

	"stepseam.example/stepseam/internal/table"
	"stepseam.example/stepseam/internal/wire"
)

// Limits are the limits of a program's class at its creation. Later versions of the
// table do not affect running programs, so that existing reservations never exceed
// the budget. Counts and durations of 0 are no limit; a budget of 0 allows no
// tokens.
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

// LimitsOf returns the limits of programs of class.
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
