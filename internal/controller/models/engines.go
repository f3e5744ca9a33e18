package models

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/scheduling/modelplacement"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// engineState is the controller's state of one engine. It is guarded by the
// controller's mutex.
type engineState struct {
	address netip.AddrPort
	zone    identity.Zone
	service string
	leaving bool
	health  scheduling.Health
	// report is the newest report, from the board or requested by this controller;
	// reportedAt is zero before the first. requestedAt is when this controller last
	// requested one.
	report      backend.LoadReport
	reportedAt  time.Time
	requestedAt time.Time
	// lastHealthyAt is when the engine was last not ejected and had a fresh report,
	// lastCallAt when it last had a call.
	lastHealthyAt time.Time
	lastCallAt    time.Time
	// assumedModels and assumedAdapters are the versions of what the engine reports
	// without one: those in force when this node first saw it loaded, or those of
	// this node's orders.
	assumedModels   map[string]string
	assumedAdapters map[string]string
	// pending is this node's order until a report reflects it.
	pending *pendingOrder
	// fenceSentAt is when this node last attempted to raise the fence,
	// unansweredFences the number of failed attempts.
	fenceSentAt      time.Time
	unansweredFences int
	// refused maps the subjects that the engine refused to the time until which it
	// is excluded for them.
	refused map[string]time.Time
	// loadingSince maps subjects to when their load was first reported.
	loadingSince map[string]time.Time
}

func newEngineState(now time.Time) *engineState {
	return &engineState{
		lastCallAt:    now,
		assumedModels: map[string]string{}, assumedAdapters: map[string]string{},
		refused: map[string]time.Time{}, loadingSince: map[string]time.Time{},
	}
}

// hasFreshReport reports whether the last report is recent enough to be acted on.
func (e *engineState) hasFreshReport(now time.Time) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= reportTTL
}

// available reports whether the engine's replicas count towards min_replicas.
func (e *engineState) available(now time.Time) bool {
	return !e.leaving && !e.lastHealthyAt.IsZero() && now.Sub(e.lastHealthyAt) <= unreachableGrace
}

// schedulable reports whether the engine may receive orders.
func (e *engineState) schedulable(now time.Time) bool {
	return !e.leaving && e.health == scheduling.Healthy && e.hasFreshReport(now) && !e.refused[fenceSubject].After(now)
}

// syncEngines updates the engines' state from the board and returns their names by
// service.
func (c *Controller) syncEngines(now time.Time, published *table.Table) map[string][]string {
	board := c.config.Board.Backends.Clone()
	byService := map[string][]string{}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, seen := range board {
		if seen.Role != siteservices.RoleEngine {
			continue
		}
		state, known := c.engines[name]
		if !known || state.address != seen.Address {
			state = newEngineState(now)
			c.engines[name] = state
		}
		state.address, state.zone, state.service = seen.Address, seen.Zone, seen.Service
		state.leaving, state.health = seen.Leaving, seen.Health
		if seen.ReportedAt.After(state.reportedAt) {
			state.report, state.reportedAt = seen.Report, seen.ReportedAt
		}
		c.applyReport(now, state, published)
		byService[seen.Service] = append(byService[seen.Service], name)
	}
	for name := range c.engines {
		if _, found := board[name]; !found {
			delete(c.engines, name)
		}
	}
	for _, names := range byService {
		slices.Sort(names)
	}
	return byService
}

// applyReport updates an engine's derived state from its newest report. The caller
// holds mutex.
func (c *Controller) applyReport(now time.Time, state *engineState, published *table.Table) {
	if state.health != scheduling.Ejected && state.hasFreshReport(now) {
		state.lastHealthyAt = now
	}
	if state.report.Running+state.report.Waiting > 0 {
		state.lastCallAt = now
	}
	assumeVersions(state.assumedModels, state.report.Models, func(name string) string { return published.Models[name].Version })
	assumeVersions(state.assumedAdapters, state.report.Adapters, func(name string) string { return published.Adapters[name].Version })
	for _, order := range state.report.Loading {
		if _, known := state.loadingSince[order.Subject]; !known {
			state.loadingSince[order.Subject] = now
		}
	}
	for name, since := range state.loadingSince {
		if slices.ContainsFunc(state.report.Loading, func(order backend.Order) bool { return order.Subject == name }) {
			continue
		}
		delete(state.loadingSince, name)
		if slices.Contains(state.report.Models, name) || slices.Contains(state.report.Adapters, name) {
			c.loadTimes[name] = now.Sub(since)
		}
	}
	if state.pending != nil && state.pending.reflectedIn(now, state.report) {
		state.pending = nil
	}
}

