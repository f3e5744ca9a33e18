package origin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/holders"
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
	confirm   Confirm
	table     *table
	startedAt time.Duration
	// copies copies the records to their holders.
	copies *holders.Distributor[Record]
	// stopping is set once this node stores no more records for others.
	stopping atomic.Bool
	metrics  *metrics
}

// New returns a service without members.
func New(config Config) *Service {
	made := &Service{config: config, startedAt: config.Now(), table: newTable()}
	made.metrics = newMetrics(made.table, config.Registerer)
	made.copies = holders.NewDistributor(holders.Config[Record]{
		Self: config.Self, Peers: config.Peers, RoundTrip: config.RoundTrip, Now: config.Now,
		Key: func(record Record) holders.Key { return holders.Key(record.Key) }, Notice: newNotice, Stored: isStored,
		Current: made.current, OnNotice: made.metrics.countNotice,
	})
	return made
}

func newNotice(records []holders.Dated[Record]) peer.Message {
	return &notice{Records: lo.Map(records, func(one holders.Dated[Record], _ int) Record {
		one.Record.Left -= one.Age
		return one.Record
	})}
}

func isStored(answer peer.Message) bool {
	response, ok := answer.(*noticeResponse)
	return ok && response.Stored
}

// current returns a record with the time for which it is still needed, as the table knows it.
func (s *Service) current(record Record) (Record, bool) {
	current, conflicting, found := s.table.get(record.Key, s.config.Now())
	return current, found && !conflicting
}

// SetVersions sets the source of the services' versions. It must be called before the service is
// used.
func (s *Service) SetVersions(versions Versions) { s.versions = versions }

// SetConfirm sets what has the store confirm this node's view of the versions. It must be called before
// the service is used; without it, no stream goes on by this node's own view.
func (s *Service) SetConfirm(confirm Confirm) { s.confirm = confirm }

// Confirm returns nil once the store has confirmed that this node's view of the versions lacks nothing of
// some time after since. Errors wrap ErrUnconfirmed.
func (s *Service) Confirm(ctx context.Context, since time.Time) error {
	if s.confirm == nil {
		return ErrUnconfirmed
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	began := time.Now()
	err := s.confirm(ctx, since)
	if !errors.Is(ctx.Err(), context.Canceled) {
		s.metrics.countConfirmation("store", time.Since(began), err == nil)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	return nil
}

// SetView updates the members.
func (s *Service) SetView(view membership.View) { s.copies.SetView(view) }

// Run distributes records again that too few holders have stored, until ctx ends.
func (s *Service) Run(ctx context.Context) { s.copies.Run(ctx) }

// Close passes the records of this node on to the holders that remain once it has left. Queries
// are still answered.
func (s *Service) Close() {
	s.stopping.Store(true)
	for _, record := range s.table.all(s.config.Now()) {
		s.copies.Distribute(record)
	}
}

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
	record := Record{Key: key, Origin: origin, Left: min(lifetime, MaxLifetime)}
	s.table.put(record, s.config.Now())
	return func() { s.copies.Distribute(record) }
}

// Announce records a stream's origin and starts to copy the record to its holders.
func (s *Service) Announce(key Key, origin Origin, lifetime time.Duration) {
	s.Record(key, origin, lifetime)()
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
	response, arrived := &queryResponse{}, time.Now()
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
	if received.Confirms && response.State == stateUnknown {
		_ = s.Confirm(ctx, arrived) // the response tells how old the view is
	}
	response.Span = s.span(received.Route, received.Service)
	if confirmed := response.Span.Confirmed; !confirmed.IsZero() {
		response.View = viewAge{Known: true, Confirmed: !confirmed.Before(arrived), Age: max(time.Since(confirmed), 0)}
		response.Span.Confirmed = time.Time{}
	}
	return response, nil
}
