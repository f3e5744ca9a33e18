package routednode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/coordinator"
	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/limits"
	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/router"
	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/watch"
)

const (
	mebibyte = 1 << 20
	// cacheShare is the part of the memory that the texts of turns may take.
	cacheShare = 8
	// bufferShare is the part of it that clients' bodies may take.
	bufferShare = 4
	// clientIdle is how long a client's connection may rest where the configuration
	// does not say.
	clientIdle = 90 * time.Second
	// headerTime bounds the arrival of a request's head.
	headerTime = 10 * time.Second
	headBytes  = 64 << 10
	// restPause is the time between two looks for connections that rest too long.
	restPause = time.Second
)

// node is one running node.
type node struct {
	adapter  Adapter
	logger   *slog.Logger
	router   *router.Router
	replicas *exchange.Client
	ledger   *ledgerlog.Ledger
	homes    *coordinator.Service
	// peers is nil where the node works alone.
	peers *peers
	relay *relay
	// topics hears of the store from other nodes; nil where the node works alone.
	topics *distribution.Service
	// loads is nil where nodes don't tell each other what they have under way.
	loads *loads.Gossiper
	// keepers is nil where nodes don't ask each other.
	keepers *aggregator.Service
	// distances is nil where nodes don't ask each other.
	distances *distances
	limits    *limits.Service
	cold      *coldReplicas
	// configurations and entries follow the operators' configuration and the
	// replicas' entries.
	configurations, entries *watch.Watcher
	views                   *views
	connections             *router.Connections
	store                   logstore.Store
	registry                *prometheus.Registry
	// settings are replaced as a whole by a reload.
	settings atomic.Pointer[settings.Routed]
	stopping atomic.Bool
	loops    sync.WaitGroup
	// clients is the listener of clients' connections.
	clients net.Listener
}

// start binds the node's addresses and begins to follow and to serve.
func (n *node) start(ctx context.Context) error {
	chosen := n.settings.Load()
	n.run(ctx, n.configurations.Run)
	n.run(ctx, n.entries.Run)
	n.run(ctx, n.replicas.Run)
	n.run(ctx, n.homes.Run)
	n.run(ctx, n.closeResting)
	n.run(ctx, n.limits.Run)
	if n.peers != nil {
		n.run(ctx, n.peers.run)
		n.run(ctx, n.relay.run)
		n.run(ctx, n.topics.Run)
	}
	if n.loads != nil {
		n.run(ctx, n.loads.Run)
	}
	if n.keepers != nil {
		n.run(ctx, n.keepers.Run)
	}
	if n.distances != nil {
		n.run(ctx, n.distances.run)
	}
	err := errors.Join(
		n.serve(chosen.Addresses.Readiness, http.HandlerFunc(n.answerReadiness)),
		n.serve(chosen.Addresses.Clients, n.router),
	)
	if chosen.Addresses.Metrics.IsValid() {
		err = errors.Join(err, n.serve(chosen.Addresses.Metrics, n.metricsHandler()))
	}
	return err
}

func (n *node) run(ctx context.Context, loop func(context.Context)) {
	n.loops.Go(func() { loop(ctx) })
}

func (n *node) serve(address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return fmt.Errorf("routednode: listen: %w", err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: clientIdle, MaxHeaderBytes: headBytes,
		ErrorLog: slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
	if handler == http.Handler(n.router) {
		n.clients = listener
		server.ConnContext, server.ConnState = n.connections.Context, n.connections.State
	}
	go func() {
		if err := server.Serve(listener); err != nil && !n.stopping.Load() {
			n.logger.Error("listener ended", "address", address, "error", err)
		}
	}()
	return nil
}

// closeResting closes clients' connections that rest for longer than the
// configuration allows.
func (n *node) closeResting(ctx context.Context) {
	ticker := time.NewTicker(restPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if configuration := n.router.Configuration(); configuration != nil && configuration.Limits.IdleTimeout > 0 {
				n.connections.CloseResting(configuration.Limits.IdleTimeout)
			}
		case <-ctx.Done():
			return
		}
	}
}

// ready tells whether new connections are welcome: configuration and replicas are
// known, the configuration is new enough for requests with keys, and no stop has been
// asked for.
func (n *node) ready() bool {
	return !n.stopping.Load() && n.router.MayServe() && n.views.listed.Load()
}

// limitOf returns a tenant's limit in the configuration in force; false if it has none.
func (n *node) limitOf(tenant string) (quota.Limit, bool) {
	configuration := n.router.Configuration()
	if configuration == nil {
		return quota.Limit{}, false
	}
	found := configuration.TenantNamed(tenant)
	if !found.Limited() {
		return quota.Limit{}, false
	}
	return limits.LimitOf(found), true
}

func (n *node) answerReadiness(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != n.adapter.ReadinessPath {
		http.NotFound(writer, request)
		return
	}
	status := http.StatusServiceUnavailable
	if n.ready() {
		status = http.StatusOK
	}
	writer.WriteHeader(status)
}

func (n *node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+n.adapter.MetricsPath, promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /v1/tenants", n.answerTenants)
	mux.HandleFunc("GET /v1/zones", n.answerZones)
	mux.HandleFunc("GET /v1/node", n.answerNode)
	return mux
}

// answerTenants tells operators of the tenants, for stepseamctl.
func (n *node) answerTenants(writer http.ResponseWriter, _ *http.Request) {
	chosen := n.settings.Load()
	status := limits.TenantsStatus{
		Node: string(chosen.Node.Name), LeaseMs: chosen.Keys.Lease().Milliseconds(), ConfigurationAgeMs: -1, Tenants: n.limits.Status(),
	}
	if configuration := n.router.Configuration(); configuration != nil {
		status.Version = configuration.Version
	}
	if age, known := n.views.freshness.Age(); known {
		status.ConfigurationAgeMs = age.Milliseconds()
	}
	writer.Header().Set("Content-Type", "application/json")
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(writer).Encode(status)
}

func hostname() string {
	name, err := os.Hostname()
	if err != nil {
		return "unknown"
	}
	return name
}
