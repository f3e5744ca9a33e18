package balance

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/loads"
)

var prompt = []Part{{ID: 1, Tokens: 12000}, {ID: 2, Tokens: 1000}}

func pick(t *Tracker, engine bool, now time.Duration, except ...string) string {
	replicas := []fleet.Replica{{Instance: "near", Zone: "z"}, {Instance: "far", Zone: "y"}, {Instance: "away", Zone: "x"}}
	choice, _ := Choose(t.Candidates(replicas, Need{Engine: engine, Prompt: prompt, Except: except}, now), 13000, 0)
	return choice.Candidate.Instance
}

func TestCachedPromptIsWorthAWay(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	is.Equal(pick(tracker, true, 0), "near")
	tracker.Begin("far", prompt, 0)
	tracker.End("far", false, 0)
	is.Equal(pick(tracker, true, 0), "far")
	for range 20 {
		tracker.Begin("far", prompt, 0)
	}
	is.Equal(pick(tracker, true, 0), "near") // a crowd is worse than reading again
}

func TestWorkersAreChosenByWhatIsUnderWay(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	for range 2 {
		tracker.Begin("near", nil, 0)
	}
	is.Equal(pick(tracker, false, 0), "far")
}

func TestFailedReplicaIsAvoidedForAWhileAndStaysTheLastResort(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	tracker.Begin("near", nil, 0)
	tracker.Answered("near", 0)
	tracker.End("near", true, 0)
	is.Equal(pick(tracker, false, 100*time.Millisecond), "far")
	is.Equal(pick(tracker, false, 100*time.Millisecond, "far", "away"), "near")
	is.Equal(pick(tracker, false, time.Second), "near")
	is.Equal(pick(tracker, false, 0, "near", "far", "away"), "")
}

// pickExposed chooses for a request that must not go to a second replica.
func pickExposed(t *Tracker, now time.Duration) string {
	replicas := []fleet.Replica{{Instance: "near", Zone: "z"}, {Instance: "far", Zone: "y"}}
	choice, _ := Choose(t.Candidates(replicas, Need{Exposed: true}, now), 0, 0)
	return choice.Candidate.Instance
}

func TestExposedRequestWaitsUntilAReplicaHasServedAgain(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	end := func(failed bool) {
		tracker.Begin("near", nil, 0)
		tracker.Answered("near", 0)
		tracker.End("near", failed, 0)
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
	one.Begin("near", nil, 0)
	one.Answered("near", 0)
	one.End("near", true, 0)
	told := one.Own(0)
	is.Equal(told, map[loads.Key]loads.Load{loads.KeyOf("near"): {Failing: true}})
	other.Heard(netip.MustParseAddrPort("10.0.0.2:1"), told, 1, 0)
	is.Equal(pick(other, false, 0), "near")
	is.Equal(pickExposed(other, 0), "far")
	is.Equal(pickExposed(other, loads.Life+1), "near")
	is.Equal(len(one.Own(time.Minute)), 0)
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
		tracker.Begin("a", []Part{{ID: id, Tokens: 1}}, 0)
	}
	known := tracker.replicas["a"]
	is.True(len(known.recent)+len(known.older) <= partsPerReplica)
	is.Equal(known.cachedTokens([]Part{{ID: 10*partsPerReplica - 1, Tokens: 5}}), 5)
}

func TestSlowReplicaIsLeftForAFasterOne(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	tracker.Paced("near", 11, 230*time.Millisecond)
	is.Equal(pick(tracker, true, 0), "near") // the others' pace is not known
	tracker.Paced("far", 11, 200*time.Millisecond)
	is.Equal(pick(tracker, true, 0), "near") // a small difference is not worth the way
	tracker.Paced("away", 11, 100*time.Millisecond)
	is.Equal(pick(tracker, true, 0), "away")
	tracker.Paced("near", 2, time.Millisecond) // too short to tell
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
	tracker.Begin("near", nil, 0)
	is.Equal(pick(tracker, true, patience), "near")
	is.Equal(pick(tracker, true, patience+1), "far")
	tracker.Begin("near", nil, patience)
	tracker.Answered("near", patience+1) // one of the two
	is.Equal(pick(tracker, true, 2*patience), "near")
	is.Equal(pick(tracker, true, 2*patience+2), "far")
	tracker.Answered("near", 2*patience+2)
	is.Equal(pick(tracker, true, time.Hour), "near")
}

func TestWhatOtherNodesHaveUnderWayCounts(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	other, third := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	tracker.Heard(other, map[loads.Key]loads.Load{loads.KeyOf("near"): {UnderWay: 2}}, 1, 0)
	is.Equal(pick(tracker, false, 0), "far")
	tracker.Heard(third, map[loads.Key]loads.Load{loads.KeyOf("far"): {UnderWay: 3}, loads.KeyOf("away"): {UnderWay: 3}}, 1, 0)
	is.Equal(pick(tracker, false, 0), "near")
	tracker.Heard(third, nil, 1, loads.Life+1) // and the other has fallen silent
	is.Equal(tracker.elsewhere[loads.KeyOf("near")], 0)
	tracker.Begin("near", nil, 0)
	is.Equal(tracker.Own(0), map[loads.Key]loads.Load{loads.KeyOf("near"): {UnderWay: 1}})
	tracker.Heard(third, map[loads.Key]loads.Load{loads.KeyOf("near"): {UnderWay: 2}}, 0.25, loads.Life+2)
	replicas := []fleet.Replica{{Instance: "near"}}
	is.Equal(tracker.Candidates(replicas, Need{}, loads.Life+2)[0].Elsewhere, 8) // of four times as many nodes
}

func TestUtilizationCountsAllNodesAndSlots(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("z")
	replicas := []fleet.Replica{{Instance: "a", Slots: 4}, {Instance: "b", Slots: 6}}
	is.Equal(tracker.Utilization(nil, 0), 0.0)
	is.Equal(tracker.Utilization(replicas, 0), 0.0)
	tracker.Begin("a", nil, 0)
	tracker.Begin("gone", nil, 0)
	is.Equal(tracker.Utilization(replicas, 0), 0.1)
	other := netip.MustParseAddrPort("10.0.0.1:1")
	tracker.Heard(other, map[loads.Key]loads.Load{loads.KeyOf("b"): {UnderWay: 2}}, 0.5, time.Second)
	is.Equal(tracker.Utilization(replicas, time.Second), 0.5) // half of the nodes told of two
	is.Equal(tracker.Utilization(replicas, 10*time.Second), 0.1)
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
	is.True(Priority(0) < Priority(1))
	is.True(Priority(1000) <= 9)
	is.True(Priority(-1) >= 0)
}
