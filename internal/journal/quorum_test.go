package journal

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/identity"
)

func TestQuorumsIntersect(t *testing.T) {
	is := is.New(t)
	for count := 1; count <= 5; count++ {
		is.True(WriteQuorum(count)+ReadQuorum(count) > count)
	}
	is.Equal([]int{WriteQuorum(1), WriteQuorum(2), WriteQuorum(3)}, []int{1, 2, 2})
}

// leaseOverlap generates renewals with random delays, an owner's clock that is up to
// 10% slower than the replicas', and a claimant that reaches a random read quorum. It
// returns how long the owner still serves when the claimant may start.
func leaseOverlap(t *rapid.T, terms LeaseTerms) time.Duration {
	const count = 3
	start := time.Unix(0, 0)
	slow := 1 + rapid.Float64Range(0, 0.1).Draw(t, "drift")
	var replicas [count]Replica
	granted := make([]time.Time, count)
	// The owner's times are on its own clock, the replicas' are in real time.
	for range rapid.IntRange(1, 12).Draw(t, "renewals") {
		sent := rapid.IntRange(0, 10_000).Draw(t, "sent")
		at := rapid.IntRange(0, count-1).Draw(t, "replica")
		delay := rapid.IntRange(0, 5_000).Draw(t, "delay")
		received := start.Add(time.Duration(sent+delay) * time.Millisecond)
		replicas[at].Renew(received, identity.Reference{Name: "n1"}, Renewal{Epoch: 1}, terms)
		onOwnersClock := start.Add(time.Duration(float64(sent)/slow*1000) * time.Microsecond)
		granted[at] = later(granted[at], onOwnersClock)
	}
	end := leaseEnd(granted, terms)
	if end.IsZero() {
		return 0
	}
	ownerEnds := time.Duration(float64(end.Sub(start)) * slow)
	missing := rapid.IntRange(0, count-1).Draw(t, "missing")
	var claimantStarts time.Duration
	for i := range replicas {
		if i != missing {
			claimantStarts = max(claimantStarts, replicas[i].Remaining(start))
		}
	}
	return ownerEnds - claimantStarts
}

func TestLeaseEndsBeforeAnyClaim(t *testing.T) {
	terms := LeaseTerms{Duration: 2 * time.Second, Drift: 200 * time.Millisecond}
	rapid.Check(t, func(t *rapid.T) {
		if overlap := leaseOverlap(t, terms); overlap > time.Millisecond {
			t.Fatalf("owner and claimant overlap by %v", overlap)
		}
	})
	// Without the margin for drift the same generator must find an overlap.
	terms.Drift = 0
	longest := time.Duration(0)
	for seed := range 500 {
		longest = max(longest, rapid.Custom(func(t *rapid.T) time.Duration {
			return leaseOverlap(t, terms)
		}).Example(seed))
	}
	if longest <= time.Millisecond {
		t.Error("the missing margin was not caught")
	}
	t.Logf("without margin owner and claimant overlap by %v", longest)
}
