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

// TestAStreamThatFallsSilentRunsElsewhereAtOnce freezes an engine in the middle
// of a stream. The engine had taken the stream in, so that nothing can arrive
// behind later calls, and the caller need not wait for the fence.
func TestAStreamThatFallsSilentRunsElsewhereAtOnce(t *testing.T) {
	const bound = 10 * time.Second // half of the fence's limit
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *heldShard) {
		call := s.start(owner, p1, modelCall(1, "one"), 0)
		time.Sleep(200 * time.Millisecond)
		silent := 0
		if len(s.engines[1].Truth().Arrivals) > 0 {
			silent = 1
		}
		is.True(len(s.engines[silent].Truth().Arrivals) == 1)
		s.engines[silent].SetFaults(engine.Faults{Frozen: true})
		s.setHealth(s.engines[silent].Name(), scheduling.Ejected)
		frozen := time.Now()
		got := <-call
		is.NoErr(got.err)
		is.True(time.Since(frozen) < bound)
		is.Equal(strings.Join(got.tokens, ""), got.answer.Text) // one whole stream
		s.engines[silent].SetFaults(engine.Faults{})
		time.Sleep(time.Minute)
		for _, arrival := range s.engines[silent].Truth().Arrivals {
			is.True(arrival.Outcome == engine.OutcomeCancelled) // its work there was stopped
		}
	})
}
