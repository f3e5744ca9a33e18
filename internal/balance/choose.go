// Package balance chooses the replica for a request from what this node knows of
// the replicas: its own requests under way there, the prompt parts that it has
// sent there, recent failures and the zone. It reads no clock and does no I/O.
package balance

import (
	"slices"
	"time"

	"stepseam.example/stepseam/internal/estimate"
	"stepseam.example/stepseam/internal/outlier"
)

// The costs below are in milliseconds of expected delay, or what is worth as much.
// They are the operators' preferences; how fast replicas work is learned, see
// package estimate.
const (
	// otherZoneCost and otherRegionCost stand for the price of bytes between zones and
	// between regions; the longer way comes on top, see Candidate.RoundTripMilliseconds.
	otherZoneCost   = 7.5
	otherRegionCost = 22.5
	// connectionCost stands for the making of a connection and what a replica spends on
	// each that it holds.
	connectionCost = 6.0
	// doubtfulCost makes replicas that may have left the second choice.
	doubtfulCost = 60.0
	// unprovenCost makes unproven replicas the choice only where others have long
	// queues.
	unprovenCost = 400.0
	// ejectedCost does the same with ejected ones where too many are for leaving them alone.
	ejectedCost = 400.0
	// suspectCost puts replicas that failed lately behind all others.
	suspectCost = 2000.0
	// neighbourShare is how much of the delay that a request brings to those that run
	// beside it counts in the choice, against its own.
	neighbourShare = 1.0
	// paceShare of a difference in pace counts. More would crowd the fast replicas,
	// whose waits nodes learn of late.
	paceShare = 0.2
	// slowPace times the fastest pace is where a replica counts as slow and all of
	// what is beyond counts.
	slowPace = 2.0
)

// Candidate is a replica that may take the request.
type Candidate struct {
	// Instance names the life of the replica, see fleet.Replica.Life.
	Instance string
	SameZone bool
	// OtherRegion tells that it lies in another region; RoundTripMilliseconds is how long
	// the way there and back takes.
	OtherRegion           bool
	RoundTripMilliseconds float64
	// Engine tells that requests are batched and prompts cached.
	Engine bool
	// InFlight is how many requests of this node run there, InFlightElsewhere how many of
	// others, as they told lately.
	InFlight, InFlightElsewhere int
	// Slots is how many it runs at once; 0 if not known.
	Slots int
	// CachedTokens is how much of the prompt it has seen.
	CachedTokens int
	// PendingTokens and PendingTokensElsewhere are how many tokens it has yet to read of the
	// prompts of this node's other requests and of other nodes' requests.
	PendingTokens, PendingTokensElsewhere int
	// Suspect tells that it failed lately, or leaves requests without an answer.
	Suspect bool
	// FailedRecently tells that a request that a failure would fail had better go elsewhere:
	// the replica failed lately, here or at other nodes, and has not served since.
	FailedRecently bool
	// Ejected tells that it fails more than others of its service; Probe is the right to
	// try it all the same.
	Ejected bool
	Probe   outlier.Probe
	// Lapsed tells that it may have left.
	Lapsed bool
	// Cold tells that it is slower than others of its service.
	Cold bool
	// Unconnected tells that a connection to it would have to be made.
	Unconnected bool
	// LagMilliseconds is what counts of the longer time between two events of a stream
	// there.
	LagMilliseconds float64
}

// Work is what the request asks of the replica that it goes to.
type Work struct {
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// FirstSegment names the prompt's first part, which many programs may share; 0 if it has
	// none.
	FirstSegment uint64
	// Rates is how fast the replicas of the service work.
	Rates estimate.Rates
}

// Choice is the chosen candidate and why.
type Choice struct {
	Candidate Candidate
	// Cost is its expected delay in milliseconds.
	Cost float64
	// Of is how many candidates there were.
	Of int
}

