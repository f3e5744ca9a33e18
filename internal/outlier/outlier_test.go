package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// simulate offers count requests, one per step, to a replica, which receives all of them
// while it is not ejected and only probes otherwise. It returns the numbers of requests
// received, failures and ejections.
func simulate(detector *Detector, count int, step time.Duration, baseline float64, outcome func(now time.Duration) Outcome) (got, failed, ejections int) {
	for i := range count {
		now := time.Second + time.Duration(i)*step
		if detector.Ejected() {
			if detector.Probe(0, now) == NoProbe {
				continue
			}
			detector.StartProbe(now)
		}
		result := outcome(now)
		got++
		if result.Failed() {
			failed++
		}
		if detector.Add(result, baseline, now) == NowEjected {
			ejections++
		}
	}
	return got, failed, ejections
}

func failingWith(rate float64, random *rand.Rand) func(time.Duration) Outcome {
	return func(time.Duration) Outcome {
		if random.Float64() < rate {
			return ErrorResponse
		}
		return Success
	}
}

// A replica that fails every request must be ejected after its first failures and get
// only rare probes.
func TestFailingReplicaIsEjected(t *testing.T) {
	is := is.New(t)
	detector := &Detector{}
	got, failed, ejections := simulate(detector, 1000, 10*time.Millisecond, 0.01, func(time.Duration) Outcome { return ErrorResponse })
	is.Equal(got, failed)
	is.Equal(ejections, 1)
	is.True(failed <= 3+8) // of 1,000 in 10 s
	failures, of := detector.failures, detector.outcomes
	is.Equal(failures, 3)
	is.Equal(of, 3)
	is.Equal(detector.Reason(), ErrorResponse)
}

// Outcomes of a node whose own path to the service fails must not change a score, neither
// up nor down.
func TestOutcomesAtHighBaselineAreIgnored(t *testing.T) {
	is := is.New(t)
	detector := &Detector{}
	const highBaseline = 0.9
	for number := range 2 {
		is.Equal(detector.Add(ErrorResponse, 0.01, time.Duration(number)), Unchanged)
		is.Equal(detector.Add(ErrorResponse, highBaseline, time.Duration(number)), Unchanged)
	}
	is.Equal(detector.Add(ErrorResponse, 0.01, 2), NowEjected)
}

// A replica that fails 45 % of its requests must get few of them.
func TestPartiallyFailingReplicaGetsFewRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const offered = 2000 // in 40 s
		_, failed, _ := simulate(&Detector{}, offered, 20*time.Millisecond, 0.01, failingWith(0.45, random))
		if failed > offered*0.45/4 {
			t.Fatalf("%d of %d requests failed", failed, offered)
		}
	})
}

// If all replicas of a service fail at the known baseline rate, ejections must be rare.
func TestFailuresAtBaselineRarelyEject(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 0.2).Draw(t, "failure rate")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		total := 0
		for range 35 {
			_, _, ejections := simulate(&Detector{}, 300, 20*time.Millisecond, rate, failingWith(rate, random))
			total += ejections
		}
		if total > 1 {
			t.Fatalf("%d ejections of 35 replicas at a failure rate of %v in 10,500 requests", total, rate)
		}
	})
}

// A service-wide failure rate of 1 % must not eject any replica.
func TestLowFailureRateDoesNotEject(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	baseline := &Baseline{}
	for range 35 {
		detector := &Detector{}
		for i := range 600 {
			outcome := failingWith(0.01, random)(0)
			detector.Add(outcome, baseline.FailureRate(), time.Duration(i)*10*time.Millisecond)
			baseline.Add(outcome)
			is.True(!detector.Ejected())
		}
	}
	is.True(baseline.FailureRate() < 0.05)
}

// At a high known baseline no replica may be ejected.
func TestHighBaselineDoesNotEject(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.3, 1).Draw(t, "failure rate")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		_, _, ejections := simulate(&Detector{}, 1000, 10*time.Millisecond, rate, failingWith(rate, random))
		if ejections > 0 {
			t.Fatalf("%d ejections", ejections)
		}
	})
}

