package watch

import (
	"context"
	"log/slog"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/logstore"
)

var partition = logstore.Partition{Topic: "keyed"}

// view records the watcher's callbacks.
type view struct {
	values    map[string]string
	snapshots int
	// next is the offset up to which the partition is known.
	next       logstore.Offset
	recoveries int
	// confirmed is the time of the newest confirmed read; confirmedValues is a copy of the
	// values at that point.
	confirmed       time.Time
	confirmedValues map[string]string
}

func (v *view) confirm(sent time.Time) { v.confirmed, v.confirmedValues = sent, maps.Clone(v.values) }

func (v *view) snapshot(items []logstore.Item, next logstore.Offset) {
	v.values = map[string]string{}
	v.snapshots++
	v.apply(items, next)
}

func (v *view) apply(items []logstore.Item, next logstore.Offset) {
	v.next = next
	for _, item := range items {
		if item.Value == nil {
			delete(v.values, item.Key)
			continue
		}
		v.values[item.Key] = string(item.Value)
	}
}

func startWatcher(t *testing.T, log *store.Store) (*view, *Watcher) {
	recorded := &view{}
	watcher := New(Config{
		Name: "test", Store: log, Partition: partition, Pause: func() time.Duration { return 100 * time.Millisecond }, Wait: func() time.Duration { return time.Second },
		OnSnapshot: recorded.snapshot, OnChanges: func(_ logstore.Offset, items []logstore.Item, next logstore.Offset) { recorded.apply(items, next) }, OnRecovered: func() { recorded.recoveries++ }, OnConfirmed: recorded.confirm, Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		watcher.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return recorded, watcher
}

func TestChangesAreDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Put(partition, "a", []byte("1"))
		recorded, _ := startWatcher(t, log)
		time.Sleep(200 * time.Millisecond)
		is.Equal(recorded.values, map[string]string{"a": "1"})
		log.Put(partition, "a", nil)
		log.Put(partition, "b", []byte("2"))
		time.Sleep(200 * time.Millisecond)
		is.Equal(recorded.values, map[string]string{"b": "2"})
		is.Equal(recorded.next, logstore.Offset(3))
		is.Equal(recorded.snapshots, 1)
	})
}

func TestSnapshotFollowsTrimmedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		recorded, _ := startWatcher(t, log)
		time.Sleep(200 * time.Millisecond)
		log.Fail(store.Fault{Busy: true})
		time.Sleep(3 * time.Second)
		log.Put(partition, "a", []byte("1"))
		log.Put(partition, "a", []byte("2"))
		log.Trim(partition, 2)
		log.Fail(store.Fault{})
		time.Sleep(time.Second)
		is.Equal(recorded.values, map[string]string{"a": "2"})
		is.Equal(recorded.snapshots, 2)
		is.Equal(recorded.recoveries, 1)
	})
}

// TestUnresponsiveStoreIsDetected checks that changes are known within two seconds after a
// store that did not respond to any call recovers.
func TestUnresponsiveStoreIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		recorded, watcher := startWatcher(t, log)
		time.Sleep(200 * time.Millisecond)
		log.Fail(store.Fault{Silent: true})
		log.Put(partition, "a", []byte("1"))
		time.Sleep(10 * time.Second)
		age, known := watcher.Age()
		is.True(known && age > 8*time.Second)
		log.Fail(store.Fault{})
		time.Sleep(1900 * time.Millisecond)
		is.Equal(recorded.values, map[string]string{"a": "1"})
	})
}

// TestReadConfirmsStateWhenItWasSent changes the partition at different times during a
// waiting read, and guards against a confirmed time later than a change that the view does
// not contain.
func TestReadConfirmsStateWhenItWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Put(partition, "a", []byte("1"))
		recorded, _ := startWatcher(t, log)
		time.Sleep(3500 * time.Millisecond)
		synctest.Wait()
		is.True(time.Since(recorded.confirmed) <= 2*time.Second+200*time.Millisecond)
		for number := range 20 {
			value := string(rune('b' + number))
			changed := time.Now()
			log.Put(partition, "a", []byte(value))
			for recorded.confirmed.Before(changed) {
				time.Sleep(time.Millisecond)
				synctest.Wait()
			}
			is.Equal(recorded.confirmedValues["a"], value)
			time.Sleep(137 * time.Millisecond)
		}
	})
}

func TestUnavailableStoreConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Put(partition, "a", []byte("1"))
		recorded, _ := startWatcher(t, log)
		time.Sleep(2 * time.Second)
		log.Fail(store.Fault{Busy: true})
		failing := time.Now()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.True(!recorded.confirmed.After(failing))
	})
}

func TestRecoveredStoreConfirmsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Put(partition, "a", []byte("1"))
		recorded, _ := startWatcher(t, log)
		time.Sleep(2 * time.Second)
		log.Fail(store.Fault{Busy: true})
		time.Sleep(3 * time.Second)
		log.Fail(store.Fault{})
		back := time.Now()
		time.Sleep(500 * time.Millisecond) // shorter than the wait of a read
		synctest.Wait()
		is.True(recorded.confirmed.After(back))
	})
}

// TestSnapshotResumesAfterFailedPage checks that a snapshot completes although the store
// rejects most calls, since pages that were read are not read again.
func TestSnapshotResumesAfterFailedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.SetPage(1)
		const keys = 20
		for i := range keys {
			log.Put(partition, string(rune('a'+i)), []byte("1"))
		}
		log.LimitReads(2)
		recorded, _ := startWatcher(t, log)
		time.Sleep(5 * time.Second) // longer than a whole snapshot could be retried for
		is.Equal(recorded.snapshots, 0)
		time.Sleep(15 * time.Second)
		is.Equal(len(recorded.values), keys)
		is.Equal(recorded.snapshots, 1)
	})
}

// TestWatcherContinuesFromKnownPosition checks that no snapshot is read if the partition is
// known from another source, and that nothing is read before Await returns.
func TestWatcherContinuesFromKnownPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		for _, key := range []string{"a", "b", "c"} {
			log.Put(partition, key, []byte("1"))
		}
		recorded := &view{values: map[string]string{}}
		open := make(chan struct{})
		watcher := New(Config{
			Name: "test", Store: log, Partition: partition, Wait: func() time.Duration { return time.Second },
			Pause:      func() time.Duration { return 100 * time.Millisecond },
			OnSnapshot: recorded.snapshot, OnRecovered: func() {}, OnConfirmed: recorded.confirm, Logger: slog.New(slog.DiscardHandler),
			OnChanges: func(_ logstore.Offset, items []logstore.Item, next logstore.Offset) { recorded.apply(items, next) },
			Await: func(ctx context.Context) error {
				select {
				case <-open:
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			},
			Position: func() (logstore.Offset, bool) { return max(2, recorded.next), true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			watcher.Run(ctx)
			close(done)
		}()
		time.Sleep(time.Second)
		is.Equal(log.Calls("read")+log.Calls("newest"), 0)
		close(open)
		time.Sleep(time.Second)
		is.Equal(log.Calls("newest"), 0)
		is.Equal(recorded.values, map[string]string{"c": "1"})
		cancel()
		<-done
	})
}

// TestPauseGrowsUpToMaxPause checks that the nodes of a large site together do not overload
// a store that rejects their calls.
func TestPauseGrowsUpToMaxPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Fail(store.Fault{Busy: true})
		watcher := New(Config{
			Name: "test", Store: log, Partition: partition, Logger: slog.New(slog.DiscardHandler),
			LongestPause: func() time.Duration { return 5 * time.Second },
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		watcher.Run(ctx)
		is.True(log.Calls("newest") < 35) // 12 to 24 at 2.5 to 7.5 s each, and the first ones at shorter pauses
	})
}

// TestLargeRecordsDoNotDelayOthers guards against a watcher that falls behind records which take more
// than one read, since it pauses between these reads as well.
func TestLargeRecordsDoNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Put(partition, "a", []byte("1"))
		recorded, _ := startWatcher(t, log)
		time.Sleep(2 * time.Second)
		large := make([]byte, 256<<10)
		for range 40 { // ten reads
			log.Put(partition, "large", large)
		}
		log.Put(partition, "a", []byte("2"))
		time.Sleep(time.Second) // one pause and one wait of a read
		synctest.Wait()
		is.Equal(recorded.values["a"], "2")
	})
}
