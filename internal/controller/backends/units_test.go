package backends

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/siteservices"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Successful polls must not reinstate a back end whose calls fail; it returns
// through probation.
func TestPollsDoNotReinstateFailingBackend(t *testing.T) {
	is := is.New(t)
	var h health
	for range 2 {
		h = h.afterCall(start, false).afterPoll(true)
	}
	is.Equal(h.at(start), scheduling.Ejected)
	later := start.Add(time.Minute)
	h = h.afterPoll(true)
	is.Equal(h.at(later), scheduling.Probation)
	is.Equal(h.afterCall(later, false).at(later), scheduling.Ejected)
	is.Equal(h.afterFastCall(later).at(later), scheduling.Healthy)
}

// A back end stays ejected while its polls fail and returns through probation.
func TestFailedPollsEject(t *testing.T) {
	is := is.New(t)
	h := health{}.afterPoll(false)
	is.Equal(h.at(start), scheduling.Healthy)
	h = h.afterPoll(false)
	is.Equal(h.at(start), scheduling.Ejected)
	later := start.Add(time.Hour)
	is.Equal(h.at(later), scheduling.Ejected)
	h = h.afterPoll(true)
	is.Equal(h.at(later), scheduling.Probation)
	is.Equal(h.afterFastCall(later).at(later), scheduling.Healthy)
	is.Equal(h.afterCall(later, false).at(later), scheduling.Ejected)
}

func TestConsecutiveSlowCallsEjectUpToPoolLimit(t *testing.T) {
	is := is.New(t)
	slow := func(mayEject bool, calls int) scheduling.Health {
		var h health
		for range calls {
			h = h.afterSlowCall(start, mayEject)
		}
		return h.at(start)
	}
	is.Equal(slow(true, slowCallsToEject), scheduling.Healthy)
	is.Equal(slow(true, slowCallsToEject+1), scheduling.Ejected)
	is.Equal(slow(false, 10*slowCallsToEject), scheduling.Healthy)
	is.True(pool{members: 3}.mayEjectSlow())
	is.True(!pool{members: 3, ejected: 1}.mayEjectSlow())
	is.True(!pool{members: 2}.mayEjectSlow())

	is.True(pool{decodeRate: 80}.isSlow(9, minSpeedTokens))
	is.True(!pool{decodeRate: 80}.isSlow(11, minSpeedTokens))
	is.True(!pool{decodeRate: 80}.isSlow(9, minSpeedTokens-1))
	is.True(!pool{}.isSlow(9, minSpeedTokens))
}

func machines(count, services int) []siteservices.Machine {
	var all []siteservices.Machine
	for i := range count {
		all = append(all, siteservices.Machine{
			Name: fmt.Sprintf("engine-%d", i), Role: siteservices.RoleEngine, State: siteservices.MachineLive,
			Service: fmt.Sprintf("service-%d", i%services),
		})
	}
	return all
}

// With 380 nodes and 600 engines, each engine is polled by about the mean number
// of nodes, and each node polls engines of every service.
func TestPollSharesCoverLargeFleet(t *testing.T) {
	const nodes, replicas, services = 380, 600, 28
	all := machines(replicas, services)
	pollers := map[string]int{}
	for node := range nodes {
		chosen := pollShare(identity.NodeName(fmt.Sprintf("node-%d", node)), "", all, defaultPollAll, defaultPerService)
		seen := map[string]bool{}
		for _, machine := range all {
			if chosen[machine.Name] {
				pollers[machine.Name]++
				seen[machine.Service] = true
			}
		}
		if len(seen) != services || len(chosen) != services*defaultPerService {
			t.Fatalf("node %d polls %d of %d services and %d engines", node, len(seen), services, len(chosen))
		}
	}
	least, most := nodes, 0
	for _, machine := range all {
		least, most = min(least, pollers[machine.Name]), max(most, pollers[machine.Name])
	}
	mean := nodes * services * defaultPerService / replicas
	if least < mean/2 || most > 2*mean {
		t.Errorf("between %d and %d nodes poll an engine, mean %d", least, most, mean)
	}
}

func TestSmallFleetIsPolledCompletely(t *testing.T) {
	is := is.New(t)
	is.Equal(len(pollShare("node", "", machines(defaultPollAll, 3), defaultPollAll, defaultPerService)), defaultPollAll)
}

