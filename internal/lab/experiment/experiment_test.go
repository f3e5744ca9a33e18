package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// short limits the simulated time of a site to minutes.
func short(site Site) Site {
	site.Duration, site.Warmup, site.Prehistory = 4*time.Minute, 30*time.Second, min(site.Prehistory, time.Hour)
	return site
}

func TestRunIsDeterministicPerSeed(t *testing.T) {
	for _, site := range []Site{short(Quito()), short(Haldane())} {
		for _, name := range []string{"prefix_affinity", "stepseam"} {
			is := is.New(t)
			strategy, err := StrategyByName(name)
			is.NoErr(err)
			options := Options{Site: site, Strategy: strategy, Load: 0.9, Seed: 7}
			first, again := Run(options), Run(options)
			is.Equal(first, again)
			options.Seed = 8
			is.True(first.LatencyP50 != Run(options).LatencyP50)
		}
	}
}

// TestLatencyIsAtLeastLowerBound also checks that wasted cache doesn't exceed the
// cache in use.
func TestLatencyIsAtLeastLowerBound(t *testing.T) {
	is := is.New(t)
	for _, site := range []Site{short(Quito()), short(Haldane())} {
		programs := Workload(&site, 0.5, 3)
		for _, strategy := range Strategies() {
			r := Run(Options{Site: site, Strategy: strategy, Programs: programs, Load: 0.5, Seed: 3})
			is.True(r.Completed > 50)
			is.True(r.LatencyP50 >= r.LowerBoundP50)
			is.True(r.LatencyP95 >= r.LowerBoundP95)
			is.True(r.WastedEvictedShare >= 0 && r.WastedDuplicateShare >= 0 && r.WastedAfterEndShare >= 0)
			is.True(r.WastedCacheShare <= 1)
			is.True(r.WorstTenantSlowdown >= 1)
		}
	}
}
