package aggregator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/loads"
)

func node(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7)
}

func loadReport(sequence uint64, inFlight, pendingTokens int) Report {
	return Report{Key: 1, Sequence: sequence, Load: loads.Load{InFlight: inFlight, PendingTokens: pendingTokens}}
}

func TestStateSumsReportsOfOtherNodes(t *testing.T) {
	is := is.New(t)
	aggregates := NewAggregates()
	_, found := aggregates.State(node(1), 1, nil, 0)
	is.True(!found)
	aggregates.Record(node(1), loadReport(1, 2, 640), 0)
	aggregates.Record(node(2), loadReport(1, 3, 64), 0)
	state, found := aggregates.State(node(1), 1, nil, 0)
	is.True(found)
	is.Equal(state.Load, loads.Load{InFlight: 3, PendingTokens: 64}) // the querying node's own load is excluded
	state, _ = aggregates.State(node(3), 1, nil, 0)
	is.Equal(state.Load, loads.Load{InFlight: 5, PendingTokens: 704})
}

func TestReportsExpireAfterTTL(t *testing.T) {
	is := is.New(t)
	aggregates := NewAggregates()
	aggregates.Record(node(1), loadReport(1, 2, 0), 0)
	aggregates.Record(node(2), loadReport(1, 3, 0), reportTTL)
	state, _ := aggregates.State(node(3), 1, nil, reportTTL)
	is.Equal(state.Load.InFlight, 5)
	state, _ = aggregates.State(node(3), 1, nil, reportTTL+1)
	is.Equal(state.Load.InFlight, 3)
}

func TestReorderedReportIsIgnored(t *testing.T) {
	is := is.New(t)
	aggregates := NewAggregates()
	aggregates.Record(node(1), loadReport(7, 0, 0), 0)
	aggregates.Record(node(1), loadReport(6, 1, 0), 0)
	state, _ := aggregates.State(node(2), 1, nil, 0)
	is.Equal(state.Load.InFlight, 0)
	// If a node's clock goes back over a restart, its reports count once the old one
	// expires.
	aggregates.Record(node(1), loadReport(2, 4, 0), reportTTL+1)
	state, _ = aggregates.State(node(2), 1, nil, reportTTL+1)
	is.Equal(state.Load.InFlight, 4)
}

func TestNewAggregatorIsIncomplete(t *testing.T) {
	is := is.New(t)
	aggregates := NewAggregates()
	aggregates.Record(node(1), loadReport(1, 1, 0), time.Second)
	state, _ := aggregates.State(node(2), 1, nil, time.Second)
	is.True(!state.Complete)
	state, _ = aggregates.State(node(2), 1, nil, time.Second+completeAfter)
	is.True(state.Complete)
}

func TestMemoryIsBoundedForArbitraryKeys(t *testing.T) {
	is := is.New(t)
	aggregates := NewAggregates()
	for key := range 100_000 {
		aggregates.Record(node(1), Report{Key: ReplicaKey(key)}, 0)
	}
	is.True(aggregates.Len() <= shardCount*maxAggregatesPerShard)
	for number := range 2 * maxReporters {
		aggregates.Record(node(number), loadReport(1, 1, 0), 0)
	}
	state, _ := aggregates.State(node(1<<15), 1, nil, 0)
	is.True(state.Load.InFlight <= maxReporters)
}

// Whichever reports are lost, duplicated or reordered, the sum is exact once every node has
// repeated its latest one.
func TestSumConvergesAfterLossAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 5
		aggregates := NewAggregates()
		now := time.Duration(0)
		var newest [nodes]Report
		var sent []Report
		var senders []int
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond
			sender := rapid.IntRange(0, nodes-1).Draw(t, "sender")
			newest[sender] = loadReport(uint64(step+1), rapid.IntRange(0, 9).Draw(t, "in flight"), 0)
			sent, senders = append(sent, newest[sender]), append(senders, sender)
			for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				arrival := rapid.IntRange(0, len(sent)-1).Draw(t, "arrival")
				aggregates.Record(node(senders[arrival]), sent[arrival], now)
			}
		}
		truth := 0
		for sender, report := range newest {
			if report.Sequence > 0 {
				aggregates.Record(node(sender), report, now)
				truth += report.Load.InFlight
			}
		}
		state, _ := aggregates.State(node(nodes), 1, nil, now)
		if state.Load.InFlight != truth {
			t.Fatalf("sum of requests in flight: got %d, want %d", state.Load.InFlight, truth)
		}
	})
}

