package membership

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// minLive returns the smallest number of live members known to any node.
func (s *simulation) minLive() int {
	least := len(s.nodes)
	for _, n := range s.nodes {
		least = min(least, n.state.live)
	}
	return least
}

// recoveryBound is the time in which a site must serve again after the loss of all nodes.
const recoveryBound = 18 * time.Second

// 800 nodes start at once over links of 30 Mbit/s with one live seed and two stale ones.
func TestColdStartThroughOneSeed(t *testing.T) {
	const count = 800
	is := is.New(t)
	s := newSimulation(count, 5, 3)
	s.linkBytes = 30e6 / 8
	seeds := []netip.AddrPort{s.nodes[7].node.ProbeAddress, netip.MustParseAddrPort("10.9.9.1:7"), netip.MustParseAddrPort("10.9.9.2:7")}
	for _, n := range s.nodes {
		n.state.SetSeeds(seeds)
	}
	startedAt := s.now
	target := count * 98 / 100
	is.True(s.run(recoveryBound, func() bool { return s.minLive() >= target }))
	t.Logf("all nodes know 98 %% of the members after %v; %d datagrams and %d kB sent per node, %d datagrams lost", s.now.Sub(startedAt), s.sent/count, s.bytes/1000/count, s.lost)
}
