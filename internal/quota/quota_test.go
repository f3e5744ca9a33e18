package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	testPolicy = Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	testLimit  = Limit{RatePerSecond: 40, Burst: 40}
)

// A constant demand above the limit must get all of it, but no more.
func TestAllocatorGrantsWholeLimit(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.Fill("t", testLimit, 0)
	total := 0
	for now := time.Duration(0); now < 20*time.Second; now += 20 * time.Millisecond {
		total += allocator.Grant("t", testLimit, Request{Needed: Amount{Requests: 4}, Wanted: Amount{Requests: 4}}, now).Amount.Requests
	}
	is.True(float64(total) >= 20*testLimit.RatePerSecond)                         // the whole limit is used
	is.True(float64(total) <= 4*testPolicy.Allowed(testLimit)+testLimit.Burst+20) // and the bound holds
}

func TestReturnedTokensAreGrantedAgain(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	limit := Limit{RatePerSecond: 4}
	allocator.Fill("t", limit, 0)
	request := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	granted := allocator.Grant("t", limit, request, 0).Amount.Requests
	is.Equal(granted, int(testPolicy.Capacity(limit)))
	is.Equal(allocator.Grant("t", limit, request, 0).Amount.Requests, 0)
	request.Returned = Amount{Requests: 6}
	is.Equal(allocator.Grant("t", limit, request, 0).Amount.Requests, 6)
	request.Returned = Amount{Requests: 999} // returning more than was granted does not overfill the bucket
	is.True(allocator.Grant("t", limit, request, 0).Amount.Requests <= int(testPolicy.Capacity(limit)))
}

func TestRefusalReturnsRetryDelay(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.Fill("t", testLimit, 0)
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
	allocator := NewAllocator(testPolicy)
	allocator.Fill("t", testLimit, 0)
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
				allocator.Grant("t", testLimit, Request{Returned: grant.Amount}, now)
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

func TestSuccessorWithoutHandoverStartsNearlyEmpty(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.FillConservatively("t", testLimit, 0)
	large := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	at := func(now time.Duration) int { return allocator.Grant("t", testLimit, large, now).Amount.Requests }
	is.True(float64(at(0)) <= testPolicy.Reserve(testLimit)/2)
	total := 0
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		total += at(now)
	}
	is.True(float64(total) >= testLimit.RatePerSecond) // the usual demand is still served
	is.True(float64(total) <= testPolicy.Refill(testLimit)+1)
}

func TestShareBoundsGrants(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.Fill("t", testLimit, 0)
	allocator.SetShare(0.25)
	grant := allocator.Grant("t", testLimit, Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}, 0)
	is.True(float64(grant.Amount.Requests) <= testPolicy.Capacity(testLimit)/4)
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

func TestTakeWithoutAllocatorContinuesAtOwnRate(t *testing.T) {
	is := is.New(t)
	cache := NewTokenCache(testPolicy, 0)
	now := time.Duration(0)
	for range 40 { // 20 per second for two seconds
		cache.ApplyGrant(7, Request{}, Grant{Amount: Amount{Requests: 1}, BelowLimit: true}, now, now)
		_, taken := cache.Take(now)
		is.True(taken)
		now += 50 * time.Millisecond
	}
	taken := 0
	takeUntil := func(from, to time.Duration) int {
		for taken = 0; from < to; from += 10 * time.Millisecond {
			if _, got := cache.TakeWithoutAllocator(testLimit, 10, from); got {
				taken++
			}
		}
		return taken
	}
	trustedTokens := takeUntil(now, now+time.Second)
	is.True(trustedTokens >= 18 && trustedTokens <= 40)
	later := takeUntil(now+autonomyTTL+time.Second, now+autonomyTTL+3*time.Second)
	is.True(later <= 2*6+1) // a tenth of the limit
	is.True(cache.NewRequest(8, Amount{}, now+autonomyTTL+3*time.Second).Spent.Requests == trustedTokens+later)
}

func TestTakeWithoutAllocatorNeedsPriorResponse(t *testing.T) {
	is := is.New(t)
	cache := NewTokenCache(testPolicy, 0)
	_, taken := cache.TakeWithoutAllocator(testLimit, 10, time.Hour)
	is.True(!taken)
}

