package routednode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/keepalive"
	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/settings"
)

const (
	// peerHeartbeat and peerSilence find a connection that has gone silent within
	// 1.15 s while a call is under way; a machine that is starved of processor time answers
	// a heartbeat later than others.
	peerHeartbeat = 250 * time.Millisecond
	peerSilence   = 900 * time.Millisecond
	// peerIdle closes connections without calls. The kernel probes each one every second,
	// so that one kept for longer costs more than a new one; among a thousand nodes a node
	// comes back to a home of the ledger every 20 s.
	peerIdle = 5 * time.Second
	// peerDialTimeout bounds the making of a connection: two ways between distant regions. A
	// machine that starts a moment later answers the next try, and the kernel would repeat
	// the opening packet only after a second.
	peerDialTimeout = 300 * time.Millisecond
)

func dialPeer(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return keepalive.Dialer(peerDialTimeout).DialContext(ctx, "tcp4", address.String())
}

// peers is how this node knows and reaches the others.
type peers struct {
	registry  *peer.Registry
	transport *peer.Transport
	listener  net.Listener
	runner    *membership.Runner
	logger    *slog.Logger
	// onView are told of each new view of the members; they are set while wiring.
	onView []func(membership.View)
	known  int
}

// newPeers binds the node's address for peers.
func newPeers(chosen settings.Routed, self identity.Node, logger *slog.Logger, registerer prometheus.Registerer) (*peers, error) {
	listener, err := net.Listen("tcp4", self.PeerAddress.String())
	if err != nil {
		return nil, fmt.Errorf("routednode: addresses.peers: %w", err)
	}
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(self.ProbeAddress))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("routednode: addresses.peers: %w", err), listener.Close())
	}
	registry := peer.NewRegistry()
	made := &peers{
		registry: registry, listener: listener, logger: logger,
		transport: peer.NewTransport(registry, peer.Options{
			Registerer: registerer, Logger: logger,
			HeartbeatInterval: peerHeartbeat, SilenceTimeout: peerSilence, IdleTimeout: peerIdle, Dial: dialPeer,
		}),
	}
	made.runner = membership.NewRunner(membership.Options{
		Self: self, Config: membership.DefaultConfig(), Seeds: chosen.Seeds, Conn: packets,
		RandomSeed: rand.Uint64(), OnView: made.take, Logger: logger,
	})
	made.runner.SetInfo(0, chosen.Machine.Millicores())
	return made, nil
}

// take is called with one view at a time.
func (p *peers) take(view membership.View) {
	for _, tell := range p.onView {
		tell(view)
	}
	if len(view.Members) == p.known {
		return
	}
	p.known = len(view.Members)
	p.logger.Info("members changed", "version", view.Version, "members", p.known)
}

// run serves the other nodes until ctx ends.
func (p *peers) run(ctx context.Context) {
	go func() {
		if err := p.transport.Serve(p.listener); err != nil {
			p.logger.Error("peers can't be served", "error", err)
		}
	}()
	if err := p.runner.Run(ctx); err != nil && ctx.Err() == nil {
		p.logger.Error("membership ended", "error", err)
	}
	p.transport.Close()
}

// newLoads binds the node's address for loads; it returns nil where there is none.
func newLoads(chosen settings.Routed, tracker *balance.Tracker, now func() time.Duration, others func() []netip.AddrPort) (*loads.Gossiper, error) {
	own := chosen.Addresses.Loads
	if !own.IsValid() {
		return nil, nil
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	if err != nil {
		return nil, fmt.Errorf("routednode: addresses.loads: %w", err)
	}
	return &loads.Gossiper{
		Conn: conn, Local: func() map[loads.ReplicaKey]loads.Load { return tracker.OwnLoads(now()) },
		Peers: func() []netip.AddrPort {
			return lo.Map(others(), func(peer netip.AddrPort, _ int) netip.AddrPort {
				return netip.AddrPortFrom(peer.Addr(), own.Port())
			})
		},
		OnReport: func(from netip.AddrPort, told map[loads.ReplicaKey]loads.Load) {
			tracker.SetPeerLoad(from, told, loads.Coverage(len(others())), now())
		},
	}, nil
}

func (p *peers) announceLeaving() { p.runner.AnnounceLeaving() }
