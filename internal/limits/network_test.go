package limits

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/routing"
)

// The site of these tests: its policy and the tenant, whose limit is 40 a second.
var (
	sitePolicy = quota.Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	siteTenant = &routing.Tenant{Name: "acme", RatePerSecond: 40, Burst: 40}
)

// condition is what is wrong with a node.
type condition int

const (
	sound condition = iota
	// killed nodes refuse connections, dark ones say nothing, frozen ones hold what
	// comes until they go on.
	killed
	dark
	frozen
)

// String names a condition.
func (c condition) String() string { return [...]string{"sound", "killed", "dark", "frozen"}[c] }

// simulated is one node of a site in virtual time.
type simulated struct {
	site    *site
	service *Service
	node    identity.Node
	end     context.CancelFunc
	// condition, side and leaving are guarded by the site's mutex. Nodes of different
	// sides don't reach each other.
	condition condition
	side      int
	leaving   bool
}

// site is a network of nodes and what has run there.
type site struct {
	random *rand.Rand
	began  time.Time
	// forgetful makes nodes that are asked for an account claim that nothing was granted:
	// a planted fault.
	forgetful bool

	// mutex guards all below.
	mutex   sync.Mutex
	nodes   []*simulated
	ran     []used
	refused int
	// sources names the lives that have given permits, events holds what decided who did.
	sources map[quota.AllocatorID]string
	events  []event
}

func newSite(ctx context.Context, seed uint64, count int) *site {
	made := &site{random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), sources: map[quota.AllocatorID]string{}}
	for number := range count {
		made.nodes = append(made.nodes, &simulated{site: made})
		made.start(ctx, number)
	}
	return made
}

func (s *site) now() time.Duration { return time.Since(s.began) }

// start begins a new life of a node, which hears of the others a little later.
func (s *site) start(ctx context.Context, number int) {
	one := s.nodes[number]
	life, end := context.WithCancel(ctx)
	s.mutex.Lock()
	one.node = identity.Node{
		Name: identity.NodeName(fmt.Sprint("n", number)), Incarnation: identity.Incarnation(s.now() + 1),
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 1),
	}
	one.condition, one.leaving, one.end = sound, false, end
	s.mutex.Unlock()
	one.service = New(Config{
		Self: one.node.Name, Policy: sitePolicy, Strategy: StrategyAllocator, Peers: carrier{one}, Now: s.now, Logger: slog.New(slog.DiscardHandler),
	})
	one.service.SetLimits(func(string) (quota.Limit, bool) { return LimitOf(siteTenant), true })
	s.mutex.Lock()
	s.sources[one.service.source] = string(one.node.Name)
	s.note("%s starts", one.node.Name)
	s.mutex.Unlock()
	go one.service.Run(life)
}

// tellViews tells every node which others it would hold for living now.
func (s *site) tellViews() {
	for _, one := range s.nodes {
		view := membership.View{}
		s.mutex.Lock()
		if one == s.nodes[0] {
			s.note("views are told")
		}
		for _, other := range s.nodes {
			if one == other || other.condition == sound && one.side == other.side {
				member := membership.Member{Node: other.node, Status: membership.Alive}
				if other.leaving {
					member.Status = membership.Leaving
				}
				view.Members = append(view.Members, member)
			}
		}
		s.mutex.Unlock()
		one.service.SetView(view)
	}
}

// demand sends requests to all nodes at random until ctx ends.
func (s *site) demand(ctx context.Context, perSecond func(now time.Duration) float64) {
	for ctx.Err() == nil {
		s.mutex.Lock()
		pause := time.Duration(s.random.ExpFloat64() / perSecond(s.now()) * float64(time.Second))
		one := s.nodes[s.random.IntN(len(s.nodes))]
		serves := one.condition == sound || one.condition == dark
		s.mutex.Unlock()
		time.Sleep(pause)
		if serves {
			go s.request(ctx, one)
		}
	}
}

// request asks one node for one request, which runs a little later if it may.
func (s *site) request(ctx context.Context, one *simulated) {
	permit, err := one.service.Admit(ctx, siteTenant)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case err == nil && s.random.IntN(20) == 0:
		go permit.Refund() // it was not run
	case err == nil:
		source, granted := permit.token.AllocatorID()
		s.ran = append(s.ran, used{at: s.now(), node: slices.Index(s.nodes, one), source: source, own: !granted})
	case ctx.Err() == nil:
		s.refused++
	}
}

// worst returns the most that ran in any window.
func (s *site) worst() int { return len(s.worstWindow()) }

func (s *site) set(number int, to condition) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodes[number].condition = to
	s.note("n%d is %s", number, to)
}

// carrier carries one node's calls.
type carrier struct{ from *simulated }

// Call implements peer.Client.
func (w carrier) Call(ctx context.Context, address netip.AddrPort, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	s := w.from.site
	time.Sleep(s.way())
	s.mutex.Lock()
	to := s.nodes[address.Addr().As4()[3]]
	condition, reached := to.condition, to.side == w.from.side && w.from.condition == sound
	service := to.service
	s.mutex.Unlock()
	switch {
	case reached && condition == killed:
		return nil, fmt.Errorf("%w: %w", peer.ErrNotSent, syscall.ECONNREFUSED)
	case !reached || condition != sound:
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, ctx.Err())
	}
	answer, err := service.handle(ctx, request)
	if told, ok := answer.(*takenOver); ok {
		s.mutex.Lock()
		s.note("%s takes over from %s: known %t, left %.1f", w.from.node.Name, to.node.Name, told.Known, told.Account.Requests)
		s.mutex.Unlock()
	}
	if lie, ok := answer.(*takenOver); ok && s.forgetful {
		lie.Known, lie.Account = true, quota.Account{Requests: 1000}
	}
	time.Sleep(s.way())
	return answer, err
}

// way is the time to another node.
func (s *site) way() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
}

// standStill notes that a node has stood still, which virtual time does not let it notice.
func (s *Service) standStill(pause time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.noteStandstill(pause, s.config.Now())
}

func (s *Service) handle(ctx context.Context, request peer.Message) (peer.Message, error) {
	if _, ok := request.(*ask); ok {
		return s.handleAsk(ctx, request, nil)
	}
	return s.handleTakeOver(ctx, request, nil)
}
