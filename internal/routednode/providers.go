package routednode

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/balance"
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
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/router"
	"stepseam.example/stepseam/internal/settings"
)

func newInjector(adapter Adapter, chosen settings.Routed, logger *slog.Logger) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, adapter)
	do.ProvideValue(injector, chosen)
	do.ProvideValue(injector, logger)
	registry := prometheus.NewRegistry()
	do.ProvideValue(injector, registry)
	do.ProvideValue(injector, newClock())
	do.ProvideValue(injector, &freshness{})
	do.ProvideValue(injector, fleet.NewDirectory())
	do.ProvideValue(injector, evacuation.NewZones())
	do.ProvideValue(injector, distance.NewMap(string(chosen.Node.Zone), chosen.Zones))
	do.ProvideValue(injector, coldstart.NewLimiter(chosen.Node.Name))
	do.ProvideValue(injector, balance.NewTracker(string(chosen.Node.Zone)))
	do.ProvideValue(injector, exchange.NewClient(adapter.Names.Replica))
	do.ProvideValue(injector, router.NewConnections())
	store := guardedstore.New(guardedstore.Config{
		Store: newCountedStore(adapter.NewStore(chosen.Store), registry), CallsPerSecond: chosen.Store.ReadsPerSecond,
		Logger: logger, Registerer: registry,
	})
	do.ProvideValue(injector, store)
	do.ProvideValue[logstore.Store](injector, store)
	do.Provide(injector, provideSelf)
	do.Provide(injector, provideLedger)
	do.Provide(injector, providePeers)
	do.Provide(injector, provideHomes)
	do.Provide(injector, provideKeepers)
	do.Provide(injector, provideLimits)
	do.Provide(injector, provideRouter)
	do.Provide(injector, provideColdReplicas)
	do.Provide(injector, provideEvacuations)
	do.Provide(injector, provideViews)
	do.Provide(injector, provideNode)
	return injector
}

// provideSelf names this life of the node.
func provideSelf(injector do.Injector) (identity.Node, error) {
	chosen := do.MustInvoke[settings.Routed](injector)
	return identity.Node{
		Name: chosen.Node.Name, Zone: chosen.Node.Zone, Region: chosen.Node.Region,
		Incarnation: identity.Incarnation(time.Now().UnixNano()),
		PeerAddress: chosen.Addresses.Peers, ProbeAddress: chosen.Addresses.Peers,
	}, nil
}

func provideLedger(injector do.Injector) (*ledgerlog.Ledger, error) {
	chosen := do.MustInvoke[settings.Routed](injector)
	adapter := do.MustInvoke[Adapter](injector)
	return ledgerlog.New(ledgerlog.Config{
		Store: do.MustInvoke[logstore.Store](injector),
		Topic: adapter.LedgerTopic, TextTopic: adapter.TextTopic, Partitions: chosen.Store.Partitions,
		Producer:    string(coordinator.IncarnationOf(do.MustInvoke[identity.Node](injector).Reference())),
		RecordBytes: chosen.Store.RecordBytes, CallBytes: chosen.Store.CallBytes, Retain: chosen.Store.Retention(), IndexTextBytes: chosen.Store.IndexTextBytes,
		Availability: do.MustInvoke[*guardedstore.Store](injector),
		CacheBytes:   chosen.Machine.MemoryMebibytes * mebibyte / cacheShare,
		Logger:       do.MustInvoke[*slog.Logger](injector), Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}), nil
}

func providePeers(injector do.Injector) (*peers, error) {
	chosen := do.MustInvoke[settings.Routed](injector)
	if !chosen.Addresses.Peers.IsValid() {
		return nil, nil
	}
	return newPeers(chosen, do.MustInvoke[identity.Node](injector), do.MustInvoke[*slog.Logger](injector), do.MustInvoke[*prometheus.Registry](injector))
}

func provideHomes(injector do.Injector) (*coordinator.Service, error) {
	chosen := do.MustInvoke[settings.Routed](injector)
	config := coordinator.Config{
		Self: chosen.Node.Name, Ledger: do.MustInvoke[*ledgerlog.Ledger](injector),
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
		others.runner.BroadcastInfo(changes, chosen.Machine.Millicores(), everybody)
	}
	made := coordinator.New(config)
	made.Register(others.registry)
	others.onView = append(others.onView, made.SetView)
	return made, nil
}

