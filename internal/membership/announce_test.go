package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// announcedBound is how soon all nodes in touch must know what some have announced.
const announcedBound = 300 * time.Millisecond

// announced tells whether a node of that index has announced something.
func announced(index int) bool { return index%3 == 0 }

// announcementsKnown returns how many of the announcements a node has heard.
func (s *simulation) announcementsKnown(n *simulated) int {
	known := 0
	for i, other := range s.nodes {
		if announced(i) && n.state.records[other.node.Name].tableVersion == 1 {
			known++
		}
	}
	return known
}

// announcementsKnownByAll returns the sum over all nodes, and the fewest of one.
func (s *simulation) announcementsKnownByAll() (sum, fewest int) {
	fewest = len(s.nodes)
	for _, n := range s.nodes {
		known := s.announcementsKnown(n)
		sum, fewest = sum+known, min(fewest, known)
	}
	return sum, fewest
}

// TestAnnouncedInfoReachesAllSoon: a third of the nodes tell the others something at once, while
// one datagram in twenty is lost; what was lost comes by the others' news.
func TestAnnouncedInfoReachesAllSoon(t *testing.T) {
	for _, count := range []int{3, 80} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(count, 3, 5)
			is.True(s.run(time.Minute, s.agreed))
			s.loss = 0.05
			for i, n := range s.nodes {
				if announced(i) {
					s.send(n, n.state.BroadcastInfo(1, 700, true))
				}
			}
			told := (count + 2) / 3
			is.True(s.run(announcedBound, func() bool {
				sum, _ := s.announcementsKnownByAll()
				return sum*100 >= told*count*94
			}))
			is.True(s.run(5*time.Second, func() bool {
				_, fewest := s.announcementsKnownByAll()
				return fewest == told
			}))
			is.Equal(s.deaths(), uint64(0))
		})
	}
}

// TestAnnouncedInfoOfANodeThatHasLeftIsNotTold.
func TestAnnouncedInfoOfANodeThatHasLeftIsNotTold(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, 1, 5)
	is.True(s.run(time.Minute, s.agreed))
	s.nodes[0].state.Leave()
	is.Equal(len(s.nodes[0].state.BroadcastInfo(1, 700, true)), 0)
}
