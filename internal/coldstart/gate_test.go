package coldstart

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const lasts = 3 * time.Second

func nodeName(number int) identity.NodeName { return identity.NodeName(fmt.Sprint("n", number)) }

func nodeAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 1)
}

// seedsOf returns the addresses of the first nodes of a site.
func seedsOf(count int) []netip.AddrPort {
	made := make([]netip.AddrPort, count)
	for i := range made {
		made[i] = nodeAddress(i)
	}
	return made
}

// viewOf is a view of living members.
func viewOf(numbers ...int) membership.View {
	var view membership.View
	for _, number := range numbers {
		view.Members = append(view.Members, membership.Member{Node: identity.Node{Name: nodeName(number), PeerAddress: nodeAddress(number)}, Status: membership.Alive})
	}
	return view
}

func numbers(count int) []int {
	made := make([]int, count)
	for i := range made {
		made[i] = i
	}
	return made
}

func entry(sequence uint64, left time.Duration) fleet.Replica {
	return fleet.Replica{Instance: "i", Service: "s", Zone: "z", Sequence: sequence, ColdRemaining: left}
}

// taken is how many requests a gate lets through at once.
func taken(gate *Limiter, bound RateLimit, now time.Duration) int {
	count := 0
	for gate.Acquire("i", bound, now) {
		if count++; count > 1000 {
			break
		}
	}
	return count
}

func TestBoundIsDealtOutWhole(t *testing.T) {
	is := is.New(t)
	is.Equal(shareOut(25, 69, 69), share{senders: 25, each: 1, period: sendPeriod})
	is.Equal(shareOut(25, 4, 4), share{senders: 4, each: 6, period: sendPeriod})
	is.Equal(shareOut(25, 23, 69), share{senders: 8, each: 1, period: sendPeriod}) // a third, behind a cut
	is.Equal(shareOut(25, 1, 69), share{period: sendPeriod})                       // alone, behind a cut
	is.Equal(shareOut(0.5, 9, 9), share{senders: 1, each: 1, period: 2 * sendPeriod})
	is.Equal(shareOut(25, 1, 1), share{senders: 1, each: 25, period: sendPeriod})
}

func TestReplicaIsColdByItsEntryAndFilledAsFastAsItBears(t *testing.T) {
	is := is.New(t)
	bound := RateLimit{PerSecond: 6, ColdDuration: lasts}
	gate := NewLimiter("n0")
	gate.UpdateReplica(entry(1, 0), 0)
	is.Equal(taken(gate, bound, 0), 1001) // warm
	gate.UpdateReplica(entry(2, lasts), 10*time.Second)
	is.True(gate.Cold("i", bound, 10*time.Second))
	is.Equal(taken(gate, bound, 10*time.Second), 6)
	is.True(!gate.MaySend("i", bound, 10900*time.Millisecond))
	is.True(!gate.MaySend("i", bound, 11*time.Second)) // the ways of two requests may differ
	is.Equal(taken(gate, bound, 10*time.Second+sendPeriod), 6)
	gate.UpdateReplica(entry(1, 0), 11*time.Second) // a late word
	is.True(gate.Cold("i", bound, 11*time.Second))
	gate.UpdateReplica(entry(3, 0), 12*time.Second) // it shows that it is warm
	is.True(!gate.Cold("i", bound, 12*time.Second))
	is.True(!gate.Cold("i", RateLimit{}, 10*time.Second))
	is.Equal(taken(gate, RateLimit{}, 0), 1001)
}

// TestWarmSendingsCountOnceTheReplicaProvesCold: what went there in the last second does.
func TestWarmSendingsCountOnceTheReplicaProvesCold(t *testing.T) {
	is := is.New(t)
	bound := RateLimit{PerSecond: 6, ColdDuration: lasts}
	gate := NewLimiter("n0")
	gate.UpdateReplica(entry(1, 0), 0)
	for range 5 {
		is.True(gate.Acquire("i", bound, 10*time.Second))
	}
	gate.UpdateReplica(entry(2, lasts), 10500*time.Millisecond)
	is.Equal(taken(gate, bound, 10500*time.Millisecond), 1)
}

func TestZoneTakenBackIsPresumedColdWhateverEntriesSay(t *testing.T) {
	is := is.New(t)
	bound := RateLimit{PerSecond: 2, ColdDuration: lasts}
	gate := NewLimiter("n0")
	gate.UpdateReplica(entry(1, 0), 0)
	gate.PresumeZoneCold("other", func(string) time.Duration { return lasts }, time.Second)
	is.True(!gate.Cold("i", bound, time.Second))
	gate.PresumeZoneCold("z", func(string) time.Duration { return lasts }, time.Second)
	gate.UpdateReplica(entry(2, 0), 2*time.Second) // may have been written before
	is.True(gate.Cold("i", bound, 2*time.Second))
	status := gate.Status(func(string) RateLimit { return bound }, 2*time.Second)
	is.Equal(status, []Status{{Instance: "i", Service: "s", Zone: "z", LeftMs: 2000, Sender: true, Each: 2, PeriodMs: sendPeriod.Milliseconds()}})
	is.True(!gate.Cold("i", bound, 4*time.Second))
}

