package aggregator

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/loads"
)

const (
	// refreshInterval is the time between two reports on a replica without changes. Several
	// fit into reportTTL, so that lost datagrams and a change of the aggregator are
	// compensated.
	refreshInterval = 300 * time.Millisecond
	// QueryTimeout is how long the responses to a query are awaited. It is several times
	// the latency between the zones of a region, and less than prefilling a prompt again
	// takes.
	QueryTimeout = 8 * time.Millisecond
	// unresponsiveTTL is how long an aggregator that has not responded in time is not
	// awaited. It is still queried, and its next response ends the exclusion.
	unresponsiveTTL = 500 * time.Millisecond
)

// Replica identifies a replica and its location.
type Replica struct {
	// Instance is the replica's incarnation ID, see fleet.Replica.IncarnationID.
	Instance, Zone string
	// CapacityTokens is the size of its prefix cache; 0 if unknown.
	CapacityTokens int
}

// Service sends reports and queries to aggregators and acts as one, over UDP. It is safe
// for concurrent use.
type Service struct {
	config       Config
	aggregates   *Aggregates
	localAddress netip.AddrPort
	// startedAt is the wall clock's reading at the start in Unix nanoseconds. It is added
	// to sequences, so that they increase across restarts.
	startedAt uint64

	// mutex guards all fields below.
	mutex      sync.Mutex
	lastNumber uint32
	pending    map[uint32]*pendingQuery
	// unresponsiveUntil holds the aggregators that have not responded in time.
	unresponsiveUntil map[netip.AddrPort]time.Duration
	// reports holds the latest report on each replica, to be repeated.
	reports map[string]*lastReport
}

// Config configures a Service. All fields but OnEjectionChange are required.
type Config struct {
	Conn      *net.UDPConn
	Placement *Placement
	// Now returns a monotonic reading.
	Now      func() time.Duration
	Observer Observer
	// OnEjectionChange is called when a replica aggregated by this node is ejected or
	// reinstated.
	OnEjectionChange func(changed EjectionChange)
}

// Observer receives the events that a Service counts.
type Observer interface {
	// QueryDone is called after a query with its duration, the number of aggregators that
	// were awaited and the number of those that responded in time.
	QueryDone(took time.Duration, queried, responded int)
	// Sent and Received are called with the payload bytes of each datagram.
	Sent(bytes int)
	Received(bytes int)
	// InvalidDatagram is called for each datagram that cannot be decoded.
	InvalidDatagram()
}

// pendingQuery is a query whose responses are awaited. The service's mutex guards it.
type pendingQuery struct {
	// missing holds the aggregators that have not responded.
	missing map[netip.AddrPort]bool
	states  map[ReplicaKey]State
	// queried is the initial size of missing.
	queried int
	// done is closed when missing becomes empty.
	done chan struct{}
}

// await returns when all responses have arrived, the timeout has passed or ctx ends.
func (w *pendingQuery) await(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lastReport is the latest report on a replica. idle counts its repetitions without load.
type lastReport struct {
	replica Replica
	load    loads.Load
	idle    int
}

// New returns a service. Until Run is called it repeats no reports and responds to no
// queries.
func New(config Config) *Service {
	localAddress, _ := netip.ParseAddrPort(config.Conn.LocalAddr().String())
	return &Service{
		config: config, aggregates: NewAggregates(), localAddress: localAddress, startedAt: uint64(time.Now().UnixNano()),
		pending: map[uint32]*pendingQuery{}, unresponsiveUntil: map[netip.AddrPort]time.Duration{}, reports: map[string]*lastReport{},
	}
}

// Aggregates returns the aggregates of this node.
func (s *Service) Aggregates() *Aggregates { return s.aggregates }

// Run responds to queries and repeats reports until ctx ends; then it closes the socket.
func (s *Service) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.config.Conn.Close() })
	defer stop()
	go s.receive()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.repeat()
		case <-ctx.Done():
			return
		}
	}
}

