package transcript

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/holders"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/residency"
)

// Config configures a Service. Peers is nil if there are no other nodes; Registerer may be nil.
type Config struct {
	Self  identity.Node
	Peers peer.Client
	// RoundTrip returns the round trip time to a zone; nil counts as zero.
	RoundTrip func(zone identity.Zone) time.Duration
	// MaxBytes bounds the transcripts that the node holds.
	MaxBytes int
	// Now returns a monotonic reading.
	Now        func() time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Service holds transcripts for other nodes, and writes and claims those of this node's streams.
// It is safe for concurrent use.
type Service struct {
	config  Config
	table   *table
	members atomic.Pointer[[]membership.Member]
	metrics *metrics
}

// New returns a service without members.
func New(config Config) *Service {
	made := &Service{config: config, table: newTable(config.Self.Reference(), config.MaxBytes)}
	made.metrics = newMetrics(made.table, config.Registerer)
	made.SetView(membership.View{})
	return made
}

// SetView updates the members.
func (s *Service) SetView(view membership.View) { s.members.Store(&view.Members) }

// Register adds this package's messages and handlers to registry.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(
		func() peer.Message { return &appendRequest{} }, func() peer.Message { return &appendResponse{} },
		func() peer.Message { return &claimRequest{} }, func() peer.Message { return &claimResponse{} },
	)
	handler := peer.HandlerFunc(func(_ context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
		return s.handle(request)
	})
	registry.Handle(kindAppendRequest, handler)
	registry.Handle(kindClaimRequest, handler)
}

func (s *Service) handle(request peer.Message) (peer.Message, error) {
	switch received := request.(type) {
	case *appendRequest:
		return s.table.append(received, s.config.Now()), nil
	case *claimRequest:
		return s.table.claim(received, s.config.Now()), nil
	}
	return nil, fmt.Errorf("transcript: unexpected %T", request)
}

// callTimeout bounds a call to a holder, beside the round trips.
const callTimeout = 250 * time.Millisecond

// call sends a request to a holder, which may be this node.
func (s *Service) call(ctx context.Context, holder identity.Node, request peer.Message) (peer.Message, error) {
	if holder.Reference() == s.config.Self.Reference() {
		return s.handle(request)
	}
	// A new connection takes a round trip before the one of the request.
	ctx, cancel := context.WithTimeout(ctx, callTimeout+2*s.roundTrip(holder))
	defer cancel()
	response, err := s.config.Peers.Call(ctx, holder.PeerAddress, request, nil)
	if err != nil {
		return nil, fmt.Errorf("transcript: call: %w", err)
	}
	return response, nil
}

func (s *Service) roundTrip(node identity.Node) time.Duration {
	if s.config.RoundTrip == nil {
		return 0
	}
	return s.config.RoundTrip(node.Zone)
}

// Stream identifies a stream and the turn that it answers.
type Stream struct {
	Key     Key
	Content Content
	// Allowed are the regions where the turn's data may be.
	Allowed residency.AllowedRegions
	// Lifetime is how long the client waits, over all its attempts from this one on.
	Lifetime time.Duration
}

// Begin returns the writer of a new stream's transcript.
func (s *Service) Begin(stream Stream) *Writer {
	return s.newWriter(stream, Ballot{Round: 1, Writer: rand.Uint64()}, s.selectHolders(stream), nil)
}

// minRegionHolders is the number of other nodes from which on a region holds the transcripts of its
// streams alone.
const minRegionHolders = 3

// selectHolders returns the holders of a new stream: other nodes, in this node's region if it has
// enough, so that events don't wait for other regions.
func (s *Service) selectHolders(stream Stream) []identity.Node {
	usable := lo.Filter(*s.members.Load(), func(member membership.Member, _ int) bool {
		return member.Reachable() && member.Node.Name != s.config.Self.Name && stream.Allowed.Allows(string(member.Node.Region))
	})
	near := lo.Filter(usable, func(member membership.Member, _ int) bool { return member.Node.Region == s.config.Self.Region })
	if len(near) >= minRegionHolders {
		usable = near
	}
	if s.config.Peers == nil || len(usable) == 0 {
		return []identity.Node{s.config.Self}
	}
	return holders.NewSet(usable).Rank(holders.Key(stream.Key), s.config.Self.Name, oddCount(len(usable)), holders.CopiesPerZone)
}

// possibleHolders returns the nodes that may hold a stream's transcript, whichever region it began
// in: by rank among the nodes that are reachable, and among all members.
func (s *Service) possibleHolders(key Key) []identity.Node {
	found := []identity.Node{s.config.Self}
	if s.config.Peers == nil {
		return found
	}
	rank := func(members []membership.Member) {
		found = append(found, holders.NewSet(members).Rank(holders.Key(key), s.config.Self.Name, holders.Queried, holders.QueriedPerZone)...)
	}
	all := *s.members.Load()
	reachable := lo.Filter(all, func(member membership.Member, _ int) bool { return member.Reachable() })
	for _, members := range [][]membership.Member{reachable, all} {
		rank(members)
		for _, ofRegion := range lo.GroupBy(members, func(member membership.Member) identity.Region { return member.Node.Region }) {
			rank(ofRegion)
		}
	}
	return lo.UniqBy(found, identity.Node.Reference)
}
