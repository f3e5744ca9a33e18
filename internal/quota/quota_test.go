package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	testPolicy = Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	testLimit  = Limit{RatePerSecond: 40, Burst: 40}
)

// newLeasedAllocator returns an allocator that has held leases of a fraction of all limits
// for long and keeps them.
func newLeasedAllocator(fraction float64) *Allocator {
	allocator := NewAllocator(testPolicy, Lessee{ID: 1})
	allocator.extendLeases(fraction, -time.Hour)
	return allocator
}

// extendLeases gives the allocator leases from a given time on that do not end.
func (a *Allocator) extendLeases(fraction float64, since time.Duration) {
	for p := range a.partitions {
		a.partitions[p].leased["lessor"] = &leasedShare{fraction: fraction, since: since, expires: math.MaxInt64}
	}
}

// A constant demand above the limit must get all of it, but no more.
func TestAllocatorGrantsWholeLimit(t *testing.T) {
	is := is.New(t)
	allocator := newLeasedAllocator(1)
	total := 0
	for now := time.Duration(0); now < 20*time.Second; now += 20 * time.Millisecond {
		total += allocator.Grant("t", testLimit, Request{Needed: Amount{Requests: 4}, Wanted: Amount{Requests: 4}}, now).Amount.Requests
	}
	is.True(float64(total) >= 20*testLimit.RatePerSecond)                         // the whole limit is used
	is.True(float64(total) <= 4*testPolicy.Allowed(testLimit)+testLimit.Burst+20) // and the bound holds
}

func TestReturnedTokensAreGrantedAgain(t *testing.T) {
	is := is.New(t)
	allocator := newLeasedAllocator(1)
	limit := Limit{RatePerSecond: 4}
	request := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	granted := allocator.Grant("t", limit, request, 0)
	is.Equal(granted.Amount.Requests, int(testPolicy.Capacity(limit)))
	is.Equal(allocator.Grant("t", limit, request, 0).Amount.Requests, 0)
	request.Returned, request.ReturnedSince = Amount{Requests: 6}, granted.Stamp
	is.Equal(allocator.Grant("t", limit, request, 0).Amount.Requests, 6)
	request.Returned = Amount{Requests: 999} // returning more than was granted does not overfill the bucket
	is.True(allocator.Grant("t", limit, request, 0).Amount.Requests <= int(testPolicy.Capacity(limit)))
}

func TestRefusalReturnsRetryDelay(t *testing.T) {
	is := is.New(t)
	allocator := newLeasedAllocator(1)
	large := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	allocator.Grant("t", testLimit, large, 0)
	single := Request{Needed: Amount{Requests: 1, ProgramStarts: 1}, Wanted: Amount{Requests: 1, ProgramStarts: 1}}
	grant := allocator.Grant("t", testLimit, single, 0)
	is.Equal(grant.Amount, Amount{})
	is.True(grant.RequestAfter <= time.Second/40)
	is.Equal(allocator.Grant("t", testLimit, single, grant.RequestAfter+time.Millisecond).Amount.Requests, 1)
	is.Equal(allocator.Grant("t", testLimit, single, grant.ProgramStartAfter+60*time.Millisecond).Amount.ProgramStarts, 1)
}

// At five times the limit, programs that have started must still be able to complete.
func TestStartedProgramsCompleteAtLimit(t *testing.T) {
	is := is.New(t)
	const requestsPerProgram, step = 10, 50 * time.Millisecond
	allocator := newLeasedAllocator(1)
	var running []int // remaining requests of each program
	started, refused, ended := 0, 0, 0
	single := Request{Needed: Amount{Requests: 1}, Wanted: Amount{Requests: 1}}
	first := Request{Needed: Amount{Requests: 1, ProgramStarts: 1}, Wanted: Amount{Requests: 1, ProgramStarts: 1}}
	for now := time.Duration(0); now < 40*time.Second; now += step {
		for i := range running {
			if running[i] == 0 || now%(200*time.Millisecond) != 0 {
				continue
			}
			if allocator.Grant("t", testLimit, single, now).Amount.Requests == 0 {
				refused++
				continue
			}
			if running[i]--; running[i] == 0 {
				ended++
			}
		}
		starts := 4 // per second, below the limit
		if now > 20*time.Second {
			starts = 20
		}
		for range starts {
			if now%time.Second != 0 {
				break
			}
			grant := allocator.Grant("t", testLimit, first, now)
			if grant.Amount.ProgramStarts == 0 {
				allocator.Grant("t", testLimit, Request{Returned: grant.Amount, ReturnedSince: grant.Stamp}, now)
				continue
			}
			started++
			running = append(running, requestsPerProgram-1)
		}
	}
	t.Logf("programs started %d, ended %d; requests refused %d", started, ended, refused)
	is.True(started-ended < 20)                                                    // those still running
	is.True(refused*20 < started*requestsPerProgram)                               // less than 5 % of the requests of started programs are rejected
	is.True(float64(ended*requestsPerProgram) > 0.85*40*testLimit.RatePerSecond/2) // the limit is used
}

