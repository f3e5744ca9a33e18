package storebreaker

import "time"

const (
	// awayFailures is how many calls in a row must fail, and nodeAwayAfter or
	// partitionAwayAfter for how long, before a breaker opens. Single refusals, as of a
	// store that has too many calls, don't open it. A partition's opens later than the
	// node's: a store that answers nothing is away as a whole.
	awayFailures       = 3
	nodeAwayAfter      = 300 * time.Millisecond
	partitionAwayAfter = 500 * time.Millisecond
)

// breaker is a circuit breaker: open while calls have failed in a row for some time.
type breaker struct {
	// after is for how long calls must have failed.
	after time.Duration
	// failures counts the calls that failed since the last one that did not; the first of
	// them ended at since.
	failures int
	since    time.Duration
}

// isOpen tells whether only probes may go out.
func (b *breaker) isOpen(now time.Duration) bool {
	return b.failures >= awayFailures && now-b.since >= b.after
}

func (b *breaker) failed(now time.Duration) {
	if b.failures == 0 {
		b.since = now
	}
	b.failures++
}

func (b *breaker) answered() { b.failures = 0 }

// doubt closes the breaker until the next failure.
func (b *breaker) doubt() { b.failures = min(b.failures, awayFailures-1) }
