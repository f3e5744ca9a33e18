package routednode

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/clientconn"
	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/coordinator"
	"stepseam.example/stepseam/internal/distance"
	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/guardedstore"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/limits"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/origin"
	"stepseam.example/stepseam/internal/quarantine"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/router"
	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/shares"
	"stepseam.example/stepseam/internal/transcript"
)

func newInjector(adapter Adapter, cfg settings.Routed, logger *slog.Logger) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, adapter)
	do.ProvideValue(injector, cfg)
	do.ProvideValue(injector, logger)
	registry := prometheus.NewRegistry()
	do.ProvideValue(injector, registry)
	now := newClock()
	do.ProvideValue(injector, now)
	do.ProvideValue(injector, newAuthorityClock(now, time.Now))
	do.ProvideValue(injector, &freshness{})
	do.ProvideValue(injector, fleet.NewDirectory())
	do.ProvideValue(injector, evacuation.NewZones())
	do.ProvideValue(injector, distance.NewMap(string(cfg.Node.Zone), cfg.Zones))
	do.ProvideValue(injector, coldstart.NewLimiter(cfg.Node.Name))
	do.ProvideValue(injector, balance.NewTracker(string(cfg.Node.Zone)))
	do.ProvideValue(injector, exchange.NewClient(adapter.Names.Replica))
	do.ProvideValue(injector, clientconn.NewTracker(logger, registry))
	store := guardedstore.New(guardedstore.Config{
		Store: newCountedStore(adapter.NewStore(cfg.Store), registry), CallsPerSecond: cfg.Store.ReadsPerSecond,
		Logger: logger, Registerer: registry,
	})
	do.ProvideValue(injector, store)
	do.ProvideValue[logstore.Store](injector, store)
	do.Provide(injector, provideSelf)
	do.Provide(injector, provideLedger)
	do.Provide(injector, providePeers)
	do.Provide(injector, provideCoordinator)
	do.Provide(injector, provideAggregator)
	do.Provide(injector, provideShares)
	do.Provide(injector, provideLimits)
	do.Provide(injector, provideOrigins)
	do.Provide(injector, provideTranscripts)
	do.Provide(injector, provideQuarantine)
	do.Provide(injector, provideRouter)
	do.Provide(injector, provideColdReplicas)
	do.Provide(injector, provideEvacuations)
	do.Provide(injector, provideViews)
	do.Provide(injector, provideNode)
	return injector
}

// provideSelf returns this node's identity, with a new incarnation.
func provideSelf(injector do.Injector) (identity.Node, error) {
	cfg := do.MustInvoke[settings.Routed](injector)
	return identity.Node{
		Name: cfg.Node.Name, Zone: cfg.Node.Zone, Region: cfg.Node.Region,
		Incarnation: identity.Incarnation(time.Now().UnixNano()),
		PeerAddress: cfg.Addresses.ReachablePeers(), ProbeAddress: cfg.Addresses.ReachablePeers(),
	}, nil
}

func provideLedger(injector do.Injector) (*ledgerlog.Ledger, error) {
	cfg := do.MustInvoke[settings.Routed](injector)
	adapter := do.MustInvoke[Adapter](injector)
	return ledgerlog.New(ledgerlog.Config{
		Store: do.MustInvoke[logstore.Store](injector),
		Topic: adapter.LedgerTopic, TextTopic: adapter.TextTopic, ArchiveTopic: adapter.ArchiveTopic, Partitions: cfg.Store.Partitions,
		Producer:    string(coordinator.IncarnationOf(do.MustInvoke[identity.Node](injector).Reference())),
		RecordBytes: cfg.Store.RecordBytes, CallBytes: cfg.Store.CallBytes, Retain: cfg.Store.Retention(), IndexTextBytes: cfg.Store.IndexTextBytes,
		Availability: do.MustInvoke[*guardedstore.Store](injector),
		CacheBytes:   cfg.Machine.MemoryMebibytes * mebibyte / cacheDivisor,
		Logger:       do.MustInvoke[*slog.Logger](injector), Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}), nil
}

