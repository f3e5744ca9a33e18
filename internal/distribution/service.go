package distribution

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

const (
	// maxWait is the maximum time for which a request waits for a change. Each hop adds
	// about as much to the age of a topic.
	maxWait = 400 * time.Millisecond
	// batchTime is how long a response is delayed after a change to include further
	// changes. It limits the responses to each peer to six a second while replicas change,
	// and adds its length to the propagation time of each hop.
	batchTime = 150 * time.Millisecond
	// pageBytes is the size of a page. On the slowest link, eight concurrent pages take a
	// sixth of a second each.
	pageBytes = 64 << 10
	// linkFraction is the fraction of the node's link bandwidth that snapshots may use.
	linkFraction = 0.75
	// maxWaiting is the maximum number of requests per topic that wait for a change: twice
	// the number of direct children, and as many starting nodes. Others are referred to
	// alternative sources.
	maxWaiting = 4 * fanOut
	// maxAlternatives is the maximum number of alternative sources in a response.
	maxAlternatives = 8
)

// Subscription is a topic with the callbacks that apply updates from peers.
type Subscription struct {
	Topic *Topic
	// Replace applies a peer's snapshot at a position, Apply the changes up to a position.
	// Both must update Topic.
	Replace func(items []logstore.Item, position logstore.Offset)
	Apply   func(items []logstore.Item, position logstore.Offset)
	// Confirm is called with a time at which the store had nothing newer.
	Confirm func(at time.Time)
}

// Config configures a Service; all fields except Registerer are required.
type Config struct {
	Self identity.NodeName
	// Own is this node's peer address.
	Own   netip.AddrPort
	Seeds []netip.AddrPort
	Peers peer.Client
	// LinkBytesPerSecond is the bandwidth of the node's link.
	LinkBytesPerSecond float64
	Policy             Policy
	// Subscriptions are the topics, in the same order on all nodes.
	Subscriptions []Subscription
	Logger        *slog.Logger
	Registerer    prometheus.Registerer
}

// Service pulls topics from peers and serves them to peers. It is safe for concurrent use.
type Service struct {
	config  Config
	began   time.Time
	pullers []*puller
	metrics *metrics
	budget  *budget
	// waiting counts the requests that wait for a change, by topic.
	waiting []atomic.Int32

	// mutex guards the fields below.
	mutex       sync.Mutex
	plan        *Plan
	readers     int
	currentRole Role
	// others are the other live members; seedsLive is set if they include a seed.
	others    []netip.AddrPort
	seedsLive bool
	// holders are the last requesting nodes that have the topics.
	holders []netip.AddrPort
}

// New returns a service without members.
func New(config Config) *Service {
	made := &Service{
		config: config, began: time.Now(), plan: NewPlan(config.Self, nil),
		budget: newBudget(config.LinkBytesPerSecond * linkFraction), waiting: make([]atomic.Int32, len(config.Subscriptions)),
	}
	for index, subscription := range config.Subscriptions {
		made.pullers = append(made.pullers, newPuller(made, uint8(index), subscription))
	}
	made.metrics = newMetrics(made, config.Registerer)
	return made
}

// Register registers the message types and the request handler.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(func() peer.Message { return &pullRequest{} }, func() peer.Message { return &pullResponse{} })
	registry.Handle(kindPullRequest, peer.HandlerFunc(s.handlePull))
}

// Run pulls all topics until ctx is canceled.
func (s *Service) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, one := range s.pullers {
		loops.Go(func() { one.run(ctx) })
	}
	loops.Wait()
}

// AwaitReader blocks until this node is to read a topic from the store, or returns an error
// when ctx is canceled.
func (s *Service) AwaitReader(ctx context.Context, topic int) error {
	return s.pullers[topic].gate.await(ctx)
}

// Reads reports whether this node reads a topic from the store.
func (s *Service) Reads(topic int) bool { return s.pullers[topic].gate.open() }

