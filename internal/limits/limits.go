// Package limits enforces tenants' request limits across all nodes. One node per tenant,
// its allocator, grants tokens. The other nodes request them slightly ahead of demand, so
// that a request rarely waits for a response. Package quota has the token accounting; this
// package locates the allocator, carries the messages, and transfers an account when the
// allocator changes.
//
// A node that gets no response continues at its own request rate for a short time, see
// quota.TokenCache.TakeWithoutAllocator. All state is volatile.
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
	// defaultWaitTimeout bounds the wait of a request for tokens. unstableWaitTimeout
	// replaces it for unstablePeriod after a membership change, since nodes may need longer
	// to agree on the allocator.
	defaultWaitTimeout  = 120 * time.Millisecond
	unstableWaitTimeout = 500 * time.Millisecond
	unstablePeriod      = 3 * time.Second
	// callTimeout bounds one call to an allocator, maxAttempts the number of nodes called
	// for one token request. Machines that refuse connections do so immediately.
	callTimeout = 80 * time.Millisecond
	maxAttempts = 24
	// sweepInterval is the time between two checks for tokens to return.
	sweepInterval = 250 * time.Millisecond
	// idleTTL is how long an unused token cache is kept.
	idleTTL = 10 * time.Second
	// allocatorRetryDelay is how long requests do not wait for an allocator that has not
	// responded.
	allocatorRetryDelay = 100 * time.Millisecond
)

// ErrNoAllocator is returned if no allocator responds and this node may not grant a token
// by itself.
var ErrNoAllocator = errors.New("limits: no allocator of the tenant responds")

// OverLimitError is returned if a tenant has reached its limit.
type OverLimitError struct {
	Tenant string
	// RetryAfter is the time until tokens may be available.
	RetryAfter time.Duration
	// ProgramStart means that only requests that start a program are rejected.
	ProgramStart bool
}

// Error names the tenant and the time to wait.
func (e *OverLimitError) Error() string {
	what := "requests"
	if e.ProgramStart {
		what = "programs"
	}
	return fmt.Sprintf("limits: tenant %s has reached its limit of %s, retry in %s", e.Tenant, what, e.RetryAfter)
}

// Strategy is how tenants' limits are divided among nodes.
type Strategy string

// The strategies.
const (
	// StrategyAllocator has one node per tenant grant tokens to the others.
	StrategyAllocator Strategy = "allocator"
	// StrategyStaticShares gives each node an equal fraction of every limit. It needs no
	// messages, but rejects requests below the limit if a tenant's clients use only a few
	// nodes.
	StrategyStaticShares Strategy = "shares"
)

