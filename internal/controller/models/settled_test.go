package models

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNothingIsDecidedOnOldReports is a node that was stopped for a while: what
// it knew of an engine says nothing until the engine was asked again.
func TestNothingIsDecidedOnOldReports(t *testing.T) {
	now := time.Date(2026, 5, 1, 0, 0, 0, 0, time.UTC)
	for _, one := range []struct {
		reported, asked time.Duration
		leaving         bool
		settled         bool
	}{
		{reported: freshFor, settled: true, asked: time.Hour},
		{reported: time.Minute, asked: time.Minute},
		{reported: time.Minute, asked: time.Second, settled: true}, // it does not answer
		{reported: time.Minute, asked: time.Minute, leaving: true, settled: true},
	} {
		c := New(Config{})
		state := newEngineState(now)
		state.reportedAt, state.askedAt, state.leaving = now.Add(-one.reported), now.Add(-one.asked), one.leaving
		c.engines["engine"] = state
		_, settled := c.snapshot(now, "pool", rows{}, []string{"engine"})
		is.New(t).Equal(settled, one.settled)
	}
}
