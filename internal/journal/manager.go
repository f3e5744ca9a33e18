package journal

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/placement"
	"stepseam.example/stepseam/internal/siteservices"
)

// Manager claims, keeps and hands over the shards of one node, and serves as a
// replica of other nodes' shards. It is safe for concurrent use.
type Manager struct {
	config   Config
	start    time.Time
	health   *logHealth
	random   *lockedRandom
	claims   *rate.Limiter
	moves    *rate.Limiter
	counters counters
	// local answers this node's requests to itself.
	local peer.HandlerFunc
	// replicas and slots are indexed by shard; each element has its own lock.
	replicas []replicaSlot
	slots    []slot
	reach    *reach
	// armings numbers what replicas are told about interim ownership, so that late
	// messages can be told from newer ones.
	armings atomic.Uint64
	// wake asks the claim loop to look again.
	wake     chan struct{}
	draining atomic.Bool
	// running is the context of Run, set before started and before anything is
	// claimed.
	running context.Context
	started atomic.Bool
	tasks   sync.WaitGroup
}

// slot is what this node knows and does about one shard as an owner.
type slot struct {
	mutex sync.Mutex
	owned *ownedShard
	// attempt is closed when the claim under way ends; nil while none is.
	attempt chan struct{}
	// failure is why the last claim failed, at failedAt; notBefore is when the claim
	// loop may try again.
	failure   error
	failures  int
	failedAt  time.Time
	notBefore time.Time
	// known is the highest claim read in the log.
	known Claim
	// rival is an unactivated claim of another node, first seen at rivalSeen.
	rival     identity.Epoch
	rivalSeen time.Time
}

// New returns a Manager that does nothing before Run.
func New(config Config) *Manager {
	config = config.withDefaults()
	m := &Manager{
		config:   config,
		start:    time.Now(),
		health:   newLogHealth(),
		random:   &lockedRandom{random: rand.New(config.Random)},
		claims:   rate.NewLimiter(config.ClaimRate, max(1, int(config.ClaimRate)/4)),
		moves:    rate.NewLimiter(config.MoveRate, max(1, int(config.MoveRate)/4)),
		replicas: make([]replicaSlot, config.ShardCount),
		slots:    make([]slot, config.ShardCount),
		reach:    newReach(),
		wake:     make(chan struct{}, 1),
	}
	m.local = m.handle
	if config.Registerer != nil {
		config.Registerer.MustRegister(newCollector(m))
	}
	return m
}

// Run claims and serves shards until ctx ends. Whatever is owned then is left to
// its lease, as after a kill; a planned stop calls Drain first.
func (m *Manager) Run(ctx context.Context) error {
	m.running = ctx
	m.started.Store(true)
	m.tasks.Go(func() { m.renewLoop(ctx) })
	m.tasks.Go(func() { m.probeLoop(ctx) })
	m.tasks.Go(func() { m.sweepLoop(ctx) })
	m.tasks.Go(func() { m.armLoop(ctx) })
	m.claimLoop(ctx)
	for _, shard := range m.owned() {
		shard.lose(ctx.Err())
	}
	m.tasks.Wait()
	return nil
}

// owned returns the shards held now, whether their lease runs or not.
func (m *Manager) owned() []*ownedShard {
	var held []*ownedShard
	for i := range m.slots {
		if shard := m.slots[i].load(); shard != nil {
			held = append(held, shard)
		}
	}
	return held
}

func (s *slot) load() *ownedShard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.owned
}

// Owned returns the shards that this node serves, in order.
func (m *Manager) Owned() []identity.ShardID {
	var ids []identity.ShardID
	for _, shard := range m.owned() {
		ids = append(ids, shard.id)
	}
	return ids
}