// A node polls back ends of its own region, and other regions only if its own has
// none or all of them are leaving.
func TestPollSharePrefersOwnRegion(t *testing.T) {
	is := is.New(t)
	all := machines(4*defaultPollAll, 2)
	for i := range all {
		all[i].Region = identity.Region(fmt.Sprintf("region-%d", i/2%3))
	}
	near := func(region identity.Region) (near, far int) {
		chosen := pollShare("node", region, all, defaultPollAll, 1)
		for _, machine := range all {
			if chosen[machine.Name] && machine.Region == region {
				near++
			} else if chosen[machine.Name] {
				far++
			}
		}
		return near, far
	}
	n, f := near("region-1")
	is.Equal([]int{n, f}, []int{defaultPollAll, 0})
	n, f = near("elsewhere")
	is.Equal([]int{n, f}, []int{0, defaultPollAll})
	for i := range all {
		if all[i].Region == "region-1" {
			all[i].State = siteservices.MachineLeaving
		}
	}
	n, f = near("region-1")
	is.Equal([]int{n, f}, []int{0, defaultPollAll})
}

// The map stays within its limit and its indexes agree after any sequence of
// operations.
func TestCacheMapStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewCacheMap(5, time.Second)
		now := start
		engine := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "engine") }
		prefix := func(t *rapid.T) backend.HeldPrefix {
			return backend.HeldPrefix{
				Program: identity.ProgramID(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "program")),
				Branch:  identity.BranchID(rapid.SampledFrom([]string{"main", "side"}).Draw(t, "branch")),
				Tokens:  rapid.IntRange(0, 9).Draw(t, "tokens"),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"believe": func(t *rapid.T) {
				now = now.Add(500 * time.Millisecond)
				p := prefix(t)
				e := engine(t)
				m.Record(now, e, p.Program, p.Branch, p.Tokens)
				if got := m.Tokens(e, p.Program, p.Branch); got != p.Tokens {
					t.Fatalf("recorded %d tokens, got %d", p.Tokens, got)
				}
			},
			"apply":   func(t *rapid.T) { m.Apply(now, engine(t), []backend.CacheEvent{{Prefix: prefix(t)}}) },
			"replace": func(t *rapid.T) { m.Replace(now, engine(t), []backend.HeldPrefix{prefix(t)}) },
			"forget": func(t *rapid.T) {
				e := engine(t)
				m.Forget(e)
				if m.HasEntries(e) {
					t.Fatalf("%s still has entries", e)
				}
			},
			"": func(t *rapid.T) { checkCacheMap(t, m) },
		})
	})
}

func checkCacheMap(t *rapid.T, m *CacheMap) {
	counted := 0
	for _, program := range []identity.ProgramID{"p", "q"} {
		for _, branch := range []identity.BranchID{"main", "side"} {
			for _, prefix := range m.Holders(program, branch) {
				counted++
				if prefix.Tokens <= 0 || prefix.Tokens != m.Tokens(prefix.Backend, program, branch) || !m.HasEntries(prefix.Backend) {
					t.Fatalf("inconsistent entry %+v", prefix)
				}
			}
		}
	}
	if counted != m.Len() || counted > 5 {
		t.Fatalf("%d prefixes, length %d", counted, m.Len())
	}
}

func TestEventsDoNotOverrideRecentEntries(t *testing.T) {
	is := is.New(t)
	m := NewCacheMap(10, time.Second)
	m.Record(start, "a", "p", "main", 100)
	evicted := []backend.CacheEvent{{Kind: backend.CacheEvicted, Prefix: backend.HeldPrefix{Program: "p", Branch: "main", Tokens: 40}}}
	m.Apply(start.Add(500*time.Millisecond), "a", evicted)
	is.Equal(m.Tokens("a", "p", "main"), 100) // the event may predate the call
	m.Apply(start.Add(2*time.Second), "a", evicted)
	is.Equal(m.Tokens("a", "p", "main"), 40)
	m.Apply(start.Add(2*time.Second), "a", []backend.CacheEvent{{Prefix: backend.HeldPrefix{Program: "other", Branch: "main", Tokens: 7}}})
	is.Equal(m.Len(), 1) // prefixes of other nodes' programs are not added
	m.Replace(start.Add(3*time.Second), "a", nil)
	is.Equal(m.Len(), 0)
}

// The polls of any fleet stay within the budget, except that idle back ends are
// always polled once per minute.
func TestPollIntervalsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		used, idle := rapid.IntRange(0, 300).Draw(t, "used"), rapid.IntRange(0, 300).Draw(t, "idle")
		budget := rapid.Float64Range(1, 100).Draw(t, "budget")
		chosen := chooseIntervals(500*time.Millisecond, budget, used, idle)
		rate := float64(used)/chosen.active.Seconds() + float64(idle)/chosen.idle.Seconds()
		if rate > budget*1.001 && chosen.idle < maxIdleInterval {
			t.Fatalf("%+v causes %.1f polls per second, budget %.1f", chosen, rate, budget)
		}
		if chosen.active < 500*time.Millisecond || chosen.idle < chosen.active && chosen.idle < maxIdleInterval {
			t.Fatalf("intervals out of range: %+v", chosen)
		}
	})
}
