package storebreaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The simulation runs the writers of all nodes of a cluster, one for each partition, in steps
// of virtual time. Each writer has a new record soon after the last one is written. The store
// is unavailable from outageStart to outageEnd.
const (
	siteStep    = 5 * time.Millisecond
	outageStart = 2 * time.Second
	outageEnd   = outageStart + 7*time.Second
	// detectedAfter is when all nodes have detected the outage.
	detectedAfter = longestThinkTime + 500*time.Millisecond
	// recoveredWithin is when all nodes work again.
	recoveredWithin  = 500 * time.Millisecond
	siteReads        = 6000.0
	siteWrites       = 1500.0
	siteNodes        = 89
	sitePartitions   = 24
	minRetryPause    = 40 * time.Millisecond
	maxRetryPause    = 400 * time.Millisecond
	hintPause        = 500 * time.Millisecond
	callTime         = 10 * time.Millisecond
	hangTime         = 120 * time.Millisecond
	longestThinkTime = 2 * time.Second
)

// writer writes to one partition of one node. A call is in progress while answer is set.
type writer struct {
	next, answer, pause time.Duration
	answered            bool
	// due is when the newest record was created, written when the previous one was written.
	due, written time.Duration
}

type siteNode struct {
	breaker *Breaker
	writers []*writer
	// unavailableSteps counts the steps in which the store did not answer the node, according
	// to its breaker.
	unavailableSteps int
}

type site struct {
	random *rand.Rand
	nodes  []*siteNode
	now    time.Duration
	// answers returns whether a call that goes out now is answered, and its duration.
	answers func(s *site, node, partition int) (bool, time.Duration)
	// calls counts the calls after all nodes have detected the outage, and refused those that
	// were not answered.
	calls, refused int
}

func newSite(seed uint64, answers func(s *site, node, partition int) (bool, time.Duration)) *site {
	created := &site{random: rand.New(rand.NewPCG(seed, 1)), answers: answers}
	for range siteNodes {
		node := &siteNode{breaker: New(siteReads)}
		for range sitePartitions {
			due := time.Duration(created.random.Int64N(int64(longestThinkTime)))
			node.writers = append(node.writers, &writer{due: due, next: due, pause: minRetryPause})
		}
		created.nodes = append(created.nodes, node)
	}
	return created
}

func (s *site) inOutage() bool { return s.now >= outageStart && s.now < outageEnd }

func (s *site) conditions() Conditions {
	return Conditions{Now: s.now, Nodes: siteNodes, Random: s.random.Float64()}
}

func (s *site) run(until time.Duration) {
	for ; s.now < until; s.now += siteStep {
		for number, node := range s.nodes {
			for _, partition := range s.random.Perm(sitePartitions) {
				s.step(number, node, partition)
			}
			if !node.breaker.NodeAnswered(s.conditions()) {
				node.unavailableSteps++
			}
		}
		if s.now%hintPause == 0 {
			s.hint()
		}
	}
}

// hint makes each node to which the store is unavailable query two others, as the relay does.
func (s *site) hint() {
	for _, node := range s.nodes {
		for range 2 {
			if s.nodes[s.random.IntN(siteNodes)].breaker.NodeAnswered(s.conditions()) {
				node.breaker.PeerAnswered(s.conditions())
			}
		}
	}
}

func (s *site) step(number int, node *siteNode, partition int) {
	w := node.writers[partition]
	if s.now < w.next {
		return
	}
	if w.answer > 0 {
		s.end(node, w, partition)
		return
	}
	decision := node.breaker.Admit(place(partition), true, s.conditions())
	if !decision.Allow {
		w.next = s.now + min(decision.RetryAfter, siteStep)
		return
	}
	answered, after := s.answers(s, number, partition)
	if s.now >= outageStart+detectedAfter && s.now < outageEnd {
		s.calls++
		if !answered {
			s.refused++
		}
	}
	w.answered, w.answer, w.next = answered, s.now+after, s.now+after
}

func (s *site) end(node *siteNode, w *writer, partition int) {
	w.answer = 0
	node.breaker.Record(place(partition), w.answered, s.conditions())
	if w.answered {
		w.written, w.pause = s.now, minRetryPause
		w.due = s.now + time.Duration(s.random.Int64N(int64(longestThinkTime)))
		w.next = w.due
		return
	}
	pause := minRetryPause
	if node.breaker.Answered(place(partition), s.conditions()) {
		pause = w.pause
		w.pause = min(2*w.pause, maxRetryPause)
	}
	w.next = s.now + pause/2 + time.Duration(s.random.Int64N(int64(pause)))
}

