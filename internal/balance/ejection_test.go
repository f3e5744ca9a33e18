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

func candidatesNamed(healthy int, ejected ...Candidate) []Candidate {
	var all []Candidate
	for i := range healthy {
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

func TestFilterEjected(t *testing.T) {
	ejected := func(name string, permission outlier.Probe) Candidate {
		return Candidate{Instance: name, Ejected: true, Probe: permission}
	}
	for name, c := range map[string]struct {
		queried, all   []Candidate
		notRetryable   bool
		healthy, probe string
	}{
		"none ejected":                {queried: candidatesNamed(3), all: candidatesNamed(9), healthy: "abc"},
		"one ejected":                 {queried: candidatesNamed(2, ejected("x", 0)), all: candidatesNamed(9, ejected("x", 0)), healthy: "ab"},
		"all queried ejected":         {queried: candidatesNamed(0, ejected("x", 0)), all: candidatesNamed(3, ejected("x", 0)), healthy: "abc"},
		"too many ejected":            {queried: candidatesNamed(1, ejected("x", 0)), all: candidatesNamed(1, ejected("x", 0)), healthy: "ax"},
		"probed":                      {queried: candidatesNamed(3, ejected("x", outlier.SafeProbe)), all: candidatesNamed(9), probe: "x"},
		"not probed if not retryable": {queried: candidatesNamed(3, ejected("x", outlier.SafeProbe)), all: candidatesNamed(9), notRetryable: true, healthy: "abc"},
		"probed by any request":       {queried: candidatesNamed(3, ejected("x", outlier.AnyProbe)), all: candidatesNamed(9), notRetryable: true, probe: "x"},
		"ejected but not queried":     {queried: candidatesNamed(2), all: candidatesNamed(9, ejected("x", 0)), healthy: "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			healthy, probe := FilterEjected(c.queried, c.all, c.notRetryable)
			if c.probe != "" {
				is.Equal(probe.Instance, c.probe)
				return
			}
			is.True(probe == nil)
			is.Equal(instances(healthy), c.healthy)
		})
	}
}

// A request that times out and later breaks off must count as one failure.
func TestRequestCountsAsOneFailure(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("near")
	request := tracker.Begin(Target{Instance: "i", Service: "s"}, Prompt{}, 0)
	_, counted := tracker.RecordOutcome(request, outlier.NoResponse, 0)
	is.True(counted)
	_, counted = tracker.RecordOutcome(request, outlier.BrokenResponse, 0)
	is.True(!counted)
	_, counted = tracker.RecordOutcome(request, outlier.Success, 0)
	is.True(counted)
}

// An ejection reported by an aggregator holds for its TTL; its reinstatement applies to
// this node too.
func TestAggregatedEjectionExpires(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("near")
	for range 3 {
		_, _ = tracker.RecordOutcome(tracker.Begin(Target{Instance: "i", Service: "s"}, Prompt{}, 0), outlier.ErrorResponse, 0)
	}
	ejected, _ := tracker.ApplyAggregatedState("i", AggregatedState{Complete: true}, 0)
	is.True(ejected) // this node's own path may be failing
	ejected, probe := tracker.ApplyAggregatedState("i", AggregatedState{Complete: true, Ejected: true, Probe: outlier.SafeProbe}, 0)
	is.True(ejected)
	is.Equal(probe, outlier.SafeProbe)
	ejected, _ = tracker.ApplyAggregatedState("i", AggregatedState{Complete: true}, 0)
	is.True(!ejected)
	ejected, _ = tracker.ApplyAggregatedState("other", AggregatedState{Complete: true}, 0)
	is.True(!ejected)
	_, _ = tracker.ApplyAggregatedState("other", AggregatedState{Ejected: true}, 0)
	is.True(tracker.replicas["other"].ejection.aggregatedEjected)
	active, _ := tracker.replicas["other"].ejection.status(0, aggregatedEjectionTTL)
	is.True(active)
	active, _ = tracker.replicas["other"].ejection.status(0, aggregatedEjectionTTL+1)
	is.True(!active)
}

// The response timeout must follow the service's durations, and not apply while these are
// unknown.
func TestResponseTimeoutFollowsServiceTime(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker("near")
	request := tracker.Begin(Target{Instance: "i", Service: "s"}, Prompt{}, 0)
	_, found := tracker.ResponseTimeout(request, false)
	is.True(!found)
	for range 50 {
		tracker.BodyReceived(tracker.Begin(Target{Instance: "i", Service: "s"}, Prompt{}, 0), time.Second)
	}
	timeout, found := tracker.ResponseTimeout(request, false)
	is.True(found)
	is.True(timeout > 2*time.Second)
}

// FilterEjected must always leave candidates, and drop none above the ejection limit.
func TestFilterEjectedRespectsEjectionLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Candidate
		for i := range rapid.IntRange(1, 40).Draw(t, "candidates") {
			all = append(all, Candidate{Instance: fmt.Sprint(i), Ejected: rapid.Bool().Draw(t, "ejected")})
		}
		queried := rapid.IntRange(1, len(all)).Draw(t, "queried")
		healthy, probe := FilterEjected(all[:queried], all, rapid.Bool().Draw(t, "not retryable"))
		if len(healthy) == 0 || probe != nil {
			t.Fatalf("%d candidates remain, probe %v", len(healthy), probe)
		}
		ejected := lo.CountBy(all, Candidate.ejected)
		if dropped := lo.CountBy(healthy, Candidate.ejected) < lo.CountBy(all[:queried], Candidate.ejected); dropped && outlier.ExceedsEjectionLimit(ejected, len(all)) {
			t.Fatalf("%d of %d candidates are ejected, yet some were dropped", ejected, len(all))
		}
	})
}
