package shares

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/watch"
	"stepseam.example/stepseam/internal/wire"
)

const (
	// rankKey ranks the members for the publication of tables.
	rankKey = "shares"
	// producer is the producer of the tables in the store. All nodes share it: its epoch is
	// the version of the table, so that the store accepts one table of each version.
	producer = "shares"
	// tableKey is the key of the table in its topic.
	tableKey = "table"

	// planInterval is the time between two checks whether the table must change.
	planInterval = 500 * time.Millisecond
	// watchWait is how long a read of the store waits for a change. A confirmation is this
	// old at most while the store responds.
	watchWait = 6 * time.Second
	// maxWatchPause bounds the pause between reads that fail.
	maxWatchPause = 2 * time.Second
	// relayAge is the age from which a node asks others for their table.
	relayAge       = watchWait + 2*time.Second
	relayTimeout   = 300 * time.Millisecond
	publishTimeout = 2 * time.Second
	// publishPause is the time between two attempts to publish.
	publishPause = 3 * time.Second
)

// Config configures a Service.
type Config struct {
	Self identity.Node
	// Store has the table under one key of Partition, which is a partition of a keyed topic.
	Store     logstore.Store
	Partition logstore.Partition
	// Await blocks until the store may be read; nil means always.
	Await func(ctx context.Context) error
	Peers peer.Client
	// Seeds are the addresses of nodes through which this one joins. They may be stale.
	Seeds []netip.AddrPort
	// MaxHolders bounds the holders of a table.
	MaxHolders int
	// Now returns a monotonic reading that also advances while the machine is suspended.
	Now        func() time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Service keeps a node's view of the table up to date, and publishes new tables if this node
// is the first in rank. It is safe for concurrent use.
type Service struct {
	config  Config
	watcher *watch.Watcher
	// enabled and onChange are set before Run.
	enabled  func() bool
	onChange []func(holders []Holder)
	// needChanged has a value if enabled may return something else than before.
	needChanged chan struct{}

	// notifyMutex orders the calls of onChange. It is locked before mutex.
	notifyMutex sync.Mutex
	// notified is the version passed to onChange last; notifyMutex guards it.
	notified uint64

	// mutex guards all fields below. It is not held during calls.
	mutex   sync.Mutex
	history History
	planner *planner
	members []membership.Member
	// publishAfter is the earliest time of the next attempt to publish.
	publishAfter time.Duration
	startedAt    time.Duration
	// observedAt is when the newest table was observed, storeVersion the newest version that
	// was read from the store.
	observedAt   time.Duration
	storeVersion uint64
	// seedSeen means that this node has seen a seed other than itself among the members, or
	// that none is configured.
	seedSeen bool
	// lost means that the store did not have the newest known table when it was read last.
	lost bool
	// snapshotRead is set once the store has been read, and verifyAfter the earliest time of the
	// next read besides the watcher's.
	snapshotRead bool
	verifyAfter  time.Duration
	// taken is the highest version that the store accepts no more although it has no such table.
	taken uint64
}

// New returns a service without a table.
func New(config Config) *Service {
	service := &Service{config: config, enabled: func() bool { return true }, needChanged: make(chan struct{}, 1), planner: newPlanner(config.MaxHolders), startedAt: config.Now()}
	service.watcher = watch.New(watch.Config{
		Name: "share table", Store: config.Store, Partition: config.Partition,
		Pause: func() time.Duration { return 0 }, Wait: func() time.Duration { return watchWait },
		LongestPause: func() time.Duration { return maxWatchPause },
		OnSnapshot:   func(items []logstore.Item, _ logstore.Offset) { service.observeSnapshot(items) },
		OnChanges:    func(_ logstore.Offset, items []logstore.Item, _ logstore.Offset) { service.observeItems(items) },
		OnRecovered:  func() {},
		OnConfirmed: func(sent time.Time) {
			// The monotonic reading misses the time in which the machine was suspended.
			service.confirm(config.Now() - max(time.Since(sent), time.Now().Round(0).Sub(sent.Round(0))))
		},
		Await:  config.Await,
		Logger: config.Logger,
	})
	if config.Registerer != nil {
		config.Registerer.MustRegister(
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "stepseam_share_fraction", Help: "Fraction that this node holds of what is divided among the holders of shares.",
			}, func() float64 { return service.Fraction(config.Now()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "stepseam_share_table_age_seconds", Help: "Time since this node confirmed that it knows the newest share table; -1 if it never did.",
			}, service.ageSeconds),
		)
	}
	return service
}

func (s *Service) ageSeconds() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	age, known := s.history.Age(s.config.Now())
	if !known {
		return -1
	}
	return age.Seconds()
}

// OnChange registers a function that is called with the holders of each new table. It must
// be called before Run.
func (s *Service) OnChange(notify func(holders []Holder)) {
	s.onChange = append(s.onChange, notify)
}

// SetEnabled sets the function that reports whether the table is needed. Until it does, the
// service does not call the store. It must be called before Run.
func (s *Service) SetEnabled(enabled func() bool) { s.enabled = enabled }

// NeedChanged lets the service ask again whether the table is needed. It does not block.
func (s *Service) NeedChanged() {
	select {
	case s.needChanged <- struct{}{}:
	default: // it will ask anyway
	}
}

// SetView sets the members.
func (s *Service) SetView(view membership.View) {
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seedSeen = s.seedSeen || s.containsSeed(view)
	s.members = view.Members
	s.planner.setView(view, now)
}

