package routednode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
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
	"stepseam.example/stepseam/internal/clientconn"
	"stepseam.example/stepseam/internal/coordinator"
	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/limits"
	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/quarantine"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/router"
	"stepseam.example/stepseam/internal/routing"
	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/shares"
	"stepseam.example/stepseam/internal/watch"
)

const (
	mebibyte = 1 << 20
	// cacheDivisor is the divisor of the memory limit for cached turn texts.
	cacheDivisor = 8
	// transcriptDivisor is the divisor of the memory limit for the output of streams of other nodes.
	transcriptDivisor = 16
	// bufferDivisor is the divisor of the memory limit for buffered request bodies.
	bufferDivisor = 4
	// clientIdleTimeout closes idle client connections if the configuration sets no
	// timeout.
	clientIdleTimeout = 90 * time.Second
	// headerTimeout is the timeout for reading the headers of a request.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// idleCheckInterval is the time between two checks for idle connections.
	idleCheckInterval = time.Second
	// idleSlack is how much longer than the configured timeout connections may be idle, since clients
	// may know a new configuration before the node does.
	idleSlack = 2 * time.Second
)

// node is a running node. Its components are nil where the settings disable them.
type node struct {
	adapter     Adapter
	logger      *slog.Logger
	router      *router.Router
	replicas    *exchange.Client
	ledger      *ledgerlog.Ledger
	coordinator *coordinator.Service
	// peers is nil if the node runs without others.
	peers *peers
	relay *relay
	// topics pulls topics from peers; nil if the node runs without others.
	topics *distribution.Service
	// loads is nil if load reports are disabled.
	loads *loads.Gossiper
	// aggregator is nil if the node runs without others or no address is configured.
	aggregator *aggregator.Service
	// distances is nil if aggregator or peers is.
	distances *distances
	limits    *limits.Service
	origins   *origin.Service
	// quarantine keeps requests under which replicas end from further ones.
	quarantine *quarantine.Service
	// shares is nil if the node runs without others.
	shares *shares.Service
	cold   *coldReplicas
	// configurations and entries watch the operator topic and the replica entries.
	configurations, entries *watch.Watcher
	views                   *views
	connections             *clientconn.Tracker
	store                   logstore.Store
	registry                *prometheus.Registry
	// settings is replaced by a reload.
	settings atomic.Pointer[settings.Routed]
	// rest is that of the last configuration that longestRest was asked for.
	rest      atomic.Pointer[restOf]
	stopping  atomic.Bool
	startedAt time.Time
	loops     sync.WaitGroup
	// clientListener accepts client connections.
	clientListener net.Listener
}

// start starts the background loops and binds the node's addresses.
func (n *node) start(ctx context.Context) error {
	cfg := n.settings.Load()
	n.startedAt = time.Now()
	n.run(ctx, n.configurations.Run)
	n.run(ctx, n.entries.Run)
	n.run(ctx, n.replicas.Run)
	n.run(ctx, n.coordinator.Run)
	n.run(ctx, n.closeIdleConnections)
	n.run(ctx, n.limits.Run)
	n.run(ctx, n.origins.Run)
	n.run(ctx, n.quarantine.Run)
	if n.shares != nil {
		n.run(ctx, n.shares.Run)
	}
	if n.peers != nil {
		n.run(ctx, n.peers.run)
		n.run(ctx, n.relay.run)
		n.run(ctx, n.topics.Run)
	}
	if n.loads != nil {
		n.run(ctx, n.loads.Run)
	}
	if n.aggregator != nil {
		n.run(ctx, n.aggregator.Run)
	}
	if n.distances != nil {
		n.run(ctx, n.distances.run)
	}
	err := errors.Join(
		n.serve(cfg.Addresses.Readiness, http.HandlerFunc(n.answerReadiness)),
		n.serve(cfg.Addresses.Clients, n.router),
	)
	if cfg.Addresses.Metrics.IsValid() {
		err = errors.Join(err, n.serve(cfg.Addresses.Metrics, n.metricsHandler()))
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
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.logger.Handler(), slog.LevelDebug),
	}
	if handler == http.Handler(n.router) {
		listener = n.connections.Track(server, listener)
		n.clientListener = listener
	}
	go func() {
		if err := server.Serve(listener); err != nil && !n.stopping.Load() {
			n.logger.Error("listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

// applyIdleLimit applies the idle timeout of the current configuration.
func (n *node) applyIdleLimit() {
	limit := n.router.Configuration().Limits.IdleTimeout
	if limit > 0 {
		limit += idleSlack
	}
	n.connections.SetIdleLimit(limit)
}

// closeIdleConnections closes client connections that exceed the configured idle timeout.
func (n *node) closeIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.connections.CloseResting()
		case <-ctx.Done():
			return
		}
	}
}

// ready reports whether the node accepts requests: configuration and replicas are loaded,
// the configuration is fresh enough to authenticate requests, tenants' limits can be granted,
// the node knows which requests others do not send any more, and no shutdown is in progress.
func (n *node) ready() bool {
	return !n.stopping.Load() && n.router.MayServe() && n.views.listed.Load() && n.limitsReady() && n.quarantine.Synced()
}

// maxShareWait is how long a node that starts waits for the first share table. It concerns
// sites that start for the first time.
const maxShareWait = 6 * time.Second

func (n *node) limitsReady() bool {
	return n.shares == nil || n.shares.Known() || !n.hasLimits() || time.Since(n.startedAt) > maxShareWait
}

// limitOf returns a tenant's limit in the current configuration; false if it has none.
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

// longestRest returns how long a program may rest between two turns by the current configuration:
// until the turns that it may refer to are no longer kept.
func (n *node) longestRest() time.Duration {
	configuration := n.router.Configuration()
	if configuration == nil {
		return math.MaxInt32 * time.Second
	}
	if known := n.rest.Load(); known != nil && known.configuration == configuration {
		return known.longest
	}
	made := &restOf{configuration: configuration}
	for i := range configuration.Routes {
		made.longest = max(made.longest, configuration.Routes[i].RetainFor)
	}
	n.rest.Store(made)
	return made.longest
}

// restOf is the longest rest of programs by a configuration.
type restOf struct {
	configuration *routing.Configuration
	longest       time.Duration
}

// hasLimits reports whether any tenant has a limit in the current configuration.
func (n *node) hasLimits() bool {
	configuration := n.router.Configuration()
	return configuration != nil && configuration.HasLimits()
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
	mux.HandleFunc("GET /v1/quarantine", n.answerQuarantine)
	mux.HandleFunc("DELETE /v1/quarantine/{content}", n.liftQuarantine)
	return mux
}

// answerTenants serves the tenants' status to stepseamctl.
func (n *node) answerTenants(writer http.ResponseWriter, _ *http.Request) {
	cfg := n.settings.Load()
	status := limits.TenantsStatus{
		Node: string(cfg.Node.Name), LeaseMs: cfg.Keys.Lease().Milliseconds(), ConfigurationAgeMs: -1, Tenants: n.limits.Status(),
	}
	if configuration := n.router.Configuration(); configuration != nil {
		status.Version = configuration.Version
	}
	if age, known := n.views.freshness.Age(); known {
		status.ConfigurationAgeMs = age.Milliseconds()
	}
	writer.Header().Set("Content-Type", "application/json")
	// The client may have disconnected; there is nobody to report the error to.
	_ = json.NewEncoder(writer).Encode(status)
}

func hostname() string {
	name, err := os.Hostname()
	if err != nil {
		return "unknown"
	}
	return name
}
