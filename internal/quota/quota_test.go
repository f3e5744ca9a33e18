package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	testPolicy = Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	testLimit  = Limit{RatePerSecond: 40, Burst: 40}
)

// TestWindowCountsTheSpan compares a window with a plain list of what was added.
func TestWindowCountsTheSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = time.Second
		type entry struct {
			at     time.Duration
			amount Amount
		}
		var entries []entry
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
		window := NewWindow(span, now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(400*time.Millisecond)).Draw(t, "pause"))
			amount := Amount{Requests: rapid.IntRange(0, 9).Draw(t, "requests")}
			window.Add(amount, now)
			entries = append(entries, entry{now, amount})
			least, most := 0, 0
			for _, one := range entries {
				if now-one.at <= span {
					least += one.amount.Requests
				}
				if now-one.at <= span+span/windowSlots+1 {
					most += one.amount.Requests
				}
			}
			if total := window.Total(now).Requests; total < least || total > most {
				t.Fatalf("%d counted, want %d to %d", total, least, most)
			}
		}
	})
}

func TestWindowTakesBackOnlyWhatItCounts(t *testing.T) {
	is := is.New(t)
	window := NewWindow(time.Second, 0)
	window.Add(Amount{Requests: 5, Begins: 1}, 10*time.Millisecond)
	window.Add(Amount{Requests: 7}, 500*time.Millisecond)
	window.Remove(Amount{Requests: 9}, 10*time.Millisecond, 600*time.Millisecond)
	is.Equal(window.Total(600*time.Millisecond), Amount{Requests: 7, Begins: 1})
	window.Remove(Amount{Requests: 9}, 10*time.Millisecond, 3*time.Second)
	window.Remove(Amount{Requests: 9}, time.Hour, 3*time.Second)
	is.Equal(window.Total(3*time.Second), Amount{})
}

func TestWindowTellsWhenThereIsRoom(t *testing.T) {
	is := is.New(t)
	window := NewWindow(time.Second, 0)
	window.Add(Amount{Requests: 5}, 0)
	window.Add(Amount{Requests: 5}, 600*time.Millisecond)
	now := 700 * time.Millisecond
	is.Equal(window.RoomAfter(5, now), 1020*time.Millisecond-now)
	is.Equal(window.RoomAfter(6, now), 1620*time.Millisecond-now)
	is.Equal(window.Total(1019*time.Millisecond).Requests, 10)
	is.Equal(window.Total(1020*time.Millisecond).Requests, 5)
}

func TestHandedOverWindowCountsAsLong(t *testing.T) {
	is := is.New(t)
	old, successor := NewWindow(time.Second, 0), NewWindow(time.Second, 0)
	old.Add(Amount{Requests: 5}, 100*time.Millisecond)
	old.Add(Amount{Requests: 3}, 900*time.Millisecond)
	successor.Add(Amount{Requests: 1}, 950*time.Millisecond)
	successor.Merge(old.Slots(time.Second), time.Second)
	is.Equal(successor.Total(time.Second).Requests, 9)
	is.Equal(successor.Total(1100*time.Millisecond).Requests, 9)
	is.Equal(successor.Total(1125*time.Millisecond).Requests, 4)
}

// TestAllocatorServesWhatTheLimitAllows asks for more than the limit allows, for long.
func TestAllocatorServesWhatTheLimitAllows(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.Settle("t", nil, 0)
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
	allocator.Settle("t", nil, 0)
	limit := Limit{RatePerSecond: 4}
	first := allocator.Grant("t", limit, Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}, 0)
	is.Equal(allocator.Grant("t", limit, Request{Needed: Amount{Requests: 1}, Wanted: Amount{Requests: 1}}, 0).Amount.Requests, 0)
	again := allocator.Grant("t", limit, Request{
		Needed: Amount{Requests: 9}, Wanted: Amount{Requests: 9},
		Returned: []Return{{GrantedAt: first.GrantedAt, Amount: Amount{Requests: 6}}},
	}, time.Second)
	is.Equal(again.Amount.Requests, 6)
	is.True(again.RequestAfter > 0 && again.RequestAfter <= testPolicy.Span())
}

