package balance

// New programs are admitted only below a utilization threshold of the service's slots.
// Above it, the turns of all programs would queue and most programs would miss their
// objectives. Running programs take precedence, since part of their work is already done.
const (
	// admitBelow is the threshold for most routes. admitUrgentBelow is that for routes of
	// the highest priority, whose requests may queue for slots that others free.
	admitBelow       = 0.9
	admitUrgentBelow = 1.1
)

// Admits reports whether a new program may start on a route of the given priority; 0 is
// the highest. utilization is the ratio of requests in flight to slots.
func Admits(utilization float64, priority int) bool {
	if priority == 0 {
		return utilization < admitUrgentBelow
	}
	return utilization < admitBelow
}
