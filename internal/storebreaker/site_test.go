package storebreaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The model plays the writers of a site's nodes, one for each partition, each of which has
// a record to write again soon after the last one, against a store that is away from
// awayFrom to awayUntil, in steps of virtual time.
const (
	siteStep  = 5 * time.Millisecond
	awayFrom  = 2 * time.Second
	awayUntil = awayFrom + 7*time.Second
	// shownAfter is by when all nodes know that the store is away.
	shownAfter = longestThinkTime + 500*time.Millisecond
	// backWithin is by when all of them work again.
	backWithin       = 500 * time.Millisecond
	siteReads        = 6000.0
	siteWrites       = 1500.0
	siteNodes        = 89
	sitePartitions   = 24
	leastPause       = 40 * time.Millisecond
	mostPause        = 400 * time.Millisecond
	hintPause        = 500 * time.Millisecond
	callTime         = 10 * time.Millisecond
	hangTime         = 120 * time.Millisecond
	longestThinkTime = 2 * time.Second
)

// writer writes to one partition of one node; it calls while answer is set.
type writer struct {
	next, answer, pause time.Duration
	answered            bool
	// due is when its newest record came, written when the one before it was written.
	due, written time.Duration
}

type siteNode struct {
	gate    *Breaker
	writers []*writer
	// awayTime counts the steps at which the store did not answer it by its gate.
	awaySteps int
}

type site struct {
	random *rand.Rand
	nodes  []*siteNode
	now    time.Duration
	// answers tells whether a call that goes out now is answered, and after how long.
	answers func(s *site, node, partition int) (bool, time.Duration)
	// calls counts those of the time in which all nodes know that the store is away, by
	// whether the called partition answers.
	calls, refused int
}

func newSite(seed uint64, answers func(s *site, node, partition int) (bool, time.Duration)) *site {
	made := &site{random: rand.New(rand.NewPCG(seed, 1)), answers: answers}
	for range siteNodes {
		node := &siteNode{gate: New(siteReads)}
		for range sitePartitions {
			due := time.Duration(made.random.Int64N(int64(longestThinkTime)))
			node.writers = append(node.writers, &writer{due: due, next: due, pause: leastPause})
		}
		made.nodes = append(made.nodes, node)
	}
	return made
}

func (s *site) away() bool { return s.now >= awayFrom && s.now < awayUntil }

func (s *site) situation() Conditions {
	return Conditions{Now: s.now, Nodes: siteNodes, Random: s.random.Float64()}
}

func (s *site) run(until time.Duration) {
	for ; s.now < until; s.now += siteStep {
		for number, node := range s.nodes {
			for _, partition := range s.random.Perm(sitePartitions) {
				s.step(number, node, partition)
			}
			if !node.gate.NodeAnswered(s.situation()) {
				node.awaySteps++
			}
		}
		if s.now%hintPause == 0 {
			s.hint()
		}
	}
}

