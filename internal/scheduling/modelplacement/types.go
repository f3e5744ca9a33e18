// Package modelplacement decides which engines of a service load or unload
// which models and adapters. It has no state and no side effects: Decide maps a
// snapshot to a plan of orders with their reasons.
//
// Invariants of every plan:
//   - Rows with min_replicas 0 are ignored, and so are models and adapters that
//     are not in the table.
//   - Replicas stay within min_replicas and max_replicas; no order takes a model
//     below min_replicas or from its only engine.
//   - An engine receives one order at a time, and none while it is leaving or
//     ejected.
//   - The orders in progress, including those of the plan, do not exceed
//     Parameters.MaxInFlight per service, and one version change per model.
//   - Demand only adds replicas and never removes one, so that plans do not
//     oscillate.
package modelplacement

import (
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

// Snapshot is the state of one service as seen by the node that places its
// models.
type Snapshot struct {
	Models   []table.Model
	Adapters []table.Adapter
	Engines  []Engine
	// ModelDemand and AdapterDemand are smoothed numbers of concurrent calls,
	// running and waiting, by name.
	ModelDemand   map[string]float64
	AdapterDemand map[string]float64
}

// Engine is one engine of the service. Its maps must not be modified.
type Engine struct {
	Name string
	Zone identity.Zone
	// Schedulable engines may receive orders: they are healthy, not leaving, and
	// their last report is recent.
	Schedulable bool
	// Available engines count towards min_replicas. An engine that is leaving or
	// has been unreachable for long is not available.
	Available bool
	// Models and Adapters map the names of what is loaded to versions.
	Models   map[string]string
	Adapters map[string]string
	// Loading lists the orders in progress.
	Loading []backend.Order
	// Load is the number of running and waiting calls; IdleFor is the time since
	// there last was one.
	Load    int
	IdleFor time.Duration
	// CacheUsed is the fraction of the cache in use, 0 to 1.
	CacheUsed float64
	// Refused contains the subjects whose load the engine refused recently.
	Refused map[string]bool
}

// Parameters are the limits of plans.
type Parameters struct {
	// MaxInFlight is the maximum number of orders in progress per service.
	MaxInFlight int
	// CallsPerReplica is the demand per replica above which another replica is
	// loaded, if max_replicas allows it.
	CallsPerReplica float64
	// IdleBeforeUnload is how long an engine must have been without any call
	// before a model is unloaded from it. It must be much longer than the lag of
	// reports.
	IdleBeforeUnload time.Duration
}

// DefaultParameters returns the parameters that the daemon uses.
func DefaultParameters() Parameters {
	return Parameters{MaxInFlight: 2, CallsPerReplica: 8, IdleBeforeUnload: 30 * time.Second}
}

// Order is one order of a plan. Its fields are part of the operators' JSON API.
type Order struct {
	Engine  string            `json:"engine"`
	Kind    backend.OrderKind `json:"kind"`
	Subject string            `json:"subject"`
	Version string            `json:"version"`
	Reason  string            `json:"reason"`
}

// Plan lists the orders to give now, most urgent first, and what cannot be met.
type Plan struct {
	Orders []Order
	// Shortfalls describes the rows that cannot be met and why, one line each.
	Shortfalls []string
}
