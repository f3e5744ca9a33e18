// Package node builds a stepseam node from its settings, starts it and stops it. All
// services are wired in a samber/do container, so that a test or a simulation can replace
// outside systems by emulators and build many nodes in one process.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/samber/do/v2"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/controller/backends"
	"stepseam.example/stepseam/internal/controller/machines"
	"stepseam.example/stepseam/internal/controller/members"
	"stepseam.example/stepseam/internal/controller/models"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/forwarding"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/serving"
)

// Node is a node without its HTTP servers. Build creates it and Start starts it. Drain
// followed by Close is a planned stop; for the other nodes, Close alone is like a kill.
type Node struct {
	self      identity.Node
	board     *blackboard.Board
	network   Network
	owner     *serving.Owner
	journal   *journal.Manager
	forwarder *forwarding.Forwarder
	tables    *tables.Controller
	machines  *machines.Controller
	members   *members.Controller
	backends  *backends.Controller
	models    *models.Controller
	directory backend.Directory
	logger    *slog.Logger

	// failed receives the first error of a controller.
	failed chan error
	stop   context.CancelFunc
	loops  sync.WaitGroup
}

// Build creates all services of the node. It binds the node's addresses but runs and
// sends nothing before Start.
func Build(injector do.Injector) (*Node, error) {
	built := &Node{failed: make(chan error, 1)}
	resolve := []func() error{
		invoke(injector, &built.self),
		invoke(injector, &built.board),
		invoke(injector, &built.logger),
		invoke(injector, &built.network),
		invoke(injector, &built.directory),
		invoke(injector, &built.owner),
		invoke(injector, &built.journal),
		invoke(injector, &built.forwarder),
		invoke(injector, &built.tables),
		invoke(injector, &built.machines),
		invoke(injector, &built.members),
		invoke(injector, &built.backends),
		invoke(injector, &built.models),
	}
	for _, one := range resolve {
		if err := one(); err != nil {
			return nil, fmt.Errorf("node: build: %w", err)
		}
	}
	return built, nil
}

func invoke[T any](injector do.Injector, target *T) func() error {
	return func() error {
		service, err := do.Invoke[T](injector)
		*target = service
		return err
	}
}

// Start serves other nodes and runs all controllers in the background.
func (n *Node) Start(ctx context.Context) error {
	ctx, n.stop = context.WithCancel(ctx)
	if err := n.network.Serve(); err != nil {
		n.stop()
		return fmt.Errorf("node: serve peers: %w", err)
	}
	n.run(ctx, "members", n.members.Run)
	n.run(ctx, "machines", func(ctx context.Context) error { n.machines.Run(ctx); return nil })
	n.run(ctx, "tables", n.tables.Run)
	n.run(ctx, "backends", func(ctx context.Context) error { n.backends.Run(ctx); return nil })
	n.run(ctx, "models", func(ctx context.Context) error { n.models.Run(ctx); return nil })
	n.run(ctx, "journal", n.journal.Run)
	n.run(ctx, "serving", n.owner.Run)
	n.logger.Info("node started", "node", n.self.Name, "zone", n.self.Zone,
		"incarnation", n.self.Incarnation, "peer", n.self.PeerAddress, "probe", n.self.ProbeAddress)
	return nil
}

func (n *Node) run(ctx context.Context, name string, loop func(context.Context) error) {
	n.loops.Go(func() {
		if err := loop(ctx); err != nil && ctx.Err() == nil {
			n.logger.Error("controller failed", "controller", name, "error", err)
			select {
			case n.failed <- fmt.Errorf("node: controller %s: %w", name, err):
			default: // the first error is kept
			}
		}
	})
}

// Drain performs the planned stop up to the point where this node owns no shard: it
// rejects new requests as not run, announces that the node is leaving and hands over its
// shards with their calls. Requests of callers in flight on this node continue meanwhile
// and are forwarded to the next owners of their shards.
func (n *Node) Drain(ctx context.Context) error {
	began := time.Now()
	n.board.Draining.Store(true)
	n.members.AnnounceLeaving()
	err := n.journal.Drain(ctx)
	if err != nil {
		return fmt.Errorf("node: drain: %w", err)
	}
	n.logger.Info("node drained", "node", n.self.Name, "took", time.Since(began))
	return nil
}

// Close waits until ctx ends for the requests of other nodes in flight and then stops
// everything. Other nodes take over the shards that were not handed over once the leases
// lapse.
func (n *Node) Close(ctx context.Context) {
	if err := n.network.Shutdown(ctx); err != nil {
		n.logger.Warn("requests of other nodes did not complete before the shutdown timeout", "error", err)
	}
	if n.stop != nil {
		n.stop()
	}
	n.loops.Wait()
	n.network.Close()
}

// Programs returns the operations on every program of the site.
func (n *Node) Programs() serving.Programs { return n.forwarder }

// Board returns the shared state cells of the node.
func (n *Node) Board() *blackboard.Board { return n.board }

// Tables returns the controller that watches and publishes the operators' table.
func (n *Node) Tables() *tables.Controller { return n.tables }

// Journal returns the manager of this node's shards.
func (n *Node) Journal() *journal.Manager { return n.journal }

// Owner returns the service that runs the programs of this node's shards.
func (n *Node) Owner() *serving.Owner { return n.owner }

// Models returns the controller that places models and adapters on engines.
func (n *Node) Models() *models.Controller { return n.models }

// Failed returns a channel with the first error that ended a controller. The node should
// stop then.
func (n *Node) Failed() <-chan error { return n.failed }

// Self returns the identity of this incarnation of the node.
func (n *Node) Self() identity.Node { return n.self }