// An allocator that takes over without its predecessor's account must not grant tokens that
// the predecessor may have granted.
func TestSuccessorWithoutHandoverStartsEmpty(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy, Lessee{ID: 1})
	allocator.extendLeases(1, 0)
	large := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	at := func(now time.Duration) int { return allocator.Grant("t", testLimit, large, now).Amount.Requests }
	is.Equal(at(0), 0)
	total := 0
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now <= time.Second+step; now += step {
		total += at(now)
	}
	is.True(float64(total) >= testLimit.RatePerSecond) // the usual demand is still served
	is.True(float64(total) <= testPolicy.Refill(testLimit)*(time.Second+step).Seconds())
	is.True(float64(allocator.Grant("another", testLimit, large, time.Second).Amount.Requests) <= testLimit.RatePerSecond)
}

func TestShareBoundsGrants(t *testing.T) {
	is := is.New(t)
	allocator := newLeasedAllocator(0.25)
	grant := allocator.Grant("t", testLimit, Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}, 0)
	is.True(grant.Amount.Requests > 0)
	is.True(float64(grant.Amount.Requests) <= testPolicy.Capacity(testLimit)/4)
}

// A lease that ends takes its part of the capacity away, also if it is renewed later and
// nothing was granted in between.
func TestExpiredLeaseTakesItsTokensAway(t *testing.T) {
	is := is.New(t)
	large := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	allocator := newLeasedAllocator(0.5)
	p := PartitionOf("t")
	allocator.partitions[p].leased["other"] = &leasedShare{fraction: 0.5, since: -time.Hour, expires: 10 * time.Second}
	allocator.Grant("t", testLimit, Request{}, 0)
	const renewedAt = 12 * time.Second
	request := allocator.LeaseRequest("other", AllPartitions, nil, renewedAt)
	is.True(!request.Held.Has(p))
	response := LeaseResponse{Granted: AllPartitions, Share: 0.5}
	allocator.ApplyLeases("other", request, response, renewedAt-LeaseCallTimeout-1, renewedAt)
	is.Equal(allocator.Fraction(p, renewedAt), 0.5) // the response is too late
	allocator.ApplyLeases("other", request, response, renewedAt, renewedAt)
	is.Equal(allocator.Fraction(p, renewedAt), 1.0)
	is.True(float64(allocator.Grant("t", testLimit, large, renewedAt).Amount.Requests) <= testPolicy.Capacity(testLimit)/2)
}

// Tokens are returned late, after others have accrued in their place. They must not be
// granted in addition to those.
func TestLateReturnAddsNothingToFullBucket(t *testing.T) {
	large := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	for name, allowed := range map[string]struct {
		returnAt time.Duration
		maximum  float64
	}{
		"before the bucket is full": {200 * time.Millisecond, testPolicy.Capacity(testLimit) + 0.2*testLimit.RatePerSecond},
		"after it was full":         {3 * time.Second, testPolicy.Capacity(testLimit)},
		"long after":                {20 * time.Second, testPolicy.Capacity(testLimit)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			allocator := newLeasedAllocator(1)
			first := allocator.Grant("t", testLimit, large, 0)
			second := allocator.Grant("t", testLimit, large, allowed.returnAt).Amount.Requests
			returning := Request{Needed: large.Needed, Wanted: large.Wanted, Returned: first.Amount, ReturnedSince: first.Stamp}
			third := allocator.Grant("t", testLimit, returning, allowed.returnAt).Amount.Requests
			is.True(float64(second+third) <= allowed.maximum)
		})
	}
}

func TestExpiredTokensAreReturned(t *testing.T) {
	is := is.New(t)
	cache := NewTokenCache(testPolicy, 0)
	request := cache.NewRequest(7, Amount{Requests: 1}, 0)
	cache.ApplyGrant(7, request, Grant{Amount: Amount{Requests: 3}}, 0, 0)
	token, taken := cache.Take(0)
	is.True(taken)
	for range 2 {
		_, taken = cache.Take(testPolicy.TokenTTL() - 1)
		is.True(taken)
	}
	_, taken = cache.Take(testPolicy.TokenTTL() - 1)
	is.True(!taken)
	cache.Refund(token, testPolicy.TokenTTL()) // too late for another request
	_, taken = cache.Take(testPolicy.TokenTTL())
	is.True(!taken)
	is.Equal(cache.NewRequest(7, Amount{}, testPolicy.TokenTTL()).Returned, Amount{Requests: 1})
	is.Equal(cache.NewRequest(7, Amount{}, testPolicy.TokenTTL()).Returned, Amount{})
}

