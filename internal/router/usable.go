package router

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/clientconn"
	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/fleet"
)

var (
	// errEvacuated means that the replica's zone was evacuated after the replica was
	// selected.
	errEvacuated = errors.New("router: zone of the replica is evacuated")
	// errCold means that this node has no permit for a cold replica.
	errCold = errors.New("router: no permit for a cold replica")
	// errNoAllowedRegion means that no replica is in the regions where the request's data
	// may be.
	errNoAllowedRegion = errors.New("router: no replica in the allowed regions")
)

const (
	// reasonEvacuated is the rejection reason if all replicas are in evacuated zones.
	reasonEvacuated = "zones_evacuated"
	// reasonNoAllowedRegion is the rejection reason if no replica is in the allowed
	// regions.
	reasonNoAllowedRegion = "no_replica_in_homes"
	// reasonCold is the rejection reason if this node has no permit for any replica, since
	// all are cold.
	reasonCold = "replicas_cold"
	// unavailableRetryAfter is the Retry-After delay if all replicas are evacuated or
	// outside the allowed regions. These conditions last for at least seconds.
	unavailableRetryAfter = time.Second
)

// allowedReplicas returns the replicas of a call's service in the allowed regions. The
// caller must not modify the slice.
func (r *Router) allowedReplicas(call *call) []fleet.Replica {
	replicas := r.config.Fleet.Usable(call.service.Name, r.Now())
	if call.origin != nil {
		replicas = lo.Filter(replicas, func(replica fleet.Replica, _ int) bool { return call.acceptsVersion(&replica) })
	}
	if !call.allowedRegions.Restricted() {
		return replicas
	}
	return lo.Filter(replicas, func(replica fleet.Replica, _ int) bool {
		return r.config.Regions.Allows(call.allowedRegions, replica.Zone)
	})
}

// usable returns the allowed replicas outside evacuated zones. The caller must not modify
// the slice.
func (r *Router) usable(call *call) []fleet.Replica {
	replicas := r.allowedReplicas(call)
	if r.config.Evacuations == nil || !r.config.Evacuations.AnyEvacuated() {
		return replicas
	}
	return lo.Reject(replicas, func(replica fleet.Replica, _ int) bool { return r.config.Evacuations.Evacuated(replica.Zone) })
}

// zoneAllowed reports whether a zone is in the call's allowed regions.
func (r *Router) zoneAllowed(call *call, zone string) bool {
	return !call.allowedRegions.Restricted() || r.config.Regions.Allows(call.allowedRegions, zone)
}

// zoneUsable reports whether a zone is allowed for the call and not evacuated.
func (r *Router) zoneUsable(call *call, zone string) bool {
	evacuated := r.config.Evacuations != nil && r.config.Evacuations.Evacuated(zone)
	return !evacuated && r.zoneAllowed(call, zone)
}

// isEligible reports whether this node may send a call to a replica of a usable zone at the
// given time.
func (r *Router) isEligible(call *call, replica *fleet.Replica, now time.Duration) bool {
	return !r.limitsCold(call) || r.config.ColdStart.MaySend(replica.IncarnationID(), coldRateLimit(call), now)
}

// anyReplica reports whether any replica that the call may go to by its version satisfies fits.
func (r *Router) anyReplica(call *call, fits func(*fleet.Replica) bool) bool {
	return r.config.Fleet.Any(call.service.Name, func(replica *fleet.Replica) bool { return call.acceptsVersion(replica) && fits(replica) }, r.Now())
}

// noReplicaRejection returns the rejection of a call that has not run and that no replica
// accepted at the given time. It returns otherwise if neither allowed regions, evacuations
// nor cold replicas are the cause.
func (r *Router) noReplicaRejection(call *call, now time.Duration, otherwise rejection) rejection {
	allowed := r.anyReplica(call, func(replica *fleet.Replica) bool { return r.zoneAllowed(call, replica.Zone) })
	usable := allowed && r.anyReplica(call, func(replica *fleet.Replica) bool { return r.zoneUsable(call, replica.Zone) })
	eligible := usable && r.anyReplica(call, func(replica *fleet.Replica) bool {
		return r.zoneUsable(call, replica.Zone) && r.isEligible(call, replica, now)
	})
	switch {
	case call.origin != nil && !r.anyReplica(call, func(*fleet.Replica) bool { return true }):
		return rejection{reason: reasonVersionGone, retryAfter: unavailableRetryAfter, cause: errVersionGone}
	case call.allowedRegions.Restricted() && !allowed:
		return rejection{reason: reasonNoAllowedRegion, retryAfter: unavailableRetryAfter, cause: fmt.Errorf("%w: %s", errNoAllowedRegion, call.allowedRegions)}
	case allowed && !usable:
		return rejection{reason: reasonEvacuated, retryAfter: unavailableRetryAfter, cause: otherwise.cause}
	case usable && !eligible:
		return rejection{reason: reasonCold, retryAfter: shortRetryAfter, cause: otherwise.cause}
	}
	return otherwise
}

// coldRateLimit returns the rate limit for cold replicas of a call's service.
func coldRateLimit(call *call) coldstart.RateLimit {
	return coldstart.RateLimit{PerSecond: call.service.ColdPerSecond, ColdDuration: call.service.ColdFor}
}

// limitsCold reports whether cold replicas of a call's service are rate limited.
func (r *Router) limitsCold(call *call) bool {
	return r.config.ColdStart != nil && call.service.ColdPerSecond > 0
}

// isCold reports whether a replica of a call's service counts as cold.
func (r *Router) isCold(call *call, instance string) bool {
	return r.limitsCold(call) && r.config.ColdStart.Cold(instance, coldRateLimit(call), r.Now())
}

// eligible returns the usable replicas that this node may send requests to at the given
// time.
func (r *Router) eligible(call *call, now time.Duration) []fleet.Replica {
	replicas := r.usable(call)
	if !r.limitsCold(call) {
		return replicas
	}
	return lo.Filter(replicas, func(replica fleet.Replica, _ int) bool { return r.isEligible(call, &replica, now) })
}

// acquireSend returns an error if a request must no longer be sent to the selected
// replica. It is called immediately before each send, after everything else that can block, and
// takes a permit if the replica's service limits cold replicas. A request that is sent again
// on another connection takes another token of the tenant's limit.
func (r *Router) acquireSend(ctx context.Context, call *call, replica fleet.Replica) error {
	if err := r.beginAttempt(ctx, call, &replica); err != nil {
		return err
	}
	if err := r.admitRepeat(ctx, call); err != nil {
		return err
	}
	if clientconn.PeerClosed(ctx) {
		call.cancel()
		return context.Canceled
	}
	left := call.left()
	if left < minTimeLeft {
		return context.DeadlineExceeded
	}
	if call.origin != nil && !r.config.Fleet.Confirms(&replica) {
		return fmt.Errorf("%w: %s", errVersionChanged, replica.IncarnationID())
	}
	if r.limitsCold(call) && !r.config.ColdStart.Acquire(replica.IncarnationID(), coldRateLimit(call), r.Now()) {
		return fmt.Errorf("%w: %s", errCold, replica.IncarnationID())
	}
	if r.config.Evacuations != nil && !r.config.Evacuations.TrySend(replica.Zone, r.Now()) {
		return fmt.Errorf("%w: %s", errEvacuated, replica.Zone)
	}
	call.sendBegan, call.given = time.Now(), left
	call.header.Set(r.config.Names.TimeoutMs, strconv.FormatInt(left.Milliseconds(), 10))
	call.permitUsed = true
	return nil
}
