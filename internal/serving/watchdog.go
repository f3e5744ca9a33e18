package serving

import (
	"context"
	"errors"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/scheduling"
)

// errUnresponsive is why an attempt is given up at a back end that no longer
// answers anybody.
var errUnresponsive = errors.New("serving: the back end does not respond")

// watchdog gives an attempt up that makes no progress at a back end which the
// blackboard says is not well. Neither sign alone is enough: a stream may wait
// long at an engine that is busy, and an ejected engine may still finish it.
type watchdog struct {
	driver *driver
	cancel context.CancelCauseFunc
	mutex  sync.Mutex
	timer  *time.Timer
	// seen is the number of tokens at the last look, progress when it last grew.
	seen     int
	progress time.Time
}

// watchdogLooks is how often a watchdog looks within the time that counts as a
// stall, so that a stall is noticed little later than it is one.
const watchdogLooks = 5

// watch returns a context that ends when the attempt is given up. An attempt
// that must not be sent again is left to its answer or to the class's limit.
func (d *driver) watch(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	if !d.mayRunAgain() {
		return ctx, func() { cancel(nil) }
	}
	w := &watchdog{driver: d, cancel: cancel, seen: len(d.run.received()), progress: time.Now()}
	w.mutex.Lock()
	w.timer = time.AfterFunc(d.owner().config.Timing.Stall/watchdogLooks, w.check)
	w.mutex.Unlock()
	return ctx, func() {
		w.mutex.Lock()
		w.timer.Stop()
		w.mutex.Unlock()
		cancel(nil)
	}
}

func (w *watchdog) check() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	stall := w.driver.owner().config.Timing.Stall
	if received := len(w.driver.run.received()); received != w.seen {
		w.seen, w.progress = received, time.Now()
	}
	stalled := time.Since(w.progress) >= stall
	if stalled && w.driver.owner().unresponsive(w.driver.attempt.Backend, stall) {
		w.cancel(errUnresponsive)
		return
	}
	w.timer.Reset(stall / watchdogLooks)
}

// unresponsive tells that the blackboard has given the back end up: it is gone
// or ejected, or its last report is older than limit.
func (o *Owner) unresponsive(name string, limit time.Duration) bool {
	known, found := o.config.Board.Backends.Load(name)
	if !found || known.Health == scheduling.Ejected {
		return true
	}
	return !known.ReportedAt.IsZero() && time.Since(known.ReportedAt) > limit
}
