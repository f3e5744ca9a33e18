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

func pickFor(t *Tracker, need Requirements, now time.Duration) string {
	slots := 6
	if need.Engine {
		slots = 12
	}
	replicas := []fleet.Replica{
		{Instance: "near", Zone: "z", Service: service, Slots: slots},
		{Instance: "far", Zone: "y", Service: service, Slots: slots},
		{Instance: "away", Zone: "x", Service: service, Slots: slots},
	}
	choice, _ := Choose(t.Candidates(replicas, need, now), Work{PromptTokens: need.Prompt.Tokens, Rates: t.Rates(service)}, 0)
	return choice.Candidate.Instance
}

// begin sends a request to instance.
func begin(t *Tracker, instance string, prompt Prompt, now time.Duration) *InFlightRequest {
	return t.Begin(Target{Instance: instance, Service: service}, prompt, now)
}

// serve lets instance answer a request at once, or fail it.
func serve(t *Tracker, instance string, prompt Prompt, failed bool, now time.Duration) {
	sending := begin(t, instance, prompt, now)
	t.Answered(sending, now)
	t.End(sending, failed, now)
}

func TestCachedPromptIsWorthAWay(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	is.Equal(pick(tracker, true, 0), "near")
	tracker.End(begin(tracker, "far", prompt, 0), false, 0)
	is.Equal(pick(tracker, true, 0), "far")
	for range 20 {
		begin(tracker, "far", prompt, 0)
	}
	is.Equal(pick(tracker, true, 0), "near") // a crowd is worse than reading again
}

func TestWorkersAreChosenByWhatIsUnderWay(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	for range 2 {
		begin(tracker, "near", Prompt{}, 0)
	}
	is.Equal(pick(tracker, false, 0), "far")
}

func TestFailedReplicaIsAvoidedForAWhileAndStaysTheLastResort(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	serve(tracker, "near", Prompt{}, true, 0)
	is.Equal(pick(tracker, false, 100*time.Millisecond), "far")
	is.Equal(pick(tracker, false, 100*time.Millisecond, "far", "away"), "near")
	is.Equal(pick(tracker, false, time.Second), "near")
	is.Equal(pick(tracker, false, 0, "near", "far", "away"), "")
}

// pickExposed chooses for a request that must not go to a second replica.
func pickExposed(t *Tracker, now time.Duration) string {
	replicas := []fleet.Replica{{Instance: "near", Zone: "z"}, {Instance: "far", Zone: "y"}}
	choice, _ := Choose(t.Candidates(replicas, Requirements{NotRetryable: true}, now), Work{Rates: t.Rates(service)}, 0)
	return choice.Candidate.Instance
}

func TestExposedRequestWaitsUntilAReplicaHasServedAgain(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	end := func(failed bool) {
		serve(tracker, "near", Prompt{}, failed, 0)
	}
	end(true)
	is.Equal(pick(tracker, false, time.Second), "near") // others try it again
	is.Equal(pickExposed(tracker, time.Second), "far")
	is.Equal(pickExposed(tracker, time.Minute), "near") // nobody has tried
	end(false)
	is.Equal(pickExposed(tracker, time.Second), "near")
}

func TestFailuresOfOtherNodesWarnExposedRequests(t *testing.T) {
	is := is.New(t)
	one, other := NewTracker("z"), NewTracker("z")
	serve(one, "near", Prompt{}, true, 0)
	told := one.OwnLoads(0)
	is.Equal(told, map[loads.ReplicaKey]loads.Load{loads.HashReplica("near"): {Failing: true}})
	other.SetPeerLoad(netip.MustParseAddrPort("10.0.0.2:1"), told, 1, 0)
	is.Equal(pick(other, false, 0), "near")
	is.Equal(pickExposed(other, 0), "far")
	is.Equal(pickExposed(other, loads.ReportTTL+1), "near")
	is.Equal(len(one.OwnLoads(time.Minute)), 0)
}

func TestSuspicionGrowsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failures := rapid.IntRange(1, 1000).Draw(t, "failures")
		pause := suspicion(failures)
		if pause < suspicion(1) || pause > 5*time.Second || pause < suspicion(max(failures-1, 1)) {
			t.Fatalf("%d failures: %v", failures, pause)
		}
	})
}

func TestRememberedPartsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	for id := range uint64(10 * partsPerReplica) {
		begin(tracker, "a", Prompt{Segments: []Segment{{ID: id, Tokens: 5}}}, 0)
	}
	known := tracker.replicas["a"].prompts
	is.True(len(known.recent)+len(known.older) <= partsPerReplica)
	is.Equal(known.cached([]Segment{{ID: 10*partsPerReplica - 1, Tokens: 5}}), 5)
}

// stream lets instance bring events.
func stream(t *Tracker, instance string, events int, took time.Duration) {
	sending := begin(t, instance, Prompt{}, 0)
	t.Answered(sending, 0)
	t.FirstEvent(sending, 0)
	t.End(sending, false, 0)
	t.StreamEnded(sending, slices.Repeat([]time.Duration{took / time.Duration(events-1)}, events-1), 0)
}

func TestSlowReplicaIsLeftForAFasterOne(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	stream(tracker, "near", 11, 230*time.Millisecond)
	is.Equal(pick(tracker, true, 0), "near") // the others' pace is not known
	stream(tracker, "far", 11, 200*time.Millisecond)
	is.Equal(pick(tracker, true, 0), "near") // a small difference is not worth the way
	stream(tracker, "away", 11, 100*time.Millisecond)
	is.Equal(pick(tracker, true, 0), "away")
	stream(tracker, "near", 2, time.Millisecond) // too short to tell
	is.Equal(pick(tracker, true, 0), "away")
}

func TestLagGrowsWithThePace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fastest := rapid.Float64Range(1, 100).Draw(t, "fastest")
		pace := fastest + rapid.Float64Range(0, 1000).Draw(t, "more")
		if lag(pace, fastest) < 0 || lag(pace+1, fastest) <= lag(pace, fastest) || lag(fastest, fastest) != 0 {
			t.Fatalf("%v behind %v: %v", pace, fastest, lag(pace, fastest))
		}
	})
}

func TestReplicaThatAnswersNothingIsAvoided(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	first := begin(tracker, "near", Prompt{}, 0)
	is.Equal(pickFor(tracker, Requirements{Engine: true}, patience), "near")
	is.Equal(pickFor(tracker, Requirements{Engine: true}, patience+1), "far")
	second := begin(tracker, "near", Prompt{}, patience)
	tracker.Answered(first, patience+1) // one of the two
	is.Equal(pickFor(tracker, Requirements{Engine: true}, 2*patience), "near")
	is.Equal(pickFor(tracker, Requirements{Engine: true}, 2*patience+2), "far")
	tracker.Answered(second, 2*patience+2)
	is.Equal(pickFor(tracker, Requirements{Engine: true}, time.Hour), "near")
}

func TestWhatOtherNodesHaveUnderWayCounts(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	other, third := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	tracker.SetPeerLoad(other, map[loads.ReplicaKey]loads.Load{loads.HashReplica("near"): {InFlight: 2}}, 1, 0)
	is.Equal(pick(tracker, false, 0), "far")
	tracker.SetPeerLoad(third, map[loads.ReplicaKey]loads.Load{loads.HashReplica("far"): {InFlight: 3}, loads.HashReplica("away"): {InFlight: 3}}, 1, 0)
	is.Equal(pick(tracker, false, 0), "near")
	tracker.SetPeerLoad(third, nil, 1, loads.ReportTTL+1) // and the other has fallen silent
	is.Equal(tracker.heard.sums[loads.HashReplica("near")].underWay, 0)
	begin(tracker, "near", Prompt{}, 0)
	is.Equal(tracker.OwnLoads(0), map[loads.ReplicaKey]loads.Load{loads.HashReplica("near"): {InFlight: 1}})
	tracker.SetPeerLoad(third, map[loads.ReplicaKey]loads.Load{loads.HashReplica("near"): {InFlight: 2}}, 0.25, loads.ReportTTL+2)
	replicas := []fleet.Replica{{Instance: "near"}}
	is.Equal(tracker.Candidates(replicas, Requirements{}, loads.ReportTTL+2)[0].InFlightElsewhere, 8) // of four times as many nodes
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
	is.Equal(tracker.Utilization(replicas, 0, time.Second), 0.5) // half of the nodes told of two
	is.Equal(tracker.Utilization(replicas, 0, 10*time.Second), 0.1)
	is.Equal(tracker.Utilization([]fleet.Replica{{Instance: "a"}}, 2, 10*time.Second), 0.5)
}