// maxLoadAfterBurst simulates 300 nodes that each send one request within half a second to
// the replica that looks least loaded, while one replica has just become idle. It returns
// the highest load of a replica. The loads that nodes see are up to age old.
func maxLoadAfterBurst(age time.Duration) int {
	const replicas, requests, initialLoad, latency = 20, 300, 10, 2 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	type change struct {
		at      time.Duration
		replica int
	}
	var changes []change
	loadAt := func(replica int, at time.Duration) int {
		load := initialLoad
		if replica == 0 {
			load = 0
		}
		for _, c := range changes {
			if c.replica == replica && c.at <= at {
				load++
			}
		}
		return load
	}
	for request := range requests {
		now := time.Duration(request) * 500 * time.Millisecond / requests
		observedAt := now - age - latency
		if age > 0 {
			observedAt = now.Truncate(age) - latency // all nodes see the loads as of the last refresh
		}
		best, lowest := 0, 1<<30
		for _, replica := range random.Perm(replicas) {
			if load := loadAt(replica, observedAt); load < lowest {
				best, lowest = replica, load
			}
		}
		changes = append(changes, change{now + latency, best})
	}
	maximum := 0
	for replica := range replicas {
		maximum = max(maximum, loadAt(replica, time.Second))
	}
	return maximum
}

func TestImmediateReportsPreventHerding(t *testing.T) {
	is := is.New(t)
	fair := (300+19*10)/20 + 1
	old, exact := maxLoadAfterBurst(200*time.Millisecond), maxLoadAfterBurst(0)
	if old < 4*fair {
		t.Fatalf("stale loads cause no herding: maximum %d, fair share %d", old, fair)
	}
	is.True(exact <= fair+3)
}

func ExampleCacheModel() {
	cache := &CacheModel{}
	cache.Resize(100)
	cache.Insert([]Segment{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 30}})
	cache.Insert([]Segment{{ID: 1, Tokens: 60}, {ID: 3, Tokens: 30}})
	fmt.Println(cache.Cached([]Segment{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 30}}))
	fmt.Println(cache.Cached([]Segment{{ID: 1, Tokens: 60}, {ID: 3, Tokens: 40}}))
	// Output:
	// 60
	// 90
}

func TestCacheModelStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := &CacheModel{}
		capacity := rapid.IntRange(1, 500).Draw(t, "capacity")
		cache.Resize(capacity)
		for range rapid.IntRange(1, 40).Draw(t, "prompts") {
			segments := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Segment {
				return Segment{ID: rapid.Uint32Range(1, 12).Draw(t, "id"), Tokens: rapid.IntRange(-5, 200).Draw(t, "tokens")}
			}), 0, 4).Draw(t, "segments")
			cache.Insert(segments)
			total, listed := 0, 0
			for _, segment := range cache.entries {
				total += segment.tokens
			}
			for segment := cache.newest; segment != nil; segment = segment.older {
				listed++
			}
			if total != cache.total || listed != len(cache.entries) {
				t.Fatalf("%d tokens counted as %d, %d entries listed as %d", total, cache.total, len(cache.entries), listed)
			}
			if total > capacity && len(cache.entries) > 1 {
				t.Fatalf("%d tokens cached, capacity %d", total, capacity)
			}
			prompt := 0
			for _, segment := range segments {
				prompt += max(segment.Tokens, 0)
			}
			if cached := cache.Cached(segments); cached > prompt {
				t.Fatalf("%d tokens cached of a prompt of %d", cached, prompt)
			}
		}
	})
}