func providePeers(injector do.Injector) (*peers, error) {
	cfg := do.MustInvoke[settings.Routed](injector)
	if !cfg.Addresses.Peers.IsValid() {
		return nil, nil
	}
	return newPeers(cfg, do.MustInvoke[identity.Node](injector), do.MustInvoke[*slog.Logger](injector), do.MustInvoke[*prometheus.Registry](injector))
}

func provideCoordinator(injector do.Injector) (*coordinator.Service, error) {
	cfg := do.MustInvoke[settings.Routed](injector)
	config := coordinator.Config{
		Self: cfg.Node.Name, Ledger: do.MustInvoke[*ledgerlog.Ledger](injector),
		RoundTrip: func(zone identity.Zone) time.Duration {
			return do.MustInvoke[*distance.Map](injector).PathTo(string(zone)).RoundTrip
		},
		StoreAvailable: do.MustInvoke[*guardedstore.Store](injector).NodeAvailable,
		Logger:         do.MustInvoke[*slog.Logger](injector), Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}
	others, err := do.Invoke[*peers](injector)
	if err != nil {
		return nil, err
	}
	if others == nil {
		return coordinator.New(config), nil
	}
	config.Peers = others.transport
	config.Announce = func(changes uint64, everybody bool) {
		others.runner.BroadcastInfo(changes, cfg.Machine.Millicores(), everybody)
	}
	made := coordinator.New(config)
	made.Register(others.registry)
	others.onView = append(others.onView, made.SetView)
	return made, nil
}

// maxShareHolders is the number of nodes that hold shares of the tenants' limits. Each leases
// its share to each allocator, and the allocators are the same nodes, so that the messages
// grow with its square.
const maxShareHolders = 12

// provideShares returns nil if the node runs without peers.
func provideShares(injector do.Injector) (*shares.Service, error) {
	cfg := do.MustInvoke[settings.Routed](injector)
	others, err := do.Invoke[*peers](injector)
	if err != nil || others == nil {
		return nil, err
	}
	store := do.MustInvoke[*guardedstore.Store](injector)
	partition := do.MustInvoke[Adapter](injector).Shares
	config := shares.Config{
		Self: do.MustInvoke[identity.Node](injector), Store: store, Partition: partition, Peers: others.transport,
		Seeds: cfg.Seeds, MaxHolders: maxShareHolders,
		Await: func(ctx context.Context) error { return store.Await(ctx, partition) },
		Now:   do.MustInvoke[authorityClock](injector), Logger: do.MustInvoke[*slog.Logger](injector),
		Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}
	if limits.Strategy(cfg.Limits.Strategy) == limits.StrategyStaticShares {
		config.MaxHolders = math.MaxInt // each node grants its own share
	}
	made := shares.New(config)
	made.Register(others.registry)
	others.onView = append(others.onView, made.SetView)
	return made, nil
}

func provideLimits(injector do.Injector) (*limits.Service, error) {
	cfg := do.MustInvoke[settings.Routed](injector)
	config := limits.Config{
		Self: cfg.Node.Name, Incarnation: do.MustInvoke[identity.Node](injector).Incarnation, Address: cfg.Addresses.ReachablePeers(), Strategy: limits.Strategy(cfg.Limits.Strategy),
		Policy: quota.Policy{Window: cfg.Limits.Window, Overage: cfg.Limits.Overage, Slack: cfg.Limits.Slack},
		Now:    do.MustInvoke[authorityClock](injector), LessorNow: do.MustInvoke[clock](injector), Logger: do.MustInvoke[*slog.Logger](injector),
		Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}
	others, err := do.Invoke[*peers](injector)
	if err != nil {
		return nil, err
	}
	if others == nil {
		return limits.New(config), nil
	}
	table, err := do.Invoke[*shares.Service](injector)
	if err != nil {
		return nil, err
	}
	config.Peers, config.Shares = others.transport, table
	made := limits.New(config)
	table.OnChange(made.SetHolders)
	made.Register(others.registry)
	others.onView = append(others.onView, made.SetView)
	return made, nil
}

