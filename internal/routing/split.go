package routing

import "sync"

// Splitter deals a split route's requests to its services so that each gets its
// share even over few requests (smooth weighted round robin). It is safe for
// concurrent use.
type Splitter struct {
	// mutex guards routes.
	mutex  sync.Mutex
	routes map[string]*dealing
}

// dealing is how far each service of a route is ahead of or behind its share.
type dealing struct {
	shares  []WeightedService
	credits []int
}

// NewSplitter returns a splitter that has dealt nothing yet.
func NewSplitter() *Splitter {
	return &Splitter{routes: map[string]*dealing{}}
}

// Pick returns the service for the next request of route. begin in [0,1) places a
// route that is seen first somewhere in its round, so that nodes differ.
func (s *Splitter) Pick(route *Route, begin float64) string {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	dealt, known := s.routes[route.Name]
	if !known || !sameShares(dealt.shares, route.WeightedServices) {
		dealt = &dealing{shares: route.WeightedServices, credits: make([]int, len(route.WeightedServices))}
		s.routes[route.Name] = dealt
		for range int(begin * float64(totalWeight(route.WeightedServices))) {
			dealt.next()
		}
	}
	return dealt.next()
}

// next gives each service its weight, takes the one that is furthest behind and
// charges it the whole round.
func (d *dealing) next() string {
	best := -1
	for i, share := range d.shares {
		d.credits[i] += share.Weight
		if share.Weight > 0 && (best < 0 || d.credits[i] > d.credits[best]) {
			best = i
		}
	}
	if best < 0 {
		return d.shares[0].Service
	}
	d.credits[best] -= totalWeight(d.shares)
	return d.shares[best].Service
}

func totalWeight(shares []WeightedService) int {
	total := 0
	for _, share := range shares {
		total += share.Weight
	}
	return total
}

func sameShares(a, b []WeightedService) bool {
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
