package scheduling_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/scheduling"
)

// sessions is a history in which half of the pauses end after about a minute and
// the others are never ended.
func sessions(history *scheduling.PauseHistory) []time.Duration {
	idle := make([]time.Duration, 200)
	for i := range idle {
		history.Returned(time.Minute + time.Duration(i%20)*time.Second)
		idle[i] = 2 * time.Hour
	}
	return idle
}

func TestReturnRatesFallOnceTheUsualPauseIsOver(t *testing.T) {
	is := is.New(t)
	history := &scheduling.PauseHistory{}
	rates := history.Rates(sessions(history))
	early, known := rates.At(30 * time.Second)
	is.True(known)
	late, known := rates.At(10 * time.Minute)
	is.True(known)
	is.True(early > 1.0/200) // half of them return within about a minute more
	is.Equal(late, 0.0)
}

// pausing returns branches of one kind that have paused for as long as each of idle.
func pausing(kind string, idle []time.Duration) []scheduling.Paused {
	paused := make([]scheduling.Paused, len(idle))
	for i, pause := range idle {
		paused[i] = scheduling.Paused{Program: "away", Kind: kind, IdleSince: epoch.Add(-pause)}
	}
	return paused
}

func TestKeepWarmGivesUpOnlyWhatIsNotExpectedBack(t *testing.T) {
	is := is.New(t)
	book := scheduling.NewPauseHistories()
	paused := pausing("known", sessions(book.History("known")))
	paused = append(
		paused,
		scheduling.Paused{Program: "early", Kind: "known", Cached: true, IdleSince: epoch.Add(-30 * time.Second)},
		scheduling.Paused{Program: "late", Kind: "known", Cached: true, IdleSince: epoch.Add(-10 * time.Minute)},
		scheduling.Paused{Program: "column", Kind: "known", Cached: true, IdleSince: epoch.Add(-10 * time.Minute), KeepWarm: time.Hour},
		scheduling.Paused{Program: "unknown", Kind: "never seen", Cached: true, IdleSince: epoch.Add(-10 * time.Minute)},
	)
	releases := book.SelectEvictions(epoch, paused, scheduling.DefaultBreakEvenInterval)
	is.Equal(len(releases), 1)
	is.Equal(string(releases[0].Program), "late")
	is.True(releases[0].Reason != "")
}

// TestAYoungHistoryGivesNothingUp guards against taking pauses that nobody had
// the time to end yet for pauses that nobody ends.
func TestAYoungHistoryGivesNothingUp(t *testing.T) {
	is := is.New(t)
	book := scheduling.NewPauseHistories()
	for range 500 {
		book.History("young").Returned(time.Second) // tools, between the calls of one turn
	}
	idle := make([]time.Duration, 100)
	for i := range idle {
		idle[i] = 40 * time.Second
	}
	paused := pausing("young", idle)
	for i := range paused {
		paused[i].Cached = true
	}
	is.Equal(len(book.SelectEvictions(epoch, paused, scheduling.DefaultBreakEvenInterval)), 0)
}

func TestPatienceGrowsAsMemoryIsFree(t *testing.T) {
	is.New(t).Equal(scheduling.BreakEvenInterval(time.Minute, 0, 1000), 4*time.Minute)
	is.New(t).Equal(scheduling.BreakEvenInterval(time.Minute, 1000, 1000), time.Minute)
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(1, 3600).Draw(t, "base")) * time.Second
		used := rapid.IntRange(0, 1000).Draw(t, "used")
		more := rapid.IntRange(used, 1000).Draw(t, "more")
		loose, tight := scheduling.BreakEvenInterval(base, used, 1000), scheduling.BreakEvenInterval(base, more, 1000)
		if tight > loose || tight < base || loose > 4*base {
			t.Fatalf("patience %s at %d, %s at %d of 1000 used, base %s", loose, used, tight, more, base)
		}
	})
}

// TestHealthTrialsOneCallAfterACooldown walks a back end through failure, trial
// and recovery.
func TestHealthTrialsOneCallAfterACooldown(t *testing.T) {
	is := is.New(t)
	record := scheduling.HealthRecord{}
	record = record.Observe(epoch, false)
	is.Equal(record.At(epoch).Health, scheduling.Healthy) // one failure may be chance
	record = record.Observe(epoch, false)
	is.Equal(record.At(epoch).Health, scheduling.Ejected)
	first := record.Until.Sub(epoch)
	is.Equal(record.At(record.Until).Health, scheduling.Probation)
	record = record.Observe(record.Until, false)
	is.Equal(record.Health, scheduling.Ejected)
	is.Equal(record.Until.Sub(epoch.Add(first)), 2*first) // a failed trial: twice as long
	record = record.Observe(record.Until, true)
	is.Equal(record, scheduling.HealthRecord{})
}
