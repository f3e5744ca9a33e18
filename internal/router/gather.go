package router

import (
	"cmp"
	"slices"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/fleet"
)

// scans tells whether all replicas of a call's service are looked at for a choice, which
// is the better one where they are few.
func (r *Router) scans(call *call) bool {
	return r.config.ScanUpTo == 0 || r.config.Fleet.Count(call.service.Name) <= r.config.ScanUpTo
}

// gather returns some of a call's replicas to choose from.
func (r *Router) gather(call *call, course *attempts) []fleet.Replica {
	need := balance.SampleOptions{
		Service: call.service.Name, Zones: r.zonesOf(call), CacheLocation: call.prompt.CacheLocation.Instance,
		Node: r.config.NodeNumber, Random: r.config.Random,
		Eligible: func(replica *fleet.Replica) bool {
			return !slices.Contains(course.except, replica.IncarnationID()) && r.isEligible(call, replica)
		},
	}
	if len(call.prompt.Segments) > 0 {
		need.FirstSegment = call.prompt.Segments[0].ID
	}
	return balance.SampleReplicas(r.config.Fleet, need, r.Now())
}

// zonesOf returns the zones that a call may go to, the nearest first.
func (r *Router) zonesOf(call *call) []string {
	zones := slices.DeleteFunc(r.config.Fleet.Zones(call.service.Name), func(zone string) bool { return !r.zoneUsable(call, zone) })
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.zoneRank(a), r.zoneRank(b)), cmp.Compare(a, b))
	})
	return zones
}

// zoneRank orders zones by distance, the own one first.
func (r *Router) zoneRank(zone string) float64 {
	if zone == r.config.Zone {
		return -1
	}
	if r.config.Distances == nil {
		return 0
	}
	return r.config.Distances.PathTo(zone).RoundTrip.Seconds()
}

// utilizationSample is how many replicas of each zone stand for all when the use of many
// is estimated: 12 of six slots each are 72 slots, whose use is off by 0.04 of those of all
// (one standard deviation) where nine in ten are taken. Their keepers are asked at once.
const utilizationSample = 6

// sampledZones is how many zones are drawn from, the nearest ones.
const sampledZones = 2

// sample returns some replicas of the nearest zones that a call may go to.
func (r *Router) sample(call *call) []fleet.Replica {
	var drawn []fleet.Replica
	all := func(*fleet.Replica) bool { return true }
	zones := r.zonesOf(call)
	for _, zone := range zones[:min(sampledZones, len(zones))] {
		drawn = r.config.Fleet.Draw(drawn, call.service.Name, zone, r.config.Random(), utilizationSample, all, r.Now())
	}
	return drawn
}
