package balance

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/distance"
	"stepseam.example/stepseam/internal/estimate"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/loads"
)

var prompt = Prompt{Segments: []Segment{{ID: 1, Tokens: 12000}, {ID: 2, Tokens: 1000}}, Tokens: 13000}

const service = "s"

func pick(t *Tracker, engine bool, now time.Duration, except ...string) string {
	return pickFor(t, Requirements{Engine: engine, Prompt: prompt, Exclude: except}, now)
}

func pickFor(t *Tracker, requirements Requirements, now time.Duration) string {
	slots := 6
	if requirements.Engine {
		slots = 12
	}
	replicas := []fleet.Replica{
		{Instance: "near", Zone: "z", Service: service, Slots: slots},
		{Instance: "far", Zone: "y", Service: service, Slots: slots},
		{Instance: "away", Zone: "x", Service: service, Slots: slots},
	}
	choice, _ := Choose(t.Candidates(replicas, requirements, now), Work{PromptTokens: requirements.Prompt.Tokens, Rates: t.Rates(service)}, 0)
	return choice.Candidate.Instance
}

// begin starts a request at instance.
func begin(t *Tracker, instance string, prompt Prompt, now time.Duration) *InFlightRequest {
	return t.Begin(Target{Instance: instance, Service: service}, prompt, now)
}

// serve runs a request at instance that succeeds or fails immediately.
func serve(t *Tracker, instance string, prompt Prompt, failed bool, now time.Duration) {
	request := begin(t, instance, prompt, now)
	t.Answered(request, now)
	t.End(request, failed, now)
}

func TestCachedPromptOutweighsDistance(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	is.Equal(pick(tracker, true, 0), "near")
	tracker.End(begin(tracker, "far", prompt, 0), false, 0)
	is.Equal(pick(tracker, true, 0), "far")
	for range 20 {
		begin(tracker, "far", prompt, 0)
	}
	is.Equal(pick(tracker, true, 0), "near") // queueing costs more than another prefill
}

func TestWorkersAreSelectedByRequestsInFlight(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	for range 2 {
		begin(tracker, "near", Prompt{}, 0)
	}
	is.Equal(pick(tracker, false, 0), "far")
}

func TestFailedReplicaIsAvoidedButRemainsLastResort(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	serve(tracker, "near", Prompt{}, true, 0)
	is.Equal(pick(tracker, false, 100*time.Millisecond), "far")
	is.Equal(pick(tracker, false, 100*time.Millisecond, "far", "away"), "near")
	is.Equal(pick(tracker, false, time.Second), "near")
	is.Equal(pick(tracker, false, 0, "near", "far", "away"), "")
}

// pickExposed selects a replica for a non-retryable request.
func pickExposed(t *Tracker, now time.Duration) string {
	replicas := []fleet.Replica{{Instance: "near", Zone: "z"}, {Instance: "far", Zone: "y"}}
	choice, _ := Choose(t.Candidates(replicas, Requirements{NotRetryable: true}, now), Work{Rates: t.Rates(service)}, 0)
	return choice.Candidate.Instance
}

func TestNonRetryableRequestAvoidsRecentlyFailedReplica(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	end := func(failed bool) {
		serve(tracker, "near", Prompt{}, failed, 0)
	}
	end(true)
	is.Equal(pick(tracker, false, time.Second), "near") // retryable requests use it again
	is.Equal(pickExposed(tracker, time.Second), "far")
	is.Equal(pickExposed(tracker, time.Minute), "near") // no request was served, but the time is over
	end(false)
	is.Equal(pickExposed(tracker, time.Second), "near")
}

func TestNonRetryableRequestAvoidsReplicaFailingAtOtherNodes(t *testing.T) {
	is := is.New(t)
	one, other := NewTracker("z"), NewTracker("z")
	serve(one, "near", Prompt{}, true, 0)
	reported := one.OwnLoads(0)
	is.Equal(reported, map[loads.ReplicaKey]loads.Load{loads.HashReplica("near"): {Failing: true}})
	other.SetPeerLoad(netip.MustParseAddrPort("10.0.0.2:1"), reported, 1, 0)
	is.Equal(pick(other, false, 0), "near")
	is.Equal(pickExposed(other, 0), "far")
	is.Equal(pickExposed(other, loads.ReportTTL+1), "near")
	is.Equal(len(one.OwnLoads(time.Minute)), 0)
}

func TestSuspectDurationGrowsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failures := rapid.IntRange(1, 1000).Draw(t, "failures")
		pause := suspectDuration(failures)
		if pause < suspectDuration(1) || pause > 5*time.Second || pause < suspectDuration(max(failures-1, 1)) {
			t.Fatalf("suspect duration after %d failures is %v", failures, pause)
		}
	})
}

func TestTrackedSegmentsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	for id := range uint64(10 * maxSegmentsPerReplica) {
		begin(tracker, "a", Prompt{Segments: []Segment{{ID: id, Tokens: 5}}}, 0)
	}
	known := tracker.replicas["a"].sentSegments
	is.True(len(known.recent)+len(known.older) <= maxSegmentsPerReplica)
	is.Equal(known.cached([]Segment{{ID: 10*maxSegmentsPerReplica - 1, Tokens: 5}}), 5)
}

// stream runs a stream with the given number of events at instance.
func stream(t *Tracker, instance string, events int, took time.Duration) {
	request := begin(t, instance, Prompt{}, 0)
	t.Answered(request, 0)
	t.FirstEvent(request, 0)
	t.End(request, false, 0)
	t.StreamEnded(request, slices.Repeat([]time.Duration{took / time.Duration(events-1)}, events-1), 0)
}

func TestFasterReplicaIsPreferred(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	stream(tracker, "near", 11, 230*time.Millisecond)
	is.Equal(pick(tracker, true, 0), "near") // the pace of the others is unknown
	stream(tracker, "far", 11, 200*time.Millisecond)
	is.Equal(pick(tracker, true, 0), "near") // a small difference does not outweigh the path
	stream(tracker, "away", 11, 100*time.Millisecond)
	is.Equal(pick(tracker, true, 0), "away")
	stream(tracker, "near", 2, time.Millisecond) // too short to be observed
	is.Equal(pick(tracker, true, 0), "away")
}

func TestPaceCostIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fastest := rapid.Float64Range(1, 100).Draw(t, "fastest")
		pace := fastest + rapid.Float64Range(0, 1000).Draw(t, "difference")
		if paceCost(pace, fastest) < 0 || paceCost(pace+1, fastest) <= paceCost(pace, fastest) || paceCost(fastest, fastest) != 0 {
			t.Fatalf("cost of pace %v with fastest %v is %v", pace, fastest, paceCost(pace, fastest))
		}
	})
}

func TestUnresponsiveReplicaIsAvoided(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	first := begin(tracker, "near", Prompt{}, 0)
	is.Equal(pickFor(tracker, Requirements{Engine: true}, minResponseTimeout), "near")
	is.Equal(pickFor(tracker, Requirements{Engine: true}, minResponseTimeout+1), "far")
	second := begin(tracker, "near", Prompt{}, minResponseTimeout)
	tracker.Answered(first, minResponseTimeout+1) // one of the two
	is.Equal(pickFor(tracker, Requirements{Engine: true}, 2*minResponseTimeout), "near")
	is.Equal(pickFor(tracker, Requirements{Engine: true}, 2*minResponseTimeout+2), "far")
	tracker.Answered(second, 2*minResponseTimeout+2)
	is.Equal(pickFor(tracker, Requirements{Engine: true}, time.Hour), "near")
}

