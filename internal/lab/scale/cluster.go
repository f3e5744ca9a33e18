package scale

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/emulator/logservice"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/placement"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// The layout of a hollow site: regions of equally many zones.
const (
	regionCount = 3
	zoneCount   = 6
)

// seedCount is how many nodes the others join by.
const seedCount = 3

// pollInterval is how often the whole site is looked at; agreement times are
// this coarse.
const pollInterval = 50 * time.Millisecond

// cluster is a site of hollow nodes. One goroutine uses it.
type cluster struct {
	fabric  Fabric
	log     *logservice.Service
	shards  int
	options hollowOptions
	// nodes holds the running nodes by number; nil where a node is down.
	nodes      []*hollow
	placements placement.Cache
	// past sums up what ended lives did.
	past totals
}

func newCluster(fabric Fabric, size, shardsPerNode, replicas int, seed uint64) *cluster {
	c := &cluster{
		fabric: fabric, log: logservice.New(seed), shards: size * shardsPerNode, nodes: make([]*hollow, size),
	}
	c.options = hollowOptions{shards: c.shards, seed: seed}
	for i := range replicas {
		c.options.machines = append(c.options.machines, siteservices.Machine{
			Name: fmt.Sprintf("engine-%03d", i), Role: siteservices.RoleEngine, State: siteservices.MachineLive,
			Service: fmt.Sprintf("model-%02d", i%modelCount), Region: regionOf(i / modelCount),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 256), byte(i % 256)}), 80),
		})
	}
	return c
}

// modelCount is the number of models that the back ends are shared out to.
const modelCount = 28

func zoneOf(i int) int { return i % zoneCount }

func regionOf(i int) identity.Region {
	return identity.Region(fmt.Sprintf("region-%d", zoneOf(i)/(zoneCount/regionCount)))
}

func nameOf(i int) identity.NodeName { return identity.NodeName(fmt.Sprintf("hollow-%03d", i)) }

// start begins a new life of node i.
func (c *cluster) start(i int) error {
	if err := c.build(i); err != nil {
		return err
	}
	c.nodes[i].start()
	return nil
}

// build makes a new life of node i that has not begun.
func (c *cluster) build(i int) error {
	node := identity.Node{
		Name: nameOf(i), Zone: identity.Zone(fmt.Sprintf("zone-%d", zoneOf(i))), Region: regionOf(i),
		Incarnation: identity.Incarnation(time.Now().UnixNano()),
	}
	started, err := newHollow(c.fabric, node, c.log.ViewFor(string(node.Name)), c.options)
	if err != nil {
		return err
	}
	c.nodes[i] = started
	if i < seedCount && len(c.options.seeds) <= i {
		c.options.seeds = append(c.options.seeds, started.node.ProbeAddress)
	}
	return nil
}

// startAll starts every node and waits until all know each other and every shard
// has its owner. All are built before the first begins: nodes that come one by one
// move shards with each that follows.
func (c *cluster) startAll(ctx context.Context) error {
	for i := range c.nodes {
		if err := c.build(i); err != nil {
			return err
		}
	}
	for _, node := range c.nodes {
		node.start()
	}
	// Nodes without a table ask each other for one all the time.
	if _, err := c.publish(ctx, c.nodes[0], 0); err != nil {
		return err
	}
	return c.await(ctx, "the first settling", startLimit, c.settled)
}

// kill ends node i at once.
func (c *cluster) kill(i int) {
	killed := c.nodes[i]
	c.nodes[i] = nil
	killed.kill()
	c.past.add(killed)
}

// restart stops node i as planned and starts its next life.
func (c *cluster) restart(ctx context.Context, i int) error {
	stopping := c.nodes[i]
	c.nodes[i] = nil
	drainContext, cancel := context.WithTimeout(ctx, drainLimit)
	err := stopping.drain(drainContext)
	cancel()
	c.past.add(stopping)
	if err != nil {
		return err
	}
	return c.start(i)
}

// close ends all nodes.
func (c *cluster) close() {
	for _, running := range c.nodes {
		if running != nil {
			running.link.Kill()
			running.stop()
		}
	}
	var ending sync.WaitGroup
	for _, running := range c.running() {
		ending.Go(running.await)
	}
	ending.Wait()
}

func (c *cluster) running() []*hollow {
	var all []*hollow
	for _, node := range c.nodes {
		if node != nil {
			all = append(all, node)
		}
	}
	return all
}

// await polls until condition holds.
func (c *cluster) await(ctx context.Context, what string, limit time.Duration, condition func() bool) error {
	_, err := c.timed(ctx, what, limit, condition)
	return err
}

// timed is await that tells how long it took.
func (c *cluster) timed(ctx context.Context, what string, limit time.Duration, condition func() bool) (time.Duration, error) {
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			return limit, fmt.Errorf("scale: %s did not come within %v: %s", what, limit, c.describe())
		}
		if err := ctx.Err(); err != nil {
			return 0, fmt.Errorf("scale: %s: %w", what, err)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began), nil
}

