package origin

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/fleet"
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

// Query describes a stream whose origin is wanted.
type Query struct {
	// Key is the stream's key; Keyed is false if the client does not name the stream.
	Key   Key
	Keyed bool
	// Route is the name of the request's route, and Service the only service that it leads to;
	// empty if there are several.
	Route, Service string
	// Window is longer than any stream of the route lasts, including its client's returns.
	Window time.Duration
}

// Resolve returns the origin of a stream. Without a record, it is the only version that the
// service had within the window. Errors wrap ErrUnknown or ErrConflicting.
func (s *Service) Resolve(ctx context.Context, wanted Query) (Found, error) {
	found, err := s.resolve(ctx, wanted)
	s.metrics.countResolved(found, err)
	return found, err
}

func (s *Service) resolve(ctx context.Context, wanted Query) (Found, error) {
	if wanted.Keyed {
		if record, conflicting, found := s.table.get(wanted.Key, s.config.Now()); found {
			if conflicting {
				return Found{}, fmt.Errorf("%w: at this node", ErrConflicting)
			}
			return Found{Origin: record.Origin, Source: SourceHere}, nil
		}
	}
	span := s.span(wanted.Route, wanted.Service)
	certain := span.Only && span.Age >= wanted.Window
	if !wanted.Keyed && certain {
		return Found{Origin: Origin{Service: wanted.Service, Version: span.Version}, Source: SourceOnlyVersion}, nil
	}
	timeout := queryTimeout
	if certain {
		timeout = confirmTimeout
	}
	answers := s.ask(ctx, wanted, timeout)
	if answers.found != nil {
		s.table.put(*answers.found, s.config.Now())
		return Found{Origin: answers.found.Origin, Source: SourceHolder, Node: answers.from}, nil
	}
	if answers.conflicting {
		return Found{}, fmt.Errorf("%w: at %s", ErrConflicting, answers.from)
	}
	if span.Only && answers.confirm(span, wanted.Window) {
		return Found{Origin: Origin{Service: wanted.Service, Version: span.Version}, Source: SourceOnlyVersion}, nil
	}
	return Found{}, fmt.Errorf("%w: %d of %d nodes answered; one version here: %t, for %v of %v",
		ErrUnknown, answers.answered, answers.asked, span.Only, span.Age.Round(time.Millisecond), wanted.Window)
}

func (s *Service) span(route, service string) fleet.VersionSpan {
	if service == "" || s.versions == nil {
		return fleet.VersionSpan{}
	}
	return s.versions(route, service)
}

// holders returns the nodes that may store a stream's record, by rank.
func (s *Service) holders(key Key) []identity.Node {
	if s.config.Peers == nil {
		return nil
	}
	return s.members.Load().reachable.holders(key, s.config.Self, queried, copiesPerZone)
}

// possibleHolders returns the nodes that may have a stream's record. Nodes that stop hold their
// records to the end, and are not among those that others have copied a record to since.
func (s *Service) possibleHolders(key Key) []recipient {
	if s.config.Peers == nil {
		return nil
	}
	known := s.members.Load()
	found := known.reachable.holders(key, s.config.Self, queried, queriedPerZone)
	if len(known.reachable.nodes) < len(known.all.nodes) {
		found = lo.Uniq(append(found, known.all.holders(key, s.config.Self, queried, queriedPerZone)...))
	}
	return lo.Map(found, func(holder identity.Node, _ int) recipient { return recipient{Node: holder} })
}

func (s *Service) roundTrip(zone identity.Zone) time.Duration {
	if s.config.RoundTrip == nil {
		return 0
	}
	return s.config.RoundTrip(zone)
}

// answers are the answers of other nodes to a query.
type answers struct {
	asked, answered int
	// found is the record, and from the node that has it or a conflicting one.
	found       *Record
	from        identity.NodeName
	conflicting bool
	// spans are the versions of the service as known to the nodes that answered.
	spans []fleet.VersionSpan
}