func TestRequestsInFlightAtOtherNodesCount(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	other, third := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	tracker.SetPeerLoad(other, map[loads.ReplicaKey]loads.Load{loads.HashReplica("near"): {InFlight: 2}}, 1, 0)
	is.Equal(pick(tracker, false, 0), "far")
	tracker.SetPeerLoad(third, map[loads.ReplicaKey]loads.Load{loads.HashReplica("far"): {InFlight: 3}, loads.HashReplica("away"): {InFlight: 3}}, 1, 0)
	is.Equal(pick(tracker, false, 0), "near")
	tracker.SetPeerLoad(third, nil, 1, loads.ReportTTL+1) // the other node's report has expired
	is.Equal(tracker.peerLoads.sums[loads.HashReplica("near")].inFlight, 0)
	begin(tracker, "near", Prompt{}, 0)
	is.Equal(tracker.OwnLoads(0), map[loads.ReplicaKey]loads.Load{loads.HashReplica("near"): {InFlight: 1}})
	tracker.SetPeerLoad(third, map[loads.ReplicaKey]loads.Load{loads.HashReplica("near"): {InFlight: 2}}, 0.25, loads.ReportTTL+2)
	replicas := []fleet.Replica{{Instance: "near"}}
	is.Equal(tracker.Candidates(replicas, Requirements{}, loads.ReportTTL+2)[0].InFlightElsewhere, 8) // scaled by the coverage
}

func TestUtilizationCountsAllNodesAndSlots(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	replicas := []fleet.Replica{{Instance: "a", Slots: 4}, {Instance: "b", Slots: 6}}
	is.Equal(tracker.Utilization(nil, 0, 0), 0.0)
	is.Equal(tracker.Utilization(replicas, 0, 0), 0.0)
	begin(tracker, "a", Prompt{}, 0)
	begin(tracker, "gone", Prompt{}, 0)
	is.Equal(tracker.Utilization(replicas, 0, 0), 0.1)
	other := netip.MustParseAddrPort("10.0.0.1:1")
	tracker.SetPeerLoad(other, map[loads.ReplicaKey]loads.Load{loads.HashReplica("b"): {InFlight: 2}}, 0.5, time.Second)
	is.Equal(tracker.Utilization(replicas, 0, time.Second), 0.5) // half of the nodes report two
	is.Equal(tracker.Utilization(replicas, 0, 10*time.Second), 0.1)
	is.Equal(tracker.Utilization([]fleet.Replica{{Instance: "a"}}, 2, 10*time.Second), 0.5)
}

func TestOpenConnectionBreaksTies(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("elsewhere") // all zones are at the same distance
	requirements := Requirements{Connected: func(replica fleet.Replica) bool { return replica.Instance == "away" }}
	is.Equal(pickFor(tracker, requirements, 0), "away")
	begin(tracker, "away", Prompt{}, 0)
	is.Equal(pickFor(tracker, requirements, 0), "near") // a request in flight costs more
}

func TestGrowthOfSegmentIsNotCached(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	is.Equal(begin(tracker, "near", prompt, 0).Expected().UncachedTokens, 13000)
	grown := Prompt{Segments: []Segment{{ID: 1, Tokens: 12000}, {ID: 2, Tokens: 3000}, {ID: 3, Tokens: 500}}, Tokens: 15500}
	is.Equal(begin(tracker, "near", grown, 0).Expected().UncachedTokens, 2500)
}

func TestTurnFollowsCachedPrefix(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	later := prompt
	later.CacheLocation = CacheLocation{Instance: "away", Tokens: 12500}
	is.Equal(pickFor(tracker, Requirements{Engine: true, Prompt: later}, 0), "away")
	request := begin(tracker, "away", later, 0)
	is.Equal(request.Expected().UncachedTokens, 500)
	for range 9 {
		begin(tracker, "away", Prompt{Tokens: 13000}, 0) // none of it cached
	}
	is.Equal(pickFor(tracker, Requirements{Engine: true, Prompt: later}, 0), "near")
}

func TestPendingTokensCountUntilFirstEvent(t *testing.T) {
	is := is.New(t)
	one, other := NewTracker("z"), NewTracker("z")
	request := begin(one, "near", prompt, 0)
	reported := one.OwnLoads(0)
	is.Equal(reported[loads.HashReplica("near")], loads.Load{InFlight: 1, PendingTokens: 13000})
	other.SetPeerLoad(netip.MustParseAddrPort("10.0.0.2:1"), reported, 1, 0)
	expected := begin(other, "near", prompt, 0).Expected()
	is.True(expected.FirstMilliseconds > 0)
	expected.FirstMilliseconds = 0
	is.Equal(expected, Expected{UncachedTokens: 13000, TokensAhead: 13000, OtherRequests: 1})
	one.FirstEvent(request, time.Second)
	is.Equal(one.OwnLoads(0)[loads.HashReplica("near")].PendingTokens, 0)
	one.End(request, false, time.Second)
	is.Equal(one.replicas["near"].pendingTokens, 0)
}

