package routednode

import (
	"sync"
	"time"

	"stepseam.example/stepseam/internal/quota"
)

// clock returns a monotonic reading that all components of the node share.
type clock func() time.Duration

func newClock() clock {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}

// authorityClock returns readings for what this node may do until a time, such as under a
// lease. The monotonic clock stands still while a machine is suspended, so that it would find
// a lease valid that has ended. If the wall clock has advanced further than the monotonic one
// since the reading before, so do the readings, and by the life of a lease at least: a wall
// clock that was set forward looks the same, and nothing may accrue under a lease for time
// that has not passed.
type authorityClock func() time.Duration

// minSuspension is the least difference between the clocks that counts. Lesser ones are
// adjustments of the wall clock.
const minSuspension = 50 * time.Millisecond

// newAuthorityClock returns the clock, given the two that the machine has.
func newAuthorityClock(monotonic clock, wall func() time.Time) authorityClock {
	var mutex sync.Mutex
	last, lastWall, suspended := monotonic(), wall().Round(0), time.Duration(0)
	return func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		at, wallAt := monotonic(), wall().Round(0)
		if missed := wallAt.Sub(lastWall) - (at - last); missed >= minSuspension {
			suspended += max(missed, quota.LeaseTTL)
		}
		last, lastWall = at, wallAt
		return at + suspended
	}
}
