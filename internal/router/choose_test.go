package router

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/lab/loopback"
	"stepseam.example/stepseam/internal/membership"
)

// unobserved is an aggregator.Observer that discards everything.
type unobserved struct{}

func (unobserved) QueryDone(time.Duration, int, int) {}
func (unobserved) Sent(int)                          {}
func (unobserved) Received(int)                      {}
func (unobserved) InvalidDatagram()                  {}

// joinAggregators connects the routers' aggregators with each other.
func joinAggregators(t *testing.T, routers ...*Router) {
	free, err := loopback.FreeAddress(loopback.ProcessIP())
	if err != nil {
		t.Fatal(err)
	}
	view := membership.View{}
	placements := make([]*aggregator.Placement, 0, len(routers))
	for number, router := range routers {
		address := netip.AddrPortFrom(loopback.ExtraIP(number), free.Port())
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			t.Fatal(err)
		}
		name := identity.NodeName(address.String())
		view.Members = append(view.Members, membership.Member{
			Node: identity.Node{Name: name, Zone: "near", PeerAddress: address}, Status: membership.Alive,
		})
		placement := aggregator.NewPlacement(name)
		placements = append(placements, placement)
		router.config.Keepers = aggregator.New(aggregator.Config{
			Conn: conn, Placement: placement, Now: router.config.Now, Observer: unobserved{},
		})
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go router.config.Keepers.Run(ctx)
	}
	for _, placement := range placements {
		placement.SetView(view)
	}
}

// A request must not be queued behind a long prompt that another node has sent.
func TestReplicaWithPendingPromptOfAnotherNodeIsAvoided(t *testing.T) {
	is := is.New(t)
	reading, release := make(chan bool, 1), make(chan bool)
	h := newHarness(t, func(exchange *replica.Exchange) bool {
		if exchange.Request.Header.Get("Test-Id") != "long" {
			return healthy(exchange)
		}
		reading <- true
		<-release
		return healthy(exchange)
	}, healthy)
	other := h.newRouter("other")
	other.SetConfiguration(h.router.Configuration())
	joinAggregators(t, h.router, other)
	second := httptest.NewServer(other)
	t.Cleanup(second.Close)

	done := make(chan answer)
	go func() { done <- h.post("/unsafe/", "long", "Test-Tokens", "90000,1", "Test-Prompt", "a:90000") }()
	<-reading
	time.Sleep(20 * time.Millisecond) // until the report has arrived
	first := h.server
	h.server = second
	is.Equal(h.post("/unsafe/", "short", "Test-Tokens", "100,1", "Test-Prompt", "b:100").StatusCode, http.StatusOK)
	h.server = first
	is.Equal(len(h.replicas[0].Received()), 1)
	is.Equal(len(h.replicas[1].Received()), 1)
	close(release)
	is.Equal((<-done).StatusCode, http.StatusOK)
}
