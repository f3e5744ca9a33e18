package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// broadcastBound is how soon broadcasts must have reached nearly all nodes.
const broadcastBound = 300 * time.Millisecond

// isBroadcaster reports whether the node with an index broadcasts.
func isBroadcaster(index int) bool { return index%3 == 0 }

// broadcastsReceived returns the number of broadcasts that a node has received.
func (s *simulation) broadcastsReceived(n *simulatedNode) int {
	received := 0
	for i, other := range s.nodes {
		if isBroadcaster(i) && n.state.records[other.node.Name].tableVersion == 1 {
			received++
		}
	}
	return received
}

// broadcastsReceivedByAll returns the sum over all nodes and the minimum.
func (s *simulation) broadcastsReceivedByAll() (sum, minimum int) {
	minimum = len(s.nodes)
	for _, n := range s.nodes {
		received := s.broadcastsReceived(n)
		sum, minimum = sum+received, min(minimum, received)
	}
	return sum, minimum
}

// A third of the nodes broadcast at once under loss of 5 %. Gossip must compensate for lost
// datagrams.
func TestBroadcastInfoReachesAllNodes(t *testing.T) {
	for _, count := range []int{3, 80} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(count, 3, 5)
			is.True(s.run(time.Minute, s.converged))
			s.loss = 0.05
			for i, n := range s.nodes {
				if isBroadcaster(i) {
					s.send(n, n.state.BroadcastInfo(1, 700, true))
				}
			}
			broadcasters := (count + 2) / 3
			is.True(s.run(broadcastBound, func() bool {
				sum, _ := s.broadcastsReceivedByAll()
				return sum*100 >= broadcasters*count*94
			}))
			is.True(s.run(5*time.Second, func() bool {
				_, minimum := s.broadcastsReceivedByAll()
				return minimum == broadcasters
			}))
			is.Equal(s.deaths(), uint64(0))
		})
	}
}

func TestBroadcastInfoAfterLeaveSendsNothing(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, 1, 5)
	is.True(s.run(time.Minute, s.converged))
	s.nodes[0].state.Leave()
	is.Equal(len(s.nodes[0].state.BroadcastInfo(1, 700, true)), 0)
}
