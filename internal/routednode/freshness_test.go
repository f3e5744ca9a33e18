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
		fresh.confirm(began) // an older one that comes later
		age, known := fresh.Age()
		is.True(known)
		is.Equal(age, 200*time.Millisecond)
		fresh.readable(false)
		_, known = fresh.Age()
		is.True(!known) // a newer configuration exists that this node can't use
		fresh.readable(true)
		_, known = fresh.Age()
		is.True(known)
	})
}

func TestPeersConfirmNoOlderConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := &views{router: router.New(router.Config{Registerer: prometheus.NewRegistry()}), freshness: &freshness{}, logger: slog.New(slog.DiscardHandler)}
		v.router.SetConfiguration(&routing.Configuration{Version: 7})
		asked := time.Now()
		time.Sleep(300 * time.Millisecond) // the way there and back, and the peer's time
		v.confirmBy(&tellViews{Version: 8, ConfigurationKnown: true}, asked)
		v.confirmBy(&tellViews{Version: 7, ConfigurationKnown: false}, asked)
		_, known := v.freshness.Age()
		is.True(!known)
		v.confirmBy(&tellViews{Version: 7, ConfigurationKnown: true, ConfigurationAge: time.Second}, asked)
		age, known := v.freshness.Age()
		is.True(known)
		is.Equal(age, 1300*time.Millisecond)
	})
}

func TestMessagesOfTheRelaySurviveTheWire(t *testing.T) {
	is := is.New(t)
	told := &tellViews{
		Configuration: []byte("c"), Version: 9, ConfigurationKnown: true, ConfigurationAge: time.Second, StoreAnswers: true, ReplicasKnown: true, ReplicasAge: time.Minute,
		Evacuations: evacuation.Snapshot{Position: 7, Zones: map[string]time.Duration{"a": time.Second, "b": time.Minute}},
	}
	encoder := wire.NewEncoder(nil)
	told.Encode(encoder)
	read := &tellViews{}
	read.Decode(wire.NewDecoder(encoder.Bytes()))
	is.Equal(read, told)
}

// peersOf answers like nodes that the store answers or not; nil does not answer.
type peersOf map[netip.AddrPort]*tellViews

func (p peersOf) Call(_ context.Context, address netip.AddrPort, _ peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	if told := p[address]; told != nil {
		return told, nil
	}
	return nil, peer.ErrUnreachable
}

func TestStoreIsAwayForAllOnlyIfPeersSaySo(t *testing.T) {
	is := is.New(t)
	one, other := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	for _, c := range []struct {
		first, second *tellViews
		away          bool
	}{
		{&tellViews{}, &tellViews{}, true},
		{&tellViews{}, &tellViews{StoreAnswers: true}, false},
		{&tellViews{}, nil, true},
		{nil, nil, false}, // cut off, it knows nothing of others
	} {
		answered := false
		v := &views{
			router: router.New(router.Config{Registerer: prometheus.NewRegistry()}), freshness: &freshness{},
			evacuations: testEvacuations(nil), logger: slog.New(slog.DiscardHandler),
		}
		r := &relay{
			views: v, configurations: v.freshness, peers: peersOf{one: c.first, other: c.second},
			others: func() []netip.AddrPort { return []netip.AddrPort{one, other} }, logger: v.logger, storeAnswers: func() bool { return false },
			peerAnswered: func() { answered = true },
		}
		r.ask(t.Context())
		is.Equal(v.freshness.UnavailableForAll(), c.away)
		is.Equal(answered, c.second != nil && c.second.StoreAnswers) // then this node probes at once
	}
}
