package node

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/do/v2"
)

// randomSource returns a component's own source, so that what one component
// draws does not change what another gets. It has no lock.
func randomSource(injector do.Injector, component string) rand.Source {
	seed := do.MustInvoke[Seed](injector)
	return rand.NewPCG(uint64(seed), xxhash.Sum64String(component))
}

// randomFloats returns a function that draws from 0 to 1, safe for concurrent use.
func randomFloats(injector do.Injector, component string) func() float64 {
	random := rand.New(randomSource(injector, component))
	var mutex sync.Mutex
	return func() float64 {
		mutex.Lock()
		defer mutex.Unlock()
		return random.Float64()
	}
}
