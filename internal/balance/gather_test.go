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

var gatherZones = []string{"z0", "z1", "z2", "z3", "z4"}

// manyReplicas returns a directory of ready replicas of one service in five zones.
func manyReplicas(count int) *fleet.Directory {
	all := make([]fleet.Replica, 0, count)
	for i := range count {
		all = append(all, fleet.Replica{
			Instance: fmt.Sprintf("i-%d", i), Service: "s", Zone: gatherZones[i%len(gatherZones)], Slots: 6, State: fleet.StateReady,
		})
	}
	d := fleet.NewDirectory()
	d.Replace(all, 0)
	return d
}

func anyFits(*fleet.Replica) bool { return true }

func need(random func() float64) SampleOptions {
	return SampleOptions{Service: "s", Zones: gatherZones, FirstSegment: 77, Node: 5, Eligible: anyFits, Random: random}
}

func namesOf(replicas []fleet.Replica) []string {
	var names []string
	for _, replica := range replicas {
		names = append(names, replica.Instance)
	}
	return names
}

func TestGatheredAreFewAndEachOnce(t *testing.T) {
	is := is.New(t)
	d := manyReplicas(900)
	random := rand.New(rand.NewPCG(1, 2))
	asked := need(random.Float64)
	asked.CacheLocation = "i-501"
	for range 200 {
		found := namesOf(SampleReplicas(d, asked, 0))
		is.True(len(found) >= gatherAffine+1 && len(found) <= gatherAffine+gatherDrawn+gatherElsewhere+1)
		is.True(slices.Contains(found, "i-501"))
		slices.Sort(found)
		is.Equal(len(slices.Compact(found)), len(found))
	}
}

// TestNodesOfAZoneAgreeOnAPromptsReplicas: a part that many programs share is read by few
// replicas, and most of them stay where a replica goes.
func TestNodesOfAZoneAgreeOnAPromptsReplicas(t *testing.T) {
	is := is.New(t)
	d := manyReplicas(900)
	one, other := need(rand.New(rand.NewPCG(1, 2)).Float64), need(rand.New(rand.NewPCG(3, 4)).Float64)
	other.Node = 6
	first := namesOf(SampleReplicas(d, one, 0))[:gatherAffine]
	is.Equal(namesOf(SampleReplicas(d, other, 0))[:gatherAffine], first)
	d.Apply([]fleet.Change{{Instance: first[0], Unreadable: true}}, 0)
	is.Equal(namesOf(SampleReplicas(d, one, 0))[:gatherAffine-1], first[1:])
}

func TestRequestsWithoutAPromptUseFewReplicasAgain(t *testing.T) {
	is := is.New(t)
	d := manyReplicas(900)
	asked := need(rand.New(rand.NewPCG(1, 2)).Float64)
	asked.FirstSegment = 0
	own := namesOf(SampleReplicas(d, asked, 0))[:gatherOwn]
	is.Equal(namesOf(SampleReplicas(d, asked, 0))[:gatherOwn], own)
	asked.Node++
	is.True(!slices.Equal(namesOf(SampleReplicas(d, asked, 0))[:gatherOwn], own))
}

// TestTheOnlyReplicaThatFitsIsFound: in whatever zone it lies.
func TestTheOnlyReplicaThatFitsIsFound(t *testing.T) {
	is := is.New(t)
	d := manyReplicas(5000)
	asked := need(rand.New(rand.NewPCG(1, 2)).Float64)
	asked.Eligible = func(replica *fleet.Replica) bool { return replica.Instance == "i-4321" }
	is.Equal(namesOf(SampleReplicas(d, asked, 0)), []string{"i-4321"})
	asked.Zones = []string{"z0", "z2"} // it lies in neither
	is.Equal(len(SampleReplicas(d, asked, 0)), 0)
	asked.Zones = nil
	is.Equal(len(SampleReplicas(d, asked, 0)), 0)
}

// engines is a model of replicas that batch requests and keep prompts, of which all is known
// to whoever asks.
type engines struct {
	directory *fleet.Directory
	running   map[string][]time.Duration
	holds     map[string]map[uint64]bool
	rates     estimate.Rates
}

const (
	modelFirstParts = 6
	modelTokens     = 14280
	modelShared     = 12600
)

func newEngines(count int) *engines {
	return &engines{
		directory: manyReplicas(count), running: map[string][]time.Duration{}, holds: map[string]map[uint64]bool{},
		rates: estimate.Rates{FirstMilliseconds: 10, MillisecondsPerToken: 1.0 / 270, EventMilliseconds: 64, EventMillisecondsPerRequest: 0.5, Events: 4.4},
	}
}

