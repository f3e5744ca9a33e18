package coldstart

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const coldDuration = 3 * time.Second

func nodeName(number int) identity.NodeName { return identity.NodeName(fmt.Sprint("n", number)) }

func nodeAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 1)
}

// seedsOf returns the addresses of the first count nodes.
func seedsOf(count int) []netip.AddrPort {
	result := make([]netip.AddrPort, count)
	for i := range result {
		result[i] = nodeAddress(i)
	}
	return result
}

// viewOf returns a view with the given nodes alive.
func viewOf(numbers ...int) membership.View {
	var view membership.View
	for _, number := range numbers {
		view.Members = append(view.Members, membership.Member{Node: identity.Node{Name: nodeName(number), PeerAddress: nodeAddress(number)}, Status: membership.Alive})
	}
	return view
}

// leavingView is a view of which the last node is leaving.
func leavingView(numbers ...int) membership.View {
	view := viewOf(numbers...)
	view.Members[len(numbers)-1].Status = membership.Leaving
	return view
}

func numbers(count int) []int {
	result := make([]int, count)
	for i := range result {
		result[i] = i
	}
	return result
}

func registration(sequence uint64, left time.Duration) fleet.Replica {
	return fleet.Replica{Instance: "i", Service: "s", Zone: "z", Sequence: sequence, ColdRemaining: left}
}

// takePermits returns the number of permits available at once, up to 1001.
func takePermits(limiter *Limiter, limit RateLimit, now time.Duration) int {
	count := 0
	for limiter.Acquire("i", limit, now) {
		if count++; count > 1000 {
			break
		}
	}
	return count
}

func TestLimitIsDividedCompletely(t *testing.T) {
	is := is.New(t)
	is.Equal(divideLimit(25, 69, 69), quota{senders: 25, permits: 1, period: sendPeriod})
	is.Equal(divideLimit(25, 4, 4), quota{senders: 4, permits: 6, period: sendPeriod})
	is.Equal(divideLimit(25, 23, 69), quota{senders: 8, permits: 1, period: sendPeriod}) // a third of the nodes in a partition
	is.Equal(divideLimit(25, 1, 69), quota{period: sendPeriod})                          // one node, partitioned off
	is.Equal(divideLimit(0.5, 9, 9), quota{senders: 1, permits: 1, period: 2 * sendPeriod})
	is.Equal(divideLimit(25, 1, 1), quota{senders: 1, permits: 25, period: sendPeriod})
}

func TestColdReplicaIsLimitedByItsRegistration(t *testing.T) {
	is := is.New(t)
	limit := RateLimit{PerSecond: 6, ColdDuration: coldDuration}
	limiter := NewLimiter("n0")
	limiter.UpdateReplica(registration(1, 0), 0)
	is.Equal(takePermits(limiter, limit, 0), 1001) // warm
	limiter.UpdateReplica(registration(2, coldDuration), 10*time.Second)
	is.True(limiter.Cold("i", limit, 10*time.Second))
	is.Equal(takePermits(limiter, limit, 10*time.Second), 6)
	is.True(!limiter.MaySend("i", limit, 10900*time.Millisecond))
	is.True(!limiter.MaySend("i", limit, 11*time.Second)) // network delays may differ
	is.Equal(takePermits(limiter, limit, 10*time.Second+sendPeriod), 6)
	limiter.UpdateReplica(registration(1, 0), 11*time.Second) // a delayed registration
	is.True(limiter.Cold("i", limit, 11*time.Second))
	limiter.UpdateReplica(registration(3, 0), 12*time.Second) // reports that it is warm
	is.True(!limiter.Cold("i", limit, 12*time.Second))
	is.True(!limiter.Cold("i", RateLimit{}, 10*time.Second))
	is.Equal(takePermits(limiter, RateLimit{}, 0), 1001)
}

// Requests sent just before a replica turns out to be cold must count against its limit.
func TestRequestsBeforeReplicaIsColdAreCounted(t *testing.T) {
	is := is.New(t)
	limit := RateLimit{PerSecond: 6, ColdDuration: coldDuration}
	limiter := NewLimiter("n0")
	limiter.UpdateReplica(registration(1, 0), 0)
	for range 5 {
		is.True(limiter.Acquire("i", limit, 10*time.Second))
	}
	limiter.UpdateReplica(registration(2, coldDuration), 10500*time.Millisecond)
	is.Equal(takePermits(limiter, limit, 10500*time.Millisecond), 1)
}

