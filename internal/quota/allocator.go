package quota

import (
	"maps"
	"math"
	"time"
)

// Amount counts requests, and how many of them start a program.
type Amount struct{ Requests, ProgramStarts int }

// Plus returns the sum of two amounts.
func (a Amount) Plus(other Amount) Amount {
	return Amount{Requests: a.Requests + other.Requests, ProgramStarts: a.ProgramStarts + other.ProgramStarts}
}

// Minus returns the difference of two amounts, but not below zero.
func (a Amount) Minus(other Amount) Amount {
	return Amount{Requests: max(a.Requests-other.Requests, 0), ProgramStarts: max(a.ProgramStarts-other.ProgramStarts, 0)}
}

// Request is a node's request to an allocator for tokens of one tenant.
type Request struct {
	// Needed is the demand of waiting requests; Wanted adds the demand expected for a
	// while.
	Needed, Wanted Amount
	// Spent counts the tokens taken while no allocator responded.
	Spent Amount
	// Returned counts tokens granted by this incarnation of the allocator that have not
	// been spent and never will be.
	Returned Amount
}

// Grant is the response to a Request.
type Grant struct {
	Amount Amount
	// BelowLimit reports whether the tenant is well below its limit.
	BelowLimit bool
	// RequestAfter and ProgramStartAfter are the times until tokens may be available, if
	// fewer were granted than needed.
	RequestAfter, ProgramStartAfter time.Duration
}

// Account is the remainder of a tenant's limit, in the form handed over between allocators.
type Account struct {
	// Requests and ProgramStarts are tokens. They are negative if more were spent.
	Requests, ProgramStarts float64
	// PerProgram is the estimated number of requests per program; 0 if unknown.
	PerProgram float64
}

// Allocator holds the token buckets of the tenants. It is not safe for concurrent use.
type Allocator struct {
	policy  Policy
	tenants map[string]*bucket
	// share is the fraction of each limit that this node may grant.
	share float64
}

// bucket is the token bucket of one tenant.
type bucket struct {
	// synchronized reports whether the tokens granted by other nodes are accounted for.
	synchronized bool
	// stale reports whether this process was paused since its last grant. Another node may
	// have granted the tokens that have accrued since then as well as the ones from before.
	stale bool
	// relinquished reports whether another node is the allocator now. The bucket no longer
	// refills and only waits to be handed over.
	relinquished bool
	// requests and programStarts are the tokens as of filledAt.
	requests, programStarts float64
	filledAt                time.Duration
	programSize             programSizeEstimator
	lastUsed                time.Duration
}

const (
	// scarceFraction is the fill level below which only the needed tokens are granted.
	scarceFraction = 0.25
	// A program may start only if the bucket holds enough tokens for a whole program,
	// bounded by these fractions of the capacity; the rest is reserved for running
	// programs. The lower bound is below the initial level of a bucket opened by
	// FillConservatively, since otherwise programs would be rejected after each loss of a
	// node.
	minStartFraction = 0.1
	maxStartFraction = 0.7
	// belowLimitFraction is the fill level above which a tenant is well below its limit.
	belowLimitFraction = 0.6
	// bucketIdleTTL is how long an unused bucket is kept.
	bucketIdleTTL = 30 * time.Second
)

// NewAllocator returns an allocator that may grant the whole of every limit.
func NewAllocator(policy Policy) *Allocator {
	return &Allocator{policy: policy, tenants: map[string]*bucket{}, share: 1}
}

// SetShare sets the fraction of each limit that this node may grant.
func (a *Allocator) SetShare(share float64) { a.share = share }

// Synchronized reports whether a tenant's account reflects the grants of other nodes.
func (a *Allocator) Synchronized(tenant string) bool {
	found := a.tenants[tenant]
	return found != nil && found.synchronized
}

// Fill opens a full account. No other node may have granted from it recently.
func (a *Allocator) Fill(tenant string, limit Limit, now time.Duration) {
	b := a.open(tenant, now)
	b.requests, b.programStarts = a.policy.Capacity(limit)*a.share, a.startCapacity(b, limit)
}

