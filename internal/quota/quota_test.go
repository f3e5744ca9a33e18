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

// TestAllocatorServesWhatTheLimitAllows asks for more than the limit allows, for long.
func TestAllocatorServesWhatTheLimitAllows(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.Fill("t", testLimit, 0)
	total := 0
	for now := time.Duration(0); now < 20*time.Second; now += 20 * time.Millisecond {
		total += allocator.Grant("t", testLimit, Request{Needed: Amount{Requests: 4}, Wanted: Amount{Requests: 4}}, now).Amount.Requests
	}
	is.True(float64(total) >= 20*testLimit.RatePerSecond)                         // nothing of the limit is left unused
	is.True(float64(total) <= 4*testPolicy.Allowed(testLimit)+testLimit.Burst+20) // and the bound holds
}

func TestUnspentTokensAreGrantedAgain(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	limit := Limit{RatePerSecond: 4}
	allocator.Fill("t", limit, 0)
	all := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	granted := allocator.Grant("t", limit, all, 0).Amount.Requests
	is.Equal(granted, int(testPolicy.Capacity(limit)))
	is.Equal(allocator.Grant("t", limit, all, 0).Amount.Requests, 0)
	all.Returned = Amount{Requests: 6}
	is.Equal(allocator.Grant("t", limit, all, 0).Amount.Requests, 6)
	all.Returned = Amount{Requests: 999} // more than was granted fills no bucket beyond its size
	is.True(allocator.Grant("t", limit, all, 0).Amount.Requests <= int(testPolicy.Capacity(limit)))
}

func TestRefusalTellsWhenThereIsRoom(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.Fill("t", testLimit, 0)
	plenty := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	allocator.Grant("t", testLimit, plenty, 0)
	one := Request{Needed: Amount{Requests: 1, ProgramStarts: 1}, Wanted: Amount{Requests: 1, ProgramStarts: 1}}
	grant := allocator.Grant("t", testLimit, one, 0)
	is.Equal(grant.Amount, Amount{})
	is.True(grant.RequestAfter <= time.Second/40)
	is.Equal(allocator.Grant("t", testLimit, one, grant.RequestAfter+time.Millisecond).Amount.Requests, 1)
	is.Equal(allocator.Grant("t", testLimit, one, grant.ProgramStartAfter+60*time.Millisecond).Amount.ProgramStarts, 1)
}

// TestTenantAtItsLimitBeginsOnlyWhatItCanEnd serves programs of ten requests to a tenant
// that asks for five times its limit: programs that have begun get on.
func TestTenantAtItsLimitBeginsOnlyWhatItCanEnd(t *testing.T) {
	is := is.New(t)
	const perProgram, step = 10, 50 * time.Millisecond
	allocator := NewAllocator(testPolicy)
	allocator.Fill("t", testLimit, 0)
	var running []int // requests left of each program
	begun, refused, ended := 0, 0, 0
	one := Request{Needed: Amount{Requests: 1}, Wanted: Amount{Requests: 1}}
	first := Request{Needed: Amount{Requests: 1, ProgramStarts: 1}, Wanted: Amount{Requests: 1, ProgramStarts: 1}}
	for now := time.Duration(0); now < 40*time.Second; now += step {
		for i := range running {
			if running[i] == 0 || now%(200*time.Millisecond) != 0 {
				continue
			}
			if allocator.Grant("t", testLimit, one, now).Amount.Requests == 0 {
				refused++
				continue
			}
			if running[i]--; running[i] == 0 {
				ended++
			}
		}
		starts := 4 // in a second, below the limit
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
			begun++
			running = append(running, perProgram-1)
		}
	}
	t.Logf("begun %d ended %d refused %d", begun, ended, refused)
	is.True(begun-ended < 20)                                              // those that run still
	is.True(refused*20 < begun*perProgram)                                 // under 5 in 100 of the requests of what has begun
	is.True(float64(ended*perProgram) > 0.85*40*testLimit.RatePerSecond/2) // and the limit is used
}

func TestSuccessorTakesForUsedWhatItCantLearn(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.FillConservatively("t", testLimit, 0)
	plenty := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	at := func(now time.Duration) int { return allocator.Grant("t", testLimit, plenty, now).Amount.Requests }
	is.True(float64(at(0)) <= testPolicy.Reserve(testLimit)/2)
	total := 0
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		total += at(now)
	}
	is.True(float64(total) >= testLimit.RatePerSecond) // what is usual is served on
	is.True(float64(total) <= testPolicy.Refill(testLimit)+1)
}

