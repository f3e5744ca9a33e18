// Package table is the operators' table: rows of models, adapters and program
// classes, columns of weights, priorities, budgets and limits; its CSV form, its
// validation, and the rule by which versions follow each other. It is pure.
package table

import "time"

// Version numbers accepted versions from 1, in log order. 0 means none.
type Version uint64

// Table is one accepted version. It is never changed in place.
type Table struct {
	Version Version
	// Base is the version that this one was made from.
	Base Version
	// ID is the unique id that its publisher gave it.
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
	// MinReplicas and MaxReplicas bound how many engines have it loaded.
	MinReplicas int
	MaxReplicas int
	// ContextTokens is the longest prompt plus answer.
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
	// BudgetTokens is what one program may spend.
	BudgetTokens int64
	// MaxCalls, MaxBranches and MaxDuration stop endless programs.
	MaxCalls    int
	MaxBranches int
	MaxDuration time.Duration
	// IdleTimeout is how long a program may pause before it counts as dead.
	IdleTimeout time.Duration
	// CallTimeout bounds one call; MaxTokens is the default and the largest answer.
	CallTimeout time.Duration
	MaxTokens   int
	// MaxConcurrent bounds the class's calls that run at once at the site; 0 is no bound.
	MaxConcurrent int
	// TenantShare is the largest share of the class's capacity for one tenant, 0 to 1.
	TenantShare float64
	// KeepWarm is how long a paused program's cache is kept by preference.
	KeepWarm time.Duration
}
