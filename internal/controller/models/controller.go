// Package models loads and unloads models and adapters on the engines as the
// table requires. One node acts for a service at a time: the owner of the
// service's shard.
//
// Invariants:
//   - An order carries a fence of (epoch of the shard, counter of this node), so
//     that a later owner's fences always exceed those of an earlier one.
//   - Before its first order an owner raises the fence at every schedulable engine
//     of the service and waits until their reports show it. From then on each of
//     them refuses orders of former owners, and the reports are complete: they
//     show everything that is loaded and every order in progress.
//   - Lease and epoch are checked right before each order and each retry. An order
//     whose outcome is unknown is retried with the same fence, which an engine
//     treats as the same order.
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

// Timing of the controller. Correctness does not depend on these values.
const (
	// interval is the time between two reconciliations.
	interval = time.Second
	// reportTTL is how old a report may be to be acted on; refreshAfter is the age
	// at which the acting node requests a new one itself.
	reportTTL    = 15 * time.Second
	refreshAfter = 5 * time.Second
	// unreachableGrace is how long an ejected or unreachable engine still counts as
	// available, so that a short outage does not load its models elsewhere.
	unreachableGrace = 10 * time.Second
	// orderRetryInterval is the pause before an order with unknown outcome is
	// retried; orderTimeout is how long it is retried.
	orderRetryInterval = time.Second
	orderTimeout       = 5 * time.Minute
	// refusalTTL is how long an engine that refused a load is excluded.
	refusalTTL = 2 * time.Minute
	// reportTimeout is how long a completed order stays pending if no report
	// reflects it.
	reportTimeout = 30 * time.Second
	// fenceRetryInterval is the time between two attempts to raise an engine's
	// fence; after maxFenceAttempts failures the engine is excluded for refusalTTL.
	// requestTimeout bounds each attempt and each request for a report.
	fenceRetryInterval = 3 * time.Second
	maxFenceAttempts   = 3
	requestTimeout     = 2 * time.Second
	// maxWeightWait bounds the pause before the weight store is queried again.
	maxWeightWait = 15 * time.Second
	// maxConcurrentRequests bounds concurrent fences and requests for reports,
	// maxRefreshes the requests for reports per reconciliation.
	maxConcurrentRequests = 16
	maxRefreshes          = 64
)

// Config configures a Controller.
type Config struct {
	ShardCount int
	Board      *blackboard.Board
	// Directory provides the clients for orders.
	Directory backend.Directory
	Weights   siteservices.WeightStore
	// OwnedEpoch returns the epoch in which this node currently owns shard, or an
	// error if it does not.
	OwnedEpoch func(shard identity.ShardID) (identity.Epoch, error)
	Demand     *Demand
	// Parameters are the limits of plans; the zero value takes the defaults.
	Parameters modelplacement.Parameters
	Logger     *slog.Logger
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
	Hooks      Hooks
}

// Hooks replace single rules by faulty ones, so that tests can verify that they
// detect the fault. All are nil in production.
type Hooks struct {
	// Fence replaces the fence of an order.
	Fence func(epoch identity.Epoch, counter uint32) uint64
}

// Controller observes all services and places models for those whose shard this
// node owns.
type Controller struct {
	config  Config
	metrics metrics
	orders  sync.WaitGroup

	// mutex guards all below.
	mutex    sync.Mutex
	counter  uint32
	engines  map[string]*engineState
	services map[string]*serviceState
	// loadTimes is the duration of the last load of each subject.
	loadTimes map[string]time.Duration
}

// serviceState is the controller's state of one service.
type serviceState struct {
	status Status
	// notBefore is the earliest time of the next query to the weight store.
	notBefore time.Time
	demand    smoothedDemand
}

// New returns a controller. Call Run to start it.
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

// Shard returns the shard whose owner places the models of service.
func Shard(service string, count int) identity.ShardID {
	return identity.ProgramID("service:" + service).Shard(count)
}

// Run reconciles all services at each interval until ctx ends, and then waits for
// the orders in progress.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer c.orders.Wait()
	for {
		select {
		case <-ticker.C:
			c.reconcile(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// rows are the table's rows of one service, sorted by name.
type rows struct {
	models   []table.Model
	adapters []table.Adapter
}

// needsPlacement reports whether any model has min_replicas above 0.
func (r rows) needsPlacement() bool {
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

// reconcile updates the engines' state from the board and acts for the services
// whose shard this node owns.
func (c *Controller) reconcile(ctx context.Context) {
	published := c.config.Board.Table.Load()
	if published == nil {
		return
	}
	now := time.Now()
	services := rowsByService(published)
	engines := c.syncEngines(now, published)
	for _, service := range slices.Sorted(maps.Keys(services)) {
		c.sampleDemand(now, service, services[service], engines[service])
		epoch, err := c.config.OwnedEpoch(Shard(service, c.config.ShardCount))
		acting := err == nil && services[service].needsPlacement() && !c.config.Board.Draining.Load()
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
		state = &serviceState{status: Status{Service: name}, demand: smoothedDemand{}}
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
		c.config.Logger.Info("placing the models of a service", "service", service, "epoch", epoch)
	}
	state.status.Acting, state.status.Epoch = acting, epoch
	if !acting {
		state.status.Shortfalls, state.status.Waiting = nil, ""
	}
}

// act makes the plan of one service and starts at most one of its orders, so that
// the query to the weight store for the next order takes this one into account.
func (c *Controller) act(ctx context.Context, service string, epoch identity.Epoch, published *table.Table, names []string) {
	rows := rowsByService(published)[service]
	c.refreshReports(ctx, time.Now(), published, names)
	now := time.Now() // refreshReports may have taken long
	snapshot, complete := c.snapshot(now, service, rows, names)
	if !complete {
		c.setStatus(service, modelplacement.Plan{}, "for the engines' reports")
		return
	}
	plan := modelplacement.Decide(snapshot, c.config.Parameters)
	if len(plan.Orders) == 0 {
		c.setStatus(service, plan, "")
		return
	}
	if unfenced := c.unfenced(now, epoch, names); len(unfenced) > 0 {
		c.setStatus(service, plan, "for the engines to take the epoch's fence")
		c.raiseFence(ctx, service, epoch, unfenced)
		return
	}
	next := plan.Orders[0]
	wait, reason := c.checkWeightStore(ctx, now, service, next)
	c.setStatus(service, plan, reason)
	if wait {
		return
	}
	c.startOrder(ctx, service, epoch, next)
}

// checkWeightStore queries the weight store whether a load may begin now. It
// returns the reason if it has to wait.
func (c *Controller) checkWeightStore(ctx context.Context, now time.Time, service string, order modelplacement.Order) (wait bool, reason string) {
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
		queue, reason = maxWeightWait, "for the weight store, which does not answer"
	case queue > 0:
		reason = "for the weight store, which is busy for " + queue.Round(time.Second).String()
	default:
		return false, ""
	}
	c.metrics.weightWaits.Inc()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.service(service).notBefore = now.Add(min(queue, maxWeightWait))
	return true, reason
}

// setStatus records shortfalls and what the next order waits for, and logs them
// when they change.
func (c *Controller) setStatus(service string, plan modelplacement.Plan, waiting string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	status := &c.service(service).status
	if !slices.Equal(status.Shortfalls, plan.Shortfalls) && len(plan.Shortfalls) > 0 {
		c.config.Logger.Warn("models have too few replicas", "service", service, "shortfalls", plan.Shortfalls)
	}
	if waiting != "" && waiting != status.Waiting {
		c.config.Logger.Info("orders are waiting "+waiting, "service", service)
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
