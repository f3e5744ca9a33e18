package quota

import (
	"maps"
	"math"
	"time"

	"stepseam.example/stepseam/internal/identity"
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
	// Returned counts tokens granted by this incarnation of the allocator that have not
	// been spent and never will be. ReturnedSince is the stamp of the oldest such grant.
	Returned      Amount
	ReturnedSince Stamp
}

// Grant is the response to a Request.
type Grant struct {
	Amount Amount
	// Stamp orders the grants of one allocator.
	Stamp Stamp
	// RequestAfter and ProgramStartAfter are the times until tokens may be available, if
	// fewer were granted than needed.
	RequestAfter, ProgramStartAfter time.Duration
}

// Account is the remainder of a tenant's bucket, in the form handed over between allocators.
type Account struct {
	Requests, ProgramStarts float64
	// PerProgram is the estimated number of requests per program; 0 if unknown.
	PerProgram float64
}

const (
	// scarceFraction is the fill level below which only the needed tokens are granted.
	scarceFraction = 0.25
	// A program may start only if the bucket holds enough tokens for a whole program and
	// half of another one, bounded by these fractions of the capacity; the rest is reserved
	// for running programs.
	programsPerStart = 1.5
	minStartFraction = 0.1
	maxStartFraction = 0.7
	// bucketIdleTTL is how long an unused bucket is kept.
	bucketIdleTTL = 30 * time.Second
)

// Allocator holds the token buckets of the tenants of the partitions that it has leased. It
// is not safe for concurrent use.
type Allocator struct {
	policy     Policy
	self       Lessee
	partitions [Partitions]partition
	// sequence is that of the last lease request, stamp that of the last event.
	sequence uint64
	stamp    Stamp
}

// partition is what an allocator holds of one partition.
type partition struct {
	// leased has the leases by lessor.
	leased  map[identity.NodeName]*leasedShare
	buckets map[string]*bucket
	// filledAt is the time up to which the buckets have been refilled.
	filledAt time.Duration
	// cededUpTo is the sequence number of the last lease request before the leases were
	// given up. Responses to requests up to it no longer count.
	cededUpTo uint64
}

// leasedShare is the lease of one node's share.
type leasedShare struct {
	fraction       float64
	since, expires time.Duration
}

// NewAllocator returns an allocator without leases.
func NewAllocator(policy Policy, self Lessee) *Allocator {
	result := &Allocator{policy: policy, self: self}
	for p := range result.partitions {
		result.partitions[p] = partition{leased: map[identity.NodeName]*leasedShare{}, buckets: map[string]*bucket{}}
	}
	return result
}

// LeaseRequest returns the next request to a lessor.
func (a *Allocator) LeaseRequest(lessor identity.NodeName, wanted PartitionSet, ceded []Cession, now time.Duration) LeaseRequest {
	a.sequence++
	return LeaseRequest{Lessee: a.self, Sequence: a.sequence, Wanted: wanted, Held: a.held(lessor, now) & wanted, Ceded: ceded}
}

// held returns the partitions of which a lessor's lease stays valid for LeaseCallTimeout.
func (a *Allocator) held(lessor identity.NodeName, now time.Duration) PartitionSet {
	var held PartitionSet
	for p := range AllPartitions.All() {
		if lease := a.partitions[p].leased[lessor]; lease != nil && lease.expires > now+LeaseCallTimeout {
			held = held.With(p)
		}
	}
	return held
}

// ApplyLeases records the response of a lessor to a request that was sent at sentAt.
func (a *Allocator) ApplyLeases(lessor identity.NodeName, request LeaseRequest, response LeaseResponse, sentAt, now time.Duration) {
	if now-sentAt > LeaseCallTimeout {
		return
	}
	for p := range response.Granted.All() {
		state := &a.partitions[p]
		if request.Sequence <= state.cededUpTo {
			continue
		}
		a.advance(p, now)
		held := state.leased[lessor]
		if held == nil {
			held = &leasedShare{since: now}
			state.leased[lessor] = held
		}
		held.fraction, held.expires = response.Share, max(held.expires, sentAt+LeaseTTL)
		a.clip(p)
	}
}

// Leased returns the partitions of which there are valid leases.
func (a *Allocator) Leased(now time.Duration) PartitionSet {
	var leased PartitionSet
	for p := range AllPartitions.All() {
		if a.Fraction(p, now) > 0 {
			leased = leased.With(p)
		}
	}
	return leased
}

