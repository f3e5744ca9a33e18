package origin

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

// Config configures a Service. Peers is nil if there are no other nodes; Registerer may be nil.
type Config struct {
	Self identity.NodeName
	// Address is this node's peer address.
	Address netip.AddrPort
	Peers   peer.Client
	// Seeds are addresses of other nodes that a node asks that has just started, see joinTime.
	Seeds []netip.AddrPort
	// RoundTrip returns the round trip time to a zone; nil counts as zero.
	RoundTrip func(zone identity.Zone) time.Duration
	// Now returns a monotonic reading.
	Now        func() time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Service keeps the records of this node, copies new ones to their holders and finds those that
// other nodes hold. It is safe for concurrent use.
type Service struct {
	config    Config
	versions  Versions
	table     *table
	members   atomic.Pointer[members]
	startedAt time.Duration
	// stopping is set once this node stores no more records for others.
	stopping atomic.Bool
	metrics  *metrics

	// mutex guards the fields below.
	mutex   sync.Mutex
	senders map[identity.NodeName]*sender
	// unconfirmed holds the records that too few holders have stored.
	unconfirmed map[Key]Record
}

// New returns a service without members.
func New(config Config) *Service {
	made := &Service{config: config, startedAt: config.Now(), table: newTable(), senders: map[identity.NodeName]*sender{}, unconfirmed: map[Key]Record{}}
	made.SetView(membership.View{})
	made.metrics = newMetrics(made.table, config.Registerer)
	return made
}

// SetVersions sets the source of the services' versions. It must be called before the service is
// used.
func (s *Service) SetVersions(versions Versions) { s.versions = versions }

// SetView updates the members.
func (s *Service) SetView(view membership.View) {
	reachable := lo.Filter(view.Members, func(member membership.Member, _ int) bool { return member.Reachable() })
	s.members.Store(&members{all: newMemberSet(view.Members), reachable: newMemberSet(reachable)})
}

// members are the members of a view: all, and those that may store records.
type members struct{ all, reachable *memberSet }

// Register adds this package's messages and handlers to registry.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(
		func() peer.Message { return &notice{} }, func() peer.Message { return &noticeResponse{} },
		func() peer.Message { return &query{} }, func() peer.Message { return &queryResponse{} },
	)
	registry.Handle(kindNotice, peer.HandlerFunc(s.handleNotice))
	registry.Handle(kindQuery, peer.HandlerFunc(s.handleQuery))
}

// Record records a stream's origin at this node for lifetime. The returned function starts to copy
// the record to its holders; it does not block. Origins without a version are not recorded.
func (s *Service) Record(key Key, origin Origin, lifetime time.Duration) (announce func()) {
	if !origin.recordable() || lifetime <= 0 {
		return func() {}
	}
	record := Record{Key: key, Origin: origin, Left: min(lifetime, maxLifetime)}
	s.table.put(record, s.config.Now())
	return func() { s.distribute(record) }
}

// Announce records a stream's origin and starts to copy the record to its holders.
func (s *Service) Announce(key Key, origin Origin, lifetime time.Duration) {
	s.Record(key, origin, lifetime)()
}

// holders returns the nodes that may store a stream's record, by rank.
func (s *Service) holders(key Key) []identity.Node {
	if s.config.Peers == nil {
		return nil
	}
	return s.members.Load().reachable.holders(key, s.config.Self, queried, copiesPerZone)
}

func (s *Service) roundTrip(zone identity.Zone) time.Duration {
	if s.config.RoundTrip == nil {
		return 0
	}
	return s.config.RoundTrip(zone)
}

func (s *Service) handleNotice(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	received, ok := request.(*notice)
	if !ok {
		return nil, fmt.Errorf("origin: unexpected %T", request)
	}
	if s.stopping.Load() {
		return &noticeResponse{}, nil
	}
	now := s.config.Now()
	for _, record := range received.Records {
		if record.Origin.recordable() && record.Left > 0 {
			s.table.put(record, now)
		}
	}
	return &noticeResponse{Stored: true}, nil
}

func (s *Service) handleQuery(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	received, ok := request.(*query)
	if !ok {
		return nil, fmt.Errorf("origin: unexpected %T", request)
	}
	response := &queryResponse{}
	if received.Keyed {
		record, conflicting, found := s.table.get(received.Key, s.config.Now())
		if !found && received.Relays {
			record, conflicting, found = s.relay(ctx, received)
		}
		if found && conflicting {
			response.State = stateConflicting
		} else if found {
			response.State, response.Origin, response.Left = stateKnown, record.Origin, record.Left
		}
	}
	response.Span = s.span(received.Route, received.Service)
	return response, nil
}
