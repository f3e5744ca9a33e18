package members

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// site is a set of controllers on one in-memory network.
type site struct {
	links *network.Network
	nodes []*node
}

type node struct {
	identity   identity.Node
	board      *blackboard.Board
	controller *Controller
	registry   *prometheus.Registry
	stop       context.CancelFunc
	ended      chan error
}

func address(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), port)
}

func (s *site) add(i int, seeds ...netip.AddrPort) *node {
	added := &node{
		board: blackboard.NewBoard(), registry: prometheus.NewRegistry(), ended: make(chan error, 1),
		identity: identity.Node{
			Name: identity.NodeName(fmt.Sprintf("node-%d", i)), Zone: "zone", Region: "region",
			Incarnation:  identity.Incarnation(time.Now().UnixNano()),
			ProbeAddress: address(i, 7200), PeerAddress: address(i, 7100),
		},
	}
	added.controller = New(Config{
		Self: added.identity, Board: added.board, Seeds: seeds,
		Conn:        s.links.Join(added.identity, peer.NewRegistry()).Packets(),
		OwnedShards: func() int { return 10 + i },
		Logger:      slog.New(slog.DiscardHandler), Registerer: added.registry,
	})
	ctx, cancel := context.WithCancel(context.Background())
	added.stop = cancel
	go func() { added.ended <- added.controller.Run(ctx) }()
	s.nodes = append(s.nodes, added)
	return added
}

func (s *site) close(is *is.I) {
	for _, node := range s.nodes {
		node.stop()
		is.NoErr(<-node.ended)
	}
	s.links.Close()
}

func TestViewContainsBroadcastInfo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &site{links: network.New(1)}
		for i := range 4 {
			s.add(i, address(0, 7200))
		}
		s.nodes[2].board.Table.Store(&table.Table{Version: 7})
		time.Sleep(10 * time.Second)
		view := s.nodes[0].board.Members.Load()
		is.Equal(len(view.Members), 4)
		is.Equal(view.Self, s.nodes[0].identity.Reference())
		is.Equal(view.Members[2].TableVersion, uint64(7))
		is.Equal(view.Members[3].Load, uint32(13))
		s.nodes[1].board.Draining.Store(true)
		time.Sleep(2 * time.Second)
		for _, node := range s.nodes {
			is.Equal(node.board.Members.Load().Members[1].Status, membership.Leaving)
		}
		gathered, err := s.nodes[0].registry.Gather()
		is.NoErr(err)
		is.True(len(gathered) > 0)
		s.close(is)
	})
}

func TestMachineListProvidesSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &site{links: network.New(1)}
		s.add(0)
		late := s.add(1)
		time.Sleep(5 * time.Second)
		is.Equal(len(late.board.Members.Load().Members), 1)
		late.board.Machines.Store([]siteservices.Machine{
			{Name: "engine", Role: siteservices.RoleEngine, Address: address(9, 80)},
			{Name: "node-0", Role: siteservices.RoleNode, ProbeAddress: address(0, 7200)},
		})
		time.Sleep(5 * time.Second)
		is.Equal(len(late.board.Members.Load().Members), 2)
		s.close(is)
	})
}

// Guards against a starting node that briefly regards itself as the whole site: it
// would claim every unowned shard.
func TestStartingNodePublishesNoPartialView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &site{links: network.New(1)}
		s.links.SetLatency("zone", "zone", 50*time.Millisecond)
		for i := range 5 {
			s.add(i, address(0, 7200))
		}
		time.Sleep(5 * time.Second)
		late := s.add(5, address(0, 7200))
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			members := len(late.board.Members.Load().Members)
			is.True(members == 0 || members == 6) // no view or the whole site
		}
		s.close(is)
	})
}

func TestSupersededIncarnationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &site{links: network.New(1)}
		s.add(0)
		former := s.add(1, address(0, 7200))
		time.Sleep(3 * time.Second)
		// The later incarnation runs on another machine and does not stop the former
		// one.
		later := former.identity
		later.Name, later.ProbeAddress = "elsewhere", address(7, 7200)
		endpoint := s.links.Join(later, peer.NewRegistry())
		later.Name, later.Incarnation = former.identity.Name, later.Incarnation+1
		runner := membership.NewRunner(membership.Options{
			Self: later, Config: membership.DefaultConfig(), Seeds: []netip.AddrPort{address(0, 7200)},
			Conn: endpoint.Packets(), OnView: func(membership.View) {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- runner.Run(ctx) }()
		is.True(errors.Is(<-former.ended, ErrSuperseded))
		cancel()
		is.NoErr(<-done)
		s.nodes = s.nodes[:1]
		s.close(is)
	})
}
