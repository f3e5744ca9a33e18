package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/clientconn"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/forwarding"
	"stepseam.example/stepseam/internal/gateway"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/settings"
)

// Timeouts of the operators' server.
const (
	operatorHeaderTimeout = 5 * time.Second
	operatorIdleTimeout   = time.Minute
	// closeTimeout bounds the shutdown after the drain.
	closeTimeout = 5 * time.Second
)

// DrainRequest signals that an operator has requested a planned stop of this node.
type DrainRequest struct{ requested chan struct{} }

// request is idempotent.
func (d *DrainRequest) request() {
	select {
	case d.requested <- struct{}{}:
	default:
	}
}

// provideHTTP registers the gateway for callers and the HTTP interface for operators.
func provideHTTP(injector do.Injector) {
	do.ProvideValue(injector, &DrainRequest{requested: make(chan struct{}, 1)})
	do.Provide(injector, provideGateway)
	do.Provide(injector, provideOperator)
}

func provideGateway(injector do.Injector) (*gateway.Gateway, error) {
	chosen := do.MustInvoke[settings.Settings](injector)
	return gateway.New(gateway.Config{
		Programs:     do.MustInvoke[*forwarding.Forwarder](injector),
		Board:        do.MustInvoke[*blackboard.Board](injector),
		Logger:       componentLogger(injector, "gateway"),
		Registerer:   do.MustInvoke[*prometheus.Registry](injector),
		MaxBodyBytes: chosen.Limits.BodyBytes,
		BodyTimeout:  chosen.Limits.BodyTimeout,
	}), nil
}

func provideOperator(injector do.Injector) (*operator.Operator, error) {
	chosen := do.MustInvoke[settings.Settings](injector)
	manager := do.MustInvoke[*journal.Manager](injector)
	owner := do.MustInvoke[*serving.Owner](injector)
	return operator.New(operator.Config{
		Self:        do.MustInvoke[identity.Node](injector),
		ShardCount:  chosen.Shards.Count,
		Board:       do.MustInvoke[*blackboard.Board](injector),
		Peers:       do.MustInvoke[Network](injector).Client(),
		Tables:      do.MustInvoke[*tables.Controller](injector),
		Programs:    do.MustInvoke[*forwarding.Forwarder](injector),
		Registry:    do.MustInvoke[*prometheus.Registry](injector),
		Explain:     owner.Explain,
		OwnPrograms: owner.List,
		OwnShards:   func() int { return len(manager.Owned()) },
		Drain:       do.MustInvoke[*DrainRequest](injector).request,
		TableBytes:  chosen.Limits.TableBytes,
		Logger:      componentLogger(injector, "operator"),
	}, do.MustInvoke[*peer.Registry](injector)), nil
}

// Daemon is a node with its HTTP servers, as stepseamd runs it.
type Daemon struct {
	node         *Node
	settings     settings.Settings
	gateway      *gateway.Gateway
	operators    *clientconn.Server
	drainRequest *DrainRequest
	logger       *slog.Logger
}

// BuildDaemon builds a node and its HTTP servers. It starts nothing; Run does.
func BuildDaemon(injector do.Injector) (*Daemon, error) {
	daemon := &Daemon{}
	var operators *operator.Operator
	resolve := []func() error{
		invoke(injector, &daemon.settings),
		invoke(injector, &daemon.logger),
		invoke(injector, &daemon.drainRequest),
		invoke(injector, &daemon.gateway),
		invoke(injector, &operators),
	}
	for _, one := range resolve {
		if err := one(); err != nil {
			return nil, fmt.Errorf("node: build: %w", err)
		}
	}
	built, err := Build(injector)
	if err != nil {
		return nil, err
	}
	daemon.node = built
	daemon.operators = clientconn.NewServer(&http.Server{
		Handler:           operators.Handler(),
		ReadHeaderTimeout: operatorHeaderTimeout,
		IdleTimeout:       operatorIdleTimeout,
	}, clientconn.NewTracker(daemon.logger, nil))
	return daemon, nil
}

// Run serves until ctx ends, an operator drains the node or a component fails, and then
// performs a planned stop: requests in flight are completed unless drain.timeout passes.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.settings.Addresses.Callers.String())
	if err != nil {
		return fmt.Errorf("node: addresses.callers: %w", err)
	}
	operators, err := net.Listen("tcp", d.settings.Addresses.Operators.String())
	if err != nil {
		return errors.Join(fmt.Errorf("node: addresses.operators: %w", err), callers.Close())
	}
	if err := d.node.Start(context.WithoutCancel(ctx)); err != nil {
		return errors.Join(err, callers.Close(), operators.Close())
	}
	failed := make(chan error, 2)
	go func() { failed <- d.gateway.Serve(callers) }()
	go func() { failed <- d.operators.Serve(operators) }()
	select {
	case <-ctx.Done():
		err = nil
	case <-d.drainRequest.requested:
		err = nil
	case err = <-d.node.Failed():
	case err = <-failed:
	}
	return errors.Join(err, d.stop())
}

// stop performs the planned stop. It rejects new requests from its start and completes
// those in flight, while their shards are handed over.
func (d *Daemon) stop() error {
	began := time.Now()
	d.logger.Info("planned stop begins", "node", d.node.self.Name, "timeout", d.settings.Drain.Timeout)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.Timeout)
	defer cancel()
	err := d.node.Drain(ctx)
	err = errors.Join(err, d.gateway.Shutdown(ctx))
	ending, cancelEnding := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelEnding()
	d.node.Close(ending)
	open, failed := d.operators.Shutdown(ending)
	err = errors.Join(err, failed)
	if open > 0 {
		err = errors.Join(err, fmt.Errorf("node: %d connections of operators are open: %w", open, ending.Err()))
	}
	d.logger.Info("planned stop ended", "node", d.node.self.Name, "took", time.Since(began), "error", err)
	return err
}
