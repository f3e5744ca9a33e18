package journal

import (
	"context"
	"sync"
	"time"
)

// logHealth is this node's view of whether the log is available. During an outage
// writers wait here while a single probe checks the log for all of them.
type logHealth struct {
	mutex sync.Mutex
	down  bool
	since time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newLogHealth() *logHealth { return &logHealth{changed: make(chan struct{})} }

func (h *logHealth) isDown() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.down
}

// isDownFor reports whether the log has been unavailable for at least minimum.
func (h *logHealth) isDownFor(minimum time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.down && time.Since(h.since) >= minimum
}

// set stores the state and reports whether it changed.
func (h *logHealth) set(down bool) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.down == down {
		return false
	}
	h.down, h.since = down, time.Now()
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

func (h *logHealth) watch() (down bool, changed <-chan struct{}) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.down, h.changed
}

// await waits until the log is down or up, as given by wanted.
func (h *logHealth) await(ctx context.Context, wanted bool) error {
	for {
		down, changed := h.watch()
		if down == wanted {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
