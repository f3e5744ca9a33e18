package balance

const (
	// firstRank is the rank of requests on routes of the highest priority.
	firstRank = 3
	// lastRank is the lowest that a route's priority leads to.
	lastRank = 7
)

// Priority ranks a request at an engine, from 0, the most urgent, to 9, by the
// priority of its route. Whether its program can still be in time does not count:
// programs that were ranked last for it starved until their deadline.
func Priority(route int) int {
	return min(firstRank+max(route, 0), lastRank)
}
