package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/holders"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

const (
	// announceFrom is the number of counting attempts from which on all nodes are told of a
	// content. Contents that are not the cause of any end rarely reach it. At a site of up to
	// smallSite nodes, all are told of the first one: when many replicas end at once, each node
	// gets a record of each request that ran there.
	announceFrom = MaxEnded - 1
	smallSite    = 100
)

const (
	// noticeWait bounds the wait until enough other nodes have stored a record, before the request
	// is sent again or its client is answered. announceWait bounds the wait until all have.
	noticeWait   = 250 * time.Millisecond
	announceWait = 100 * time.Millisecond
	// memberMemory is how long nodes that are gone count for a majority: they may be cut off.
	memberMemory = 30 * time.Second
	// takeoverDelay is how long a holder waits for the node that reported an attempt to tell all
	// nodes, before it does so itself.
	takeoverDelay = 40 * time.Millisecond
)

// Replicas is the node's view of the replicas' entries.
type Replicas interface {
	Presence(instance string) (fleet.Presence, bool)
	Recovering(now time.Duration) bool
}

// Config configures a Service. Peers is nil if there are no other nodes; Seeds, RoundTrip and
// Registerer may be nil.
type Config struct {
	Self identity.NodeName
	// Address is this node's peer address.
	Address netip.AddrPort
	Peers   peer.Client
	// Seeds are addresses of other nodes, which a node that starts asks for records.
	Seeds []netip.AddrPort
	// RoundTrip returns the round trip time to a zone.
	RoundTrip func(zone identity.Zone) time.Duration
	Replicas  Replicas
	// Dial connects to a replica.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Now returns a monotonic reading.
	Now        func() time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Service tracks the attempts under which replicas end. It is safe for concurrent use.
type Service struct {
	config  Config
	table   *table
	copies  *holders.Distributor[Key]
	metrics *metrics
	// fresh reports whether the view of the replicas' entries is up to date.
	fresh func() bool
	// isolated is set while too few other nodes store the records of this one: it can't know then
	// how many replicas have ended elsewhere.
	isolated atomic.Bool
	// synced is set once another node has told its records, or none can.
	synced atomic.Bool
	// watch holds this node's attempts whose replicas may turn out to live. The table's mutex
	// guards it; watching is its size.
	watch    map[Replica][]Attempt
	watching atomic.Int64
	// members are the nodes of the last view, leaving those of them that stop: they serve requests
	// until they end. peak is the largest number of members within memberMemory, as seen at peakAt,
	// without those that have left as planned since. met is set once there were others. The table's
	// mutex guards them.
	members map[identity.NodeName]identity.Incarnation
	leaving map[identity.NodeName]bool
	peak    int
	peakAt  time.Duration
	met     bool
}

// Attempt is a registered attempt; the zero value is none.
type Attempt struct {
	key Key
	id  uint64
}

// New returns a service without records.
func New(config Config) *Service {
	made := &Service{
		config: config, table: newTable(), watch: map[Replica][]Attempt{}, members: map[identity.NodeName]identity.Incarnation{config.Self: 0},
		fresh: func() bool { return true },
	}
	made.metrics = newMetrics(made.table, config.Registerer)
	made.copies = holders.NewDistributor(holders.Config[Key]{
		Self: config.Self, Peers: config.Peers, RoundTrip: config.RoundTrip, Now: config.Now,
		Key: func(key Key) holders.Key { return holders.Key(key) }, Notice: made.newNotice, Stored: made.isStored,
		Current: func(key Key) (Key, bool) { return key, made.known(key) }, Leaving: true, OnNotice: made.metrics.countNotice, OnEnded: made.noteEnded,
	})
	made.synced.Store(config.Peers == nil)
	return made
}

// SetFresh sets what reports whether the view of the replicas' entries is up to date. It must be
// called before the service is used.
func (s *Service) SetFresh(fresh func() bool) { s.fresh = fresh }

// Synced reports whether this node knows what others knew when it started.
func (s *Service) Synced() bool { return s.synced.Load() }

// Idle reports whether no replica has lately ended under any request, as far as this node knows.
// The other methods have nothing to do then.
func (s *Service) Idle() bool { return s.table.size.Load() == 0 && s.synced.Load() }

// Check returns an error that wraps ErrQuarantined, ErrUnclear or ErrStarting if the request may not
// be sent.
func (s *Service) Check(request *Request) error {
	if s.Idle() {
		return nil
	}
	if !s.Synced() {
		return ErrStarting
	}
	now := s.config.Now()
	s.table.mutex.Lock()
	found, known := s.table.records[request.Key]
	if !known || now >= found.expiresAt {
		s.table.mutex.Unlock()
		return nil
	}
	err := s.verdict(found, 0)
	extended := false
	if err != nil && found.identified && found.expiresAt < now+request.lifetime()/2 {
		found.expiresAt, extended = now+min(request.lifetime(), maxLifetime), true
	}
	s.table.mutex.Unlock()
	if extended {
		s.copies.Broadcast(request.Key, 0)
	}
	return err
}

// verdict returns why a request may not be sent, apart from the attempt with the given ID. The
// caller must hold the table's mutex.
func (s *Service) verdict(found *entry, except uint64) error {
	if ended := found.ended(); ended >= MaxEnded {
		if !found.identified && s.config.Now() < found.lastBroken()+SettleTime {
			return ErrSettling
		}
		return fmt.Errorf("%w: %d", ErrQuarantined, ended)
	}
	possible := found.possible(except)
	if possible >= MaxEnded {
		return fmt.Errorf("%w: %d", ErrUnclear, possible)
	}
	if found.identified && possible > 0 && s.inMinority() {
		return fmt.Errorf("%w: too few other nodes can be reached", ErrUnclear)
	}
	return nil
}

// inMinority reports whether this node may know of fewer ends than others. The caller must hold the
// table's mutex.
func (s *Service) inMinority() bool {
	count := s.countMembers()
	return count > 1 && (s.isolated.Load() || 2*len(s.members) <= count)
}

// Begin is called right before a request is sent to a replica. If replicas have ended under it, or
// may have, and its content identifies it, it registers the attempt, so that it counts even if this
// node ends. The last one that is allowed is registered with a majority of the nodes, so that nodes
// that are cut from each other don't send the request both. registered is not the zero value if the
// request is sent to the same replica again. Errors: as of Check.
func (s *Service) Begin(ctx context.Context, request *Request, send Send, registered Attempt) (Attempt, error) {
	if s.Idle() {
		return registered, nil
	}
	now := s.config.Now()
	s.table.mutex.Lock()
	found, known := s.table.records[request.Key]
	if !known || now >= found.expiresAt {
		s.table.mutex.Unlock()
		return registered, nil
	}
	possible := found.possible(0)
	if err := s.verdict(found, registered.id); err != nil || registered != (Attempt{}) || !found.identified || possible == 0 && !found.suspect() {
		s.table.mutex.Unlock()
		return registered, err
	}
	last := possible == MaxEnded-1
	added := found.add(&attempt{id: rand.Uint64(), replica: send.Replica, state: stateOpen, began: send.Began, until: send.Until, own: true})
	s.table.mutex.Unlock()
	made := Attempt{key: request.Key, id: added.id}
	err := s.register(ctx, found, made, last)
	if err != nil {
		s.End(made)
		return Attempt{}, err
	}
	return made, nil
}

// register tells other nodes of an attempt that is about to be made: a majority of them if it is
// the last that is allowed. Errors: as of Check.
func (s *Service) register(ctx context.Context, found *entry, made Attempt, last bool) error {
	started := s.copies.Distribute(made.key)
	if last {
		started = s.copies.Broadcast(made.key, s.majority()-1)
	}
	await(ctx, started.Enough(), noticeWait)
	s.table.mutex.Lock()
	err := s.verdict(found, made.id)
	unknown := found.possible(made.id) >= MaxEnded-1 && !last
	s.table.mutex.Unlock()
	switch {
	case err != nil:
		return err
	case unknown:
		return s.register(ctx, found, made, true)
	case last && started.Stored()+1 < s.majority():
		return fmt.Errorf("%w: %d nodes know of this one, fewer than a majority", ErrUnclear, started.Stored())
	}
	return nil
}

// End is called when a registered attempt is over without a doubt about its replica.
func (s *Service) End(ended Attempt) {
	if ended == (Attempt{}) {
		return
	}
	s.advance(ended, stateCleared)
}

// advance sets the state of an attempt unless it is further, and tells others.
func (s *Service) advance(of Attempt, to state) {
	s.table.mutex.Lock()
	found, known := s.table.records[of.key]
	var one *attempt
	if known {
		one = found.find(of.id)
	}
	if one == nil || one.state >= to {
		s.table.mutex.Unlock()
		return
	}
	shared := one.state > stateWatched || to != stateCleared
	one.state = to
	s.logIfQuarantined(found)
	s.table.mutex.Unlock()
	if shared {
		s.tell(of.key)
	}
}

// tell starts to tell other nodes of a content: all of them if they know of it already, or if
// enough attempts count.
func (s *Service) tell(key Key) {
	s.copies.Distribute(key)
	if s.shouldAnnounce(key) || s.announced(key) {
		s.copies.Broadcast(key, 0)
	}
}

// shouldAnnounce reports whether all nodes are to be told of a content, and notes that they are.
func (s *Service) shouldAnnounce(key Key) bool {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	if !known {
		return false
	}
	// Attempts that are under way are known to the holders.
	over := found.broken()
	if over < s.announceFrom() || over <= found.announced {
		return false
	}
	found.announced = over
	return true
}

// announceFrom is the number of counting attempts from which on all nodes are told. The caller must
// hold the table's mutex.
func (s *Service) announceFrom() int {
	if len(s.members) <= smallSite {
		return 1
	}
	return announceFrom
}

// counted returns the number of counting attempts of a content.
func (s *Service) counted(key Key) int {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	if !known {
		return 0
	}
	return found.count()
}

// Suspects reports whether a replica has ended under a content that identifies its request, or may
// have.
func (s *Service) Suspects(key Key) bool {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	return known && found.identified && found.count() > 0
}

func (s *Service) announced(key Key) bool {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	return known && found.announced > 0
}

// report tells other nodes of a content and waits until they have stored it, or noticeWait has
// passed: the client comes back to another node as soon as it is answered.
func (s *Service) report(ctx context.Context, key Key) {
	started := s.copies.Distribute(key)
	await(ctx, started.Enough(), noticeWait)
	s.noteEnded(started)
	// The holders' responses tell of attempts at other nodes.
	if !s.shouldAnnounce(key) && !s.announced(key) {
		return
	}
	told := s.copies.Broadcast(key, 0)
	if s.counted(key) >= announceFrom {
		await(ctx, told.Done(), announceWait)
	}
}

func await(ctx context.Context, done <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// noteEnded notes whether enough nodes have stored a record.
func (s *Service) noteEnded(ended *holders.Distribution[Key]) {
	s.isolated.Store(ended.Stored() < min(holders.EnoughCopies, s.majority()-1))
}

// majority is the number of nodes, with this one, that are more than half of those that may run.
func (s *Service) majority() int {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	return s.countMembers()/2 + 1
}

// countMembers returns the number of nodes that may run, also cut off from this one. The caller
// must hold the table's mutex.
func (s *Service) countMembers() int {
	if s.config.Peers == nil {
		return 1
	}
	if s.config.Now()-s.peakAt > memberMemory {
		s.peak, s.peakAt = len(s.members), s.config.Now()
	}
	if !s.met && len(lo.Without(s.config.Seeds, s.config.Address)) > 0 {
		return 2 // a node that has just started
	}
	return max(s.peak, 1)
}

func (s *Service) known(key Key) bool {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	return known && s.config.Now() < found.expiresAt
}

// SetView updates the members. Nodes that are new are told what all nodes know.
func (s *Service) SetView(view membership.View) {
	s.copies.SetView(view)
	s.table.mutex.Lock()
	before := s.members
	s.members = map[identity.NodeName]identity.Incarnation{}
	var added []identity.Node
	for _, node := range s.copies.Members().All.Nodes() {
		s.members[node.Name] = node.Incarnation
		if known, found := before[node.Name]; (!found || known != node.Incarnation) && node.Name != s.config.Self {
			added = append(added, node)
		}
	}
	s.met = s.met || len(s.members) > 1
	for name := range s.leaving {
		if _, found := s.members[name]; !found {
			s.peak--
		}
	}
	s.leaving = map[identity.NodeName]bool{}
	for i := range view.Members {
		if view.Members[i].Status == membership.Leaving {
			s.leaving[view.Members[i].Node.Name] = true
		}
	}
	if now := s.config.Now(); len(s.members) >= s.peak || now-s.peakAt > memberMemory {
		s.peak, s.peakAt = len(s.members), now
	}
	keys := s.announcedKeys()
	s.table.mutex.Unlock()
	if len(keys) == 0 {
		return
	}
	for _, node := range added {
		key := (&Content{Host: string(node.Name)}).Key()
		greeters := s.copies.Members().Reachable.Rank(holders.Key(key), node.Name, greeterCount, greeterCount)
		if lo.ContainsBy(greeters, func(one identity.Node) bool { return one.Name == s.config.Self }) {
			for _, key := range keys {
				s.copies.SendTo(key, node)
			}
		}
	}
}

// greeterCount is the number of nodes that tell a new one what all know.
const greeterCount = 3

// announcedKeys returns the contents that all nodes should know. The caller must hold the table's
// mutex.
func (s *Service) announcedKeys() []Key {
	return lo.FilterMap(lo.Values(s.table.records), func(one *entry, _ int) (Key, bool) { return one.key, one.announced > 0 })
}

// Answered is called when the client of a request has got its whole answer. Where contents do not
// identify requests, ends before belong to requests that are over.
func (s *Service) Answered(request *Request) {
	if s.Idle() || request.Identified {
		return
	}
	s.table.mutex.Lock()
	found, known := s.table.records[request.Key]
	voided := known && found.voidUntil(s.config.Now())
	s.table.mutex.Unlock()
	if voided {
		s.tell(request.Key)
	}
}

// Lift lets a content be sent again, at all nodes. It returns false if nothing is known of it.
func (s *Service) Lift(key Key) bool {
	s.table.mutex.Lock()
	found, known := s.table.records[key]
	lifted := known && found.voidUntil(s.config.Now())
	if lifted {
		found.quarantined = false
	}
	s.table.mutex.Unlock()
	if lifted {
		s.config.Logger.Warn("quarantine lifted by an operator", "content", key.String())
		s.copies.Broadcast(key, 0)
	}
	return lifted
}

// logIfQuarantined logs and counts a content that has just reached MaxEnded. The caller must hold
// the table's mutex.
func (s *Service) logIfQuarantined(found *entry) {
	if found.quarantined || found.ended() < MaxEnded {
		return
	}
	found.quarantined = true
	s.metrics.quarantined.Inc()
	s.config.Logger.Warn("request quarantined, replicas have ended under it", "content", found.key.String(),
		"identified", found.identified, "ends", found.ends(s.config.Now()), "left_ms", (found.expiresAt - s.config.Now()).Milliseconds())
}
