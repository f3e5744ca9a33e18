package origin

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"stepseam.example/stepseam/internal/emulator/nodes"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

// accepting is a peer.Client whose nodes store all records.
type accepting struct{ bytes, calls int }

// Call implements peer.Client.
func (c *accepting) Call(_ context.Context, _ netip.AddrPort, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	c.calls++
	c.bytes += len(nodes.Encode(request))
	return &noticeResponse{Stored: true}, nil
}

func viewOf(count int) membership.View {
	var view membership.View
	for i := range count {
		view.Members = append(view.Members, membership.Member{Status: membership.Alive, Node: identity.Node{
			Name: identity.NodeName(fmt.Sprint("front-", i)), Zone: identity.Zone(fmt.Sprint("z", i%6)),
		}})
	}
	return view
}

// BenchmarkAnnounce measures what a new stream costs before its first event is sent.
func BenchmarkAnnounce(b *testing.B) {
	for _, nodes := range []int{11, 90, 1000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			s := New(Config{Self: "front-0", Peers: &accepting{}, Now: func() time.Duration { return 0 }, Logger: slog.New(slog.DiscardHandler)})
			s.SetView(viewOf(nodes))
			for i := range b.N {
				s.Announce(KeyOf("tenant", fmt.Sprint(i%10000)), v1, 30*time.Second)
			}
		})
	}
}