func TestZoneIsPresumedColdAfterEvacuation(t *testing.T) {
	is := is.New(t)
	limit := RateLimit{PerSecond: 2, ColdDuration: coldDuration}
	limiter := NewLimiter("n0")
	limiter.UpdateReplica(registration(1, 0), 0)
	limiter.PresumeZoneCold("other", func(string) time.Duration { return coldDuration }, time.Second)
	is.True(!limiter.Cold("i", limit, time.Second))
	limiter.PresumeZoneCold("z", func(string) time.Duration { return coldDuration }, time.Second)
	limiter.UpdateReplica(registration(2, 0), 2*time.Second) // may predate the end of the evacuation
	is.True(limiter.Cold("i", limit, 2*time.Second))
	status := limiter.Status(func(string) RateLimit { return limit }, 2*time.Second)
	is.Equal(status, []Status{{Instance: "i", Service: "s", Zone: "z", LeftMs: 2000, Sender: true, Each: 2, PeriodMs: sendPeriod.Milliseconds()}})
	is.True(!limiter.Cold("i", limit, 4*time.Second))
}

// A node that has just started must not send yet, since other senders may have used up
// the limit.
func TestStartingNodeDoesNotSend(t *testing.T) {
	is := is.New(t)
	limit := RateLimit{PerSecond: 8, ColdDuration: coldDuration}
	limiter := NewLimiter("n0")
	limiter.SetView(viewOf(0), 0)
	limiter.UpdateReplica(registration(1, coldDuration), 0)
	is.Equal(takePermits(limiter, limit, 100*time.Millisecond), 0)
	limiter.SetView(viewOf(0, 1, 2, 3), 200*time.Millisecond)
	is.Equal(takePermits(limiter, limit, 900*time.Millisecond), 0)
	is.Equal(takePermits(limiter, limit, 1300*time.Millisecond), 2)
}

// When a sender disappears, its successor must wait for one send period and may use only
// its quota while the lost node may still be alive.
func TestNewSenderWaitsForPreviousSender(t *testing.T) {
	is := is.New(t)
	limit := RateLimit{PerSecond: 2, ColdDuration: time.Hour}
	limiters := make([]*Limiter, 4)
	for i := range limiters {
		limiters[i] = NewLimiter(nodeName(i))
		limiters[i].SetView(viewOf(numbers(4)...), 0)
		limiters[i].UpdateReplica(registration(1, time.Hour), 0)
	}
	var senders, others []int
	for i, limiter := range limiters {
		if takePermits(limiter, limit, 2*time.Second) > 0 {
			senders = append(senders, i)
		} else {
			others = append(others, i)
		}
	}
	is.Equal(len(senders), 2)
	left := append([]int{senders[1]}, others...)
	for _, i := range left {
		limiters[i].SetView(viewOf(left...), 3*time.Second)
		is.Equal(limiters[i].MaySend("i", limit, 3900*time.Millisecond), i == senders[1])
	}
	sending := 0
	for _, i := range left {
		sending += takePermits(limiters[i], limit, 4*time.Second)
	}
	is.Equal(sending, 1) // the lost sender may be alive in a partition
	const later = time.Hour / 2
	for _, i := range left {
		limiters[i].SetView(viewOf(left...), later)
	}
	sending = 0
	for _, i := range left {
		sending += takePermits(limiters[i], limit, later+2*time.Second)
	}
	is.Equal(sending, 1) // a partition may last for any time
	for _, i := range left {
		limiters[i].SetView(leavingView(append(left, senders[0])...), later+3*time.Second)
		limiters[i].SetView(viewOf(left...), later+4*time.Second)
	}
	sending = 0
	for _, i := range left {
		sending += takePermits(limiters[i], limit, later+6*time.Second)
	}
	is.Equal(sending, 2) // it has left
}

// Until a starting node has seen all seeds, the missing ones must count as nodes that may be
// sending in another partition.
func TestStartingNodeCountsUnseenSeeds(t *testing.T) {
	is := is.New(t)
	limit := RateLimit{PerSecond: 12, ColdDuration: time.Hour}
	limiter := NewLimiter("n0")
	limiter.SetSeeds(seedsOf(3))
	limiter.UpdateReplica(registration(1, time.Hour), 0)
	limiter.SetView(viewOf(0), 3*time.Second)
	is.Equal(takePermits(limiter, limit, 5*time.Second), 4) // one of three seeds: 4 of 12
	limiter.SetView(viewOf(0, 1), 6*time.Second)
	is.Equal(takePermits(limiter, limit, 8*time.Second), 4) // two of three seeds: 8 of 12, for two nodes
	limiter.SetView(viewOf(0, 1, 2), 9*time.Second)
	is.Equal(takePermits(limiter, limit, 11*time.Second), 4)
	partitioned := NewLimiter("n7")
	partitioned.SetSeeds(seedsOf(3))
	partitioned.UpdateReplica(registration(1, time.Hour), 0)
	partitioned.SetView(viewOf(6, 7, 8), 0)
	is.Equal(takePermits(partitioned, limit, 2*time.Second), 0) // no seed seen: the whole site may be elsewhere
	alone := NewLimiter("n0")
	alone.SetSeeds(seedsOf(2))
	alone.UpdateReplica(registration(1, time.Hour), 0)
	alone.SetView(viewOf(0), 0)
	const later = time.Hour / 2
	is.Equal(takePermits(alone, limit, 2*time.Second), 6)
	is.Equal(takePermits(alone, limit, later), 6) // a partition may last for any time
	alone.SetView(viewOf(0, 1), later+time.Second)
	alone.SetView(leavingView(0, 1), later+2*time.Second)
	alone.SetView(viewOf(0), later+3*time.Second)
	is.Equal(takePermits(alone, limit, later+6*time.Second), 12) // the other seed was seen, and has left
}

