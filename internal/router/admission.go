package router

import (
	"context"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/coordinator"
	"stepseam.example/stepseam/internal/fleet"
)

// fullComeBack is when a program that was not admitted may try again to begin.
const fullComeBack = 500 * time.Millisecond

// admits tells whether a turn may go to the service's engines now. Only the first
// turn of a program is refused.
func (r *Router) admits(ctx context.Context, call *call, turn *coordinator.Turn) bool {
	if !turn.First || call.service.Slots == 0 {
		return true
	}
	var utilization float64
	if r.scans(call) || r.config.Keepers == nil {
		utilization = r.config.Tracker.Utilization(r.usable(call), call.service.Slots, r.Now())
	} else {
		utilization = r.sampledUtilization(ctx, call)
	}
	return balance.Admits(utilization, call.priority)
}

// sampledUtilization estimates the use of the slots of many replicas from what the keepers
// of some say, drawn in the zones that a call may go to.
func (r *Router) sampledUtilization(ctx context.Context, call *call) float64 {
	drawn := r.sample(call)
	asked := lo.Map(drawn, func(replica fleet.Replica, _ int) aggregator.Replica { return kept(replica, call) })
	underWay, slots := 0, 0
	states := r.config.Keepers.Query(ctx, asked, nil)
	for i := range drawn {
		life := drawn[i].IncarnationID()
		slots += drawn[i].Slots
		underWay += states[life].Load.InFlight + r.config.Tracker.Load(life, r.Now()).InFlight
	}
	if slots == 0 {
		return 0
	}
	return float64(underWay) / float64(slots)
}
