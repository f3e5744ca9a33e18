package balance

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/loads"
)

// For any sequence of reports, the sums must equal those of each node's last report that
// has not expired.
func TestLoadSumsMatchCurrentReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newPeerLoads()
		newest := map[netip.AddrPort]peerReport{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(0, 5).Draw(t, "node"))}), 1)
			counts := map[loads.ReplicaKey]loads.Load{}
			for range rapid.IntRange(0, 3).Draw(t, "replicas") {
				key := loads.HashReplica(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "replica")))
				counts[key] = loads.Load{InFlight: rapid.IntRange(0, 9).Draw(t, "in flight"), Failing: rapid.Bool().Draw(t, "failing")}
			}
			h.set(from, counts, 1, now)
			newest[from] = peerReport{at: now, counts: counts}
			for i := range 4 {
				name := fmt.Sprint(i)
				want := loads.Load{}
				for _, report := range newest {
					if now-report.at <= loads.ReportTTL {
						want = want.Add(report.counts[loads.HashReplica(name)])
					}
				}
				if got := h.load(name, now); got != want {
					t.Fatalf("%s has %+v, want %+v", name, got, want)
				}
			}
		}
	})
}
