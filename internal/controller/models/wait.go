package models

import (
	"maps"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/backend"
)

// Waits told to callers whose model is nowhere loaded.
const (
	// firstLoadTime stands for the load time of what this node never saw loading.
	firstLoadTime = 30 * time.Second
	// decideTime is from the need of a load to its begin, with fences and reports;
	// shortestWait is told where a load is overdue.
	decideTime   = 5 * time.Second
	shortestWait = 2 * time.Second
	longestWait  = 2 * time.Minute
)

// ExpectedWait returns how long it takes until some engine has model, and adapter
// unless empty, as far as this node knows. It is false where an engine has both,
// where the table does not ask for them and where no engine is there to load them.
func (c *Controller) ExpectedWait(model, adapter string) (time.Duration, bool) {
	published := c.config.Board.Table.Load()
	if published == nil || published.Models[model].MinReplicas == 0 {
		return 0, false
	}
	_, placed := published.Adapters[adapter]
	if adapter != "" && !placed {
		return 0, false
	}
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var engines []*engineState
	for _, state := range c.engines {
		if state.service == published.Models[model].Service && state.counted(now) {
			engines = append(engines, state)
		}
	}
	if len(engines) == 0 {
		return 0, false
	}
	wait := c.waitFor(now, engines, model, backend.OrderLoadModel, func(report backend.LoadReport) bool {
		return slices.Contains(report.Models, model)
	})
	if adapter != "" {
		wait += c.waitFor(now, engines, adapter, backend.OrderLoadAdapter, func(report backend.LoadReport) bool {
			return slices.Contains(report.Adapters, adapter) && slices.Contains(report.Models, model)
		})
	}
	return min(wait, longestWait), wait > 0
}

// waitFor returns 0 where one of engines has the subject.
func (c *Controller) waitFor(now time.Time, engines []*engineState, name string, kind backend.OrderKind, has func(backend.LoadReport) bool) time.Duration {
	expected, known := c.loadTimes[name]
	if !known {
		expected = firstLoadTime
	}
	wait := expected + decideTime
	for _, state := range engines {
		if has(state.report) {
			return 0
		}
		loading := slices.ContainsFunc(state.report.Loading, func(order backend.Order) bool {
			return order.Kind == kind && order.Subject == name
		})
		if since, seen := state.loadingSince[name]; loading && seen {
			wait = min(wait, max(shortestWait, expected-now.Sub(since)))
		}
	}
	return wait
}

// Status returns what this node knows and does about each service, by name.
func (c *Controller) Status() []Status {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []Status
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		status := c.services[name].status
		status.Shortfalls = slices.Clone(status.Shortfalls)
		all = append(all, status)
	}
	return all
}
