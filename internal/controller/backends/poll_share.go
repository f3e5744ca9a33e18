package backends

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/siteservices"
)

// pollShare returns the names of the back ends that node polls: all of them up to
// limit, else an equal number of each service, at least minimum, chosen by
// rendezvous hashing among those in its region, or among all if its region has
// none. Rendezvous hashing gives each back end about the same number of pollers
// and changes few choices when the fleet changes. Leaving back ends are excluded.
// An empty region has no preference.
func pollShare(node identity.NodeName, region identity.Region, machines []siteservices.Machine, limit, minimum int) map[string]bool {
	chosen := map[string]bool{}
	if len(machines) <= limit {
		for _, machine := range machines {
			chosen[machine.Name] = true
		}
		return chosen
	}
	services := lo.GroupBy(machines, func(machine siteservices.Machine) string { return machine.Service })
	each := max(limit/max(len(services), 1), minimum)
	for _, members := range services {
		members = eligibleMembers(members, region)
		slices.SortFunc(members, func(a, b siteservices.Machine) int {
			return cmp.Compare(rendezvousWeight(node, b.Name), rendezvousWeight(node, a.Name))
		})
		for _, machine := range members[:min(each, len(members))] {
			chosen[machine.Name] = true
		}
	}
	return chosen
}

// eligibleMembers returns the members that are not leaving, only those in region
// if there are any.
func eligibleMembers(members []siteservices.Machine, region identity.Region) []siteservices.Machine {
	staying := lo.Filter(members, func(machine siteservices.Machine, _ int) bool {
		return machine.State != siteservices.MachineLeaving
	})
	near := lo.Filter(staying, func(machine siteservices.Machine, _ int) bool { return machine.Region == region })
	if region == "" || len(near) == 0 {
		return staying
	}
	return near
}

func rendezvousWeight(node identity.NodeName, backend string) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + backend)
}

// pollIntervals are the poll intervals of back ends in use and of idle ones.
type pollIntervals struct {
	active time.Duration
	idle   time.Duration
}

const (
	// activeBudgetRatio is the fraction of the poll budget for back ends in use.
	activeBudgetRatio = 2.0 / 3
	// maxIdleInterval bounds the poll interval of idle back ends, and thereby the
	// age of their known models and health.
	maxIdleInterval = time.Minute
)

// chooseIntervals divides a budget of polls per second between back ends in use
// and idle ones. A budget of 0 polls all at interval.
func chooseIntervals(interval time.Duration, budget float64, active, idle int) pollIntervals {
	if budget <= 0 {
		return pollIntervals{active: interval, idle: interval}
	}
	activeBudget := budget * activeBudgetRatio
	if idle == 0 {
		activeBudget = budget
	}
	activeInterval := max(interval, perSecond(active, activeBudget))
	// The idle back ends get the rest of the budget.
	rest := budget - float64(active)/activeInterval.Seconds()
	return pollIntervals{active: activeInterval, idle: min(max(activeInterval, perSecond(idle, rest)), maxIdleInterval)}
}

// perSecond returns the interval at which polling each of count back ends gives
// rate polls per second in total.
func perSecond(count int, rate float64) time.Duration {
	return time.Duration(float64(count) / rate * float64(time.Second))
}