func provideOrigins(injector do.Injector) (*origin.Service, error) {
	config := origin.Config{
		Self: do.MustInvoke[settings.Routed](injector).Node.Name, Now: do.MustInvoke[clock](injector),
		Address: do.MustInvoke[settings.Routed](injector).Addresses.ReachablePeers(), Seeds: do.MustInvoke[settings.Routed](injector).Seeds,
		RoundTrip: func(zone identity.Zone) time.Duration {
			return do.MustInvoke[*distance.Map](injector).PathTo(string(zone)).RoundTrip
		},
		Logger: do.MustInvoke[*slog.Logger](injector), Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}
	others, err := do.Invoke[*peers](injector)
	if err != nil {
		return nil, err
	}
	if others == nil {
		return origin.New(config), nil
	}
	config.Peers = others.transport
	made := origin.New(config)
	made.Register(others.registry)
	others.onView = append(others.onView, made.SetView)
	return made, nil
}

func provideTranscripts(injector do.Injector) (*transcript.Service, error) {
	config := transcript.Config{
		Self: do.MustInvoke[identity.Node](injector), Now: do.MustInvoke[clock](injector),
		RoundTrip: func(zone identity.Zone) time.Duration {
			return do.MustInvoke[*distance.Map](injector).PathTo(string(zone)).RoundTrip
		},
		MaxBytes: do.MustInvoke[settings.Routed](injector).Machine.MemoryMebibytes * mebibyte / transcriptDivisor,
		Logger:   do.MustInvoke[*slog.Logger](injector), Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}
	others, err := do.Invoke[*peers](injector)
	if err != nil {
		return nil, err
	}
	if others == nil {
		return transcript.New(config), nil
	}
	config.Peers = others.transport
	made := transcript.New(config)
	made.Register(others.registry)
	others.onView = append(others.onView, made.SetView)
	return made, nil
}

func provideQuarantine(injector do.Injector) (*quarantine.Service, error) {
	config := quarantine.Config{
		Self: do.MustInvoke[settings.Routed](injector).Node.Name, Now: do.MustInvoke[clock](injector),
		Address: do.MustInvoke[settings.Routed](injector).Addresses.ReachablePeers(), Seeds: do.MustInvoke[settings.Routed](injector).Seeds,
		RoundTrip: func(zone identity.Zone) time.Duration {
			return do.MustInvoke[*distance.Map](injector).PathTo(string(zone)).RoundTrip
		},
		Replicas: do.MustInvoke[*fleet.Directory](injector), Dial: exchange.Dial,
		Log: do.MustInvoke[logstore.Store](injector), Ends: do.MustInvoke[Adapter](injector).Ends,
		Logger: do.MustInvoke[*slog.Logger](injector), Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}
	others, err := do.Invoke[*peers](injector)
	if err != nil {
		return nil, err
	}
	if others == nil {
		return quarantine.New(config), nil
	}
	config.Peers = others.transport
	made := quarantine.New(config)
	made.Register(others.registry)
	others.onView = append(others.onView, made.SetView)
	return made, nil
}

