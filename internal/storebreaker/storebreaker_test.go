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

// at returns the conditions of a node that knows no other.
func at(now time.Duration) Conditions { return Conditions{Now: now, Nodes: 1, Random: 0.5} }

func TestBreakerOpensAfterRepeatedFailures(t *testing.T) {
	is := is.New(t)
	breaker := New(0)
	for range 10 {
		breaker.Record(place(0), false, at(0))
	}
	is.True(breaker.NodeAnswered(at(nodeOpenAfter - 1)))
	is.True(!breaker.NodeAnswered(at(nodeOpenAfter)))
	first := breaker.Admit(place(0), true, at(nodeOpenAfter))
	is.Equal(first, Decision{RetryAfter: minProbeInterval / 2}) // staggered
	is.Equal(breaker.Admit(place(1), false, at(nodeOpenAfter)), first)
	probed := nodeOpenAfter + minProbeInterval/2
	is.Equal(breaker.Admit(place(1), false, at(probed)), Decision{Allow: true, Probe: true})
	is.Equal(breaker.Admit(place(0), true, at(probed)), Decision{RetryAfter: minProbeInterval})
	is.True(!breaker.Admit(place(0), true, at(probed+minProbeInterval-1)).Allow)
	is.True(breaker.Admit(place(0), true, at(probed+minProbeInterval)).Probe)
	is.True(breaker.Record(place(0), true, at(time.Second)))
	is.True(breaker.NodeAnswered(at(time.Hour)))
	for i := range 10 {
		breaker.Record(place(0), false, at(time.Duration(i)*time.Second))
		breaker.Record(place(0), true, at(time.Duration(i)*time.Second))
	}
	is.True(breaker.NodeAnswered(at(time.Hour)))
}

// fail records failures on a partition from one time to another.
func fail(breaker *Breaker, number int, from, to time.Duration) {
	for now := from; now <= to; now += 50 * time.Millisecond {
		breaker.Record(place(number), false, at(now))
	}
}

func TestUnavailablePartitionIsProbedAlone(t *testing.T) {
	is := is.New(t)
	breaker := New(0)
	for now := time.Duration(0); now <= time.Second; now += 50 * time.Millisecond {
		breaker.Record(place(0), false, at(now))
		breaker.Record(place(1), true, at(now))
	}
	is.True(breaker.NodeAnswered(at(time.Second)))
	is.True(!breaker.Answered(place(0), at(time.Second)))
	is.True(breaker.Answered(place(1), at(time.Second)))
	is.Equal(breaker.Admit(place(1), true, at(time.Second)), Decision{Allow: true})
	is.True(!breaker.Admit(place(0), true, at(time.Second)).Allow)
	is.Equal(breaker.OpenPartitions(at(time.Second)), 1)
	fail(breaker, 0, time.Second, 3*time.Second)
	is.True(breaker.NodeAnswered(at(3 * time.Second))) // known failures imply nothing about other partitions
	is.True(breaker.Record(place(0), true, at(3*time.Second)))
	is.True(breaker.Answered(place(0), at(3*time.Second)))
}

// TestOneSuccessLetsOtherPartitionsTry checks that after a recovery of the whole store, a
// breaker opens again only after as many failures as at first. If the node's breaker was
// closed, the next failure opens it.
func TestOneSuccessLetsOtherPartitionsTry(t *testing.T) {
	for _, whole := range []bool{true, false} {
		is := is.New(t)
		breaker := New(0)
		for number := range 3 {
			fail(breaker, number, 0, time.Second)
		}
		is.True(!breaker.NodeAnswered(at(time.Second)))
		if !whole {
			breaker.node.answered()
		}
		oneSuccess(is, breaker)
		breaker.Record(place(1), false, at(time.Second+recoverySpread))
		is.Equal(breaker.Answered(place(1), at(time.Second+recoverySpread)), whole)
		is.True(breaker.NodeAnswered(at(time.Second + recoverySpread)))
	}
}

// oneSuccess records a success on one of three partitions with open breakers.
func oneSuccess(is *is.I, breaker *Breaker) {
	is.True(!breaker.Admit(place(1), true, at(time.Second)).Allow)
	is.True(breaker.Record(place(0), true, at(time.Second)))
	is.True(breaker.Answered(place(1), at(time.Second)))
	waiting := breaker.Admit(place(1), true, at(time.Second))
	is.Equal(waiting, Decision{RetryAfter: recoverySpread / 2}) // the delayed call is spread
	is.True(breaker.Admit(place(1), false, at(time.Second)).Allow)
	is.True(breaker.Admit(place(1), true, at(time.Second+recoverySpread/2)).Allow)
}

