package limits

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/routing"
	"stepseam.example/stepseam/internal/shares"
)

// The simulated site's policy, and its tenant with a limit of 40 requests per second.
var (
	sitePolicy = quota.Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	siteTenant = &routing.Tenant{Name: "acme", RatePerSecond: 40, Burst: 40}
)

// nodeState is the state of a simulated node.
type nodeState int

const (
	running nodeState = iota
	// A killed node refuses connections, an unresponsive one sends no responses, and a
	// paused one does not run.
	killed
	unresponsive
	paused
)

// String returns the state's name for the event log.
func (c nodeState) String() string {
	return [...]string{"running", "killed", "unresponsive", "paused"}[c]
}

func limitOfSite(string) (quota.Limit, bool) { return LimitOf(siteTenant), true }

// fixedShare is the share of a node.
type fixedShare float64

// Fraction implements Shares.
func (f fixedShare) Fraction(time.Duration) float64 { return float64(f) }

// simulatedNode is one node of a site in virtual time.
type simulatedNode struct {
	site    *site
	service *Service
	node    identity.Node
	end     context.CancelFunc
	// The site's mutex guards nodeState, side and leaving. Nodes on different sides cannot
	// reach each other.
	nodeState nodeState
	side      int
	leaving   bool
	// claimed is set while a fault is injected into the node.
	claimed bool
	// viewMutex is locked before the site's mutex. known holds the members in the node's
	// view, by number; nil until the node has discovered others.
	viewMutex sync.Mutex
	known     map[int]membership.Member
}

// site is a simulated network of nodes with the requests that it has served.
type site struct {
	random    *rand.Rand
	startedAt time.Time
	// handoverFault makes nodes hand over an account as if it were unused.
	handoverFault bool
	// holders are the nodes that hold equal shares.
	holders []shares.Holder
	// ended is closed when the simulation ends.
	ended <-chan struct{}

	// mutex guards all fields below.
	mutex   sync.Mutex
	nodes   []*simulatedNode
	served  []servedRequest
	refused int
	// rejectedAfter is how long the requests waited that were rejected since no allocator
	// could grant.
	rejectedAfter []time.Duration
	// allocators holds the names of the allocators by ID; events is the log of membership
	// and state changes.
	allocators map[quota.AllocatorID]string
	events     []event
	// partitioned is set while the site is split into sides; refuses makes connections
	// between them fail at once, as those to a killed node do.
	partitioned, refuses bool
	// calls counts the calls by message.
	calls map[peer.Kind]int
}

func newSite(ctx context.Context, seed uint64, count int) *site {
	result := &site{random: rand.New(rand.NewPCG(seed, 1)), startedAt: time.Now(), ended: ctx.Done(), allocators: map[quota.AllocatorID]string{}, calls: map[peer.Kind]int{}}
	for number := range count {
		result.nodes = append(result.nodes, &simulatedNode{site: result})
		if number < maxHolders {
			result.holders = append(result.holders, shares.Holder(nodeName(number)))
		}
	}
	for number := range count {
		result.start(ctx, number)
	}
	return result
}

// maxHolders is the number of nodes of a large site that hold shares.
const maxHolders = 12

// share returns a node's share of the limits.
func (s *site) share(number int) fixedShare {
	if number >= len(s.holders) {
		return 0
	}
	return fixedShare(1 / float64(len(s.holders)))
}

func nodeName(number int) identity.NodeName { return identity.NodeName(fmt.Sprint("n", number)) }

func (s *site) now() time.Duration { return time.Since(s.startedAt) }

// start starts a new incarnation of a node.
func (s *site) start(ctx context.Context, number int) {
	n := s.nodes[number]
	lifetime, end := context.WithCancel(ctx)
	s.mutex.Lock()
	n.node = identity.Node{
		Name: nodeName(number), Incarnation: identity.Incarnation(s.now() + 1),
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 1),
	}
	n.nodeState, n.leaving, n.end = running, false, end
	s.mutex.Unlock()
	n.service = New(Config{
		Self: n.node.Name, Incarnation: n.node.Incarnation, Address: n.node.PeerAddress, Policy: sitePolicy, Strategy: StrategyAllocator,
		Peers: simulatedPeers{from: n, incarnation: n.node.Incarnation}, Shares: s.share(number), Now: s.now, Logger: slog.New(slog.DiscardHandler),
	})
	n.service.SetLimits(limitOfSite, func() bool { return true })
	n.service.SetHolders(s.holders)
	s.mutex.Lock()
	s.allocators[n.service.allocatorID] = string(n.node.Name)
	s.logEvent("%s starts", n.node.Name)
	s.mutex.Unlock()
	go n.service.Run(lifetime)
}

