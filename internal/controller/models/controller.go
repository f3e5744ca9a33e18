// Package models keeps models and adapters on the engines as the table says. One
// node acts for a service at a time: the owner of the service's shard.
//
// Invariants:
//   - An order carries a fence of (epoch of the shard, counter of this node), so
//     that a later owner's orders are always above an earlier one's.
//   - Before its first order an owner raises the fence at every usable engine of
//     the service and waits until their reports show it. From then on an order of
//     a former owner is refused by each of them, and what the reports show as
//     loaded and under way is all that there is.
//   - Lease and epoch are checked right before each order and each repeat of one. An
//     order whose answer was lost is repeated with the same fence, which an engine
//     takes as the same order.
package models

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/scheduling/modelplacement"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// Timing of the controller; none of it has to be exact.
const (
	// interval is the time between two looks.
	interval = time.Second
	// freshFor is how old a report may be to act on it; refreshAfter is when the
	// acting node asks for one itself.
	freshFor     = 15 * time.Second
	refreshAfter = 5 * time.Second
	// awayGrace is how long an engine that is ejected or silent still counts, so
	// that a hiccup does not load a model elsewhere.
	awayGrace = 10 * time.Second
	// orderRetry is the pause before an order without an answer is repeated, and
	// orderLimit how long it is.
	orderRetry = time.Second
	orderLimit = 5 * time.Minute
	// refusedFor is how long an engine that refused a load is passed over.
	refusedFor = 2 * time.Minute
	// reportLimit is how long a done order waits to show in a report.
	reportLimit = 30 * time.Second
	// fenceRetry is the time between two tries to raise an engine's fence; after
	// fenceTries without an answer the engine is passed over for refusedFor.
	// requestTimeout bounds one such try and one request for a report.
	fenceRetry     = 3 * time.Second
	fenceTries     = 3
	requestTimeout = 2 * time.Second
	// weightRetry bounds the pause before the weight store is asked again.
	weightRetry = 15 * time.Second
	// requestsAtOnce and refreshesPerLook bound fences and requests for reports.
	requestsAtOnce   = 16
	refreshesPerLook = 64
)

// Config is what a Controller needs.
type Config struct {
	ShardCount int
	Board      *blackboard.Board
	// Directory gives the clients that orders go through.
	Directory backend.Directory
	Weights   siteservices.WeightStore
	// OwnedEpoch returns the epoch in which this node owns shard now, or an error.
	OwnedEpoch func(shard identity.ShardID) (identity.Epoch, error)
	Demand     *Demand
	// Parameters bound the plans; the zero value takes the defaults.
	Parameters modelplacement.Parameters
	Logger     *slog.Logger
	// Registerer takes the metrics; nil keeps none.
	Registerer prometheus.Registerer
	Hooks      Hooks
}

// Hooks replace single rules by wrong ones, so that tests can show that they
// notice. All are nil in a daemon.
type Hooks struct {
	// Fence replaces the fence of an order.
	Fence func(epoch identity.Epoch, counter uint32) uint64
}

// Controller watches all services and acts for those whose shard this node owns.
type Controller struct {
	config  Config
	metrics metrics
	orders  sync.WaitGroup

	// mutex guards all below.
	mutex    sync.Mutex
	counter  uint32
	engines  map[string]*engineState
	services map[string]*serviceState
	// loadTimes is how long the last load of a subject took.
	loadTimes map[string]time.Duration
}

// serviceState is what the controller remembers of one service.
type serviceState struct {
	status Status
	// notBefore is when the weight store may be asked again.
	notBefore time.Time
	demand    smoothed
}

