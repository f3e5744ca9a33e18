// Package backends watches the back ends: it polls their load, notices those
// that leave or fail, and keeps the blackboard's Backends in step with the
// machine list.
//
// A back end counts as leaving from the first sign on: the machine list, its own
// report, or a refusal. Its health follows failed polls, failed calls and calls
// that were far slower than its pool's; an ejected one comes back through a
// trial. What calls teach (health, rates, held prefixes) comes through Observe,
// most simply by dispatching through the directory that Observe makes.
//
// The board's values may be as old as the poll interval plus the lag of the
// report; ReportedAt and the report's AsOf tell how old. A back end that this
// node does not poll stands on the board without a report.
package backends

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/defaults"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/siteservices"
)

// The defaults of Config.
const (
	defaultPollInterval  = 500 * time.Millisecond
	defaultPollTimeout   = time.Second
	defaultPollAll       = 32
	defaultPerService    = 4
	defaultShareRate     = 8
	defaultConcurrency   = 128
	defaultLeavingHold   = 15 * time.Second
	defaultCachePrefixes = 8192
)

const (
	// pollJitter spreads the polls of many nodes: each interval varies by this share.
	pollJitter = 0.2
	// longestPollInterval is how rarely a back end that never answers is polled.
	longestPollInterval = 4 * time.Second
	// usedWithin is how long a back end counts as in use after a call; in use, it is
	// polled also outside this node's share, and more often in a large fleet.
	usedWithin = 10 * time.Second
	// reviewInterval is how often pools are compared and ended ejections shown.
	reviewInterval = 250 * time.Millisecond
	// eventSettle is how long a belief of our own stands against cache events,
	// resyncInterval how often an engine is asked for its whole list after a gap.
	eventSettle    = 3 * time.Second
	resyncInterval = 10 * time.Second
)

// Config is what a Controller needs. Node, Board and Directory are required;
// what is zero takes its default.
type Config struct {
	Node      identity.NodeName
	Board     *blackboard.Board
	Directory backend.Directory
	// PollInterval is the time between two polls of one back end, PollTimeout
	// bounds each.
	PollInterval time.Duration
	PollTimeout  time.Duration
	// PollAll is up to how many back ends every node polls all of them, each at
	// PollInterval. With more, it polls a share of them with at least PerService of
	// each service, ShareRate polls a second in all.
	PollAll    int
	PerService int
	ShareRate  float64
	// Concurrency bounds the polls under way.
	Concurrency int
	// LeavingTTL is how long a back end's own word that it leaves stands; it must
	// be longer than the machine list lags.
	LeavingTTL time.Duration
	// CachePrefixes bounds the cache map.
	CachePrefixes int
	// Random draws from 0 to 1 for jitter and is safe for concurrent use; nil
	// leaves jitter out.
	Random func() float64
	Logger *slog.Logger
	// Registerer takes the metrics; nil keeps none.
	Registerer prometheus.Registerer
}

// Controller keeps Board.Backends. Serving may set Leaving there too.
type Controller struct {
	config  Config
	metrics *metrics
	cache   *CacheMap
	slots   chan struct{}

	// mutex guards all below and what watched points to.
	mutex     sync.Mutex
	watched   map[string]*watched
	byAddress map[netip.AddrPort]string
	pools     map[string]pool
	// budget is the polls per second for all, 0 without bound.
	budget float64
	pace   pace
	// region is the one that the share was chosen for.
	region identity.Region
}

// watched is the controller's own knowledge of one back end.
type watched struct {
	machine siteservices.Machine
	// polled tells that the back end is in this node's share.
	polled   bool
	polling  bool
	nextPoll time.Time
	lastUsed time.Time
	// reported is when the last report came.
	reported time.Time
	health   health
	leaving  leaving
	// published is what the board last got, to tell a mark of serving's from it.
	published bool
	latency   average
	prefill   average
	decode    average
	// nextEvent is the number of the next cache event, 0 before the first;
	// resynced is when the engine was last asked for its whole list.
	nextEvent uint64
	resynced  time.Time
}

