package routednode

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/distance"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// TestEachRemoteZoneIsMeasuredPeriodically checks that the number of measurements does not
// depend on the number of nodes, and that a zone that does not respond keeps its default.
func TestEachRemoteZoneIsMeasuredPeriodically(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mutex sync.Mutex // zones are measured concurrently
		measurements := map[netip.Addr]int{}
		measured := &distances{
			paths: distance.NewMap("a", map[string]string{"a": "r1", "b": "r2", "dead": "r2"}), now: newClock(),
			logger: slog.New(slog.DiscardHandler),
			measure: func(_ context.Context, node netip.Addr) (time.Duration, bool) {
				mutex.Lock()
				defer mutex.Unlock()
				measurements[node]++
				return 60 * time.Millisecond, node.As4()[2] != 9
			},
		}
		var view membership.View
		for i := range 30 {
			zone := identity.Zone([]string{"a", "b", "dead"}[i%3])
			third := byte(i % 3)
			if zone == "dead" {
				third = 9
			}
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, third, byte(i)}), 1)
			view.Members = append(view.Members, membership.Member{Status: membership.Alive, Node: identity.Node{Zone: zone, PeerAddress: address}})
		}
		measured.setView(view)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		measured.run(ctx)
		synctest.Wait()
		is.Equal(measured.paths.PathTo("b"), distance.Path{Zone: "b", RoundTrip: 60 * time.Millisecond, OtherRegion: true, Measured: true})
		is.True(!measured.paths.PathTo("dead").Measured)
		total := 0
		for node, count := range measurements {
			is.True(node.As4()[2] != 0) // no node of its own zone
			if node.As4()[2] == 1 {
				total += count
			}
		}
		is.True(total >= 8 && total <= 12)
	})
}
