// Package watch keeps a node's view of a keyed partition of the store up to
// date: a snapshot first, then the changes, and a snapshot again wherever the
// changes have a gap.
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
	// callSlack is how much longer than asked for a read may take.
	callSlack = 700 * time.Millisecond
	// pageTimeout bounds one page of a snapshot: 500 entries are 0.2 MB, a fifth of a
	// second on the slowest links, and a few hundred milliseconds at a slow store.
	pageTimeout = 1500 * time.Millisecond
	// minPause is the first pause after a failed call, and maxPause the longest where
	// Config.LongestPause says nothing else.
	minPause = 50 * time.Millisecond
	maxPause = 300 * time.Millisecond
)

// Config is what a Follower is made from. All fields are required.
type Config struct {
	// Name is the dependency's name in the log.
	Name      string
	Store     logstore.Store
	Partition logstore.Partition
	// Pause returns the least time between two reads.
	Pause func() time.Duration
	// Wait returns how long the next read waits for something new.
	Wait func() time.Duration
	// OnSnapshot is given all keys, OnChanges what has changed since an offset, both with
	// the offset up to which the partition is known then. They are called one at a time.
	OnSnapshot func(items []logstore.Item, next logstore.Offset)
	OnChanges  func(from logstore.Offset, items []logstore.Item, next logstore.Offset)
	// OnRecovered is called when the store answers again after a failed call, before
	// what it says is handed on.
	OnRecovered func()
	// OnConfirmed is called once all that the partition held when a read was sent has
	// been handed on, with the time of that sending.
	OnConfirmed func(sent time.Time)
	Logger      *slog.Logger

	// Await returns nil once this node may read the store, or an error when ctx ends; nil
	// lets it read always.
	Await func(ctx context.Context) error
	// Position returns the offset up to which the partition is known from elsewhere, such
	// as from other nodes, if it is; nil where there is nobody else to tell.
	Position func() (logstore.Offset, bool)
	// LongestPause returns the longest pause after failed calls; nil takes maxPause.
	LongestPause func() time.Duration
}

// Watcher follows one partition.
type Watcher struct {
	config Config
	began  time.Time
	// heard is when the store answered last, in nanoseconds since began; 0 is never.
	heard atomic.Int64
	lost  bool
	pause time.Duration
}

// New returns a follower that has not started.
func New(config Config) *Watcher {
	return &Watcher{config: config, began: time.Now(), pause: minPause}
}

// Age returns how long ago the store answered last; false if it never did.
func (f *Watcher) Age() (time.Duration, bool) {
	heard := f.heard.Load()
	return time.Since(f.began) - time.Duration(heard), heard > 0
}

// Run follows the partition until ctx ends.
func (f *Watcher) Run(ctx context.Context) {
	for known := true; ctx.Err() == nil; {
		if f.await(ctx) != nil {
			return
		}
		next, told := f.position()
		if !known || !told {
			var err error
			if next, err = f.snapshot(ctx); err != nil {
				continue // the gate has closed, or ctx has ended
			}
		}
		known = f.follow(ctx, next)
	}
}

func (f *Watcher) await(ctx context.Context) error {
	if f.config.Await == nil {
		return ctx.Err()
	}
	return f.config.Await(ctx)
}

func (f *Watcher) position() (logstore.Offset, bool) {
	if f.config.Position == nil {
		return 0, false
	}
	return f.config.Position()
}

// snapshot reads all pages. A page that fails is read again, and the others stay, so that
// a snapshot ends however often the store refuses.
func (f *Watcher) snapshot(ctx context.Context) (logstore.Offset, error) {
	var items []logstore.Item
	var next logstore.Offset
	sent := time.Now()
	for after, first := "", true; ; {
		page, err := f.page(ctx, after)
		if err != nil {
			f.failed(ctx, err)
			if err := f.await(ctx); err != nil {
				return 0, err
			}
			continue
		}
		f.succeeded()
		if first {
			first, next = false, page.End
		}
		items = append(items, page.Items...)
		if !page.More {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	f.config.OnSnapshot(items, next)
	f.config.OnConfirmed(sent)
	return next, nil
}

func (f *Watcher) page(ctx context.Context, after string) (logstore.NewestResult, error) {
	call, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return f.config.Store.Newest(call, logstore.NewestRequest{Partition: f.config.Partition, After: after})
}

// follow reads changes from next on; it returns false at a gap, and true where this node
// must not read any more.
func (f *Watcher) follow(ctx context.Context, next logstore.Offset) bool {
	for f.await(ctx) == nil {
		if elsewhere, told := f.position(); told && elsewhere > next {
			next = elsewhere
		}
		sent := time.Now()
		changed, err := f.changes(ctx, next)
		var trimmed *logstore.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			f.config.Logger.Info("history is gone", "dependency", f.config.Name, "from", next, "first", trimmed.First)
			return false
		case err != nil:
			f.failed(ctx, err)
			continue
		case changed.Next < next:
			f.config.Logger.Info("history went back", "dependency", f.config.Name, "from", next, "end", changed.Next)
			return false
		}
		f.succeeded()
		from := next
		next = changed.Next
		if len(changed.Items) > 0 {
			f.config.OnChanges(from, changed.Items, next)
		}
		if next >= changed.End {
			f.config.OnConfirmed(sent)
		}
		_ = wait.For(ctx, f.config.Pause()) // the loop looks at ctx
	}
	return true
}

func (f *Watcher) changes(ctx context.Context, next logstore.Offset) (logstore.ChangesResult, error) {
	wait := f.config.Wait()
	if f.lost {
		wait = 0 // what the store holds now is to be known as soon as it answers again
	}
	call, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	return f.config.Store.Changes(call, logstore.ReadRequest{Partition: f.config.Partition, From: next, Wait: wait})
}

func (f *Watcher) succeeded() {
	f.heard.Store(int64(time.Since(f.began)))
	f.pause = minPause
	if f.lost {
		f.lost = false
		f.config.OnRecovered()
		f.config.Logger.Info("dependency regained", "dependency", f.config.Name)
	}
}

func (f *Watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.lost {
		f.lost = true
		age, _ := f.Age()
		f.config.Logger.Warn("dependency lost", "dependency", f.config.Name, "error", err, "age_ms", age.Milliseconds())
	}
	_ = wait.For(ctx, f.pause/2+rand.N(f.pause)) // the caller looks at ctx
	f.pause = min(2*f.pause, f.longestPause())
}

func (f *Watcher) longestPause() time.Duration {
	if f.config.LongestPause == nil {
		return maxPause
	}
	return max(f.config.LongestPause(), minPause)
}