// assumeVersions records the version in force for each newly loaded name and
// forgets names that are no longer loaded.
func assumeVersions(assumed map[string]string, loaded []string, inForce func(string) string) {
	for name := range assumed {
		if !slices.Contains(loaded, name) {
			delete(assumed, name)
		}
	}
	for _, name := range loaded {
		if _, known := assumed[name]; !known && inForce(name) != "" {
			assumed[name] = inForce(name)
		}
	}
}

// versions maps the loaded names to their versions. A reported version takes
// precedence over an assumed one.
func versions(loaded []string, reported, assumed map[string]string) map[string]string {
	all := make(map[string]string, len(loaded))
	for _, name := range loaded {
		all[name] = cmp.Or(reported[name], assumed[name])
	}
	return all
}

// snapshot returns the state of a service and whether it is complete. It is
// incomplete while some engine that is not leaving has a stale report and has not
// been queried within reportTTL; no plan may be made then.
func (c *Controller) snapshot(now time.Time, service string, rows rows, names []string) (modelplacement.Snapshot, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	demand := c.service(service).demand
	snapshot := modelplacement.Snapshot{
		Models: rows.models, Adapters: rows.adapters,
		ModelDemand: maps.Clone(demand.models), AdapterDemand: maps.Clone(demand.adapters),
	}
	complete := true
	for _, name := range names {
		state := c.engines[name]
		if !state.leaving && !state.hasFreshReport(now) && now.Sub(state.requestedAt) > reportTTL {
			complete = false
		}
		snapshot.Engines = append(snapshot.Engines, state.toSnapshot(now, name))
	}
	return snapshot, complete
}

func (e *engineState) toSnapshot(now time.Time, name string) modelplacement.Engine {
	report := e.report
	loading := slices.Clone(report.Loading)
	if e.pending != nil && !slices.Contains(loading, e.pending.order) {
		loading = append(loading, e.pending.order)
	}
	refused := map[string]bool{}
	for subject, until := range e.refused {
		refused[subject] = until.After(now)
	}
	described := modelplacement.Engine{
		Name: name, Zone: e.zone, Schedulable: e.schedulable(now), Available: e.available(now),
		Models:   versions(report.Models, report.ModelVersions, e.assumedModels),
		Adapters: versions(report.Adapters, report.AdapterVersions, e.assumedAdapters),
		Loading:  loading, Load: report.Running + report.Waiting, IdleFor: now.Sub(e.lastCallAt), Refused: refused,
	}
	if report.CacheCapacityTokens > 0 {
		described.CacheUsed = float64(report.CacheUsedTokens) / float64(report.CacheCapacityTokens)
	}
	return described
}

// refreshReports requests reports from engines whose newest one is stale, as in a
// large fleet of which this node polls only a share. The least recently queried
// engines come first.
func (c *Controller) refreshReports(ctx context.Context, now time.Time, published *table.Table, names []string) {
	c.mutex.Lock()
	var stale []string
	for _, name := range names {
		state := c.engines[name]
		if !state.leaving && now.Sub(state.reportedAt) > refreshAfter && now.Sub(state.requestedAt) > refreshAfter {
			stale = append(stale, name)
		}
	}
	slices.SortFunc(stale, func(a, b string) int {
		return cmp.Or(c.engines[a].requestedAt.Compare(c.engines[b].requestedAt), cmp.Compare(a, b))
	})
	stale = stale[:min(len(stale), maxRefreshes)]
	for _, name := range stale {
		c.engines[name].requestedAt = now
	}
	c.mutex.Unlock()
	c.forEach(stale, func(name string) {
		engine, known := c.client(name)
		if !known {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		report, err := engine.Load(ctx)
		if err != nil {
			return // the engine becomes unavailable after unreachableGrace
		}
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if state := c.engines[name]; state != nil {
			state.report, state.reportedAt = report, time.Now()
			c.applyReport(state.reportedAt, state, published)
		}
	})
}

// forEach runs work for all names with bounded concurrency.
func (c *Controller) forEach(names []string, work func(name string)) {
	slots := make(chan struct{}, maxConcurrentRequests)
	var group sync.WaitGroup
	for _, name := range names {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			work(name)
		})
	}
	group.Wait()
}