// candidate describes a replica as it is at a time.
func (e *engines) candidate(replica fleet.Replica, part uint64, now time.Duration) Candidate {
	e.running[replica.Instance] = slices.DeleteFunc(e.running[replica.Instance], func(until time.Duration) bool { return until <= now })
	described := Candidate{
		Instance: replica.Instance, Engine: true, Slots: replica.Slots, SameZone: replica.Zone == gatherZones[0],
		InFlightElsewhere: len(e.running[replica.Instance]), RoundTripMilliseconds: 1,
	}
	if e.holds[replica.Instance][part] {
		described.CachedTokens = modelShared
	}
	return described
}

// run serves requests that come at random times and returns their mean time in
// milliseconds and how many read the shared part anew.
func (e *engines) run(perSecond float64, choose func(part uint64, now time.Duration) []fleet.Replica) (mean float64, readAnew int) {
	const requests, warm = 8000, 3000
	random := rand.New(rand.NewPCG(7, 8))
	now, total := time.Duration(0), 0.0
	for i := range requests {
		now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		part := uint64(random.IntN(modelFirstParts)) + 1
		var candidates []Candidate
		for _, replica := range choose(part, now) {
			candidates = append(candidates, e.candidate(replica, part, now))
		}
		work := Work{PromptTokens: modelTokens, FirstSegment: part, Rates: e.rates}
		chosen, _ := Choose(candidates, work, random.Float64())
		took := e.begin(chosen.Candidate, part, now)
		if i >= warm {
			total += took
			if chosen.Candidate.CachedTokens == 0 {
				readAnew++
			}
		}
	}
	return total / (requests - warm), readAnew
}

// begin has a request run and returns its time in milliseconds.
func (e *engines) begin(chosen Candidate, part uint64, now time.Duration) float64 {
	running := e.running[chosen.Instance]
	wait := 0.0
	if len(running) >= chosen.Slots {
		sorted := slices.Sorted(slices.Values(running))
		wait = milliseconds(sorted[len(running)-chosen.Slots] - now)
	}
	others := float64(min(len(running), chosen.Slots))
	took := wait + e.rates.FirstMilliseconds + float64(modelTokens-chosen.CachedTokens)*e.rates.MillisecondsPerToken +
		e.rates.Events*(e.rates.EventMilliseconds+others*e.rates.EventMillisecondsPerRequest)
	e.running[chosen.Instance] = append(running, now+time.Duration(took*float64(time.Millisecond)))
	if e.holds[chosen.Instance] == nil {
		e.holds[chosen.Instance] = map[uint64]bool{}
	}
	e.holds[chosen.Instance][part] = true
	return took
}

// TestGatheredReplicasServeAsWellAsAll: with few requests for a replica, and with as many as
// a tenth of the slots of a zone take, a request takes as long as when all replicas are
// compared, within 2 parts in 100.
func TestGatheredReplicasServeAsWellAsAll(t *testing.T) {
	const replicas, worse = 500, 1.02
	for _, perSecond := range []float64{30, 300} {
		scanned, gathered := newEngines(replicas), newEngines(replicas)
		best, bestAnew := scanned.run(perSecond, func(uint64, time.Duration) []fleet.Replica { return scanned.directory.Usable("s", 0) })
		random := rand.New(rand.NewPCG(9, 10))
		have, haveAnew := gathered.run(perSecond, func(part uint64, now time.Duration) []fleet.Replica {
			asked := need(random.Float64)
			asked.FirstSegment = part
			return SampleReplicas(gathered.directory, asked, now)
		})
		t.Logf("%v a second: scan %.1f ms, %d read anew; gather %.1f ms, %d read anew", perSecond, best, bestAnew, have, haveAnew)
		is.New(t).True(have <= best*worse)
	}
}

// BenchmarkGather is the cost of the replicas to choose from, by how many there are.
func BenchmarkGather(b *testing.B) {
	for _, count := range []int{60, 900, 8714, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			d := manyReplicas(count)
			tracker := NewTracker("z0")
			random := rand.New(rand.NewPCG(1, 2))
			asked := need(random.Float64)
			work := Work{PromptTokens: modelTokens, FirstSegment: 77}
			b.ReportAllocs()
			for b.Loop() {
				candidates := tracker.Candidates(SampleReplicas(d, asked, 0), Requirements{Engine: true}, 0)
				Choose(candidates, work, 0.5)
			}
		})
	}
}