func TestShareBoundsWhatOneSideGrants(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.Fill("t", testLimit, 0)
	allocator.SetShare(0.25)
	grant := allocator.Grant("t", testLimit, Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}, 0)
	is.True(float64(grant.Amount.Requests) <= testPolicy.Capacity(testLimit)/4)
}

func TestTokensOfANodeExpireAndComeBack(t *testing.T) {
	is := is.New(t)
	stock := NewTokenCache(testPolicy, 0)
	request := stock.NewRequest(7, Amount{Requests: 1}, 0)
	stock.ApplyGrant(7, request, Grant{Amount: Amount{Requests: 3}}, 0, 0)
	token, taken := stock.Take(0)
	is.True(taken)
	for range 2 {
		_, taken = stock.Take(testPolicy.TokenTTL() - 1)
		is.True(taken)
	}
	_, taken = stock.Take(testPolicy.TokenTTL() - 1)
	is.True(!taken)
	stock.Refund(token, testPolicy.TokenTTL()) // too late for another request
	_, taken = stock.Take(testPolicy.TokenTTL())
	is.True(!taken)
	is.Equal(stock.NewRequest(7, Amount{}, testPolicy.TokenTTL()).Returned, Amount{Requests: 1})
	is.Equal(stock.NewRequest(7, Amount{}, testPolicy.TokenTTL()).Returned, Amount{})
}

func TestNodeWithoutAllocatorGoesOnAtItsOwnPace(t *testing.T) {
	is := is.New(t)
	stock := NewTokenCache(testPolicy, 0)
	now := time.Duration(0)
	for range 40 { // 20 a second for two seconds
		stock.ApplyGrant(7, Request{}, Grant{Amount: Amount{Requests: 1}, BelowLimit: true}, now, now)
		_, taken := stock.Take(now)
		is.True(taken)
		now += 50 * time.Millisecond
	}
	taken := 0
	alone := func(from, to time.Duration) int {
		for taken = 0; from < to; from += 10 * time.Millisecond {
			if _, got := stock.TakeWithoutAllocator(testLimit, 10, from); got {
				taken++
			}
		}
		return taken
	}
	inTrust := alone(now, now+time.Second)
	is.True(inTrust >= 18 && inTrust <= 40)
	later := alone(now+trustFor+time.Second, now+trustFor+3*time.Second)
	is.True(later <= 2*6+1) // a tenth of the limit
	is.True(stock.NewRequest(8, Amount{}, now+trustFor+3*time.Second).Spent.Requests == inTrust+later)
}

func TestNodeThatNobodyAnsweredSpendsNothingAtFirst(t *testing.T) {
	is := is.New(t)
	stock := NewTokenCache(testPolicy, 0)
	_, taken := stock.TakeWithoutAllocator(testLimit, 10, time.Hour)
	is.True(!taken)
}

// TestGrantsOfAnyWindowStayUnderTheBound draws allocators that follow each other, cleanly
// or not, and bursts of any kind.
func TestGrantsOfAnyWindowStayUnderTheBound(t *testing.T) {
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
		unclean := -testPolicy.Span()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(600*time.Millisecond)).Draw(t, "pause"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0: // a clean hand-over
				account, known := allocator.HandOver("t", limit, now)
				allocator = NewAllocator(testPolicy)
				if !known {
					t.Fatal("no account")
				}
				allocator.Import("t", account, limit, now)
			case 1: // the allocator dies, at most once in a span
				if now-unclean < testPolicy.Span() {
					continue
				}
				unclean = now
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
				t.Fatalf("%d granted in a span, %.1f are allowed", total, testPolicy.Allowed(limit))
			}
		}
	})
}

// demanded is a program that asks for its requests one after the other and ends after
// six refusals of one.
type demanded struct{ left, refusals int }

// loweredDemand sends five programs a second, of 4 and 20 requests, to an allocator whose
// limit falls to a tenth of that after a while.
type loweredDemand struct {
	random    *rand.Rand
	allocator *Allocator
	limit     Limit
	running   []*demanded
	// begun and failed count programs; asked and refused the requests of those that had
	// begun, once the programs from before the change were over.
	begun, failed, asked, refused int
}

func (d *loweredDemand) goOn(now time.Duration, counts bool) {
	before := d.running
	d.running = nil
	for _, one := range before {
		if d.random.IntN(8) == 0 {
			d.request(one, now, counts)
		}
		switch {
		case one.refusals == 6:
			d.failed++
		case one.left > 0:
			d.running = append(d.running, one)
		}
	}
}

func (d *loweredDemand) request(one *demanded, now time.Duration, counts bool) {
	granted := d.allocator.Grant("t", d.limit, Request{Needed: Amount{Requests: 1}, Wanted: Amount{Requests: 1}}, now)
	if counts {
		d.asked++
		d.refused += 1 - granted.Amount.Requests
	}
	if granted.Amount.Requests == 1 {
		one.left, one.refusals = one.left-1, 0
		return
	}
	one.refusals++
}

