package node

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/do/v2"
)

// randomSource returns a separate source for a component, so that the values that one
// component uses do not depend on the others. It is not safe for concurrent use.
func randomSource(injector do.Injector, component string) rand.Source {
	seed := do.MustInvoke[Seed](injector)
	return rand.NewPCG(uint64(seed), xxhash.Sum64String(component))
}

// randomFloats returns a function that returns values in [0, 1). It is safe for
// concurrent use.
func randomFloats(injector do.Injector, component string) func() float64 {
	random := rand.New(randomSource(injector, component))
	var mutex sync.Mutex
	return func() float64 {
		mutex.Lock()
		defer mutex.Unlock()
		return random.Float64()
	}
}
