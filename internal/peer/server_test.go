package peer

import "testing"

// Blocked requests of one range must not use up the handlers of another.
func TestKindRangesHaveSeparateHandlerLimits(t *testing.T) {
	ranges := []Kind{KindRangeJournal, KindRangePrograms, KindRangeTable, KindRangeBackends, KindRangeOperator, KindRangeLedger, KindRangeRelay, KindRangeLimits, KindRangeDistribution, KindRangeShares, KindRangeOrigins, KindRangeQuarantine, KindRangeTranscripts}
	seen := map[int]Kind{}
	for _, kind := range ranges {
		if other, taken := seen[handlerRange(kind+1)]; taken {
			t.Fatalf("%d and %d share room", kind, other)
		}
		seen[handlerRange(kind+1)] = kind
	}
}
