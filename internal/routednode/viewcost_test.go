package routednode

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/coldstart"
	"stepseam.example/stepseam/internal/coordinator"
	"stepseam.example/stepseam/internal/distribution"
	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/limits"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/quota"
)

// BenchmarkView measures the cost of a new membership view for each component.
func BenchmarkView(b *testing.B) {
	for _, count := range []int{100, 1000, 2000} {
		view := membership.View{}
		for i := range count {
			view.Members = append(view.Members, membership.Member{Status: membership.Alive, Load: uint32(i % 5), Node: identity.Node{
				Name: identity.NodeName(fmt.Sprintf("front-zone-%04d", i)), Zone: identity.Zone(fmt.Sprint("z", i%5)), Incarnation: 1,
				PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7),
			}})
		}
		logger := slog.New(slog.DiscardHandler)
		ledger := ledgerlog.New(ledgerlog.Config{Store: store.New(), Topic: "l", TextTopic: "t", Partitions: 24, RecordBytes: 1 << 16, CallBytes: 1 << 20, Logger: logger})
		parts := map[string]func(membership.View){
			"homes":     coordinator.New(coordinator.Config{Self: "front-zone-0001", Ledger: ledger, Logger: logger}).SetView,
			"keepers":   aggregator.NewPlacement("front-zone-0001").SetView,
			"limits":    limits.New(limits.Config{Self: "front-zone-0001", Strategy: "allocator", Policy: quota.Policy{Window: time.Second}, Now: func() time.Duration { return 0 }, Logger: logger, Registerer: prometheus.NewRegistry()}).SetView,
			"readers":   (&frequentReader{self: "front-zone-0001"}).SetView,
			"distances": (&distances{}).setView,
			"topics": distribution.New(distribution.Config{
				Self: "front-zone-0001", Logger: logger, Policy: distribution.Policy{ReadEntries: 1},
				Subscriptions: []distribution.Subscription{{Topic: distribution.NewTopic("t")}},
			}).SetView,
		}
		gate := coldstart.NewLimiter("front-zone-0001")
		parts["cold"] = func(view membership.View) { gate.SetView(view, 0) }
		for name, setView := range parts {
			b.Run(fmt.Sprint(name, "/", count), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					setView(view)
				}
			})
		}
	}
}