// The bound must hold for any sequence of bursts, handovers and crashes of allocators.
func TestGrantsInAnySpanStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{RatePerSecond: float64(rapid.IntRange(1, 300).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 300).Draw(t, "burst"))}
		allocator := NewAllocator(testPolicy)
		now := time.Duration(0)
		allocator.Fill("t", limit, now)
		type entry struct {
			at    time.Duration
			count int
		}
		var granted []entry
		lastCrash := -testPolicy.Span()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(600*time.Millisecond)).Draw(t, "pause"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0: // a handover
				account, known := allocator.HandOver("t", limit, now)
				allocator = NewAllocator(testPolicy)
				if !known {
					t.Fatal("no account to hand over")
				}
				allocator.Import("t", account, limit, now)
			case 1: // the allocator crashes, at most once in a span
				if now-lastCrash < testPolicy.Span() {
					continue
				}
				lastCrash = now
				allocator = NewAllocator(testPolicy)
				allocator.FillConservatively("t", limit, now)
			default:
				wanted := Amount{Requests: rapid.IntRange(0, 900).Draw(t, "wanted")}
				grant := allocator.Grant("t", limit, Request{Needed: wanted, Wanted: wanted}, now)
				granted = append(granted, entry{now, grant.Amount.Requests})
			}
			total := 0
			for _, one := range granted {
				if now-one.at <= testPolicy.Span() {
					total += one.count
				}
			}
			if float64(total) > testPolicy.Allowed(limit) {
				t.Fatalf("%d requests granted in a span, %.1f allowed", total, testPolicy.Allowed(limit))
			}
		}
	})
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
	granted := d.allocator.Grant("t", d.limit, Request{Needed: first, Wanted: first}, now).Amount
	if granted != first {
		d.allocator.Grant("t", d.limit, Request{Returned: granted}, now)
		return
	}
	d.started++
	length := 4
	if d.random.IntN(10) < 3 {
		length = 20
	}
	d.running = append(d.running, &program{remaining: length - 1})
}

// Tokens that accrued during a process pause must not be granted twice, whatever the other
// nodes respond.
func TestPausedAllocatorAdoptsReplacementsAccount(t *testing.T) {
	large := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	const resumedAt = 10 * time.Second
	for name, granted := range map[string]struct {
		learn   func(allocator *Allocator)
		maximum float64
	}{
		"another node has granted": {func(a *Allocator) { a.Import("t", Account{Requests: 23}, testLimit, resumedAt) }, 3},
		"grants are unknown":       {func(a *Allocator) { a.FillConservatively("t", testLimit, resumedAt) }, testPolicy.Reserve(testLimit) / 2},
		"no other grants":          {func(a *Allocator) { a.Verify("t", resumedAt) }, testPolicy.Capacity(testLimit)},
		"two sides of a partition": {func(a *Allocator) {
			a.Import("t", Account{Requests: 23}, testLimit, resumedAt)
			a.Import("t", Account{Requests: 4}, testLimit, resumedAt)
		}, 7},
		"account is handed over": {func(a *Allocator) {
			account, _ := a.HandOver("t", testLimit, resumedAt)
			a.Import("t", account, testLimit, resumedAt)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			allocator := NewAllocator(testPolicy)
			allocator.Fill("t", testLimit, 0)
			allocator.ProcessPaused()
			is.True(!allocator.Synchronized("t"))
			granted.learn(allocator)
			is.Equal(allocator.Grant("t", testLimit, large, resumedAt).Amount.Requests, int(granted.maximum))
		})
	}
}

// A relinquished account must not refill, and must be reopened from scratch if this node
// becomes the allocator again.
func TestRelinquishedAccountDoesNotRefill(t *testing.T) {
	is := is.New(t)
	limit := func(string) (Limit, bool) { return testLimit, true }
	relinquished := func() *Allocator {
		allocator := NewAllocator(testPolicy)
		allocator.Fill("t", testLimit, 0)
		allocator.Grant("t", testLimit, Request{Needed: Amount{Requests: 999}}, 0)
		allocator.Relinquish(func(string) bool { return true }, limit, time.Second/2)
		return allocator
	}
	allocator := relinquished()
	is.True(!allocator.Has("t"))
	is.Equal(len(allocator.Left()), 0)
	allocator.Relinquish(func(string) bool { return true }, limit, 5*time.Second) // a later view changes nothing
	account, known := allocator.HandOver("t", testLimit, 9*time.Second)
	is.True(known)
	is.True(account.Requests >= 20 && account.Requests < 21) // the tokens accrued until it was relinquished
	allocator = relinquished()
	allocator.FillConservatively("t", testLimit, 9*time.Second)
	is.Equal(allocator.Left()["t"].Requests, testPolicy.Reserve(testLimit)/2)
}

// When a limit is lowered to a tenth of the demand, few requests of started programs may be
// rejected.
func TestStartedProgramsCompleteAfterLimitIsLowered(t *testing.T) {
	is := is.New(t)
	const step, lowered, over = 50 * time.Millisecond, 20 * time.Second, 25 * time.Second
	demand := &loweredLimitModel{random: rand.New(rand.NewPCG(1, 2)), allocator: NewAllocator(testPolicy), limit: Limit{RatePerSecond: 60, Burst: 60}}
	demand.allocator.Fill("t", demand.limit, 0)
	for now := time.Duration(0); now < time.Minute; now += step {
		if now == lowered {
			demand.limit = Limit{RatePerSecond: 6, Burst: 6}
		}
		demand.advance(now, now > over)
		if demand.random.IntN(4) == 0 {
			demand.startProgram(now)
		}
	}
	is.True(demand.requested > 150)
	is.True(demand.refused*20 <= demand.requested)
	is.True(demand.failed*10 <= demand.started)
}
