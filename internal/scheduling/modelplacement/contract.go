// Package modelplacement decides which engine of a service is to load or unload
// which model or adapter. It is pure: a snapshot goes in, a plan of few orders
// with their reasons comes out.
//
// Invariants of every plan:
//   - Rows with min_replicas 0 are left alone, and so are models and adapters
//     that the table lacks.
//   - Replicas stay within min_replicas and max_replicas; no order takes a model
//     below min_replicas or from its only engine.
//   - An engine gets one order at a time and none while it leaves or is ejected.
//   - Orders under way, those of the plan included, stay within
//     Parameters.MaxInFlight for the service and one version change per model.
//   - Demand adds replicas and never takes one away, so that a plan can't flap.
package modelplacement

import (
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

// Snapshot is one service as the acting node sees it.
type Snapshot struct {
	Models   []table.Model
	Adapters []table.Adapter
	Engines  []Engine
	// ModelDemand and AdapterDemand are the calls at once, running and waiting,
	// over the last minutes.
	ModelDemand   map[string]float64
	AdapterDemand map[string]float64
}

// Engine is one engine of the service. Its maps are read only.
type Engine struct {
	Name string
	Zone identity.Zone
	// Schedulable engines may get orders: healthy, staying, with a fresh report.
	Schedulable bool
	// Available engines' replicas count; those that leave or were away for long don't.
	Available bool
	// Models and Adapters map what is loaded to its version.
	Models   map[string]string
	Adapters map[string]string
	// Loading are the orders under way.
	Loading []backend.Order
	// Load is the running and waiting calls; QuietFor is how long there were none.
	Load    int
	IdleFor time.Duration
	// CacheUsed is the part of the cache in use, 0 to 1.
	CacheUsed float64
	// Refused are subjects whose load the engine refused lately.
	Refused map[string]bool
}

// Parameters bound the plans.
type Parameters struct {
	// MaxInFlight bounds the orders under way in the service.
	MaxInFlight int
	// CallsPerReplica is the demand that one replica takes before another one is
	// loaded, where min_replicas and max_replicas leave room.
	CallsPerReplica float64
	// IdleBeforeUnload is how long an engine must have had no call at all before
	// a model is taken from it. It is far longer than reports lag.
	IdleBeforeUnload time.Duration
}

// DefaultParameters returns the bounds of a daemon.
func DefaultParameters() Parameters {
	return Parameters{MaxInFlight: 2, CallsPerReplica: 8, IdleBeforeUnload: 30 * time.Second}
}

// Order is one order of a plan.
type Order struct {
	Engine  string            `json:"engine"`
	Kind    backend.OrderKind `json:"kind"`
	Subject string            `json:"subject"`
	Version string            `json:"version"`
	Reason  string            `json:"reason"`
}

// Plan is what to do now, most urgent first, and what can't be done.
type Plan struct {
	Orders []Order
	// Shortfalls tell which rows can't be met and why, one line each.
	Shortfalls []string
}
