package balance

// Programs begin only while the replicas of their service use less than a part of
// their slots. Beyond that the turns of all programs wait, so that nearly all miss
// their objectives; those that have begun go first, since their work is done in part.
const (
	// admitBelow holds for routes in general, admitUrgentBelow for those of the
	// highest priority, which may wait for places that others free.
	admitBelow       = 0.9
	admitUrgentBelow = 1.1
)

// Admits tells whether a program may begin on a route of the given priority, 0
// being the highest, where utilization is the requests under way by slots.
func Admits(utilization float64, priority int) bool {
	if priority == 0 {
		return utilization < admitUrgentBelow
	}
	return utilization < admitBelow
}
