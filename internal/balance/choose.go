// Package balance chooses the replica for a request from what this node knows of
// the replicas: its own requests under way there, the prompt parts that it has
// sent there, recent failures and the zone. It reads no clock and does no I/O.
package balance

import (
	"cmp"
	"time"
)

// The costs below are in milliseconds of expected delay, or what is worth as much.
const (
	// tokensPerMillisecond is how fast a replica reads a prompt.
	tokensPerMillisecond = 270.0
	// engineRequestCost is what each request under way at an engine adds: a batch
	// that is larger makes each token later.
	engineRequestCost = 2.5
	// engineServiceTime is how long a request usually holds a slot.
	engineServiceTime = 300.0
	// usualSlots is taken where a replica tells no number of slots.
	usualSlots = 12
	// workerRequestCost is what each request under way adds where requests take a
	// slot each and share nothing.
	workerRequestCost = 10.0
	// otherZoneCost stands for the longer way and the price of bytes between zones.
	otherZoneCost = 9.0
	// doubtfulCost makes replicas that may have left the second choice.
	doubtfulCost = 60.0
	// unprovenCost makes unproven replicas the choice only where others have long
	// queues.
	unprovenCost = 400.0
	// suspectCost puts replicas that failed lately behind all others.
	suspectCost = 2000.0
	// usualEvents is how many events a stream has, roughly.
	usualEvents = 11.0
	// paceShare of a difference in pace counts. More would crowd the fast replicas,
	// whose waits nodes learn of late.
	paceShare = 0.2
	// slowPace times the fastest pace is where a replica counts as slow and all of
	// what is beyond counts.
	slowPace = 2.0
)

// Part is one piece of a prompt.
type Part struct {
	// ID is the same wherever the same tokens stand.
	ID uint64
	// Tokens is its length.
	Tokens int
}

// Candidate is a replica that may take the request.
type Candidate struct {
	Instance string
	SameZone bool
	// Engine tells that requests are batched and prompts cached.
	Engine bool
	// UnderWay is how many requests of this node run there, Elsewhere how many of
	// others, as they told lately.
	UnderWay, Elsewhere int
	// Slots is how many it runs at once; 0 if not known.
	Slots int
	// CachedTokens is how much of the prompt it has seen.
	CachedTokens int
	// Suspect tells that it failed lately, or leaves requests without an answer.
	Suspect bool
	// Unproven tells that a request that a failure would fail had better go elsewhere:
	// the replica failed lately, here or at other nodes, and has not served since.
	Unproven bool
	// Doubtful tells that it may have left.
	Doubtful bool
	// LagMilliseconds is what counts of the longer time between two events of a stream
	// there.
	LagMilliseconds float64
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
func Choose(candidates []Candidate, promptTokens int, draw float64) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	offset := int(draw * float64(len(candidates)))
	best := Choice{Of: len(candidates)}
	for i := range candidates {
		candidate := candidates[(i+offset)%len(candidates)]
		expected := cost(candidate, promptTokens)
		if best.Candidate.Instance == "" || expected < best.Cost {
			best.Candidate, best.Cost = candidate, expected
		}
	}
	return best, true
}

func cost(candidate Candidate, promptTokens int) float64 {
	total := 0.0
	underWay := float64(candidate.UnderWay + candidate.Elsewhere)
	if candidate.Engine {
		total += float64(max(promptTokens-candidate.CachedTokens, 0)) / tokensPerMillisecond
		total += underWay * engineRequestCost
		slots := float64(cmp.Or(candidate.Slots, usualSlots))
		total += max(underWay+1-slots, 0) * engineServiceTime / slots
		total += candidate.LagMilliseconds * usualEvents
	} else {
		total += underWay * workerRequestCost
	}
	if !candidate.SameZone {
		total += otherZoneCost
	}
	if candidate.Doubtful {
		total += doubtfulCost
	}
	if candidate.Unproven {
		total += unprovenCost
	}
	if candidate.Suspect {
		total += suspectCost
	}
	return total
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
