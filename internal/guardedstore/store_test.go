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
	// openAfter is when a node that makes calls has detected an outage. minProbeInterval is the
	// minimum time between two of its probes.
	openAfter        = 300 * time.Millisecond
	minProbeInterval = 120 * time.Millisecond
)

func place(number int) logstore.Partition {
	return logstore.Partition{Topic: "work", Number: number}
}

func newGuarded(log logstore.Store) *Store {
	return New(Config{Store: log, Logger: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry()})
}

// readFor reads a partition every millisecond.
func readFor(t *testing.T, guarded *Store, number int, length time.Duration) {
	is := is.New(t)
	for began := time.Now(); time.Since(began) < length; time.Sleep(time.Millisecond) {
		_, err := guarded.Read(t.Context(), logstore.ReadRequest{Partition: place(number)})
		is.True(errors.Is(err, logstore.ErrUnavailable))
	}
}

// TestFewReadsWhileStoreIsUnavailable bounds the reads that reach the store.
func TestFewReadsWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		guarded := newGuarded(log)
		log.Fail(store.Fault{Busy: true})
		began := time.Now()
		readFor(t, guarded, 0, openAfter+2*minProbeInterval)
		is.True(!guarded.NodeAvailable())
		before, others := log.Calls("read"), 0
		for range 1000 {
			_, err := guarded.Read(t.Context(), logstore.ReadRequest{Partition: place(0)})
			is.True(err != nil)
			if !errors.Is(err, ErrCircuitOpen) {
				others++
			}
		}
		is.Equal(others, log.Calls("read")-before) // only reads that went out fail with another error
		is.True(others <= 1+int(time.Since(began)/minProbeInterval))
		log.Fail(store.Fault{})
		_, err := guarded.Newest(t.Context(), logstore.NewestRequest{Partition: place(0)})
		is.NoErr(err)
		_, err = guarded.Read(t.Context(), logstore.ReadRequest{Partition: place(0)})
		is.NoErr(err)
		is.True(guarded.NodeAvailable())
	})
}

// TestAnsweredErrors checks that errors such as trimmed records count as responses.
func TestAnsweredErrors(t *testing.T) {
	is := is.New(t)
	for _, err := range []error{nil, &logstore.TrimmedError{}, logstore.ErrFenced, logstore.ErrSequence} {
		is.True(answered(err))
	}
	for _, err := range []error{logstore.ErrUnavailable, logstore.ErrOutcomeUnknown, context.DeadlineExceeded} {
		is.True(!answered(err))
	}
}

// TestWaitersContinueAfterRecovery checks that only probes go out before the first success, and
// all waiting calls soon after it.
func TestWaitersContinueAfterRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		var lines strings.Builder
		guarded := New(Config{Store: log, Logger: slog.New(slog.NewTextHandler(&lines, nil)), Registerer: prometheus.NewRegistry()})
		log.Fail(store.Fault{Busy: true})
		readFor(t, guarded, 0, time.Second)
		recovered := guarded.Recovered()
		var waiting sync.WaitGroup
		for number := range 20 {
			waiting.Go(func() {
				for {
					if guarded.Await(t.Context(), place(number)) != nil {
						return
					}
					_, err := guarded.Append(t.Context(), logstore.AppendRequest{Partition: place(number), Records: [][]byte{{1}}, Producer: "a", Epoch: 1})
					if err == nil {
						return
					}
				}
			})
		}
		time.Sleep(2 * time.Second)
		is.True(log.Calls("append") > 5 && log.Calls("append") <= int(2*time.Second/minProbeInterval)+1)
		is.True(testutil.ToFloat64(guarded.metrics.probes) >= float64(log.Calls("append")))
		is.Equal(guarded.open() >= 1, true)
		log.Fail(store.Fault{})
		began := time.Now()
		<-recovered
		waiting.Wait()
		is.True(time.Since(began) <= 300*time.Millisecond)
		is.Equal(guarded.open(), 0.0)
		is.Equal(strings.Count(lines.String(), "store answers again"), 1)
		is.True(strings.Contains(lines.String(), "store unavailable; circuit breaker open, sending only probes"))
	})
}

func TestAwaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		middle := func() float64 { return 0.5 }
		guarded := New(Config{Store: log, CallsPerSecond: 1, Random: middle, Logger: slog.New(slog.DiscardHandler)}) // a probe every 20 s, the first after 10 s
		log.Fail(store.Fault{Busy: true})
		for range 5 {
			_, _ = guarded.Read(t.Context(), logstore.ReadRequest{Partition: place(0)})
			time.Sleep(100 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		is.True(errors.Is(guarded.Await(ctx, place(0)), context.DeadlineExceeded))
		is.Equal(time.Since(began), 50*time.Millisecond)
		guarded.PeerAnswered() // then a probe goes out at once
		is.NoErr(guarded.Await(t.Context(), place(0)))
		is.Equal(time.Since(began), 50*time.Millisecond)
	})
}

// TestUnavailablePartitionIsDetected covers a store that is available on other partitions.
func TestUnavailablePartitionIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		guarded := newGuarded(log)
		down := 1
		log.Fail(store.Fault{Busy: true, Partition: &down})
		for range 100 {
			_, _ = guarded.Read(t.Context(), logstore.ReadRequest{Partition: place(down)})
			_, err := guarded.Read(t.Context(), logstore.ReadRequest{Partition: place(0)})
			is.NoErr(err)
			time.Sleep(10 * time.Millisecond)
		}
		is.True(guarded.NodeAvailable() && guarded.Available(place(0)) && !guarded.Available(place(down)))
		is.Equal(guarded.open(), 1.0)
		is.Equal(guarded.openError(place(down)).Error(), ErrCircuitOpen.Error()+": circuit breaker of partition 1 of work is open")
		is.NoErr(guarded.Await(t.Context(), place(0)))
		log.Fail(store.Fault{})
		readable := time.Now()
		for !guarded.Available(place(down)) {
			_, _ = guarded.Read(t.Context(), logstore.ReadRequest{Partition: place(down)})
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(readable) <= 200*time.Millisecond)
	})
}

// TestCancelledCallsImplyNothing covers clients that give up on a slow partition.
func TestCancelledCallsImplyNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		guarded := newGuarded(&hanging{})
		for range 5 {
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(300*time.Millisecond, leave)
			_, err := guarded.Read(ctx, logstore.ReadRequest{Partition: place(0)})
			is.True(err != nil)
		}
		is.True(guarded.NodeAvailable())
		is.True(guarded.Available(place(0)))
	})
}

// hanging is a store that does not answer reads.
type hanging struct{ logstore.Store }

// Read implements logstore.Store.
func (*hanging) Read(ctx context.Context, _ logstore.ReadRequest) (logstore.ReadResult, error) {
	<-ctx.Done()
	return logstore.ReadResult{}, fmt.Errorf("%w: %w", logstore.ErrUnavailable, ctx.Err())
}

// TestShortDeadlinesImplyNothing guards against callers with little time left that open the
// breaker of a store which answers, and use up its probes.
func TestShortDeadlinesImplyNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Fail(store.Fault{Delay: 60 * time.Millisecond})
		guarded := newGuarded(log)
		read := func(limit time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			_, err := guarded.Read(ctx, logstore.ReadRequest{Partition: place(0)})
			return err
		}
		for range 20 {
			is.True(read(40*time.Millisecond) != nil)
		}
		is.True(guarded.NodeAvailable() && guarded.Available(place(0)))
		is.NoErr(read(time.Second))

		log.Fail(store.Fault{Silent: true})
		for range 3 {
			is.True(read(300*time.Millisecond) != nil)
		}
		is.True(!guarded.NodeAvailable())
		is.True(!guarded.Available(place(0)))
		is.True(errors.Is(read(time.Second), ErrCircuitOpen)) // the first probe is delayed
		time.Sleep(2 * minProbeInterval)
		log.Fail(store.Fault{Delay: 60 * time.Millisecond})
		for range 20 {
			is.True(errors.Is(read(40*time.Millisecond), ErrCircuitOpen)) // no probe has so little time
		}
		is.NoErr(read(time.Second))
		is.True(guarded.Available(place(0)))
	})
}
