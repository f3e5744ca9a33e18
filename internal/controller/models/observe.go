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

// engineState is what the controller remembers of one engine, guarded by the
// controller's mutex.
type engineState struct {
	address netip.AddrPort
	zone    identity.Zone
	service string
	leaving bool
	health  scheduling.Health
	// report is the newest, of the board or asked for; reportedAt is zero before
	// the first.
	report     backend.LoadReport
	reportedAt time.Time
	askedAt    time.Time
	// soundAt is when the engine was last healthy with a fresh report, busyAt when
	// it last had a call.
	soundAt time.Time
	busyAt  time.Time
	// assumed are the versions of what the engine reports without one: those in
	// force when this node first saw it, or those of its own orders.
	assumedModels   map[string]string
	assumedAdapters map[string]string
	// pending is this node's order until a report shows it.
	pending *pendingOrder
	// fencedAt is when this node last tried to raise the fence, fenceFailures how
	// many tries had no answer.
	fencedAt      time.Time
	fenceFailures int
	// refused are the subjects that the engine refused, with when to try again.
	refused map[string]time.Time
	// loadingSince is when a subject's load was first reported.
	loadingSince map[string]time.Time
}

func newEngineState(now time.Time) *engineState {
	return &engineState{
		busyAt:        now,
		assumedModels: map[string]string{}, assumedAdapters: map[string]string{},
		refused: map[string]time.Time{}, loadingSince: map[string]time.Time{},
	}
}

// fresh tells that the report can be acted on.
func (e *engineState) fresh(now time.Time) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= freshFor
}

// counted tells that the engine's replicas count.
func (e *engineState) counted(now time.Time) bool {
	return !e.leaving && !e.soundAt.IsZero() && now.Sub(e.soundAt) <= awayGrace
}

func (e *engineState) usable(now time.Time) bool {
	return !e.leaving && e.health == scheduling.Healthy && e.fresh(now) && !e.refused[fenceSubject].After(now)
}

// observe takes in the board's engines and returns their names by service.
func (c *Controller) observe(now time.Time, published *table.Table) map[string][]string {
	board := c.config.Board.Backends.Copy()
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
		c.takeReport(now, state, published)
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

// takeReport draws from an engine's newest report what has to be remembered.
func (c *Controller) takeReport(now time.Time, state *engineState, published *table.Table) {
	if state.health != scheduling.Ejected && state.fresh(now) {
		state.soundAt = now
	}
	if state.report.Running+state.report.Waiting > 0 {
		state.busyAt = now
	}
	assume(state.assumedModels, state.report.Models, func(name string) string { return published.Models[name].Version })
	assume(state.assumedAdapters, state.report.Adapters, func(name string) string { return published.Adapters[name].Version })
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
	if state.pending != nil && state.pending.settled(now, state.report) {
		state.pending = nil
	}
}

// assume gives what is loaded without a known version the one in force, once.
func assume(assumed map[string]string, loaded []string, inForce func(string) string) {
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

// versions joins names with their versions, reported before assumed.
func versions(loaded []string, reported, assumed map[string]string) map[string]string {
	all := make(map[string]string, len(loaded))
	for _, name := range loaded {
		all[name] = cmp.Or(reported[name], assumed[name])
	}
	return all
}

// snapshot describes a service. It is not settled while an engine that stays has
// neither reported nor failed to answer lately: nothing may be decided then.
func (c *Controller) snapshot(now time.Time, service string, rows rows, names []string) (modelplacement.Snapshot, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	demand := c.service(service).demand
	snapshot := modelplacement.Snapshot{
		Models: rows.models, Adapters: rows.adapters,
		ModelDemand: maps.Clone(demand.models), AdapterDemand: maps.Clone(demand.adapters),
	}
	settled := true
	for _, name := range names {
		state := c.engines[name]
		if !state.leaving && !state.fresh(now) && now.Sub(state.askedAt) > freshFor {
			settled = false
		}
		snapshot.Engines = append(snapshot.Engines, state.describe(now, name))
	}
	return snapshot, settled
}

func (e *engineState) describe(now time.Time, name string) modelplacement.Engine {
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
		Name: name, Zone: e.zone, Schedulable: e.usable(now), Available: e.counted(now),
		Models:   versions(report.Models, report.ModelVersions, e.assumedModels),
		Adapters: versions(report.Adapters, report.AdapterVersions, e.assumedAdapters),
		Loading:  loading, Load: report.Running + report.Waiting, IdleFor: now.Sub(e.busyAt), Refused: refused,
	}
	if report.CacheCapacityTokens > 0 {
		described.CacheUsed = float64(report.CacheUsedTokens) / float64(report.CacheCapacityTokens)
	}
	return described
}

// refresh asks engines for a report whose newest one is old, as in a fleet of
// which this node polls a share, the oldest first.
func (c *Controller) refresh(ctx context.Context, now time.Time, published *table.Table, names []string) {
	c.mutex.Lock()
	var stale []string
	for _, name := range names {
		state := c.engines[name]
		if !state.leaving && now.Sub(state.reportedAt) > refreshAfter && now.Sub(state.askedAt) > refreshAfter {
			stale = append(stale, name)
		}
	}
	slices.SortFunc(stale, func(a, b string) int {
		return cmp.Or(c.engines[a].askedAt.Compare(c.engines[b].askedAt), cmp.Compare(a, b))
	})
	stale = stale[:min(len(stale), refreshesPerLook)]
	for _, name := range stale {
		c.engines[name].askedAt = now
	}
	c.mutex.Unlock()
	c.each(stale, func(name string) {
		engine, known := c.client(name)
		if !known {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		report, err := engine.Load(ctx)
		if err != nil {
			return // the engine counts as away after awayGrace
		}
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if state := c.engines[name]; state != nil {
			state.report, state.reportedAt = report, time.Now()
			c.takeReport(state.reportedAt, state, published)
		}
	})
}

// each runs work for all names, a bounded number at once.
func (c *Controller) each(names []string, work func(name string)) {
	places := make(chan struct{}, requestsAtOnce)
	var group sync.WaitGroup
	for _, name := range names {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			work(name)
		})
	}
	group.Wait()
}