// Config configures a Service. Peers is nil if there are no other nodes.
type Config struct {
	Self     identity.NodeName
	Policy   quota.Policy
	Strategy Strategy
	Peers    peer.Client
	// Now returns a monotonic reading.
	Now        func() time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Service requests and grants tokens. It is safe for concurrent use.
type Service struct {
	config      Config
	allocatorID quota.AllocatorID
	placement   *placement
	metrics     *metrics
	startedAt   time.Duration
	// limit is set before the first request.
	limit func(tenant string) (quota.Limit, bool)

	// tenantsMutex guards tenants. Each entry has its own mutex, which is locked after it.
	tenantsMutex sync.Mutex
	tenants      map[string]*tenantTokens

	// mutex guards all fields below. It is not held during calls to other nodes.
	mutex     sync.Mutex
	allocator *quota.Allocator
	// changedAt is the time of the last membership change, process pause, or the start.
	changedAt time.Duration
	// lastTickAt is the time of the last check for a process pause; ticking is set once Run
	// performs these checks.
	lastTickAt time.Duration
	ticking    bool
	// synchronizing holds the tenants whose accounts are being synchronized.
	synchronizing map[string]chan struct{}
}

// New returns a service that knows no other nodes.
func New(config Config) *Service {
	return &Service{
		config: config, allocatorID: quota.AllocatorID(rand.Uint64()), placement: newPlacement(config.Self),
		metrics: newMetrics(config.Registerer), startedAt: config.Now(), tenants: map[string]*tenantTokens{},
		allocator: quota.NewAllocator(config.Policy), changedAt: config.Now(), synchronizing: map[string]chan struct{}{},
	}
}

// SetLimits sets the function that returns a tenant's limit in the current configuration,
// or false if it has none. It must be called before the first request.
func (s *Service) SetLimits(limit func(tenant string) (quota.Limit, bool)) { s.limit = limit }

// SetView sets the members.
func (s *Service) SetView(view membership.View) {
	now := s.config.Now()
	reappeared := s.placement.setView(view, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.changedAt = now
	if reappeared {
		s.allocator.InvalidateAll()
	}
	s.allocator.Relinquish(s.allocatedElsewhere, s.limit, now)
}

// allocatedElsewhere reports whether this node is not the tenant's allocator.
func (s *Service) allocatedElsewhere(tenant string) bool {
	_, self := s.allocatorOf(tenant)
	return !self
}

// Run returns expired tokens to allocators and detects process pauses, after which other
// nodes may have granted tokens of the same accounts. It returns when ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := s.config.Now()
			s.sweep(ctx, now)
			s.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

// pauseThreshold is the duration of a process pause after which other nodes may have
// declared this one dead.
const pauseThreshold = time.Second

// tick detects a process pause since the previous tick.
func (s *Service) tick(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.detectPauseLocked(now)
	s.ticking, s.lastTickAt = true, now
}

// detectPause detects a process pause before a token request is handled, in case that
// request is the first thing to run after the pause. It has no effect before Run.
func (s *Service) detectPause(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.detectPauseLocked(now)
}

// detectPauseLocked requires the mutex.
func (s *Service) detectPauseLocked(now time.Duration) {
	if !s.ticking {
		return
	}
	s.recordPauseLocked(now-s.lastTickAt, now)
	s.lastTickAt = now
}

// recordPauseLocked requires the mutex.
func (s *Service) recordPauseLocked(pause, now time.Duration) {
	if pause < pauseThreshold {
		return
	}
	s.changedAt = now
	s.allocator.ProcessPaused()
}

// waitTimeout returns the current bound on the wait of a request for tokens.
func (s *Service) waitTimeout() time.Duration {
	now := s.config.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now-s.changedAt < unstablePeriod {
		return unstableWaitTimeout
	}
	return defaultWaitTimeout
}

// sweep returns expired tokens to allocators and deletes idle accounts and token caches.
func (s *Service) sweep(ctx context.Context, now time.Duration) {
	s.mutex.Lock()
	s.allocator.Forget(now)
	s.mutex.Unlock()
	s.tenantsMutex.Lock()
	defer s.tenantsMutex.Unlock()
	for tenant, tokens := range s.tenants {
		if tokens.idle(now) {
			delete(s.tenants, tenant)
			continue
		}
		tokens.sendReturns(ctx, now)
	}
}

// Admit takes a token for one request of a tenant, which may be nil. Errors: an
// *OverLimitError; one that wraps ErrNoAllocator.
func (s *Service) Admit(ctx context.Context, tenant *routing.Tenant) (Permit, error) {
	if !tenant.Limited() {
		return Permit{}, nil
	}
	tokens := s.tenantTokens(tenant.Name)
	token, err := tokens.take(ctx, LimitOf(tenant))
	s.metrics.observe(err)
	if err != nil {
		return Permit{}, err
	}
	return Permit{tenantTokens: tokens, token: token}, nil
}

// LimitOf returns a tenant's limit.
func LimitOf(tenant *routing.Tenant) quota.Limit {
	return quota.Limit{RatePerSecond: tenant.RatePerSecond, Burst: tenant.Burst}
}

func (s *Service) tenantTokens(tenant string) *tenantTokens {
	s.tenantsMutex.Lock()
	defer s.tenantsMutex.Unlock()
	found := s.tenants[tenant]
	if found == nil {
		found = &tenantTokens{service: s, tenant: tenant, cache: quota.NewTokenCache(s.config.Policy, s.config.Now())}
		s.tenants[tenant] = found
	}
	return found
}

// Permit is the permission to run one request. The zero Permit is that of a request without
// a limit.
type Permit struct {
	tenantTokens *tenantTokens
	token        quota.Token
}

// StartProgram takes the token for starting a program. Errors: an *OverLimitError.
func (p Permit) StartProgram(ctx context.Context) error {
	if p.tenantTokens == nil {
		return nil
	}
	err := p.tenantTokens.takeProgramStart(ctx)
	if err != nil {
		p.tenantTokens.service.metrics.observe(err)
	}
	return err
}

// Refund returns the token of a request that was not run.
func (p Permit) Refund() {
	if p.tenantTokens != nil {
		p.tenantTokens.refund(p.token)
	}
}
