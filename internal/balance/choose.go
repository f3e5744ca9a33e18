// Package balance selects the replica for a request. It estimates the cost of each
// candidate from the requests in flight at it, the prompt segments it has cached, its
// recent failures, its speed and the network path to it. The package reads no clock and
// performs no I/O.
package balance

import (
	"slices"
	"time"

	"stepseam.example/stepseam/internal/estimate"
	"stepseam.example/stepseam/internal/outlier"
)

// Costs are in milliseconds of expected delay or its equivalent. They express operators'
// preferences; the speed of replicas is estimated by package estimate.
const (
	// otherZoneCost and otherRegionCost represent the price of traffic between zones and
	// between regions. The round trip is added, see Candidate.RoundTripMilliseconds.
	otherZoneCost   = 7.5
	otherRegionCost = 22.5
	// connectionCost represents the setup of a new connection and the resources that a
	// replica spends on each open one.
	connectionCost = 6.0
	// lapsedCost penalizes replicas whose registration lapsed: they may be gone, and are the
	// second choice.
	lapsedCost = 60.0
	// failedRecentlyCost penalizes replicas that failed recently, so that they are
	// selected for non-retryable requests only if the others have long queues.
	failedRecentlyCost = 400.0
	// ejectedCost penalizes ejected replicas in the same way when so many are ejected that
	// they remain candidates.
	ejectedCost = 400.0
	// suspectCost ranks suspect replicas behind all others.
	suspectCost = 2000.0
	// batchDelayWeight weights the delay that a request causes to concurrent requests
	// against its own delay.
	batchDelayWeight = 1.0
	// paceWeightInCost is the fraction of a difference in pace that counts as cost. A
	// larger one would overload the fast replicas, since load reports arrive with a delay.
	paceWeightInCost = 0.2
	// slowPaceFactor times the fastest pace is the threshold above which the full difference
	// counts.
	slowPaceFactor = 2.0
)

// Candidate describes a replica that may serve the request.
type Candidate struct {
	// Instance is the replica's incarnation ID, see fleet.Replica.IncarnationID.
	Instance string
	// Version is the version of the replica's software, see fleet.Replica.
	Version  string
	SameZone bool
	// OtherRegion reports whether the replica is in another region.
	// RoundTripMilliseconds is the network round-trip time to its zone.
	OtherRegion           bool
	RoundTripMilliseconds float64
	// Engine reports whether the replica batches requests and caches prompts.
	Engine bool
	// InFlight is the number of this node's requests at the replica, InFlightElsewhere
	// that of other nodes by their recent reports.
	InFlight, InFlightElsewhere int
	// Slots is the number of requests it runs concurrently; 0 if not known.
	Slots int
	// CachedTokens is the estimated number of the prompt's tokens in its cache.
	CachedTokens int
	// PendingTokens and PendingTokensElsewhere are the prompt tokens not yet prefilled of
	// this node's and of other nodes' requests.
	PendingTokens, PendingTokensElsewhere int
	// Suspect reports whether the replica just failed or does not respond to requests.
	Suspect bool
	// FailedRecently reports whether the replica failed recently, at this or another node,
	// and has not succeeded since. It is set only for non-retryable requests.
	FailedRecently bool
	// Ejected reports whether outlier detection ejected the replica. Probe defines whether
	// the request may probe it nevertheless.
	Ejected bool
	Probe   outlier.Probe
	// Lapsed reports whether its registration lapsed, so that it may have left.
	Lapsed bool
	// Cold reports whether it started recently and is still slower than others.
	Cold bool
	// Unconnected reports that there is no open connection to it.
	Unconnected bool
	// LagMilliseconds is the cost per event of its pace compared with the fastest
	// candidate.
	LagMilliseconds float64
}

// Work describes the work that the request causes at a replica.
type Work struct {
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// FirstSegment is the ID of the prompt's first segment, which many programs may share;
	// 0 if there is none.
	FirstSegment uint64
	// Rates is the estimated speed of the service's replicas.
	Rates estimate.Rates
}

// Choice is the selected candidate.
type Choice struct {
	Candidate Candidate
	// Cost is its cost in milliseconds.
	Cost float64
	// Of is the number of candidates considered.
	Of int
}

// Choose returns the candidate with the lowest cost. random in [0,1) breaks ties. It
// returns false if there are no candidates.
func Choose(candidates []Candidate, work Work, random float64) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	offset := int(random * float64(len(candidates)))
	best := Choice{Of: len(candidates)}
	for i := range candidates {
		candidate := candidates[(i+offset)%len(candidates)]
		expected := cost(candidate, work)
		if best.Candidate.Instance == "" || expected < best.Cost {
			best.Candidate, best.Cost = candidate, expected
		}
	}
	return best, true
}