// confirm reports whether the only version known here was the only one for window, by this
// node's or by another's knowledge, without any that knows of another.
func (a *answers) confirm(here fleet.VersionSpan, window time.Duration) bool {
	confirmed := here.Age >= window
	for _, there := range a.spans {
		if there.Several || there.Only && there.Version != here.Version {
			return false
		}
		confirmed = confirmed || there.Only && there.Age >= window
	}
	return confirmed
}

const (
	// queryTimeout bounds a query, beside the round trips to the other node.
	queryTimeout = 250 * time.Millisecond
	// confirmTimeout replaces queryTimeout if this node knows of one version only: the holders
	// could at most know of one that has just appeared.
	confirmTimeout = 30 * time.Millisecond
)

// joinTime is how long after its start a node may not know all members yet, and has some of the
// seeds ask the holders on its behalf. askedSeeds is their number.
const (
	joinTime   = 3 * time.Second
	askedSeeds = 3
)

// recipient is a node to query. relays reports that it is to ask the holders in turn.
type recipient struct {
	identity.Node
	relays bool
}

func (s *Service) recipients(key Key) []recipient {
	all := s.possibleHolders(key)
	if s.config.Peers == nil || s.config.Now()-s.startedAt > joinTime {
		return all
	}
	seeds := lo.Without(s.config.Seeds, s.config.Address)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, seed := range seeds[:min(len(seeds), askedSeeds)] {
		all = append(all, recipient{Node: identity.Node{Name: identity.NodeName(seed.String()), PeerAddress: seed}, relays: true})
	}
	return all
}

// ask queries the holders of a stream's record, until one has it or all have answered.
func (s *Service) ask(ctx context.Context, wanted Query, timeout time.Duration) *answers {
	return s.askThese(ctx, s.recipients(wanted.Key), wanted, timeout)
}

func (s *Service) askThese(ctx context.Context, recipients []recipient, wanted Query, timeout time.Duration) *answers {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		from     identity.NodeName
		response *queryResponse
	}
	results := make(chan result, len(recipients))
	for _, holder := range recipients {
		message := &query{Keyed: wanted.Keyed, Key: wanted.Key, Route: wanted.Route, Service: wanted.Service, Relays: holder.relays}
		go func() {
			// A new connection takes a round trip before the one of the query.
			call, cancel := context.WithTimeout(ctx, timeout+2*s.roundTrip(holder.Zone))
			defer cancel()
			answer, err := s.config.Peers.Call(call, holder.PeerAddress, message, nil)
			response, _ := answer.(*queryResponse)
			if err != nil {
				response = nil
			}
			results <- result{holder.Name, response}
		}()
	}
	collected := &answers{asked: len(recipients)}
	for range recipients {
		one := <-results
		if one.response == nil {
			continue
		}
		if collected.add(one.from, one.response, wanted); collected.found != nil || collected.conflicting {
			return collected
		}
	}
	return collected
}

func (a *answers) add(from identity.NodeName, response *queryResponse, wanted Query) {
	a.answered++
	switch response.State {
	case stateKnown:
		a.found, a.from = &Record{Key: wanted.Key, Origin: response.Origin, Left: response.Left}, from
	case stateConflicting:
		a.conflicting, a.from = true, from
	case stateUnknown:
	}
	a.spans = append(a.spans, response.Span)
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

// relayTimeout bounds the queries on behalf of another node, whose own takes longer.
const relayTimeout = queryTimeout / 2

// relay asks the holders of a record on behalf of another node.
func (s *Service) relay(ctx context.Context, received *query) (record Record, conflicting, found bool) {
	answers := s.askThese(ctx, s.possibleHolders(received.Key), Query{Key: received.Key, Keyed: true}, relayTimeout)
	if answers.found != nil {
		return *answers.found, false, true
	}
	return Record{}, answers.conflicting, answers.conflicting
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