// Fraction returns the fraction of each limit that the valid leases of a partition amount to.
func (a *Allocator) Fraction(p Partition, now time.Duration) float64 {
	total := 0.0
	for _, lease := range a.partitions[p].leased {
		if now < lease.expires {
			total += lease.fraction
		}
	}
	return min(total, 1)
}

// advance refills the buckets of a partition. The leases count as long as they are valid.
func (a *Allocator) advance(p Partition, now time.Duration) {
	state := &a.partitions[p]
	for {
		var first identity.NodeName
		var lease *leasedShare
		for lessor, candidate := range state.leased {
			if candidate.expires <= now && (lease == nil || candidate.expires < lease.expires) {
				first, lease = lessor, candidate
			}
		}
		if lease == nil {
			break
		}
		a.fill(p, lease.expires)
		delete(state.leased, first)
		a.clip(p)
	}
	a.fill(p, now)
	a.clip(p)
}

// fill adds the tokens accrued until a time at which the leases are the same as now.
func (a *Allocator) fill(p Partition, until time.Duration) {
	state := &a.partitions[p]
	passed := (until - state.filledAt).Seconds()
	if passed <= 0 {
		return
	}
	state.filledAt = until
	fraction := a.sum(p)
	for _, b := range state.buckets {
		refill := a.policy.Refill(b.limit) * fraction
		b.requests += refill * passed
		b.programStarts += refill / b.programSize.requestsPerProgramOrOne() * passed
	}
}

// sum returns the fraction of all leases, which the caller knows to be valid.
func (a *Allocator) sum(p Partition) float64 {
	total := 0.0
	for _, lease := range a.partitions[p].leased {
		total += lease.fraction
	}
	return min(total, 1)
}

// clip limits the buckets of a partition to their current capacity.
func (a *Allocator) clip(p Partition) {
	fraction := a.sum(p)
	for _, b := range a.partitions[p].buckets {
		a.clipBucket(b, fraction)
	}
}

func (a *Allocator) clipBucket(b *bucket, fraction float64) {
	a.stamp++
	b.clip(a.policy.Capacity(b.limit)*fraction, a.startCapacity(b, fraction), a.stamp)
}

// startCapacity is the number of programs that may start at once such that their requests
// fit into the bucket.
func (a *Allocator) startCapacity(b *bucket, fraction float64) float64 {
	return max(a.policy.Capacity(b.limit)*fraction/b.programSize.requestsPerProgramOrOne(), 1)
}

// open returns a tenant's bucket, which is up to date. A new one holds what has accrued
// since the leases began.
func (a *Allocator) open(tenant string, limit Limit, now time.Duration) *bucket {
	p := PartitionOf(tenant)
	a.advance(p, now)
	state := &a.partitions[p]
	found := state.buckets[tenant]
	if found == nil {
		found = &bucket{limit: limit, lastUsed: now}
		for _, lease := range state.leased {
			found.requests += lease.fraction * min(a.policy.Capacity(limit), a.policy.Refill(limit)*(now-lease.since).Seconds())
		}
		found.programStarts = found.requests
		state.buckets[tenant] = found
	}
	found.limit = limit
	a.clipBucket(found, a.sum(p))
	return found
}

// HandOver gives up the leases of some partitions. It returns the accounts of their tenants
// and the cession with which the next allocator can take the leases over.
func (a *Allocator) HandOver(partitions PartitionSet, now time.Duration) (map[string]Account, Cession) {
	accounts := map[string]Account{}
	for p := range partitions.All() {
		a.advance(p, now)
		state := &a.partitions[p]
		state.cededUpTo = a.sequence
		for tenant, b := range state.buckets {
			accounts[tenant] = b.account()
		}
		clear(state.leased)
		clear(state.buckets)
	}
	return accounts, Cession{From: a.self.ID, UpTo: a.sequence, Partitions: partitions}
}

// Import adds the account that an earlier allocator has handed over in response to a request
// sent at sentAt. The leases must have been taken over before. What has accrued since then
// may have accrued to another allocator too, so it is deducted.
func (a *Allocator) Import(tenant string, account Account, limit Limit, sentAt, now time.Duration) {
	b := a.open(tenant, limit, now)
	b.requests += max(account.Requests-a.policy.Refill(limit)*(now-sentAt).Seconds(), 0)
	b.programStarts += max(account.ProgramStarts, 0)
	b.programSize.seed(account.PerProgram)
	a.clipBucket(b, a.sum(PartitionOf(tenant)))
}

