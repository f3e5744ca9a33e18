package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// play gives a replica outcomes every step and returns how many of them it got and how
// many failed: it gets each unless it is ejected, then only probes.
func play(record *Detector, count int, step time.Duration, usual float64, outcome func(now time.Duration) Outcome) (got, failed, ejections int) {
	for i := range count {
		now := time.Second + time.Duration(i)*step
		if record.Ejected() {
			if record.Probe(0, now) == NoProbe {
				continue
			}
			record.StartProbe(now)
		}
		became := outcome(now)
		got++
		if became.Failed() {
			failed++
		}
		if record.Add(became, usual, now) == NowEjected {
			ejections++
		}
	}
	return got, failed, ejections
}

func failingWith(share float64, random *rand.Rand) func(time.Duration) Outcome {
	return func(time.Duration) Outcome {
		if random.Float64() < share {
			return ErrorResponse
		}
		return Success
	}
}

// TestAReplicaThatFailsAllIsLeftAlone after its first few failures, but for rare probes.
func TestAReplicaThatFailsAllIsLeftAlone(t *testing.T) {
	is := is.New(t)
	record := &Detector{}
	got, failed, ejections := play(record, 1000, 10*time.Millisecond, 0.01, func(time.Duration) Outcome { return ErrorResponse })
	is.Equal(got, failed)
	is.Equal(ejections, 1)
	is.True(failed <= 3+8) // of 1,000 in 10 s
	failures, of := record.failures, record.of
	is.Equal(failures, 3)
	is.Equal(of, 3)
	is.Equal(record.Reason(), ErrorResponse)
}

// TestANodeWhoseOwnWayFailsHidesNothing: its outcomes say nothing of one replica, and leave what
// the others have told.
func TestANodeWhoseOwnWayFailsHidesNothing(t *testing.T) {
	is := is.New(t)
	record := &Detector{}
	const sick = 0.9
	for number := range 2 {
		is.Equal(record.Add(ErrorResponse, 0.01, time.Duration(number)), Unchanged)
		is.Equal(record.Add(ErrorResponse, sick, time.Duration(number)), Unchanged)
	}
	is.Equal(record.Add(ErrorResponse, 0.01, 2), NowEjected)
}

// TestGreyReplicasGetFewRequests: they fail 45 % of their work.
func TestGreyReplicasGetFewRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const offered = 2000 // in 40 s
		_, failed, _ := play(&Detector{}, offered, 20*time.Millisecond, 0.01, failingWith(0.45, random))
		if failed > offered*0.45/4 {
			t.Fatalf("%d of %d requests failed", failed, offered)
		}
	})
}

// TestWorkThatFailsByItselfEjectsHardlyAnyReplica: 35 replicas of a service that fails a
// part of its work, which the nodes have learned.
func TestWorkThatFailsByItselfEjectsHardlyAnyReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.2).Draw(t, "share")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		total := 0
		for range 35 {
			_, _, ejections := play(&Detector{}, 300, 20*time.Millisecond, share, failingWith(share, random))
			total += ejections
		}
		if total > 1 {
			t.Fatalf("%d ejections of 35 replicas that fail %v of 10,500 requests", total, share)
		}
	})
}

// TestOnePercentEjectsNobody over 21,000 requests.
func TestOnePercentEjectsNobody(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	usual := &Baseline{}
	for range 35 {
		record := &Detector{}
		for i := range 600 {
			outcome := failingWith(0.01, random)(0)
			record.Add(outcome, usual.FailureRate(), time.Duration(i)*10*time.Millisecond)
			usual.Add(outcome)
			is.True(!record.Ejected())
		}
	}
	is.True(usual.FailureRate() < 0.05)
}

// TestAServiceThatFailsAsAWholeEjectsNobody, once that is known.
func TestAServiceThatFailsAsAWholeEjectsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.3, 1).Draw(t, "share")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		_, _, ejections := play(&Detector{}, 1000, 10*time.Millisecond, share, failingWith(share, random))
		if ejections > 0 {
			t.Fatalf("%d ejections", ejections)
		}
	})
}

