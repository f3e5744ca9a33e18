package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/estimate"
	"stepseam.example/stepseam/internal/fleet"
)

var sampleZones = []string{"z0", "z1", "z2", "z3", "z4"}

// manyReplicas returns a directory of ready replicas of one service in five zones.
func manyReplicas(count int) *fleet.Directory {
	all := make([]fleet.Replica, 0, count)
	for i := range count {
		all = append(all, fleet.Replica{
			Instance: fmt.Sprintf("i-%d", i), Service: "s", Zone: sampleZones[i%len(sampleZones)], Slots: 6, State: fleet.StateReady,
		})
	}
	d := fleet.NewDirectory()
	d.Replace(all, 0)
	return d
}

func anyEligible(*fleet.Replica) bool { return true }

func sampleOptions(random func() float64) SampleOptions {
	return SampleOptions{Service: "s", Zones: sampleZones, FirstSegment: 77, Node: 5, Eligible: anyEligible, Random: random}
}

func namesOf(replicas []fleet.Replica) []string {
	var names []string
	for _, replica := range replicas {
		names = append(names, replica.Instance)
	}
	return names
}

func TestSampleIsSmallAndDistinct(t *testing.T) {
	is := is.New(t)
	d := manyReplicas(900)
	random := rand.New(rand.NewPCG(1, 2))
	options := sampleOptions(random.Float64)
	options.CacheLocation = "i-501"
	for range 200 {
		found := namesOf(SampleReplicas(d, options, 0))
		is.True(len(found) >= sampleBySegment+1 && len(found) <= sampleBySegment+sampleRandom+sampleOtherZone+1)
		is.True(slices.Contains(found, "i-501"))
		slices.Sort(found)
		is.Equal(len(slices.Compact(found)), len(found))
	}
}

// Nodes of a zone must sample the same replicas for a first segment, and keep the others
// when one of them is removed.
func TestSamplesAgreeOnReplicasOfSharedSegment(t *testing.T) {
	is := is.New(t)
	d := manyReplicas(900)
	one, other := sampleOptions(rand.New(rand.NewPCG(1, 2)).Float64), sampleOptions(rand.New(rand.NewPCG(3, 4)).Float64)
	other.Node = 6
	first := namesOf(SampleReplicas(d, one, 0))[:sampleBySegment]
	is.Equal(namesOf(SampleReplicas(d, other, 0))[:sampleBySegment], first)
	d.Apply([]fleet.Change{{Instance: first[0], Unreadable: true}}, 0)
	is.Equal(namesOf(SampleReplicas(d, one, 0))[:sampleBySegment-1], first[1:])
}

func TestSamplesWithoutPromptReuseReplicas(t *testing.T) {
	is := is.New(t)
	d := manyReplicas(900)
	options := sampleOptions(rand.New(rand.NewPCG(1, 2)).Float64)
	options.FirstSegment = 0
	own := namesOf(SampleReplicas(d, options, 0))[:sampleByNode]
	is.Equal(namesOf(SampleReplicas(d, options, 0))[:sampleByNode], own)
	options.Node++
	is.True(!slices.Equal(namesOf(SampleReplicas(d, options, 0))[:sampleByNode], own))
}

// A single eligible replica must be found in any of the zones.
func TestOnlyEligibleReplicaIsFound(t *testing.T) {
	is := is.New(t)
	d := manyReplicas(5000)
	options := sampleOptions(rand.New(rand.NewPCG(1, 2)).Float64)
	options.Eligible = func(replica *fleet.Replica) bool { return replica.Instance == "i-4321" }
	is.Equal(namesOf(SampleReplicas(d, options, 0)), []string{"i-4321"})
	options.Zones = []string{"z0", "z2"} // it is in neither
	is.Equal(len(SampleReplicas(d, options, 0)), 0)
	options.Zones = nil
	is.Equal(len(SampleReplicas(d, options, 0)), 0)
}

// engines simulates replicas that batch requests and cache prompts, with exact knowledge of
// their state.
type engines struct {
	directory *fleet.Directory
	running   map[string][]time.Duration
	cached    map[string]map[uint64]bool
	rates     estimate.Rates
}

const (
	modelFirstSegments = 6
	modelTokens        = 14280
	modelSharedTokens  = 12600
)

func newEngines(count int) *engines {
	return &engines{
		directory: manyReplicas(count), running: map[string][]time.Duration{}, cached: map[string]map[uint64]bool{},
		rates: estimate.Rates{FirstMilliseconds: 10, MillisecondsPerToken: 1.0 / 270, EventMilliseconds: 64, EventMillisecondsPerRequest: 0.5, Events: 4.4},
	}
}

