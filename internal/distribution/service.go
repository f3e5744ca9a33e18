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
	// holdTime is how long a question may wait for a change. Knowledge of a node is older
	// than that of the node before it by about as much.
	holdTime = 400 * time.Millisecond
	// gatherTime is how long an answer waits for further changes after one, so that a node
	// answers each of the others at most six times a second while replicas come and go. A
	// change takes as much longer for each step of the tree.
	gatherTime = 150 * time.Millisecond
	// pageBytes is the size of a page: a sixth of a second on the slowest link while eight
	// nodes ask.
	pageBytes = 64 << 10
	// linkPart is the part of the node's link that whole topics may take.
	linkPart = 0.75
	// mostHeld is how many questions on one topic a node holds at a time: twice those of the
	// nodes that hear from it and as many that start. Others are told of other holders.
	mostHeld = 4 * fanOut
	// mostHolders is how many nodes that know a topic are named to one that has to wait.
	mostHolders = 8
)

// Subscription joins a topic with those who use it.
type Subscription struct {
	Topic *Topic
	// Replace takes the whole topic at a position as another node knows it, Change what has
	// changed up to a position. Both have the topic take it.
	Replace func(items []logstore.Item, position logstore.Offset)
	Apply   func(items []logstore.Item, position logstore.Offset)
	// Confirm is told of a time at which the store held nothing newer.
	Confirm func(at time.Time)
}

// Config is what a Service is made from; all fields but Registerer are required.
type Config struct {
	Self identity.NodeName
	// Own is where other nodes reach this one.
	Own   netip.AddrPort
	Seeds []netip.AddrPort
	Peers peer.Client
	// LinkBytesPerSecond is what the node's link carries.
	LinkBytesPerSecond float64
	Policy             Policy
	// Subscriptions are the topics, in the same order on all nodes.
	Subscriptions []Subscription
	Logger        *slog.Logger
	Registerer    prometheus.Registerer
}

// Service hears of topics from other nodes and tells them. It is safe for concurrent use.
type Service struct {
	config    Config
	began     time.Time
	followers []*follower
	metrics   *metrics
	budget    *budget
	// held counts the questions that wait for a change, by topic.
	held []atomic.Int32

	// mutex guards all below.
	mutex   sync.Mutex
	plan    *Plan
	readers int
	place   Role
	// others are the other living members, seedsLive tells that a seed is among them.
	others    []netip.AddrPort
	seedsLive bool
	// holders are the last nodes that asked and know the topics.
	holders []netip.AddrPort
}

// New returns a service that knows no other node yet.
func New(config Config) *Service {
	made := &Service{
		config: config, began: time.Now(), plan: NewPlan(config.Self, nil),
		budget: newBudget(config.LinkBytesPerSecond * linkPart), held: make([]atomic.Int32, len(config.Subscriptions)),
	}
	for number, feed := range config.Subscriptions {
		made.followers = append(made.followers, newFollower(made, uint8(number), feed))
	}
	made.metrics = newMetrics(made, config.Registerer)
	return made
}

// Register adds the messages and the handler of a node that is asked.
func (s *Service) Register(registry *peer.Registry) {
	registry.Add(func() peer.Message { return &ask{} }, func() peer.Message { return &tell{} })
	registry.Handle(kindAsk, peer.HandlerFunc(s.answer))
}

// Run hears of all topics until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, one := range s.followers {
		loops.Go(func() { one.run(ctx) })
	}
	loops.Wait()
}

// AwaitReader returns once this node is to read a topic from the store, or an error when ctx
// ends.
func (s *Service) AwaitReader(ctx context.Context, topic int) error {
	return s.followers[topic].gate.await(ctx)
}

// Reads tells whether this node reads a topic from the store.
func (s *Service) Reads(topic int) bool { return s.followers[topic].gate.open() }

// SetView takes the members.
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

// ServesPeers tells whether other nodes hear from this one, so that it has to know early.
func (s *Service) ServesPeers() bool {
	place := s.placed()
	return place.Reads && !place.All
}