// TestAReplicaReturnsByServing: first probes one at a time, then more at once.
func TestAReplicaReturnsByServing(t *testing.T) {
	is := is.New(t)
	record := &Detector{}
	for range 3 {
		record.Add(NoResponse, 0, time.Second)
	}
	is.True(record.Ejected())
	now := time.Second + firstPause - 1
	is.Equal(record.Probe(0, now), NoProbe)
	now++
	is.Equal(record.Probe(1, now), NoProbe) // another one is under way
	is.Equal(record.Probe(0, now), SafeProbe)
	record.StartProbe(now)
	is.Equal(record.Probe(0, now), NoProbe)
	is.Equal(record.Probe(0, now+safeFirst), AnyProbe)
	is.Equal(record.Add(Success, 0, now), Unchanged)
	now += provingPause
	is.Equal(record.Probe(1, now), SafeProbe)
	for range returnAfter - 2 {
		is.Equal(record.Add(Success, 0, now), Unchanged)
	}
	is.Equal(record.Add(Success, 0, now), NowReinstated)
	is.True(!record.Ejected())
}

// TestRefusalsSayNothing: an outcome of no known kind changes nothing.
func TestRefusalsSayNothing(t *testing.T) {
	is := is.New(t)
	record := &Detector{}
	for range 100 {
		is.Equal(record.Add(0, 0, 0), Unchanged)
		is.Equal(record.Add(99, 0, 0), Unchanged)
	}
	is.Equal(*record, Detector{})
}

// TestFlappingReplicasGetLessOfTheirBadTimes: down and up by turns.
func TestFlappingReplicasGetLessOfTheirBadTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		period := time.Duration(rapid.IntRange(300, 4000).Draw(t, "period")) * time.Millisecond
		down := func(now time.Duration) Outcome {
			if now/period%2 == 1 {
				return Unreachable
			}
			return Success
		}
		const offered = 2000 // in 20 s, half of them in bad times
		got, failed, _ := play(&Detector{}, offered, 10*time.Millisecond, 0, down)
		if failed > offered/2/8 || got == failed {
			t.Fatalf("%d of %d requests failed", failed, got)
		}
	})
}

// TestOnlyAPartIsLeftAlone, whatever the number.
func TestOnlyAPartIsLeftAlone(t *testing.T) {
	is := is.New(t)
	is.True(!ExceedsEjectionLimit(0, 0))
	is.True(!ExceedsEjectionLimit(14, 35))
	is.True(ExceedsEjectionLimit(15, 35))
	is.True(ExceedsEjectionLimit(1, 1))
	is.True(ExceedsEjectionLimit(1, 2))
	is.True(!ExceedsEjectionLimit(1, 3))
}

// TestStuckRequestsHoldProbesOffForAShortTime: a mute replica keeps them until their time is
// over, which may be long after it has come back.
func TestStuckRequestsHoldProbesOffForAShortTime(t *testing.T) {
	is := is.New(t)
	record := &Detector{}
	for range 3 {
		record.Add(NoResponse, 0, time.Second)
	}
	const left = 8
	is.Equal(record.Probe(left, time.Second+stuck-1), NoProbe)
	now := time.Second + stuck
	is.True(record.Probe(left, now) != NoProbe)
	record.StartProbe(now)
	is.Equal(record.Probe(left+1, now+stuck-1), NoProbe)
	is.True(record.Probe(left+1, now+stuck) != NoProbe)
}

// TestRequestsFromBeforeTheEjectionDoNotEndIt: streams that began before the replica failed
// are served to their end.
func TestRequestsFromBeforeTheEjectionDoNotEndIt(t *testing.T) {
	is := is.New(t)
	record := &Detector{}
	for range 3 {
		record.Add(ErrorResponse, 0, time.Second)
	}
	for range 2 * longestReturn {
		is.Equal(record.Add(Success, 0, time.Second), Unchanged)
	}
	is.True(record.Ejected())
}

// TestAReplicaIsTriedOftenEnough that one that is sound again returns soon, also where no
// request may go elsewhere after a failure.
func TestAReplicaIsTriedOftenEnough(t *testing.T) {
	const most = longestPause + longestPause/2 + safeFirst
	is := is.New(t)
	record := &Detector{}
	for range 3 {
		record.Add(ErrorResponse, 0, time.Second)
	}
	now := time.Second
	for range 100 {
		is.Equal(record.Probe(0, now+most), AnyProbe)
		now += most
		record.StartProbe(now)
		record.Add(ErrorResponse, 0, now)
	}
}
