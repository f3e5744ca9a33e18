package routednode

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/evacuation"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/router"
	"stepseam.example/stepseam/internal/routing"
	"stepseam.example/stepseam/internal/wire"
)

func TestAgeCountsFromTheNewestConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fresh := &freshness{}
		_, known := fresh.Age()
		is.True(!known)
		began := time.Now()
		time.Sleep(time.Second)
		fresh.confirm(began.Add(800 * time.Millisecond))
		fresh.confirm(began) // an older confirmation that arrives later
		age, known := fresh.Age()
		is.True(known)
		is.Equal(age, 200*time.Millisecond)
		fresh.setUsable(false)
		_, known = fresh.Age()
		is.True(!known) // a newer configuration exists that this node could not decode
		fresh.setUsable(true)
		_, known = fresh.Age()
		is.True(known)
	})
}

func TestPeerConfirmsOnlyCurrentConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := &views{router: router.New(router.Config{Now: newClock(), Registerer: prometheus.NewRegistry()}), freshness: &freshness{}, logger: slog.New(slog.DiscardHandler)}
		v.router.SetConfiguration(&routing.Configuration{Version: 7})
		requested := time.Now()
		time.Sleep(300 * time.Millisecond) // round trip and the peer's processing time
		v.confirmFromPeer(&viewsResponse{Version: 8, ConfigurationKnown: true}, requested)
		v.confirmFromPeer(&viewsResponse{Version: 7, ConfigurationKnown: false}, requested)
		_, known := v.freshness.Age()
		is.True(!known)
		v.confirmFromPeer(&viewsResponse{Version: 7, ConfigurationKnown: true, ConfigurationAge: time.Second}, requested)
		age, known := v.freshness.Age()
		is.True(known)
		is.Equal(age, 1300*time.Millisecond)
	})
}

func TestViewsResponseRoundTrip(t *testing.T) {
	is := is.New(t)
	response := &viewsResponse{
		Configuration: []byte("c"), Version: 9, ConfigurationKnown: true, ConfigurationAge: time.Second, StoreAvailable: true, ReplicasKnown: true, ReplicasAge: time.Minute,
		Evacuations: evacuation.Snapshot{Position: 7, Zones: map[string]time.Duration{"a": time.Second, "b": time.Minute}},
	}
	encoder := wire.NewEncoder(nil)
	response.Encode(encoder)
	read := &viewsResponse{}
	read.Decode(wire.NewDecoder(encoder.Bytes()))
	is.Equal(read, response)
}

// fakePeers responds with the given responses; a nil response means that the peer is
// unreachable.
type fakePeers map[netip.AddrPort]*viewsResponse

func (p fakePeers) Call(_ context.Context, address netip.AddrPort, _ peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	if response := p[address]; response != nil {
		return response, nil
	}
	return nil, peer.ErrUnreachable
}

func TestStoreIsUnavailableForAllOnlyIfPeersReportIt(t *testing.T) {
	is := is.New(t)
	first, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	for _, c := range []struct {
		first, second *viewsResponse
		unavailable   bool
	}{
		{&viewsResponse{}, &viewsResponse{}, true},
		{&viewsResponse{}, &viewsResponse{StoreAvailable: true}, false},
		{&viewsResponse{}, nil, true},
		{nil, nil, false}, // no peer responded, so the others' state is unknown
	} {
		served := false
		v := &views{
			router: router.New(router.Config{Registerer: prometheus.NewRegistry()}), freshness: &freshness{},
			evacuations: testEvacuations(nil), logger: slog.New(slog.DiscardHandler),
		}
		r := &relay{
			views: v, configurations: v.freshness, peers: fakePeers{first: c.first, other: c.second},
			others: func() []netip.AddrPort { return []netip.AddrPort{first, other} }, logger: v.logger, storeAvailable: func() bool { return false },
			peerServed: func() { served = true },
		}
		r.queryPeers(t.Context())
		is.Equal(v.freshness.UnavailableForAll(), c.unavailable)
		is.Equal(served, c.second != nil && c.second.StoreAvailable) // this node then probes the store immediately
	}
}