func cost(candidate Candidate, work Work) float64 {
	total := 0.0
	if candidate.Engine {
		total = engineCost(candidate, work)
	} else {
		total = workerCost(candidate, work.Rates)
	}
	if candidate.Cold {
		total += coldCost(candidate, work)
	}
	total += pathCost(candidate)
	if candidate.Unconnected {
		total += connectionCost
	}
	if candidate.Lapsed {
		total += lapsedCost
	}
	if candidate.FailedRecently {
		total += failedRecentlyCost
	}
	if candidate.Ejected {
		total += ejectedCost
	}
	if candidate.Suspect {
		total += suspectCost
	}
	return total
}

// PreferOwnRegion drops the candidates of other regions if a healthy one of the own region
// has a free slot. The costs cover a single request only: since later turns follow the
// cached prompt, a program that moved to another region once would stay there and pay the
// cross-region round trip on every turn.
func PreferOwnRegion(candidates []Candidate) []Candidate {
	if !slices.ContainsFunc(candidates, Candidate.availableInOwnRegion) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool { return candidate.OtherRegion })
}

// availableInOwnRegion reports whether the candidate is in the own region, healthy and has
// a free slot.
func (c Candidate) availableInOwnRegion() bool {
	return !c.OtherRegion && c.hasFreeSlot()
}

// pathCost returns the cost of the network path to the candidate.
func pathCost(candidate Candidate) float64 {
	switch {
	case candidate.SameZone:
		return 0
	case candidate.OtherRegion:
		return otherRegionCost + candidate.RoundTripMilliseconds
	}
	return otherZoneCost + candidate.RoundTripMilliseconds
}

// engineCost returns the delay at a replica that batches requests. Prompts are prefilled
// sequentially, each request slows the events of all others, and the prefill of this
// request delays the running ones.
func engineCost(candidate Candidate, work Work) float64 {
	rates := work.Rates
	others := float64(candidate.InFlight + candidate.InFlightElsewhere)
	slowness := 1.0
	if rates.EventMilliseconds > 0 {
		slowness += candidate.LagMilliseconds / rates.EventMilliseconds
	}
	uncached := float64(max(work.PromptTokens-candidate.CachedTokens, 0)) * rates.MillisecondsPerToken
	pending := float64(candidate.PendingTokens+candidate.PendingTokensElsewhere) * rates.MillisecondsPerToken
	batchDelay := rates.Events * rates.EventMillisecondsPerRequest
	own := slowness*(uncached+pending+batchDelay*others) + candidate.LagMilliseconds*rates.Events
	delayOfOthers := batchDelayWeight * others * (uncached + batchDelay)
	return own + delayOfOthers + queueing(candidate, rates.FirstMilliseconds+rates.Events*rates.EventMilliseconds+batchDelay*others)
}

// coldCost returns the additional time that the request takes at a cold replica.
func coldCost(candidate Candidate, work Work) float64 {
	rates := work.Rates
	own := rates.ServiceMilliseconds
	if candidate.Engine {
		own = rates.FirstMilliseconds + float64(max(work.PromptTokens-candidate.CachedTokens, 0))*rates.MillisecondsPerToken
	}
	return max(rates.ColdSlowness-1, 0) * own
}

// workerCost returns the delay at a replica that runs each request in a slot of its own.
func workerCost(candidate Candidate, rates estimate.Rates) float64 {
	inFlight := float64(candidate.InFlight + candidate.InFlightElsewhere)
	share := inFlight * rates.ServiceMilliseconds / float64(max(candidate.Slots, 1))
	return share + queueing(candidate, rates.ServiceMilliseconds)
}

// queueing returns the expected wait for a slot if each request occupies one for the given
// time. It is 0 if the number of slots is unknown.
func queueing(candidate Candidate, milliseconds float64) float64 {
	if candidate.Slots <= 0 {
		return 0
	}
	ahead := max(candidate.InFlight+candidate.InFlightElsewhere+1-candidate.Slots, 0)
	return float64(ahead) * milliseconds / float64(candidate.Slots)
}

// suspectDuration returns how long a replica stays suspect after the given number of
// consecutive failures.
func suspectDuration(failures int) time.Duration {
	const first, longest = 400 * time.Millisecond, 5 * time.Second
	pause := first
	for range min(failures, 8) - 1 {
		pause *= 2
	}
	return min(pause, longest)
}
