package serving

import (
	"context"
	"errors"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/scheduling"
)

// errUnresponsive is the cause of abandoning an attempt at an unresponsive back end.
var errUnresponsive = errors.New("serving: the back end does not respond")

// watchdog abandons an attempt that makes no progress at a back end that the blackboard
// shows as unhealthy. Either condition alone is insufficient: a stream may wait long at a
// busy engine, and an ejected engine may still finish it.
type watchdog struct {
	driver *driver
	cancel context.CancelCauseFunc
	mutex  sync.Mutex
	timer  *time.Timer
	// seenTokens is the number of tokens at the last check, progress when it last
	// changed.
	seenTokens int
	progress   time.Time
}

// watchdogChecksPerStall is the number of checks per stall timeout, which limits the
// delay in detecting a stall.
const watchdogChecksPerStall = 5

// watch returns a context that ends when the attempt is abandoned. An attempt that must
// not be repeated is never abandoned before the time limit of its class.
func (d *driver) watch(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	if !d.mayRetry() {
		return ctx, func() { cancel(nil) }
	}
	w := &watchdog{driver: d, cancel: cancel, seenTokens: len(d.run.received()), progress: time.Now()}
	w.mutex.Lock()
	w.timer = time.AfterFunc(d.owner().config.Timing.StallTimeout/watchdogChecksPerStall, w.check)
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
	stall := w.driver.owner().config.Timing.StallTimeout
	if received := len(w.driver.run.received()); received != w.seenTokens {
		w.seenTokens, w.progress = received, time.Now()
	}
	stalled := time.Since(w.progress) >= stall
	if stalled && w.driver.owner().unresponsive(w.driver.attempt.Backend, stall) {
		w.cancel(errUnresponsive)
		return
	}
	w.timer.Reset(stall / watchdogChecksPerStall)
}

// unresponsive reports whether the back end is missing from the blackboard, ejected, or
// has not reported for longer than limit.
func (o *Owner) unresponsive(name string, limit time.Duration) bool {
	known, found := o.config.Board.Backends.Load(name)
	if !found || known.Health == scheduling.Ejected {
		return true
	}
	return !known.ReportedAt.IsZero() && time.Since(known.ReportedAt) > limit
}