// Report sends this node's current load at a replica to the replica's aggregator. segments
// is a prompt that the replica caches from now on, or nil.
func (s *Service) Report(replica Replica, load loads.Load, segments []Segment) {
	s.mutex.Lock()
	s.reports[replica.Instance] = &lastReport{replica: replica, load: load}
	s.mutex.Unlock()
	s.sendReport(replica, load, segments)
}

// repeat sends the latest reports again. Those without load are repeated only a few times,
// in case a datagram is lost.
func (s *Service) repeat() {
	const idleRepeats = 2
	s.mutex.Lock()
	now := s.config.Now()
	maps.DeleteFunc(s.unresponsiveUntil, func(_ netip.AddrPort, until time.Duration) bool { return now >= until })
	again := make([]lastReport, 0, len(s.reports))
	for instance, last := range s.reports {
		if last.load == (loads.Load{}) {
			last.idle++
		}
		if last.idle > idleRepeats {
			delete(s.reports, instance)
			continue
		}
		again = append(again, *last)
	}
	s.mutex.Unlock()
	for _, last := range again {
		s.sendReport(last.replica, last.load, nil)
	}
}

func (s *Service) sendReport(replica Replica, load loads.Load, segments []Segment) {
	now := s.config.Now()
	report := Report{
		Key: loads.HashReplica(replica.Instance), Sequence: s.startedAt + uint64(now), Load: load,
		CapacityTokens: replica.CapacityTokens, Segments: segments,
	}
	aggregator, self := s.aggregator(replica)
	if self {
		s.aggregates.Record(s.localAddress, report, now)
		return
	}
	s.send(encodeReport(report), aggregator)
}

func (s *Service) aggregator(replica Replica) (netip.AddrPort, bool) {
	address, self := s.config.Placement.AggregatorOf(replica.Instance, replica.Zone)
	return netip.AddrPortFrom(address, s.localAddress.Port()), self
}

func (s *Service) send(datagram []byte, to netip.AddrPort) {
	s.config.Observer.Sent(len(datagram))
	// A send error is equivalent to a lost datagram.
	_, _ = s.config.Conn.WriteToUDPAddrPort(datagram, to)
}

// Query returns the aggregated state of replicas by instance, with the cached prefix of the
// given prompt. Replicas whose aggregators do not respond in time are missing.
func (s *Service) Query(ctx context.Context, replicas []Replica, segments []Segment) map[string]State {
	states := map[ReplicaKey]State{}
	byAggregator := map[netip.AddrPort][]ReplicaKey{}
	now := s.config.Now()
	for _, replica := range replicas {
		key := loads.HashReplica(replica.Instance)
		aggregator, self := s.aggregator(replica)
		if !self {
			byAggregator[aggregator] = append(byAggregator[aggregator], key)
			continue
		}
		if state, found := s.aggregates.State(s.localAddress, key, segments, now); found {
			states[key] = state
		}
	}
	if len(byAggregator) > 0 {
		s.queryRemote(ctx, byAggregator, segments, states)
	}
	byInstance := make(map[string]State, len(states))
	for _, replica := range replicas {
		if state, found := states[loads.HashReplica(replica.Instance)]; found {
			byInstance[replica.Instance] = state
		}
	}
	return byInstance
}

// queryRemote queries other nodes and adds the responses that arrive in time to states.
func (s *Service) queryRemote(ctx context.Context, byAggregator map[netip.AddrPort][]ReplicaKey, segments []Segment, states map[ReplicaKey]State) {
	startedAt := s.config.Now()
	number, pending := s.startQuery(lo.Keys(byAggregator), startedAt)
	for aggregator, keys := range byAggregator {
		s.send(encodeQuery(query{number: number, keys: keys, segments: segments}), aggregator)
	}
	pending.await(ctx, QueryTimeout)
	missing := s.finishQuery(number, pending, ctx.Err() == nil, states)
	s.config.Observer.QueryDone(s.config.Now()-startedAt, pending.queried, pending.queried-missing)
}

