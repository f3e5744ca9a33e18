package homes

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/store"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledgerlog"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

// viewOf returns members with an IP number each.
func viewOf(count int) membership.View {
	view := membership.View{}
	for i := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		node := identity.Node{Name: identity.NodeName(fmt.Sprintf("n%d", i)), PeerAddress: address}
		view.Members = append(view.Members, membership.Member{Node: node, Status: membership.Alive})
	}
	return view
}

func TestNodeThatTheStoreDoesNotAnswerIsNoHome(t *testing.T) {
	is := is.New(t)
	away := false
	service := New(Config{
		Self: "n0", Peers: peer.NewTransport(peer.NewRegistry(), peer.Options{Logger: slog.New(slog.DiscardHandler)}),
		Logger: slog.New(slog.DiscardHandler), StoreAway: func() bool { return away },
		Ledger: ledgerlog.New(ledgerlog.Config{Store: store.New(), Partitions: 30, Logger: slog.New(slog.DiscardHandler)}),
	})
	view := viewOf(5)
	service.SetView(view)
	homes := map[identity.NodeName]int{}
	for partition := range 30 {
		before, _ := service.home(partition)
		homes[before.Name]++
		service.NoteStore(before.PeerAddress.Addr(), true)
		away = before.Name == "n0"
		after, self := service.home(partition)
		is.True(after.Name != before.Name)
		is.Equal(self, after.Name == "n0")
		asked, here := service.askable(partition)
		is.Equal(asked.Name, after.Name)
		is.Equal(here, self)
		for _, member := range view.Members {
			service.NoteStore(member.Node.PeerAddress.Addr(), true)
		}
		away = true
		last, _ := service.home(partition)
		is.Equal(last, before) // where it answers nobody, nothing is gained by another
		away = false
		for _, member := range view.Members {
			service.NoteStore(member.Node.PeerAddress.Addr(), false)
		}
	}
	is.Equal(len(homes), 5)
}

func TestAllAskTheNextInRankWhileAHomeDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	view := viewOf(5)
	var asked []identity.NodeName
	for _, self := range []identity.NodeName{"n1", "n2", "n3", "n4"} {
		service := New(Config{
			Self: self, Peers: peer.NewTransport(peer.NewRegistry(), peer.Options{Logger: slog.New(slog.DiscardHandler)}),
			Logger: slog.New(slog.DiscardHandler),
			Ledger: ledgerlog.New(ledgerlog.Config{Store: store.New(), Partitions: 30, Logger: slog.New(slog.DiscardHandler)}),
		})
		service.SetView(view)
		partition := 0
		for home, _ := service.home(partition); home.Name != "n0"; home, _ = service.home(partition) {
			partition++
		}
		service.passOver("n0")
		node, here := service.askable(partition)
		is.Equal(here, node.Name == self)
		is.True(!service.isHome(partition)) // it is asked, but owns nothing
		asked = append(asked, node.Name)
	}
	for _, one := range asked {
		is.Equal(one, asked[0])
	}
}