// engine is a simulated engine with known rates, in milliseconds.
type engine struct{ perToken, perEvent float64 }

// Selection by estimated rates must cost at most a tenth more than selection by the true
// rates, for engines of different speeds.
func TestSelectionByEstimatesIsCloseToOptimal(t *testing.T) {
	for _, size := range []engine{{0.0037, 1.5}, {0.026, 5}, {1, 40}} {
		is := is.New(t)
		tracker := NewTracker("z")
		random := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			tokens := random.IntN(5000)
			request := begin(tracker, "near", Prompt{Tokens: tokens}, 0)
			took := time.Duration((20 + size.perToken*float64(tokens)) * float64(time.Millisecond))
			tracker.Answered(request, took)
			tracker.FirstEvent(request, took)
			tracker.End(request, false, took)
			gap := time.Duration(size.perEvent * float64(time.Millisecond))
			tracker.StreamEnded(request, slices.Repeat([]time.Duration{gap}, 9), took)
		}
		trueRates := tracker.Rates(service)
		trueRates.MillisecondsPerToken, trueRates.EventMilliseconds = size.perToken, size.perEvent
		learned, known := 0.0, 0.0
		for range 1000 {
			var candidates []Candidate
			for _, name := range []string{"a", "b", "c"} {
				candidates = append(candidates, Candidate{
					Instance: name, Engine: true, SameZone: name == "a", Slots: 16, InFlight: random.IntN(10),
					CachedTokens: random.IntN(5000), PendingTokensElsewhere: random.IntN(3000),
				})
			}
			work := Work{PromptTokens: 5000, Rates: tracker.Rates(service)}
			chosen, _ := Choose(candidates, work, 0)
			best, _ := Choose(candidates, Work{PromptTokens: 5000, Rates: trueRates}, 0)
			learned += cost(chosen.Candidate, Work{PromptTokens: 5000, Rates: trueRates})
			known += best.Cost
		}
		is.True(learned <= 1.1*known)
	}
}

func TestLongRequestsAreBalancedAcrossZones(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	for range 50 {
		request := begin(tracker, "near", Prompt{}, 0)
		tracker.BodyReceived(request, 300*time.Millisecond)
		tracker.Answered(request, 0)
		tracker.End(request, false, 0)
	}
	begin(tracker, "near", Prompt{}, 0)
	is.Equal(pick(tracker, false, 0), "far")
	for range 1000 {
		request := begin(tracker, "far", Prompt{}, 0)
		tracker.BodyReceived(request, 3*time.Millisecond)
		tracker.Answered(request, 0)
		tracker.End(request, false, 0)
	}
	is.Equal(pick(tracker, false, 0), "near") // the path takes longer than the request
}

func TestProgramsAreAdmittedBelowThreshold(t *testing.T) {
	is := is.New(t)
	is.True(Admits(0.89, 3))
	is.True(!Admits(0.9, 3))
	is.True(Admits(0.9, 0))
	is.True(!Admits(1.1, 0))
}

func TestPriorityFollowsRouteAndLateness(t *testing.T) {
	is := is.New(t)
	for _, late := range []bool{false, true} {
		is.True(Priority(0, late) < Priority(1, late))
		is.True(Priority(1000, late) <= 9)
		is.True(Priority(-1, late) >= 0)
	}
	for route := range 5 {
		is.True(Priority(route, false) < Priority(route, true)) // timely programs go first
	}
	is.True(Priority(0, true) <= Priority(2, false)) // late programs are not behind all others
}

