// Package node builds a whole stepseam node from its settings, starts it and
// stops it as planned. Everything is wired in a container of samber/do, so that
// a test or a simulation may build nodes on stand-ins, many in one process.
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

// Node is one node without its HTTP faces. It is built by Build, started by
// Start and ended by Drain and Close, or by Close alone, as a kill would.
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

	// failed takes the first error that ended a controller.
	failed chan error
	stop   context.CancelFunc
	loops  sync.WaitGroup
}

// Build makes every service of the node. Nothing runs and nothing is sent
// before Start, but the node's addresses are bound.
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

// Start begins to serve and to run all controllers, in the background.
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
			n.logger.Error("controller ended", "controller", name, "error", err)
			select {
			case n.failed <- fmt.Errorf("node: controller %s: %w", name, err):
			default: // an earlier one stands
			}
		}
	})
}

// Drain is the planned stop up to the point where nothing needs this node any
// more: new requests are refused as not run, the other nodes are told, the
// shards are handed over with their calls, and requests that other nodes sent
// here are finished. Callers' requests under way here go on meanwhile, through
// forwarding to the shards' next owners.
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

// Close ends everything at once. What was not handed over is taken over by other
// nodes when the leases lapse.
func (n *Node) Close(ctx context.Context) {
	if err := n.network.Shutdown(ctx); err != nil {
		n.logger.Warn("requests of other nodes were cut off", "error", err)
	}
	if n.stop != nil {
		n.stop()
	}
	n.loops.Wait()
	n.network.Close()
}

// Programs is the callers' interface to every program of the site.
func (n *Node) Programs() serving.Programs { return n.forwarder }

// Board is the node's shared state.
func (n *Node) Board() *blackboard.Board { return n.board }

// Tables follows and publishes the operators' table.
func (n *Node) Tables() *tables.Controller { return n.tables }

// Journal holds this node's shards.
func (n *Node) Journal() *journal.Manager { return n.journal }

// Owner runs the programs of this node's shards.
func (n *Node) Owner() *serving.Owner { return n.owner }

// Models places models and adapters on engines.
func (n *Node) Models() *models.Controller { return n.models }

// Failed gives the first error that ended a controller; the node should stop then.
func (n *Node) Failed() <-chan error { return n.failed }

// Self is this life of the node.
func (n *Node) Self() identity.Node { return n.self }