// OwnerHint returns who owns shard as far as this node knows: from its own
// ownership, from the lease it granted as a replica, or from the claims it read.
// It may be stale.
func (m *Manager) OwnerHint(shard identity.ShardID) (identity.Node, identity.Epoch, bool) {
	if int(shard) >= len(m.slots) {
		return identity.Node{}, 0, false
	}
	slot := &m.slots[shard]
	slot.mutex.Lock()
	owned, known := slot.owned, slot.known
	slot.mutex.Unlock()
	if owned != nil {
		return m.config.Self, owned.Epoch(), true
	}
	holder, epoch, held := m.replicas[shard].holder(time.Now())
	if held && epoch >= known.Epoch {
		if node, found := m.member(holder); found {
			return node, epoch, true
		}
	}
	return known.Owner, known.Epoch, known.Epoch > 0
}

// member returns the addresses of a node's life from the members' view.
func (m *Manager) member(life identity.Reference) (identity.Node, bool) {
	for _, member := range m.config.Members.Load().Members {
		if member.Node.Reference() == life {
			return member.Node, true
		}
	}
	return identity.Node{}, false
}

// noteClaim keeps the highest claim read, for hints.
func (m *Manager) noteClaim(shard identity.ShardID, ledger *Ledger) {
	slot := &m.slots[shard]
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	if current := ledger.Current(); current.Epoch > slot.known.Epoch {
		slot.known = current
	}
}

// desired returns where shard should be. A node that drains wants none.
func (m *Manager) desired(shard identity.ShardID) (placement.Assignment, bool) {
	return m.config.Desired(shard, m.view())
}

// view returns the members, with this node as leaving once it drains.
func (m *Manager) view() membership.View {
	view := m.config.Members.Load()
	if !m.draining.Load() {
		return view
	}
	members := make([]membership.Member, len(view.Members))
	copy(members, view.Members)
	for i := range members {
		if members[i].Node.Name == m.config.Self.Name {
			members[i].Status = membership.Leaving
		}
	}
	view.Members = members
	view.Version |= drainingVersion
	return view
}

// drainingVersion tells the view of a draining node from the members' own, for
// those who remember placements by version.
const drainingVersion = 1 << 63

// call sends request to node within ReplicaTimeout.
func (m *Manager) call(ctx context.Context, node identity.Node, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	return m.callWithin(ctx, m.config.ReplicaTimeout, node, request, onPart)
}

// callWithin sends request to node; requests to this node itself take no network.
func (m *Manager) callWithin(ctx context.Context, timeout time.Duration, node identity.Node, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	if node.Reference() == m.config.Self.Reference() {
		return m.local(ctx, request, onPart)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.config.Peers.Call(ctx, node.PeerAddress, request, onPart)
}

const (
	// probeInterval is the time between two looks at a log that was away.
	probeInterval = 500 * time.Millisecond
	// idleProbeInterval is the time between two looks at a log that is up: a node
	// that has nothing to write must learn of an outage too.
	idleProbeInterval = 2 * time.Second
)

// probeLoop asks a log that is away whether it is back, and one that is up, now
// and then, whether it still is.
func (m *Manager) probeLoop(ctx context.Context) {
	for {
		down, changed := m.health.watch()
		interval := idleProbeInterval
		if down {
			interval = probeInterval
		}
		timer := time.NewTimer(interval/2 + m.random.duration(interval/2))
		select {
		case <-timer.C:
			m.probe(ctx)
			if down {
				m.wakeClaims()
			}
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (m *Manager) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.config.LogTimeout)
	defer cancel()
	_, err := m.config.Log.Read(ctx, StreamName(0), 0, 1, 0)
	if errors.Is(err, siteservices.ErrOutcomeUnknown) {
		return
	}
	m.noteLog(err)
}

// lockedRandom is the source of record ids and jitter.
type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

// duration draws from 0 to below limit.
func (r *lockedRandom) duration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.random.Int64N(int64(limit)))
}

func (r *lockedRandom) shuffle(count int, swap func(i, j int)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.random.Shuffle(count, swap)
}

func (r *lockedRandom) recordID() RecordID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var id RecordID
	for i := range id {
		id[i] = byte(r.random.Uint32())
	}
	return id
}
