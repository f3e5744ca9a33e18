// Package limits enforces tenants' request limits across all nodes. One node per tenant,
// its allocator, grants tokens. The other nodes request them slightly ahead of demand, so
// that a request rarely waits for a response. Package quota has the token accounting and the
// argument for the bound; this package locates the allocator, renews its leases, carries the
// messages, and transfers leases and accounts when the allocator changes.
//
// A node that gets no response grants nothing by itself. All state is volatile.
package limits

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/routing"
	"stepseam.example/stepseam/internal/shares"
)

const (
	// waitTimeout bounds the wait of a request for tokens. Callers are told within 0.1 s
	// that no allocator can grant.
	waitTimeout = 80 * time.Millisecond
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

// ErrNoAllocator is wrapped by an *UnavailableError.
var ErrNoAllocator = errors.New("limits: no allocator of the tenant may grant tokens")

// UnavailableError is returned if no allocator responds, or if the one that responds has to
// wait until another one's leases end.
type UnavailableError struct {
	Tenant string
	// RetryAfter is the time until there may be an allocator.
	RetryAfter time.Duration
	Cause      error
}

// Error names the tenant, the cause and the time to wait.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: tenant %s, retry in %s: %s", ErrNoAllocator, e.Tenant, e.RetryAfter, e.Cause)
}

// Unwrap returns ErrNoAllocator and the cause.
func (e *UnavailableError) Unwrap() []error { return []error{ErrNoAllocator, e.Cause} }

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

// Shares divides the limits among nodes, see package shares.
type Shares interface {
	// Fraction returns the fraction of each limit that this node may use, or lease to an
	// allocator, for shares.UseTTL.
	Fraction(now time.Duration) float64
}

// Config configures a Service. Peers and Shares are nil if there are no other nodes.
type Config struct {
	Self        identity.NodeName
	Incarnation identity.Incarnation
	// Address is this node's address for other nodes.
	Address  netip.AddrPort
	Policy   quota.Policy
	Strategy Strategy
	Peers    peer.Client
	Shares   Shares
	// Now returns a monotonic reading that also advances while the machine is suspended.
	Now func() time.Duration
	// LessorNow returns a monotonic reading for the leases that this node has given, which
	// must not end early; nil means Now.
	LessorNow  func() time.Duration
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Service requests and grants tokens. It is safe for concurrent use.
type Service struct {
	config      Config
	allocatorID quota.AllocatorID
	placement   *placement
	metrics     *metrics
	logger      *boundedLogger
	// limit and limited are set before the first request.
	limit   func(tenant string) (quota.Limit, bool)
	limited func() bool

	// tenantsMutex guards tenants. Each entry has its own mutex, which is locked after it.
	tenantsMutex sync.Mutex
	tenants      map[string]*tenantTokens

	// mutex guards all fields below. It is not held during calls to other nodes.
	mutex     sync.Mutex
	allocator *quota.Allocator
	lessor    *quota.Lessor
	// conflicts has the other allocators that have leased a partition. It may be stale.
	conflicts [quota.Partitions]conflict
	// bypassUntil is the time until which this node leases a partition in place of one that
	// ranks higher; lastFirst is when it last ranked first itself.
	bypassUntil, lastFirst [quota.Partitions]time.Duration
	// renewing holds the lessors whose response is pending, acquiring the partitions that
	// token requests wait for, takingOver those whose handover has been requested.
	renewing   map[identity.NodeName]bool
	acquiring  map[quota.Partition]chan struct{}
	takingOver quota.PartitionSet
	// partial reports whether the last renewal found less than the whole limits leased;
	// partialSince holds the tenants that were granted tokens under less than the whole limit.
	partial      bool
	partialSince map[string]time.Duration
	grants       *grantLog
	// closed is set by Close.
	closed bool
}

// New returns a service that knows no other nodes.
func New(config Config) *Service {
	now := config.Now()
	if config.LessorNow == nil {
		config.LessorNow = config.Now
	}
	allocatorID := quota.AllocatorID(rand.Uint64())
	self := quota.Lessee{Node: identity.Reference{Name: config.Self, Incarnation: config.Incarnation}, Address: config.Address, ID: allocatorID}
	service := &Service{
		config: config, allocatorID: allocatorID, placement: newPlacement(config.Self),
		metrics: newMetrics(config.Registerer), logger: &boundedLogger{logger: config.Logger, now: config.Now}, tenants: map[string]*tenantTokens{},
		allocator: quota.NewAllocator(config.Policy, self), lessor: quota.NewLessor(config.LessorNow()),
		renewing: map[identity.NodeName]bool{}, acquiring: map[quota.Partition]chan struct{}{}, partialSince: map[string]time.Duration{},
		grants: &grantLog{logger: config.Logger, allocatorID: allocatorID, startAt: now, tenants: map[string]*tenantCounts{}},
	}
	for p := range service.lastFirst {
		service.lastFirst[p] = now - transferGrace
	}
	return service
}

// SetLimits sets the function that returns a tenant's limit in the current configuration,
// or false if it has none, and the one that reports whether any tenant has a limit. It must
// be called before the first request.
func (s *Service) SetLimits(limit func(tenant string) (quota.Limit, bool), limited func() bool) {
	s.limit, s.limited = limit, limited
}

// SetView sets the members.
func (s *Service) SetView(view membership.View) {
	s.placement.setView(view)
}

// SetHolders sets the nodes that hold shares.
func (s *Service) SetHolders(holders []shares.Holder) { s.placement.setHolders(holders) }

// Run renews this node's leases and returns expired tokens to allocators. It returns when
// ctx ends.
func (s *Service) Run(ctx context.Context) {
	go s.renewLoop(ctx)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sweep(ctx, s.config.Now())
		case <-ctx.Done():
			return
		}
	}
}

