package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"stepseam.example/stepseam/internal/emulator/engine/model"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/scheduling"
)

const (
	// An engine reports its load every reportPeriod. A report reaches the nodes after
	// a delay between reportLag and reportLag+reportJitter, or is lost with
	// probability reportLoss.
	reportPeriod = time.Second
	reportLag    = 500 * time.Millisecond
	reportJitter = time.Second
	reportLoss   = 0.05
	// A cache event reaches its node after a delay between eventLag and
	// eventLag+eventJitter, or is lost with probability eventLoss.
	eventLag    = 500 * time.Millisecond
	eventJitter = 2500 * time.Millisecond
	eventLoss   = 0.1
	// machineListLag is the delay after which the machine list shows a change.
	machineListLag = 5 * time.Second
	// keepWarmPeriod is the interval between a node's searches for prefixes to evict.
	keepWarmPeriod = 5 * time.Second
	// maxRetriesAfterRefusal bounds a caller's retries of refused calls in one
	// program, after which it abandons the program.
	maxRetriesAfterRefusal = 3
	// overrun bounds the time that a run continues after its last arrival.
	overrun = 30 * time.Minute
)

// Options configure one run.
type Options struct {
	Site     Site
	Strategy Strategy
	Load     float64
	Seed     uint64
	// Programs replaces the generated workload, if set.
	Programs []Program
	// NoFaults disables the injected engine failure and slowdown.
	NoFaults bool
}

// run is the state of one simulation.
type run struct {
	site     *Site
	strategy Strategy
	seed     uint64
	clock    clock
	random   *rand.Rand
	engines  []*engine
	byName   map[string]*engine
	reports  []report
	nodes    []*node
	classes  map[string]*Class
	ledger   *ledger
	measures measures
	// inFlight counts the calls between sending and answer, and the pauses within
	// turns. The run continues until it is 0 or overrun has passed.
	inFlight int
}

// report is the last load report of an engine that the nodes received. listed is
// false while the machine list doesn't contain the engine.
type report struct {
	listed        bool
	asOf          time.Duration
	running       int
	waiting       int
	queuedPrefill int
	cacheUsed     int
}

// start is the wall-clock time of the beginning of every run.
var start = time.Date(2026, 3, 1, 20, 0, 0, 0, time.UTC)

func (r *run) wall(at time.Duration) time.Time { return start.Add(at) }

// latency returns the one-way latency between two zones, given by their indexes.
func (r *run) latency(a, b int) time.Duration {
	if a == b {
		return r.site.ZoneLatency / 10
	}
	return r.site.ZoneLatency
}

// Run simulates one strategy on one site and returns its measurements.
func Run(options Options) Result {
	site := options.Site
	programs := options.Programs
	if programs == nil {
		programs = Workload(&site, options.Load, options.Seed)
	}
	r := &run{
		site: &site, strategy: options.Strategy, seed: options.Seed,
		random: rand.New(rand.NewPCG(options.Seed, 0xe5e)),
		byName: map[string]*engine{}, classes: map[string]*Class{},
	}
	r.ledger = newLedger(&r.clock, site.Engines, site.Warmup, site.Duration)
	for i := range site.Classes {
		r.classes[site.Classes[i].Name] = &site.Classes[i]
	}
	r.startEngines()
	for i := range site.Nodes {
		r.nodes = append(r.nodes, newNode(r, i))
	}
	if !options.NoFaults {
		r.planFaults()
	}
	for i := range programs {
		program := &programs[i]
		r.clock.after(program.Arrive, func() { r.begin(program) })
	}
	r.every(keepWarmPeriod, func() {
		if r.strategy.KeepWarm {
			for _, node := range r.nodes {
				node.keepWarm()
			}
		}
	})
	for (r.clock.now < site.Duration || r.inFlight > 0) && r.clock.now < site.Duration+overrun {
		if !r.clock.step() {
			break
		}
	}
	r.ledger.close()
	return r.result(options)
}