// program sends its requests one after the other and fails after six refusals of one.
type program struct{ remaining, refusals int }

// loweredLimitModel starts five programs per second, of 4 or 20 requests each, while the
// limit is lowered to a tenth of their demand.
type loweredLimitModel struct {
	random    *rand.Rand
	allocator *Allocator
	limit     Limit
	running   []*program
	// started and failed count programs. requested and refused count requests of started
	// programs, once those from before the change have ended.
	started, failed, requested, refused int
}

func (d *loweredLimitModel) advance(now time.Duration, measured bool) {
	previous := d.running
	d.running = nil
	for _, p := range previous {
		if d.random.IntN(8) == 0 {
			d.request(p, now, measured)
		}
		switch {
		case p.refusals == 6:
			d.failed++
		case p.remaining > 0:
			d.running = append(d.running, p)
		}
	}
}

func (d *loweredLimitModel) request(p *program, now time.Duration, measured bool) {
	granted := d.allocator.Grant("t", d.limit, Request{Needed: Amount{Requests: 1}, Wanted: Amount{Requests: 1}}, now)
	if measured {
		d.requested++
		d.refused += 1 - granted.Amount.Requests
	}
	if granted.Amount.Requests == 1 {
		p.remaining, p.refusals = p.remaining-1, 0
		return
	}
	p.refusals++
}

func (d *loweredLimitModel) startProgram(now time.Duration) {
	first := Amount{Requests: 1, ProgramStarts: 1}
	granted := d.allocator.Grant("t", d.limit, Request{Needed: first, Wanted: first}, now)
	if granted.Amount != first {
		d.allocator.Grant("t", d.limit, Request{Returned: granted.Amount, ReturnedSince: granted.Stamp}, now)
		return
	}
	d.started++
	length := 4
	if d.random.IntN(10) < 3 {
		length = 20
	}
	d.running = append(d.running, &program{remaining: length - 1})
}

// A handed-over account must not be granted from any more, whatever arrives late.
func TestHandedOverAccountIsClosed(t *testing.T) {
	is := is.New(t)
	large := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	allocator := newLeasedAllocator(1)
	allocator.Grant("t", testLimit, Request{}, 0)
	renewal := allocator.LeaseRequest("lessor", AllPartitions, nil, 0)
	accounts, cession := allocator.HandOver(AllPartitions, 0)
	is.Equal(accounts["t"].Requests, testPolicy.Capacity(testLimit))
	is.True(cession.UpTo >= renewal.Sequence)
	allocator.ApplyLeases("lessor", renewal, LeaseResponse{Granted: AllPartitions, Share: 1}, 0, 0)
	is.Equal(allocator.Leased(0), PartitionSet(0))
	is.Equal(allocator.Grant("t", testLimit, large, time.Second).Amount.Requests, 0)

	successor := NewAllocator(testPolicy, Lessee{ID: 2})
	successor.extendLeases(0.5, 0)
	successor.Import("t", accounts["t"], testLimit, 0, 0)
	is.True(float64(successor.Grant("t", testLimit, large, 0).Amount.Requests) <= testPolicy.Capacity(testLimit)/2)
	late := NewAllocator(testPolicy, Lessee{ID: 3})
	late.extendLeases(1, 10*time.Second)
	late.Import("t", accounts["t"], testLimit, 0, 10*time.Second) // what has accrued since may have been granted
	is.Equal(late.Grant("t", testLimit, large, 10*time.Second).Amount.Requests, 0)
}

// When a limit is lowered to a tenth of the demand, few requests of started programs may be
// rejected.
func TestStartedProgramsCompleteAfterLimitIsLowered(t *testing.T) {
	is := is.New(t)
	const step, lowered, over = 50 * time.Millisecond, 20 * time.Second, 25 * time.Second
	demand := &loweredLimitModel{random: rand.New(rand.NewPCG(1, 2)), allocator: newLeasedAllocator(1), limit: Limit{RatePerSecond: 60, Burst: 60}}
	for now := time.Duration(0); now < time.Minute; now += step {
		if now == lowered {
			demand.limit = Limit{RatePerSecond: 6, Burst: 6}
		}
		demand.advance(now, now > over)
		if demand.random.IntN(4) == 0 {
			demand.startProgram(now)
		}
	}
	t.Logf("programs started %d, failed %d; requests %d, refused %d", demand.started, demand.failed, demand.requested, demand.refused)
	is.True(demand.requested > 150)
	is.True(demand.refused*20 <= demand.requested)
	is.True(demand.failed*10 <= demand.started)
}
