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

// Manager claims, serves and hands over the shards of one node, and is a replica of
// other nodes' shards. It is safe for concurrent use.
type Manager struct {
	config    Config
	start     time.Time
	health    *logHealth
	random    *lockedRandom
	claims    *rate.Limiter
	handOvers *rate.Limiter
	counters  counters
	// local handles requests from this node to itself.
	local peer.HandlerFunc
	// replicas and slots are indexed by shard; each element has its own lock.
	replicas     []replicaSlot
	slots        []slot
	reachability *reachability
	// authorizations numbers authorizations and revocations of interim takeovers, so
	// that a replica can order them even if messages arrive late.
	authorizations atomic.Uint64
	// wake makes the claim loop run before its next interval.
	wake     chan struct{}
	draining atomic.Bool
	// running is the context of Run. It is set before started, and before any claim.
	running context.Context
	started atomic.Bool
	tasks   sync.WaitGroup
}

// slot is this node's state of one shard as its owner or as a claimant.
type slot struct {
	mutex sync.Mutex
	owned *ownedShard
	// attempt is closed when the claim in progress ends; nil if there is none.
	attempt chan struct{}
	// failure is the error of the last claim, which ended at failedAt; notBefore is when
	// the claim loop may retry.
	failure   error
	failures  int
	failedAt  time.Time
	notBefore time.Time
	// latestClaim is the claim with the highest epoch read from the log.
	latestClaim Claim
	// rival is the epoch of another node's claim that is not activated, first seen at
	// rivalSeen.
	rival     identity.Epoch
	rivalSeen time.Time
}

// New returns a Manager; Run starts it.
func New(config Config) *Manager {
	config = config.withDefaults()
	m := &Manager{
		config:       config,
		start:        time.Now(),
		health:       newLogHealth(),
		random:       &lockedRandom{random: rand.New(config.Random)},
		claims:       rate.NewLimiter(config.ClaimRate, max(1, int(config.ClaimRate)/4)),
		handOvers:    rate.NewLimiter(config.HandOverRate, max(1, int(config.HandOverRate)/4)),
		replicas:     make([]replicaSlot, config.ShardCount),
		slots:        make([]slot, config.ShardCount),
		reachability: newReachability(),
		wake:         make(chan struct{}, 1),
	}
	m.local = m.handle
	if config.Registerer != nil {
		config.Registerer.MustRegister(newCollector(m))
	}
	return m
}

// Run claims and serves shards until ctx ends. Shards that are still owned then stay
// leased until the lease expires, as after a crash; a planned stop calls Drain first.
func (m *Manager) Run(ctx context.Context) error {
	m.running = ctx
	m.started.Store(true)
	m.tasks.Go(func() { m.renewLoop(ctx) })
	m.tasks.Go(func() { m.probeLoop(ctx) })
	m.tasks.Go(func() { m.sweepLoop(ctx) })
	m.tasks.Go(func() { m.authorizationLoop(ctx) })
	m.claimLoop(ctx)
	for _, shard := range m.owned() {
		shard.lose(ctx.Err())
	}
	m.tasks.Wait()
	return nil
}

// owned returns the shards owned now, including those whose lease has lapsed.
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

// Owned returns the shards that this node owns, in ascending order.
func (m *Manager) Owned() []identity.ShardID {
	var ids []identity.ShardID
	for _, shard := range m.owned() {
		ids = append(ids, shard.id)
	}
	return ids
}

// OwnerHint returns the owner of shard as far as this node can tell: from its own
// ownership, from the lease it granted as a replica, or from the claims it read. It
// may be stale.
func (m *Manager) OwnerHint(shard identity.ShardID) (identity.Node, identity.Epoch, bool) {
	if int(shard) >= len(m.slots) {
		return identity.Node{}, 0, false
	}
	slot := &m.slots[shard]
	slot.mutex.Lock()
	owned, known := slot.owned, slot.latestClaim
	slot.mutex.Unlock()
	if owned != nil {
		return m.config.Self, owned.Epoch(), true
	}
	holder, epoch, held := m.replicas[shard].leaseHolder(time.Now())
	if held && epoch >= known.Epoch {
		if node, found := m.member(holder); found {
			return node, epoch, true
		}
	}
	return known.Owner, known.Epoch, known.Epoch > 0
}

// member returns the node of an incarnation from the membership view.
func (m *Manager) member(life identity.Reference) (identity.Node, bool) {
	for _, member := range m.config.Members.Load().Members {
		if member.Node.Reference() == life {
			return member.Node, true
		}
	}
	return identity.Node{}, false
}

// recordClaim updates latestClaim, which serves hints.
func (m *Manager) recordClaim(shard identity.ShardID, ledger *StreamState) {
	slot := &m.slots[shard]
	slot.mutex.Lock()
	defer slot.mutex.Unlock()
	if current := ledger.Current(); current.Epoch > slot.latestClaim.Epoch {
		slot.latestClaim = current
	}
}

// desired returns the desired placement of shard. A draining node is never the
// desired owner.
func (m *Manager) desired(shard identity.ShardID) (placement.Assignment, bool) {
	return m.config.Desired(shard, m.view())
}

// view returns the membership view, in which this node is leaving if it drains.
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

// drainingVersion marks the version of a draining node's view, so that placements
// cached by version are not mixed up with those of the unmodified view.
const drainingVersion = 1 << 63

// call sends request to node with ReplicaTimeout.
func (m *Manager) call(ctx context.Context, node identity.Node, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	return m.callWithin(ctx, m.config.ReplicaTimeout, node, request, onPart)
}

// callWithin sends request to node with the given timeout; requests to this node
// itself do not use the network.
func (m *Manager) callWithin(ctx context.Context, timeout time.Duration, node identity.Node, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	if node.Reference() == m.config.Self.Reference() {
		return m.local(ctx, request, onPart)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.config.Peers.Call(ctx, node.PeerAddress, request, onPart)
}

const (
	// probeInterval is the interval of probes while the log is unavailable.
	probeInterval = 500 * time.Millisecond
	// idleProbeInterval is the interval of probes while the log is available, so that
	// a node that writes nothing detects an outage too.
	idleProbeInterval = 2 * time.Second
)

// probeLoop checks periodically whether the log is available.
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
	m.recordLogOutcome(err)
}

// lockedRandom generates record ids and jitter.
type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

// duration returns a random duration in [0, limit).
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
