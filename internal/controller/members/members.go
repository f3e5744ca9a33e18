// Package members runs the membership protocol and is the only writer of
// Board.Members.
//
// Invariant: the first view is published only once this node has found other
// members or joinTimeout has elapsed. Otherwise a starting node would regard
// itself as the whole site and claim all shards.
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

// ErrSuperseded is returned by Run if a later incarnation of this node's name runs
// elsewhere. The process must end.
var ErrSuperseded = errors.New("members: a later incarnation of this node runs elsewhere")

// Config configures a Controller.
type Config struct {
	Self  identity.Node
	Board *blackboard.Board
	// Seeds are probe addresses from the settings; the machine list adds to them.
	Seeds []netip.AddrPort
	Conn  membership.PacketConn
	// Protocol contains the protocol's timing; the zero value takes the defaults.
	Protocol membership.Config
	// RandomSeed seeds the choice of probe targets.
	RandomSeed uint64
	// OwnedShards returns the number of shards that this node owns, which is
	// broadcast to other members; nil counts as 0.
	OwnedShards func() int
	Logger      *slog.Logger
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
}

const (
	// joinTimeout is how long a starting node looks for other members before it
	// publishes a view that contains only itself.
	joinTimeout = 2 * time.Second
	// joinStable is how long the view of a starting node that has found other
	// members must be unchanged to count as complete.
	joinStable = 300 * time.Millisecond
	// infoInterval is the time between two updates of the broadcast information.
	infoInterval = 250 * time.Millisecond
)

// Controller joins the site's membership and publishes its view on the board.
type Controller struct {
	config  Config
	runner  *membership.Runner
	started time.Time
	// updated signals Run that latest has changed.
	updated chan struct{}

	// mutex guards latest.
	mutex  sync.Mutex
	latest membership.View
}

// New returns a controller. Call Run to start it.
func New(config Config) *Controller {
	if config.Protocol == (membership.Config{}) {
		config.Protocol = membership.DefaultConfig()
	}
	controller := &Controller{config: config, updated: make(chan struct{}, 1)}
	controller.runner = membership.NewRunner(membership.Options{
		Self: config.Self, Config: config.Protocol, Seeds: config.Seeds, Conn: config.Conn,
		RandomSeed: config.RandomSeed, OnView: controller.setLatest, Logger: config.Logger,
	})
	if config.Registerer != nil {
		config.Registerer.MustRegister(newCollector(controller))
	}
	return controller
}

// AnnounceLeaving informs the other nodes that this one takes no more shards. Run
// does the same when Board.Draining becomes true.
func (c *Controller) AnnounceLeaving() { c.runner.AnnounceLeaving() }

// Traffic returns the protocol's counters of sent and received messages.
func (c *Controller) Traffic() membership.Traffic { return c.runner.Traffic() }

// Statistics returns the protocol's event counters.
func (c *Controller) Statistics() membership.Statistics { return c.runner.Statistics() }

// Run takes part in the membership until ctx ends, then announces that this node
// has left.
func (c *Controller) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	c.started = time.Now()
	go func() { ended <- c.runner.Run(ctx) }()
	err := c.synchronize(ctx, ended)
	if err != nil {
		return err
	}
	if err := <-ended; err != nil {
		return fmt.Errorf("members: %w", err)
	}
	return nil
}

// synchronize keeps the board and the protocol in sync. It returns nil when ctx
// ends.
func (c *Controller) synchronize(ctx context.Context, ended chan error) error {
	info := time.NewTicker(infoInterval)
	defer info.Stop()
	join := time.NewTimer(joinTimeout)
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
				return nil // ctx ended at the same time
			}
			return fmt.Errorf("members: membership protocol ended unexpectedly: %w", err)
		case <-c.runner.Superseded():
			return fmt.Errorf("%w: %s", ErrSuperseded, c.config.Self.Name)
		case <-c.updated:
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
		c.updateInfo()
	}
}

// updateInfo updates the information about this node that is broadcast.
func (c *Controller) updateInfo() {
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

// joinWait returns how long to wait before the first view is published.
func (c *Controller) joinWait() time.Duration {
	left := joinTimeout - time.Since(c.started)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.latest.Members) > 1 {
		left = min(left, joinStable)
	}
	return max(left, 0)
}

// setLatest records the latest view and signals Run.
func (c *Controller) setLatest(view membership.View) {
	c.mutex.Lock()
	c.latest = view
	c.mutex.Unlock()
	select {
	case c.updated <- struct{}{}:
	default:
	}
}

func (c *Controller) publish() {
	c.mutex.Lock()
	view := c.latest
	c.mutex.Unlock()
	former := c.config.Board.Members.Load()
	c.config.Board.Members.Store(view)
	c.logChanges(former, view)
}

// logChanges logs members that were added, removed or changed.
func (c *Controller) logChanges(former, view membership.View) {
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
		c.config.Logger.Info("member removed", "member", name, "zone", known.Node.Zone, "was", known.Status)
	}
}

// seeds returns the configured seeds and the probe addresses in the machine list.
func (c *Controller) seeds() []netip.AddrPort {
	seeds := slices.Clone(c.config.Seeds)
	for _, machine := range c.config.Board.Machines.Load() {
		if machine.Role == siteservices.RoleNode && machine.ProbeAddress.IsValid() {
			seeds = append(seeds, machine.ProbeAddress)
		}
	}
	return lo.Uniq(seeds)
}
