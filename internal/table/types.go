// Package table implements the operators' table: rows for models, adapters and program
// classes with columns for weights, priorities, budgets and limits. It contains the
// CSV format, the validation, and the rule that decides which published version is
// accepted. It has no side effects.
package table

import "time"

// Version numbers accepted versions from 1, in log order. 0 means none.
type Version uint64

// Table is one accepted version. It must not be modified.
type Table struct {
	Version Version
	// Base is the version that this one replaces.
	Base Version
	// ID is the unique id of the publication.
	ID        string
	Author    string
	Note      string
	Published time.Time
	Models    map[string]Model
	Adapters  map[string]Adapter
	Classes   map[string]Class
}

// Model is one model row.
type Model struct {
	Name    string
	Version string
	// Service is the pool of engines that may serve it.
	Service string
	Weight  float64
	// MinReplicas and MaxReplicas bound the number of engines that have it loaded.
	MinReplicas int
	MaxReplicas int
	// ContextTokens is the maximum length of prompt plus answer.
	ContextTokens int
}

// Adapter is one adapter row; it belongs to a model.
type Adapter struct {
	Name    string
	Model   string
	Version string
	Weight  float64
}

// Class is one program class row.
type Class struct {
	Name    string
	Model   string
	Adapter string
	// Weight shares capacity between classes; Priority orders them.
	Weight   float64
	Priority int
	// BudgetTokens is the token budget of one program.
	BudgetTokens int64
	// MaxCalls, MaxBranches and MaxDuration stop programs that do not terminate.
	MaxCalls    int
	MaxBranches int
	MaxDuration time.Duration
	// IdleTimeout is how long a program may be idle before it expires.
	IdleTimeout time.Duration
	// CallTimeout bounds one call; MaxTokens is the default and the maximum length of
	// an answer.
	CallTimeout time.Duration
	MaxTokens   int
	// MaxConcurrent bounds the class's concurrent calls at the site; 0 is no limit.
	MaxConcurrent int
	// TenantShare is the maximum fraction of the class's capacity for one tenant, 0 to
	// 1.
	TenantShare float64
	// KeepWarm is the minimum time for which the cached prefixes of a paused program
	// are kept.
	KeepWarm time.Duration
}
