// Package homes sends each program's ledger work to one node, the home of the
// program's partition, which keeps the sums in memory and so needs few calls of
// the store. A home is a hint: any node can do the work itself, through the log,
// when the home doesn't answer, and nothing is wrong if two nodes hold themselves
// for the home.
package homes

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

const (
	// hedgeAfter is how long a home may take before the work is begun here too.
	hedgeAfter = 150 * time.Millisecond
	// avoidFor is how long a home that did not answer is passed over.
	avoidFor = 700 * time.Millisecond
	// finishTimeout bounds the telling of a turn's end.
	finishTimeout = 2 * time.Second
	// ownStoreTime is how long the store may take to answer this node before a turn
	// is kept or read through its home.
	ownStoreTime = 300 * time.Millisecond
	// settleAfter is how long after its start a node alone in its view waits
	// before it takes itself for the home of all partitions.
	settleAfter = 2 * time.Second
)

// errNotAsked tells that the home was passed over.
var errNotAsked = errors.New("homes: the home did not answer lately")

// Request is what a turn needs of the ledger.
type Request struct {
	Program ledger.ProgramID
	// Budgeted tells that Budget and Most hold.
	Budgeted     bool
	Budget, Most uint32
	// Previous is the turn to go on from, or empty.
	Previous ledger.TurnID
}

// Turn is a turn that has begun. Finish must be called once.
type Turn struct {
	// Charged is what was known to stand against the budget before, in tokens.
	Charged uint64
	// Ahead tells that the budget's reservation does not stand in the log yet.
	Ahead bool
	// Chain holds the locations of the turns before, the oldest first.
	Chain []ledger.Location
	// Home is the node that keeps the program's sums.
	Home identity.NodeName

	finish func(used uint32)
}

// Finish tells how many tokens were handed out.
func (t *Turn) Finish(used uint32) {
	if t.finish != nil {
		t.finish(used)
	}
}

// Config is what a Service is made from; Peers is nil where there are no other nodes.
type Config struct {
	Self       identity.NodeName
	Ledger     *ledgerlog.Ledger
	Partitions int
	Peers      peer.Client
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Service does the ledger's work at homes. It is safe for concurrent use.
type Service struct {
	config  Config
	began   time.Time
	view    atomic.Pointer[membership.View]
	begun   *prometheus.CounterVec
	closing atomic.Bool

	// mutex guards avoid: until when homes are passed over.
	mutex sync.Mutex
	avoid map[identity.NodeName]time.Duration
}

// New returns a service that knows no other nodes yet.
func New(config Config) *Service {
	made := &Service{
		config: config, began: time.Now(), avoid: map[identity.NodeName]time.Duration{},
		begun: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_turns_begun_total", Help: "Turns begun in the ledger, by where and outcome.",
		}, []string{"where", "outcome"}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(made.begun)
	}
	return made
}

// SetView tells which nodes live. Partitions that are at home elsewhere now are
// given up at once.
func (s *Service) SetView(view membership.View) {
	s.view.Store(&view)
	s.config.Ledger.Tidy(s.isHome)
}

// Close makes this node the home of nothing.
func (s *Service) Close() {
	s.closing.Store(true)
	s.config.Ledger.Tidy(s.isHome)
}

// LifeOf names a life of a node in the ledger.
func LifeOf(node identity.Reference) ledger.LifeID {
	return ledger.LifeID(string(node.Name) + "." + strconv.FormatUint(uint64(node.Incarnation), 36))
}

// Lives tells whether a life is a member that has not died.
func (s *Service) Lives(life ledger.LifeID) bool {
	view := s.view.Load()
	if view == nil {
		return false
	}
	return slices.ContainsFunc(view.Members, func(member membership.Member) bool {
		return LifeOf(member.Node.Reference()) == life
	})
}

// Run gives up partitions that are at home elsewhere until ctx ends.
func (s *Service) Run(ctx context.Context) { s.config.Ledger.Run(ctx, s.isHome) }

func (s *Service) isHome(partition int) bool {
	_, self := s.home(partition)
	return self
}

// home returns the node that keeps a partition, and whether that is this one. It
// returns neither while this node does not know the others yet, or stops.
func (s *Service) home(partition int) (identity.Node, bool) {
	view := s.view.Load()
	if view == nil || len(view.Members) <= 1 {
		return identity.Node{}, !s.closing.Load() && (s.config.Peers == nil || time.Since(s.began) > settleAfter)
	}
	var best identity.Node
	highest := uint64(0)
	for _, member := range view.Members {
		if member.Status != membership.Alive && member.Status != membership.Suspect {
			continue
		}
		if s.closing.Load() && member.Node.Name == s.config.Self {
			continue
		}
		if score := score(partition, member.Node.Name); best.Name == "" || score > highest {
			best, highest = member.Node, score
		}
	}
	return best, best.Name == s.config.Self
}

// score ranks nodes for a partition (rendezvous hashing).
func score(partition int, node identity.NodeName) uint64 {
	return xxhash.Sum64String(strconv.Itoa(partition) + "/" + string(node))
}

// Begin begins a turn. Errors: a *ledgerlog.SpentError, or one that wraps
// ledgerlog.ErrNoSuchTurn or ledgerlog.ErrUnavailable.
func (s *Service) Begin(ctx context.Context, request Request) (*Turn, error) {
	home, self := s.home(s.config.Ledger.Partition(request.Program))
	if self || home.Name == "" || s.config.Peers == nil {
		return s.beginHere(ctx, request, self)
	}
	return s.hedge(ctx, request, home)
}

// result is the outcome of one of two ways to begin a turn.
type result struct {
	turn *Turn
	err  error
	home bool
}

