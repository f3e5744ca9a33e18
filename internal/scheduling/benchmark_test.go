package scheduling_test

import (
	"fmt"
	"testing"
	"time"

	"stepseam.example/stepseam/internal/scheduling"
)

// benchmarkBackends returns a busy fleet in which one back end has the prefix
// cached.
func benchmarkBackends(count int) []scheduling.Backend {
	backends := make([]scheduling.Backend, count)
	for i := range backends {
		backends[i] = scheduling.Backend{
			Name: fmt.Sprintf("engine-%03d", i), Service: "advisor", ServesModel: true,
			ReportedRunning: 5 + i*7%11, QueuedPrefillTokens: i * 131 % 4000, OwnInFlight: i % 3,
			CacheCapacityTokens: 200_000, CacheUsedTokens: 150_000 + i*977%50_000,
			PrefillRate: 7000 + float64(i*37%900), DecodeRate: 40 + float64(i%20),
			Latency: time.Millisecond,
		}
	}
	backends[count/2].CachedTokens = 3000
	return backends
}

func BenchmarkChoose(b *testing.B) {
	call := scheduling.Call{
		Model: "advisor-7b", Service: "advisor", PromptTokens: 3400, MaxTokens: 600, Weight: 2, Priority: 1,
		Arrived: epoch, ProgramStarted: epoch.Add(-time.Minute), CallsSoFar: 3, LastBackend: "engine-007",
	}
	for _, policy := range policies() {
		for _, count := range []int{14, 600} {
			backends := benchmarkBackends(count)
			b.Run(fmt.Sprintf("policy=%s/backends=%d", policy.Name(), count), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					policy.Choose(epoch, call, backends)
				}
			})
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	calls := make([]scheduling.Call, 200)
	for i := range calls {
		calls[i] = scheduling.Call{Arrived: epoch.Add(-time.Duration(i*37%90) * time.Second), Weight: 1, Priority: i % 3}
	}
	b.ReportAllocs()
	for b.Loop() {
		scheduling.Rank(epoch, calls)
	}
}
