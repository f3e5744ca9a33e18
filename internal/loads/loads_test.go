package loads

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLoadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := rapid.MapOfN(rapid.Custom(func(t *rapid.T) ReplicaKey { return ReplicaKey(rapid.Uint32().Draw(t, "key")) }), rapid.Custom(func(t *rapid.T) Load {
			return Load{
				InFlight: rapid.IntRange(0, maxInFlight).Draw(t, "count"), Failing: rapid.Bool().Draw(t, "failing"),
				PendingTokens: pendingUnit * rapid.IntRange(0, maxPending).Draw(t, "unread"),
			}
		}), 0, maxEntries).Draw(t, "counts")
		decoded, err := Decode(Encode(counts))
		if err != nil || len(decoded) != len(counts) {
			t.Fatalf("%v, %v", decoded, err)
		}
		for key, count := range counts {
			if decoded[key] != count {
				t.Fatalf("%d: %v is not %v", key, decoded[key], count)
			}
		}
	})
}

func TestInvalidDatagramsAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		datagram := rapid.SliceOf(rapid.Byte()).Draw(t, "datagram")
		if counts, err := Decode(datagram); err == nil && len(datagram) != headerBytes+entryBytes*len(counts) {
			t.Fatalf("%v from %v", counts, datagram)
		}
	})
}

func TestNodesExchangeReports(t *testing.T) {
	is := is.New(t)
	open := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		return conn
	}
	first, second := open(), open()
	address := func(conn *net.UDPConn) netip.AddrPort { return netip.MustParseAddrPort(conn.LocalAddr().String()) }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	heard := make(chan map[ReplicaKey]Load, 10)
	start := func(own, other *net.UDPConn, counts map[ReplicaKey]Load) {
		exchange := &Gossiper{
			Conn: own, Peers: func() []netip.AddrPort { return []netip.AddrPort{address(other)} },
			Local: func() map[ReplicaKey]Load { return counts },
			OnReport: func(from netip.AddrPort, counts map[ReplicaKey]Load) {
				if from == address(first) {
					heard <- counts
				}
			},
		}
		go exchange.Run(ctx)
	}
	start(first, second, map[ReplicaKey]Load{HashReplica("a"): {InFlight: 3, PendingTokens: 2 * pendingUnit, Failing: true}})
	start(second, first, nil)
	select {
	case counts := <-heard:
		is.Equal(counts, map[ReplicaKey]Load{HashReplica("a"): {InFlight: 3, PendingTokens: 2 * pendingUnit, Failing: true}})
	case <-time.After(5 * time.Second):
		t.Fatal("nothing heard")
	}
}

func TestNoReportsBelowMinCoverage(t *testing.T) {
	is := is.New(t)
	is.True(Coverage(388) >= minCoverage)
	is.True(Coverage(984) < minCoverage)
}

func TestSampleMatchesCoverage(t *testing.T) {
	is := is.New(t)
	is.Equal(Coverage(fanout), 1.0)
	const others = 380
	reached := map[netip.AddrPort]bool{}
	for range int(ReportTTL / SendInterval) {
		targets := make([]netip.AddrPort, 0, others)
		for i := range others {
			targets = append(targets, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1))
		}
		drawn := sample(targets)
		is.Equal(len(drawn), fanout)
		for _, target := range drawn {
			reached[target] = true
		}
	}
	share := float64(len(reached)) / others
	is.True(share > Coverage(others)*0.8 && share < Coverage(others)*1.2)
}