func provideRouter(injector do.Injector) (*router.Router, error) {
	aggregatorService, err := do.Invoke[*aggregator.Service](injector)
	if err != nil {
		return nil, err
	}
	fresh := do.MustInvoke[*freshness](injector)
	return router.New(router.Config{
		Keepers: aggregatorService, Now: do.MustInvoke[clock](injector),
		Names:      do.MustInvoke[Adapter](injector).Names,
		Zone:       string(do.MustInvoke[settings.Routed](injector).Node.Zone),
		ScanUpTo:   do.MustInvoke[settings.Routed](injector).ReplicaSelection.FullScanLimit,
		NodeNumber: xxhash.Sum64String(string(do.MustInvoke[settings.Routed](injector).Node.Name)),
		Replicas:   do.MustInvoke[*exchange.Client](injector), Fleet: do.MustInvoke[*fleet.Directory](injector),
		Regions:     do.MustInvoke[settings.Routed](injector).Zones,
		Distances:   do.MustInvoke[*distance.Map](injector),
		Evacuations: do.MustInvoke[*evacuation.Zones](injector), ColdStart: do.MustInvoke[*coldstart.Limiter](injector),
		Tracker: do.MustInvoke[*balance.Tracker](injector), Turns: do.MustInvoke[*coordinator.Service](injector),
		BufferBytes: int64(do.MustInvoke[settings.Routed](injector).Machine.MemoryMebibytes) * mebibyte / bufferDivisor,
		Limits:      do.MustInvoke[*limits.Service](injector),
		Origins:     do.MustInvoke[*origin.Service](injector),
		Transcripts: do.MustInvoke[*transcript.Service](injector),
		Quarantine:  do.MustInvoke[*quarantine.Service](injector),
		Lease:       do.MustInvoke[settings.Routed](injector).Keys.Lease(), Freshness: fresh,
		Random: rand.Float64, Logger: do.MustInvoke[*slog.Logger](injector),
		Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}), nil
}

func provideColdReplicas(injector do.Injector) (*coldReplicas, error) {
	made := &coldReplicas{
		limiter: do.MustInvoke[*coldstart.Limiter](injector), router: do.MustInvoke[*router.Router](injector),
	}
	made.register(do.MustInvoke[*prometheus.Registry](injector))
	others, err := do.Invoke[*peers](injector)
	if err == nil && others != nil {
		made.limiter.SetSeeds(do.MustInvoke[settings.Routed](injector).Seeds)
		others.onView = append(others.onView, func(view membership.View) { made.limiter.SetView(view, made.router.Now()) })
	}
	return made, err
}

func provideEvacuations(injector do.Injector) (*evacuations, error) {
	cold, err := do.Invoke[*coldReplicas](injector)
	if err != nil {
		return nil, err
	}
	return newEvacuations(evacuations{
		zones: do.MustInvoke[*evacuation.Zones](injector), decode: do.MustInvoke[Adapter](injector).DecodeEvacuation,
		fleet: do.MustInvoke[*fleet.Directory](injector), now: do.MustInvoke[clock](injector),
		onReturned: cold.zoneReturned,
		logger:     do.MustInvoke[*slog.Logger](injector),
	}, do.MustInvoke[*prometheus.Registry](injector)), nil
}

func provideViews(injector do.Injector) (*views, error) {
	return &views{
		regions: do.MustInvoke[settings.Routed](injector).Zones,
		adapter: do.MustInvoke[Adapter](injector), router: do.MustInvoke[*router.Router](injector),
		fleet: do.MustInvoke[*fleet.Directory](injector), tracker: do.MustInvoke[*balance.Tracker](injector),
		logger:    do.MustInvoke[*slog.Logger](injector),
		operators: newSharedTopic("configuration"), replicas: newSharedTopic("replicas"),
		unreadable: newUnreadableEntries(do.MustInvoke[*slog.Logger](injector), do.MustInvoke[*prometheus.Registry](injector)),
		freshness:  do.MustInvoke[*freshness](injector), evacuations: do.MustInvoke[*evacuations](injector),
		cold: do.MustInvoke[*coldstart.Limiter](injector),
	}, nil
}

