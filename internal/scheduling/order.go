package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// priorityStep is how many seconds of age one step of the table's priority is worth.
	priorityStep = 10.0
	// deadlineHorizon is how long before its deadline a call begins to gain urgency.
	deadlineHorizon = 30 * time.Second
	// maximumWeight bounds what a weight of the table can do, so that age always
	// wins in the end.
	maximumWeight = 100.0
	// enginePriorityScale makes whole numbers of scores; one step is a second of
	// age at weight 1.
	enginePriorityScale = 1.0
	// enginePriorityLimit bounds the priority handed to an engine.
	enginePriorityLimit = 1_000_000
)

// Score says how urgent a call is; higher runs first.
//
// It grows without bound and at least at a fixed rate with the time that the
// call has waited, while everything else in it is bounded. So whatever comes
// later, a waiting call is overtaken for a bounded time only: none starves.
func Score(now time.Time, call *Call) float64 {
	weight := min(max(call.Weight, 0.1), maximumWeight)
	waited := max(now.Sub(call.Arrived).Seconds(), 0)
	score := waited * max(weight, 1)
	score += priorityStep * float64(clamp(call.Priority, -100, 100))
	score += underWayBonus(now, call) * weight
	score += urgency(now, call)
	return score
}

// underWayBonus favours programs that are under way over new ones, more so the
// longer they run: the person waits for the whole program.
func underWayBonus(now time.Time, call *Call) float64 {
	if call.CallsSoFar == 0 || call.ProgramStarted.IsZero() {
		return 0
	}
	age := max(now.Sub(call.ProgramStarted).Seconds(), 0)
	return min(5+math.Sqrt(age), 30)
}

// urgency grows from 0 to priorityStep as the deadline comes near.
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

// Rank returns the positions of calls in the order in which they should run,
// most urgent first. Equal scores go by arrival, then by id.
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

// EnginePriority is the priority handed to an engine with a call, so that the
// calls of all nodes that wait there run in one order.
func EnginePriority(now time.Time, call *Call) int {
	return clamp(int(math.Round(Score(now, call)*enginePriorityScale)), -enginePriorityLimit, enginePriorityLimit)
}

func clamp(value, low, high int) int { return min(max(value, low), high) }