func TestAggregatedStateReplacesEstimates(t *testing.T) {
	is := is.New(t)
	candidate := Candidate{Engine: true, InFlight: 1, InFlightElsewhere: 9, PendingTokens: 100, PendingTokensElsewhere: 9000, CachedTokens: 4000}
	reported := AggregatedState{Load: loads.Load{InFlight: 2, PendingTokens: 64, Failing: true}, CachedTokens: 500, Complete: true}
	learned := candidate.WithAggregatedState(reported, true)
	is.Equal(learned, Candidate{
		Engine: true, InFlight: 1, InFlightElsewhere: 2, PendingTokens: 100, PendingTokensElsewhere: 64, CachedTokens: 500, FailedRecently: true,
	})
	// Incomplete state can only raise the load.
	reported.Complete = false
	learned = candidate.WithAggregatedState(reported, false)
	is.Equal(learned, candidate)
	reported.Load = loads.Load{InFlight: 20}
	is.Equal(candidate.WithAggregatedState(reported, false).InFlightElsewhere, 20)
}

func TestShortlistContainsCheapestAndRandomCandidates(t *testing.T) {
	is := is.New(t)
	const most = shortlistCheapest + shortlistBySegment + shortlistRandom
	random := rand.New(rand.NewPCG(3, 4))
	candidates := make([]Candidate, 0, 60)
	for i := range 60 {
		candidates = append(candidates, Candidate{Instance: string(rune('A' + i)), Engine: true, SameZone: true, InFlight: i})
	}
	work := Work{Rates: NewTracker("z").Rates(service)}
	seen := map[string]bool{}
	for range 500 {
		shortlist := Shortlist(candidates, work, random.Float64)
		is.Equal(len(shortlist), most)
		is.Equal(shortlist[0].Instance, "A")
		is.Equal(shortlist[1].Instance, "B")
		is.Equal(shortlist[2].Instance, "C")
		different := map[string]bool{}
		for _, candidate := range shortlist {
			different[candidate.Instance] = true
			seen[candidate.Instance] = true
		}
		is.Equal(len(different), most)
	}
	is.Equal(len(seen), 60)
	is.Equal(len(Shortlist(candidates[:4], Work{}, random.Float64)), 4)
}

// Nodes of a zone must shortlist the same few replicas for a first segment whatever load
// they assume, and different ones for another segment.
func TestShortlistsAgreeOnReplicasOfSharedSegment(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	shortlistCounts := func(part uint64) map[string]int {
		counts := map[string]int{}
		for range 200 {
			candidates := make([]Candidate, 0, 60)
			for i := range 60 {
				candidates = append(candidates, Candidate{
					Instance: string(rune('A' + i)), Engine: true, SameZone: i%3 == 0, InFlight: random.IntN(50),
				})
			}
			for _, candidate := range Shortlist(candidates, Work{FirstSegment: part, Rates: NewTracker("z").Rates(service)}, random.Float64) {
				counts[candidate.Instance]++
			}
		}
		return counts
	}
	always := func(counts map[string]int) []string {
		instances := lo.Keys(lo.PickBy(counts, func(_ string, count int) bool { return count == 200 }))
		slices.Sort(instances)
		return instances
	}
	first, second := always(shortlistCounts(1)), always(shortlistCounts(2))
	is.Equal(len(first), shortlistBySegment)
	is.Equal(len(second), shortlistBySegment)
	is.True(!slices.Equal(first, second))
	for _, instance := range append(first, second...) {
		is.Equal((rune(instance[0])-'A')%3, rune(0)) // in the own zone
	}
}

func TestExpectedUsesAggregatedState(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	known := &AggregatedState{Load: loads.Load{InFlight: 4, PendingTokens: 640}, CachedTokens: 12000, Complete: true}
	request := tracker.Begin(Target{Instance: "near", Service: service, Known: known}, prompt, 0)
	is.Equal(request.Expected().UncachedTokens, 1000)
	is.Equal(request.Expected().TokensAhead, 640)
	is.Equal(request.Expected().OtherRequests, 4)
	is.Equal(tracker.Load("near", 0), loads.Load{InFlight: 1, PendingTokens: 1000})
	tracker.End(request, false, 0)
	is.Equal(tracker.Load("near", 0), loads.Load{})
}