// candidate describes the current state of a replica.
func (e *engines) candidate(replica fleet.Replica, segment uint64, now time.Duration) Candidate {
	e.running[replica.Instance] = slices.DeleteFunc(e.running[replica.Instance], func(until time.Duration) bool { return until <= now })
	candidate := Candidate{
		Instance: replica.Instance, Engine: true, Slots: replica.Slots, SameZone: replica.Zone == sampleZones[0],
		InFlightElsewhere: len(e.running[replica.Instance]), RoundTripMilliseconds: 1,
	}
	if e.cached[replica.Instance][segment] {
		candidate.CachedTokens = modelSharedTokens
	}
	return candidate
}

// run simulates requests with random arrivals. It returns their mean duration in
// milliseconds and the number that prefilled the shared segment again.
func (e *engines) run(perSecond float64, choose func(segment uint64, now time.Duration) []fleet.Replica) (mean float64, prefills int) {
	const requests, warm = 8000, 3000
	random := rand.New(rand.NewPCG(7, 8))
	now, total := time.Duration(0), 0.0
	for i := range requests {
		now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		segment := uint64(random.IntN(modelFirstSegments)) + 1
		var candidates []Candidate
		for _, replica := range choose(segment, now) {
			candidates = append(candidates, e.candidate(replica, segment, now))
		}
		work := Work{PromptTokens: modelTokens, FirstSegment: segment, Rates: e.rates}
		chosen, _ := Choose(candidates, work, random.Float64())
		elapsed := e.begin(chosen.Candidate, segment, now)
		if i >= warm {
			total += elapsed
			if chosen.Candidate.CachedTokens == 0 {
				prefills++
			}
		}
	}
	return total / (requests - warm), prefills
}

// begin starts a request and returns its duration in milliseconds.
func (e *engines) begin(chosen Candidate, segment uint64, now time.Duration) float64 {
	running := e.running[chosen.Instance]
	wait := 0.0
	if len(running) >= chosen.Slots {
		sorted := slices.Sorted(slices.Values(running))
		wait = milliseconds(sorted[len(running)-chosen.Slots] - now)
	}
	others := float64(min(len(running), chosen.Slots))
	elapsed := wait + e.rates.FirstMilliseconds + float64(modelTokens-chosen.CachedTokens)*e.rates.MillisecondsPerToken +
		e.rates.Events*(e.rates.EventMilliseconds+others*e.rates.EventMillisecondsPerRequest)
	e.running[chosen.Instance] = append(running, now+time.Duration(elapsed*float64(time.Millisecond)))
	if e.cached[chosen.Instance] == nil {
		e.cached[chosen.Instance] = map[uint64]bool{}
	}
	e.cached[chosen.Instance][segment] = true
	return elapsed
}

// Selection from a sample must be at most 2 % slower than selection from all replicas, at
// low and at moderate load.
func TestSamplingIsNearlyAsGoodAsFullScan(t *testing.T) {
	const replicas, maxRatio = 500, 1.02
	for _, perSecond := range []float64{30, 300} {
		scannedEngines, sampledEngines := newEngines(replicas), newEngines(replicas)
		best, bestPrefills := scannedEngines.run(perSecond, func(uint64, time.Duration) []fleet.Replica { return scannedEngines.directory.Usable("s", 0) })
		random := rand.New(rand.NewPCG(9, 10))
		sampled, sampledPrefills := sampledEngines.run(perSecond, func(segment uint64, now time.Duration) []fleet.Replica {
			options := sampleOptions(random.Float64)
			options.FirstSegment = segment
			return SampleReplicas(sampledEngines.directory, options, now)
		})
		t.Logf("%v requests per second: full scan %.1f ms with %d prefills, sampling %.1f ms with %d prefills", perSecond, best, bestPrefills, sampled, sampledPrefills)
		is.New(t).True(sampled <= best*maxRatio)
	}
}

// BenchmarkSampleReplicas measures the cost of a selection by the number of replicas.
func BenchmarkSampleReplicas(b *testing.B) {
	for _, count := range []int{60, 900, 8714, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			d := manyReplicas(count)
			tracker := NewTracker("z0")
			random := rand.New(rand.NewPCG(1, 2))
			options := sampleOptions(random.Float64)
			work := Work{PromptTokens: modelTokens, FirstSegment: 77}
			b.ReportAllocs()
			for b.Loop() {
				candidates := tracker.Candidates(SampleReplicas(d, options, 0), Requirements{Engine: true}, 0)
				Choose(candidates, work, 0.5)
			}
		})
	}
}
