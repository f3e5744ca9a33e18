package guardedstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/logstore"
)

const (
	// awayAfter is by when a node that asks knows that the store is away, probePause the
	// least time between two of its probes.
	awayAfter  = 300 * time.Millisecond
	probePause = 120 * time.Millisecond
)

func place(number int) logstore.Partition {
	return logstore.Partition{Topic: "work", Number: number}
}

func newGated(log logstore.Store) *Store {
	return New(Config{Store: log, Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry()})
}

// readFor reads a partition every millisecond.
func readFor(t *testing.T, gated *Store, number int, length time.Duration) {
	is := is.New(t)
	for began := time.Now(); time.Since(began) < length; time.Sleep(time.Millisecond) {
		_, err := gated.Read(t.Context(), logstore.ReadRequest{Partition: place(number)})
		is.True(errors.Is(err, logstore.ErrUnavailable))
	}
}

// TestReadsOfAStoreThatIsAwayAreFew: whoever asks, the store gets a bounded number.
func TestReadsOfAStoreThatIsAwayAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		gated := newGated(log)
		log.Fail(store.Fault{Busy: true})
		began := time.Now()
		readFor(t, gated, 0, awayAfter+2*probePause)
		is.True(!gated.NodeAvailable())
		before, others := log.Calls("read"), 0
		for range 1000 {
			_, err := gated.Read(t.Context(), logstore.ReadRequest{Partition: place(0)})
			is.True(err != nil)
			if !errors.Is(err, ErrCircuitOpen) {
				others++
			}
		}
		is.Equal(others, log.Calls("read")-before) // only those that went out fail otherwise
		is.True(others <= 1+int(time.Since(began)/probePause))
		log.Fail(store.Fault{})
		_, err := gated.Newest(t.Context(), logstore.NewestRequest{Partition: place(0)})
		is.NoErr(err)
		_, err = gated.Read(t.Context(), logstore.ReadRequest{Partition: place(0)})
		is.NoErr(err)
		is.True(gated.NodeAvailable())
	})
}

// TestAnswersOfWhateverKindShowThatTheStoreIsThere: history that is gone is an answer.
func TestAnswersOfWhateverKindShowThatTheStoreIsThere(t *testing.T) {
	is := is.New(t)
	for _, err := range []error{nil, &logstore.TrimmedError{}, logstore.ErrFenced, logstore.ErrSequence} {
		is.True(answered(err))
	}
	for _, err := range []error{logstore.ErrUnavailable, logstore.ErrOutcomeUnknown, context.DeadlineExceeded} {
		is.True(!answered(err))
	}
}

// TestWaitersGoOnOnceTheStoreAnswers: all that wait are let out soon after the first probe
// that is answered, and none but probes before.
func TestWaitersGoOnOnceTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		var lines strings.Builder
		gated := New(Config{Store: log, Logger: slog.New(slog.NewTextHandler(&lines, nil)), Registerer: prometheus.NewRegistry()})
		log.Fail(store.Fault{Busy: true})
		readFor(t, gated, 0, time.Second)
		regained := gated.Recovered()
		var waiting sync.WaitGroup
		for number := range 20 {
			waiting.Go(func() {
				for {
					if gated.Await(t.Context(), place(number)) != nil {
						return
					}
					_, err := gated.Append(t.Context(), logstore.AppendRequest{Partition: place(number), Records: [][]byte{{1}}, Producer: "a", Epoch: 1})
					if err == nil {
						return
					}
				}
			})
		}
		time.Sleep(2 * time.Second)
		is.True(log.Calls("append") > 5 && log.Calls("append") <= int(2*time.Second/probePause)+1)
		is.True(testutil.ToFloat64(gated.metrics.probes) >= float64(log.Calls("append")))
		is.Equal(gated.open() >= 1, true)
		log.Fail(store.Fault{})
		began := time.Now()
		<-regained
		waiting.Wait()
		is.True(time.Since(began) <= 300*time.Millisecond)
		is.Equal(gated.open(), 0.0)
		is.Equal(strings.Count(lines.String(), "store answers again"), 1)
		is.True(strings.Contains(lines.String(), "store is away, only probes go out"))
	})
}

func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		gated := New(Config{Store: log, CallsPerSecond: 1, Logger: slog.New(slog.DiscardHandler)}) // a probe in 20 s
		log.Fail(store.Fault{Busy: true})
		for range 5 {
			_, _ = gated.Read(t.Context(), logstore.ReadRequest{Partition: place(0)})
			time.Sleep(100 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		is.True(errors.Is(gated.Await(ctx, place(0)), context.DeadlineExceeded))
		is.Equal(time.Since(began), 50*time.Millisecond)
		gated.PeerAnswered() // then a probe goes out at once
		is.NoErr(gated.Await(t.Context(), place(0)))
		is.Equal(time.Since(began), 50*time.Millisecond)
	})
}

// TestOnePartitionThatIsAwayIsToldApart while the store answers on others.
func TestOnePartitionThatIsAwayIsToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		gated := newGated(log)
		down := 1
		log.Fail(store.Fault{Busy: true, Partition: &down})
		for range 100 {
			_, _ = gated.Read(t.Context(), logstore.ReadRequest{Partition: place(down)})
			_, err := gated.Read(t.Context(), logstore.ReadRequest{Partition: place(0)})
			is.NoErr(err)
			time.Sleep(10 * time.Millisecond)
		}
		is.True(gated.NodeAvailable() && gated.Available(place(0)) && !gated.Available(place(down)))
		is.Equal(gated.open(), 1.0)
		is.NoErr(gated.Await(t.Context(), place(0)))
		log.Fail(store.Fault{})
		readable := time.Now()
		for !gated.Available(place(down)) {
			_, _ = gated.Read(t.Context(), logstore.ReadRequest{Partition: place(down)})
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(readable) <= 200*time.Millisecond)
	})
}

// TestCallersThatLeaveSayNothingOfTheStore: their clients gave up on a slow partition.
func TestCallersThatLeaveSayNothingOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gated := newGated(&hanging{})
		for range 5 {
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(300*time.Millisecond, leave)
			_, err := gated.Read(ctx, logstore.ReadRequest{Partition: place(0)})
			is.True(err != nil)
		}
		is.True(gated.NodeAvailable())
		is.True(gated.Available(place(0)))
	})
}

// hanging is a store that answers no read.
type hanging struct{ logstore.Store }

// Read implements logstore.Store.
func (*hanging) Read(ctx context.Context, _ logstore.ReadRequest) (logstore.ReadResult, error) {
	<-ctx.Done()
	return logstore.ReadResult{}, fmt.Errorf("%w: %w", logstore.ErrUnavailable, ctx.Err())
}
