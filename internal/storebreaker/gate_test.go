package storebreaker

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/logstore"
)

func place(number int) logstore.Partition {
	return logstore.Partition{Topic: "work", Number: number}
}

// at is a situation of a node that knows no other.
func at(now time.Duration) Conditions { return Conditions{Now: now, Nodes: 1, Random: 0.5} }

func TestStoreIsAwayAfterFailuresForSomeTime(t *testing.T) {
	is := is.New(t)
	gate := New(0)
	for range 10 {
		gate.Record(place(0), false, at(0))
	}
	is.True(gate.NodeAnswered(at(nodeAwayAfter - 1)))
	is.True(!gate.NodeAnswered(at(nodeAwayAfter)))
	first := gate.Admit(place(0), true, at(nodeAwayAfter))
	is.Equal(first, Decision{RetryAfter: leastProbePause / 2}) // staggered
	is.Equal(gate.Admit(place(1), false, at(nodeAwayAfter)), first)
	probed := nodeAwayAfter + leastProbePause/2
	is.Equal(gate.Admit(place(1), false, at(probed)), Decision{Allow: true, Probe: true})
	is.Equal(gate.Admit(place(0), true, at(probed)), Decision{RetryAfter: leastProbePause})
	is.True(!gate.Admit(place(0), true, at(probed+leastProbePause-1)).Allow)
	is.True(gate.Admit(place(0), true, at(probed+leastProbePause)).Probe)
	is.True(gate.Record(place(0), true, at(time.Second)))
	is.True(gate.NodeAnswered(at(time.Hour)))
	for i := range 10 {
		gate.Record(place(0), false, at(time.Duration(i)*time.Second))
		gate.Record(place(0), true, at(time.Duration(i)*time.Second))
	}
	is.True(gate.NodeAnswered(at(time.Hour)))
}

// fail has calls on a partition fail from one time to another.
func fail(gate *Breaker, number int, from, to time.Duration) {
	for now := from; now <= to; now += 50 * time.Millisecond {
		gate.Record(place(number), false, at(now))
	}
}

func TestPartitionThatAnswersNothingIsProbedAlone(t *testing.T) {
	is := is.New(t)
	gate := New(0)
	for now := time.Duration(0); now <= time.Second; now += 50 * time.Millisecond {
		gate.Record(place(0), false, at(now))
		gate.Record(place(1), true, at(now))
	}
	is.True(gate.NodeAnswered(at(time.Second)))
	is.True(!gate.Answered(place(0), at(time.Second)))
	is.True(gate.Answered(place(1), at(time.Second)))
	is.Equal(gate.Admit(place(1), true, at(time.Second)), Decision{Allow: true})
	is.True(!gate.Admit(place(0), true, at(time.Second)).Allow)
	is.Equal(gate.OpenPartitions(at(time.Second)), 1)
	fail(gate, 0, time.Second, 3*time.Second)
	is.True(gate.NodeAnswered(at(3 * time.Second))) // known failures say nothing of the others
	is.True(gate.Record(place(0), true, at(3*time.Second)))
	is.True(gate.Answered(place(0), at(3*time.Second)))
}

// TestOneSuccessLetsTheOthersTry: each partition may show that it is back. Where the node
// was answered, the next failure opens its breaker again; where it was not, it takes as much
// as at first.
func TestOneSuccessLetsTheOthersTry(t *testing.T) {
	for _, whole := range []bool{true, false} {
		is := is.New(t)
		gate := New(0)
		for number := range 3 {
			fail(gate, number, 0, time.Second)
		}
		is.True(!gate.NodeAnswered(at(time.Second)))
		if !whole {
			gate.node.answered()
		}
		oneSuccess(is, gate)
		gate.Record(place(1), false, at(time.Second+returnSpread))
		is.Equal(gate.Answered(place(1), at(time.Second+returnSpread)), whole)
		is.True(gate.NodeAnswered(at(time.Second + returnSpread)))
	}
}

// oneSuccess has one of three partitions that are away answer.
func oneSuccess(is *is.I, gate *Breaker) {
	is.True(!gate.Admit(place(1), true, at(time.Second)).Allow)
	is.True(gate.Record(place(0), true, at(time.Second)))
	is.True(gate.Answered(place(1), at(time.Second)))
	waiting := gate.Admit(place(1), true, at(time.Second))
	is.Equal(waiting, Decision{RetryAfter: returnSpread / 2}) // it has waited, and is spread
	is.True(gate.Admit(place(1), false, at(time.Second)).Allow)
	is.True(gate.Admit(place(1), true, at(time.Second+returnSpread/2)).Allow)
}