// Choose returns the candidate of least cost; draw in [0,1) decides between equals.
// It returns false without candidates.
func Choose(candidates []Candidate, work Work, draw float64) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	offset := int(draw * float64(len(candidates)))
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
	total += wayCost(candidate)
	if candidate.Unconnected {
		total += connectionCost
	}
	if candidate.Lapsed {
		total += doubtfulCost
	}
	if candidate.FailedRecently {
		total += unprovenCost
	}
	if candidate.Ejected {
		total += ejectedCost
	}
	if candidate.Suspect {
		total += suspectCost
	}
	return total
}

// PreferOwnRegion leaves out the candidates of other regions as long as a sound one of the own
// region has a free slot. The costs below weigh one request, and a program's next turns go
// where its prompt is kept: by them, programs that once went to another region would stay
// there, at two ways between regions a turn.
func PreferOwnRegion(candidates []Candidate) []Candidate {
	if !slices.ContainsFunc(candidates, Candidate.roomInRegion) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool { return candidate.OtherRegion })
}

// roomInRegion tells whether the candidate lies in the own region, is sound and has a slot.
func (c Candidate) roomInRegion() bool {
	free := c.Slots <= 0 || c.InFlight+c.InFlightElsewhere < c.Slots
	return !c.OtherRegion && free && !c.Suspect && !c.FailedRecently && !c.Lapsed && !c.Ejected
}

// wayCost is what the way to another zone costs.
func wayCost(candidate Candidate) float64 {
	switch {
	case candidate.SameZone:
		return 0
	case candidate.OtherRegion:
		return otherRegionCost + candidate.RoundTripMilliseconds
	}
	return otherZoneCost + candidate.RoundTripMilliseconds
}

// engineCost is the delay where requests are batched: prompts are read one after the
// other, each request makes the events of all others later, and what is read for
// this one holds up those that run.
func engineCost(candidate Candidate, work Work) float64 {
	rates := work.Rates
	others := float64(candidate.InFlight + candidate.InFlightElsewhere)
	slowness := 1.0
	if rates.EventMilliseconds > 0 {
		slowness += candidate.LagMilliseconds / rates.EventMilliseconds
	}
	uncached := float64(max(work.PromptTokens-candidate.CachedTokens, 0)) * rates.MillisecondsPerToken
	unread := float64(candidate.PendingTokens+candidate.PendingTokensElsewhere) * rates.MillisecondsPerToken
	sharing := rates.Events * rates.EventMillisecondsPerRequest
	own := slowness*(uncached+unread+sharing*others) + candidate.LagMilliseconds*rates.Events
	neighbours := neighbourShare * others * (uncached + sharing)
	return own + neighbours + queueing(candidate, rates.FirstMilliseconds+rates.Events*rates.EventMilliseconds+sharing*others)
}

// coldCost is how much longer the request itself takes at a cold replica.
func coldCost(candidate Candidate, work Work) float64 {
	rates := work.Rates
	own := rates.ServiceMilliseconds
	if candidate.Engine {
		own = rates.FirstMilliseconds + float64(max(work.PromptTokens-candidate.CachedTokens, 0))*rates.MillisecondsPerToken
	}
	return max(rates.ColdSlowness-1, 0) * own
}

// workerCost is the delay where requests take a slot each.
func workerCost(candidate Candidate, rates estimate.Rates) float64 {
	underWay := float64(candidate.InFlight + candidate.InFlightElsewhere)
	share := underWay * rates.ServiceMilliseconds / float64(max(candidate.Slots, 1))
	return share + queueing(candidate, rates.ServiceMilliseconds)
}

// queueing is the wait for a slot where requests hold one for the given time. It is 0
// where the replica tells no number of slots.
func queueing(candidate Candidate, milliseconds float64) float64 {
	if candidate.Slots <= 0 {
		return 0
	}
	ahead := max(candidate.InFlight+candidate.InFlightElsewhere+1-candidate.Slots, 0)
	return float64(ahead) * milliseconds / float64(candidate.Slots)
}

// suspicion returns how long a replica is avoided after failures in a row.
func suspicion(failures int) time.Duration {
	const first, longest = 400 * time.Millisecond, 5 * time.Second
	pause := first
	for range min(failures, 8) - 1 {
		pause *= 2
	}
	return min(pause, longest)
}
