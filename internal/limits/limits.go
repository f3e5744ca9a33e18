// Package limits keeps tenants' requests at all nodes together within their limits. One
// node a tenant, its allocator, hands out tokens; the others ask it a little ahead of
// their need, so that a request seldom waits for an answer. The rules are in package
// quota; this one finds the allocator, carries the messages and takes an account over
// when the allocator changes.
//
// A node that gets no answer spends at its own pace for a short time, see
// quota.Stock.TakeAlone. Nothing here is durable.
package limits

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/routing"
)

const (
	// askPatience is how long a request waits for tokens; restartPatience is that for
	// changingFor after members have come or gone, when it may take a while until nodes
	// agree on who allots.
	askPatience     = 120 * time.Millisecond
	restartPatience = 500 * time.Millisecond
	changingFor     = 3 * time.Second
	// askTimeout bounds one question to an allocator, askTries how many nodes one
	// question may lead to. Machines that refuse connections do so at once.
	askTimeout = 80 * time.Millisecond
	askTries   = 24
	// sweepPause is the time between two looks for tokens to give back.
	sweepPause = 250 * time.Millisecond
	// stockIdle is how long a stock without use is kept.
	stockIdle = 10 * time.Second
	// unansweredPause is how long requests don't wait for an allocator again that has
	// not answered.
	unansweredPause = 100 * time.Millisecond
)

// ErrNoAllocator tells that nobody could be asked for a token and that this node has
// none of its own.
var ErrNoAllocator = errors.New("limits: no node answers that allots the tenant's limit")

// OverLimitError tells that a tenant's limit holds no more for now.
type OverLimitError struct {
	Tenant string
	// RetryAfter is when there may be room again.
	RetryAfter time.Duration
	// ProgramStart tells that only requests that begin a program are refused.
	ProgramStart bool
}

// Error gives the tenant and when there may be room.
func (e *OverLimitError) Error() string {
	what := "requests"
	if e.ProgramStart {
		what = "programs"
	}
	return fmt.Sprintf("limits: tenant %s is at its limit of %s, room in %s", e.Tenant, what, e.RetryAfter)
}

// Strategy is how a limit is shared among the nodes.
type Strategy string

// The ways.
const (
	// StrategyAllocator lets one node a tenant hand out tokens.
	StrategyAllocator Strategy = "allocator"
	// StrategyStaticShares gives each node an equal part of every limit. It needs no messages and
	// refuses what is under the limit where a tenant's clients are at few nodes.
	StrategyStaticShares Strategy = "shares"
)

// Config is what a Service is made from. Peers is nil where there are no other nodes.
type Config struct {
	Self     identity.NodeName
	Policy   quota.Policy
	Strategy Strategy
	Peers    peer.Client
	// Now is a monotonic reading.
	Now        func() time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Service grants and asks for tokens. It is safe for concurrent use.
type Service struct {
	config    Config
	source    quota.AllocatorID
	placement *placement
	metrics   *metrics
	startedAt time.Duration
	// limit is set before the first request.
	limit func(tenant string) (quota.Limit, bool)

	// stocksMutex guards stocks; each has a lock of its own, which is taken after it.
	stocksMutex sync.Mutex
	stocks      map[string]*stock

	// mutex guards all below; it is held for no call.
	mutex     sync.Mutex
	allocator *quota.Allocator
	// changedAt is when the members changed last, or this node started or stood still.
	changedAt time.Duration
	// beatAt is when this node was last seen to go on; beats tells that Run looks for that.
	beatAt time.Duration
	beats  bool
	// settling holds the tenants whose account is being taken over.
	settling map[string]chan struct{}
}

// New returns a service that knows no other nodes.
func New(config Config) *Service {
	return &Service{
		config: config, source: quota.AllocatorID(rand.Uint64()), placement: newPlacement(config.Self),
		metrics: newMetrics(config.Registerer), startedAt: config.Now(), stocks: map[string]*stock{},
		allocator: quota.NewAllocator(config.Policy), changedAt: config.Now(), settling: map[string]chan struct{}{},
	}
}

// SetLimits sets what returns a tenant's limit in the configuration in force, false if it
// has none. It is called before the first request.
func (s *Service) SetLimits(limit func(tenant string) (quota.Limit, bool)) { s.limit = limit }

// SetView tells which nodes live.
func (s *Service) SetView(view membership.View) {
	now := s.config.Now()
	returned := s.placement.setView(view, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changedAt = now
	if returned {
		s.allocator.InvalidateAll()
	}
	s.allocator.Relinquish(s.allottedElsewhere, s.limit, now)
}

// allottedElsewhere tells whether this node knows of another one that allots a tenant.
func (s *Service) allottedElsewhere(tenant string) bool {
	_, self := s.allocatorOf(tenant)
	return !self
}

// Run gives back what expires unspent, until ctx ends. It notices when the process stood
// still: others may have allotted meanwhile.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := s.config.Now()
			s.sweep(ctx, now)
			s.beat(now)
		case <-ctx.Done():
			return
		}
	}
}

