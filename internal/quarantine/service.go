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

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/holders"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/peer"
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
	// Log stores attempts under which replicas have ended, in the keyed partition Ends, beyond the loss
	// of all nodes. It is nil if there is none.
	Log  logstore.Store
	Ends logstore.Partition
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
	// archive is nil if there is no log.
	archive *archive
	// fresh reports whether the view of the replicas' entries is up to date.
	fresh func() bool
	// isolatedUntil is set, as a reading of Now in nanoseconds, if too few other nodes have stored a
	// record of this one: until then it can't know how many replicas have ended elsewhere.
	isolatedUntil atomic.Int64
	// synced is set once this node knows what others knew and what is stored, or nobody can tell.
	synced atomic.Bool
	// told is closed once another node has told this one, after its start, what it knows.
	told chan struct{}
	// watch holds this node's attempts whose replicas may turn out to live. The table's mutex
	// guards it; watching is its size.
	watch     map[Replica][]Attempt
	watching  atomic.Int64
	lingering lingering
	// undecidedUntil is when missing or present entries last told nothing. The table's mutex guards it.
	undecidedUntil time.Duration
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
		config: config, table: newTable(), told: make(chan struct{}), lingering: lingering{replicas: map[Replica][]overAttempt{}}, watch: map[Replica][]Attempt{}, members: map[identity.NodeName]identity.Incarnation{config.Self: 0},
		fresh: func() bool { return true },
	}
	made.metrics = newMetrics(made.table, config.Registerer)
	made.copies = holders.NewDistributor(holders.Config[Key]{
		Self: config.Self, Peers: config.Peers, RoundTrip: config.RoundTrip, Now: config.Now,
		Key: func(key Key) holders.Key { return holders.Key(key) }, Notice: made.newNotice, Stored: made.storedBy,
		Current: func(key Key) (Key, bool) { return key, made.known(key) }, Leaving: true, OnNotice: made.onNotice, OnEnded: made.noteEnded,
	})
	if config.Log != nil {
		made.archive = newArchive(config.Log, config.Ends, config.Self, config.Logger)
		made.table.onRemoved = made.removeArchived
	}
	made.synced.Store(config.Peers == nil && config.Log == nil)
	return made
}