// describe sums up the site for an error.
func (c *cluster) describe() string {
	fewest, most := len(c.nodes)+1, 0
	owned := 0
	for _, node := range c.running() {
		members := len(node.board.Members.Load().Members)
		fewest, most = min(fewest, members), max(most, members)
		owned += len(node.journal.Owned())
	}
	return fmt.Sprintf("%d nodes run, views hold %d to %d members, %d of %d shards are owned%s",
		len(c.running()), fewest, most, owned, c.shards, c.disagreement())
}

// disagreement names the first difference between a view and the site.
func (c *cluster) disagreement() string {
	for _, viewer := range c.running() {
		view := viewer.board.Members.Load()
		held := lo.KeyBy(view.Members, func(m membership.Member) identity.NodeName { return m.Node.Name })
		for _, node := range c.running() {
			member, found := held[node.node.Name]
			if !found || member.Status != membership.Alive || member.Node.Incarnation != node.node.Incarnation {
				return fmt.Sprintf("; %s holds %s as %v of %d, which runs as %d, %+v", viewer.node.Name, node.node.Name,
					member.Status, member.Node.Incarnation, node.node.Incarnation, viewer.members.Statistics())
			}
		}
	}
	return ""
}

// settled tells whether all views agree and every shard is where it should be.
func (c *cluster) settled() bool { return c.viewsAgree() && c.shardsOwned() && c.shardsPlaced() }

// viewsAgree tells whether all running nodes hold exactly the running ones alive.
func (c *cluster) viewsAgree() bool {
	running := c.running()
	for _, node := range running {
		if !holdsAll(node.board.Members.Load(), running) {
			return false
		}
	}
	return true
}

func holdsAll(view membership.View, running []*hollow) bool {
	if len(view.Members) != len(running) {
		return false
	}
	for i, node := range running { // both are sorted by name
		member := &view.Members[i]
		if member.Node.Incarnation != node.node.Incarnation || member.Status != membership.Alive {
			return false
		}
	}
	return true
}

// shardsOwned tells whether every shard has exactly one owner that may serve.
func (c *cluster) shardsOwned() bool {
	owned := 0
	for _, node := range c.running() {
		stats := node.journal.Stats()
		owned += stats.Owned - stats.LapsedLeases
	}
	return owned == c.shards
}

// shardsPlaced tells whether every owned shard is where placement wants it.
func (c *cluster) shardsPlaced() bool {
	running := c.running()
	wanted := c.placements.For(running[0].board.Members.Load())
	for _, node := range running {
		for _, shard := range node.journal.Owned() {
			if owner, found := wanted.Owner(shard); !found || owner.Name != node.node.Name {
				return false
			}
		}
	}
	return true
}

// buried tells whether no running node's view holds a member of that name.
func (c *cluster) buried(name identity.NodeName) bool {
	for _, node := range c.running() {
		for _, member := range node.board.Members.Load().Members {
			if member.Node.Name == name {
				return false
			}
		}
	}
	return true
}

// publish brings a new table version in force and returns its number.
func (c *cluster) publish(ctx context.Context, at *hollow, base uint64) (uint64, error) {
	entry, err := at.tables.Publish(ctx, tables.Publication{Base: table.Version(base), Author: "scale", CSV: []byte(sheet)})
	if err != nil {
		return 0, fmt.Errorf("scale: publish: %w", err)
	}
	return uint64(entry.Version), nil
}

// sheet is a small valid table; its content does not matter here.
const sheet = `kind,name,version,service,model,context_tokens,budget_tokens,max_calls,max_duration,idle_timeout,call_timeout,max_tokens
model,asesor,1,model-00,,32768,,,,,,
class,admission,,,asesor,,100000,200,1h,10m,1m,1024
`

// inForce tells whether version is in force at all nodes.
func inForce(nodes []*hollow, version uint64) bool {
	for _, node := range nodes {
		if node.tableVersion() < version {
			return false
		}
	}
	return true
}

// cutOff cuts a region off from the other regions and, like them, from the log
// service; heal undoes it.
func (c *cluster) cutOff(region identity.Region) {
	for i := range regionCount {
		other := identity.Region(fmt.Sprintf("region-%d", i))
		if other != region {
			c.fabric.Cut(region, other)
		}
	}
	c.setLogDown(region, true)
}

func (c *cluster) heal(region identity.Region) {
	c.fabric.Heal()
	c.setLogDown(region, false)
}

func (c *cluster) setLogDown(region identity.Region, down bool) {
	for _, node := range c.running() {
		if node.node.Region == region {
			c.log.ViewFor(string(node.node.Name)).SetDown(down)
		}
	}
}