// standstill is a pause of the process after which other nodes may have taken it for dead.
const standstill = time.Second

// beat notices a standstill since the beat before.
func (s *Service) beat(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.notice(now)
	s.beats, s.beatAt = true, now
}

// lookBeforeGranting notices a standstill where a question is the first that runs when the
// process goes on. Before Run there are no beats that could be late.
func (s *Service) lookBeforeGranting(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.notice(now)
}

// notice needs the mutex.
func (s *Service) notice(now time.Duration) {
	if !s.beats {
		return
	}
	s.noteStandstill(now-s.beatAt, now)
	s.beatAt = now
}

// noteStandstill needs the mutex.
func (s *Service) noteStandstill(pause, now time.Duration) {
	if pause < standstill {
		return
	}
	s.changedAt = now
	s.allocator.ProcessPaused()
}

// patience is how long a request waits for tokens now.
func (s *Service) patience() time.Duration {
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now-s.changedAt < changingFor {
		return restartPatience
	}
	return askPatience
}

// sweep tells allocators what is given back, and forgets what rests.
func (s *Service) sweep(ctx context.Context, now time.Duration) {
	s.mutex.Lock()
	s.allocator.Forget(now)
	s.mutex.Unlock()
	s.stocksMutex.Lock()
	defer s.stocksMutex.Unlock()
	for tenant, one := range s.stocks {
		if one.rests(now) {
			delete(s.stocks, tenant)
			continue
		}
		one.tellReturns(ctx, now)
	}
}

// Admit spends a token for one request of a tenant, which may be nil. Errors: an
// *OverLimitError; one that wraps ErrNoAllocator.
func (s *Service) Admit(ctx context.Context, tenant *routing.Tenant) (Permit, error) {
	if !tenant.Limited() {
		return Permit{}, nil
	}
	one := s.stock(tenant.Name)
	token, err := one.take(ctx, LimitOf(tenant))
	s.metrics.decided(err)
	if err != nil {
		return Permit{}, err
	}
	return Permit{stock: one, token: token}, nil
}

// LimitOf returns a tenant's limit.
func LimitOf(tenant *routing.Tenant) quota.Limit {
	return quota.Limit{RatePerSecond: tenant.RatePerSecond, Burst: tenant.Burst}
}

func (s *Service) stock(tenant string) *stock {
	s.stocksMutex.Lock()
	defer s.stocksMutex.Unlock()
	found := s.stocks[tenant]
	if found == nil {
		found = &stock{service: s, tenant: tenant, quota: quota.NewTokenCache(s.config.Policy, s.config.Now())}
		s.stocks[tenant] = found
	}
	return found
}

// Permit is the right of one request to run. The zero Permit is that of a request
// without a limit.
type Permit struct {
	stock *stock
	token quota.Token
}

// StartProgram asks for the right to begin a program. Errors: an *OverLimitError.
func (p Permit) StartProgram(ctx context.Context) error {
	if p.stock == nil {
		return nil
	}
	err := p.stock.takeBegin(ctx)
	if err != nil {
		p.stock.service.metrics.decided(err)
	}
	return err
}

// Refund gives the token back, since the request has not run.
func (p Permit) Refund() {
	if p.stock != nil {
		p.stock.refund(p.token)
	}
}
