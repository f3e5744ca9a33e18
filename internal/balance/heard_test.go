package balance

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/loads"
)

// TestSumsAreThoseOfAllThatToldLately: whoever tells what and when, the sums are those of the
// newest word of each node that told within Life.
func TestSumsAreThoseOfAllThatToldLately(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHeard()
		newest := map[netip.AddrPort]otherNode{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(0, 5).Draw(t, "node"))}), 1)
			counts := map[loads.ReplicaKey]loads.Load{}
			for range rapid.IntRange(0, 3).Draw(t, "replicas") {
				key := loads.HashReplica(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "replica")))
				counts[key] = loads.Load{InFlight: rapid.IntRange(0, 9).Draw(t, "under way"), Failing: rapid.Bool().Draw(t, "failing")}
			}
			h.take(from, counts, 1, now)
			newest[from] = otherNode{at: now, counts: counts}
			for i := range 4 {
				name := fmt.Sprint(i)
				want := loads.Load{}
				for _, told := range newest {
					if now-told.at <= loads.ReportTTL {
						want = want.Add(told.counts[loads.HashReplica(name)])
					}
				}
				if have := h.load(name, now); have != want {
					t.Fatalf("%s has %+v, want %+v", name, have, want)
				}
			}
		}
	})
}
