package routednode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/do/v2"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/router"
	"stepseam.example/stepseam/internal/settings"
)

const (
	mebibyte = 1 << 20
	// cacheShare is the part of the memory that the texts of turns may take.
	cacheShare = 8
	// clientIdle is how long a client's connection may rest. It is longer than any
	// configuration allows clients to rest, so that a close never crosses a request.
	clientIdle = 90 * time.Second
	// headerTime bounds the arrival of a request's head.
	headerTime = 10 * time.Second
	headBytes  = 64 << 10
)

// node is one running node.
type node struct {
	adapter     Adapter
	logger      *slog.Logger
	router      *router.Router
	replicas    *exchange.Client
	ledger      *ledgerlog.Ledger
	views       *views
	connections *router.Connections
	store       logstore.Store
	registry    *prometheus.Registry
	// settings are replaced as a whole by a reload.
	settings atomic.Pointer[settings.Routed]
	stopping atomic.Bool
	loops    sync.WaitGroup
	// clients is the listener of clients' connections.
	clients net.Listener
}

func newInjector(adapter Adapter, chosen settings.Routed, logger *slog.Logger) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, adapter)
	do.ProvideValue(injector, chosen)
	do.ProvideValue(injector, logger)
	do.ProvideValue(injector, prometheus.NewRegistry())
	do.ProvideValue(injector, fleet.NewDirectory())
	do.ProvideValue(injector, balance.NewTracker(string(chosen.Node.Zone)))
	do.ProvideValue(injector, exchange.NewClient(adapter.Names.Replica))
	do.ProvideValue(injector, router.NewConnections())
	do.ProvideValue(injector, adapter.NewStore(chosen.Store))
	do.Provide(injector, provideLedger)
	do.Provide(injector, provideRouter)
	do.Provide(injector, provideViews)
	do.Provide(injector, provideNode)
	return injector
}

func provideLedger(injector do.Injector) (*ledgerlog.Ledger, error) {
	chosen := do.MustInvoke[settings.Routed](injector)
	adapter := do.MustInvoke[Adapter](injector)
	return ledgerlog.New(ledgerlog.Config{
		Store: do.MustInvoke[logstore.Store](injector),
		Topic: adapter.LedgerTopic, TextTopic: adapter.TextTopic, Partitions: chosen.Store.Partitions,
		Producer:    string(chosen.Node.Name) + "." + strconv.FormatUint(rand.Uint64(), 36),
		RecordBytes: chosen.Store.RecordBytes, CallBytes: chosen.Store.CallBytes,
		CacheBytes: chosen.Machine.MemoryMebibytes * mebibyte / cacheShare,
		Logger:     do.MustInvoke[*slog.Logger](injector), Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}), nil
}

func provideRouter(injector do.Injector) (*router.Router, error) {
	return router.New(router.Config{
		Names:    do.MustInvoke[Adapter](injector).Names,
		Replicas: do.MustInvoke[*exchange.Client](injector), Fleet: do.MustInvoke[*fleet.Directory](injector),
		Tracker: do.MustInvoke[*balance.Tracker](injector), Ledger: do.MustInvoke[*ledgerlog.Ledger](injector),
		Random: rand.Float64, Logger: do.MustInvoke[*slog.Logger](injector),
		Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}), nil
}

func provideViews(injector do.Injector) (*views, error) {
	return &views{
		adapter: do.MustInvoke[Adapter](injector), router: do.MustInvoke[*router.Router](injector),
		fleet: do.MustInvoke[*fleet.Directory](injector), tracker: do.MustInvoke[*balance.Tracker](injector),
		logger: do.MustInvoke[*slog.Logger](injector),
	}, nil
}

func provideNode(injector do.Injector) (*node, error) {
	built := &node{
		adapter: do.MustInvoke[Adapter](injector), logger: do.MustInvoke[*slog.Logger](injector),
		router: do.MustInvoke[*router.Router](injector), replicas: do.MustInvoke[*exchange.Client](injector),
		ledger: do.MustInvoke[*ledgerlog.Ledger](injector), views: do.MustInvoke[*views](injector),
		connections: do.MustInvoke[*router.Connections](injector), store: do.MustInvoke[logstore.Store](injector),
		registry: do.MustInvoke[*prometheus.Registry](injector),
	}
	chosen := do.MustInvoke[settings.Routed](injector)
	built.settings.Store(&chosen)
	return built, nil
}

// start binds the node's addresses and begins to follow and to serve.
func (n *node) start(ctx context.Context) error {
	chosen := n.settings.Load()
	n.run(ctx, n.views.configurations(n.store, chosen.Follow).Run)
	n.run(ctx, n.views.replicas(n.store, chosen.Follow).Run)
	n.run(ctx, n.replicas.Run)
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

// ready tells whether new connections are welcome: configuration and replicas are
// known and no stop has been asked for.
func (n *node) ready() bool {
	return !n.stopping.Load() && n.router.Configuration() != nil && n.views.listed.Load()
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
	return mux
}

func hostname() string {
	name, err := os.Hostname()
	if err != nil {
		return "unknown"
	}
	return name
}
