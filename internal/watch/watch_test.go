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

var place = logstore.Partition{Topic: "keyed"}

// view is what the follower has told.
type view struct {
	values    map[string]string
	snapshots int
	// next is the offset up to which the partition is known.
	next     logstore.Offset
	regained int
	// confirmed is the time of the newest confirmed read, confirmedValues what was known then.
	confirmed       time.Time
	confirmedValues map[string]string
}

func (v *view) confirm(sent time.Time) { v.confirmed, v.confirmedValues = sent, maps.Clone(v.values) }

func (v *view) snapshot(items []logstore.Item, next logstore.Offset) {
	v.values = map[string]string{}
	v.snapshots++
	v.change(items, next)
}

func (v *view) change(items []logstore.Item, next logstore.Offset) {
	v.next = next
	for _, item := range items {
		if item.Value == nil {
			delete(v.values, item.Key)
			continue
		}
		v.values[item.Key] = string(item.Value)
	}
}

func followed(t *testing.T, log *store.Store) (*view, *Watcher) {
	seen := &view{}
	follower := New(Config{
		Name: "test", Store: log, Partition: place, Pause: func() time.Duration { return 100 * time.Millisecond }, Wait: func() time.Duration { return time.Second },
		OnSnapshot: seen.snapshot, OnChanges: func(_ logstore.Offset, items []logstore.Item, next logstore.Offset) { seen.change(items, next) }, OnRecovered: func() { seen.regained++ }, OnConfirmed: seen.confirm, Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		follower.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return seen, follower
}

func TestChangesAreSeenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Put(place, "a", []byte("1"))
		seen, _ := followed(t, log)
		time.Sleep(200 * time.Millisecond)
		is.Equal(seen.values, map[string]string{"a": "1"})
		log.Put(place, "a", nil)
		log.Put(place, "b", []byte("2"))
		time.Sleep(200 * time.Millisecond)
		is.Equal(seen.values, map[string]string{"b": "2"})
		is.Equal(seen.next, logstore.Offset(3))
		is.Equal(seen.snapshots, 1)
	})
}

func TestForgottenHistoryIsMadeUpByASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		seen, _ := followed(t, log)
		time.Sleep(200 * time.Millisecond)
		log.Fail(store.Fault{Busy: true})
		time.Sleep(3 * time.Second)
		log.Put(place, "a", []byte("1"))
		log.Put(place, "a", []byte("2"))
		log.Trim(place, 2)
		log.Fail(store.Fault{})
		time.Sleep(time.Second)
		is.Equal(seen.values, map[string]string{"a": "2"})
		is.Equal(seen.snapshots, 2)
		is.Equal(seen.regained, 1)
	})
}

// TestSilentStoreIsNoticedAndLeft: once the store answers again, what has changed
// is known within two seconds, whatever call was hanging.
func TestSilentStoreIsNoticedAndLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		seen, follower := followed(t, log)
		time.Sleep(200 * time.Millisecond)
		log.Fail(store.Fault{Silent: true})
		log.Put(place, "a", []byte("1"))
		time.Sleep(10 * time.Second)
		age, heard := follower.Age()
		is.True(heard && age > 8*time.Second)
		log.Fail(store.Fault{})
		time.Sleep(1900 * time.Millisecond)
		is.Equal(seen.values, map[string]string{"a": "1"})
	})
}

// TestReadConfirmsWhatWasThereWhenItWasSent changes the partition at any time of a read
// that waits: a confirmed time is never later than a change that the view lacks.
func TestReadConfirmsWhatWasThereWhenItWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Put(place, "a", []byte("1"))
		seen, _ := followed(t, log)
		time.Sleep(3500 * time.Millisecond)
		synctest.Wait()
		is.True(time.Since(seen.confirmed) <= 2*time.Second+200*time.Millisecond)
		for number := range 20 {
			value := string(rune('b' + number))
			changed := time.Now()
			log.Put(place, "a", []byte(value))
			for seen.confirmed.Before(changed) {
				time.Sleep(time.Millisecond)
				synctest.Wait()
			}
			is.Equal(seen.confirmedValues["a"], value)
			time.Sleep(137 * time.Millisecond)
		}
	})
}

func TestStoreThatIsAwayConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Put(place, "a", []byte("1"))
		seen, _ := followed(t, log)
		time.Sleep(2 * time.Second)
		log.Fail(store.Fault{Busy: true})
		failing := time.Now()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.True(!seen.confirmed.After(failing))
	})
}

func TestStoreThatIsBackConfirmsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Put(place, "a", []byte("1"))
		seen, _ := followed(t, log)
		time.Sleep(2 * time.Second)
		log.Fail(store.Fault{Busy: true})
		time.Sleep(3 * time.Second)
		log.Fail(store.Fault{})
		back := time.Now()
		time.Sleep(500 * time.Millisecond) // less than a read that waits
		synctest.Wait()
		is.True(seen.confirmed.After(back))
	})
}

// TestSnapshotGoesOnWhereItStopped: a store that refuses most calls is asked for each page
// until that is there, and for no page again, so that the snapshot ends.
func TestSnapshotGoesOnWhereItStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.SetPage(1)
		const keys = 20
		for i := range keys {
			log.Put(place, string(rune('a'+i)), []byte("1"))
		}
		log.LimitReads(2)
		seen, _ := followed(t, log)
		time.Sleep(5 * time.Second) // a time in which a snapshot as a whole would have been given up
		is.Equal(seen.snapshots, 0)
		time.Sleep(15 * time.Second)
		is.Equal(len(seen.values), keys)
		is.Equal(seen.snapshots, 1)
	})
}

// TestFollowerGoesOnFromWhatOthersHaveTold: it reads no snapshot where the partition is known
// from elsewhere, and reads nothing while it is not to.
func TestFollowerGoesOnFromWhatOthersHaveTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		for _, key := range []string{"a", "b", "c"} {
			log.Put(place, key, []byte("1"))
		}
		seen := &view{values: map[string]string{}}
		open := make(chan struct{})
		follower := New(Config{
			Name: "test", Store: log, Partition: place, Wait: func() time.Duration { return time.Second },
			Pause:      func() time.Duration { return 100 * time.Millisecond },
			OnSnapshot: seen.snapshot, OnRecovered: func() {}, OnConfirmed: seen.confirm, Logger: slog.New(slog.DiscardHandler),
			OnChanges: func(_ logstore.Offset, items []logstore.Item, next logstore.Offset) { seen.change(items, next) },
			Await: func(ctx context.Context) error {
				select {
				case <-open:
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			},
			Position: func() (logstore.Offset, bool) { return max(2, seen.next), true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			follower.Run(ctx)
			close(done)
		}()
		time.Sleep(time.Second)
		is.Equal(log.Calls("read")+log.Calls("newest"), 0)
		close(open)
		time.Sleep(time.Second)
		is.Equal(log.Calls("newest"), 0)
		is.Equal(seen.values, map[string]string{"c": "1"})
		cancel()
		<-done
	})
}

// TestPauseGrowsAsFarAsItIsAllowed: nodes of a large site together ask a store that refuses
// them no more often than it bears.
func TestPauseGrowsAsFarAsItIsAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := store.New()
		log.Fail(store.Fault{Busy: true})
		follower := New(Config{
			Name: "test", Store: log, Partition: place, Logger: slog.New(slog.DiscardHandler),
			LongestPause: func() time.Duration { return 5 * time.Second },
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		follower.Run(ctx)
		is.True(log.Calls("newest") < 35) // 12 to 24 at 2.5 to 7.5 s each, and those before
	})
}
