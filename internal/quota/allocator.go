package quota

import (
	"maps"
	"math"
	"time"
)

// Amount counts requests and, among them, those that begin a program.
type Amount struct{ Requests, ProgramStarts int }

// Plus adds two amounts.
func (a Amount) Plus(other Amount) Amount {
	return Amount{Requests: a.Requests + other.Requests, ProgramStarts: a.ProgramStarts + other.ProgramStarts}
}

// Minus subtracts other, down to nothing.
func (a Amount) Minus(other Amount) Amount {
	return Amount{Requests: max(a.Requests-other.Requests, 0), ProgramStarts: max(a.ProgramStarts-other.ProgramStarts, 0)}
}

// Request asks an allocator for tokens of one tenant.
type Request struct {
	// Needed wait already, Wanted would do for a while; Wanted is at least Needed.
	Needed, Wanted Amount
	// Spent ran without tokens, while no allocator answered.
	Spent Amount
	// Returned were granted by this life of the allocator and have not been spent and
	// never will be.
	Returned Amount
}

// Grant answers a Request.
type Grant struct {
	Amount Amount
	// BelowLimit tells that the tenant is well below its limit.
	BelowLimit bool
	// RequestAfter and ProgramStartAfter tell when there may be room again, where less was
	// granted than needed.
	RequestAfter, ProgramStartAfter time.Duration
}

// Account is what is left of a tenant's limit, to be handed over to another allocator.
type Account struct {
	// Requests and ProgramStarts are tokens; Spent may have been more than there were.
	Requests, ProgramStarts float64
	// PerProgram is the learned number of requests of a program; 0 if not known.
	PerProgram float64
}

// Allocator holds what is left of tenants' limits. It is not safe for concurrent use.
type Allocator struct {
	policy  Policy
	tenants map[string]*bucket
	// share is the part of each limit that this node may grant.
	share float64
}

// bucket is what is left of one tenant's limit.
type bucket struct {
	// settled tells that what other nodes have granted counts here.
	settled bool
	// stale tells that this node has stood still since it granted last: another may have
	// granted what came in since, and what was left before.
	stale bool
	// left tells that another node grants now: what this one had is there to be handed over,
	// and nothing comes in any more.
	left bool
	// requests and begins are tokens at filledAt.
	requests, begins float64
	filledAt         time.Duration
	learned          learned
	touched          time.Duration
}

const (
	// scarceBelow is the part of a bucket under which no more is granted than waits
	// already.
	scarceBelow = 0.25
	// A program begins only while the bucket holds as many tokens as one has requests, but
	// not more than beginsAtMost and not less than beginsAbove of it: the rest is for
	// those under way. The lower bound is less than a bucket begins with that takes over
	// uncleanly, since programs would be refused after each loss of a node otherwise.
	beginsAbove  = 0.1
	beginsAtMost = 0.7
	// roomyAbove is the part of a bucket above which a tenant is well below its limit.
	roomyAbove = 0.6
	// bucketIdle is how long a tenant that nobody asks for is remembered.
	bucketIdle = 30 * time.Second
)

// NewAllocator returns an allocator that may grant all of every limit.
func NewAllocator(policy Policy) *Allocator {
	return &Allocator{policy: policy, tenants: map[string]*bucket{}, share: 1}
}

// SetShare sets the part of each limit that this node may grant, from 0 to 1.
func (a *Allocator) SetShare(share float64) { a.share = share }

// Synchronized tells whether what other nodes have granted of a tenant's limit counts here.
func (a *Allocator) Synchronized(tenant string) bool {
	found := a.tenants[tenant]
	return found != nil && found.settled
}

// Fill opens an account that nobody has granted from lately.
func (a *Allocator) Fill(tenant string, limit Limit, now time.Duration) {
	opened := a.open(tenant, now)
	opened.requests, opened.begins = a.policy.Capacity(limit)*a.share, a.beginCapacity(opened, limit)
}

