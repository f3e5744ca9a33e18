package serving_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/serving"
)

// TestStalledStreamIsRetriedWithoutFenceWait pauses an engine in the middle of a stream.
// The engine had accepted the stream, so it cannot arrive after later calls, and the
// retry must not wait for the fence.
func TestStalledStreamIsRetriedWithoutFenceWait(t *testing.T) {
	const bound = 10 * time.Second // half of the fence timeout
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		call := s.start(owner, p1, modelCall(1, "one"), 0)
		time.Sleep(200 * time.Millisecond)
		silent := 0
		if len(s.engines[1].Truth().Arrivals) > 0 {
			silent = 1
		}
		is.True(len(s.engines[silent].Truth().Arrivals) == 1)
		s.engines[silent].SetFaults(engine.Faults{Frozen: true})
		s.setHealth(s.engines[silent].Name(), scheduling.Ejected)
		pausedAt := time.Now()
		got := <-call
		is.NoErr(got.err)
		is.True(time.Since(pausedAt) < bound)
		is.Equal(strings.Join(got.tokens, ""), got.answer.Text) // one complete stream
		s.engines[silent].SetFaults(engine.Faults{})
		time.Sleep(time.Minute)
		for _, arrival := range s.engines[silent].Truth().Arrivals {
			is.True(arrival.Outcome == engine.OutcomeCancelled) // the stream was stopped there
		}
	})
}