// unwritten returns how many nodes have an unwritten record that was created before a time.
func (s *site) unwritten(before time.Duration) int {
	unwritten := 0
	for _, node := range s.nodes {
		for _, w := range node.writers {
			if w.due < before && w.written < w.due {
				unwritten++
				break
			}
		}
	}
	return unwritten
}

func busy(s *site, _, _ int) (bool, time.Duration) { return !s.inOutage(), callTime }

func silent(s *site, _, _ int) (bool, time.Duration) {
	if s.inOutage() {
		return false, hangTime
	}
	return true, callTime
}

// partialOutage makes some partitions unavailable.
func partialOutage(s *site, _, partition int) (bool, time.Duration) {
	return !s.inOutage() || partition%3 > 0, callTime
}

// TestFewCallsWhileStoreIsUnavailable checks that the calls of all nodes stay within
// probeFraction of the store's capacity once the outage is detected, and that all nodes work
// again soon after the recovery.
func TestFewCallsWhileStoreIsUnavailable(t *testing.T) {
	for name, answers := range map[string]func(*site, int, int) (bool, time.Duration){"busy": busy, "silent": silent, "partly": partialOutage} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			simulated := newSite(1, answers)
			simulated.run(outageEnd)
			allowed := (siteReads + siteWrites) * probeFraction * (outageEnd - outageStart - detectedAfter).Seconds()
			t.Logf("%d refused of %d calls, %.0f allowed", simulated.refused, simulated.calls, allowed)
			is.True(float64(simulated.refused) <= allowed)
			simulated.run(outageEnd + recoveredWithin)
			is.Equal(simulated.unwritten(outageEnd), 0)
		})
	}
}

// TestAvailablePartitionsAreUsed checks that a partial outage is not taken for one of the whole
// store.
func TestAvailablePartitionsAreUsed(t *testing.T) {
	is := is.New(t)
	simulated := newSite(2, partialOutage)
	simulated.run(outageEnd)
	steps := 0
	for _, node := range simulated.nodes {
		steps += node.unavailableSteps
		is.True(node.unavailableSteps <= int(2*time.Second/siteStep)) // until another partition is probed
		for partition, w := range node.writers {
			if partition%3 > 0 {
				is.True(w.written > outageEnd-longestThinkTime-recoveredWithin)
			}
		}
	}
	is.True(steps <= siteNodes*int((outageEnd-outageStart)/siteStep)/100)
}

// TestRefusedNodesDoNotAffectOthers covers a store that refuses a third of the nodes.
func TestRefusedNodesDoNotAffectOthers(t *testing.T) {
	is := is.New(t)
	turned := func(s *site, node, _ int) (bool, time.Duration) { return !s.inOutage() || node%3 > 0, callTime }
	simulated := newSite(3, turned)
	simulated.run(outageEnd)
	for number, node := range simulated.nodes {
		is.Equal(node.breaker.NodeAnswered(simulated.conditions()), number%3 > 0)
		is.True(number%3 == 0 || node.unavailableSteps == 0)
	}
	// Refused nodes probe, and once more for each report of a peer.
	alone := float64(siteNodes/3 + 1)
	allowed := alone * (outageEnd - outageStart).Seconds() * (1/simulated.nodes[0].breaker.ProbePause(siteNodes).Seconds() + 1/hintPause.Seconds())
	is.True(float64(simulated.refused) <= allowed)
	simulated.run(outageEnd + recoveredWithin)
	is.Equal(simulated.unwritten(outageEnd), 0)
}

// TestLostResponsesDoNotOpenBreakers loses a third of the responses.
func TestLostResponsesDoNotOpenBreakers(t *testing.T) {
	is := is.New(t)
	lossy := func(s *site, _, _ int) (bool, time.Duration) {
		if s.inOutage() && s.random.Float64() < 0.35 {
			return false, hangTime
		}
		return true, callTime
	}
	simulated := newSite(4, lossy)
	simulated.run(outageEnd)
	steps := 0
	for _, node := range simulated.nodes {
		steps += node.unavailableSteps
	}
	is.True(steps <= siteNodes*int((outageEnd-outageStart)/siteStep)/100)
	is.True(simulated.unwritten(outageEnd-longestThinkTime) == 0)
}