// Import opens an account with what another node had left. It adds to what this node has left
// of its own part, which both have granted from at the same time, unless this one stood
// still: then the other has granted all, and may grant on until it hears of this one.
func (a *Allocator) Import(tenant string, account Account, limit Limit, now time.Duration) {
	if found := a.tenants[tenant]; found != nil && found.stale {
		found.begins, found.filledAt = 0, now
		found.requests = -a.policy.Refill(limit) * a.share * unheardFor.Seconds()
	}
	opened := a.open(tenant, now)
	opened.requests += account.Requests
	opened.begins += account.ProgramStarts
	opened.learned.adopt(account.PerProgram)
}

// unheardFor is how long the node that granted in the place of one that stood still may go on
// after it has handed over, since it has not heard yet that the other one is back.
const unheardFor = 500 * time.Millisecond

// FillConservatively opens an account and takes the limit, but for a part of its spare, for used,
// since what others have granted can't be learned.
func (a *Allocator) FillConservatively(tenant string, limit Limit, now time.Duration) {
	const takeOvers = 2 // in one window
	most := a.policy.Reserve(limit) / takeOvers * a.share
	if !a.Has(tenant) {
		a.Import(tenant, Account{Requests: most, ProgramStarts: most}, limit, now)
		return
	}
	opened := a.open(tenant, now)
	a.fill(opened, limit, now)
	opened.requests, opened.begins = min(opened.requests, most), min(opened.begins, most)
}

// Has tells whether there is an account from which this node grants, settled or not.
func (a *Allocator) Has(tenant string) bool {
	found := a.tenants[tenant]
	return found != nil && !found.left
}

// Relinquish ends the filling of the accounts of tenants that another node grants from now on. They
// are kept to be handed over.
func (a *Allocator) Relinquish(leaves func(tenant string) bool, limit func(tenant string) (Limit, bool), now time.Duration) {
	for tenant, one := range a.tenants {
		if one.left || !leaves(tenant) {
			continue
		}
		if limited, known := limit(tenant); known {
			a.fill(one, limited, now)
		}
		one.settled, one.left = false, true
	}
}

// Verify settles an account that no other node has granted from.
func (a *Allocator) Verify(tenant string, now time.Duration) { a.open(tenant, now) }

// InvalidateAll makes every account learn what others have granted before it grants again.
func (a *Allocator) InvalidateAll() {
	for _, one := range a.tenants {
		one.settled = false
	}
}

// ProcessPaused makes every account learn what others have granted before it grants again, as
// Unsettle does. What another node has left replaces what this one had, since the other has
// granted in its place.
func (a *Allocator) ProcessPaused() {
	a.InvalidateAll()
	for _, one := range a.tenants {
		one.stale = true
	}
}

// HandOver ends an account and returns what is left; false if there is none, or if this node
// does not know what others have granted while it stood still.
func (a *Allocator) HandOver(tenant string, limit Limit, now time.Duration) (Account, bool) {
	found := a.tenants[tenant]
	if found == nil {
		return Account{}, false
	}
	if !found.left {
		a.fill(found, limit, now)
	}
	delete(a.tenants, tenant)
	if found.stale {
		return Account{}, false
	}
	return Account{Requests: found.requests, ProgramStarts: found.begins, PerProgram: found.learned.perProgram()}, true
}

// Forget drops the accounts that nobody has asked for lately.
func (a *Allocator) Forget(now time.Duration) {
	maps.DeleteFunc(a.tenants, func(_ string, one *bucket) bool { return now-one.touched > bucketIdle })
}

// Left returns what is left of the limit of each tenant that this node grants.
func (a *Allocator) Left() map[string]Account {
	left := make(map[string]Account, len(a.tenants))
	for tenant, one := range a.tenants {
		if one.left {
			continue
		}
		left[tenant] = Account{Requests: one.requests, ProgramStarts: one.begins, PerProgram: one.learned.perProgram()}
	}
	return left
}