// Close gives up all leases, and the right to lease this node's share. Nothing is granted
// afterwards. A later process at the same address relies on it. The lessors are told, so that
// other allocators need not wait until the leases end; Close waits for them briefly.
func (s *Service) Close(ctx context.Context) {
	now := s.config.Now()
	s.mutex.Lock()
	s.closed = true
	_, cession := s.allocator.HandOver(quota.AllPartitions, now)
	request := s.allocator.LeaseRequest("", 0, []quota.Cession{cession}, now)
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, lessor := range s.lessors() {
		calls.Go(func() {
			_, _ = s.config.Peers.Call(ctx, lessor.PeerAddress, &leaseRequest{Request: request}, nil) // without it the lease ends by itself
		})
	}
	calls.Wait()
}

// sweep returns expired tokens to allocators and deletes idle accounts and token caches.
func (s *Service) sweep(ctx context.Context, now time.Duration) {
	s.mutex.Lock()
	s.allocator.Forget(now)
	s.grants.flush(now)
	maps.DeleteFunc(s.partialSince, func(tenant string, _ time.Duration) bool { return !s.allocator.Has(tenant) })
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
// *OverLimitError; an *UnavailableError.
func (s *Service) Admit(ctx context.Context, tenant *routing.Tenant) (Permit, error) {
	if !tenant.Limited() {
		return Permit{}, nil
	}
	tokens := s.tenantTokens(tenant.Name)
	token, err := tokens.take(ctx)
	s.metrics.observe(err)
	if err != nil {
		return Permit{}, err
	}
	return Permit{tenantTokens: tokens, token: token}, nil
}

// AdmitRepeat is Admit for a request that a replica may have run already.
func (s *Service) AdmitRepeat(ctx context.Context, tenant *routing.Tenant) (Permit, error) {
	permit, err := s.Admit(ctx, tenant)
	if err == nil && tenant.Limited() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.grants.recordRepeat(tenant.Name, s.config.Now())
	}
	return permit, err
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