func provideLimits(injector do.Injector) (*limits.Service, error) {
	chosen := do.MustInvoke[settings.Routed](injector)
	config := limits.Config{
		Self: chosen.Node.Name, Strategy: limits.Strategy(chosen.Limits.Strategy),
		Policy: quota.Policy{Window: chosen.Limits.Window, Overage: chosen.Limits.Overage, Slack: chosen.Limits.Slack},
		Now:    do.MustInvoke[clock](injector), Logger: do.MustInvoke[*slog.Logger](injector),
		Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}
	others, err := do.Invoke[*peers](injector)
	if err != nil {
		return nil, err
	}
	if others == nil {
		return limits.New(config), nil
	}
	config.Peers = others.transport
	made := limits.New(config)
	made.Register(others.registry)
	others.onView = append(others.onView, made.SetView)
	return made, nil
}

func provideRouter(injector do.Injector) (*router.Router, error) {
	keepers, err := do.Invoke[*aggregator.Service](injector)
	if err != nil {
		return nil, err
	}
	fresh := do.MustInvoke[*freshness](injector)
	return router.New(router.Config{
		Keepers: keepers, Now: do.MustInvoke[clock](injector),
		Names:      do.MustInvoke[Adapter](injector).Names,
		Zone:       string(do.MustInvoke[settings.Routed](injector).Node.Zone),
		ScanUpTo:   do.MustInvoke[settings.Routed](injector).ReplicaSelection.FullScanLimit,
		NodeNumber: xxhash.Sum64String(string(do.MustInvoke[settings.Routed](injector).Node.Name)),
		Replicas:   do.MustInvoke[*exchange.Client](injector), Fleet: do.MustInvoke[*fleet.Directory](injector),
		Regions:     do.MustInvoke[settings.Routed](injector).Zones,
		Distances:   do.MustInvoke[*distance.Map](injector),
		Evacuations: do.MustInvoke[*evacuation.Zones](injector), ColdStart: do.MustInvoke[*coldstart.Limiter](injector),
		Tracker: do.MustInvoke[*balance.Tracker](injector), Turns: do.MustInvoke[*coordinator.Service](injector),
		BufferBytes: int64(do.MustInvoke[settings.Routed](injector).Machine.MemoryMebibytes) * mebibyte / bufferShare,
		Limits:      do.MustInvoke[*limits.Service](injector),
		Lease:       do.MustInvoke[settings.Routed](injector).Keys.Lease(), Freshness: fresh,
		Random: rand.Float64, Logger: do.MustInvoke[*slog.Logger](injector),
		Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}), nil
}

func provideColdReplicas(injector do.Injector) (*coldReplicas, error) {
	made := &coldReplicas{
		gate: do.MustInvoke[*coldstart.Limiter](injector), router: do.MustInvoke[*router.Router](injector),
	}
	made.register(do.MustInvoke[*prometheus.Registry](injector))
	others, err := do.Invoke[*peers](injector)
	if err == nil && others != nil {
		made.gate.SetSeeds(do.MustInvoke[settings.Routed](injector).Seeds, made.router.Now())
		others.onView = append(others.onView, func(view membership.View) { made.gate.SetView(view, made.router.Now()) })
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
		returned: cold.returned,
		logger:   do.MustInvoke[*slog.Logger](injector),
	}, do.MustInvoke[*prometheus.Registry](injector)), nil
}

func provideViews(injector do.Injector) (*views, error) {
	return &views{
		regions: do.MustInvoke[settings.Routed](injector).Zones,
		adapter: do.MustInvoke[Adapter](injector), router: do.MustInvoke[*router.Router](injector),
		fleet: do.MustInvoke[*fleet.Directory](injector), tracker: do.MustInvoke[*balance.Tracker](injector),
		logger:    do.MustInvoke[*slog.Logger](injector),
		operators: newHeldTopic("configuration"), replicas: newHeldTopic("replicas"),
		unreadable: newUnreadableEntries(do.MustInvoke[*slog.Logger](injector), do.MustInvoke[*prometheus.Registry](injector)),
		freshness:  do.MustInvoke[*freshness](injector), evacuations: do.MustInvoke[*evacuations](injector),
		cold: do.MustInvoke[*coldstart.Limiter](injector),
	}, nil
}

