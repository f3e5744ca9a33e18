package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/outlier"
)

func named(sound int, ejected ...Candidate) []Candidate {
	var all []Candidate
	for i := range sound {
		all = append(all, Candidate{Instance: string(rune('a' + i))})
	}
	return append(all, ejected...)
}

func instances(candidates []Candidate) string {
	names := ""
	for _, candidate := range candidates {
		names += candidate.Instance
	}
	return names
}

func TestEjectedReplicasAreLeftOut(t *testing.T) {
	out := func(name string, right outlier.Probe) Candidate {
		return Candidate{Instance: name, Ejected: true, Probe: right}
	}
	for name, c := range map[string]struct {
		learned, all []Candidate
		exposed      bool
		sound, probe string
	}{
		"none ejected":                  {learned: named(3), all: named(9), sound: "abc"},
		"one ejected":                   {learned: named(2, out("x", 0)), all: named(9, out("x", 0)), sound: "ab"},
		"all asked ejected":             {learned: named(0, out("x", 0)), all: named(3, out("x", 0)), sound: "abc"},
		"too many ejected":              {learned: named(1, out("x", 0)), all: named(1, out("x", 0)), sound: "ax"},
		"probed":                        {learned: named(3, out("x", outlier.SafeProbe)), all: named(9), probe: "x"},
		"not probed by the exposed":     {learned: named(3, out("x", outlier.SafeProbe)), all: named(9), exposed: true, sound: "abc"},
		"probed by any after long":      {learned: named(3, out("x", outlier.AnyProbe)), all: named(9), exposed: true, probe: "x"},
		"one that was not asked is out": {learned: named(2), all: named(9, out("x", 0)), sound: "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sound, probe := FilterEjected(c.learned, c.all, c.exposed)
			if c.probe != "" {
				is.Equal(probe.Instance, c.probe)
				return
			}
			is.True(probe == nil)
			is.Equal(instances(sound), c.sound)
		})
	}
}

// TestARequestIsOneFailure, though it is silent first and broken off then.
func TestARequestIsOneFailure(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("near")
	sending := tracker.Begin(Target{Instance: "i", Service: "s"}, Prompt{}, 0)
	_, counted := tracker.RecordOutcome(sending, outlier.NoResponse, 0)
	is.True(counted)
	_, counted = tracker.RecordOutcome(sending, outlier.BrokenResponse, 0)
	is.True(!counted)
	_, counted = tracker.RecordOutcome(sending, outlier.Success, 0)
	is.True(counted)
}

// TestWhatAKeeperTellsOfAReplicaCounts for a while, and its return for this node too.
func TestWhatAKeeperTellsOfAReplicaCounts(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("near")
	for range 3 {
		_, _ = tracker.RecordOutcome(tracker.Begin(Target{Instance: "i", Service: "s"}, Prompt{}, 0), outlier.ErrorResponse, 0)
	}
	ejected, _ := tracker.ApplyAggregatedState("i", AggregatedState{Complete: true}, 0)
	is.True(ejected) // this node's own way to it may be what fails
	ejected, probe := tracker.ApplyAggregatedState("i", AggregatedState{Complete: true, Ejected: true, Probe: outlier.SafeProbe}, 0)
	is.True(ejected)
	is.Equal(probe, outlier.SafeProbe)
	ejected, _ = tracker.ApplyAggregatedState("i", AggregatedState{Complete: true}, 0)
	is.True(!ejected)
	ejected, _ = tracker.ApplyAggregatedState("other", AggregatedState{Complete: true}, 0)
	is.True(!ejected)
	_, _ = tracker.ApplyAggregatedState("other", AggregatedState{Ejected: true}, 0)
	is.True(tracker.replicas["other"].soundness.toldEjected)
	still, _ := tracker.replicas["other"].soundness.standing(0, toldLife)
	is.True(still)
	still, _ = tracker.replicas["other"].soundness.standing(0, toldLife+1)
	is.True(!still)
}

// TestPatienceKnowsTheServicesOwnTimes and doesn't judge where these are not known.
func TestPatienceKnowsTheServicesOwnTimes(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("near")
	sending := tracker.Begin(Target{Instance: "i", Service: "s"}, Prompt{}, 0)
	_, known := tracker.ResponseTimeout(sending, false)
	is.True(!known)
	for range 50 {
		tracker.BodyReceived(tracker.Begin(Target{Instance: "i", Service: "s"}, Prompt{}, 0), time.Second)
	}
	allowed, known := tracker.ResponseTimeout(sending, false)
	is.True(known)
	is.True(allowed > 2*time.Second)
}

// TestOnlyAPartIsEverLeftOut, and something is always left to choose.
func TestOnlyAPartIsEverLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Candidate
		for i := range rapid.IntRange(1, 40).Draw(t, "candidates") {
			all = append(all, Candidate{Instance: fmt.Sprint(i), Ejected: rapid.Bool().Draw(t, "ejected")})
		}
		asked := rapid.IntRange(1, len(all)).Draw(t, "asked")
		sound, probe := FilterEjected(all[:asked], all, rapid.Bool().Draw(t, "exposed"))
		if len(sound) == 0 || probe != nil {
			t.Fatalf("%d candidates left, probe %v", len(sound), probe)
		}
		ejected := lo.CountBy(all, Candidate.ejected)
		if leftOut := lo.CountBy(sound, Candidate.ejected) < lo.CountBy(all[:asked], Candidate.ejected); leftOut && outlier.ExceedsEjectionLimit(ejected, len(all)) {
			t.Fatalf("%d of %d are left out", ejected, len(all))
		}
	})
}
