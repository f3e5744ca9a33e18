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

// TestFollowersWaitAtTheGate of a store that is away, and pause shortly for the probe that
// they may be; one that refuses while it answers others is asked rarely on large sites.
func TestFollowersWaitAtTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const members, calls = 900, 1000 // a probe of each node in 18 s
		log := store.New()
		gated := guardedstore.New(guardedstore.Config{Store: log, CallsPerSecond: calls, Logger: slog.New(slog.DiscardHandler)})
		gated.SetMembers(func() int { return members })
		followed := &following{store: gated, members: func() int { return members }}
		followed.chosen = settings.Routed{}
		place := logstore.Partition{Topic: "keyed.work"}
		is.Equal(followed.longestPause(place)(), retryPause)
		followed.chosen.Store.ReadsPerSecond = calls
		is.Equal(followed.longestPause(place)(), 9*time.Second)
		wait := followed.await(configurationTopic, place)
		is.NoErr(wait(t.Context()))

		log.Fail(store.Fault{Busy: true})
		for range 5 {
			_, _ = gated.Changes(t.Context(), logstore.ReadRequest{Partition: place})
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(followed.longestPause(place)(), pacedPause)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		is.True(errors.Is(wait(ctx), context.DeadlineExceeded))
	})
}
