package ledgerlog

import (
	"sync/atomic"
	"time"
)

// The bounds of a readWindow in bytes: the first read asks for firstWindow.
const (
	leastWindow = 8 << 10
	firstWindow = 64 << 10
	mostWindow  = 1 << 20
	// swiftRead is how long a read may take for the next one to ask for more.
	swiftRead = 60 * time.Millisecond
)

// readWindow is how much this node asks for in one read of the ledger, by how long
// reads took. What does not arrive in time is lost and has to be read again, so that a
// slow link or a busy store needs smaller reads. It is safe for concurrent use.
type readWindow struct {
	// bytes is 0 before the first read.
	bytes atomic.Int64
}

// size returns how much the next read asks for, in bytes.
func (w *readWindow) size() int {
	if size := w.bytes.Load(); size > 0 {
		return int(size)
	}
	return firstWindow
}

// answered notes that a read took some time and whether it was full.
func (w *readWindow) answered(took time.Duration, full bool) {
	if full && took <= swiftRead {
		w.bytes.Store(int64(min(2*w.size(), mostWindow)))
	}
}

// unanswered notes that a read was not answered in time.
func (w *readWindow) unanswered() {
	w.bytes.Store(int64(max(w.size()/2, leastWindow)))
}
