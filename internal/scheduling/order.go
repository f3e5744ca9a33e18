package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// priorityStep is the score of one step of priority, in seconds of waiting.
	priorityStep = 10.0
	// deadlineHorizon is how long before its deadline a call's score begins to rise.
	deadlineHorizon = 30 * time.Second
	// maxWeight bounds the weight of a class, so that the waiting time eventually
	// dominates the score.
	maxWeight = 100.0
	// enginePriorityScale converts scores to engine priorities; one step is one
	// second of waiting at weight 1.
	enginePriorityScale = 1.0
	// enginePriorityLimit bounds the absolute value of an engine's priority.
	enginePriorityLimit = 1_000_000
)

// Score returns the urgency of a call; calls with a higher score run first.
//
// It grows without bound, and at a minimum rate, with the time that the call has
// waited, while all other terms are bounded. Therefore later calls can overtake
// a waiting call for a bounded time only, and no call starves.
func Score(now time.Time, call *Call) float64 {
	weight := min(max(call.Weight, 0.1), maxWeight)
	waited := max(now.Sub(call.Arrived).Seconds(), 0)
	score := waited * max(weight, 1)
	score += priorityStep * float64(clamp(call.Priority, -100, 100))
	score += inProgressBonus(now, call) * weight
	score += urgency(now, call)
	return score
}

// inProgressBonus prefers running programs over new ones, and older programs over
// younger ones, since users wait for whole programs.
func inProgressBonus(now time.Time, call *Call) float64 {
	if call.CallsSoFar == 0 || call.ProgramStarted.IsZero() {
		return 0
	}
	age := max(now.Sub(call.ProgramStarted).Seconds(), 0)
	return min(5+math.Sqrt(age), 30)
}

// urgency rises linearly from 0 at deadlineHorizon before the deadline to
// priorityStep at the deadline.
func urgency(now time.Time, call *Call) float64 {
	if call.Deadline.IsZero() {
		return 0
	}
	remaining := call.Deadline.Sub(now)
	if remaining >= deadlineHorizon {
		return 0
	}
	left := max(remaining.Seconds(), 0) / deadlineHorizon.Seconds()
	return priorityStep * (1 - left)
}

// Rank returns the indexes of calls in the order in which they should run, most
// urgent first. Ties are broken by arrival, then by id.
func Rank(now time.Time, calls []Call) []int {
	scores := make([]float64, len(calls))
	order := make([]int, len(calls))
	for i := range calls {
		scores[i] = Score(now, &calls[i])
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(scores[b], scores[a]),
			calls[a].Arrived.Compare(calls[b].Arrived),
			compareID(&calls[a], &calls[b]),
			cmp.Compare(a, b),
		)
	})
	return order
}

func compareID(a, b *Call) int {
	return cmp.Or(
		cmp.Compare(a.ID.Program, b.ID.Program),
		cmp.Compare(a.ID.Branch, b.ID.Branch),
		cmp.Compare(a.ID.Sequence, b.ID.Sequence),
	)
}

// EnginePriority returns the priority that is sent to an engine with a call, so
// that waiting calls of all nodes are ordered consistently there.
func EnginePriority(now time.Time, call *Call) int {
	return clamp(int(math.Round(Score(now, call)*enginePriorityScale)), -enginePriorityLimit, enginePriorityLimit)
}

func clamp(value, low, high int) int { return min(max(value, low), high) }
