package balance

import "time"

// Ranks of requests at an engine; 0 is the most urgent and 9 the least.
const (
	// firstRank is the rank of requests on routes of the highest priority.
	firstRank = 3
	// lateRank is for programs that can't be over in time any more: what is done for
	// them is worth less than what keeps others in time.
	lateRank = 8
	// leastTurn is about the shortest time that a turn takes.
	leastTurn = 80 * time.Millisecond
)

// Priority ranks a request at an engine by the priority of its route and the time
// that its program has left, where hasFinish tells that it is known.
func Priority(route int, finish time.Duration, hasFinish bool) int {
	if hasFinish && finish < leastTurn {
		return lateRank
	}
	return min(firstRank+max(route, 0), lateRank-1)
}
