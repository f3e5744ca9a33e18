// Package scale runs sites of hollow nodes in one process, to learn what the
// control side of a node costs as a site grows. A hollow node is the real code
// of membership, placement, table, ownership and back-end watching with its real
// protocol; it has no serving face and no load. The log service and the back
// ends are in-process stand-ins.
package scale

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/wait"
)

// Limits of the waits; one that passes ends the run with an error.
const (
	startLimit  = 2 * time.Minute
	settleLimit = time.Minute
	drainLimit  = 20 * time.Second
)

// Options are a run's settings.
type Options struct {
	Nodes int
	// Replicas is the number of back ends that the nodes watch.
	Replicas int
	// ShardsPerNode times Nodes is the shard count.
	ShardsPerNode int
	// Window is how long quiet and churn are measured each.
	Window time.Duration
	// Events is how many deaths, restarts and table versions are timed each.
	Events int
	Seed   uint64
	Fabric Fabric
	// Progress is told each step.
	Progress func(string)
}

// Result is one run's figures. Times are in seconds.
type Result struct {
	Nodes    int    `json:"nodes"`
	Replicas int    `json:"replicas"`
	Shards   int    `json:"shards"`
	Cores    int    `json:"cores"`
	Go       string `json:"go"`
	// Incomplete tells why the run ended early; the figures of its later steps are
	// zero then.
	Incomplete string `json:"incomplete,omitempty"`

	Settling float64 `json:"settling_s"`
	// HeapPerNode is live heap and stacks; ResidentPerNode is the process's
	// resident memory shared out. Both include the log stand-in.
	HeapPerNode     float64 `json:"heap_bytes_per_node"`
	ResidentPerNode float64 `json:"resident_bytes_per_node"`
	Quiet           Usage   `json:"quiet"`
	Churn           Usage   `json:"churn"`
	// ChurnRestarts and ChurnDeaths happened in the churn window; ChurnSpeed is
	// how many times faster than on the two-year site's ordinary day.
	ChurnRestarts int     `json:"churn_restarts"`
	ChurnDeaths   int     `json:"churn_deaths"`
	ChurnSpeed    float64 `json:"churn_speed"`
	// TableInForce is how long each version took at each node.
	TableInForce Quantiles `json:"table_in_force_s"`
	// DeathAgreed is how long after a kill all views were without the node,
	// DeathServed how long until all shards had an owner again.
	DeathAgreed Quantiles `json:"death_agreed_s"`
	DeathServed Quantiles `json:"death_served_s"`
	// Moves of planned restarts: the shards that had to move away and back, and
	// the claims that were made.
	Restarts     int    `json:"restarts"`
	LeastMoves   int    `json:"least_moves"`
	Claims       uint64 `json:"claims"`
	Replacements uint64 `json:"replacement_claims"`
	Zone         Outage `json:"zone_loss"`
	Region       Outage `json:"region_cut"`
}

// Outage is how the site came through the loss of a zone or the cut of a region.
type Outage struct {
	Nodes int `json:"nodes"`
	// Served is the time until the rest owned all shards; 0 where that is not
	// expected.
	Served float64 `json:"served_s"`
	// Settled is the time from the return until all views agreed and all shards
	// had their owners.
	Settled float64 `json:"settled_s"`
	// TableInForce is the time from the return until a version published
	// meanwhile was in force everywhere.
	TableInForce float64 `json:"table_in_force_s"`
	LeastMoves   int     `json:"least_moves"`
	Claims       uint64  `json:"claims"`
	Replacements uint64  `json:"replacement_claims"`
	FalseDeaths  uint64  `json:"false_deaths"`
	Usage        Usage   `json:"usage"`
}

// Quantiles sums up times in seconds.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int     `json:"count"`
}