// SetView updates the members.
func (s *Service) SetView(view membership.View) {
	plan := NewPlan(s.config.Self, view.Members)
	var others []netip.AddrPort
	seedsLive := false
	for _, member := range view.Members {
		if member.Node.Name == s.config.Self || member.Status != membership.Alive {
			continue
		}
		others = append(others, member.Node.PeerAddress)
		seedsLive = seedsLive || slices.Contains(s.config.Seeds, member.Node.PeerAddress)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.plan, s.others, s.seedsLive, s.readers = plan, others, seedsLive, 0
}

// ServesPeers reports whether this node reads the store on behalf of others, so that its
// own topics should be fresh.
func (s *Service) ServesPeers() bool {
	role := s.role()
	return role.Reads && !role.All
}

// role returns this node's role for the current members and entries.
func (s *Service) role() Role {
	entries := 0
	for _, subscription := range s.config.Subscriptions {
		entries += subscription.Topic.Size()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if readers := s.config.Policy.Readers(s.plan.Size(), max(entries, 1)); readers != s.readers {
		s.readers, s.currentRole = readers, s.plan.Role(readers)
	}
	return s.currentRole
}

// conditions returns the conditions that decide whether this node reads a topic.
func (s *Service) conditions(topic *Topic) ReadConditions {
	role := s.role()
	age, _ := topic.Age(time.Now())
	_, known := topic.Position()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return ReadConditions{
		Now: time.Since(s.began), Role: role, Members: max(s.plan.Size(), 1),
		Alone: len(s.config.Seeds) == 0 && len(s.others) == 0,
		Seed:  slices.Contains(s.config.Seeds, s.config.Own), SeedsLive: s.seedsLive,
		Known: known, Age: age, Random: rand.Float64(),
	}
}

// neighbourCount is the number of members that a node may query besides its parents: few,
// so that it keeps few connections, but enough that some are likely to be fresh.
const neighbourCount = 8

// neighbour returns a random one of a few live members. The set stays the same as long as
// the members do.
func (s *Service) neighbour() (netip.AddrPort, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.others) == 0 {
		return netip.AddrPort{}, false
	}
	first := membership.Score(rankKey, s.config.Self) % uint64(len(s.others))
	return s.others[(first+rand.Uint64N(neighbourCount))%uint64(len(s.others))], true
}

// addHolder records a node that has the topics.
func (s *Service) addHolder(holder netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.Contains(s.holders, holder) {
		return
	}
	if len(s.holders) == maxAlternatives {
		s.holders = s.holders[1:]
	}
	s.holders = append(slices.Clip(s.holders), holder)
}

func (s *Service) alternatives() []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.holders
}

// handlePull responds to a peer's request.
func (s *Service) handlePull(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	pull, ok := request.(*pullRequest)
	if !ok {
		return nil, fmt.Errorf("distribution: unexpected %T", request)
	}
	if int(pull.Topic) >= len(s.config.Subscriptions) {
		return &pullResponse{State: stateUnknown}, nil
	}
	topic := s.config.Subscriptions[pull.Topic].Topic
	began := time.Now()
	var response *pullResponse
	switch waiting := &s.waiting[pull.Topic]; {
	case pull.Paging:
		response = s.page(topic, pull)
	case waiting.Add(1) > maxWaiting && pull.MaxWait > 0:
		response = &pullResponse{State: stateBusy, Alternatives: s.alternatives()}
		waiting.Add(-1)
	default:
		response = s.changes(ctx, topic, pull)
		waiting.Add(-1)
	}
	response.Waited = time.Since(began)
	if pull.Known {
		s.addHolder(pull.From)
	}
	s.metrics.responses.WithLabelValues(topic.name, response.State.String()).Inc()
	return response, nil
}

// page returns a page of the snapshot. The first page charges the whole snapshot to the
// budget.
func (s *Service) page(topic *Topic, request *pullRequest) *pullResponse {
	now := time.Now()
	if request.After == "" && !s.budget.take(topic.Bytes(), now) {
		return &pullResponse{State: stateBusy, Alternatives: s.alternatives()}
	}
	age, ageKnown := topic.Age(now)
	page, known := topic.Page(request.After, pageBytes)
	if !known {
		return &pullResponse{State: stateUnknown}
	}
	return &pullResponse{State: statePage, Position: page.Position, Items: page.Items, More: page.More, AgeKnown: ageKnown, Age: age}
}

// changes returns the changes as soon as there are any, or at the end of the requested
// wait.
func (s *Service) changes(ctx context.Context, topic *Topic, request *pullRequest) *pullResponse {
	timer := time.NewTimer(min(request.MaxWait, maxWait))
	defer timer.Stop()
	for last := false; ; {
		changed := topic.Changed()
		response := changesSince(topic, request)
		if last || response.State == stateGap || len(response.Items) > 0 {
			return response
		}
		select {
		case <-changed:
			select {
			case <-time.After(batchTime):
			case <-ctx.Done():
			}
		case <-timer.C:
			last = true
		case <-ctx.Done():
			last = true
		}
	}
}

// changesSince returns the changes since the requested position. The age is read first, so
// that an update in between only makes the changes newer than it claims.
func changesSince(topic *Topic, request *pullRequest) *pullResponse {
	age, ageKnown := topic.Age(time.Now())
	position, known := topic.Position()
	switch {
	case !known:
		return &pullResponse{State: stateUnknown}
	case !request.Known:
		return &pullResponse{State: stateGap, Position: position, AgeKnown: ageKnown, Age: age}
	case request.Position > position:
		return &pullResponse{State: stateBehind, Position: position, AgeKnown: ageKnown, Age: age}
	}
	items, position, complete := topic.Since(request.Position)
	if !complete {
		return &pullResponse{State: stateGap, Position: position, AgeKnown: ageKnown, Age: age}
	}
	return &pullResponse{State: stateChanges, Position: position, Items: items, AgeKnown: ageKnown, Age: age}
}
