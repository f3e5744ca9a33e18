package ledgerlog

import (
	"sync/atomic"
	"time"
)

// The bounds of a readWindow, in bytes. The first read requests initialWindow.
const (
	minWindow     = 8 << 10
	initialWindow = 64 << 10
	maxWindow     = 1 << 20
	// fastRead is the maximum duration of a read after which the window grows.
	fastRead = 60 * time.Millisecond
)

// readWindow adapts the size of reads to the time that they take. A response that does not
// arrive in time must be read again, so a slow network or a busy store needs smaller reads. It
// is safe for concurrent use.
type readWindow struct {
	// bytes is 0 before the first read.
	bytes atomic.Int64
}

// size returns the size of the next read, in bytes.
func (w *readWindow) size() int {
	if size := w.bytes.Load(); size > 0 {
		return int(size)
	}
	return initialWindow
}

// answered records the duration of a read and whether it filled the window.
func (w *readWindow) answered(took time.Duration, full bool) {
	if full && took <= fastRead {
		w.bytes.Store(int64(min(2*w.size(), maxWindow)))
	}
}

// unanswered records that a read timed out.
func (w *readWindow) unanswered() {
	w.bytes.Store(int64(max(w.size()/2, minWindow)))
}