func (r *run) startEngines() {
	r.reports = make([]report, r.site.Engines)
	for i := range r.site.Engines {
		e := newEngine(i, i%len(r.site.Zones), fmt.Sprintf("%s-%02d", r.site.Service, i), r.site.Engine, &r.clock)
		e.cacheChanged = r.cacheChanged
		r.engines = append(r.engines, e)
		r.byName[e.name] = e
		r.reports[i].listed = true
		phase := time.Duration(r.random.Int64N(int64(reportPeriod)))
		r.clock.after(phase, func() { r.every(reportPeriod, func() { r.publishLoad(e) }) })
	}
}

// every runs f now and once per period until the run ends.
func (r *run) every(period time.Duration, f func()) {
	f()
	r.clock.after(period, func() { r.every(period, f) })
}

// planFaults slows one engine down during the middle third of the measured window
// and kills another for a tenth of the window, starting at its middle.
func (r *run) planFaults() {
	window := r.site.Duration - r.site.Warmup
	slow, lost := r.engines[1], r.engines[0]
	r.clock.after(r.site.Warmup+window/3, func() { slow.slowdown = slowEngineFactor })
	r.clock.after(r.site.Warmup+2*window/3, func() { slow.slowdown = 1 })
	r.clock.after(r.site.Warmup+window/2, lost.kill)
	r.clock.after(r.site.Warmup+window/2+machineListLag, func() { r.reports[lost.index].listed = false })
	back := r.site.Warmup + window/2 + window/10
	r.clock.after(back, lost.revive)
	r.clock.after(back+machineListLag, func() { r.reports[lost.index] = report{listed: true, asOf: r.clock.now} })
}

// slowEngineFactor multiplies the step time of the slow engine.
const slowEngineFactor = 3

// publishLoad sends an engine's load report, which arrives late or is lost. Reports
// older than the last one received are ignored.
func (r *run) publishLoad(e *engine) {
	if e.dead || r.random.Float64() < reportLoss {
		return
	}
	now := report{
		listed: true, asOf: r.clock.now, running: len(e.running), waiting: len(e.waiting), cacheUsed: e.cache.Used(),
	}
	for _, s := range e.waiting {
		now.queuedPrefill += model.CountTokens(s.prompt) - e.cache.Match(s.key, s.prompt)
	}
	for _, s := range e.running {
		now.queuedPrefill += s.prefillLeft
	}
	lag := reportLag + time.Duration(r.random.Int64N(int64(reportJitter)))
	r.clock.after(lag, func() {
		last := &r.reports[e.index]
		if !last.listed || now.asOf <= last.asOf {
			return
		}
		*last = now
	})
}

// breakEvenInterval returns the interval for the cache use in the last load reports.
func (r *run) breakEvenInterval() time.Duration {
	used, capacity := 0, 0
	for i := range r.reports {
		if r.reports[i].listed {
			used += r.reports[i].cacheUsed
			capacity += r.site.Engine.CacheCapacityTokens
		}
	}
	return scheduling.BreakEvenInterval(r.strategy.BreakEvenInterval, used, capacity)
}

// cacheChanged records a change of an engine's cache and publishes its events.
func (r *run) cacheChanged(e *engine) {
	r.ledger.used(e.index, e.cache.Used())
	for _, change := range e.cache.TakeChanges() {
		r.ledger.change(e.index, change)
		if r.random.Float64() < eventLoss {
			continue
		}
		owner := r.owner(string(change.Key.Program))
		lag := eventLag + time.Duration(r.random.Int64N(int64(eventJitter)))
		r.clock.after(lag, func() { owner.cacheEvent(e, change.Key, change.Tokens) })
	}
}

// owner returns the node that owns a program.
func (r *run) owner(program string) *node {
	return r.nodes[int(identity.ProgramID(program).Shard(len(r.nodes)))]
}

// began records that a call entered an engine's batch.
func (r *run) began(e *engine, s *stream, request *request) {
	r.ledger.use(e.index, s.key, s.lease.Cached)
	r.measures.prefilled(r, s, request)
}