// Nodes that are about to stop still send. While most nodes leave at the same time, as in a
// rolling restart, all of them together must stay within the limit.
func TestLeavingNodesShareTheLimit(t *testing.T) {
	is := is.New(t)
	limit := RateLimit{PerSecond: 12, ColdDuration: time.Hour}
	const count = 6
	for _, left := range []int{0, 1, count - 1, count} {
		view := viewOf(numbers(count)...)
		for i := range left {
			view.Members[i].Status = membership.Leaving
		}
		sending := 0
		for number := range count {
			limiter := NewLimiter(nodeName(number))
			limiter.SetView(viewOf(numbers(count)...), 0)
			limiter.UpdateReplica(registration(1, time.Hour), 0)
			limiter.SetView(view, 2*time.Second)
			sending += takePermits(limiter, limit, 5*time.Second)
		}
		is.Equal(sending, 12)
	}
}

// On a site with more nodes than missing ones are remembered, the missing ones must count.
func TestMissingNodesOfLargeSiteCount(t *testing.T) {
	is := is.New(t)
	s := newSenders(nodeName(0))
	s.setView(viewOf(numbers(maxMissing+100)...), 0)
	s.setView(viewOf(numbers(maxMissing)...), time.Second)
	is.Equal(s.views[len(s.views)-1].possible, maxMissing+100)
}

func BenchmarkAcquireColdReplica(b *testing.B) {
	limit := RateLimit{PerSecond: 25, ColdDuration: coldDuration}
	limiter := NewLimiter("n0")
	limiter.SetView(viewOf(numbers(300)...), 0)
	limiter.UpdateReplica(registration(1, time.Hour), 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		limiter.Acquire("i", limit, 2*time.Second+time.Duration(i)*time.Millisecond)
	}
}

// The limit must hold at the replica even if requests of one period arrive late and those
// of the next period arrive at once.
func TestLimitHoldsDespiteDelayDifferences(t *testing.T) {
	is := is.New(t)
	limiter := NewLimiter("n")
	limiter.UpdateReplica(registration(1, time.Hour), 0)
	limit := RateLimit{PerSecond: 9, ColdDuration: time.Hour}
	var arrivals []time.Duration
	for now := 10 * time.Second; now < 14*time.Second; now += time.Millisecond {
		if limiter.Acquire(registration(1, 0).Instance, limit, now) {
			delay := time.Duration(len(arrivals)%2) * (maxDelayDifference - time.Millisecond)
			if len(arrivals) < 9 {
				delay = maxDelayDifference - time.Millisecond
			}
			arrivals = append(arrivals, now+delay)
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

// A registration with a sequence number that no later one reached kept a replica cold for good.
func TestSequenceMayBeginAnew(t *testing.T) {
	is := is.New(t)
	limiter := NewLimiter("n")
	limit := RateLimit{PerSecond: 1}
	replica := fleet.Replica{Instance: "a", Service: "s", Zone: "z", Sequence: math.MaxUint64, ColdRemaining: fleet.MaxColdRemaining}
	is.True(limiter.UpdateReplica(replica, time.Second))
	replica.Sequence, replica.ColdRemaining = 4, 0
	limiter.UpdateReplica(replica, 2*time.Second) // it may be a delayed one
	is.True(limiter.Cold("a", limit, 2*time.Second))
	replica.Sequence = 5
	limiter.UpdateReplica(replica, time.Second+sequenceTTL)
	is.True(!limiter.Cold("a", limit, time.Second+sequenceTTL))
	replica.ColdRemaining = time.Minute
	limiter.UpdateReplica(replica, time.Minute) // the same registration once more
	is.True(!limiter.Cold("a", limit, time.Minute))
}