func (b *bucket) account() Account {
	return Account{Requests: b.requests, ProgramStarts: b.programStarts, PerProgram: b.programSize.requestsPerProgram()}
}

// Forget deletes the buckets that have not been used for some time. Such a bucket has
// refilled to what a new one would hold, unless its leases are more recent.
func (a *Allocator) Forget(now time.Duration) {
	for p := range a.partitions {
		maps.DeleteFunc(a.partitions[p].buckets, func(_ string, b *bucket) bool { return now-b.lastUsed > a.idleTTL(b.limit) })
	}
}

// idleTTL is how long it takes to refill a bucket, or bucketIdleTTL if that is longer.
func (a *Allocator) idleTTL(limit Limit) time.Duration {
	refill := max(a.policy.Refill(limit), math.SmallestNonzeroFloat32)
	return max(bucketIdleTTL, time.Duration(min(a.policy.Capacity(limit)/refill, math.MaxInt32)*float64(time.Second)))
}

// Has reports whether there is a bucket of a tenant.
func (a *Allocator) Has(tenant string) bool {
	return a.partitions[PartitionOf(tenant)].buckets[tenant] != nil
}

// LeasedFor returns for how long the oldest lease of a partition has been held.
func (a *Allocator) LeasedFor(p Partition, now time.Duration) time.Duration {
	oldest := time.Duration(0)
	for _, lease := range a.partitions[p].leased {
		oldest = max(oldest, now-lease.since)
	}
	return oldest
}

// Accounts returns the accounts that this node grants from, by tenant.
func (a *Allocator) Accounts(now time.Duration) map[string]Account {
	remaining := map[string]Account{}
	for p := range a.Leased(now).All() {
		a.advance(p, now)
		for tenant, b := range a.partitions[p].buckets {
			remaining[tenant] = b.account()
		}
	}
	return remaining
}

// Grant responds to a request. Without valid leases it grants nothing.
func (a *Allocator) Grant(tenant string, limit Limit, request Request, now time.Duration) Grant {
	b := a.open(tenant, limit, now)
	b.lastUsed = now
	fraction := a.sum(PartitionOf(tenant))
	capacity := a.policy.Capacity(limit) * fraction
	returned := request.Returned
	b.requests += b.history.takeBack(float64(returned.Requests), request.ReturnedSince)
	b.programStarts = min(b.programStarts+float64(returned.ProgramStarts), a.startCapacity(b, fraction))

	var grant Grant
	grant.Amount.Requests = grantSize(request.Needed.Requests, request.Wanted.Requests, b.requests, capacity)
	if b.requests >= startThreshold(b, capacity) {
		grant.Amount.ProgramStarts = grantSize(request.Needed.ProgramStarts, request.Wanted.ProgramStarts, b.programStarts, a.startCapacity(b, fraction))
	}
	b.requests -= float64(grant.Amount.Requests)
	b.programStarts -= float64(grant.Amount.ProgramStarts)
	a.stamp++
	grant.Stamp = a.stamp
	b.history.add(a.stamp, capacity-b.requests)
	a.setRetryDelays(&grant, b, fraction, request.Needed)
	limited := grant.RequestAfter > 0 || grant.ProgramStartAfter > 0
	b.programSize.observe(grant.Amount, returned, limited, a.policy.Span(), now)
	return grant
}

// startThreshold is the number of tokens a bucket must hold for a program to start.
func startThreshold(b *bucket, capacity float64) float64 {
	programs := min(programsPerStart*b.programSize.requestsPerProgram(), capacity*maxStartFraction)
	return max(programs, capacity*minStartFraction)
}

// setRetryDelays sets the times until tokens that were needed but not granted may be
// available.
func (a *Allocator) setRetryDelays(grant *Grant, b *bucket, fraction float64, needed Amount) {
	refill := max(a.policy.Refill(b.limit)*fraction, math.SmallestNonzeroFloat32)
	if grant.Amount.Requests < needed.Requests {
		grant.RequestAfter = seconds((1 - b.requests) / refill)
	}
	if grant.Amount.ProgramStarts < needed.ProgramStarts {
		byRequests := (startThreshold(b, a.policy.Capacity(b.limit)*fraction) - b.requests) / refill
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