// containsSeed reports whether a view has a seed other than this node.
func (s *Service) containsSeed(view membership.View) bool {
	others := slices.DeleteFunc(slices.Clone(s.config.Seeds), func(seed netip.AddrPort) bool { return seed == s.config.Self.PeerAddress })
	return len(others) == 0 || slices.ContainsFunc(view.Members, func(m membership.Member) bool { return slices.Contains(others, m.Node.PeerAddress) })
}

// Known reports whether any table is known.
func (s *Service) Known() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history.newest.Version > 0
}

// Fraction returns the fraction that this node may use, or pass on, for UseTTL.
func (s *Service) Fraction(now time.Duration) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history.Fraction(HolderOf(s.config.Self), now)
}

// Run watches the table and publishes new ones until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	watching := false
	for {
		if !watching && s.enabled() {
			watching = true
			go s.watcher.Run(ctx)
		}
		if watching {
			s.relay(ctx)
			s.verifyStored(ctx)
			s.publishIfDue(ctx)
		}
		select {
		case <-ticker.C:
		case <-s.needChanged:
		case <-ctx.Done():
			return
		}
	}
}

// observeSnapshot records the table in the store, if there is one.
func (s *Service) observeSnapshot(items []logstore.Item) {
	s.mutex.Lock()
	s.storeVersion, s.snapshotRead = 0, true
	s.mutex.Unlock()
	s.observeItems(items)
}

// observeItems records the tables among records of the store.
func (s *Service) observeItems(items []logstore.Item) {
	for _, item := range items {
		if item.Key != tableKey {
			continue
		}
		if len(item.Value) == 0 {
			s.observeDeletion()
			continue
		}
		decoder := wire.NewDecoder(item.Value)
		table := decodeTable(decoder)
		if err := decoder.Finish(); err != nil {
			s.config.Logger.Error("share table in the store is unreadable", "error", err)
			continue
		}
		s.setStoreVersion(table.Version)
		s.observe(table, "store")
	}
}

func (s *Service) observeDeletion() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storeVersion = 0
	if s.history.newest.Version > 0 && !s.lost {
		s.setLostLocked()
	}
}

// setLostLocked lets the table be published again without a pause, since nodes that start
// meanwhile find none. It requires the mutex.
func (s *Service) setLostLocked() {
	s.lost, s.publishAfter = true, 0
	s.NeedChanged()
	s.config.Logger.Error("the store has lost the share table", "known_version", s.history.newest.Version, "store_version", s.storeVersion)
}

func (s *Service) setStoreVersion(version uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storeVersion = version
}

func (s *Service) observe(table Table, source string) {
	now := s.config.Now()
	s.mutex.Lock()
	if table.Version > s.history.newest.Version {
		s.observedAt = now
	}
	s.history.Observe(table, now)
	s.mutex.Unlock()
	s.notify(source)
}

// notify passes the newest table on, unless it has been already.
func (s *Service) notify(source string) {
	s.notifyMutex.Lock()
	defer s.notifyMutex.Unlock()
	s.mutex.Lock()
	newest := s.history.newest
	s.mutex.Unlock()
	if newest.Version == s.notified {
		return
	}
	s.notified = newest.Version
	s.config.Logger.Info("share table changed", "version", newest.Version, "holders", len(newest.Holders),
		"self_holds", HolderOf(s.config.Self).IsAmong(newest.Holders), "source", source)
	for _, notify := range s.onChange {
		notify(newest.Holders)
	}
}

// confirm records that everything in the store at a given time has been observed. If that
// does not include the newest known table, the store has lost it, and the table is confirmed
// by no read until it is published again.
func (s *Service) confirm(at time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := s.history.newest.Version
	switch {
	case s.storeVersion >= newest:
		s.lost = false
		s.history.Confirm(at)
	case at > s.observedAt && !s.lost:
		s.setLostLocked()
	}
}

// relay asks another node for its table if this node's is old.
func (s *Service) relay(ctx context.Context) {
	now := s.config.Now()
	s.mutex.Lock()
	age, known := s.history.Age(now)
	others := slices.DeleteFunc(slices.Clone(s.members), func(m membership.Member) bool { return m.Node.Name == s.config.Self.Name })
	s.mutex.Unlock()
	if known && age < relayAge || len(others) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	response, err := s.config.Peers.Call(call, others[rand.IntN(len(others))].Node.PeerAddress, &tableRequest{}, nil)
	got, ok := response.(*tableResponse)
	if err != nil || !ok || got.Table.Version == 0 {
		return // another node is asked next time
	}
	s.observeResponse(got, now)
}

// observeResponse records what a peer knows, which was asked at a given time.
func (s *Service) observeResponse(response *tableResponse, askedAt time.Duration) {
	s.observe(response.Table, "peer")
	if response.Known {
		s.confirmVersion(response.Table.Version, askedAt-response.Age)
	}
}

// Register registers the messages and handlers.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(func() peer.Message { return &tableRequest{} }, func() peer.Message { return &tableResponse{} })
	registry.Handle(kindTableRequest, peer.HandlerFunc(s.handleTableRequest))
}

func (s *Service) handleTableRequest(context.Context, peer.Message, func(peer.Message) error) (peer.Message, error) {
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	age, known := s.history.Age(now)
	return &tableResponse{Table: s.history.Newest(now), Known: known, Age: age}, nil
}
