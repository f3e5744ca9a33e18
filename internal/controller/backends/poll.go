package backends

import (
	"context"
	"errors"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/siteservices"
)

// target is one back end to poll.
type target struct {
	name    string
	machine siteservices.Machine
	// events requests the cache events from nextEvent on.
	events    bool
	nextEvent uint64
}

// startPolls starts the polls that are due and returns the time until the next
// one.
func (c *Controller) startPolls(ctx context.Context, polls *sync.WaitGroup) time.Duration {
	now := time.Now()
	wait := c.config.PollInterval
	var due []target
	c.mutex.Lock()
	for name, state := range c.states {
		if state.polling || !state.inShare && !state.inUse(now) {
			continue
		}
		if after := state.nextPoll.Sub(now); after > 0 {
			wait = min(wait, after)
			continue
		}
		state.polling = true
		due = append(due, target{
			name: name, machine: state.machine, nextEvent: state.nextEvent,
			events: state.machine.Role == siteservices.RoleEngine && c.cache.HasEntries(name),
		})
	}
	c.mutex.Unlock()
	for _, next := range due {
		polls.Go(func() { c.poll(ctx, next) })
	}
	return wait
}

// poll requests the load report of one back end, once a slot is free, and the
// cache events if they are needed.
func (c *Controller) poll(ctx context.Context, polled target) {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-c.slots }()
	requestContext, cancel := context.WithTimeout(ctx, c.config.PollTimeout)
	defer cancel()
	started := time.Now()
	report, err := c.load(requestContext, polled.machine)
	if ctx.Err() != nil {
		return
	}
	c.afterPoll(polled, report, err, time.Since(started))
	c.mutex.Lock()
	if state, found := c.states[polled.name]; found {
		state.polling = false
	}
	c.mutex.Unlock()
	if err == nil && polled.events {
		c.readEvents(requestContext, polled)
	}
}

func (c *Controller) load(ctx context.Context, machine siteservices.Machine) (backend.LoadReport, error) {
	if machine.Role == siteservices.RoleApplication {
		return backend.LoadOf(ctx, c.config.Directory.Application(machine.Address))
	}
	return c.config.Directory.Engine(machine.Address).Load(ctx)
}

// afterPoll records the outcome of a poll. A back end that does not support
// reports counts as alive.
func (c *Controller) afterPoll(polled target, report backend.LoadReport, err error, took time.Duration) {
	now := time.Now()
	reported := err == nil
	alive := reported || errors.Is(err, backend.ErrNoReport)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, found := c.states[polled.name]
	if !found || state.machine.Address != polled.machine.Address {
		return // removed or replaced in the meantime
	}
	before := state.health.at(now)
	state.health = state.health.afterPoll(alive)
	if alive {
		state.latency.add(took.Seconds() / 2)
	} else {
		c.metrics.pollFailures.WithLabelValues(polled.name).Inc()
	}
	state.nextPoll = now.Add(c.nextInterval(now, state))
	if reported {
		state.lastReport = now
		c.publishReport(now, polled.name, report)
	}
	if reported && report.Draining {
		state.leaving.signalledAt = now
	}
	c.publish(now, state)
	c.logHealth(state, before, state.health.at(now), err)
}

// publishReport writes a report to the board unless the board has a newer one.
// publish writes the other fields.
func (c *Controller) publishReport(now time.Time, name string, report backend.LoadReport) {
	c.config.Board.Backends.Update(name, func(shown blackboard.Backend, found bool) (blackboard.Backend, bool) {
		if !found || !report.AsOf.Before(shown.Report.AsOf) || now.Sub(shown.ReportedAt) > maxPollInterval {
			shown.Report, shown.ReportedAt = report, now
		}
		return shown, found
	})
}

// nextInterval returns the time to the next poll, with jitter. It doubles with
// each failure after failedPollsToEject, which limits the cost of polling many
// failed back ends.
func (c *Controller) nextInterval(now time.Time, state *backendState) time.Duration {
	interval := c.intervals.idle
	if state.inUse(now) {
		interval = c.intervals.active
	}
	longest := max(maxPollInterval, interval)
	for range min(max(state.health.failedPolls-failedPollsToEject, 0), 8) {
		interval *= 2
	}
	return time.Duration(float64(min(interval, longest)) * (1 + pollJitter*(2*c.config.Random()-1)))
}

func (c *Controller) logHealth(state *backendState, before, after scheduling.Health, err error) {
	if before == after {
		return
	}
	c.config.Logger.Warn("back end health changed", "backend", state.machine.Name,
		"address", state.machine.Address, "from", healthName(before), "to", healthName(after), "error", err)
}

// readEvents corrects the cache map by the engine's events, and by a listing of its
// cache if the events have a gap.
func (c *Controller) readEvents(ctx context.Context, polled target) {
	client := c.config.Directory.Engine(polled.machine.Address)
	started := time.Now()
	events, err := client.CacheEvents(ctx, polled.nextEvent)
	if err != nil {
		return
	}
	c.cache.Apply(started, polled.name, events)
	if !c.recordEvents(started, polled, events) {
		return
	}
	c.metrics.resyncs.Inc()
	held, err := client.CachedPrefixes(ctx)
	if err == nil {
		c.cache.Replace(started, polled.name, held)
	}
}

// recordEvents records the numbers of events and reports whether the engine's cache
// must be listed because of a gap. The first events count as a gap.
func (c *Controller) recordEvents(now time.Time, polled target, events []backend.CacheEvent) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, found := c.states[polled.name]
	if !found || state.machine.Address != polled.machine.Address || len(events) == 0 {
		return false
	}
	gap := false
	for _, event := range events {
		gap = gap || event.Number != state.nextEvent
		state.nextEvent = event.Number + 1
	}
	if !gap || now.Sub(state.lastResync) < resyncInterval {
		return false
	}
	state.lastResync = now
	return true
}