// hint has each node that is turned away ask two others, as the relay does.
func (s *site) hint() {
	for _, node := range s.nodes {
		for range 2 {
			if s.nodes[s.random.IntN(siteNodes)].gate.NodeAnswered(s.situation()) {
				node.gate.PeerAnswered(s.situation())
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
	decision := node.gate.Admit(place(partition), true, s.situation())
	if !decision.Allow {
		w.next = s.now + min(decision.RetryAfter, siteStep)
		return
	}
	answered, after := s.answers(s, number, partition)
	if s.now >= awayFrom+shownAfter && s.now < awayUntil {
		s.calls++
		if !answered {
			s.refused++
		}
	}
	w.answered, w.answer, w.next = answered, s.now+after, s.now+after
}

func (s *site) end(node *siteNode, w *writer, partition int) {
	w.answer = 0
	node.gate.Record(place(partition), w.answered, s.situation())
	if w.answered {
		w.written, w.pause = s.now, leastPause
		w.due = s.now + time.Duration(s.random.Int64N(int64(longestThinkTime)))
		w.next = w.due
		return
	}
	pause := leastPause
	if node.gate.Answered(place(partition), s.situation()) {
		pause = w.pause
		w.pause = min(2*w.pause, mostPause)
	}
	w.next = s.now + pause/2 + time.Duration(s.random.Int64N(int64(pause)))
}

// late returns how many nodes have a record that came before a time and is not written.
func (s *site) late(before time.Duration) int {
	late := 0
	for _, node := range s.nodes {
		for _, w := range node.writers {
			if w.due < before && w.written < w.due {
				late++
				break
			}
		}
	}
	return late
}

func busy(s *site, _, _ int) (bool, time.Duration) { return !s.away(), callTime }

func silent(s *site, _, _ int) (bool, time.Duration) {
	if s.away() {
		return false, hangTime
	}
	return true, callTime
}

// partly has some partitions away.
func partly(s *site, _, partition int) (bool, time.Duration) {
	return !s.away() || partition%3 > 0, callTime
}

// TestCallsOfASiteWhoseStoreIsAwayAreFew: once all nodes know, all of them make a twentieth
// of the calls that the store takes, and half a second after its return all work.
func TestCallsOfASiteWhoseStoreIsAwayAreFew(t *testing.T) {
	for name, answers := range map[string]func(*site, int, int) (bool, time.Duration){"busy": busy, "silent": silent, "partly": partly} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			played := newSite(1, answers)
			played.run(awayUntil)
			allowed := (siteReads + siteWrites) * probePart * (awayUntil - awayFrom - shownAfter).Seconds()
			t.Logf("%d refused of %d calls, %.0f allowed", played.refused, played.calls, allowed)
			is.True(float64(played.refused) <= allowed)
			played.run(awayUntil + backWithin)
			is.Equal(played.late(awayUntil), 0)
		})
	}
}

// TestPartsThatAnswerAreUsedWhileOthersAreAway: nobody takes the store for away as a whole.
func TestPartsThatAnswerAreUsedWhileOthersAreAway(t *testing.T) {
	is := is.New(t)
	played := newSite(2, partly)
	played.run(awayUntil)
	steps := 0
	for _, node := range played.nodes {
		steps += node.awaySteps
		is.True(node.awaySteps <= int(2*time.Second/siteStep)) // until one of the others is probed
		for partition, w := range node.writers {
			if partition%3 > 0 {
				is.True(w.written > awayUntil-longestThinkTime-backWithin)
			}
		}
	}
	is.True(steps <= siteNodes*int((awayUntil-awayFrom)/siteStep)/100)
}

// TestNodesThatAreTurnedAwayAloneLeaveTheOthersAlone: a third of the nodes get no answer.
func TestNodesThatAreTurnedAwayAloneLeaveTheOthersAlone(t *testing.T) {
	is := is.New(t)
	turned := func(s *site, node, _ int) (bool, time.Duration) { return !s.away() || node%3 > 0, callTime }
	played := newSite(3, turned)
	played.run(awayUntil)
	for number, node := range played.nodes {
		is.Equal(node.gate.NodeAnswered(played.situation()), number%3 > 0)
		is.True(number%3 == 0 || node.awaySteps == 0)
	}
	// They probe as all do, and once more at each word of a peer.
	alone := float64(siteNodes/3 + 1)
	allowed := alone * (awayUntil - awayFrom).Seconds() * (1/played.nodes[0].gate.ProbePause(siteNodes).Seconds() + 1/hintPause.Seconds())
	is.True(float64(played.refused) <= allowed)
	played.run(awayUntil + backWithin)
	is.Equal(played.late(awayUntil), 0)
}

// TestLostAnswersDontMakeTheStoreAway: of a third of the calls nothing is heard.
func TestLostAnswersDontMakeTheStoreAway(t *testing.T) {
	is := is.New(t)
	lossy := func(s *site, _, _ int) (bool, time.Duration) {
		if s.away() && s.random.Float64() < 0.35 {
			return false, hangTime
		}
		return true, callTime
	}
	played := newSite(4, lossy)
	played.run(awayUntil)
	steps := 0
	for _, node := range played.nodes {
		steps += node.awaySteps
	}
	is.True(steps <= siteNodes*int((awayUntil-awayFrom)/siteStep)/100)
	is.True(played.late(awayUntil-longestThinkTime) == 0)
}