// updateViews gives every node a view of the nodes that it can currently reach.
func (s *site) updateViews() {
	for _, n := range s.nodes {
		view := membership.View{}
		s.mutex.Lock()
		if n == s.nodes[0] {
			s.logEvent("views are updated")
		}
		for _, other := range s.nodes {
			if n == other || other.nodeState == running && n.side == other.side {
				member := membership.Member{Node: other.node, Status: membership.Alive}
				if other.leaving {
					member.Status = membership.Leaving
				}
				view.Members = append(view.Members, member)
			}
		}
		s.mutex.Unlock()
		n.service.SetView(view)
	}
}

// generateLoad sends requests to random nodes until ctx ends.
func (s *site) generateLoad(ctx context.Context, rate func(now time.Duration) float64) {
	for ctx.Err() == nil {
		s.mutex.Lock()
		pause := time.Duration(s.random.ExpFloat64() / rate(s.now()) * float64(time.Second))
		n := s.nodes[s.random.IntN(len(s.nodes))]
		serves := n.nodeState == running || n.nodeState == unresponsive
		s.mutex.Unlock()
		time.Sleep(pause)
		if serves {
			go s.request(ctx, n)
		}
	}
}

// request sends one request to a node.
func (s *site) request(ctx context.Context, n *simulatedNode) {
	service := n.service
	sentAt := s.now()
	permit, err := service.Admit(ctx, siteTenant)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case service != n.service || n.nodeState == killed || n.nodeState == paused:
		// The process has ended, or was paused before it could admit the request.
	case err == nil && s.random.IntN(20) == 0:
		go permit.Refund() // the request was not run
	case err == nil:
		s.served = append(s.served, servedRequest{at: s.now(), allocatorID: permit.token.AllocatorID()})
	case ctx.Err() == nil:
		s.refused++
		if errors.Is(err, ErrNoAllocator) {
			s.rejectedAfter = append(s.rejectedAfter, s.now()-sentAt)
		}
	}
}

// worst returns the highest number of requests served in any window.
func (s *site) worst() int { return len(s.worstWindow()) }

func (s *site) set(number int, to nodeState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodes[number].nodeState = to
	s.logEvent("n%d is %s", number, to)
}

// simulatedPeers carries the calls of one incarnation of a node.
type simulatedPeers struct {
	from        *simulatedNode
	incarnation identity.Incarnation
}

// Call implements peer.Client.
func (w simulatedPeers) Call(ctx context.Context, address netip.AddrPort, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	s := w.from.site
	time.Sleep(s.latency())
	s.mutex.Lock()
	to := s.nodes[address.Addr().As4()[3]]
	alive := w.from.nodeState == running && w.from.node.Incarnation == w.incarnation
	nodeState, reached := to.nodeState, to.side == w.from.side && alive
	refused := reached && nodeState == killed || s.refuses && alive && to.side != w.from.side
	service := to.service
	s.calls[request.Kind()]++
	s.mutex.Unlock()
	switch {
	case refused:
		return nil, fmt.Errorf("%w: %w", peer.ErrNotSent, syscall.ECONNREFUSED)
	case !reached || nodeState != running:
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, ctx.Err())
	}
	response, err := service.handle(ctx, request)
	if handover, ok := response.(*handoverResponse); ok {
		s.mutex.Lock()
		s.logEvent("handover to %s from %s: %d partitions, account %+v", w.from.node.Name, to.node.Name, handover.Cession.Partitions.Len(), handover.Accounts[siteTenant.Name])
		s.mutex.Unlock()
		if s.handoverFault {
			handover.Accounts = map[string]quota.Account{siteTenant.Name: {Requests: 1000}}
		}
	}
	time.Sleep(s.latency())
	s.awaitRunning(ctx, to)
	s.awaitRunning(ctx, w.from)
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, ctx.Err())
	}
	return response, err
}

// awaitRunning waits until a paused process continues, so that a pause may begin between any
// two steps of a call.
func (s *site) awaitRunning(ctx context.Context, n *simulatedNode) {
	for ctx.Err() == nil {
		s.mutex.Lock()
		isPaused := n.nodeState == paused
		s.mutex.Unlock()
		if !isPaused {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// latency returns a random one-way latency.
func (s *site) latency() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
}

func (s *Service) handle(ctx context.Context, request peer.Message) (peer.Message, error) {
	switch request.(type) {
	case *tokenRequest:
		return s.handleTokenRequest(ctx, request, nil)
	case *leaseRequest:
		return s.handleLeaseRequest(ctx, request, nil)
	default:
		return s.handleHandoverRequest(ctx, request, nil)
	}
}
