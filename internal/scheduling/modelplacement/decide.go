package modelplacement

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

// planner builds one plan from one snapshot.
type planner struct {
	snapshot   Snapshot
	parameters Parameters
	plan       Plan
	// busy contains the engines with an order in progress or in the plan.
	busy map[string]bool
}

// Decide returns the plan for one snapshot.
func Decide(snapshot Snapshot, parameters Parameters) Plan {
	p := &planner{snapshot: snapshot, parameters: parameters, busy: map[string]bool{}}
	p.snapshot.Engines = slices.Clone(snapshot.Engines)
	slices.SortFunc(p.snapshot.Engines, func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	for _, engine := range p.snapshot.Engines {
		if len(engine.Loading) > 0 && engine.Available {
			p.busy[engine.Name] = true
		}
	}
	models := p.byPressure()
	for _, model := range models {
		p.ensureMinReplicas(model)
	}
	for _, model := range models {
		p.scaleWithDemand(model)
		p.placeAdapters(model)
	}
	for _, model := range models {
		p.rollVersion(model)
		p.unloadSurplus(model)
	}
	return p.plan
}

// byPressure returns the models with min_replicas above 0, sorted by weighted
// demand per replica in descending order.
func (p *planner) byPressure() []table.Model {
	var models []table.Model
	pressure := map[string]float64{}
	for _, model := range p.snapshot.Models {
		if model.MinReplicas > 0 {
			models = append(models, model)
			replicas := max(1, len(p.loaded(subjectOf(model))))
			pressure[model.Name] = model.Weight * p.snapshot.ModelDemand[model.Name] / float64(replicas)
		}
	}
	slices.SortFunc(models, func(a, b table.Model) int {
		return cmp.Or(cmp.Compare(pressure[b.Name], pressure[a.Name]), cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// subject is a model or an adapter at the version that the table requires.
type subject struct {
	kind          backend.OrderKind
	name, version string
}

func subjectOf(model table.Model) subject {
	return subject{kind: backend.OrderLoadModel, name: model.Name, version: model.Version}
}

// on returns the version of s that engine has loaded.
func (s subject) on(engine *Engine) (version string, loaded bool) {
	if s.kind == backend.OrderLoadAdapter {
		version, loaded = engine.Adapters[s.name]
	} else {
		version, loaded = engine.Models[s.name]
	}
	return version, loaded
}

func (s subject) loadingOn(engine *Engine) bool {
	return slices.ContainsFunc(engine.Loading, func(order backend.Order) bool {
		return order.Kind == s.kind && order.Subject == s.name
	})
}

// loaded returns the available engines that have s loaded, in any version.
func (p *planner) loaded(s subject) []*Engine {
	return p.engines(func(engine *Engine) bool {
		_, loaded := s.on(engine)
		return engine.Available && loaded
	})
}

// loading counts the available engines that do not have s yet and on which a
// load of s is in progress or planned.
func (p *planner) loading(s subject) int {
	return len(p.engines(func(engine *Engine) bool {
		_, loaded := s.on(engine)
		return engine.Available && !loaded && (s.loadingOn(engine) || p.planned(s, engine))
	}))
}

// loadInProgress reports whether a load of s is in progress or planned on any
// available engine.
func (p *planner) loadInProgress(s subject) bool {
	return len(p.engines(func(engine *Engine) bool {
		return engine.Available && (s.loadingOn(engine) || p.planned(s, engine))
	})) > 0
}

func (p *planner) planned(s subject, engine *Engine) bool {
	return slices.ContainsFunc(p.plan.Orders, func(order Order) bool {
		return order.Engine == engine.Name && order.Kind == s.kind && order.Subject == s.name
	})
}

func (p *planner) engines(matches func(*Engine) bool) []*Engine {
	var found []*Engine
	for i := range p.snapshot.Engines {
		if matches(&p.snapshot.Engines[i]) {
			found = append(found, &p.snapshot.Engines[i])
		}
	}
	return found
}

func (p *planner) atOrderLimit() bool { return len(p.busy) >= p.parameters.MaxInFlight }

func (p *planner) addOrder(engine *Engine, s subject, format string, arguments ...any) {
	p.busy[engine.Name] = true
	p.plan.Orders = append(p.plan.Orders, Order{
		Engine: engine.Name, Kind: s.kind, Subject: s.name, Version: s.version,
		Reason: fmt.Sprintf(format, arguments...),
	})
}

// assignable reports whether engine may receive an order now.
func (p *planner) assignable(engine *Engine) bool {
	return engine.Schedulable && engine.Available && !p.busy[engine.Name]
}

// ensureMinReplicas orders loads until min_replicas engines have the model or
// are loading it.
func (p *planner) ensureMinReplicas(model table.Model) {
	s := subjectOf(model)
	for have := len(p.loaded(s)) + p.loading(s); have < model.MinReplicas; have++ {
		if !p.load(s, nil, fmt.Sprintf("%d of min_replicas %d", have, model.MinReplicas)) {
			return
		}
	}
}

// scaleWithDemand loads the model on one more engine if the demand per replica
// exceeds CallsPerReplica and max_replicas allows it. It adds one replica at a
// time.
func (p *planner) scaleWithDemand(model table.Model) {
	s := subjectOf(model)
	demand := p.snapshot.ModelDemand[model.Name]
	have := len(p.loaded(s)) + p.loading(s)
	if have < model.MinReplicas || have >= model.MaxReplicas || p.loading(s) > 0 {
		return
	}
	if demand > float64(have)*p.parameters.CallsPerReplica {
		p.load(s, nil, fmt.Sprintf("%.0f calls at once on %d replicas, max_replicas %d", demand, have, model.MaxReplicas))
	}
}

// placeAdapters loads the model's adapters on engines that have the model, the
// adapters with the highest weighted demand first.
func (p *planner) placeAdapters(model table.Model) {
	withModel := p.loaded(subjectOf(model))
	adapters := slices.Clone(p.snapshot.Adapters)
	slices.SortFunc(adapters, func(a, b table.Adapter) int {
		return cmp.Or(cmp.Compare(b.Weight*p.snapshot.AdapterDemand[b.Name], a.Weight*p.snapshot.AdapterDemand[a.Name]),
			cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	for _, adapter := range adapters {
		if adapter.Model != model.Name {
			continue
		}
		s := subject{kind: backend.OrderLoadAdapter, name: adapter.Name, version: adapter.Version}
		byDemand := int(math.Ceil(p.snapshot.AdapterDemand[adapter.Name] / p.parameters.CallsPerReplica))
		wanted := min(len(withModel), max(model.MinReplicas, byDemand))
		for have := p.countLoadedOrLoading(s, withModel); have < wanted; have++ {
			if !p.load(s, withModel, fmt.Sprintf("adapter on %d of %d engines with model %s", have, wanted, model.Name)) {
				break
			}
		}
		p.rollVersionOf(s)
	}
}

// countLoadedOrLoading counts the engines of on that have s or are loading it.
func (p *planner) countLoadedOrLoading(s subject, on []*Engine) int {
	count := 0
	for _, engine := range on {
		if _, loaded := s.on(engine); loaded || s.loadingOn(engine) || p.planned(s, engine) {
			count++
		}
	}
	return count
}

// load orders a load of s on the best engine of among, or of all engines if
// among is nil. It returns false if no further order can be given now, and
// records a shortfall if no engine can take it.
func (p *planner) load(s subject, among []*Engine, why string) bool {
	if p.atOrderLimit() {
		return false
	}
	withoutSubject := func(engine *Engine) bool {
		_, loaded := s.on(engine)
		return engine.Available && !loaded && !s.loadingOn(engine) && (among == nil || slices.Contains(among, engine))
	}
	candidates := p.engines(func(engine *Engine) bool {
		return withoutSubject(engine) && p.assignable(engine) && !engine.Refused[s.name]
	})
	if len(candidates) == 0 {
		p.plan.Shortfalls = append(p.plan.Shortfalls, fmt.Sprintf("%s: %s, and none of %d engines without it can take an order now",
			s.name, why, len(p.engines(withoutSubject))))
		return false
	}
	zones := p.replicasByZone(s)
	best := slices.MinFunc(candidates, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(len(a.Models), len(b.Models)),
			cmp.Compare(a.Load, b.Load), cmp.Compare(a.CacheUsed, b.CacheUsed), cmp.Compare(a.Name, b.Name))
	})
	p.addOrder(best, s, "%s; zone %s has %d", why, best.Zone, zones[best.Zone])
	return true
}

// replicasByZone counts the replicas of s in each zone, including those being
// loaded.
func (p *planner) replicasByZone(s subject) map[identity.Zone]int {
	counts := map[identity.Zone]int{}
	for _, engine := range p.snapshot.Engines {
		if _, loaded := s.on(&engine); engine.Available && (loaded || s.loadingOn(&engine) || p.planned(s, &engine)) {
			counts[engine.Zone]++
		}
	}
	return counts
}

// rollVersion updates the model to the table's version, one engine at a time,
// once min_replicas engines have it in any version.
func (p *planner) rollVersion(model table.Model) {
	if s := subjectOf(model); len(p.loaded(s)) >= model.MinReplicas {
		p.rollVersionOf(s)
	}
}

// rollVersionOf orders a load of the table's version on the least loaded engine
// that has another version, unless a load of s is already in progress.
func (p *planner) rollVersionOf(s subject) {
	if p.atOrderLimit() || p.loadInProgress(s) {
		return
	}
	holders := p.loaded(s)
	var old []*Engine
	for _, engine := range holders {
		if version, _ := s.on(engine); version != s.version && p.assignable(engine) && !engine.Refused[s.name] {
			old = append(old, engine)
		}
	}
	if len(old) == 0 {
		return
	}
	next := slices.MinFunc(old, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Name, b.Name))
	})
	version, _ := s.on(next)
	p.addOrder(next, s, "version %s replaces %s; %d other engines go on", s.version, version, len(holders)-1)
}

// unloadSurplus unloads the model from one idle engine while more than
// max_replicas engines have it.
func (p *planner) unloadSurplus(model table.Model) {
	s := subjectOf(model)
	holders := p.loaded(s)
	if model.MaxReplicas <= 0 || len(holders) <= max(1, model.MinReplicas, model.MaxReplicas) || p.atOrderLimit() || p.loadInProgress(s) {
		return
	}
	unload := subject{kind: backend.OrderUnloadModel, name: model.Name}
	idle := slices.DeleteFunc(holders, func(engine *Engine) bool {
		return !p.assignable(engine) || engine.Load > 0 || engine.IdleFor < p.parameters.IdleBeforeUnload
	})
	unloading := len(p.engines(func(engine *Engine) bool { return unload.loadingOn(engine) })) > 0
	if len(idle) == 0 || unloading {
		return
	}
	zones := p.replicasByZone(s)
	surplus := slices.MinFunc(idle, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(zones[b.Zone], zones[a.Zone]), cmp.Compare(b.Name, a.Name))
	})
	p.addOrder(surplus, unload, "more than max_replicas %d have it, and the engine has been quiet for %s", model.MaxReplicas, surplus.IdleFor)
}
