// Package coordinator sends each program's ledger work to one node, the coordinator of the
// program's partition. The coordinator keeps the partition's sums in memory and so needs few
// calls of the store. It is chosen by rendezvous hashing over the membership view and is only a
// hint: any node can do the work itself through the log if the coordinator is unreachable, and
// two nodes that both act as the coordinator do no harm.
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
	// hedgeDelay is how long this node waits for a first report of progress before it does the
	// work locally as well. progressInterval is the time between two progress reports of a
	// coordinator that waits for the log, and progressTimeout how long it may then stay silent.
	// Working locally reads the partition a second time, which the store can't sustain for all
	// partitions when the whole cluster restarts.
	hedgeDelay       = 150 * time.Millisecond
	progressInterval = 60 * time.Millisecond
	progressTimeout  = 400 * time.Millisecond
	// avoidDuration is how long a node that did not respond is not called.
	avoidDuration = 700 * time.Millisecond
	// finishTimeout bounds one report of a turn's end, which is attempted finishAttempts times
	// with finishRetryInterval in between.
	finishTimeout       = 2 * time.Second
	finishAttempts      = 3
	finishRetryInterval = 500 * time.Millisecond
	// coordinatorTimeout is how long another node may take to persist or read turns.
	coordinatorTimeout = 700 * time.Millisecond
	// persistRetryInterval is the time between two attempts to persist a turn.
	persistRetryInterval = 60 * time.Millisecond
	// singleNodeDelay is how long after its start a node without other members waits before it
	// coordinates all partitions.
	singleNodeDelay = 2 * time.Second
	// membershipDelay is how long after its start a node may not know all members yet.
	// Until then it takes unknown incarnations to be alive, so that turns may be put off
	// for reservations of dead nodes.
	membershipDelay = 2500 * time.Millisecond
)

// Request describes a turn to begin.
type Request struct {
	Program ledger.ProgramID
	// Budgeted is set if Budget and MaxTurnTokens apply.
	Budgeted              bool
	Budget, MaxTurnTokens uint32
	// Previous is the turn to continue, or empty.
	Previous ledger.TurnID
}

// Turn is a turn that has begun. Finish must be called, by one goroutine; only the first call
// has an effect.
type Turn struct {
	// Charged is the amount charged to the budget before this turn, in tokens, as far as known.
	Charged uint64
	// Unlogged is set if the reservation is not in the log yet.
	Unlogged bool
	// First is set if no tokens were granted to the program before.
	First bool
	// Chain contains the locations of the previous turns, oldest first.
	Chain []ledger.Location
	// CacheLocation is where the previous turn ran.
	CacheLocation ledger.CacheLocation
	// Coordinator is the node that counts the turn's tokens.
	Coordinator identity.NodeName

	finish func(used uint32)
}

// Finish reports how many tokens the turn used.
func (t *Turn) Finish(used uint32) {
	finish := t.finish
	t.finish = nil
	if finish != nil {
		finish(used)
	}
}

// Config configures a Service. Peers is nil if there are no other nodes.
type Config struct {
	Self   identity.NodeName
	Ledger *ledgerlog.Ledger
	Peers  peer.Client
	// RoundTrip returns the round trip time to a zone; nil counts as zero.
	RoundTrip func(zone identity.Zone) time.Duration
	// StoreAvailable reports whether the store is available to this node; nil counts as true.
	StoreAvailable func() bool
	// Announce publishes the number of changes of the store's availability to this node, see
	// StoreUnreachable, to all nodes at once if everybody is set. It is nil if there is nobody
	// to inform.
	Announce   func(changes uint64, everybody bool)
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Service routes ledger work to coordinators and serves it for other nodes. It is safe for
// concurrent use.
type Service struct {
	config     Config
	began      time.Time
	view       atomic.Pointer[clusterView]
	turnsBegun *prometheus.CounterVec
	closing    atomic.Bool
	// unavailable is the last announced state of the store, see storeStatus.
	unavailable   atomic.Bool
	statusChanges *prometheus.CounterVec

	// mutex guards avoidUntil, the time since began until which a node is not called.
	mutex      sync.Mutex
	avoidUntil map[identity.NodeName]time.Duration
	// storeUnavailable contains nodes that recently reported the store to be unavailable, or made
	// no progress on a request that needs the store.
	storeUnavailable expiringSet
	// reportedUnavailable contains nodes that reported it in response to a request to begin a
	// turn, before membership announced it.
	reportedUnavailable expiringSet
}

// New returns a service without a membership view and registers it as the ledger's source of
// members.
func New(config Config) *Service {
	service := &Service{
		config: config, began: time.Now(), avoidUntil: map[identity.NodeName]time.Duration{},
		storeUnavailable:    expiringSet{until: map[identity.NodeName]time.Time{}},
		reportedUnavailable: expiringSet{until: map[identity.NodeName]time.Time{}},
		statusChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_home_standings_total", Help: "Changes of whether the store answers this node, as told to others.",
		}, []string{"standing"}),
		turnsBegun: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_turns_begun_total", Help: "Turns begun in the ledger, by where and outcome.",
		}, []string{"where", "outcome"}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(service.turnsBegun, service.statusChanges)
	}
	config.Ledger.SetMembers(service)
	return service
}

func (s *Service) call(ctx context.Context, coordinator identity.Node, request peer.Message, onPart func(peer.Message) error) (peer.Message, error) {
	answer, err := s.config.Peers.Call(ctx, coordinator.PeerAddress, request, onPart)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, peer.ErrUnknownKind) {
			s.avoidNode(coordinator.Name)
		}
		return nil, fmt.Errorf("%w: coordinator %s: %w", ledgerlog.ErrUnavailable, coordinator.Name, err)
	}
	return answer, nil
}

// roundTrip returns the round trip time to a node.
func (s *Service) roundTrip(node identity.Node) time.Duration {
	if s.config.RoundTrip == nil {
		return 0
	}
	return s.config.RoundTrip(node.Zone)
}

func (s *Service) avoidNode(coordinator identity.NodeName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.avoidUntil[coordinator] = time.Since(s.began) + avoidDuration
}

func (s *Service) isAvoided(coordinator identity.NodeName) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Since(s.began) < s.avoidUntil[coordinator]
}

func (s *Service) count(where string, err error) {
	outcome := "begun"
	if err != nil {
		outcome = statusOf(err).String()
	}
	s.turnsBegun.WithLabelValues(where, outcome).Inc()
}
