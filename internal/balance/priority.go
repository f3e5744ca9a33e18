package balance

const (
	// firstRank is the rank of requests on routes of the highest priority.
	firstRank = 3
	// lastRank is the last rank that a route's priority maps to.
	lastRank = 7
	// lateRanks is added to the rank of programs that are past their objective.
	lateRanks = 2
)

// Priority returns the rank of a request at an engine, from 0 (most urgent) to 9, by the
// priority of its route and by whether its program has missed its objective.
//
// After an interruption, more programs are running than the engines can serve, and most of
// them are late. Serving these first would make all new programs late as well. Late
// programs are demoted by two ranks only, since their callers still wait: on the most
// urgent routes they still compete with the timely programs of other routes.
func Priority(route int, late bool) int {
	rank := min(firstRank+max(route, 0), lastRank)
	if late {
		rank += lateRanks
	}
	return rank
}
