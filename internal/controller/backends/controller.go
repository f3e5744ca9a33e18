// Package backends monitors the back ends: it polls their load, detects those that
// leave or fail, and keeps the blackboard's Backends in sync with the machine
// list.
//
// A back end counts as leaving as soon as the machine list, its own report or a
// refusal says so. Its health depends on failed polls, failed calls and calls
// that are much slower than those of its pool; an ejected back end returns through
// probation. The outcomes of calls (health, rates, cached prefixes) are reported
// through Controller.Observe, usually by dispatching through
// Controller.Directory.
//
// The board's values may be as old as the poll interval plus the lag of the
// report; ReportedAt and the report's AsOf give their age. A back end that this
// node does not poll is on the board without a report.
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
	// pollJitter is the fraction by which each poll interval varies, so that the
	// polls of many nodes are spread.
	pollJitter = 0.2
	// maxPollInterval bounds the backoff for a back end that does not answer polls.
	maxPollInterval = 4 * time.Second
	// activeWithin is how long a back end counts as in use after a call. Back ends
	// in use are polled even outside this node's share, and more often than idle
	// ones in a large fleet.
	activeWithin = 10 * time.Second
	// reviewInterval is the time between two reviews.
	reviewInterval = 250 * time.Millisecond
	// ownEntryGrace is how long cache map entries of this node's calls take
	// precedence over cache events. resyncInterval is the minimum time between two
	// listings of an engine's cache.
	ownEntryGrace  = 3 * time.Second
	resyncInterval = 10 * time.Second
)

// Config configures a Controller. Node, Board and Directory are required; other
// zero values take their defaults.
type Config struct {
	Node      identity.NodeName
	Board     *blackboard.Board
	Directory backend.Directory
	// PollInterval is the time between two polls of one back end, PollTimeout the
	// timeout of each.
	PollInterval time.Duration
	PollTimeout  time.Duration
	// PollAll is the fleet size up to which every node polls all back ends, each at
	// PollInterval. In a larger fleet a node polls a share of the back ends, with at
	// least PerService of each service and ShareRate polls per second in total.
	PollAll    int
	PerService int
	ShareRate  float64
	// Concurrency is the maximum number of polls in flight.
	Concurrency int
	// LeavingTTL is how long a back end's own signal that it is leaving is valid.
	// It must exceed the lag of the machine list.
	LeavingTTL time.Duration
	// CachePrefixes is the maximum number of entries in the cache map.
	CachePrefixes int
	// Random returns numbers in [0, 1) for jitter and must be safe for concurrent
	// use; nil disables jitter.
	Random func() float64
	Logger *slog.Logger
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
}

// Controller maintains Board.Backends. The serving code may set Leaving there
// too.
type Controller struct {
	config  Config
	metrics *metrics
	cache   *CacheMap
	slots   chan struct{}

	// mutex guards all below and the values of states.
	mutex     sync.Mutex
	states    map[string]*backendState
	byAddress map[netip.AddrPort]string
	pools     map[string]pool
	// budget is the number of polls per second over all back ends, 0 is no limit.
	budget    float64
	intervals pollIntervals
	// region is the region for which the share was chosen.
	region identity.Region
}

// backendState is the controller's state of one back end.
type backendState struct {
	machine siteservices.Machine
	// inShare is true if the back end is in this node's poll share.
	inShare  bool
	polling  bool
	nextPoll time.Time
	lastUsed time.Time
	// lastReport is when the last report was received.
	lastReport time.Time
	health     health
	leaving    leavingState
	// publishedLeaving is the value of Leaving last written to the board, to detect
	// when the serving code has set it.
	publishedLeaving bool
	latency          average
	prefill          average
	decode           average
	// nextEvent is the number of the next cache event, 0 before the first;
	// lastResync is when the engine's cache was last listed.
	nextEvent  uint64
	lastResync time.Time
}

// New returns a controller. Call Run to start it.
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
		cache:     NewCacheMap(config.CachePrefixes, ownEntryGrace),
		slots:     make(chan struct{}, config.Concurrency),
		states:    map[string]*backendState{},
		byAddress: map[netip.AddrPort]string{},
		pools:     map[string]pool{},
		intervals: pollIntervals{active: config.PollInterval, idle: config.PollInterval},
	}
	controller.metrics = newMetrics(config.Registerer, controller)
	return controller
}

// CacheMap returns the map of cached prefixes.
func (c *Controller) CacheMap() *CacheMap { return c.cache }

// Run polls the back ends until ctx ends and then waits for the polls in flight.
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