// roundTripTimeout bounds the measurement of a round trip.
const roundTripTimeout = time.Second

// RoundTrip measures the round trip of an empty query to a node. It returns false if the
// node does not respond.
func (s *Service) RoundTrip(ctx context.Context, node netip.Addr) (time.Duration, bool) {
	to := netip.AddrPortFrom(node, s.localAddress.Port())
	startedAt := s.config.Now()
	number, pending := s.startQuery([]netip.AddrPort{to}, startedAt)
	if pending.queried == 0 {
		s.finishQuery(number, pending, false, map[ReplicaKey]State{})
		return 0, false // it did not respond recently
	}
	s.send(encodeQuery(query{number: number}), to)
	pending.await(ctx, roundTripTimeout)
	took := s.config.Now() - startedAt
	return took, s.finishQuery(number, pending, false, map[ReplicaKey]State{}) == 0
}

// startQuery registers a query. Aggregators that did not respond recently are not awaited.
func (s *Service) startQuery(aggregators []netip.AddrPort, now time.Duration) (uint32, *pendingQuery) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastNumber++
	number := s.lastNumber | acceptsEjections
	pending := &pendingQuery{missing: map[netip.AddrPort]bool{}, states: map[ReplicaKey]State{}, done: make(chan struct{})}
	for _, aggregator := range aggregators {
		if now >= s.unresponsiveUntil[aggregator] {
			pending.missing[aggregator] = true
		}
	}
	pending.queried = len(pending.missing)
	if pending.queried == 0 {
		close(pending.done)
	}
	s.pending[number] = pending
	return number, pending
}

// finishQuery unregisters a query, adds its responses to states and returns the number of
// aggregators that have not responded. With timedOut, these are marked as unresponsive.
func (s *Service) finishQuery(number uint32, pending *pendingQuery, timedOut bool, states map[ReplicaKey]State) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pending, number)
	for key, state := range pending.states {
		states[key] = state
	}
	if timedOut {
		for aggregator := range pending.missing {
			s.unresponsiveUntil[aggregator] = s.config.Now() + unresponsiveTTL
		}
	}
	return len(pending.missing)
}

// handleResponse delivers a response to the pending query with its number.
func (s *Service) handleResponse(from netip.AddrPort, resp response) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.unresponsiveUntil, from)
	pending, found := s.pending[resp.number]
	if !found {
		return // late
	}
	for _, state := range resp.states {
		pending.states[state.Key] = state
	}
	if !pending.missing[from] {
		return
	}
	delete(pending.missing, from)
	if len(pending.missing) == 0 {
		close(pending.done)
	}
}

func (s *Service) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := s.config.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as ECONNREFUSED for an earlier datagram to a stopped node
		}
		s.config.Observer.Received(size)
		read, err := decode(buffer[:size])
		if err != nil {
			s.config.Observer.InvalidDatagram() // counted but not logged, since anybody may send any number of them
			continue
		}
		s.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), read)
	}
}

func (s *Service) handle(from netip.AddrPort, read datagram) {
	switch read.kind {
	case kindReport:
		s.aggregates.Record(from, read.report, s.config.Now())
	case kindQuery:
		s.handleQuery(from, read.query)
	case kindResponse, kindEjectionResponse:
		s.handleResponse(from, read.response)
	case kindOutcome:
		s.observe(read.outcomeReport)
	}
}

// handleQuery responds with the state of the queried replicas.
func (s *Service) handleQuery(to netip.AddrPort, q query) {
	now := s.config.Now()
	states := make([]State, 0, len(q.keys))
	for _, key := range q.keys {
		if state, found := s.aggregates.State(to, key, q.segments, now); found {
			states = append(states, state)
		}
	}
	s.send(encodeResponse(responseTo(q, states)), to)
}
