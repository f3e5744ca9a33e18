package membership_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
)

func runnerNode(i int) identity.Node {
	address := netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)})
	return identity.Node{
		Name:         identity.NodeName(fmt.Sprintf("node-%d", i)),
		Zone:         identity.Zone(fmt.Sprintf("zone-%d", i%3)),
		Region:       "region",
		Incarnation:  identity.Incarnation(time.Now().UnixNano()),
		PeerAddress:  netip.AddrPortFrom(address, 7100),
		ProbeAddress: netip.AddrPortFrom(address, 7200),
	}
}

// runningNode is a runner with its latest view.
type runningNode struct {
	runner *membership.Runner
	views  chan membership.View
	stop   context.CancelFunc
	done   chan error
}

func start(node identity.Node, conn membership.PacketConn, seeds ...netip.AddrPort) *runningNode {
	s := &runningNode{views: make(chan membership.View, 1), done: make(chan error, 1)}
	s.runner = membership.NewRunner(membership.Options{
		Self: node, Config: membership.DefaultConfig(), Seeds: seeds, Conn: conn, RandomSeed: 1,
		OnView: func(view membership.View) {
			select {
			case <-s.views:
			default:
			}
			s.views <- view
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() { s.done <- s.runner.Run(ctx) }()
	return s
}

// aliveCount returns the number of alive members in the latest view.
func (s *runningNode) aliveCount() int {
	view := <-s.views
	s.views <- view
	count := 0
	for _, member := range view.Members {
		if member.Status == membership.Alive {
			count++
		}
	}
	return count
}

func TestRunnersInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		links := network.New(1)
		defer links.Close()
		links.SetFaults(network.Faults{DatagramLoss: 0.05})
		var runners []*runningNode
		for i := range 6 {
			node := runnerNode(i)
			endpoint := links.Join(node, peer.NewRegistry())
			runners = append(runners, start(node, endpoint.Packets(), runnerNode(0).ProbeAddress))
		}
		time.Sleep(5 * time.Second)
		for _, runner := range runners {
			is.Equal(runner.aliveCount(), 6)
		}
		links.Endpoint("node-4").Kill()
		time.Sleep(8 * time.Second)
		is.Equal(runners[0].aliveCount(), 5)
		runners[5].runner.AnnounceLeaving()
		time.Sleep(3 * time.Second)
		is.Equal(runners[0].aliveCount(), 4)
		for i, runner := range runners {
			runner.stop()
			err := <-runner.done
			is.True(err == nil || i == 4) // the killed node's socket was closed
		}
	})
}

func TestRunnerOverUDP(t *testing.T) {
	is := is.New(t)
	listen := func(i int) (identity.Node, *net.UDPConn) {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		is.NoErr(err)
		node := runnerNode(i)
		node.ProbeAddress = conn.LocalAddr().(*net.UDPAddr).AddrPort()
		return node, conn
	}
	firstNode, firstConn := listen(0)
	secondNode, secondConn := listen(1)
	first := start(firstNode, firstConn)
	second := start(secondNode, secondConn, firstNode.ProbeAddress)
	for _, runner := range []*runningNode{first, second} {
		for runner.aliveCount() != 2 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	second.stop()
	is.NoErr(<-second.done)
	for first.aliveCount() != 1 { // notified by the leaving node, long before a probe fails
		time.Sleep(10 * time.Millisecond)
	}
	first.stop()
	is.NoErr(<-first.done)
	is.True(first.runner.Traffic().ReceivedMessages > 0)
}

func TestRunnerOfOldIncarnationIsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		links := network.New(1)
		defer links.Close()
		old := runnerNode(1)
		time.Sleep(time.Second)
		current := runnerNode(1)
		current.ProbeAddress = netip.MustParseAddrPort("127.0.0.9:7200")
		other := runnerNode(0)
		var runners []*runningNode
		for _, node := range []identity.Node{other, current} {
			endpoint := links.Join(node, peer.NewRegistry())
			runners = append(runners, start(node, endpoint.Packets(), other.ProbeAddress))
		}
		time.Sleep(2 * time.Second)
		old.Name = "renamed on the network alone"
		endpoint := links.Join(old, peer.NewRegistry())
		old.Name = current.Name
		late := start(old, endpoint.Packets(), other.ProbeAddress)
		<-late.runner.Superseded()
		is.Equal(runners[0].aliveCount(), 2)
		for _, runner := range append(runners, late) {
			runner.stop()
			is.NoErr(<-runner.done)
		}
	})
}
