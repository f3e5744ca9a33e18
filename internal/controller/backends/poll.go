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
	// events asks for cache events from this number on.
	events    bool
	nextEvent uint64
}

// startPolls starts the polls that are due and returns how long to wait for the
// next one.
func (c *Controller) startPolls(ctx context.Context, polls *sync.WaitGroup) time.Duration {
	now := time.Now()
	wait := c.config.PollInterval
	var due []target
	c.mutex.Lock()
	for name, known := range c.watched {
		if known.polling || !known.polled && !known.inUse(now) {
			continue
		}
		if after := known.nextPoll.Sub(now); after > 0 {
			wait = min(wait, after)
			continue
		}
		known.polling = true
		due = append(due, target{
			name: name, machine: known.machine, nextEvent: known.nextEvent,
			events: known.machine.Role == siteservices.RoleEngine && c.cache.HasEntries(name),
		})
	}
	c.mutex.Unlock()
	for _, next := range due {
		polls.Go(func() { c.poll(ctx, next) })
	}
	return wait
}

// poll asks one back end for its load, once a slot is free.
func (c *Controller) poll(ctx context.Context, asked target) {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-c.slots }()
	requestContext, cancel := context.WithTimeout(ctx, c.config.PollTimeout)
	defer cancel()
	started := time.Now()
	report, err := c.load(requestContext, asked.machine)
	if ctx.Err() != nil {
		return
	}
	c.afterPoll(asked, report, err, time.Since(started))
	c.mutex.Lock()
	if known, found := c.watched[asked.name]; found {
		known.polling = false
	}
	c.mutex.Unlock()
	if err == nil && asked.events {
		c.readEvents(requestContext, asked)
	}
}

func (c *Controller) load(ctx context.Context, machine siteservices.Machine) (backend.LoadReport, error) {
	if machine.Role == siteservices.RoleApplication {
		return backend.LoadOf(ctx, c.config.Directory.Application(machine.Address))
	}
	return c.config.Directory.Engine(machine.Address).Load(ctx)
}

// afterPoll takes the outcome of a poll in.
func (c *Controller) afterPoll(asked target, report backend.LoadReport, err error, took time.Duration) {
	now := time.Now()
	reported := err == nil
	alive := reported || errors.Is(err, backend.ErrNoReport)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, found := c.watched[asked.name]
	if !found || known.machine.Address != asked.machine.Address {
		return // gone, or replaced meanwhile
	}
	before := known.health.at(now)
	known.health = known.health.afterPoll(alive)
	if alive {
		known.latency.add(took.Seconds() / 2)
	} else {
		c.metrics.pollFailures.WithLabelValues(asked.name).Inc()
	}
	known.nextPoll = now.Add(c.nextInterval(now, known))
	if reported {
		known.reported = now
		c.showReport(now, asked.name, report)
	}
	if reported && report.Draining {
		known.leaving.signed = now
	}
	c.publish(now, known)
	c.logHealth(known, before, known.health.at(now), err)
}

// showReport puts a report on the board; the rest is publish's.
func (c *Controller) showReport(now time.Time, name string, report backend.LoadReport) {
	c.config.Board.Backends.Update(name, func(shown blackboard.Backend, found bool) (blackboard.Backend, bool) {
		if !found || !report.AsOf.Before(shown.Report.AsOf) || now.Sub(shown.ReportedAt) > longestPollInterval {
			shown.Report, shown.ReportedAt = report, now
		}
		return shown, found
	})
}

// nextInterval is the time to the next poll, with jitter. It doubles with each
// failure after those that eject, so that many dead back ends cost little.
func (c *Controller) nextInterval(now time.Time, known *watched) time.Duration {
	interval := c.pace.idle
	if known.inUse(now) {
		interval = c.pace.used
	}
	rarest := max(longestPollInterval, interval)
	for range min(max(known.health.missed-failedPolls, 0), 8) {
		interval *= 2
	}
	return time.Duration(float64(min(interval, rarest)) * (1 + pollJitter*(2*c.config.Random()-1)))
}

func (c *Controller) logHealth(known *watched, before, after scheduling.Health, err error) {
	if before == after {
		return
	}
	c.config.Logger.Warn("back end health changed", "backend", known.machine.Name,
		"address", known.machine.Address, "from", healthName(before), "to", healthName(after), "error", err)
}

// readEvents corrects the cache map by the engine's events, and by its whole
// list where they have a gap.
func (c *Controller) readEvents(ctx context.Context, asked target) {
	client := c.config.Directory.Engine(asked.machine.Address)
	started := time.Now()
	events, err := client.CacheEvents(ctx, asked.nextEvent)
	if err != nil {
		return
	}
	c.cache.Apply(started, asked.name, events)
	if !c.takeEvents(started, asked, events) {
		return
	}
	c.metrics.resyncs.Inc()
	held, err := client.Held(ctx)
	if err == nil {
		c.cache.Replace(started, asked.name, held)
	}
}

// takeEvents notes the numbers of events and tells whether a gap asks for the
// engine's whole list now. A first look counts as a gap.
func (c *Controller) takeEvents(now time.Time, asked target, events []backend.CacheEvent) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, found := c.watched[asked.name]
	if !found || known.machine.Address != asked.machine.Address || len(events) == 0 {
		return false
	}
	gap := false
	for _, event := range events {
		gap = gap || event.Number != known.nextEvent
		known.nextEvent = event.Number + 1
	}
	if !gap || now.Sub(known.resynced) < resyncInterval {
		return false
	}
	known.resynced = now
	return true
}