func TestOpenConnectionIsUsedAmongEquals(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("elsewhere") // all are as far
	need := Requirements{Connected: func(replica fleet.Replica) bool { return replica.Instance == "away" }}
	is.Equal(pickFor(tracker, need, 0), "away")
	begin(tracker, "away", Prompt{}, 0)
	is.Equal(pickFor(tracker, need, 0), "near") // what is under way there costs more
}

func TestGrownPartOfAPromptIsNotTakenForCached(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	is.Equal(begin(tracker, "near", prompt, 0).Expected().UncachedTokens, 13000)
	grown := Prompt{Segments: []Segment{{ID: 1, Tokens: 12000}, {ID: 2, Tokens: 3000}, {ID: 3, Tokens: 500}}, Tokens: 15500}
	is.Equal(begin(tracker, "near", grown, 0).Expected().UncachedTokens, 2500)
}

func TestTurnGoesWhereTheOneBeforeRan(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	later := prompt
	later.CacheLocation = CacheLocation{Instance: "away", Tokens: 12500}
	is.Equal(pickFor(tracker, Requirements{Engine: true, Prompt: later}, 0), "away")
	sending := begin(tracker, "away", later, 0)
	is.Equal(sending.Expected().UncachedTokens, 500)
	for range 9 {
		begin(tracker, "away", Prompt{Tokens: 13000}, 0) // none of which it holds
	}
	is.Equal(pickFor(tracker, Requirements{Engine: true, Prompt: later}, 0), "near")
}

func TestWhatIsYetToBeReadCountsUntilItsFirstEvent(t *testing.T) {
	is := is.New(t)
	one, other := NewTracker("z"), NewTracker("z")
	sending := begin(one, "near", prompt, 0)
	told := one.OwnLoads(0)
	is.Equal(told[loads.HashReplica("near")], loads.Load{InFlight: 1, PendingTokens: 13000})
	other.SetPeerLoad(netip.MustParseAddrPort("10.0.0.2:1"), told, 1, 0)
	expected := begin(other, "near", prompt, 0).Expected()
	is.True(expected.FirstMilliseconds > 0)
	expected.FirstMilliseconds = 0
	is.Equal(expected, Expected{UncachedTokens: 13000, TokensAhead: 13000, OtherRequests: 1})
	one.FirstEvent(sending, time.Second)
	is.Equal(one.OwnLoads(0)[loads.HashReplica("near")].PendingTokens, 0)
	one.End(sending, false, time.Second)
	is.Equal(one.replicas["near"].unread, 0)
}

// engine is a stand-in that reads and streams at known rates, alone.
type engine struct{ perToken, perEvent float64 }

// TestChoiceComesCloseToOneThatKnowsTheRates: prompts go by turns to replicas that hold
// them or are less busy; the learned choice costs at most a tenth more than one that
// knows the true rates, for engines of three sizes.
func TestChoiceComesCloseToOneThatKnowsTheRates(t *testing.T) {
	for _, size := range []engine{{0.0037, 1.5}, {0.026, 5}, {1, 40}} {
		is := is.New(t)
		tracker := NewTracker("z")
		random := rand.New(rand.NewPCG(1, 1))
		for range 100 {
			tokens := random.IntN(5000)
			sending := begin(tracker, "near", Prompt{Tokens: tokens}, 0)
			took := time.Duration((20 + size.perToken*float64(tokens)) * float64(time.Millisecond))
			tracker.Answered(sending, took)
			tracker.FirstEvent(sending, took)
			tracker.End(sending, false, took)
			gap := time.Duration(size.perEvent * float64(time.Millisecond))
			tracker.StreamEnded(sending, slices.Repeat([]time.Duration{gap}, 9), took)
		}
		truth := tracker.Rates(service)
		truth.MillisecondsPerToken, truth.EventMilliseconds = size.perToken, size.perEvent
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
			best, _ := Choose(candidates, Work{PromptTokens: 5000, Rates: truth}, 0)
			learned += cost(chosen.Candidate, Work{PromptTokens: 5000, Rates: truth})
			known += best.Cost
		}
		is.True(learned <= 1.1*known)
	}
}