// New returns a controller that Run starts.
func New(config Config) *Controller {
	if config.Parameters == (modelplacement.Parameters{}) {
		config.Parameters = modelplacement.DefaultParameters()
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.Demand == nil {
		config.Demand = NewDemand()
	}
	return &Controller{
		config: config, metrics: newMetrics(config.Registerer),
		engines: map[string]*engineState{}, services: map[string]*serviceState{},
		loadTimes: map[string]time.Duration{},
	}
}

// Shard is the shard whose owner acts for service.
func Shard(service string, count int) identity.ShardID {
	return identity.ProgramID("service:" + service).Shard(count)
}

// Run looks at all services until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer c.orders.Wait()
	for {
		select {
		case <-ticker.C:
			c.look(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// rows are the rows of one service, by name.
type rows struct {
	models   []table.Model
	adapters []table.Adapter
}

// asks tells that a row asks to be placed.
func (r rows) asks() bool {
	return slices.ContainsFunc(r.models, func(model table.Model) bool { return model.MinReplicas > 0 })
}

func rowsByService(published *table.Table) map[string]rows {
	byService := map[string]rows{}
	for _, name := range slices.Sorted(maps.Keys(published.Models)) {
		model := published.Models[name]
		one := byService[model.Service]
		one.models = append(one.models, model)
		byService[model.Service] = one
	}
	for _, name := range slices.Sorted(maps.Keys(published.Adapters)) {
		adapter := published.Adapters[name]
		service := published.Models[adapter.Model].Service
		one := byService[service]
		one.adapters = append(one.adapters, adapter)
		byService[service] = one
	}
	return byService
}

// look takes in the board and acts for the services that this node holds.
func (c *Controller) look(ctx context.Context) {
	published := c.config.Board.Table.Load()
	if published == nil {
		return
	}
	now := time.Now()
	services := rowsByService(published)
	engines := c.observe(now, published)
	for _, service := range slices.Sorted(maps.Keys(services)) {
		c.sample(now, service, services[service], engines[service])
		epoch, err := c.config.OwnedEpoch(Shard(service, c.config.ShardCount))
		acting := err == nil && services[service].asks() && !c.config.Board.Draining.Load()
		c.setActing(service, epoch, acting)
		if acting {
			c.act(ctx, service, epoch, published, engines[service])
		}
	}
	c.forgetServices(services)
}

func (c *Controller) service(name string) *serviceState {
	state, found := c.services[name]
	if !found {
		state = &serviceState{status: Status{Service: name}, demand: smoothed{}}
		c.services[name] = state
	}
	return state
}

func (c *Controller) forgetServices(known map[string]rows) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	acting := 0
	for name, state := range c.services {
		if _, found := known[name]; !found {
			delete(c.services, name)
			continue
		}
		if state.status.Acting {
			acting++
		}
	}
	c.metrics.acting.Set(float64(acting))
}

func (c *Controller) setActing(service string, epoch identity.Epoch, acting bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.service(service)
	if acting && !state.status.Acting {
		c.config.Logger.Info("acts for the models of a service", "service", service, "epoch", epoch)
	}
	state.status.Acting, state.status.Epoch = acting, epoch
	if !acting {
		state.status.Shortfalls, state.status.Waiting = nil, ""
	}
}

// act makes the plan of one service and begins at most one of its orders, so
// that the next one sees what the weight store says after this one.
func (c *Controller) act(ctx context.Context, service string, epoch identity.Epoch, published *table.Table, names []string) {
	rows := rowsByService(published)[service]
	c.refresh(ctx, time.Now(), published, names)
	now := time.Now() // the engines' answers took their time
	snapshot, settled := c.snapshot(now, service, rows, names)
	if !settled {
		c.note(service, modelplacement.Plan{}, "for the engines' reports")
		return
	}
	plan := modelplacement.Decide(snapshot, c.config.Parameters)
	if len(plan.Orders) == 0 {
		c.note(service, plan, "")
		return
	}
	if unfenced := c.unfenced(now, epoch, names); len(unfenced) > 0 {
		c.note(service, plan, "for the engines to take the epoch's fence")
		c.fence(ctx, service, epoch, unfenced)
		return
	}
	next := plan.Orders[0]
	wait, reason := c.awaitWeights(ctx, now, service, next)
	c.note(service, plan, reason)
	if wait {
		return
	}
	c.begin(ctx, service, epoch, next)
}

// awaitWeights asks the weight store whether a load may begin now.
func (c *Controller) awaitWeights(ctx context.Context, now time.Time, service string, order modelplacement.Order) (wait bool, reason string) {
	if order.Kind == backend.OrderUnloadModel {
		return false, ""
	}
	c.mutex.Lock()
	state := c.service(service)
	notBefore, reason := state.notBefore, state.status.Waiting
	c.mutex.Unlock()
	if now.Before(notBefore) {
		return true, reason
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	queue, err := c.config.Weights.Wait(ctx, order.Subject, order.Version)
	switch {
	case err != nil:
		queue, reason = weightRetry, "for the weight store, which does not answer"
	case queue > 0:
		reason = "for the weight store, which is busy for " + queue.Round(time.Second).String()
	default:
		return false, ""
	}
	c.metrics.weightWaits.Inc()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.service(service).notBefore = now.Add(min(queue, weightRetry))
	return true, reason
}

// note keeps what is missing or waited for, and logs it when it changes.
func (c *Controller) note(service string, plan modelplacement.Plan, waiting string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	status := &c.service(service).status
	if !slices.Equal(status.Shortfalls, plan.Shortfalls) && len(plan.Shortfalls) > 0 {
		c.config.Logger.Warn("models lack replicas", "service", service, "shortfalls", plan.Shortfalls)
	}
	if waiting != "" && waiting != status.Waiting {
		c.config.Logger.Info("orders wait "+waiting, "service", service)
	}
	status.Shortfalls, status.Waiting = plan.Shortfalls, waiting
}

// client returns the client of an engine by its name.
func (c *Controller) client(name string) (backend.Engine, bool) {
	c.mutex.Lock()
	state, known := c.engines[name]
	var address netip.AddrPort
	if known {
		address = state.address
	}
	c.mutex.Unlock()
	if !known {
		return nil, false
	}
	return c.config.Directory.Engine(address), true
}
