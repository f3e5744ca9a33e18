package balance

import (
	"slices"

	"github.com/samber/lo"
)

const (
	// scarceFraction is the fraction of all slots below which a version is scarce.
	scarceFraction = 1. / 3
	// newStreamFraction is the fraction of a replica's slots up to which new streams use a
	// replica of a scarce version while others have free slots.
	newStreamFraction = 0.5
)

// LeaveRoom drops replicas of scarce versions that are half full, if another candidate has a free
// slot. It applies to new streams: interrupted ones can only go to replicas of their own version,
// and those of a version that is being replaced are few.
func LeaveRoom(candidates []Candidate) []Candidate {
	slots, total := map[string]int{}, 0
	for i := range candidates {
		slots[candidates[i].Version] += candidates[i].Slots
		total += candidates[i].Slots
	}
	if len(slots) < 2 {
		return candidates
	}
	reserved := func(candidate Candidate) bool {
		scarce := float64(slots[candidate.Version]) < scarceFraction*float64(total)
		return scarce && float64(candidate.inFlightAnywhere()) >= newStreamFraction*float64(candidate.Slots)
	}
	if !slices.ContainsFunc(candidates, func(candidate Candidate) bool { return !reserved(candidate) && candidate.hasFreeSlot() }) {
		return candidates
	}
	return lo.Reject(candidates, func(candidate Candidate, _ int) bool { return reserved(candidate) })
}

// FewestRunning returns the candidates that run the fewest requests, of those with a free slot if
// there are any.
func FewestRunning(candidates []Candidate) []Candidate {
	free := lo.Filter(candidates, func(candidate Candidate, _ int) bool { return candidate.hasFreeSlot() })
	if len(free) == 0 {
		return candidates
	}
	fewest := lo.MinBy(free, func(a, b Candidate) bool { return a.inFlightAnywhere() < b.inFlightAnywhere() }).inFlightAnywhere()
	return lo.Filter(free, func(candidate Candidate, _ int) bool { return candidate.inFlightAnywhere() == fewest })
}

func (c Candidate) inFlightAnywhere() int { return c.InFlight + c.InFlightElsewhere }

// hasFreeSlot reports whether the candidate is healthy and has a free slot.
func (c Candidate) hasFreeSlot() bool {
	free := c.Slots <= 0 || c.inFlightAnywhere() < c.Slots
	return free && !c.Suspect && !c.FailedRecently && !c.Lapsed && !c.Ejected
}
