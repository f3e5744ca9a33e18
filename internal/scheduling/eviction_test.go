package scheduling_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/scheduling"
)

// recordSessions records pauses that end after about a minute and returns as many
// that have not ended after two hours.
func recordSessions(history *scheduling.PauseHistory) []time.Duration {
	idle := make([]time.Duration, 200)
	for i := range idle {
		history.Returned(time.Minute + time.Duration(i%20)*time.Second)
		idle[i] = 2 * time.Hour
	}
	return idle
}

func TestReturnRateDropsAfterTypicalPause(t *testing.T) {
	is := is.New(t)
	history := &scheduling.PauseHistory{}
	rates := history.Rates(recordSessions(history))
	early, known := rates.At(30 * time.Second)
	is.True(known)
	late, known := rates.At(10 * time.Minute)
	is.True(known)
	is.True(early > 1.0/200) // half of them return within about another minute
	is.Equal(late, 0.0)
}

// pausedFor returns branches of one kind, one paused for each duration in idle.
func pausedFor(kind string, idle []time.Duration) []scheduling.Paused {
	paused := make([]scheduling.Paused, len(idle))
	for i, pause := range idle {
		paused[i] = scheduling.Paused{Program: "away", Kind: kind, IdleSince: epoch.Add(-pause)}
	}
	return paused
}

func TestEvictsOnlyPrefixesNotExpectedToReturn(t *testing.T) {
	is := is.New(t)
	histories := scheduling.NewPauseHistories()
	paused := pausedFor("known", recordSessions(histories.History("known")))
	paused = append(
		paused,
		scheduling.Paused{Program: "early", Kind: "known", Cached: true, IdleSince: epoch.Add(-30 * time.Second)},
		scheduling.Paused{Program: "late", Kind: "known", Cached: true, IdleSince: epoch.Add(-10 * time.Minute)},
		scheduling.Paused{Program: "column", Kind: "known", Cached: true, IdleSince: epoch.Add(-10 * time.Minute), KeepWarm: time.Hour},
		scheduling.Paused{Program: "unknown", Kind: "never seen", Cached: true, IdleSince: epoch.Add(-10 * time.Minute)},
	)
	evictions := histories.SelectEvictions(epoch, paused, scheduling.DefaultBreakEvenInterval)
	is.Equal(len(evictions), 1)
	is.Equal(string(evictions[0].Program), "late")
	is.True(evictions[0].Reason != "")
}

// TestNoEvictionsFromRecentHistory guards against treating pauses that are too
// recent to have ended as pauses that never end.
func TestNoEvictionsFromRecentHistory(t *testing.T) {
	is := is.New(t)
	histories := scheduling.NewPauseHistories()
	for range 500 {
		histories.History("young").Returned(time.Second) // a tool call within one turn
	}
	idle := make([]time.Duration, 100)
	for i := range idle {
		idle[i] = 40 * time.Second
	}
	paused := pausedFor("young", idle)
	for i := range paused {
		paused[i].Cached = true
	}
	is.Equal(len(histories.SelectEvictions(epoch, paused, scheduling.DefaultBreakEvenInterval)), 0)
}

func TestBreakEvenIntervalGrowsWithFreeMemory(t *testing.T) {
	is.New(t).Equal(scheduling.BreakEvenInterval(time.Minute, 0, 1000), 4*time.Minute)
	is.New(t).Equal(scheduling.BreakEvenInterval(time.Minute, 1000, 1000), time.Minute)
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(1, 3600).Draw(t, "base")) * time.Second
		used := rapid.IntRange(0, 1000).Draw(t, "used")
		more := rapid.IntRange(used, 1000).Draw(t, "more")
		loose, tight := scheduling.BreakEvenInterval(base, used, 1000), scheduling.BreakEvenInterval(base, more, 1000)
		if tight > loose || tight < base || loose > 4*base {
			t.Fatalf("break-even interval %s at %d, %s at %d of 1000 used, base %s", loose, used, tight, more, base)
		}
	})
}

// TestEjectedBackendReturnsThroughProbation covers failure, failed trial and
// recovery of a back end.
func TestEjectedBackendReturnsThroughProbation(t *testing.T) {
	is := is.New(t)
	record := scheduling.HealthRecord{}
	record = record.Observe(epoch, false)
	is.Equal(record.At(epoch).Health, scheduling.Healthy) // a single failure does not eject
	record = record.Observe(epoch, false)
	is.Equal(record.At(epoch).Health, scheduling.Ejected)
	first := record.Until.Sub(epoch)
	is.Equal(record.At(record.Until).Health, scheduling.Probation)
	record = record.Observe(record.Until, false)
	is.Equal(record.Health, scheduling.Ejected)
	is.Equal(record.Until.Sub(epoch.Add(first)), 2*first) // a failed trial doubles the cooldown
	record = record.Observe(record.Until, true)
	is.Equal(record, scheduling.HealthRecord{})
}