// An ejected replica gets one probe at a time, then more with each success, and is
// reinstated after enough of them.
func TestSuccessfulProbesReinstate(t *testing.T) {
	is := is.New(t)
	detector := &Detector{}
	for range 3 {
		detector.Add(NoResponse, 0, time.Second)
	}
	is.True(detector.Ejected())
	now := time.Second + initialProbeDelay - 1
	is.Equal(detector.Probe(0, now), NoProbe)
	now++
	is.Equal(detector.Probe(1, now), NoProbe) // another one is under way
	is.Equal(detector.Probe(0, now), SafeProbe)
	detector.StartProbe(now)
	is.Equal(detector.Probe(0, now), NoProbe)
	is.Equal(detector.Probe(0, now+safeProbeWindow), AnyProbe)
	is.Equal(detector.Add(Success, 0, now), Unchanged)
	now += successProbeDelay
	is.Equal(detector.Probe(1, now), SafeProbe)
	for range minProbeSuccesses - 2 {
		is.Equal(detector.Add(Success, 0, now), Unchanged)
	}
	is.Equal(detector.Add(Success, 0, now), NowReinstated)
	is.True(!detector.Ejected())
}

// Unknown outcome values must not change the state.
func TestUnknownOutcomesAreIgnored(t *testing.T) {
	is := is.New(t)
	detector := &Detector{}
	for range 100 {
		is.Equal(detector.Add(0, 0, 0), Unchanged)
		is.Equal(detector.Add(99, 0, 0), Unchanged)
	}
	is.Equal(*detector, Detector{})
}

// A replica that fails periodically must get few requests while it fails.
func TestFlappingReplicaGetsFewRequestsWhileFailing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		period := time.Duration(rapid.IntRange(300, 4000).Draw(t, "period")) * time.Millisecond
		down := func(now time.Duration) Outcome {
			if now/period%2 == 1 {
				return Unreachable
			}
			return Success
		}
		const offered = 2000 // in 20 s, half of them in bad times
		got, failed, _ := simulate(&Detector{}, offered, 10*time.Millisecond, 0, down)
		if failed > offered/2/8 || got == failed {
			t.Fatalf("%d of %d requests failed", failed, got)
		}
	})
}

// The fraction of ejected replicas is limited for services of any size.
func TestEjectionLimit(t *testing.T) {
	is := is.New(t)
	is.True(!ExceedsEjectionLimit(0, 0))
	is.True(!ExceedsEjectionLimit(14, 35))
	is.True(ExceedsEjectionLimit(15, 35))
	is.True(ExceedsEjectionLimit(1, 1))
	is.True(ExceedsEjectionLimit(1, 2))
	is.True(!ExceedsEjectionLimit(1, 3))
}

// Requests stuck at an unresponsive replica until their timeout must not block probes for
// that long.
func TestStuckRequestsBlockProbesBriefly(t *testing.T) {
	is := is.New(t)
	detector := &Detector{}
	for range 3 {
		detector.Add(NoResponse, 0, time.Second)
	}
	const left = 8
	is.Equal(detector.Probe(left, time.Second+stuckAfter-1), NoProbe)
	now := time.Second + stuckAfter
	is.True(detector.Probe(left, now) != NoProbe)
	detector.StartProbe(now)
	is.Equal(detector.Probe(left+1, now+stuckAfter-1), NoProbe)
	is.True(detector.Probe(left+1, now+stuckAfter) != NoProbe)
}

// Successes of requests sent before the ejection must not reinstate the replica.
func TestRequestsFromBeforeEjectionDoNotReinstate(t *testing.T) {
	is := is.New(t)
	detector := &Detector{}
	for range 3 {
		detector.Add(ErrorResponse, 0, time.Second)
	}
	for range 2 * maxProbeSuccesses {
		is.Equal(detector.Add(Success, 0, time.Second), Unchanged)
	}
	is.True(detector.Ejected())
}

// The probe interval must stay bounded, even if only non-retryable requests arrive.
func TestProbeIntervalIsBounded(t *testing.T) {
	const most = maxProbeDelay + maxProbeDelay/2 + safeProbeWindow
	is := is.New(t)
	detector := &Detector{}
	for range 3 {
		detector.Add(ErrorResponse, 0, time.Second)
	}
	now := time.Second
	for range 100 {
		is.Equal(detector.Probe(0, now+most), AnyProbe)
		now += most
		detector.StartProbe(now)
		detector.Add(ErrorResponse, 0, now)
	}
}