// New returns a controller that Run starts.
func New(config Config) *Controller {
	defaults.Set(&config.PollInterval, defaultPollInterval)
	defaults.Set(&config.PollTimeout, defaultPollTimeout)
	defaults.Set(&config.PollAll, defaultPollAll)
	defaults.Set(&config.PerService, defaultPerService)
	defaults.Set(&config.ShareRate, defaultShareRate)
	defaults.Set(&config.Concurrency, defaultConcurrency)
	defaults.Set(&config.LeavingTTL, defaultLeavingHold)
	defaults.Set(&config.CachePrefixes, defaultCachePrefixes)
	if config.Random == nil {
		config.Random = func() float64 { return 0.5 }
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	controller := &Controller{
		config:    config,
		cache:     NewCacheMap(config.CachePrefixes, eventSettle),
		slots:     make(chan struct{}, config.Concurrency),
		watched:   map[string]*watched{},
		byAddress: map[netip.AddrPort]string{},
		pools:     map[string]pool{},
		pace:      pace{used: config.PollInterval, idle: config.PollInterval},
	}
	controller.metrics = newMetrics(config.Registerer, controller)
	return controller
}

// CacheMap returns which engine is believed to hold which prefix.
func (c *Controller) CacheMap() *CacheMap { return c.cache }

// Run watches until ctx ends, and waits for its polls.
func (c *Controller) Run(ctx context.Context) {
	var polls sync.WaitGroup
	defer polls.Wait()
	review := time.NewTicker(reviewInterval)
	defer review.Stop()
	for {
		machines, _, changed := c.config.Board.Machines.Watch()
		c.reconcile(machines)
		for same := true; same; {
			wait := time.NewTimer(c.startPolls(ctx, &polls))
			select {
			case <-wait.C:
			case <-review.C:
				same = c.review()
			case <-changed:
				same = false
			case <-ctx.Done():
				wait.Stop()
				return
			}
			wait.Stop()
		}
	}
}

// reconcile takes a new machine list in: new back ends go onto the board, those
// that are gone leave it, and the share to poll is chosen anew.
func (c *Controller) reconcile(machines []siteservices.Machine) {
	backEnds := lo.Filter(machines, func(machine siteservices.Machine, _ int) bool {
		return machine.Role == siteservices.RoleEngine || machine.Role == siteservices.RoleApplication
	})
	region := ownRegion(c.config.Board.Members.Load())
	chosen := share(c.config.Node, region, backEnds, c.config.PollAll, c.config.PerService)
	now := time.Now()
	listed := make(map[string]bool, len(backEnds))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.region = region
	c.budget = 0
	if len(backEnds) > c.config.PollAll {
		c.budget = c.config.ShareRate
	}
	for _, machine := range backEnds {
		listed[machine.Name] = true
		known, found := c.watched[machine.Name]
		if found && (known.machine.Address != machine.Address || known.machine.Role != machine.Role) {
			c.remove(machine.Name, known) // another life under the same name
			found = false
		}
		if !found {
			known = &watched{nextPoll: now.Add(c.firstPoll())}
			c.watched[machine.Name] = known
			c.byAddress[machine.Address] = machine.Name
		}
		known.machine = machine
		known.polled = chosen[machine.Name]
		known.leaving.listed = machine.State == siteservices.MachineLeaving
		c.publish(now, known)
	}
	for name, known := range c.watched {
		if !listed[name] {
			c.remove(name, known)
		}
	}
}

// firstPoll spreads the first polls of a large fleet over some seconds, so that
// they keep to the budget. A small one is polled at once. The mutex is held.
func (c *Controller) firstPoll() time.Duration {
	if c.budget <= 0 {
		return 0
	}
	return time.Duration(c.config.Random() * float64(perSecond(c.config.PollAll, c.budget)))
}

func (c *Controller) remove(name string, known *watched) {
	delete(c.watched, name)
	if c.byAddress[known.machine.Address] == name {
		delete(c.byAddress, known.machine.Address)
	}
	c.config.Board.Backends.Delete(name)
	c.cache.Forget(name)
	c.config.Logger.Info("back end is gone from the machine list", "backend", name, "address", known.machine.Address)
}

// publish writes what is known of a back end onto the board. The mutex is held.
func (c *Controller) publish(now time.Time, known *watched) {
	name := known.machine.Name
	before := known.published
	c.config.Board.Backends.Update(name, func(shown blackboard.Backend, found bool) (blackboard.Backend, bool) {
		if found && shown.Leaving && !before {
			known.leaving.signed = now // serving was refused
		}
		shown.Name = name
		shown.Role, shown.Address = known.machine.Role, known.machine.Address
		shown.Zone, shown.Service = known.machine.Zone, known.machine.Service
		shown.Leaving = known.leaving.at(now, c.config.LeavingTTL)
		shown.Health = known.health.at(now)
		shown.PrefillRate, shown.DecodeRate = known.prefill.value, known.decode.value
		shown.Latency = time.Duration(known.latency.value * float64(time.Second))
		known.published = shown.Leaving
		return shown, true
	})
	if known.published != before {
		c.config.Logger.Info("back end leaving changed", "backend", name, "leaving", known.published)
	}
}

// ownRegion returns the region of the node itself, empty before it is known.
func ownRegion(view membership.View) identity.Region {
	for _, member := range view.Members {
		if member.Node.Reference() == view.Self {
			return member.Node.Region
		}
	}
	return ""
}

// review compares the pools, and shows ejections and leavings that ran out. It
// returns false if the share has to be chosen anew, for another region.
func (c *Controller) review() bool {
	region := ownRegion(c.config.Board.Members.Load())
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pools = comparePools(now, c.watched)
	c.choosePace(now)
	for _, known := range c.watched {
		shown, found := c.config.Board.Backends.Load(known.machine.Name)
		stale := !found || shown.Leaving != known.leaving.at(now, c.config.LeavingTTL) || shown.Health != known.health.at(now)
		if stale {
			c.publish(now, known)
		}
	}
	return region == c.region
}

// choosePace adapts the polls to how many back ends are in use. The mutex is held.
func (c *Controller) choosePace(now time.Time) {
	used, idle := 0, 0
	for _, known := range c.watched {
		switch {
		case known.inUse(now):
			used++
		case known.polled:
			idle++
		}
	}
	c.pace = choosePace(c.config.PollInterval, c.budget, used, idle)
}

// inUse tells whether a call went there lately.
func (w *watched) inUse(now time.Time) bool { return now.Sub(w.lastUsed) < usedWithin }