// placed returns this node's place by the newest members and entries.
func (s *Service) placed() Role {
	entries := 0
	for _, feed := range s.config.Subscriptions {
		entries += feed.Topic.Size()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if readers := s.config.Policy.Readers(s.plan.Size(), max(entries, 1)); readers != s.readers {
		s.readers, s.place = readers, s.plan.Role(readers)
	}
	return s.place
}

// situation describes what decides whether this node reads a topic.
func (s *Service) situation(topic *Topic) ReadConditions {
	place := s.placed()
	age, _ := topic.Age(time.Now())
	_, known := topic.Position()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return ReadConditions{
		Now: time.Since(s.began), Role: place, Members: max(s.plan.Size(), 1),
		Alone: len(s.config.Seeds) == 0 && len(s.others) == 0,
		Seed:  slices.Contains(s.config.Seeds, s.config.Own), SeedsLive: s.seedsLive,
		Known: known, Age: age, Random: rand.Float64(),
	}
}

// neighbours is how many other members a node asks beside its parents: few, so that it keeps
// few connections, and so many that all of them know nothing fresh only where nobody does.
const neighbours = 8

// neighbour returns one of a few living members that are the same for this node as long as
// members don't change.
func (s *Service) neighbour() (netip.AddrPort, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.others) == 0 {
		return netip.AddrPort{}, false
	}
	first := membership.Score(rankKey, s.config.Self) % uint64(len(s.others))
	return s.others[(first+rand.Uint64N(neighbours))%uint64(len(s.others))], true
}

// noteHolder remembers a node that knows the topics.
func (s *Service) noteHolder(holder netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.Contains(s.holders, holder) {
		return
	}
	if len(s.holders) == mostHolders {
		s.holders = s.holders[1:]
	}
	s.holders = append(slices.Clip(s.holders), holder)
}

func (s *Service) knownHolders() []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.holders
}

// answer tells another node what this one knows of a topic.
func (s *Service) answer(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	asked, ok := request.(*ask)
	if !ok {
		return nil, fmt.Errorf("distribution: unexpected %T", request)
	}
	if int(asked.Topic) >= len(s.config.Subscriptions) {
		return &tell{State: stateUnknown}, nil
	}
	topic := s.config.Subscriptions[asked.Topic].Topic
	began := time.Now()
	var told *tell
	switch held := &s.held[asked.Topic]; {
	case asked.Paging:
		told = s.page(topic, asked)
	case held.Add(1) > mostHeld && asked.Hold > 0:
		told = &tell{State: stateBusy, Holders: s.knownHolders()}
		held.Add(-1)
	default:
		told = s.changes(ctx, topic, asked)
		held.Add(-1)
	}
	told.Held = time.Since(began)
	if asked.Known {
		s.noteHolder(asked.From)
	}
	s.metrics.told.WithLabelValues(topic.name, told.State.String()).Inc()
	return told, nil
}

// page answers with a page of the whole topic. The first page of a topic takes what the
// whole takes of the budget.
func (s *Service) page(topic *Topic, asked *ask) *tell {
	now := time.Now()
	if asked.After == "" && !s.budget.take(topic.Bytes(), now) {
		return &tell{State: stateBusy, Holders: s.knownHolders()}
	}
	age, aged := topic.Age(now)
	page, known := topic.Page(asked.After, pageBytes)
	if !known {
		return &tell{State: stateUnknown}
	}
	return &tell{State: statePage, Position: page.Position, Items: page.Items, More: page.More, Aged: aged, Age: age}
}

// changes answers with what has changed, once something has, or at the end of the time
// that the asking node gives.
func (s *Service) changes(ctx context.Context, topic *Topic, asked *ask) *tell {
	timer := time.NewTimer(min(asked.Hold, holdTime))
	defer timer.Stop()
	for last := false; ; {
		changed := topic.Changed()
		told := look(topic, asked)
		if last || told.State == stateGap || len(told.Items) > 0 {
			return told
		}
		select {
		case <-changed:
			select {
			case <-time.After(gatherTime):
			case <-ctx.Done():
			}
		case <-timer.C:
			last = true
		case <-ctx.Done():
			last = true
		}
	}
}

// look compares what this node knows with what the asking one does. The age is read
// first: what comes in between is newer.
func look(topic *Topic, asked *ask) *tell {
	age, aged := topic.Age(time.Now())
	position, known := topic.Position()
	switch {
	case !known:
		return &tell{State: stateUnknown}
	case !asked.Known:
		return &tell{State: stateGap, Position: position, Aged: aged, Age: age}
	case asked.Position > position:
		return &tell{State: stateBehind, Position: position, Aged: aged, Age: age}
	}
	items, position, complete := topic.Since(asked.Position)
	if !complete {
		return &tell{State: stateGap, Position: position, Aged: aged, Age: age}
	}
	return &tell{State: stateChanges, Position: position, Items: items, Aged: aged, Age: age}
}