// reconcile applies a new machine list: it adds new back ends to the board,
// removes those that are no longer listed, and recomputes the poll share.
func (c *Controller) reconcile(machines []siteservices.Machine) {
	backEnds := lo.Filter(machines, func(machine siteservices.Machine, _ int) bool {
		return machine.Role == siteservices.RoleEngine || machine.Role == siteservices.RoleApplication
	})
	region := ownRegion(c.config.Board.Members.Load())
	chosen := pollShare(c.config.Node, region, backEnds, c.config.PollAll, c.config.PerService)
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
		state, found := c.states[machine.Name]
		if found && (state.machine.Address != machine.Address || state.machine.Role != machine.Role) {
			c.remove(machine.Name, state) // another incarnation under the same name
			found = false
		}
		if !found {
			state = &backendState{nextPoll: now.Add(c.firstPollDelay())}
			c.states[machine.Name] = state
			c.byAddress[machine.Address] = machine.Name
		}
		state.machine = machine
		state.inShare = chosen[machine.Name]
		state.leaving.listed = machine.State == siteservices.MachineLeaving
		c.publish(now, state)
	}
	for name, state := range c.states {
		if !listed[name] {
			c.remove(name, state)
		}
	}
}

// firstPollDelay spreads the first polls of a large fleet so that they stay
// within the budget; a small fleet is polled at once. The caller holds mutex.
func (c *Controller) firstPollDelay() time.Duration {
	if c.budget <= 0 {
		return 0
	}
	return time.Duration(c.config.Random() * float64(perSecond(c.config.PollAll, c.budget)))
}

func (c *Controller) remove(name string, state *backendState) {
	delete(c.states, name)
	if c.byAddress[state.machine.Address] == name {
		delete(c.byAddress, state.machine.Address)
	}
	c.config.Board.Backends.Delete(name)
	c.cache.Forget(name)
	c.config.Logger.Info("back end removed from the machine list", "backend", name, "address", state.machine.Address)
}

// publish writes the state of a back end to the board. The caller holds mutex.
func (c *Controller) publish(now time.Time, state *backendState) {
	name := state.machine.Name
	before := state.publishedLeaving
	c.config.Board.Backends.Update(name, func(shown blackboard.Backend, found bool) (blackboard.Backend, bool) {
		if found && shown.Leaving && !before {
			state.leaving.signalledAt = now // set by the serving code after a refusal
		}
		shown.Name = name
		shown.Role, shown.Address = state.machine.Role, state.machine.Address
		shown.Zone, shown.Service = state.machine.Zone, state.machine.Service
		shown.Leaving = state.leaving.at(now, c.config.LeavingTTL)
		shown.Health = state.health.at(now)
		shown.PrefillRate, shown.DecodeRate = state.prefill.value, state.decode.value
		shown.Latency = time.Duration(state.latency.value * float64(time.Second))
		state.publishedLeaving = shown.Leaving
		return shown, true
	})
	if state.publishedLeaving != before {
		c.config.Logger.Info("back end changed its leaving state", "backend", name, "leaving", state.publishedLeaving)
	}
}

// ownRegion returns the region of this node, empty if it is not in view yet.
func ownRegion(view membership.View) identity.Region {
	for _, member := range view.Members {
		if member.Node.Reference() == view.Self {
			return member.Node.Region
		}
	}
	return ""
}

// review updates the pool statistics and the poll intervals, and publishes
// ejections and leaving signals that have expired. It returns false if this
// node's region has changed and the poll share must be recomputed.
func (c *Controller) review() bool {
	region := ownRegion(c.config.Board.Members.Load())
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pools = comparePools(now, c.states)
	c.updateIntervals(now)
	for _, state := range c.states {
		shown, found := c.config.Board.Backends.Load(state.machine.Name)
		stale := !found || shown.Leaving != state.leaving.at(now, c.config.LeavingTTL) || shown.Health != state.health.at(now)
		if stale {
			c.publish(now, state)
		}
	}
	return region == c.region
}

// updateIntervals adapts the poll intervals to the number of back ends in use.
// The caller holds mutex.
func (c *Controller) updateIntervals(now time.Time) {
	active, idle := 0, 0
	for _, state := range c.states {
		switch {
		case state.inUse(now):
			active++
		case state.inShare:
			idle++
		}
	}
	c.intervals = chooseIntervals(c.config.PollInterval, c.budget, active, idle)
}

// inUse reports whether this node recently sent a call to the back end.
func (s *backendState) inUse(now time.Time) bool { return now.Sub(s.lastUsed) < activeWithin }