func (d *loweredDemand) begin(now time.Duration) {
	first := Amount{Requests: 1, ProgramStarts: 1}
	granted := d.allocator.Grant("t", d.limit, Request{Needed: first, Wanted: first}, now).Amount
	if granted != first {
		d.allocator.Grant("t", d.limit, Request{Returned: granted}, now)
		return
	}
	d.begun++
	length := 4
	if d.random.IntN(10) < 3 {
		length = 20
	}
	d.running = append(d.running, &demanded{left: length - 1})
}

// TestAllocatorThatStoodStillTakesTheWordOfTheOneInItsPlace: nothing that came in meanwhile
// counts twice, whatever the others tell.
func TestAllocatorThatStoodStillTakesTheWordOfTheOneInItsPlace(t *testing.T) {
	plenty := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	const wakes = 10 * time.Second
	for name, granted := range map[string]struct {
		learn func(allocator *Allocator)
		most  float64
	}{
		"another has granted": {func(a *Allocator) { a.Import("t", Account{Requests: 23}, testLimit, wakes) }, 3},
		"nobody can tell":     {func(a *Allocator) { a.FillConservatively("t", testLimit, wakes) }, testPolicy.Reserve(testLimit) / 2},
		"nobody has granted":  {func(a *Allocator) { a.Verify("t", wakes) }, testPolicy.Capacity(testLimit)},
		"two sides of a cut": {func(a *Allocator) {
			a.Import("t", Account{Requests: 23}, testLimit, wakes)
			a.Import("t", Account{Requests: 4}, testLimit, wakes)
		}, 7},
		"it is asked to leave": {func(a *Allocator) {
			account, _ := a.HandOver("t", testLimit, wakes)
			a.Import("t", account, testLimit, wakes)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			allocator := NewAllocator(testPolicy)
			allocator.Fill("t", testLimit, 0)
			allocator.ProcessPaused()
			is.True(!allocator.Synchronized("t"))
			granted.learn(allocator)
			is.Equal(allocator.Grant("t", testLimit, plenty, wakes).Amount.Requests, int(granted.most))
		})
	}
}

// TestAccountThatWasLeftOnlyWaitsToBeHandedOver: nothing comes in once another node grants, and
// should this one grant again, it begins anew.
func TestAccountThatWasLeftOnlyWaitsToBeHandedOver(t *testing.T) {
	is := is.New(t)
	limit := func(string) (Limit, bool) { return testLimit, true }
	left := func() *Allocator {
		allocator := NewAllocator(testPolicy)
		allocator.Fill("t", testLimit, 0)
		allocator.Grant("t", testLimit, Request{Needed: Amount{Requests: 999}}, 0)
		allocator.Relinquish(func(string) bool { return true }, limit, time.Second/2)
		return allocator
	}
	allocator := left()
	is.True(!allocator.Has("t"))
	is.Equal(len(allocator.Left()), 0)
	allocator.Relinquish(func(string) bool { return true }, limit, 5*time.Second) // a later view changes nothing
	account, known := allocator.HandOver("t", testLimit, 9*time.Second)
	is.True(known)
	is.True(account.Requests >= 20 && account.Requests < 21) // what came in until it was left
	allocator = left()
	allocator.FillConservatively("t", testLimit, 9*time.Second)
	is.Equal(allocator.Left()["t"].Requests, testPolicy.Reserve(testLimit)/2)
}

// TestSmallLimitEndsWhatItBegins lowers a tenant's limit to a tenth of what it sends: few
// requests of the programs that have begun are refused.
func TestSmallLimitEndsWhatItBegins(t *testing.T) {
	is := is.New(t)
	const step, lowered, over = 50 * time.Millisecond, 20 * time.Second, 25 * time.Second
	demand := &loweredDemand{random: rand.New(rand.NewPCG(1, 2)), allocator: NewAllocator(testPolicy), limit: Limit{RatePerSecond: 60, Burst: 60}}
	demand.allocator.Fill("t", demand.limit, 0)
	for now := time.Duration(0); now < time.Minute; now += step {
		if now == lowered {
			demand.limit = Limit{RatePerSecond: 6, Burst: 6}
		}
		demand.goOn(now, now > over)
		if demand.random.IntN(4) == 0 {
			demand.begin(now)
		}
	}
	is.True(demand.asked > 150)
	is.True(demand.refused*20 <= demand.asked)
	is.True(demand.failed*10 <= demand.begun)
}