// TestTenantAtItsLimitBeginsOnlyWhatItCanEnd serves programs of ten requests to a tenant
// that asks for five times its limit: programs that have begun get on.
func TestTenantAtItsLimitBeginsOnlyWhatItCanEnd(t *testing.T) {
	is := is.New(t)
	const perProgram, step = 10, 50 * time.Millisecond
	allocator := NewAllocator(testPolicy)
	allocator.Settle("t", nil, 0)
	var running []int // requests left of each program
	begun, refused, ended := 0, 0, 0
	one := Request{Needed: Amount{Requests: 1}, Wanted: Amount{Requests: 1}}
	first := Request{Needed: Amount{Requests: 1, Begins: 1}, Wanted: Amount{Requests: 1, Begins: 1}}
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
			if grant.Amount.Begins == 0 {
				allocator.Grant("t", testLimit, Request{Returned: []Return{{GrantedAt: now, Amount: grant.Amount}}}, now)
				continue
			}
			begun++
			running = append(running, perProgram-1)
		}
	}
	t.Logf("begun %d ended %d refused %d", begun, ended, refused)
	is.True(begun-ended < 20)                                          // those that run still
	is.True(refused*20 < begun*perProgram)                             // under 5 in 100 of the requests of what has begun
	is.True(float64(ended*perProgram) > 0.85*40*testLimit.RatePerSecond/2) // and the limit is used
}

func TestSuccessorTakesForUsedWhatItCantLearn(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.Presume("t", testLimit, 0)
	plenty := Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}
	at := func(now time.Duration) int { return allocator.Grant("t", testLimit, plenty, now).Amount.Requests }
	is.True(float64(at(0)) <= testPolicy.Spare(testLimit)/2)
	total := 0
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		total += at(now)
	}
	is.True(float64(total) >= testLimit.RatePerSecond) // what is usual is served on
	is.True(float64(total) <= testPolicy.Granted(testLimit)/testPolicy.Span().Seconds()+float64(windowSlots))
}

func TestShareBoundsWhatOneSideGrants(t *testing.T) {
	is := is.New(t)
	allocator := NewAllocator(testPolicy)
	allocator.Settle("t", nil, 0)
	allocator.SetShare(0.25)
	grant := allocator.Grant("t", testLimit, Request{Needed: Amount{Requests: 999}, Wanted: Amount{Requests: 999}}, 0)
	is.True(float64(grant.Amount.Requests) <= testPolicy.Granted(testLimit)/4)
}

func TestTokensOfANodeExpireAndComeBack(t *testing.T) {
	is := is.New(t)
	stock := NewStock(testPolicy, 0)
	request := stock.Ask(7, Amount{Requests: 1}, 0)
	stock.Granted(7, request, Grant{Amount: Amount{Requests: 3}, GrantedAt: 99, Limit: 100}, 0, 0)
	token, taken := stock.Take(0)
	is.True(taken)
	stock.Refund(token, 0)
	for range 3 {
		_, taken = stock.Take(testPolicy.Life() - 1)
		is.True(taken)
	}
	_, taken = stock.Take(testPolicy.Life() - 1)
	is.True(!taken)
	stock.Refund(token, testPolicy.Life()) // too late for another request
	_, taken = stock.Take(testPolicy.Life())
	is.True(!taken)
	is.Equal(stock.Ask(7, Amount{}, testPolicy.Life()).Returned, []Return{{GrantedAt: 99, Amount: Amount{Requests: 1}}})
	is.Equal(len(stock.Ask(7, Amount{}, testPolicy.Life()).Returned), 0)
}

func TestNodeWithoutAllocatorGoesOnAtItsOwnPace(t *testing.T) {
	is := is.New(t)
	stock := NewStock(testPolicy, 0)
	now := time.Duration(0)
	for range 40 { // 20 a second for two seconds
		stock.Granted(7, Request{}, Grant{Amount: Amount{Requests: 1}, Limit: 200, Used: 50}, now, now)
		_, taken := stock.Take(now)
		is.True(taken)
		now += 50 * time.Millisecond
	}
	taken := 0
	alone := func(from, to time.Duration) int {
		for taken = 0; from < to; from += 10 * time.Millisecond {
			if _, got := stock.TakeAlone(testLimit, 10, from); got {
				taken++
			}
		}
		return taken
	}
	inTrust := alone(now, now+time.Second)
	is.True(inTrust >= 18 && inTrust <= 40)
	later := alone(now+trustFor+time.Second, now+trustFor+3*time.Second)
	is.True(later <= 2*6+1) // a tenth of the limit
	is.True(stock.Ask(8, Amount{}, now+trustFor+3*time.Second).Spent.Requests == inTrust+later)
}

func TestNodeThatNobodyAnsweredSpendsNothingAtFirst(t *testing.T) {
	is := is.New(t)
	stock := NewStock(testPolicy, 0)
	_, taken := stock.TakeAlone(testLimit, 10, time.Hour)
	is.True(!taken)
}
