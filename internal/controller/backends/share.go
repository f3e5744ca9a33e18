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

// share returns the names of the back ends that node polls: all of them up to
// limit, else an equal number of each service, at least minimum, chosen by
// rendezvous hashing among those of its region, or of all where its region has
// none. Each back end is then polled by about as many nodes as the others, and
// one more or less moves few choices. Leaving ones take no part: nothing more is
// to be learned of them. An empty region prefers none.
func share(node identity.NodeName, region identity.Region, machines []siteservices.Machine, limit, minimum int) map[string]bool {
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
		members = eligible(members, region)
		slices.SortFunc(members, func(a, b siteservices.Machine) int {
			return cmp.Compare(weight(node, b.Name), weight(node, a.Name))
		})
		for _, machine := range members[:min(each, len(members))] {
			chosen[machine.Name] = true
		}
	}
	return chosen
}

// eligible returns the members that stay, those of region if there are any.
func eligible(members []siteservices.Machine, region identity.Region) []siteservices.Machine {
	staying := lo.Filter(members, func(machine siteservices.Machine, _ int) bool {
		return machine.State != siteservices.MachineLeaving
	})
	near := lo.Filter(staying, func(machine siteservices.Machine, _ int) bool { return machine.Region == region })
	if region == "" || len(near) == 0 {
		return staying
	}
	return near
}

func weight(node identity.NodeName, backend string) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + backend)
}

// pace is how often back ends are polled: those in use, and the others.
type pace struct {
	used time.Duration
	idle time.Duration
}

const (
	// usedPart is the part of the budget of polls that back ends in use get.
	usedPart = 2.0 / 3
	// longestIdle is how rarely an idle back end is polled at most; its models and
	// its health should not be older than that.
	longestIdle = time.Minute
)

// choosePace divides a budget of polls per second over back ends in use and idle
// ones. A budget of 0 polls all at interval.
func choosePace(interval time.Duration, budget float64, used, idle int) pace {
	if budget <= 0 {
		return pace{used: interval, idle: interval}
	}
	usedBudget := budget * usedPart
	if idle == 0 {
		usedBudget = budget
	}
	usedInterval := max(interval, perSecond(used, usedBudget))
	// What those in use leave over goes to the others.
	rest := budget - float64(used)/usedInterval.Seconds()
	return pace{used: usedInterval, idle: min(max(usedInterval, perSecond(idle, rest)), longestIdle)}
}

// perSecond is the interval at which count things happen rate times a second.
func perSecond(count int, rate float64) time.Duration {
	return time.Duration(float64(count) / rate * float64(time.Second))
}