// Import opens an account with the remainder handed over by another node. It adds it to the
// remainder of this node, since both have granted their own fractions of the limit
// concurrently. After a process pause of this node, the other one has granted the whole
// limit instead, and may continue to until it learns of this node.
func (a *Allocator) Import(tenant string, account Account, limit Limit, now time.Duration) {
	if found := a.tenants[tenant]; found != nil && found.stale {
		found.programStarts, found.filledAt = 0, now
		found.requests = -a.policy.Refill(limit) * a.share * handoverOverlap.Seconds()
	}
	b := a.open(tenant, now)
	b.requests += account.Requests
	b.programStarts += account.ProgramStarts
	b.programSize.seed(account.PerProgram)
}

// handoverOverlap is how long the replacement of a paused allocator may still grant after
// its handover, until it learns that the paused one is back.
const handoverOverlap = 500 * time.Millisecond

// FillConservatively opens an account that is nearly exhausted, with a fraction of the
// reserve, since the grants of other nodes are unknown.
func (a *Allocator) FillConservatively(tenant string, limit Limit, now time.Duration) {
	const takeovers = 2 // within one window
	reserve := a.policy.Reserve(limit) / takeovers * a.share
	if !a.Has(tenant) {
		a.Import(tenant, Account{Requests: reserve, ProgramStarts: reserve}, limit, now)
		return
	}
	b := a.open(tenant, now)
	a.fill(b, limit, now)
	b.requests, b.programStarts = min(b.requests, reserve), min(b.programStarts, reserve)
}

// Has reports whether there is an account that this node grants from, synchronized or not.
func (a *Allocator) Has(tenant string) bool {
	found := a.tenants[tenant]
	return found != nil && !found.relinquished
}

// Relinquish stops refilling the accounts that another node allocates from now on. They are
// kept to be handed over.
func (a *Allocator) Relinquish(shouldRelinquish func(tenant string) bool, limit func(tenant string) (Limit, bool), now time.Duration) {
	for tenant, b := range a.tenants {
		if b.relinquished || !shouldRelinquish(tenant) {
			continue
		}
		if tenantLimit, known := limit(tenant); known {
			a.fill(b, tenantLimit, now)
		}
		b.synchronized, b.relinquished = false, true
	}
}

// Verify marks an account that no other node has granted from as synchronized.
func (a *Allocator) Verify(tenant string, now time.Duration) { a.open(tenant, now) }

// InvalidateAll requires every account to be synchronized before the next grant from it.
func (a *Allocator) InvalidateAll() {
	for _, b := range a.tenants {
		b.synchronized = false
	}
}

// ProcessPaused requires every account to be synchronized before the next grant from it,
// like InvalidateAll. In addition, an imported account replaces this node's remainder,
// since the other node has granted in its place.
func (a *Allocator) ProcessPaused() {
	a.InvalidateAll()
	for _, b := range a.tenants {
		b.stale = true
	}
}

// HandOver closes an account and returns its remainder. It returns false if there is none,
// or if other nodes may have granted from it during a process pause.
func (a *Allocator) HandOver(tenant string, limit Limit, now time.Duration) (Account, bool) {
	found := a.tenants[tenant]
	if found == nil {
		return Account{}, false
	}
	if !found.relinquished {
		a.fill(found, limit, now)
	}
	delete(a.tenants, tenant)
	if found.stale {
		return Account{}, false
	}
	return Account{Requests: found.requests, ProgramStarts: found.programStarts, PerProgram: found.programSize.requestsPerProgram()}, true
}

// Forget deletes the unused accounts.
func (a *Allocator) Forget(now time.Duration) {
	maps.DeleteFunc(a.tenants, func(_ string, b *bucket) bool { return now-b.lastUsed > bucketIdleTTL })
}

// Left returns the accounts that this node grants from, by tenant.
func (a *Allocator) Left() map[string]Account {
	remaining := make(map[string]Account, len(a.tenants))
	for tenant, b := range a.tenants {
		if b.relinquished {
			continue
		}
		remaining[tenant] = Account{Requests: b.requests, ProgramStarts: b.programStarts, PerProgram: b.programSize.requestsPerProgram()}
	}
	return remaining
}