// hedge asks the home and, if that fails or takes long, does the work here too.
func (s *Service) hedge(ctx context.Context, request Request, home identity.Node) (*Turn, error) {
	results := make(chan result, 2)
	pending := 1
	go func() {
		turn, err := s.beginThere(ctx, request, home)
		results <- result{turn, err, true}
	}()
	timer := time.NewTimer(hedgeAfter)
	defer timer.Stop()
	here := false
	start := func() {
		if here {
			return
		}
		here = true
		pending++
		go func() {
			turn, err := s.beginHere(ctx, request, false)
			results <- result{turn, err, false}
		}()
	}
	var last error
	for pending > 0 {
		select {
		case <-timer.C:
			s.passOver(home.Name)
			start()
		case one := <-results:
			pending--
			if one.err == nil {
				go discard(results, pending)
				return one.turn, nil
			}
			last = one.err
			if !errors.Is(one.err, ledgerlog.ErrUnavailable) {
				go discard(results, pending) // an answer by proof
				return nil, one.err
			}
			if one.home && ctx.Err() == nil {
				start()
			}
		}
	}
	return nil, last
}

// discard ends turns that were begun for nothing.
func discard(results <-chan result, pending int) {
	for range pending {
		if one := <-results; one.err == nil {
			one.turn.Finish(0)
		}
	}
}

// beginHere does the work through this node's own ledger.
func (s *Service) beginHere(ctx context.Context, request Request, home bool) (*Turn, error) {
	turn := &Turn{Home: s.config.Self}
	if request.Budgeted {
		grant, err := s.config.Ledger.Take(ctx, request.Program, request.Budget, request.Most, home)
		if err != nil {
			s.count("here", err)
			return nil, err
		}
		turn.Charged, turn.Ahead = grant.Charged, grant.Ahead
		turn.finish = func(used uint32) { s.config.Ledger.Finish(grant, used) }
	}
	if request.Previous != "" {
		chain, err := s.config.Ledger.Chain(ctx, request.Program, request.Previous)
		if err != nil {
			turn.Finish(0)
			s.count("here", err)
			return nil, err
		}
		turn.Chain = chain
	}
	s.count("here", nil)
	return turn, nil
}

// beginThere asks the home.
func (s *Service) beginThere(ctx context.Context, request Request, home identity.Node) (*Turn, error) {
	if s.avoided(home.Name) {
		return nil, fmt.Errorf("%w: %w", ledgerlog.ErrUnavailable, errNotAsked)
	}
	answer, err := s.call(ctx, home, &begin{Request: request})
	if err != nil {
		s.count("home", err)
		return nil, err
	}
	got, ok := answer.(*begun)
	if !ok {
		return nil, fmt.Errorf("%w: home %s answered %T", ledgerlog.ErrUnavailable, home.Name, answer)
	}
	err = got.err(home.Name)
	s.count("home", err)
	if err != nil {
		return nil, err
	}
	turn := &Turn{Charged: got.Charged, Ahead: got.Ahead, Chain: got.Chain, Home: home.Name}
	if request.Budgeted {
		turn.finish = func(used uint32) { go s.finishThere(home, request.Program, got.Grant, used) }
	}
	return turn, nil
}

func (m *begun) err(home identity.NodeName) error {
	switch m.Status {
	case statusDone:
		return nil
	case statusSpent:
		return &ledgerlog.SpentError{Charged: m.Charged}
	case statusNoSuchTurn:
		return fmt.Errorf("%w: home %s: %s", ledgerlog.ErrNoSuchTurn, home, m.Reason)
	}
	return fmt.Errorf("%w: home %s: %s", ledgerlog.ErrUnavailable, home, m.Reason)
}

// finishThere tells a turn's end. Where that fails, the home counts it in full.
func (s *Service) finishThere(home identity.Node, program ledger.ProgramID, grant ledger.GrantID, used uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if _, err := s.call(ctx, home, &finish{Program: program, Grant: grant, Used: used}); err != nil {
		s.config.Logger.Info("turn's end not told", "home", home.Name, "program", program, "used", used, "error", err)
	}
}

func (s *Service) call(ctx context.Context, home identity.Node, request peer.Message) (peer.Message, error) {
	answer, err := s.config.Peers.Call(ctx, home.PeerAddress, request, nil)
	if err != nil {
		if ctx.Err() == nil {
			s.passOver(home.Name)
		}
		return nil, fmt.Errorf("%w: home %s: %w", ledgerlog.ErrUnavailable, home.Name, err)
	}
	return answer, nil
}

func (s *Service) passOver(home identity.NodeName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.avoid[home] = time.Since(s.began) + avoidFor
}

func (s *Service) avoided(home identity.NodeName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Since(s.began) < s.avoid[home]
}

func (s *Service) count(where string, err error) {
	outcome := "begun"
	var spent *ledgerlog.SpentError
	switch {
	case errors.As(err, &spent):
		outcome = "spent"
	case errors.Is(err, ledgerlog.ErrNoSuchTurn):
		outcome = "no_such_turn"
	case err != nil:
		outcome = "unavailable"
	}
	s.begun.WithLabelValues(where, outcome).Inc()
}

// Addresses returns the peer addresses of the other nodes that live.
func (s *Service) Addresses() []netip.AddrPort {
	view := s.view.Load()
	if view == nil {
		return nil
	}
	var addresses []netip.AddrPort
	for _, member := range view.Members {
		if member.Node.Name != s.config.Self && member.Status == membership.Alive {
			addresses = append(addresses, member.Node.PeerAddress)
		}
	}
	return addresses
}
