package router

import (
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/fleet"
)

var (
	// errEvacuated tells that a replica's zone was evacuated after the replica was chosen.
	errEvacuated = errors.New("router: the replica's zone is evacuated")
	// errCold tells that a cold replica bears no more from this node now.
	errCold = errors.New("router: the replica is cold and gets no more from this node now")
	// errHomes tells that no replica lies where the request's data may be.
	errHomes = errors.New("router: no replica in the regions where the data may be")
)

const (
	// reasonEvacuated is the reason of refusals where all replicas lie in evacuated zones.
	reasonEvacuated = "zones_evacuated"
	// reasonHomes is the reason of refusals where no replica lies in the homes of the data.
	reasonHomes = "no_replica_in_homes"
	// reasonCold is the reason of refusals where all replicas are cold and have got from
	// this node what they bear.
	reasonCold = "replicas_cold"
	// emptyComeBack is when a client may come back whose replicas' zones are evacuated, or
	// whose data's homes have none: that lasts for seconds at least.
	emptyComeBack = time.Second
)

// resident returns the replicas of a call's service in regions where its data may be. The
// slice must not be changed.
func (r *Router) resident(call *call) []fleet.Replica {
	replicas := r.config.Fleet.Usable(call.service.Name, r.Now())
	if !call.homes.Restricted() {
		return replicas
	}
	return lo.Filter(replicas, func(replica fleet.Replica, _ int) bool { return r.config.Regions.Allows(call.homes, replica.Zone) })
}

// usable returns the replicas that a call may go to now. The slice must not be changed.
func (r *Router) usable(call *call) []fleet.Replica {
	replicas := r.resident(call)
	if r.config.Evacuations == nil || !r.config.Evacuations.AnyEvacuated() {
		return replicas
	}
	return lo.Reject(replicas, func(replica fleet.Replica, _ int) bool { return r.config.Evacuations.Evacuated(replica.Zone) })
}

// zoneResident tells whether a call's data may be in a zone.
func (r *Router) zoneResident(call *call, zone string) bool {
	return !call.homes.Restricted() || r.config.Regions.Allows(call.homes, zone)
}

// zoneUsable tells whether a call may go to a zone now.
func (r *Router) zoneUsable(call *call, zone string) bool {
	evacuated := r.config.Evacuations != nil && r.config.Evacuations.Evacuated(zone)
	return !evacuated && r.zoneResident(call, zone)
}

// isEligible tells whether this node may send a call to a replica of a usable zone now.
func (r *Router) isEligible(call *call, replica *fleet.Replica) bool {
	return !r.bounded(call) || r.config.ColdStart.MaySend(replica.IncarnationID(), coldBound(call), r.Now())
}

// anyReplica tells whether a replica of a call's service fits.
func (r *Router) anyReplica(call *call, fits func(*fleet.Replica) bool) bool {
	return r.config.Fleet.Any(call.service.Name, fits, r.Now())
}

// withoutReplica returns the refusal of a call that has not run and that no replica takes;
// otherwise is the refusal where each of its replicas might have.
func (r *Router) withoutReplica(call *call, otherwise refusal) refusal {
	resident := r.anyReplica(call, func(replica *fleet.Replica) bool { return r.zoneResident(call, replica.Zone) })
	usable := resident && r.anyReplica(call, func(replica *fleet.Replica) bool { return r.zoneUsable(call, replica.Zone) })
	eligible := usable && r.anyReplica(call, func(replica *fleet.Replica) bool {
		return r.zoneUsable(call, replica.Zone) && r.isEligible(call, replica)
	})
	switch {
	case call.homes.Restricted() && !resident:
		return refusal{reason: reasonHomes, comeBack: emptyComeBack, cause: fmt.Errorf("%w: %s", errHomes, call.homes)}
	case resident && !usable:
		return refusal{reason: reasonEvacuated, comeBack: emptyComeBack, cause: otherwise.cause}
	case usable && !eligible:
		return refusal{reason: reasonCold, comeBack: shortComeBack, cause: otherwise.cause}
	}
	return otherwise
}

// coldBound is what the cold replicas of a call's service bear.
func coldBound(call *call) coldstart.RateLimit {
	return coldstart.RateLimit{PerSecond: call.service.ColdPerSecond, ColdDuration: call.service.ColdFor}
}

// bounded tells whether cold replicas of a call's service get only so much.
func (r *Router) bounded(call *call) bool {
	return r.config.ColdStart != nil && call.service.ColdPerSecond > 0
}

// isCold tells whether a replica of a call's service counts as cold.
func (r *Router) isCold(call *call, instance string) bool {
	return r.bounded(call) && r.config.ColdStart.Cold(instance, coldBound(call), r.Now())
}

// eligible returns the usable replicas that this node may send a request to now.
func (r *Router) eligible(call *call) []fleet.Replica {
	replicas := r.usable(call)
	if !r.bounded(call) {
		return replicas
	}
	now, bound := r.Now(), coldBound(call)
	return lo.Filter(replicas, func(replica fleet.Replica, _ int) bool {
		return r.config.ColdStart.MaySend(replica.IncarnationID(), bound, now)
	})
}

// maySend returns an error if a request must not go to a replica any more that was chosen
// for it. It is asked right before each sending, after all that had to be waited for, and
// spends the right to send to a cold replica.
func (r *Router) maySend(call *call, replica fleet.Replica) error {
	if r.bounded(call) && !r.config.ColdStart.Acquire(replica.IncarnationID(), coldBound(call), r.Now()) {
		return fmt.Errorf("%w: %s", errCold, replica.IncarnationID())
	}
	if r.config.Evacuations != nil && !r.config.Evacuations.TrySend(replica.Zone, r.Now()) {
		return fmt.Errorf("%w: %s", errEvacuated, replica.Zone)
	}
	return nil
}
