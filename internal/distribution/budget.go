package distribution

import (
	"sync"
	"time"
)

// budget is a token bucket for the bytes of topic snapshots that a node sends. It staggers
// concurrent requests, so that the first nodes served can serve others sooner. It is safe
// for concurrent use.
type budget struct {
	perSecond float64

	// mutex guards the fields below.
	mutex     sync.Mutex
	available float64
	updated   time.Time
}

func newBudget(bytesPerSecond float64) *budget {
	return &budget{perSecond: bytesPerSecond, available: bytesPerSecond}
}

// take spends a number of bytes if any budget is left, and reports whether it was. A
// request may overdraw the budget; later ones then wait until it is positive again.
func (b *budget) take(bytes int, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.updated.IsZero() {
		b.available = min(b.available+b.perSecond*now.Sub(b.updated).Seconds(), b.perSecond)
	}
	b.updated = now
	if b.available <= 0 {
		return false
	}
	b.available -= float64(bytes)
	return true
}
