package models

import (
	"maps"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/backend"
)

// Parameters of the waits that are returned to callers whose model is not loaded.
const (
	// defaultLoadTime is assumed for models and adapters whose loading this node
	// has not observed.
	defaultLoadTime = 30 * time.Second
	// schedulingDelay is the expected time until a required load begins, including
	// fences and reports. minWait is returned if a load is overdue.
	schedulingDelay = 5 * time.Second
	minWait         = 2 * time.Second
	maxWait         = 2 * time.Minute
)

// ExpectedWait returns the estimated time until some engine has model loaded, and
// adapter unless empty. It returns false if an engine has both, if the table does
// not require them to be loaded, or if no engine is available to load them.
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
		if state.service == published.Models[model].Service && state.available(now) {
			engines = append(engines, state)
		}
	}
	if len(engines) == 0 {
		return 0, false
	}
	wait := c.loadWait(now, engines, model, backend.OrderLoadModel, func(report backend.LoadReport) bool {
		return slices.Contains(report.Models, model)
	})
	if adapter != "" {
		wait += c.loadWait(now, engines, adapter, backend.OrderLoadAdapter, func(report backend.LoadReport) bool {
			return slices.Contains(report.Adapters, adapter) && slices.Contains(report.Models, model)
		})
	}
	return min(wait, maxWait), wait > 0
}

// loadWait returns the estimated time until one of engines has loaded name, 0 if
// one has.
func (c *Controller) loadWait(now time.Time, engines []*engineState, name string, kind backend.OrderKind, has func(backend.LoadReport) bool) time.Duration {
	expected, known := c.loadTimes[name]
	if !known {
		expected = defaultLoadTime
	}
	wait := expected + schedulingDelay
	for _, state := range engines {
		if has(state.report) {
			return 0
		}
		loading := slices.ContainsFunc(state.report.Loading, func(order backend.Order) bool {
			return order.Kind == kind && order.Subject == name
		})
		if since, seen := state.loadingSince[name]; loading && seen {
			wait = min(wait, max(minWait, expected-now.Sub(since)))
		}
	}
	return wait
}

// Status returns the state of each service, sorted by name.
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
