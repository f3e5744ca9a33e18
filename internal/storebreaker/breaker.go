package storebreaker

import "time"

const (
	// A breaker opens after minFailures calls in a row have failed over at least nodeOpenAfter
	// or partitionOpenAfter. Single refusals, as of an overloaded store, do not open it. A
	// partition's breaker opens later than the node's, since a store that answers no call is
	// unavailable as a whole.
	minFailures        = 3
	nodeOpenAfter      = 300 * time.Millisecond
	partitionOpenAfter = 500 * time.Millisecond
)

// breaker is a circuit breaker. It is open after calls have failed in a row for some time.
type breaker struct {
	// openAfter is how long calls must have failed.
	openAfter time.Duration
	// failures counts the calls that failed since the last success; the first of them ended at
	// since.
	failures int
	since    time.Duration
}

// isOpen reports whether only probes may go out.
func (b *breaker) isOpen(now time.Duration) bool {
	return b.failures >= minFailures && now-b.since >= b.openAfter
}

func (b *breaker) failed(now time.Duration) {
	if b.failures == 0 {
		b.since = now
	}
	b.failures++
}

func (b *breaker) answered() { b.failures = 0 }

// halfOpen lets calls out until the next failure.
func (b *breaker) halfOpen() { b.failures = min(b.failures, minFailures-1) }
