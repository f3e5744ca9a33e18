package routednode

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/logstore"
)

const (
	// awayFailures is how many calls in a row must fail, and awayAfter for how long,
	// before the store counts as away for this node. Single refusals, as of a store
	// that has too many calls, don't make it so.
	awayFailures = 3
	awayAfter    = 300 * time.Millisecond
	// probePause is the least time between two reads while the store is away; those in
	// between fail at once.
	probePause = 150 * time.Millisecond
)

// errAway tells that the store has not answered this node lately.
var errAway = fmt.Errorf("%w: it has not answered this node lately", logstore.ErrUnavailable)

// storeHealth keeps the reads few while the store does not answer this node. It is safe
// for concurrent use.
type storeHealth struct {
	// mutex guards all below.
	mutex sync.Mutex
	// failures counts the calls that failed since the last one that did not; the first
	// of them ended at since.
	failures int
	since    time.Time
	// probed is when a read was let through last.
	probed time.Time
}

// note takes the outcome of a call.
func (h *storeHealth) note(err error, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var trimmed *logstore.TrimmedError
	if err == nil || errors.As(err, &trimmed) || errors.Is(err, logstore.ErrSequence) || errors.Is(err, logstore.ErrFenced) {
		h.failures = 0
		return
	}
	if h.failures == 0 {
		h.since = now
	}
	h.failures++
}

// isAway tells whether the store does not answer this node. It needs the mutex.
func (h *storeHealth) isAway(now time.Time) bool {
	return h.failures >= awayFailures && now.Sub(h.since) >= awayAfter
}

// answers tells whether the store answers this node, as far as is known.
func (h *storeHealth) answers() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.isAway(time.Now())
}

// mayRead tells whether a read may be made now.
func (h *storeHealth) mayRead(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.isAway(now) && now.Sub(h.probed) < probePause {
		return false
	}
	h.probed = now
	return true
}