func quantiles(times []time.Duration) Quantiles {
	if len(times) == 0 {
		return Quantiles{}
	}
	slices.Sort(times)
	at := func(share float64) float64 { return times[int(share*float64(len(times)-1)+0.5)].Seconds() }
	return Quantiles{P50: at(0.5), P99: at(0.99), Max: at(1), Count: len(times)}
}

// run is one Run under way.
type run struct {
	options Options
	cluster *cluster
	result  Result
}

// Run starts a site, puts it through the steps and ends it.
func Run(ctx context.Context, options Options) (Result, error) {
	r := &run{options: options, result: Result{
		Nodes: options.Nodes, Replicas: options.Replicas, Shards: options.Nodes * options.ShardsPerNode,
		Cores: runtime.NumCPU(), Go: runtime.Version(),
	}}
	idle := heapInUse()
	r.cluster = newCluster(options.Fabric, options.Nodes, options.ShardsPerNode, options.Replicas, options.Seed)
	defer r.cluster.close()
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"start", r.start},
		{"quiet", r.quiet},
		{"memory", func(context.Context) error { return r.memory(idle) }},
		{"table", r.table},
		{"deaths", r.deaths},
		{"restarts", r.restarts},
		{"churn", r.churn},
		{"zone loss", r.zoneLoss},
		{"region cut", r.regionCut},
	}
	for _, step := range steps {
		options.Progress(step.name)
		err := step.do(ctx)
		if err == nil {
			err = checkMemory()
		}
		if err != nil {
			err = fmt.Errorf("%d nodes: %s: %w", options.Nodes, step.name, err)
			r.result.Incomplete = err.Error()
			return r.result, err
		}
	}
	return r.result, nil
}

func (r *run) start(ctx context.Context) error {
	began := time.Now()
	if err := r.cluster.startAll(ctx); err != nil {
		return err
	}
	r.result.Settling = time.Since(began).Seconds()
	return r.calm(ctx)
}

// The news of a start is passed on for a while. It has ended when datagrams are
// little more than their headers.
const (
	calmLimit      = 90 * time.Second
	calmWindow     = 2 * time.Second
	calmDatagram   = 180 // bytes
	calmAtTheLeast = 2 * calmWindow
)

func (r *run) calm(ctx context.Context) error {
	end := time.Now().Add(calmLimit)
	if err := wait.For(ctx, calmAtTheLeast); err != nil {
		return err
	}
	for time.Now().Before(end) {
		usage, err := r.window(ctx, func(ctx context.Context) error { return wait.For(ctx, calmWindow) })
		if err != nil {
			return err
		}
		if usage.MembershipBytes < calmDatagram*usage.MembershipPackets {
			return nil
		}
	}
	return nil
}

func (r *run) quiet(ctx context.Context) error {
	usage, err := r.window(ctx, func(ctx context.Context) error { return wait.For(ctx, r.options.Window) })
	r.result.Quiet = usage
	return err
}

// window measures the use while do runs.
func (r *run) window(ctx context.Context, do func(context.Context) error) (Usage, error) {
	before := r.cluster.totals()
	err := do(ctx)
	return usageBetween(before, r.cluster.totals(), r.options.Nodes), err
}

func (r *run) memory(idle uint64) error {
	r.result.HeapPerNode = float64(heapInUse()-idle) / float64(r.options.Nodes)
	resident, err := memoryField("/proc/self/status", "VmRSS")
	r.result.ResidentPerNode = float64(resident) / float64(r.options.Nodes)
	return err
}

func (r *run) table(ctx context.Context) error {
	var times []time.Duration
	for i := range r.options.Events {
		version, err := r.cluster.publish(ctx, r.cluster.nodes[i%len(r.cluster.nodes)], r.newestTable())
		if err != nil {
			return err
		}
		began := time.Now()
		late := r.cluster.running()
		err = r.cluster.await(ctx, "the table version", settleLimit, func() bool {
			late = slices.DeleteFunc(late, func(node *hollow) bool {
				there := node.tableVersion() >= version
				if there {
					times = append(times, time.Since(began))
				}
				return there
			})
			return len(late) == 0
		})
		if err != nil {
			return err
		}
	}
	r.result.TableInForce = quantiles(times)
	return nil
}

