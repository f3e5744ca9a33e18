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

func told(sequence uint64, underWay, unread int) Report {
	return Report{Key: 1, Sequence: sequence, Load: loads.Load{InFlight: underWay, PendingTokens: unread}}
}

func TestKeeperAddsUpWhatTheOtherNodesReport(t *testing.T) {
	is := is.New(t)
	book := NewAggregates()
	_, found := book.State(node(1), 1, nil, 0)
	is.True(!found)
	book.Record(node(1), told(1, 2, 640), 0)
	book.Record(node(2), told(1, 3, 64), 0)
	state, found := book.State(node(1), 1, nil, 0)
	is.True(found)
	is.Equal(state.Load, loads.Load{InFlight: 3, PendingTokens: 64}) // the asking node knows its own
	state, _ = book.State(node(3), 1, nil, 0)
	is.Equal(state.Load, loads.Load{InFlight: 5, PendingTokens: 704})
}

func TestReportsOfNodesThatAreGoneLapse(t *testing.T) {
	is := is.New(t)
	book := NewAggregates()
	book.Record(node(1), told(1, 2, 0), 0)
	book.Record(node(2), told(1, 3, 0), reportLife)
	state, _ := book.State(node(3), 1, nil, reportLife)
	is.Equal(state.Load.InFlight, 5)
	state, _ = book.State(node(3), 1, nil, reportLife+1)
	is.Equal(state.Load.InFlight, 3)
}

func TestOvertakenReportIsPassedOver(t *testing.T) {
	is := is.New(t)
	book := NewAggregates()
	book.Record(node(1), told(7, 0, 0), 0)
	book.Record(node(1), told(6, 1, 0), 0)
	state, _ := book.State(node(2), 1, nil, 0)
	is.Equal(state.Load.InFlight, 0)
	// A node whose clock went back over a restart counts again once its old report lapses.
	book.Record(node(1), told(2, 4, 0), reportLife+1)
	state, _ = book.State(node(2), 1, nil, reportLife+1)
	is.Equal(state.Load.InFlight, 4)
}

func TestNewKeeperSaysThatItMayNotHaveHeardAll(t *testing.T) {
	is := is.New(t)
	book := NewAggregates()
	book.Record(node(1), told(1, 1, 0), time.Second)
	state, _ := book.State(node(2), 1, nil, time.Second)
	is.True(!state.Complete)
	state, _ = book.State(node(2), 1, nil, time.Second+settleTime)
	is.True(state.Complete)
}

func TestSenselessKeysTakeBoundedMemory(t *testing.T) {
	is := is.New(t)
	book := NewAggregates()
	for key := range 100_000 {
		book.Record(node(1), Report{Key: ReplicaKey(key)}, 0)
	}
	is.True(book.Len() <= bookShards*maxAccounts)
	for number := range 2 * maxReporters {
		book.Record(node(number), told(1, 1, 0), 0)
	}
	state, _ := book.State(node(1<<15), 1, nil, 0)
	is.True(state.Load.InFlight <= maxReporters)
}

// TestSumIsTheTruthOnceMessagesStop loses, doubles and reorders reports at will: after
// each node has repeated its newest one, the sum is the truth.
func TestSumIsTheTruthOnceMessagesStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 5
		book := NewAggregates()
		now := time.Duration(0)
		var newest [nodes]Report
		var sent []Report
		var senders []int
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond
			sender := rapid.IntRange(0, nodes-1).Draw(t, "sender")
			newest[sender] = told(uint64(step+1), rapid.IntRange(0, 9).Draw(t, "under way"), 0)
			sent, senders = append(sent, newest[sender]), append(senders, sender)
			for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				arrival := rapid.IntRange(0, len(sent)-1).Draw(t, "arrival")
				book.Record(node(senders[arrival]), sent[arrival], now)
			}
		}
		truth := 0
		for sender, report := range newest {
			if report.Sequence > 0 {
				book.Record(node(sender), report, now)
				truth += report.Load.InFlight
			}
		}
		state, _ := book.State(node(nodes), 1, nil, now)
		if state.Load.InFlight != truth {
			t.Fatalf("%d is not %d", state.Load.InFlight, truth)
		}
	})
}

// spread plays 300 nodes that each send a request within half a second to one of a few
// replicas, of which one has just become free, and returns the most that any replica
// got. Nodes know the loads as they were age before.
func spread(age time.Duration) int {
	const replicas, requests, usual, way = 20, 300, 10, 2 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	type change struct {
		at      time.Duration
		replica int
	}
	var changes []change
	loadAt := func(replica int, at time.Duration) int {
		load := usual
		if replica == 0 {
			load = 0
		}
		for _, one := range changes {
			if one.replica == replica && one.at <= at {
				load++
			}
		}
		return load
	}
	for request := range requests {
		now := time.Duration(request) * 500 * time.Millisecond / requests
		known := now - age - way
		if age > 0 {
			known = now.Truncate(age) - way // all nodes hold the picture of the last round
		}
		best, least := 0, 1<<30
		for _, replica := range random.Perm(replicas) {
			if load := loadAt(replica, known); load < least {
				best, least = replica, load
			}
		}
		changes = append(changes, change{now + way, best})
	}
	most := 0
	for replica := range replicas {
		most = max(most, loadAt(replica, time.Second))
	}
	return most
}

func TestHerdFormsOnOldPicturesAndNotWhereRequestsAreCountedAtOnce(t *testing.T) {
	is := is.New(t)
	fair := (300+19*10)/20 + 1
	old, exact := spread(200*time.Millisecond), spread(0)
	if old < 4*fair {
		t.Fatalf("no herd to prevent: %d of %d", old, fair)
	}
	is.True(exact <= fair+3)
}

func ExampleCacheModel() {
	memory := &CacheModel{}
	memory.Resize(100)
	memory.Insert([]Segment{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 30}})
	memory.Insert([]Segment{{ID: 1, Tokens: 60}, {ID: 3, Tokens: 30}})
	fmt.Println(memory.Cached([]Segment{{ID: 1, Tokens: 60}, {ID: 2, Tokens: 30}}))
	fmt.Println(memory.Cached([]Segment{{ID: 1, Tokens: 60}, {ID: 3, Tokens: 40}}))
	// Output:
	// 60
	// 90
}

func TestMemoryNeverHoldsMoreThanFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := &CacheModel{}
		capacity := rapid.IntRange(1, 500).Draw(t, "capacity")
		memory.Resize(capacity)
		for range rapid.IntRange(1, 40).Draw(t, "prompts") {
			parts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Segment {
				return Segment{ID: rapid.Uint32Range(1, 12).Draw(t, "id"), Tokens: rapid.IntRange(-5, 200).Draw(t, "tokens")}
			}), 0, 4).Draw(t, "parts")
			memory.Insert(parts)
			total, listed := 0, 0
			for _, part := range memory.held {
				total += part.tokens
			}
			for part := memory.newest; part != nil; part = part.older {
				listed++
			}
			if total != memory.total || listed != len(memory.held) {
				t.Fatalf("%d tokens counted as %d, %d parts listed as %d", total, memory.total, len(memory.held), listed)
			}
			if total > capacity && len(memory.held) > 1 {
				t.Fatalf("%d tokens of %d", total, capacity)
			}
			prompt := 0
			for _, part := range parts {
				prompt += max(part.Tokens, 0)
			}
			if cached := memory.Cached(parts); cached > prompt {
				t.Fatalf("%d cached of %d", cached, prompt)
			}
		}
	})
}