func TestPeersWordBringsTheNextProbeForward(t *testing.T) {
	is := is.New(t)
	gate := New(1) // a probe in 20 s
	fail(gate, 0, 0, time.Second)
	is.True(gate.Admit(place(0), true, at(time.Second)).RetryAfter > time.Second)
	gate.PeerAnswered(at(time.Second))
	is.True(gate.Admit(place(0), true, at(time.Second)).Probe)
	gate.PeerAnswered(at(time.Second))
	is.Equal(gate.Admit(place(0), true, at(time.Second)), Decision{RetryAfter: leastProbePause})
}

// TestOldFailuresSayNothing: a node that has had nothing to ask for a while tries.
func TestOldFailuresSayNothing(t *testing.T) {
	is := is.New(t)
	gate := New(0)
	fail(gate, 0, 0, time.Second)
	is.True(!gate.NodeAnswered(at(time.Second + staleTime - 1)))
	is.True(gate.NodeAnswered(at(time.Second + staleTime)))
	is.True(gate.Admit(place(0), true, at(time.Second+staleTime)).Allow)
	gate.Record(place(0), false, at(time.Second+staleTime))
	is.True(!gate.NodeAnswered(at(time.Second + staleTime)))
}

// TestOldFailuresOfOtherPartitionsSayNothingAfterAnAnswer: single refusals later are the first
// ones.
func TestOldFailuresOfOtherPartitionsSayNothingAfterAnAnswer(t *testing.T) {
	is := is.New(t)
	gate := New(0)
	fail(gate, 1, 0, time.Second)
	later := time.Second + staleTime
	gate.Record(place(0), true, at(later))
	gate.Record(place(2), false, at(later+time.Millisecond))
	is.True(gate.Answered(place(1), at(later+time.Millisecond)))
	is.True(gate.Answered(place(2), at(later+time.Millisecond)))
}

func TestProbesOfAllNodesStayWithinTheirPart(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		callsPerSecond float64
		members        int
		pause          time.Duration
	}{
		{0, 1, leastProbePause},
		{0, 1000, leastProbePause},
		{6000, 1, leastProbePause},
		{6000, 45, leastProbePause},
		{6000, 90, 300 * time.Millisecond},
		{2000, 1000, 10 * time.Second},
	} {
		is.Equal(New(c.callsPerSecond).ProbePause(c.members), c.pause)
	}
}

// promises checks a gate's decisions while calls, outcomes and words of peers are random.
type promises struct {
	t       *rapid.T
	gate    *Breaker
	members int
	// probed is when the last probe went out, hinted tells that a peer has said something
	// since.
	probed time.Duration
	hinted bool
}

func (p *promises) note(where logstore.Partition, answered bool, s Conditions) {
	if p.gate.Record(where, answered, s) {
		p.probed, p.hinted = -time.Hour, false
	}
	if answered && !p.gate.Answered(where, s) {
		p.t.Fatal("not answered after an answer")
	}
}

func (p *promises) ask(where logstore.Partition, waits bool, s Conditions) {
	answered := p.gate.Answered(where, s)
	decision := p.gate.Admit(where, waits, s)
	switch {
	case answered && !waits && !decision.Allow, answered && decision.Probe, !answered && decision.Allow != decision.Probe:
		p.t.Fatalf("answered %v, waits %v: %+v", answered, waits, decision)
	case !decision.Allow && (decision.RetryAfter <= 0 || decision.RetryAfter > max(returnSpread, 2*p.gate.ProbePause(p.members))):
		p.t.Fatalf("to ask again after %v", decision.RetryAfter)
	case decision.Probe:
		p.probe(s.Now)
	}
}

func (p *promises) probe(now time.Duration) {
	least := time.Duration(float64(p.gate.ProbePause(p.members)) * (1 - probeSpread))
	if p.hinted {
		least = min(least, leastProbePause)
	}
	if pause := now - p.probed; pause < least {
		p.t.Fatalf("%v between two probes", pause)
	}
	p.probed, p.hinted = now, false
}

func TestGateHoldsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &promises{
			t: t, gate: New(float64(rapid.SampledFrom([]int{0, 200, 6000}).Draw(t, "calls"))),
			members: rapid.IntRange(1, 200).Draw(t, "members"), probed: -time.Hour,
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pause"))
			s := Conditions{Now: now, Nodes: p.members, Random: rapid.Float64Range(0, 0.999).Draw(t, "draw")}
			where := place(rapid.IntRange(0, 4).Draw(t, "partition"))
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 5:
				p.note(where, what == 4, s)
			case what == 5:
				p.gate.PeerAnswered(s)
				p.hinted = true
			default:
				p.ask(where, what < 8, s)
			}
		}
	})
}
