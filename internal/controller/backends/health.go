package backends

import (
	"time"

	"stepseam.example/stepseam/internal/scheduling"
)

const (
	// slowFactor is how many times slower than the median of its pool a back end
	// must decode to count as slow. It exceeds the slowdown of about five that the
	// prefill of a long prompt causes for other calls in the batch.
	slowFactor = 8
	// slowCallsToEject is the number of consecutive slow calls that count as a
	// failure.
	slowCallsToEject = 3
	// minSpeedTokens is the minimum number of tokens for a call's speed to count.
	minSpeedTokens = 16
	// minPoolSize is the minimum number of observed back ends for a pool's median
	// to be used.
	minPoolSize = 3
	// maxSlowEjectedRatio bounds the fraction of a pool that may be ejected for
	// slowness: if many back ends are slow, the cause is load and not a fault.
	maxSlowEjectedRatio = 1.0 / 3
)

// failedPollsToEject is the number of consecutive failed polls that eject a back
// end.
const failedPollsToEject = 2

// health is the health of one back end. Calls and polls are tracked separately,
// because a back end may answer polls while its calls fail. It is immutable: its
// methods return a new value.
type health struct {
	calls scheduling.HealthRecord
	// failedPolls counts consecutive failed polls.
	failedPolls int
	// slowCalls counts consecutive slow calls.
	slowCalls int
}

// at returns the health as of now: ejected while polls fail, else the health by
// calls.
func (h health) at(now time.Time) scheduling.Health {
	if h.failedPolls >= failedPollsToEject {
		return scheduling.Ejected
	}
	return h.calls.At(now).Health
}

// afterPoll returns the health after a poll. A back end that answers polls again
// is on probation until a call succeeds.
func (h health) afterPoll(succeeded bool) health {
	if !succeeded {
		h.failedPolls++
		return h
	}
	if h.failedPolls >= failedPollsToEject && h.calls.Health == scheduling.Healthy {
		h.calls = scheduling.HealthRecord{Health: scheduling.Probation}
	}
	h.failedPolls = 0
	return h
}

// afterCall returns the health after a call succeeded or failed by a fault of the
// back end.
func (h health) afterCall(now time.Time, succeeded bool) health {
	h.calls = h.calls.Observe(now, succeeded)
	if !succeeded {
		h.slowCalls = 0
	}
	return h
}

// afterSlowCall returns the health after a call that was answered slowly. It counts
// as a success until slowCallsToEject is reached, or while mayEject is false
// because too much of the pool is ejected. During probation it counts as a
// failure at once.
func (h health) afterSlowCall(now time.Time, mayEject bool) health {
	h.slowCalls++
	onTrial := h.calls.At(now).Health == scheduling.Probation
	if !mayEject || h.slowCalls < slowCallsToEject && !onTrial {
		h.calls = h.calls.Observe(now, true)
		return h
	}
	h.calls = h.calls.Observe(now, false)
	return h
}

// afterFastCall returns the health after a call that was answered at normal speed.
func (h health) afterFastCall(now time.Time) health {
	h.slowCalls = 0
	return h.afterCall(now, true)
}

// pool contains the statistics of all back ends of one service.
type pool struct {
	// decodeRate is the median of the observed rates, 0 if too few are known.
	decodeRate float64
	members    int
	ejected    int
}

// isSlow reports whether a call's decode rate is far below its pool's median.
func (p pool) isSlow(rate float64, tokens int) bool {
	return tokens >= minSpeedTokens && p.decodeRate > 0 && rate > 0 && rate*slowFactor < p.decodeRate
}

// mayEjectSlow reports whether another back end may be ejected for slowness.
func (p pool) mayEjectSlow() bool {
	return float64(p.ejected+1) <= maxSlowEjectedRatio*float64(p.members)
}

// leavingState records the signals that a back end is leaving.
type leavingState struct {
	// listed is true while the machine list marks the back end as leaving.
	listed bool
	// signalledAt is when the back end itself last signalled it, by a report or by
	// refusing a call; zero if it never did.
	signalledAt time.Time
}

// at reports whether the back end counts as leaving. Its own signal is valid for
// ttl even if the machine list, which lags, still marks it as live.
func (l leavingState) at(now time.Time, ttl time.Duration) bool {
	return l.listed || !l.signalledAt.IsZero() && now.Sub(l.signalledAt) < ttl
}
