package models

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSnapshotWithStaleReportsIsIncomplete guards against acting on stale reports
// after a process pause: reports must be requested again first.
func TestSnapshotWithStaleReportsIsIncomplete(t *testing.T) {
	now := time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)
	for _, one := range []struct {
		reported, requested time.Duration
		leaving             bool
		complete            bool
	}{
		{reported: reportTTL, complete: true, requested: time.Hour},
		{reported: time.Minute, requested: time.Minute},
		{reported: time.Minute, requested: time.Second, complete: true}, // the engine does not respond
		{reported: time.Minute, requested: time.Minute, leaving: true, complete: true},
	} {
		c := New(Config{})
		state := newEngineState(now)
		state.reportedAt, state.requestedAt, state.leaving = now.Add(-one.reported), now.Add(-one.requested), one.leaving
		c.engines["engine"] = state
		_, complete := c.snapshot(now, "pool", rows{}, []string{"engine"})
		is.New(t).Equal(complete, one.complete)
	}
}
