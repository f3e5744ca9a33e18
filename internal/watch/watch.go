// Package watch keeps a local view of a keyed partition of the store up to date. It reads a
// snapshot, then the changes, and reads a snapshot again where the changes have a gap.
package watch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/wait"
)

const (
	// callSlack is added to the requested wait to get the timeout of a read.
	callSlack = 700 * time.Millisecond
	// pageTimeout is the timeout of one page of a snapshot. A page of 500 entries is 0.2
	// MB, which takes a fifth of a second on the slowest links.
	pageTimeout = 1500 * time.Millisecond
	// minPause is the pause after the first failed call; maxPause is the maximum pause if
	// Config.LongestPause is nil.
	minPause = 50 * time.Millisecond
	maxPause = 300 * time.Millisecond
)

// Config configures a Watcher. The fields up to Logger are required.
type Config struct {
	// Name identifies the partition in log lines.
	Name      string
	Store     logstore.Store
	Partition logstore.Partition
	// Pause returns the minimum time between two reads, unless the store has more than one can return.
	Pause func() time.Duration
	// Wait returns how long the next read waits for a change.
	Wait func() time.Duration
	// OnSnapshot is called with all items, OnChanges with the items changed since an
	// offset, both with the offset up to which the partition is then known. The callbacks
	// are not called concurrently.
	OnSnapshot func(items []logstore.Item, next logstore.Offset)
	OnChanges  func(from logstore.Offset, items []logstore.Item, next logstore.Offset)
	// OnRecovered is called when the store is available again after a failed call, before
	// its response is passed on.
	OnRecovered func()
	// OnConfirmed is called once everything in the partition at the time when a read was
	// sent has been passed on, with that time.
	OnConfirmed func(sent time.Time)
	Logger      *slog.Logger

	// Await blocks until this node may read the store; it returns an error when ctx is
	// canceled. If it is nil, reads are always allowed.
	Await func(ctx context.Context) error
	// Position returns the offset up to which the partition is known from another source,
	// such as a peer, if it is. It is nil if there is no other source.
	Position func() (logstore.Offset, bool)
	// Keep returns what is needed of one page of a snapshot, so that the other items are not held until
	// its end; nil keeps all.
	Keep func(items []logstore.Item) []logstore.Item
	// LongestPause returns the maximum pause after failed calls; nil means maxPause.
	LongestPause func() time.Duration
}

// Watcher watches one partition.
type Watcher struct {
	config Config
	began  time.Time
	// lastResponse is when the store last responded, in nanoseconds since began; 0 means
	// never.
	lastResponse atomic.Int64
	unavailable  bool
	pause        time.Duration
}

// New returns a watcher; Run starts it.
func New(config Config) *Watcher {
	return &Watcher{config: config, began: time.Now(), pause: minPause}
}

// Age returns the time since the last response of the store; false if there was none.
func (w *Watcher) Age() (time.Duration, bool) {
	lastResponse := w.lastResponse.Load()
	return time.Since(w.began) - time.Duration(lastResponse), lastResponse > 0
}

// Run watches the partition until ctx is canceled.
func (w *Watcher) Run(ctx context.Context) {
	for known := true; ctx.Err() == nil; {
		if w.await(ctx) != nil {
			return
		}
		next, found := w.position()
		if !known || !found {
			var err error
			if next, err = w.snapshot(ctx); err != nil {
				continue // reading is no longer allowed, or ctx is canceled
			}
		}
		known = w.readChanges(ctx, next)
	}
}

func (w *Watcher) await(ctx context.Context) error {
	if w.config.Await == nil {
		return ctx.Err()
	}
	return w.config.Await(ctx)
}

func (w *Watcher) position() (logstore.Offset, bool) {
	if w.config.Position == nil {
		return 0, false
	}
	return w.config.Position()
}

// reaches reports whether the partition is known up to an offset that was passed on.
func (w *Watcher) reaches(next logstore.Offset) bool {
	position, found := w.position()
	return !found || position >= next
}

// snapshot reads all pages. It retries a failed page and keeps the others, so that a
// snapshot completes however many calls the store rejects.
func (w *Watcher) snapshot(ctx context.Context) (logstore.Offset, error) {
	var items []logstore.Item
	var next logstore.Offset
	sent := time.Now()
	for after, first := "", true; ; {
		page, err := w.page(ctx, after)
		if err != nil {
			w.failed(ctx, err)
			if err := w.await(ctx); err != nil {
				return 0, err
			}
			continue
		}
		w.succeeded()
		if first {
			first, next = false, page.End
		}
		if w.config.Keep != nil {
			page.Items = w.config.Keep(page.Items)
		}
		items = append(items, page.Items...)
		if !page.More {
			break
		}
		after = page.Next
	}
	w.config.OnSnapshot(items, next)
	w.config.OnConfirmed(sent)
	return next, nil
}

func (w *Watcher) page(ctx context.Context, after string) (logstore.NewestResult, error) {
	call, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return w.config.Store.Newest(call, logstore.NewestRequest{Partition: w.config.Partition, After: after})
}

// readChanges reads changes from next on. It returns false at a gap, and true if this node
// must stop reading.
func (w *Watcher) readChanges(ctx context.Context, next logstore.Offset) bool {
	for w.await(ctx) == nil {
		if known, found := w.position(); found {
			next = known // another source may have set it back, too
		}
		sent := time.Now()
		changed, err := w.changes(ctx, next)
		var trimmed *logstore.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			w.config.Logger.Info("changes were trimmed; reading a new snapshot", "dependency", w.config.Name, "from", next, "first", trimmed.First)
			return false
		case err != nil:
			w.failed(ctx, err)
			continue
		case changed.Next < next:
			w.config.Logger.Info("store offset went back; reading a new snapshot", "dependency", w.config.Name, "from", next, "end", changed.Next)
			return false
		}
		w.succeeded()
		from := next
		next = changed.Next
		if len(changed.Items) > 0 {
			w.config.OnChanges(from, changed.Items, next)
		}
		if next >= changed.End && w.reaches(next) {
			w.config.OnConfirmed(sent)
		} else if next > from {
			continue // a read is bounded, and there is more
		}
		_ = wait.For(ctx, w.config.Pause()) // the loop checks ctx
	}
	return true
}

func (w *Watcher) changes(ctx context.Context, next logstore.Offset) (logstore.ChangesResult, error) {
	wait := w.config.Wait()
	if w.unavailable {
		wait = 0 // get the current state as soon as the store responds again
	}
	call, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	return w.config.Store.Changes(call, logstore.ReadRequest{Partition: w.config.Partition, From: next, Wait: wait})
}

func (w *Watcher) succeeded() {
	w.lastResponse.Store(int64(time.Since(w.began)))
	w.pause = minPause
	if w.unavailable {
		w.unavailable = false
		w.config.OnRecovered()
		w.config.Logger.Info("dependency recovered", "dependency", w.config.Name)
	}
}

func (w *Watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !w.unavailable {
		w.unavailable = true
		age, _ := w.Age()
		w.config.Logger.Warn("dependency unavailable", "dependency", w.config.Name, "error", err, "age_ms", age.Milliseconds())
	}
	_ = wait.For(ctx, w.pause/2+rand.N(w.pause)) // the caller checks ctx
	w.pause = min(2*w.pause, w.longestPause())
}

func (w *Watcher) longestPause() time.Duration {
	if w.config.LongestPause == nil {
		return maxPause
	}
	return max(w.config.LongestPause(), minPause)
}