func provideNode(injector do.Injector) (*node, error) {
	built := &node{
		adapter: do.MustInvoke[Adapter](injector), logger: do.MustInvoke[*slog.Logger](injector),
		router: do.MustInvoke[*router.Router](injector), replicas: do.MustInvoke[*exchange.Client](injector),
		ledger: do.MustInvoke[*ledgerlog.Ledger](injector),
		homes:  do.MustInvoke[*coordinator.Service](injector), peers: do.MustInvoke[*peers](injector), views: do.MustInvoke[*views](injector),
		keepers:     do.MustInvoke[*aggregator.Service](injector),
		limits:      do.MustInvoke[*limits.Service](injector),
		cold:        do.MustInvoke[*coldReplicas](injector),
		connections: do.MustInvoke[*router.Connections](injector), store: do.MustInvoke[logstore.Store](injector),
		registry: do.MustInvoke[*prometheus.Registry](injector),
	}
	chosen := do.MustInvoke[settings.Routed](injector)
	built.settings.Store(&chosen)
	if built.peers != nil && built.keepers != nil {
		built.distances = &distances{
			known: do.MustInvoke[*distance.Map](injector), now: do.MustInvoke[clock](injector), measure: built.keepers.RoundTrip,
			logger: do.MustInvoke[*slog.Logger](injector),
		}
		built.distances.register(do.MustInvoke[*prometheus.Registry](injector))
		built.peers.onView = append(built.peers.onView, built.distances.setView)
	}
	built.limits.SetLimits(built.limitOf)
	reading := &readers{self: chosen.Node.Name}
	if built.peers != nil {
		built.peers.onView = append(built.peers.onView, reading.SetView)
	}
	if built.peers != nil {
		built.topics = newTopics(injector, built)
	}
	gated := do.MustInvoke[*guardedstore.Store](injector)
	members := func() int { return len(built.homes.Addresses()) + 1 }
	gated.SetMembers(members)
	followed := &following{views: built.views, store: gated, chosen: chosen, topics: built.topics, readers: reading, members: members}
	built.configurations, built.entries = followed.configurations(), followed.replicas()
	if built.peers != nil {
		built.relay = &relay{
			views: built.views, configurations: built.configurations,
			peers: built.peers.transport, others: built.homes.Addresses, logger: built.logger,
			lease: chosen.Keys.Lease(), storeAnswers: gated.NodeAvailable,
			peerAnswered: gated.PeerAnswered,
			reads:        func() bool { return built.topics.Reads(configurationTopic) },
		}
		built.relay.register(built.peers.registry)
	}
	exchange, err := newLoads(chosen, do.MustInvoke[*balance.Tracker](injector), built.router.Now, built.homes.Addresses)
	built.loads = exchange
	return built, err
}

// newTopics joins the node with those that hear of the store from each other.
func newTopics(injector do.Injector, built *node) *distribution.Service {
	chosen := do.MustInvoke[settings.Routed](injector)
	made := distribution.New(distribution.Config{
		Self: chosen.Node.Name, Own: chosen.Addresses.Peers, Seeds: chosen.Seeds, Peers: built.peers.transport,
		LinkBytesPerSecond: chosen.Machine.LinkBytesPerSecond(),
		Policy:             distribution.Policy{DirectEntries: chosen.Watch.DirectEntries, ReadEntries: chosen.Watch.ReadEntries},
		Subscriptions:      []distribution.Subscription{configurationTopic: built.views.operatorsFeed(), replicasTopic: built.views.replicasFeed()},
		Logger:             built.logger, Registerer: built.registry,
	})
	made.Register(built.peers.registry)
	built.peers.onView = append(built.peers.onView, made.SetView)
	return made
}
