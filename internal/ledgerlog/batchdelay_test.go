package ledgerlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/logstore"
)

func TestSingleCallDoesNotWait(t *testing.T) {
	is := is.New(t)
	gathered := &batchDelay{}
	now := time.Now()
	is.Equal(gathered.wait(now), time.Duration(0))
	gathered.callStarted(1, now)
	is.Equal(gathered.wait(now), maxBatchGap)
	is.Equal(gathered.wait(now.Add(maxBatchGap)), time.Duration(0))
	is.Equal(gathered.wait(now.Add(time.Hour)), time.Duration(0))
}

// TestBatchGapFollowsRate checks that the gap stays within its bounds.
func TestBatchGapFollowsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gathered := &batchDelay{}
		now := time.Now()
		for _, draw := range rapid.SliceOf(rapid.IntRange(0, 1<<20)).Draw(t, "calls") {
			now = now.Add(time.Duration(draw%5000) * time.Millisecond)
			gathered.callStarted(draw%40, now)
			if gap := gathered.gap(); gap < minBatchGap || gap > maxBatchGap {
				t.Fatalf("gap %s", gap)
			}
		}
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			gathered.callStarted(20, now)
		}
		if gap := gathered.gap(); gap > 2*maxMedianWait {
			t.Fatalf("gap %s at 2,000 a second", gap)
		}
	})
}

// slowStore delays each append.
type slowStore struct {
	*store.Store
	takes time.Duration
}

func (s *slowStore) Append(ctx context.Context, request logstore.AppendRequest) (logstore.AppendResult, error) {
	time.Sleep(s.takes)
	return s.Store.Append(ctx, request)
}

// persistTurns persists turns of one program at random times. It returns the calls of the store
// per turn and the median latency.
func persistTurns(t testing.TB, turns, perSecond int) (calls float64, median time.Duration) {
	log := &slowStore{Store: store.New(), takes: 3 * time.Millisecond}
	l := newLedger(log, "a")
	ctx := context.Background()
	if _, err := l.Find(ctx, "never", l.Partition("p")); err == nil {
		t.Fatal("found a turn that was never persisted")
	}
	random := rand.New(rand.NewPCG(1, 2))
	before := log.Calls("append")
	took := make([]time.Duration, turns)
	var running sync.WaitGroup
	for i := range turns {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		running.Go(func() {
			began := time.Now()
			turn := ledger.IndexEntry{Program: "p", Turn: ledger.TurnID(fmt.Sprint(i)), Retention: time.Minute}
			if _, err := l.PersistTurnWithText(ctx, turn, []byte(smallText), false); err != nil {
				t.Error(err)
			}
			took[i] = time.Since(began)
		})
	}
	running.Wait()
	slices.Sort(took)
	return float64(log.Calls("append")-before) / float64(turns), took[turns/2]
}

// TestManyTurnsShareCalls checks that calls per turn fall with the rate while the median
// latency stays within maxMedianWait plus the duration of one call.
func TestManyTurnsShareCalls(t *testing.T) {
	for perSecond, maxCalls := range map[int]float64{1: 1, 10: 1, 30: 0.95, 100: 0.8, 1000: 0.2} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				calls, median := persistTurns(t, 2000, perSecond)
				t.Logf("%d turns per second: %.2f calls per turn, median %s", perSecond, calls, median)
				is.True(calls <= maxCalls)
				is.True(median <= 3*time.Millisecond+maxMedianWait)
			})
		})
	}
}

// BenchmarkCallsOfAKeptTurn reports the store's calls per persisted turn and the median
// latency, by turns per second.
func BenchmarkCallsOfAKeptTurn(b *testing.B) {
	const seconds = 3
	for _, perSecond := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(perSecond, "_a_second"), func(b *testing.B) {
			for b.Loop() {
				calls, median := persistTurns(b, seconds*perSecond, perSecond)
				b.ReportMetric(calls, "calls/turn")
				b.ReportMetric(float64(median)/float64(time.Millisecond), "median-ms")
			}
		})
	}
}