func (a *Allocator) open(tenant string, now time.Duration) *bucket {
	found := a.tenants[tenant]
	if found == nil || found.left {
		found = &bucket{filledAt: now}
		a.tenants[tenant] = found
	}
	found.settled, found.stale = true, false
	return found
}

// fill adds what a bucket got since it was looked at last.
func (a *Allocator) fill(one *bucket, limit Limit, now time.Duration) {
	passed := (now - one.filledAt).Seconds()
	one.filledAt = now
	refill := a.policy.Refill(limit) * a.share
	one.requests = min(one.requests+refill*passed, a.policy.Capacity(limit)*a.share)
	one.begins = min(one.begins+refill/one.learned.atLeastOne()*passed, a.beginCapacity(one, limit))
}

// beginCapacity is how many programs may begin at once, so that their requests fit into
// the bucket.
func (a *Allocator) beginCapacity(one *bucket, limit Limit) float64 {
	return max(a.policy.Capacity(limit)*a.share/one.learned.atLeastOne(), 1)
}

// Grant answers a request for an account that must be settled.
func (a *Allocator) Grant(tenant string, limit Limit, request Request, now time.Duration) Grant {
	asked := a.open(tenant, now)
	asked.touched = now
	a.fill(asked, limit, now)
	returned := request.Returned
	asked.requests += float64(returned.Requests - request.Spent.Requests)
	asked.begins += float64(returned.ProgramStarts - request.Spent.ProgramStarts)
	capacity := a.policy.Capacity(limit) * a.share
	asked.requests = min(asked.requests, capacity)

	var grant Grant
	grant.Amount.Requests = part(request.Needed.Requests, request.Wanted.Requests, asked.requests, capacity)
	if asked.requests >= beginLevel(asked, capacity) {
		grant.Amount.ProgramStarts = part(request.Needed.ProgramStarts, request.Wanted.ProgramStarts, asked.begins, a.beginCapacity(asked, limit))
	}
	asked.requests -= float64(grant.Amount.Requests)
	asked.begins -= float64(grant.Amount.ProgramStarts)
	grant.BelowLimit = asked.requests >= roomyAbove*capacity
	a.tellRoom(&grant, asked, limit, request.Needed)
	binds := grant.RequestAfter > 0 || grant.ProgramStartAfter > 0
	asked.learned.count(grant.Amount, returned, binds, a.policy.Span(), now)
	return grant
}

// beginLevel is how many tokens a bucket must hold for a program to begin.
func beginLevel(one *bucket, capacity float64) float64 {
	wholeProgram := min(one.learned.perProgram(), capacity*beginsAtMost)
	return max(wholeProgram, capacity*beginsAbove)
}

// tellRoom sets when there will be room for what was needed and not granted.
func (a *Allocator) tellRoom(grant *Grant, asked *bucket, limit Limit, needed Amount) {
	refill := max(a.policy.Refill(limit)*a.share, math.SmallestNonzeroFloat32)
	if grant.Amount.Requests < needed.Requests {
		grant.RequestAfter = seconds((1 - asked.requests) / refill)
	}
	if grant.Amount.ProgramStarts < needed.ProgramStarts {
		capacity := a.policy.Capacity(limit) * a.share
		byRequests := (beginLevel(asked, capacity) - asked.requests) / refill
		byBegins := (1 - asked.begins) * asked.learned.atLeastOne() / refill
		grant.ProgramStartAfter = seconds(max(byRequests, byBegins))
	}
}

// longestAfter bounds how long a caller is told to stay away.
const longestAfter = 10.0

func seconds(count float64) time.Duration {
	return time.Duration(min(max(count, 0.001), longestAfter) * float64(time.Second))
}

// part of what a bucket holds goes to a request: what is wanted while there is plenty,
// what is needed where it is scarce.
func part(needed, wanted int, left, capacity float64) int {
	whole := int(max(left, 0))
	if left < scarceBelow*capacity {
		return min(needed, whole)
	}
	return min(max(needed, min(wanted, whole/2)), whole)
}
