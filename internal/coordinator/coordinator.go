// Package coordinator sends each program's ledger work to one node, the home of the
// program's partition, which keeps the sums in memory and so needs few calls of
// the store. A home is a hint: any node can do the work itself, through the log,
// when the home doesn't answer, and nothing is wrong if two nodes hold themselves
// for the home.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/peer"
)

const (
	// hedgeAfter is how long a home may say nothing before the work is begun here
	// too; workingAfter is the time between two words of a home that waits for the log,
	// and patientAfter how long it may say nothing after one. Whoever begins the work
	// here reads the partition, as the home does; after the loss of all nodes that is
	// more than the store can tell.
	hedgeAfter   = 150 * time.Millisecond
	workingAfter = 60 * time.Millisecond
	patientAfter = 400 * time.Millisecond
	// avoidFor is how long a home that did not answer is passed over.
	avoidFor = 700 * time.Millisecond
	// finishTimeout bounds one telling of a turn's end, which is tried finishAttempts
	// times with finishPause between.
	finishTimeout  = 2 * time.Second
	finishAttempts = 3
	finishPause    = 500 * time.Millisecond
	// homePatience is how long a home may take to keep or read turns before this
	// node does it itself.
	homePatience = 700 * time.Millisecond
	// keepPause is the time between two tries to keep a turn.
	keepPause = 60 * time.Millisecond
	// settleAfter is how long after its start a node alone in its view waits
	// before it takes itself for the home of all partitions.
	settleAfter = 2 * time.Second
	// learnMembers is how long after its start a node may not know all others. It is
	// shorter than sites take to count a started machine as in touch, so that turns
	// are not put off for the dead for longer than that.
	learnMembers = 2500 * time.Millisecond
)

// Request is what a turn needs of the ledger.
type Request struct {
	Program ledger.ProgramID
	// Budgeted tells that Budget and Most hold.
	Budgeted              bool
	Budget, MaxTurnTokens uint32
	// Previous is the turn to go on from, or empty.
	Previous ledger.TurnID
}

// Turn is a turn that has begun. Finish must be called, by one goroutine; only the first call
// counts.
type Turn struct {
	// Charged is what was known to stand against the budget before, in tokens.
	Charged uint64
	// Unlogged tells that the budget's reservation does not stand in the log yet.
	Unlogged bool
	// First tells that the program has been handed out nothing before.
	First bool
	// Chain holds the locations of the turns before, the oldest first.
	Chain []ledger.Location
	// CacheLocation is where the turn before ran.
	CacheLocation ledger.CacheLocation
	// Coordinator is the node that keeps the program's sums.
	Coordinator identity.NodeName

	finish func(used uint32)
}

// Finish tells how many tokens were handed out.
func (t *Turn) Finish(used uint32) {
	finish := t.finish
	t.finish = nil
	if finish != nil {
		finish(used)
	}
}

// Config is what a Service is made from; Peers is nil where there are no other nodes.
type Config struct {
	Self   identity.NodeName
	Ledger *ledgerlog.Ledger
	Peers  peer.Client
	// RoundTrip returns how long the way to a zone and back takes; nil counts as nothing.
	RoundTrip func(zone identity.Zone) time.Duration
	// StoreAvailable tells whether the store answers this node; nil counts as yes.
	StoreAvailable func() bool
	// Announce tells other nodes how often the store has ceased or begun to answer this one,
	// see LacksStore, and all of them at once with everybody; nil where nobody is told.
	Announce   func(changes uint64, everybody bool)
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Service does the ledger's work at homes. It is safe for concurrent use.
type Service struct {
	config  Config
	began   time.Time
	view    atomic.Pointer[siteView]
	begun   *prometheus.CounterVec
	closing atomic.Bool
	// away is what this node has told last of the store, see standing.
	away      atomic.Bool
	standings *prometheus.CounterVec

	// mutex guards avoid: until when homes are passed over.
	mutex sync.Mutex
	avoid map[identity.NodeName]time.Duration
	// storeless are the nodes that lately said that the store does not answer them, or
	// said nothing when asked for work in the store.
	storeless passing
	// toldAway are those that said so when asked to begin a turn, before it was known of them.
	toldAway passing
}

// New returns a service that knows no other nodes yet. It tells the ledger which
// nodes live from then on.
func New(config Config) *Service {
	made := &Service{
		config: config, began: time.Now(), avoid: map[identity.NodeName]time.Duration{},
		storeless: passing{until: map[identity.NodeName]time.Time{}},
		toldAway:  passing{until: map[identity.NodeName]time.Time{}},
		standings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_home_standings_total", Help: "Changes of whether the store answers this node, as told to others.",
		}, []string{"standing"}),
		begun: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_turns_begun_total", Help: "Turns begun in the ledger, by where and outcome.",
		}, []string{"where", "outcome"}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(made.begun, made.standings)
	}
	config.Ledger.SetMembers(made)
	return made
}

func (s *Service) call(ctx context.Context, home identity.Node, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	answer, err := s.config.Peers.Call(ctx, home.PeerAddress, request, onPart)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, peer.ErrUnknownKind) {
			s.passOver(home.Name)
		}
		return nil, fmt.Errorf("%w: home %s: %w", ledgerlog.ErrUnavailable, home.Name, err)
	}
	return answer, nil
}

// roundTrip is how long the way to a node and back takes.
func (s *Service) roundTrip(node identity.Node) time.Duration {
	if s.config.RoundTrip == nil {
		return 0
	}
	return s.config.RoundTrip(node.Zone)
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
	if err != nil {
		outcome = statusOf(err).String()
	}
	s.begun.WithLabelValues(where, outcome).Inc()
}