func TestWorkersThatTakeLongAreSharedMoreEvenly(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	for range 50 {
		sending := begin(tracker, "near", Prompt{}, 0)
		tracker.BodyReceived(sending, 300*time.Millisecond)
		tracker.Answered(sending, 0)
		tracker.End(sending, false, 0)
	}
	begin(tracker, "near", Prompt{}, 0)
	is.Equal(pick(tracker, false, 0), "far")
	for range 1000 {
		sending := begin(tracker, "far", Prompt{}, 0)
		tracker.BodyReceived(sending, 3*time.Millisecond)
		tracker.Answered(sending, 0)
		tracker.End(sending, false, 0)
	}
	is.Equal(pick(tracker, false, 0), "near") // the way is longer than the work
}

func TestProgramsBeginOnlyWhileSlotsAreFree(t *testing.T) {
	is := is.New(t)
	is.True(Admits(0.89, 3))
	is.True(!Admits(0.9, 3))
	is.True(Admits(0.9, 0))
	is.True(!Admits(1.1, 0))
}

func TestRoutesRankInTheirOrder(t *testing.T) {
	is := is.New(t)
	for _, late := range []bool{false, true} {
		is.True(Priority(0, late) < Priority(1, late))
		is.True(Priority(1000, late) <= 9)
		is.True(Priority(-1, late) >= 0)
	}
	for route := range 5 {
		is.True(Priority(route, false) < Priority(route, true)) // what can be in time goes first
	}
	is.True(Priority(0, true) <= Priority(2, false)) // but late programs don't starve behind all others
}

func TestKeepersWordReplacesWhatWasHeardLongAgo(t *testing.T) {
	is := is.New(t)
	believed := Candidate{Engine: true, InFlight: 1, InFlightElsewhere: 9, PendingTokens: 100, PendingTokensElsewhere: 9000, CachedTokens: 4000}
	told := AggregatedState{Load: loads.Load{InFlight: 2, PendingTokens: 64, Failing: true}, CachedTokens: 500, Complete: true}
	learned := believed.WithAggregatedState(told, true)
	is.Equal(learned, Candidate{
		Engine: true, InFlight: 1, InFlightElsewhere: 2, PendingTokens: 100, PendingTokensElsewhere: 64, CachedTokens: 500, FailedRecently: true,
	})
	// A keeper that may not have heard all nodes yet can only add to the load.
	told.Complete = false
	learned = believed.WithAggregatedState(told, false)
	is.Equal(learned, believed)
	told.Load = loads.Load{InFlight: 20}
	is.Equal(believed.WithAggregatedState(told, false).InFlightElsewhere, 20)
}

func TestShortlistHoldsTheBestAndSomeOthers(t *testing.T) {
	is := is.New(t)
	const most = shortlistBest + shortlistAffine + shortlistRandom
	random := rand.New(rand.NewPCG(3, 4))
	candidates := make([]Candidate, 0, 60)
	for i := range 60 {
		candidates = append(candidates, Candidate{Instance: string(rune('A' + i)), Engine: true, SameZone: true, InFlight: i})
	}
	work := Work{Rates: NewTracker("z").Rates(service)}
	drawn := map[string]bool{}
	for range 500 {
		shortlist := Shortlist(candidates, work, random.Float64)
		is.Equal(len(shortlist), most)
		is.Equal(shortlist[0].Instance, "A")
		is.Equal(shortlist[1].Instance, "B")
		is.Equal(shortlist[2].Instance, "C")
		different := map[string]bool{}
		for _, candidate := range shortlist {
			different[candidate.Instance] = true
			drawn[candidate.Instance] = true
		}
		is.Equal(len(different), most)
	}
	is.Equal(len(drawn), 60)
	is.Equal(len(Shortlist(candidates[:4], Work{}, random.Float64)), 4)
}

