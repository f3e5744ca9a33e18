package node

import (
	"context"
	"hash/maphash"
	"log/slog"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
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
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/placement"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/siteservices"
)

type platformAddress = netip.AddrPort

// Seed seeds the random choices of a node; simulations override it for reproducibility.
type Seed uint64

// NewInjector returns a container that provides all services of one node. A test may
// override the seed and everything that connects to other systems before Build: Network,
// siteservices.Log, siteservices.MachineList, siteservices.WeightStore and
// backend.Directory.
func NewInjector(chosen settings.Settings, logger *slog.Logger) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, chosen)
	do.ProvideValue(injector, logger)
	do.ProvideValue(injector, Seed(maphash.String(maphash.MakeSeed(), string(chosen.Node.Name))))
	do.ProvideValue(injector, identity.Node{
		Name: chosen.Node.Name, Zone: chosen.Node.Zone, Region: chosen.Node.Region,
		Incarnation:  identity.Incarnation(time.Now().UnixNano()),
		PeerAddress:  chosen.Addresses.Peer,
		ProbeAddress: chosen.Addresses.Probe,
	})
	do.ProvideValue(injector, prometheus.NewRegistry())
	do.ProvideValue(injector, blackboard.NewBoard())
	do.ProvideValue(injector, peer.NewRegistry())
	do.ProvideValue(injector, serving.Hooks{})
	do.ProvideValue(injector, models.Hooks{})
	do.ProvideValue(injector, models.NewDemand())
	do.ProvideValue[scheduling.Policy](injector, scheduling.NewStepseam())
	providePlatform(injector)
	do.Provide(injector, provideOwner)
	do.Provide(injector, provideJournal)
	do.Provide(injector, provideForwarder)
	do.Provide(injector, provideTables)
	do.Provide(injector, provideMachines)
	do.Provide(injector, provideMembers)
	do.Provide(injector, provideBackends)
	do.Provide(injector, provideModels)
	provideHTTP(injector)
	return injector
}

func provideOwner(injector do.Injector) (*serving.Owner, error) {
	chosen := do.MustInvoke[settings.Settings](injector)
	return serving.NewOwner(serving.Config{
		Self:       chosen.Node.Name,
		ShardCount: chosen.Shards.Count,
		Board:      do.MustInvoke[*blackboard.Board](injector),
		Directory:  do.MustInvoke[*models.Demand](injector).Count(do.MustInvoke[*backends.Controller](injector).Directory()),
		Policy:     do.MustInvoke[scheduling.Policy](injector),
		Logger:     componentLogger(injector, "serving"),
		Registerer: do.MustInvoke[*prometheus.Registry](injector),
		// The forwarder depends on the owner, so it is resolved only when the audit runs.
		ProgramAlive: func(ctx context.Context, program identity.ProgramID) (bool, bool, error) {
			forwarder, err := do.Invoke[*forwarding.Forwarder](injector)
			if err != nil {
				return false, false, err
			}
			return forwarder.ProgramAlive(ctx, program)
		},
		// The model controller depends on the journal, which depends on the owner.
		ModelWait: func(model, adapter string) (time.Duration, bool) {
			controller, err := do.Invoke[*models.Controller](injector)
			if err != nil {
				return 0, false
			}
			return controller.ExpectedWait(model, adapter)
		},
		Timing: serving.Timing{
			SequenceGapTimeout: chosen.Limits.SequenceGapWait,
			AuditInterval:      chosen.Backends.AuditInterval,
		},
		CachedTokens: do.MustInvoke[*backends.Controller](injector).CacheMap().Tokens,
		Hooks:        do.MustInvoke[serving.Hooks](injector),
	}), nil
}

func provideJournal(injector do.Injector) (*journal.Manager, error) {
	chosen := do.MustInvoke[settings.Settings](injector)
	board := do.MustInvoke[*blackboard.Board](injector)
	manager := journal.New(journal.Config{
		Self:          do.MustInvoke[identity.Node](injector),
		ShardCount:    chosen.Shards.Count,
		Lease:         journal.LeaseTerms{Duration: chosen.Shards.LeaseDuration},
		RenewInterval: chosen.Shards.LeaseRenewal,
		DurableWait:   chosen.Journal.DurableTimeout,
		BatchDelay:    chosen.Journal.FlushInterval,
		SnapshotBytes: int(chosen.Journal.ShardTailBytes),
		Log:           do.MustInvoke[siteservices.Log](injector),
		Peers:         do.MustInvoke[Network](injector).Client(),
		Members:       board.Members,
		Host:          do.MustInvoke[*serving.Owner](injector),
		Logger:        componentLogger(injector, "journal"),
		Random:        randomSource(injector, "journal"),
		Registerer:    do.MustInvoke[*prometheus.Registry](injector),
	})
	manager.Register(do.MustInvoke[*peer.Registry](injector))
	return manager, nil
}