func TestPeerReportBringsProbeForward(t *testing.T) {
	is := is.New(t)
	breaker := New(1) // a probe every 20 s
	fail(breaker, 0, 0, time.Second)
	is.True(breaker.Admit(place(0), true, at(time.Second)).RetryAfter > time.Second)
	breaker.PeerAnswered(at(time.Second))
	is.True(breaker.Admit(place(0), true, at(time.Second)).Probe)
	breaker.PeerAnswered(at(time.Second))
	is.Equal(breaker.Admit(place(0), true, at(time.Second)), Decision{RetryAfter: minProbeInterval})
}

// TestOldFailuresAreIgnored checks that a node without calls for a while tries again.
func TestOldFailuresAreIgnored(t *testing.T) {
	is := is.New(t)
	breaker := New(0)
	fail(breaker, 0, 0, time.Second)
	is.True(!breaker.NodeAnswered(at(time.Second + failureTTL - 1)))
	is.True(breaker.NodeAnswered(at(time.Second + failureTTL)))
	is.True(breaker.Admit(place(0), true, at(time.Second+failureTTL)).Allow)
	breaker.Record(place(0), false, at(time.Second+failureTTL))
	is.True(!breaker.NodeAnswered(at(time.Second + failureTTL)))
}

// TestOldFailuresOfOtherPartitionsAreIgnoredAfterSuccess checks that a later refusal counts as
// the first one.
func TestOldFailuresOfOtherPartitionsAreIgnoredAfterSuccess(t *testing.T) {
	is := is.New(t)
	breaker := New(0)
	fail(breaker, 1, 0, time.Second)
	later := time.Second + failureTTL
	breaker.Record(place(0), true, at(later))
	breaker.Record(place(2), false, at(later+time.Millisecond))
	is.True(breaker.Answered(place(1), at(later+time.Millisecond)))
	is.True(breaker.Answered(place(2), at(later+time.Millisecond)))
}

func TestProbesOfAllNodesAreBounded(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		callsPerSecond float64
		nodes          int
		pause          time.Duration
	}{
		{0, 1, minProbeInterval},
		{0, 1000, minProbeInterval},
		{6000, 1, minProbeInterval},
		{6000, 45, minProbeInterval},
		{6000, 90, 300 * time.Millisecond},
		{2000, 1000, 10 * time.Second},
	} {
		is.Equal(New(c.callsPerSecond).ProbePause(c.nodes), c.pause)
	}
}

// invariants checks a breaker's decisions under random calls, outcomes and reports of peers.
type invariants struct {
	t       *rapid.T
	breaker *Breaker
	nodes   int
	// probed is when the last probe went out; hinted is set if a peer has reported since.
	probed time.Duration
	hinted bool
}

func (p *invariants) note(where logstore.Partition, answered bool, s Conditions) {
	if p.breaker.Record(where, answered, s) {
		p.probed, p.hinted = -time.Hour, false
	}
	if answered && !p.breaker.Answered(where, s) {
		p.t.Fatal("partition not answered after a success")
	}
}

func (p *invariants) ask(where logstore.Partition, waits bool, s Conditions) {
	answered := p.breaker.Answered(where, s)
	decision := p.breaker.Admit(where, waits, s)
	switch {
	case answered && !waits && !decision.Allow, answered && decision.Probe, !answered && decision.Allow != decision.Probe:
		p.t.Fatalf("answered %v, waits %v: %+v", answered, waits, decision)
	case !decision.Allow && (decision.RetryAfter <= 0 || decision.RetryAfter > max(recoverySpread, 2*p.breaker.ProbePause(p.nodes))):
		p.t.Fatalf("retry after %v", decision.RetryAfter)
	case decision.Probe:
		p.probe(s.Now)
	}
}

func (p *invariants) probe(now time.Duration) {
	minInterval := time.Duration(float64(p.breaker.ProbePause(p.nodes)) * (1 - probeJitter))
	if p.hinted {
		minInterval = min(minInterval, minProbeInterval)
	}
	if pause := now - p.probed; pause < minInterval {
		p.t.Fatalf("%v between two probes", pause)
	}
	p.probed, p.hinted = now, false
}

func TestBreakerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &invariants{
			t: t, breaker: New(float64(rapid.SampledFrom([]int{0, 200, 6000}).Draw(t, "calls"))),
			nodes: rapid.IntRange(1, 200).Draw(t, "members"), probed: -time.Hour,
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pause"))
			s := Conditions{Now: now, Nodes: p.nodes, Random: rapid.Float64Range(0, 0.999).Draw(t, "draw")}
			where := place(rapid.IntRange(0, 4).Draw(t, "partition"))
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what < 5:
				p.note(where, what == 4, s)
			case what == 5:
				p.breaker.PeerAnswered(s)
				p.hinted = true
			default:
				p.ask(where, what < 8, s)
			}
		}
	})
}
