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

// fullRetryAfter is the Retry-After delay for programs that are not admitted.
const fullRetryAfter = 500 * time.Millisecond

// admits reports whether a turn may start now. Only the first turn of a program is subject
// to admission control.
func (r *Router) admits(ctx context.Context, call *call, turn *coordinator.Turn) bool {
	if !turn.First || call.service.Slots == 0 {
		return true
	}
	var utilization float64
	if r.scansAll(call) || r.config.Keepers == nil {
		utilization = r.config.Tracker.Utilization(r.usable(call), call.service.Slots, r.Now())
	} else {
		utilization = r.sampledUtilization(ctx, call)
	}
	return balance.Admits(utilization, call.priority)
}

// sampledUtilization estimates the slot utilization of a service with many replicas from
// the aggregators of a sample.
func (r *Router) sampledUtilization(ctx context.Context, call *call) float64 {
	sampled := r.sampleForUtilization(call)
	queries := lo.Map(sampled, func(replica fleet.Replica, _ int) aggregator.Replica { return aggregatorReplica(replica, call) })
	inFlight, slots := 0, 0
	states := r.config.Keepers.Query(ctx, queries, nil)
	for i := range sampled {
		id := sampled[i].IncarnationID()
		slots += sampled[i].Slots
		inFlight += states[id].Load.InFlight + r.config.Tracker.Load(id, r.Now()).InFlight
	}
	if slots == 0 {
		return 0
	}
	return float64(inFlight) / float64(slots)
}