func (r *run) newestTable() uint64 {
	newest := uint64(0)
	for _, node := range r.cluster.running() {
		newest = max(newest, node.tableVersion())
	}
	return newest
}

func (r *run) deaths(ctx context.Context) error {
	var agreed, served []time.Duration
	for i := range r.options.Events {
		victim := r.victim(i)
		began := time.Now()
		r.cluster.kill(victim)
		if err := r.cluster.await(ctx, "agreement on a death", settleLimit, func() bool {
			return r.cluster.buried(nameOf(victim))
		}); err != nil {
			return err
		}
		agreed = append(agreed, time.Since(began))
		if err := r.cluster.await(ctx, "takeover", settleLimit, r.cluster.shardsOwned); err != nil {
			return err
		}
		served = append(served, time.Since(began))
		if err := r.cluster.start(victim); err != nil {
			return err
		}
		if err := r.cluster.await(ctx, "return", settleLimit, r.cluster.settled); err != nil {
			return err
		}
	}
	r.result.DeathAgreed, r.result.DeathServed = quantiles(agreed), quantiles(served)
	return nil
}

// victim spreads events over the nodes, sparing the seeds.
func (r *run) victim(i int) int {
	span := r.options.Nodes - seedCount
	const stride = 5
	return seedCount + (i*stride)%span
}

func (r *run) restarts(ctx context.Context) error {
	before := r.cluster.totals()
	for i := range r.options.Events {
		victim := r.victim(i + r.options.Events)
		r.result.LeastMoves += 2 * len(r.cluster.nodes[victim].journal.Owned())
		if err := r.cluster.restart(ctx, victim); err != nil {
			return err
		}
		if err := r.cluster.await(ctx, "a restart", settleLimit, r.cluster.settled); err != nil {
			return err
		}
		r.result.Restarts++
	}
	after := r.cluster.totals()
	r.result.Claims, r.result.Replacements = after.claims-before.claims, after.replacements-before.replacements
	return nil
}

// The two-year site's ordinary day.
const (
	dailyRestarts = 250
	dailyDeaths   = 6
	dailyNodes    = 380
	day           = 24 * time.Hour
	// churnEvery is one event per so many of the window's seconds.
	churnEvery = 3 * time.Second
	// deathEvery is one death among so many events; more than of the day's
	// events, so that a short window has one.
	deathEvery = 5
)

func (r *run) churn(ctx context.Context) error {
	usage, err := r.window(ctx, func(ctx context.Context) error {
		end := time.Now().Add(r.options.Window)
		for event := 0; time.Now().Before(end); event++ {
			next := time.Now().Add(churnEvery)
			if err := r.churnOnce(ctx, event); err != nil {
				return err
			}
			if err := wait.For(ctx, time.Until(next)); err != nil {
				return err
			}
		}
		return nil
	})
	r.result.Churn = usage
	if err != nil {
		return err
	}
	perSecond := float64(dailyRestarts+dailyDeaths) / day.Seconds() * float64(r.options.Nodes) / dailyNodes
	events := float64(r.result.ChurnRestarts + r.result.ChurnDeaths)
	r.result.ChurnSpeed = events / usage.Seconds / perSecond
	return r.cluster.await(ctx, "calm after churn", settleLimit, r.cluster.settled)
}

func (r *run) churnOnce(ctx context.Context, event int) error {
	victim := r.victim(event + 2*r.options.Events)
	if event%deathEvery == deathEvery-1 {
		r.result.ChurnDeaths++
		r.cluster.kill(victim)
		return r.cluster.start(victim)
	}
	r.result.ChurnRestarts++
	return r.cluster.restart(ctx, victim)
}
