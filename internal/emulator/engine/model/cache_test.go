package model_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/emulator/engine/model"
	"stepseam.example/stepseam/internal/identity"
)

func segments(tokens ...int) []model.Segment {
	var all []model.Segment
	for i, count := range tokens {
		all = append(all, model.Segment{Digest: uint64(i + 1), Tokens: count})
	}
	return all
}

func TestCacheKeepsThePrefixOfAnEndedStream(t *testing.T) {
	is := is.New(t)
	cache := model.NewCache(1000)
	key := model.Key{Program: "p", Branch: "main"}
	lease, fits := cache.Begin(key, segments(100, 50), 30)
	is.True(fits)
	is.Equal(lease.Cached, 0)
	is.Equal(cache.Used(), 180)
	cache.End(lease, true, model.Segment{Digest: 3, Tokens: 20})
	is.Equal(cache.Used(), 170)

	lease, fits = cache.Begin(key, segments(100, 50, 20, 10), 30)
	is.True(fits)
	is.Equal(lease.Cached, 170)
	is.Equal(cache.Used(), 210)
	cache.End(lease, false)
	is.Equal(cache.Used(), 170)
}

func TestCacheEvictsTheTailOfTheLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	cache := model.NewCache(300)
	old, recent := model.Key{Program: "old"}, model.Key{Program: "recent"}
	is.True(cache.Store(old, segments(50, 50)))
	is.True(cache.Store(recent, segments(100)))
	cache.TakeChanges()
	lease, fits := cache.Begin(model.Key{Program: "new"}, segments(100), 40)
	is.True(fits)
	is.Equal(cache.TakeChanges(), []model.Change{{Key: old, Tokens: 50}})
	cache.End(lease, true)
	is.Equal(cache.Used(), 250)
}

func TestCacheReleaseDuringARunLeavesNothing(t *testing.T) {
	is := is.New(t)
	cache := model.NewCache(1000)
	key := model.Key{Program: "p", Branch: "main"}
	is.True(cache.Store(key, segments(100, 50)))
	lease, fits := cache.Begin(key, segments(100, 50, 20), 30)
	is.True(fits)
	is.Equal(cache.Release("p", ""), 150)
	is.Equal(cache.Used(), 200) // the stream still reads its prefix
	cache.End(lease, true)
	is.Equal(cache.Used(), 0)
	is.Equal(len(cache.Held()), 0)
}

func TestCacheStaleTailOfSameKeyNeverBlocksBegin(t *testing.T) {
	is := is.New(t)
	cache := model.NewCache(100)
	key := model.Key{Program: "p", Branch: "main"}
	is.True(cache.Store(key, segments(10, 70)))
	lease, fits := cache.Begin(key, []model.Segment{{Digest: 1, Tokens: 10}, {Digest: 9, Tokens: 50}}, 40)
	is.True(fits) // 10 tokens of the prompt match; the 70 that differ are evicted
	is.Equal(lease.Cached, 10)
	is.Equal(cache.Used(), 100)
}

// cacheMachine drives a cache by random actions, which are its exported methods.
type cacheMachine struct {
	cache  *model.Cache
	leases []*model.Lease
}

func drawKey(t *rapid.T) model.Key {
	return model.Key{
		Program: identity.ProgramID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "program")),
		Branch:  identity.BranchID(rapid.SampledFrom([]string{"main", "side"}).Draw(t, "branch")),
	}
}

func drawPrompt(t *rapid.T) []model.Segment {
	segment := rapid.Custom(func(t *rapid.T) model.Segment {
		return model.Segment{
			Digest: rapid.Uint64Range(0, 2).Draw(t, "digest"),
			Tokens: rapid.IntRange(1, 40).Draw(t, "tokens"),
		}
	})
	return rapid.SliceOfN(segment, 1, 4).Draw(t, "prompt")
}

func (m *cacheMachine) Begin(t *rapid.T) {
	key, prompt := drawKey(t), drawPrompt(t)
	expected := m.cache.Match(key, prompt)
	lease, fits := m.cache.Begin(key, prompt, rapid.IntRange(1, 40).Draw(t, "max"))
	if !fits {
		if len(m.leases) == 0 {
			t.Fatalf("an idle cache refused %d tokens", model.CountTokens(prompt))
		}
		return
	}
	if lease.Cached != expected {
		t.Fatalf("cached %d, match said %d", lease.Cached, expected)
	}
	m.leases = append(m.leases, lease)
}

func (m *cacheMachine) End(t *rapid.T) {
	if len(m.leases) == 0 {
		t.Skip("none runs")
	}
	i := rapid.IntRange(0, len(m.leases)-1).Draw(t, "lease")
	m.cache.End(m.leases[i], rapid.Bool().Draw(t, "keep"), model.Segment{Digest: 7, Tokens: 5})
	m.leases = append(m.leases[:i], m.leases[i+1:]...)
}

func (m *cacheMachine) Store(t *rapid.T) { m.cache.Store(drawKey(t), drawPrompt(t)) }

func (m *cacheMachine) Release(t *rapid.T) { m.cache.Release(drawKey(t).Program, "") }

func (m *cacheMachine) Check(t *rapid.T) {
	total := 0
	for _, held := range m.cache.Held() {
		total += held.Tokens
	}
	if used := m.cache.Used(); total != used || used > m.cache.Capacity() || used < 0 {
		t.Fatalf("held %d, used %d, capacity %d", total, used, m.cache.Capacity())
	}
}

// The memory in use never exceeds the capacity, equals the sum of Held, and is zero once
// every program is released and every stream has ended.
func TestCacheAccountsForAllMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &cacheMachine{cache: model.NewCache(200)}
		t.Repeat(rapid.StateMachineActions(machine))
		for _, program := range []identity.ProgramID{"a", "b", "c"} {
			machine.cache.Release(program, "")
		}
		for _, lease := range machine.leases {
			machine.cache.End(lease, true)
		}
		if machine.cache.Used() != 0 {
			t.Fatalf("%d tokens leaked", machine.cache.Used())
		}
	})
}