// onNotice counts and logs how a copy of records to another node ended.
func (s *Service) onNotice(notice holders.Notice) {
	s.metrics.countNotice(notice)
	if notice.Err != nil {
		s.config.Logger.Info("records of broken attempts not copied to node", "holder", notice.Holder, "records", notice.Records, "error", notice.Err)
	}
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
	err := s.verdict(found, request, 0)
	extended := false
	if err != nil && found.expiresAt < now+request.lifetime()/2 && (found.identified || now < found.lastBroken()+maxLifetime) {
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
func (s *Service) verdict(found *entry, request *Request, except uint64) error {
	if ended := found.ended(); ended >= MaxEnded {
		now := s.config.Now()
		switch {
		case !found.identified && now < found.lastBroken()+SettleTime:
			return ErrSettling
		case ended == MaxEnded && now > found.lastBroken()+sharedTime && now+request.ClientLeft > found.clientUntil+clientSkew && s.doubtful(found):
			if found.isTried(except) {
				return fmt.Errorf("%w: an equal request is under way", ErrUnclear)
			}
			return nil
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

// doubtful reports whether the ends under a content that does not identify its request may have
// another cause: as many other replicas ended at about the same time. The caller must hold the table's
// mutex.
func (s *Service) doubtful(found *entry) bool {
	if found.identified {
		return false
	}
	if found.doubt == nil {
		doubt := s.table.othersEnded(found) >= MaxEnded
		found.doubt = &doubt
	}
	return *found.doubt
}

// Begin is called right before a request is sent to a replica. If replicas have ended under it, or
// may have, it registers the attempt, so that it counts even if this node ends. The last one that is
// allowed is registered with a majority of the nodes, so that nodes that are cut from each other don't
// send the request both. Of equal requests that their content does not identify, a few at a time are
// registered, and only one that is tried again waits for a majority. registered is not the zero value if
// the request is sent to the same replica again. Errors: as of Check, or that of ctx.
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
	err := s.verdict(found, request, registered.id)
	trial := !found.identified && possible >= MaxEnded
	if err != nil || registered != (Attempt{}) || possible == 0 && !(found.identified && found.suspect()) || !trial && found.sharedByMany() {
		s.table.mutex.Unlock()
		return registered, err
	}
	last := trial || found.identified && possible == MaxEnded-1
	added := found.add(&attempt{id: rand.Uint64(), replica: send.Replica, state: stateOpen, began: send.Began, until: send.Until, own: true})
	s.table.mutex.Unlock()
	made := Attempt{key: request.Key, id: added.id}
	err = s.register(ctx, found, request, made, last)
	if err != nil {
		s.End(made)
		return Attempt{}, err
	}
	return made, nil
}

// register tells other nodes of an attempt that is about to be made, and stores it: a majority of the
// nodes knows of the last that is allowed, and all counting attempts are stored then. Errors: as of
// Check, or that of ctx.
func (s *Service) register(ctx context.Context, found *entry, request *Request, made Attempt, last bool) error {
	started := s.copies.Distribute(made.key)
	if last {
		started = s.copies.Broadcast(made.key, s.majority()-1)
	}
	stored := s.store(made.key, last)
	await(ctx, started.Enough(), noticeWait)
	await(ctx, stored.done, noticeWait)
	s.table.mutex.Lock()
	err := s.verdict(found, request, made.id)
	unknown := found.identified && found.possible(made.id) >= MaxEnded-1 && !last
	s.table.mutex.Unlock()
	switch {
	case err != nil:
		return err
	case ctx.Err() != nil:
		return fmt.Errorf("quarantine: register an attempt: %w", ctx.Err())
	case unknown:
		return s.register(ctx, found, request, made, true)
	case last && started.Stored()+1 < s.majority():
		return fmt.Errorf("%w: %d nodes know of this one, fewer than a majority", ErrUnclear, started.Stored())
	case last && !s.isStored(stored):
		return fmt.Errorf("%w: the attempts before this one are not stored", ErrUnclear)
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
	own := one.own
	s.logIfQuarantined(found)
	s.table.mutex.Unlock()
	if to == stateCleared {
		s.unstore(of, own)
	}
	if shared {
		s.tell(of.key)
	}
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

func (s *Service) known(key Key) bool {
	s.table.mutex.Lock()
	defer s.table.mutex.Unlock()
	found, known := s.table.records[key]
	return known && s.config.Now() < found.expiresAt
}

// Answered is called when the client of a request has got its whole answer. Where contents do not
// identify requests, ends before belong to requests that are over.
func (s *Service) Answered(request *Request) {
	if s.Idle() || request.Identified {
		return
	}
	s.table.mutex.Lock()
	found, known := s.table.records[request.Key]
	var voided []*attempt
	if known {
		voided = found.voidUntil(s.config.Now())
	}
	s.table.mutex.Unlock()
	if len(voided) > 0 {
		s.unstoreAll(request.Key, voided)
		s.tell(request.Key)
	}
}

// Lift lets a content be sent again, at all nodes. It returns false if nothing is known of it.
func (s *Service) Lift(key Key) bool {
	s.table.mutex.Lock()
	found, known := s.table.records[key]
	var lifted []*attempt
	if known {
		lifted = found.voidUntil(s.config.Now())
	}
	s.table.mutex.Unlock()
	if len(lifted) > 0 {
		s.unstoreAll(key, lifted)
		s.config.Logger.Warn("quarantine lifted by an operator", "content", key.String())
		s.copies.Broadcast(key, 0)
	}
	return len(lifted) > 0
}

// logIfQuarantined notes the replicas that have ended under a content, and logs and counts one that has
// just reached MaxEnded. The caller must hold the table's mutex.
func (s *Service) logIfQuarantined(found *entry) {
	s.table.noteEnds(found)
	before := found.quarantined
	found.quarantined = found.ended() >= MaxEnded
	if before || !found.quarantined {
		return
	}
	s.metrics.quarantined.Inc()
	s.config.Logger.Warn("request quarantined, replicas have ended under it", "content", found.key.String(),
		"identified", found.identified, "ends", found.ends(s.config.Now()), "left_ms", (found.expiresAt - s.config.Now()).Milliseconds())
}
