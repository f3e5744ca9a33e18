package routing

import "sync"

// Splitter distributes the requests of a route over its services in proportion to
// their weights by smooth weighted round robin, so that the proportions hold over
// small numbers of requests too. It is safe for concurrent use.
type Splitter struct {
	// mutex guards routes.
	mutex  sync.Mutex
	routes map[string]*roundRobin
}

// roundRobin is the state of one route. A service's credit grows by its weight with each
// request and drops by the sum of the weights when the service is picked.
type roundRobin struct {
	services []WeightedService
	credits  []int
}

// NewSplitter returns a splitter without state for any route.
func NewSplitter() *Splitter {
	return &Splitter{routes: map[string]*roundRobin{}}
}

// Pick returns the service for the next request of route. On the first request of a route,
// or after its weights change, start in [0,1) sets the starting position within the round,
// so that nodes do not pick the same services in lockstep.
func (s *Splitter) Pick(route *Route, start float64) string {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, found := s.routes[route.Name]
	if !found || !sameWeightedServices(state.services, route.WeightedServices) {
		state = &roundRobin{services: route.WeightedServices, credits: make([]int, len(route.WeightedServices))}
		s.routes[route.Name] = state
		for range int(start * float64(totalWeight(route.WeightedServices))) {
			state.next()
		}
	}
	return state.next()
}

// next adds each service's weight to its credit, picks the service with the highest
// credit and charges it the sum of the weights.
func (r *roundRobin) next() string {
	best := -1
	for i, service := range r.services {
		r.credits[i] += service.Weight
		if service.Weight > 0 && (best < 0 || r.credits[i] > r.credits[best]) {
			best = i
		}
	}
	if best < 0 {
		return r.services[0].Service
	}
	r.credits[best] -= totalWeight(r.services)
	return r.services[best].Service
}

func totalWeight(services []WeightedService) int {
	total := 0
	for _, service := range services {
		total += service.Weight
	}
	return total
}

func sameWeightedServices(a, b []WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
