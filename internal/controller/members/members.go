// Package members runs the membership protocol and is the only writer of
// Board.Members.
//
// Invariant: the first view appears only once this node has met others or has
// tried for a while, so that a starting node does not take itself for the whole
// site and claim everybody's shards.
package members

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/siteservices"
)

// ErrSuperseded tells that a later life of this node's name runs elsewhere: this
// process has to end.
var ErrSuperseded = errors.New("members: a later life of this node runs elsewhere")

// Config is what a Controller needs.
type Config struct {
	Self  identity.Node
	Board *blackboard.Board
	// Seeds are probe addresses from the settings; the machine list adds to them.
	Seeds []netip.AddrPort
	Conn  membership.PacketConn
	// Protocol holds the protocol's times; the zero value takes the defaults.
	Protocol membership.Config
	// RandomSeed seeds the choice of whom to probe.
	RandomSeed uint64
	// OwnedShards returns how many shards this node owns, to tell others; nil
	// tells 0.
	OwnedShards func() int
	Logger      *slog.Logger
	// Registerer takes the metrics; nil keeps none.
	Registerer prometheus.Registerer
}

const (
	// joinPatience is how long a starting node looks for others before it shows a
	// view of itself alone.
	joinPatience = 2 * time.Second
	// joinQuiet is how long the view of a starting node that has met others must
	// stay as it is to count as whole.
	joinQuiet = 300 * time.Millisecond
	// infoInterval is the time between two looks at what others are told.
	infoInterval = 250 * time.Millisecond
)

// Controller joins the site's membership and keeps the view on the board.
type Controller struct {
	config  Config
	runner  *membership.Runner
	started time.Time
	// arrived tells Run of a new value of latest.
	arrived chan struct{}

	// mutex guards latest.
	mutex  sync.Mutex
	latest membership.View
}

// New returns a controller that Run starts.
func New(config Config) *Controller {
	if config.Protocol == (membership.Config{}) {
		config.Protocol = membership.DefaultConfig()
	}
	controller := &Controller{config: config, arrived: make(chan struct{}, 1)}
	controller.runner = membership.NewRunner(membership.Options{
		Self: config.Self, Config: config.Protocol, Seeds: config.Seeds, Conn: config.Conn,
		RandomSeed: config.RandomSeed, OnView: controller.take, Logger: config.Logger,
	})
	if config.Registerer != nil {
		config.Registerer.MustRegister(newCollector(controller))
	}
	return controller
}

// AnnounceLeaving tells the other nodes that this one wants no shards any more.
// Run does the same when Board.Draining becomes true.
func (c *Controller) AnnounceLeaving() { c.runner.AnnounceLeaving() }

// Traffic returns what the protocol sent and received so far.
func (c *Controller) Traffic() membership.Traffic { return c.runner.Traffic() }

// Statistics returns what the protocol did so far.
func (c *Controller) Statistics() membership.Statistics { return c.runner.Statistics() }

// Run takes part until ctx ends, then says that this node has left.
func (c *Controller) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	c.started = time.Now()
	go func() { ended <- c.runner.Run(ctx) }()
	err := c.follow(ctx, ended)
	if err != nil {
		return err
	}
	if err := <-ended; err != nil {
		return fmt.Errorf("members: %w", err)
	}
	return nil
}

// follow keeps board and protocol in step. It returns nil when ctx ends.
func (c *Controller) follow(ctx context.Context, ended chan error) error {
	info := time.NewTicker(infoInterval)
	defer info.Stop()
	join := time.NewTimer(joinPatience)
	defer join.Stop()
	joined := false
	_, _, listed := c.config.Board.Machines.Watch()
	for {
		_, _, drained := c.config.Board.Draining.Watch()
		select {
		case <-ctx.Done():
			return nil
		case err := <-ended:
			ended <- err
			if ctx.Err() != nil {
				return nil // both ended at once, and this was seen first
			}
			return fmt.Errorf("members: ended early: %w", err)
		case <-c.runner.Superseded():
			return fmt.Errorf("%w: %s", ErrSuperseded, c.config.Self.Name)
		case <-c.arrived:
			if joined {
				c.publish()
			} else {
				join.Reset(c.joinWait())
			}
		case <-join.C:
			joined = true
			c.publish()
		case <-listed:
			_, _, listed = c.config.Board.Machines.Watch()
			c.runner.SetSeeds(c.seeds())
		case <-drained:
		case <-info.C:
		}
		c.tell()
	}
}

// tell passes on what others should know of this node.
func (c *Controller) tell() {
	version, owned := uint64(0), 0
	if current := c.config.Board.Table.Load(); current != nil {
		version = uint64(current.Version)
	}
	if c.config.OwnedShards != nil {
		owned = c.config.OwnedShards()
	}
	c.runner.SetInfo(version, uint32(owned))
	if c.config.Board.Draining.Load() {
		c.runner.AnnounceLeaving()
	}
}

// joinWait returns how long to wait before the first view is shown.
func (c *Controller) joinWait() time.Duration {
	left := joinPatience - time.Since(c.started)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.latest.Members) > 1 {
		left = min(left, joinQuiet)
	}
	return max(left, 0)
}

// take keeps the latest view for Run.
func (c *Controller) take(view membership.View) {
	c.mutex.Lock()
	c.latest = view
	c.mutex.Unlock()
	select {
	case c.arrived <- struct{}{}:
	default:
	}
}

func (c *Controller) publish() {
	c.mutex.Lock()
	view := c.latest
	c.mutex.Unlock()
	former := c.config.Board.Members.Load()
	c.config.Board.Members.Store(view)
	c.report(former, view)
}

// report logs who came, went or changed.
func (c *Controller) report(former, view membership.View) {
	if former.Version == view.Version {
		return
	}
	before := lo.KeyBy(former.Members, func(m membership.Member) identity.NodeName { return m.Node.Name })
	for _, member := range view.Members {
		known, found := before[member.Node.Name]
		delete(before, member.Node.Name)
		if !found || known.Status != member.Status || known.Node.Incarnation != member.Node.Incarnation {
			c.config.Logger.Info("member changed", "member", member.Node.Name, "zone", member.Node.Zone,
				"status", member.Status, "was", known.Status, "incarnation", member.Node.Incarnation)
		}
	}
	for name, known := range before {
		c.config.Logger.Info("member gone", "member", name, "zone", known.Node.Zone, "was", known.Status)
	}
}

// seeds returns the settings' seeds and the listed nodes' probe addresses.
func (c *Controller) seeds() []netip.AddrPort {
	seeds := slices.Clone(c.config.Seeds)
	for _, machine := range c.config.Board.Machines.Load() {
		if machine.Role == siteservices.RoleNode && machine.ProbeAddress.IsValid() {
			seeds = append(seeds, machine.ProbeAddress)
		}
	}
	return lo.Uniq(seeds)
}
