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

// planner builds one plan.
type planner struct {
	snapshot   Snapshot
	parameters Parameters
	plan       Plan
	// busy are engines with an order under way or in the plan.
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
	models := p.byUrgency()
	for _, model := range models {
		p.keepMinimum(model)
	}
	for _, model := range models {
		p.followDemand(model)
		p.placeAdapters(model)
	}
	for _, model := range models {
		p.changeVersion(model)
		p.takeSurplus(model)
	}
	return p.plan
}

// byUrgency returns the models that the table asks to place, those with the
// most weighted demand on each replica first.
func (p *planner) byUrgency() []table.Model {
	var models []table.Model
	pressure := map[string]float64{}
	for _, model := range p.snapshot.Models {
		if model.MinReplicas > 0 {
			models = append(models, model)
			replicas := max(1, len(p.holders(subjectOf(model))))
			pressure[model.Name] = model.Weight * p.snapshot.ModelDemand[model.Name] / float64(replicas)
		}
	}
	slices.SortFunc(models, func(a, b table.Model) int {
		return cmp.Or(cmp.Compare(pressure[b.Name], pressure[a.Name]), cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	return models
}

// subject is a model or an adapter in the version of the table.
type subject struct {
	kind          backend.OrderKind
	name, version string
}

func subjectOf(model table.Model) subject {
	return subject{kind: backend.OrderLoadModel, name: model.Name, version: model.Version}
}

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

// holders are the counted engines that have s loaded, in whatever version.
func (p *planner) holders(s subject) []*Engine {
	return p.engines(func(engine *Engine) bool {
		_, loaded := s.on(engine)
		return engine.Available && loaded
	})
}

// coming counts the counted engines where s is on its way and not there yet,
// those of the plan included.
func (p *planner) coming(s subject) int {
	return len(p.engines(func(engine *Engine) bool {
		_, loaded := s.on(engine)
		return engine.Available && !loaded && (s.loadingOn(engine) || p.planned(s, engine))
	}))
}

// changing tells that a load of s is under way or planned anywhere.
func (p *planner) changing(s subject) bool {
	return len(p.engines(func(engine *Engine) bool {
		return engine.Available && (s.loadingOn(engine) || p.planned(s, engine))
	})) > 0
}

func (p *planner) planned(s subject, engine *Engine) bool {
	return slices.ContainsFunc(p.plan.Orders, func(order Order) bool {
		return order.Engine == engine.Name && order.Kind == s.kind && order.Subject == s.name
	})
}

func (p *planner) engines(fits func(*Engine) bool) []*Engine {
	var found []*Engine
	for i := range p.snapshot.Engines {
		if fits(&p.snapshot.Engines[i]) {
			found = append(found, &p.snapshot.Engines[i])
		}
	}
	return found
}

func (p *planner) full() bool { return len(p.busy) >= p.parameters.MaxInFlight }

func (p *planner) order(engine *Engine, s subject, format string, arguments ...any) {
	p.busy[engine.Name] = true
	p.plan.Orders = append(p.plan.Orders, Order{
		Engine: engine.Name, Kind: s.kind, Subject: s.name, Version: s.version,
		Reason: fmt.Sprintf(format, arguments...),
	})
}

// free tells that engine may get an order now.
func (p *planner) free(engine *Engine) bool {
	return engine.Schedulable && engine.Available && !p.busy[engine.Name]
}

// keepMinimum loads the model until min_replicas engines have it or will.
func (p *planner) keepMinimum(model table.Model) {
	s := subjectOf(model)
	for have := len(p.holders(s)) + p.coming(s); have < model.MinReplicas; have++ {
		if !p.load(s, nil, fmt.Sprintf("%d of min_replicas %d", have, model.MinReplicas)) {
			return
		}
	}
}

// followDemand loads the model on one engine more where the demand on each
// replica is high and the row states a range.
func (p *planner) followDemand(model table.Model) {
	s := subjectOf(model)
	demand := p.snapshot.ModelDemand[model.Name]
	have := len(p.holders(s)) + p.coming(s)
	if have < model.MinReplicas || have >= model.MaxReplicas || p.coming(s) > 0 {
		return
	}
	if demand > float64(have)*p.parameters.CallsPerReplica {
		p.load(s, nil, fmt.Sprintf("%.0f calls at once on %d replicas, max_replicas %d", demand, have, model.MaxReplicas))
	}
}

// placeAdapters loads the model's adapters on engines that have the model.
func (p *planner) placeAdapters(model table.Model) {
	onModel := p.holders(subjectOf(model))
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
		wanted := min(len(onModel), max(model.MinReplicas, byDemand))
		for have := p.useful(s, onModel); have < wanted; have++ {
			if !p.load(s, onModel, fmt.Sprintf("adapter on %d of %d engines with model %s", have, wanted, model.Name)) {
				break
			}
		}
		p.changeVersionOf(s)
	}
}

// useful counts the engines of on that have s or will.
func (p *planner) useful(s subject, on []*Engine) int {
	count := 0
	for _, engine := range on {
		if _, loaded := s.on(engine); loaded || s.loadingOn(engine) || p.planned(s, engine) {
			count++
		}
	}
	return count
}

// load orders s on the best engine of among, or of all where among is nil. It
// returns false where nothing more can be ordered now.
func (p *planner) load(s subject, among []*Engine, why string) bool {
	if p.full() {
		return false
	}
	lacking := func(engine *Engine) bool {
		_, loaded := s.on(engine)
		return engine.Available && !loaded && !s.loadingOn(engine) && (among == nil || slices.Contains(among, engine))
	}
	candidates := p.engines(func(engine *Engine) bool {
		return lacking(engine) && p.free(engine) && !engine.Refused[s.name]
	})
	if len(candidates) == 0 {
		p.plan.Shortfalls = append(p.plan.Shortfalls, fmt.Sprintf("%s: %s, and none of %d engines without it can take an order now",
			s.name, why, len(p.engines(lacking))))
		return false
	}
	zones := p.zones(s)
	best := slices.MinFunc(candidates, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(len(a.Models), len(b.Models)),
			cmp.Compare(a.Load, b.Load), cmp.Compare(a.CacheUsed, b.CacheUsed), cmp.Compare(a.Name, b.Name))
	})
	p.order(best, s, "%s; zone %s has %d", why, best.Zone, zones[best.Zone])
	return true
}