// TestStarterSendsNothingYet: a node that has just started does not know what others send.
func TestStarterSendsNothingYet(t *testing.T) {
	is := is.New(t)
	bound := RateLimit{PerSecond: 8, ColdDuration: lasts}
	gate := NewLimiter("n0")
	gate.SetView(viewOf(0), 0)
	gate.UpdateReplica(entry(1, lasts), 0)
	is.Equal(taken(gate, bound, 100*time.Millisecond), 0)
	gate.SetView(viewOf(0, 1, 2, 3), 200*time.Millisecond)
	is.Equal(taken(gate, bound, 900*time.Millisecond), 0)
	is.Equal(taken(gate, bound, 1300*time.Millisecond), 2)
}

// TestNewSenderWaitsForWhatTheOneBeforeMayHaveSent kills a sender; the node that follows
// sends a second later at the soonest, and only its part while the dead one may live.
func TestNewSenderWaitsForWhatTheOneBeforeMayHaveSent(t *testing.T) {
	is := is.New(t)
	bound := RateLimit{PerSecond: 2, ColdDuration: time.Hour}
	gates := make([]*Limiter, 4)
	for i := range gates {
		gates[i] = NewLimiter(nodeName(i))
		gates[i].SetView(viewOf(numbers(4)...), 0)
		gates[i].UpdateReplica(entry(1, time.Hour), 0)
	}
	var senders, others []int
	for i, gate := range gates {
		if taken(gate, bound, 2*time.Second) > 0 {
			senders = append(senders, i)
		} else {
			others = append(others, i)
		}
	}
	is.Equal(len(senders), 2)
	left := append([]int{senders[1]}, others...)
	for _, i := range left {
		gates[i].SetView(viewOf(left...), 3*time.Second)
		is.Equal(gates[i].MaySend("i", bound, 3900*time.Millisecond), i == senders[1])
	}
	sending := 0
	for _, i := range left {
		sending += taken(gates[i], bound, 4*time.Second)
	}
	is.Equal(sending, 1) // of the two, one may still send behind a cut
	for _, i := range left {
		gates[i].SetView(viewOf(left...), 3*time.Second+missedFor+1)
	}
	sending = 0
	for _, i := range left {
		sending += taken(gates[i], bound, 5*time.Second+missedFor)
	}
	is.Equal(sending, 2)
}

// TestStarterCountsTheSeedsItHasNotHeardOf: those stand for nodes that may live behind a cut
// and send, until they are heard of or a minute has passed.
func TestStarterCountsTheSeedsItHasNotHeardOf(t *testing.T) {
	is := is.New(t)
	bound := RateLimit{PerSecond: 12, ColdDuration: time.Hour}
	gate := NewLimiter("n0")
	gate.SetSeeds(seedsOf(3), 0)
	gate.UpdateReplica(entry(1, time.Hour), 0)
	gate.SetView(viewOf(0), 3*time.Second)
	is.Equal(taken(gate, bound, 5*time.Second), 4) // one of three seeds: 4 of 12
	gate.SetView(viewOf(0, 1), 6*time.Second)
	is.Equal(taken(gate, bound, 8*time.Second), 4) // two of three seeds: 8 of 12, for two nodes
	gate.SetView(viewOf(0, 1, 2), 9*time.Second)
	is.Equal(taken(gate, bound, 11*time.Second), 4)
	apart := NewLimiter("n7")
	apart.SetSeeds(seedsOf(3), 0)
	apart.UpdateReplica(entry(1, time.Hour), 0)
	apart.SetView(viewOf(6, 7, 8), 0)
	is.Equal(taken(apart, bound, 2*time.Second), 0) // no seed: all of the site may be elsewhere
	alone := NewLimiter("n0")
	alone.SetSeeds(seedsOf(2), 0)
	alone.UpdateReplica(entry(1, time.Hour), 0)
	alone.SetView(viewOf(0), 0)
	is.Equal(taken(alone, bound, missedFor-1), 6)
	is.Equal(taken(alone, bound, missedFor+sendPeriod), 12) // the other one is gone for good
}

func BenchmarkTakeFromAColdReplica(b *testing.B) {
	bound := RateLimit{PerSecond: 25, ColdDuration: lasts}
	gate := NewLimiter("n0")
	gate.SetView(viewOf(numbers(300)...), 0)
	gate.UpdateReplica(entry(1, time.Hour), 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		gate.Acquire("i", bound, 2*time.Second+time.Duration(i)*time.Millisecond)
	}
}

// TestBoundHoldsAtTheReplicaWhereWaysDiffer: what is sent at the end of one period may take as
// long on its way as ways differ, and what is sent after it no time at all.
func TestBoundHoldsAtTheReplicaWhereWaysDiffer(t *testing.T) {
	is := is.New(t)
	gate := NewLimiter("n")
	gate.UpdateReplica(entry(1, time.Hour), 0)
	bound := RateLimit{PerSecond: 9, ColdDuration: time.Hour}
	var arrivals []time.Duration
	for now := 10 * time.Second; now < 14*time.Second; now += time.Millisecond {
		if gate.Acquire(entry(1, 0).Instance, bound, now) {
			way := time.Duration(len(arrivals)%2) * (unevenWay - time.Millisecond)
			if len(arrivals) < 9 {
				way = unevenWay - time.Millisecond
			}
			arrivals = append(arrivals, now+way)
		}
	}
	slices.Sort(arrivals)
	for i, first := range arrivals {
		within := 0
		for _, other := range arrivals[i:] {
			if other-first < window {
				within++
			}
		}
		is.True(within <= 9)
	}
	is.True(len(arrivals) >= 27)
}
