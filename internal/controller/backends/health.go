package backends

import (
	"time"

	"stepseam.example/stepseam/internal/scheduling"
)

const (
	// slowFactor is how many times slower than the middle of its pool a back end
	// must decode to count as slow. A long prompt beside a call slows it about
	// fivefold, so the factor lies above that.
	slowFactor = 8
	// slowStreak is how many slow calls in a row count as a failure.
	slowStreak = 3
	// slowTokens is how many tokens a call must have for its speed to count.
	slowTokens = 16
	// slowPeers is how many back ends a pool needs for its middle to mean anything.
	slowPeers = 3
	// slowEjectedShare bounds the part of a pool that slowness may eject: where
	// many are slow, it is load and not a fault of theirs.
	slowEjectedShare = 1.0 / 3
)

// failedPolls is how many failed polls in a row eject.
const failedPolls = 2

// health is what this node knows of the health of one back end. Calls and polls
// are judged apart, because a back end may well report its load and still fail
// its calls. It is a value: its methods return the next one.
type health struct {
	calls scheduling.HealthRecord
	// missed counts failed polls in a row.
	missed int
	// slow counts slow calls in a row.
	slow int
}

// at returns the health as of now: ejected while polls fail, else what the calls
// say, with an ejection that is over turned into probation.
func (h health) at(now time.Time) scheduling.Health {
	if h.missed >= failedPolls {
		return scheduling.Ejected
	}
	return h.calls.At(now).Health
}

// afterPoll returns the health after a load report came or failed to come. A
// back end that answers polls again has yet to pass a trial by a call.
func (h health) afterPoll(succeeded bool) health {
	if !succeeded {
		h.missed++
		return h
	}
	if h.missed >= failedPolls && h.calls.Health == scheduling.Healthy {
		h.calls = scheduling.HealthRecord{Health: scheduling.Probation}
	}
	h.missed = 0
	return h
}

// afterCall returns the health after a call ended by an answer or by a failure
// of the back end.
func (h health) afterCall(now time.Time, succeeded bool) health {
	h.calls = h.calls.Observe(now, succeeded)
	if !succeeded {
		h.slow = 0
	}
	return h
}

// afterSlowCall returns the health after a call that was answered slowly. Few in
// a row pass as answers; mayEject is false while too many of the pool are out.
func (h health) afterSlowCall(now time.Time, mayEject bool) health {
	h.slow++
	onTrial := h.calls.At(now).Health == scheduling.Probation
	if !mayEject || h.slow < slowStreak && !onTrial {
		h.calls = h.calls.Observe(now, true)
		return h
	}
	h.calls = h.calls.Observe(now, false)
	return h
}

// afterFastCall returns the health after a call that was answered in good time.
func (h health) afterFastCall(now time.Time) health {
	h.slow = 0
	return h.afterCall(now, true)
}

// pool is what a back end is compared with: those of its service.
type pool struct {
	// decodeRate is the median of the observed rates, 0 where too few are known.
	decodeRate float64
	members    int
	ejected    int
}

// isSlow tells whether a call's decode rate is far below its pool's.
func (p pool) isSlow(rate float64, tokens int) bool {
	return tokens >= slowTokens && p.decodeRate > 0 && rate > 0 && rate*slowFactor < p.decodeRate
}

// mayEjectSlow tells whether one more may be ejected for slowness.
func (p pool) mayEjectSlow() bool {
	return float64(p.ejected+1) <= slowEjectedShare*float64(p.members)
}

// leaving is what this node knows of a back end's leaving.
type leaving struct {
	// listed tells that the machine list says so.
	listed bool
	// signed is when the back end itself last said so, by its report or by
	// refusing work; zero if it never did.
	signed time.Time
}

// at tells whether the back end counts as leaving. What the back end said of
// itself holds for hold, which is longer than the machine list lags: the list
// may still call it live.
func (l leaving) at(now time.Time, hold time.Duration) bool {
	return l.listed || !l.signed.IsZero() && now.Sub(l.signed) < hold
}