// zones counts the replicas of s in each zone, those on their way included.
func (p *planner) zones(s subject) map[identity.Zone]int {
	counts := map[identity.Zone]int{}
	for _, engine := range p.snapshot.Engines {
		if _, loaded := s.on(&engine); engine.Available && (loaded || s.loadingOn(&engine) || p.planned(s, &engine)) {
			counts[engine.Zone]++
		}
	}
	return counts
}

// changeVersion rolls a new version of the model, one engine at a time, once
// min_replicas engines have it in some version.
func (p *planner) changeVersion(model table.Model) {
	if s := subjectOf(model); len(p.holders(s)) >= model.MinReplicas {
		p.changeVersionOf(s)
	}
}

func (p *planner) changeVersionOf(s subject) {
	if p.full() || p.changing(s) {
		return
	}
	holders := p.holders(s)
	var old []*Engine
	for _, engine := range holders {
		if version, _ := s.on(engine); version != s.version && p.free(engine) && !engine.Refused[s.name] {
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
	p.order(next, s, "version %s replaces %s; %d other engines go on", s.version, version, len(holders)-1)
}

// takeSurplus unloads the model from one quiet engine while more than
// max_replicas engines have it.
func (p *planner) takeSurplus(model table.Model) {
	s := subjectOf(model)
	holders := p.holders(s)
	if model.MaxReplicas <= 0 || len(holders) <= max(1, model.MinReplicas, model.MaxReplicas) || p.full() || p.changing(s) {
		return
	}
	unload := subject{kind: backend.OrderUnloadModel, name: model.Name}
	quiet := slices.DeleteFunc(holders, func(engine *Engine) bool {
		return !p.free(engine) || engine.Load > 0 || engine.IdleFor < p.parameters.IdleBeforeUnload
	})
	unloading := len(p.engines(func(engine *Engine) bool { return unload.loadingOn(engine) })) > 0
	if len(quiet) == 0 || unloading {
		return
	}
	zones := p.zones(s)
	surplus := slices.MinFunc(quiet, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(zones[b.Zone], zones[a.Zone]), cmp.Compare(b.Name, a.Name))
	})
	p.order(surplus, unload, "more than max_replicas %d have it, and the engine has been quiet for %s", model.MaxReplicas, surplus.IdleFor)
}
