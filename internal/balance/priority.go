package balance

const (
	// firstRank is the rank of requests on routes of the highest priority.
	firstRank = 3
	// lastRank is the lowest that a route's priority leads to.
	lastRank = 7
	// lateRanks is by how many ranks the turns of programs that are late come later.
	lateRanks = 2
)

// Priority ranks a request at an engine, from 0, the most urgent, to 9, by the priority of
// its route and by whether its program can still be in time.
//
// The load that it answers: after seconds in which nothing could go on, more programs are
// under way than engines bear, and most are late already. If those went first in turn, all
// that begin then would be late too. Late programs come two ranks later, not last: their
// callers still wait, and on the most urgent routes they share the engines with what is in
// time on others.
func Priority(route int, late bool) int {
	rank := min(firstRank+max(route, 0), lastRank)
	if late {
		rank += lateRanks
	}
	return rank
}