func provideForwarder(injector do.Injector) (*forwarding.Forwarder, error) {
	chosen := do.MustInvoke[settings.Settings](injector)
	manager := do.MustInvoke[*journal.Manager](injector)
	cache := &placement.Cache{}
	return forwarding.New(forwarding.Config{
		Self:       do.MustInvoke[identity.Node](injector).Reference(),
		ShardCount: chosen.Shards.Count,
		Local:      do.MustInvoke[*serving.Owner](injector),
		Client:     do.MustInvoke[Network](injector).Client(),
		Board:      do.MustInvoke[*blackboard.Board](injector),
		OwnerHint:  manager.OwnerHint,
		Ranks: func(shard identity.ShardID, view membership.View, n int) []identity.Node {
			return cache.Get(view).Ranks(shard, n)
		},
		Logger: componentLogger(injector, "forwarding"),
	}, do.MustInvoke[*peer.Registry](injector)), nil
}

func provideTables(injector do.Injector) (*tables.Controller, error) {
	chosen := do.MustInvoke[settings.Settings](injector)
	controller := tables.New(tables.Config{
		Self:           chosen.Node.Name,
		Log:            do.MustInvoke[siteservices.Log](injector),
		Peers:          do.MustInvoke[Network](injector).Client(),
		Board:          do.MustInvoke[*blackboard.Board](injector),
		Logger:         componentLogger(injector, "tables"),
		PollWait:       chosen.Table.PollWait,
		PeerInterval:   chosen.Table.PeerInterval,
		PublishTimeout: chosen.Table.PublishTimeout,
		Random:         randomFloats(injector, "tables"),
	})
	controller.Register(do.MustInvoke[*peer.Registry](injector))
	return controller, nil
}

func provideMachines(injector do.Injector) (*machines.Controller, error) {
	chosen := do.MustInvoke[settings.Settings](injector)
	return machines.New(machines.Config{
		List:       do.MustInvoke[siteservices.MachineList](injector),
		Board:      do.MustInvoke[*blackboard.Board](injector),
		Interval:   chosen.Platform.MachineListInterval,
		Logger:     componentLogger(injector, "machines"),
		Registerer: do.MustInvoke[*prometheus.Registry](injector),
	}), nil
}

func provideMembers(injector do.Injector) (*members.Controller, error) {
	chosen := do.MustInvoke[settings.Settings](injector)
	manager := do.MustInvoke[*journal.Manager](injector)
	return members.New(members.Config{
		Self:        do.MustInvoke[identity.Node](injector),
		Board:       do.MustInvoke[*blackboard.Board](injector),
		Seeds:       chosen.Seeds,
		Conn:        do.MustInvoke[Network](injector).Packets(),
		RandomSeed:  randomSource(injector, "members").Uint64(),
		OwnedShards: func() int { return len(manager.Owned()) },
		Logger:      componentLogger(injector, "members"),
		Registerer:  do.MustInvoke[*prometheus.Registry](injector),
	}), nil
}

func provideBackends(injector do.Injector) (*backends.Controller, error) {
	chosen := do.MustInvoke[settings.Settings](injector)
	return backends.New(backends.Config{
		Node:         chosen.Node.Name,
		Board:        do.MustInvoke[*blackboard.Board](injector),
		Directory:    do.MustInvoke[backend.Directory](injector),
		PollInterval: chosen.Backends.PollInterval,
		PollTimeout:  chosen.Backends.PollTimeout,
		Random:       randomFloats(injector, "backends"),
		Logger:       componentLogger(injector, "backends"),
		Registerer:   do.MustInvoke[*prometheus.Registry](injector),
	}), nil
}

func provideModels(injector do.Injector) (*models.Controller, error) {
	chosen := do.MustInvoke[settings.Settings](injector)
	return models.New(models.Config{
		ShardCount: chosen.Shards.Count,
		Board:      do.MustInvoke[*blackboard.Board](injector),
		Directory:  do.MustInvoke[backend.Directory](injector),
		Weights:    do.MustInvoke[siteservices.WeightStore](injector),
		OwnedEpoch: do.MustInvoke[*journal.Manager](injector).OwnedEpoch,
		Demand:     do.MustInvoke[*models.Demand](injector),
		Logger:     componentLogger(injector, "models"),
		Registerer: do.MustInvoke[*prometheus.Registry](injector),
		Hooks:      do.MustInvoke[models.Hooks](injector),
	}), nil
}

func componentLogger(injector do.Injector, component string) *slog.Logger {
	return do.MustInvoke[*slog.Logger](injector).With("component", component)
}