// Durations at cold replicas must raise the cost of cold replicas only.
func TestColdReplicasAreEstimatedSeparately(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	now := time.Duration(0)
	for i := range 40 {
		took := 20 * time.Millisecond
		if i%2 == 1 {
			took = 100 * time.Millisecond
		}
		request := tracker.Begin(Target{Instance: "i", Service: "s", Slots: 8, Cold: i%2 == 1}, Prompt{}, now)
		now += took
		tracker.BodyReceived(request, now)
		tracker.End(request, false, now)
	}
	rates := tracker.Rates("s")
	is.True(rates.ServiceMilliseconds > 19 && rates.ServiceMilliseconds < 21)
	is.True(rates.ColdSlowness > 4 && rates.ColdSlowness < 6)
	cold := cost(Candidate{Instance: "c", SameZone: true, Slots: 8, Cold: true}, Work{Rates: rates})
	warm := cost(Candidate{Instance: "w", SameZone: true, Slots: 8}, Work{Rates: rates})
	is.True(cold > warm+60 && cold < warm+100)
}

// Another region must be selected only if queueing in the own one takes longer than the
// round trip.
func TestOtherRegionIsSelectedOnlyIfQueueIsLonger(t *testing.T) {
	is := is.New(t)
	work := Work{PromptTokens: 1000, Rates: estimate.Rates{MillisecondsPerToken: 0.01, Events: 5, EventMilliseconds: 20, EventMillisecondsPerRequest: 1}}
	near := func(inFlight int) Candidate {
		return Candidate{Instance: "near", SameZone: true, Engine: true, Slots: 8, InFlight: inFlight}
	}
	far := func(roundTrip float64) Candidate {
		return Candidate{Instance: "far", OtherRegion: true, RoundTripMilliseconds: roundTrip, Engine: true, Slots: 8}
	}
	for _, c := range []struct {
		inFlight  int
		roundTrip float64
		want      string
	}{{0, 60, "near"}, {4, 60, "near"}, {9, 60, "far"}, {9, 200, "near"}, {4, 2, "far"}} {
		choice, found := Choose([]Candidate{near(c.inFlight), far(c.roundTrip)}, work, 0)
		is.True(found)
		is.Equal(choice.Candidate.Instance, c.want)
	}
	answering, rest := SplitByRoundTrip([]Candidate{near(0), far(60)}, 8)
	is.Equal(len(answering), 1)
	is.Equal(rest[0].Instance, "far")
}

func TestCandidatesHavePathToTheirZone(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("a")
	replicas := []fleet.Replica{{Instance: "1", Zone: "a"}, {Instance: "2", Zone: "c"}}
	candidates := tracker.Candidates(replicas, Requirements{PathTo: func(zone string) distance.Path {
		return distance.Path{Zone: zone, RoundTrip: 60 * time.Millisecond, OtherRegion: zone == "c"}
	}}, 0)
	is.Equal(candidates[1].RoundTripMilliseconds, 60.0)
	is.True(candidates[1].OtherRegion)
	is.True(!candidates[0].OtherRegion)
}

// Candidates of other regions remain only if the own region has no healthy replica with a
// free slot, even if another region has the prompt cached.
func TestOtherRegionsAreConsideredOnlyIfOwnIsFull(t *testing.T) {
	is := is.New(t)
	far := Candidate{Instance: "far", OtherRegion: true, Slots: 8, CachedTokens: 1000}
	names := func(candidates ...Candidate) string {
		kept := ""
		for _, candidate := range PreferOwnRegion(append(candidates, far)) {
			kept += candidate.Instance + " "
		}
		return kept
	}
	is.Equal(names(Candidate{Instance: "free", Slots: 8, InFlight: 3, InFlightElsewhere: 4}), "free ")
	is.Equal(names(Candidate{Instance: "untold"}), "untold ")
	is.Equal(names(Candidate{Instance: "full", Slots: 8, InFlight: 3, InFlightElsewhere: 5}), "full far ")
	is.Equal(names(Candidate{Instance: "suspect", Slots: 8, Suspect: true}), "suspect far ")
	is.Equal(names(Candidate{Instance: "full", Slots: 1, InFlight: 1}, Candidate{Instance: "free", Slots: 8}), "full free ")
	is.Equal(names(), "far ")
}