func provideNode(injector do.Injector) (*node, error) {
	built := &node{
		adapter: do.MustInvoke[Adapter](injector), logger: do.MustInvoke[*slog.Logger](injector),
		router: do.MustInvoke[*router.Router](injector), replicas: do.MustInvoke[*exchange.Client](injector),
		ledger:      do.MustInvoke[*ledgerlog.Ledger](injector),
		coordinator: do.MustInvoke[*coordinator.Service](injector), peers: do.MustInvoke[*peers](injector), views: do.MustInvoke[*views](injector),
		aggregator:  do.MustInvoke[*aggregator.Service](injector),
		limits:      do.MustInvoke[*limits.Service](injector),
		origins:     do.MustInvoke[*origin.Service](injector),
		quarantine:  do.MustInvoke[*quarantine.Service](injector),
		shares:      do.MustInvoke[*shares.Service](injector),
		cold:        do.MustInvoke[*coldReplicas](injector),
		connections: do.MustInvoke[*clientconn.Tracker](injector), store: do.MustInvoke[logstore.Store](injector),
		registry: do.MustInvoke[*prometheus.Registry](injector),
	}
	cfg := do.MustInvoke[settings.Routed](injector)
	built.settings.Store(&cfg)
	if built.peers != nil && built.aggregator != nil {
		built.distances = &distances{
			paths: do.MustInvoke[*distance.Map](injector), now: do.MustInvoke[clock](injector), measure: built.aggregator.RoundTrip,
			logger: do.MustInvoke[*slog.Logger](injector),
		}
		built.distances.register(do.MustInvoke[*prometheus.Registry](injector))
		built.peers.onView = append(built.peers.onView, built.distances.setView)
	}
	built.ledger.SetLongestRest(built.longestRest)
	built.origins.SetVersions(built.views.onlyVersion)
	built.quarantine.SetFresh(built.views.replicasFresh)
	built.limits.SetLimits(built.limitOf, built.hasLimits)
	built.views.onConfiguration = append(built.views.onConfiguration, built.applyIdleLimit)
	if built.shares != nil {
		built.shares.SetEnabled(built.hasLimits)
		built.views.onConfiguration = append(built.views.onConfiguration, built.shares.NeedChanged)
	}
	frequent := &frequentReader{self: cfg.Node.Name}
	if built.peers != nil {
		built.peers.onView = append(built.peers.onView, frequent.SetView)
	}
	if built.peers != nil {
		built.topics = newTopics(injector, built)
	}
	store := do.MustInvoke[*guardedstore.Store](injector)
	members := func() int { return len(built.coordinator.Addresses()) + 1 }
	store.SetMembers(members)
	built.origins.SetConfirm(newViewConfirmer(built.views, store, cfg.Store.ReadsPerSecond, members, built.registry).Confirm)
	watchers := &topicWatchers{views: built.views, store: store, cfg: cfg, topics: built.topics, frequent: frequent, members: members}
	built.configurations, built.entries = watchers.configurations(), watchers.replicas()
	if built.peers != nil {
		built.relay = &relay{
			views: built.views, configurations: built.configurations,
			peers: built.peers.transport, others: built.coordinator.Addresses, logger: built.logger,
			lease: cfg.Keys.Lease(), storeAvailable: store.NodeAvailable,
			peerServed: store.PeerAnswered,
			reads:      func() bool { return built.topics.Reads(configurationTopic) },
		}
		built.relay.register(built.peers.registry)
	}
	exchange, err := newLoads(cfg, do.MustInvoke[*balance.Tracker](injector), built.router.Now, built.coordinator.Addresses)
	built.loads = exchange
	return built, err
}

// newTopics returns the service that distributes topics among nodes, and registers it with
// the peers.
func newTopics(injector do.Injector, built *node) *distribution.Service {
	cfg := do.MustInvoke[settings.Routed](injector)
	made := distribution.New(distribution.Config{
		Self: cfg.Node.Name, Own: cfg.Addresses.ReachablePeers(), Seeds: cfg.Seeds, Peers: built.peers.transport,
		LinkBytesPerSecond: cfg.Machine.LinkBytesPerSecond(),
		Policy:             distribution.Policy{DirectEntries: cfg.Watch.DirectEntries, ReadEntries: cfg.Watch.ReadEntries},
		Subscriptions:      []distribution.Subscription{configurationTopic: built.views.operatorSubscription(), replicasTopic: built.views.replicaSubscription()},
		Logger:             built.logger, Registerer: built.registry,
	})
	made.Register(built.peers.registry)
	built.peers.onView = append(built.peers.onView, made.SetView)
	return made
}