func (a *Allocator) open(tenant string, now time.Duration) *bucket {
	found := a.tenants[tenant]
	if found == nil || found.relinquished {
		found = &bucket{filledAt: now}
		a.tenants[tenant] = found
	}
	found.synchronized, found.stale = true, false
	return found
}

// fill adds the tokens accrued since filledAt.
func (a *Allocator) fill(b *bucket, limit Limit, now time.Duration) {
	passed := (now - b.filledAt).Seconds()
	b.filledAt = now
	refill := a.policy.Refill(limit) * a.share
	b.requests = min(b.requests+refill*passed, a.policy.Capacity(limit)*a.share)
	b.programStarts = min(b.programStarts+refill/b.programSize.requestsPerProgramOrOne()*passed, a.startCapacity(b, limit))
}

// startCapacity is the number of programs that may start at once such that their requests
// fit into the bucket.
func (a *Allocator) startCapacity(b *bucket, limit Limit) float64 {
	return max(a.policy.Capacity(limit)*a.share/b.programSize.requestsPerProgramOrOne(), 1)
}

// Grant responds to a request. The tenant's account must be synchronized.
func (a *Allocator) Grant(tenant string, limit Limit, request Request, now time.Duration) Grant {
	b := a.open(tenant, now)
	b.lastUsed = now
	a.fill(b, limit, now)
	returned := request.Returned
	b.requests += float64(returned.Requests - request.Spent.Requests)
	b.programStarts += float64(returned.ProgramStarts - request.Spent.ProgramStarts)
	capacity := a.policy.Capacity(limit) * a.share
	b.requests = min(b.requests, capacity)

	var grant Grant
	grant.Amount.Requests = grantSize(request.Needed.Requests, request.Wanted.Requests, b.requests, capacity)
	if b.requests >= startThreshold(b, capacity) {
		grant.Amount.ProgramStarts = grantSize(request.Needed.ProgramStarts, request.Wanted.ProgramStarts, b.programStarts, a.startCapacity(b, limit))
	}
	b.requests -= float64(grant.Amount.Requests)
	b.programStarts -= float64(grant.Amount.ProgramStarts)
	grant.BelowLimit = b.requests >= belowLimitFraction*capacity
	a.setRetryDelays(&grant, b, limit, request.Needed)
	limited := grant.RequestAfter > 0 || grant.ProgramStartAfter > 0
	b.programSize.observe(grant.Amount, returned, limited, a.policy.Span(), now)
	return grant
}

// startThreshold is the number of tokens a bucket must hold for a program to start.
func startThreshold(b *bucket, capacity float64) float64 {
	wholeProgram := min(b.programSize.requestsPerProgram(), capacity*maxStartFraction)
	return max(wholeProgram, capacity*minStartFraction)
}

// setRetryDelays sets the times until tokens that were needed but not granted may be
// available.
func (a *Allocator) setRetryDelays(grant *Grant, b *bucket, limit Limit, needed Amount) {
	refill := max(a.policy.Refill(limit)*a.share, math.SmallestNonzeroFloat32)
	if grant.Amount.Requests < needed.Requests {
		grant.RequestAfter = seconds((1 - b.requests) / refill)
	}
	if grant.Amount.ProgramStarts < needed.ProgramStarts {
		capacity := a.policy.Capacity(limit) * a.share
		byRequests := (startThreshold(b, capacity) - b.requests) / refill
		byProgramStarts := (1 - b.programStarts) * b.programSize.requestsPerProgramOrOne() / refill
		grant.ProgramStartAfter = seconds(max(byRequests, byProgramStarts))
	}
}

// maxRetrySeconds bounds the delay imposed on a caller.
const maxRetrySeconds = 10.0

func seconds(count float64) time.Duration {
	return time.Duration(min(max(count, 0.001), maxRetrySeconds) * float64(time.Second))
}

// grantSize returns the tokens to grant: up to the wanted ones if there are plenty, or the
// needed ones if tokens are scarce.
func grantSize(needed, wanted int, remaining, capacity float64) int {
	available := int(max(remaining, 0))
	if remaining < scarceFraction*capacity {
		return min(needed, available)
	}
	return min(max(needed, min(wanted, available/2)), available)
}
