package backends

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/platform"
)

// share returns the names of the back ends that node polls: all of them up to
// limit, else an equal number of each service, at least minimum, chosen by
// rendezvous hashing. Each back end is then polled by about limit/len(machines)
// of the nodes, and one more or less moves few choices. Leaving ones take no
// part: nothing more is to be learned of them.
func share(node identity.NodeName, machines []platform.Machine, limit, minimum int) map[string]bool {
	chosen := map[string]bool{}
	if len(machines) <= limit {
		for _, machine := range machines {
			chosen[machine.Name] = true
		}
		return chosen
	}
	services := map[string][]platform.Machine{}
	for _, machine := range machines {
		if machine.State != platform.MachineLeaving {
			services[machine.Service] = append(services[machine.Service], machine)
		}
	}
	each := max(limit/max(len(services), 1), minimum)
	for _, members := range services {
		slices.SortFunc(members, func(a, b platform.Machine) int {
			return cmp.Compare(weight(node, b.Name), weight(node, a.Name))
		})
		for _, machine := range members[:min(each, len(members))] {
			chosen[machine.Name] = true
		}
	}
	return chosen
}

func weight(node identity.NodeName, backend string) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + backend)
}
