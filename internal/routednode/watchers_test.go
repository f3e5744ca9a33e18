package routednode

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/guardedstore"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/settings"
)

// TestWatchersWaitForCircuitBreaker checks that watchers wait while the circuit breaker is
// open, with short pauses between attempts to probe, and that on large sites they rarely
// retry a store that rejects only their reads.
func TestWatchersWaitForCircuitBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const members, calls = 900, 1000 // each node probes every 18 s
		log := store.New()
		guarded := guardedstore.New(guardedstore.Config{Store: log, CallsPerSecond: calls, Logger: slog.New(slog.DiscardHandler)})
		guarded.SetMembers(func() int { return members })
		watchers := &topicWatchers{store: guarded, members: func() int { return members }}
		watchers.cfg = settings.Routed{}
		partition := logstore.Partition{Topic: "keyed.work"}
		is.Equal(watchers.maxPause(partition)(), baseMaxPause)
		watchers.cfg.Store.ReadsPerSecond = calls
		is.Equal(watchers.maxPause(partition)(), 9*time.Second)
		wait := watchers.await(configurationTopic, partition)
		is.NoErr(wait(t.Context()))

		log.Fail(store.Fault{Busy: true})
		for range 5 {
			_, _ = guarded.Changes(t.Context(), logstore.ReadRequest{Partition: partition})
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(watchers.maxPause(partition)(), probingMaxPause)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		is.True(errors.Is(wait(ctx), context.DeadlineExceeded))
	})
}