// TestNodesAgreeOnTheReplicasOfASharedPart: whatever they believe of loads, nodes of a
// zone ask about the same few replicas for one first part, and about others for another.
func TestNodesAgreeOnTheReplicasOfASharedPart(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 6))
	asked := func(part uint64) map[string]int {
		times := map[string]int{}
		for range 200 {
			candidates := make([]Candidate, 0, 60)
			for i := range 60 {
				candidates = append(candidates, Candidate{
					Instance: string(rune('A' + i)), Engine: true, SameZone: i%3 == 0, InFlight: random.IntN(50),
				})
			}
			for _, candidate := range Shortlist(candidates, Work{FirstSegment: part, Rates: NewTracker("z").Rates(service)}, random.Float64) {
				times[candidate.Instance]++
			}
		}
		return times
	}
	always := func(times map[string]int) []string {
		instances := lo.Keys(lo.PickBy(times, func(_ string, count int) bool { return count == 200 }))
		slices.Sort(instances)
		return instances
	}
	first, second := always(asked(1)), always(asked(2))
	is.Equal(len(first), shortlistAffine)
	is.Equal(len(second), shortlistAffine)
	is.True(!slices.Equal(first, second))
	for _, instance := range append(first, second...) {
		is.Equal((rune(instance[0])-'A')%3, rune(0)) // of the own zone
	}
}

func TestWhatAKeeperToldIsBelievedOfTheRequestSent(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	known := &AggregatedState{Load: loads.Load{InFlight: 4, PendingTokens: 640}, CachedTokens: 12000, Complete: true}
	sending := tracker.Begin(Target{Instance: "near", Service: service, Known: known}, prompt, 0)
	is.Equal(sending.Expected().UncachedTokens, 1000)
	is.Equal(sending.Expected().TokensAhead, 640)
	is.Equal(sending.Expected().OtherRequests, 4)
	is.Equal(tracker.Load("near", 0), loads.Load{InFlight: 1, PendingTokens: 1000})
	tracker.End(sending, false, 0)
	is.Equal(tracker.Load("near", 0), loads.Load{})
}

// TestColdReplicaIsTakenForAsSlowAsItWas teaches a tracker with warm and cold requests:
// the cold ones cost as much as they took, and spoil nothing that is known of the others.
func TestColdReplicaIsTakenForAsSlowAsItWas(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	now := time.Duration(0)
	for i := range 40 {
		took := 20 * time.Millisecond
		if i%2 == 1 {
			took = 100 * time.Millisecond
		}
		sending := tracker.Begin(Target{Instance: "i", Service: "s", Slots: 8, Cold: i%2 == 1}, Prompt{}, now)
		now += took
		tracker.BodyReceived(sending, now)
		tracker.End(sending, false, now)
	}
	rates := tracker.Rates("s")
	is.True(rates.ServiceMilliseconds > 19 && rates.ServiceMilliseconds < 21)
	is.True(rates.ColdSlowness > 4 && rates.ColdSlowness < 6)
	cold := cost(Candidate{Instance: "c", SameZone: true, Slots: 8, Cold: true}, Work{Rates: rates})
	warm := cost(Candidate{Instance: "w", SameZone: true, Slots: 8}, Work{Rates: rates})
	is.True(cold > warm+60 && cold < warm+100)
}

// TestDistanceIsWeighedAgainstWaiting: another region is chosen where waiting here takes
// longer than the way there, and not before.
func TestDistanceIsWeighedAgainstWaiting(t *testing.T) {
	is := is.New(t)
	work := Work{PromptTokens: 1000, Rates: estimate.Rates{MillisecondsPerToken: 0.01, Events: 5, EventMilliseconds: 20, EventMillisecondsPerRequest: 1}}
	near := func(underWay int) Candidate {
		return Candidate{Instance: "near", SameZone: true, Engine: true, Slots: 8, InFlight: underWay}
	}
	far := func(roundTrip float64) Candidate {
		return Candidate{Instance: "far", OtherRegion: true, RoundTripMilliseconds: roundTrip, Engine: true, Slots: 8}
	}
	for _, c := range []struct {
		underWay  int
		roundTrip float64
		want      string
	}{{0, 60, "near"}, {4, 60, "near"}, {9, 60, "far"}, {9, 200, "near"}, {4, 2, "far"}} {
		choice, found := Choose([]Candidate{near(c.underWay), far(c.roundTrip)}, work, 0)
		is.True(found)
		is.Equal(choice.Candidate.Instance, c.want)
	}
	answering, beyond := SplitByRoundTrip([]Candidate{near(0), far(60)}, 8)
	is.Equal(len(answering), 1)
	is.Equal(beyond[0].Instance, "far")
}

func TestCandidatesHaveTheWayToTheirZone(t *testing.T) {
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

// TestRegionIsLeftOnlyWhereItIsFull or has no sound replica, even where another region
// keeps the prompt.
func TestRegionIsLeftOnlyWhereItIsFull(t *testing.T) {
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
