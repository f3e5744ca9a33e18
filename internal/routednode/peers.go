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
	// peerHeartbeatInterval and peerSilenceTimeout detect an unresponsive connection within
	// 1.15 s during a call. The timeout allows for a peer that is slow to respond because
	// it is short of processor time.
	peerHeartbeatInterval = 250 * time.Millisecond
	peerSilenceTimeout    = 900 * time.Millisecond
	// peerIdleTimeout closes connections without calls. Keepalive probes make a connection
	// that is idle for longer cost more than a new one: the kernel probes each second, and
	// among a thousand nodes a node calls the same coordinator about every 20 s.
	peerIdleTimeout = 5 * time.Second
	// peerDialTimeout covers two round trips between distant regions. It is shorter than
	// the kernel's retransmission of a lost SYN, so that a failed dial is retried sooner.
	peerDialTimeout = 300 * time.Millisecond
)

// peerDialer returns the function that connects to other nodes.
func peerDialer(addresses settings.RoutedAddresses) func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		dialer := keepalive.Dialer(peerDialTimeout)
		if addresses.AdvertisedPeers.IsValid() {
			dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(addresses.Peers.Addr(), 0))
		}
		return dialer.DialContext(ctx, "tcp4", address.String())
	}
}

// peers tracks the members of the site and connects to them.
type peers struct {
	registry  *peer.Registry
	transport *peer.Transport
	listener  net.Listener
	runner    *membership.Runner
	logger    *slog.Logger
	// onView is called with each new view of the members; it must not change after run has
	// started.
	onView      []func(membership.View)
	memberCount int
}

// newPeers binds the TCP and UDP sockets for peers.
func newPeers(cfg settings.Routed, self identity.Node, logger *slog.Logger, registerer prometheus.Registerer) (*peers, error) {
	listener, err := net.Listen("tcp4", cfg.Addresses.Peers.String())
	if err != nil {
		return nil, fmt.Errorf("routednode: addresses.peers: %w", err)
	}
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Addresses.Peers))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("routednode: addresses.peers: %w", err), listener.Close())
	}
	registry := peer.NewRegistry()
	made := &peers{
		registry: registry, listener: listener, logger: logger,
		transport: peer.NewTransport(registry, peer.Options{
			Registerer: registerer, Logger: logger,
			HeartbeatInterval: peerHeartbeatInterval, SilenceTimeout: peerSilenceTimeout, IdleTimeout: peerIdleTimeout, Dial: peerDialer(cfg.Addresses),
		}),
	}
	made.runner = membership.NewRunner(membership.Options{
		Self: self, Config: membership.DefaultConfig(), Seeds: cfg.Seeds, Conn: packets,
		RandomSeed: rand.Uint64(), OnView: made.handleView, Logger: logger,
	})
	made.runner.SetInfo(0, cfg.Machine.Millicores())
	return made, nil
}

// handleView passes a view to the subscribers. It is not called concurrently.
func (p *peers) handleView(view membership.View) {
	for _, notify := range p.onView {
		notify(view)
	}
	if len(view.Members) == p.memberCount {
		return
	}
	p.memberCount = len(view.Members)
	p.logger.Info("members changed", "version", view.Version, "members", p.memberCount)
}

// run serves peers until ctx is canceled.
func (p *peers) run(ctx context.Context) {
	go func() {
		if err := p.transport.Serve(p.listener); err != nil {
			p.logger.Error("listener for peers failed", "error", err)
		}
	}()
	if err := p.runner.Run(ctx); err != nil && ctx.Err() == nil {
		p.logger.Error("membership failed", "error", err)
	}
	p.transport.Close()
}

// newLoads binds the UDP socket for load reports; it returns nil if no address is
// configured.
func newLoads(cfg settings.Routed, tracker *balance.Tracker, now func() time.Duration, others func() []netip.AddrPort) (*loads.Gossiper, error) {
	own := cfg.Addresses.Loads
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
		OnReport: func(from netip.AddrPort, report map[loads.ReplicaKey]loads.Load) {
			tracker.SetPeerLoad(from, report, loads.Coverage(len(others())), now())
		},
	}, nil
}

func (p *peers) announceLeaving() { p.runner.AnnounceLeaving() }
