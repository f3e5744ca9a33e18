package node

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/settings"
	"stepseam.example/stepseam/internal/siteservices"
)

// Network connects a node with the other nodes. The daemon uses sockets, simulations an
// in-memory network.
type Network interface {
	// Client returns the client for requests to other nodes.
	Client() peer.Client
	// Packets returns the datagram socket of the membership protocol.
	Packets() membership.PacketConn
	// Serve handles the requests of other nodes in the background until Close.
	Serve() error
	// Shutdown rejects new requests and waits for those in flight or until ctx ends.
	Shutdown(ctx context.Context) error
	// Close stops everything immediately.
	Close()
}

// sockets is the Network of a daemon: the peer protocol over TCP and datagrams over UDP.
type sockets struct {
	transport *peer.Transport
	listener  net.Listener
	packets   *net.UDPConn
}

// provideNetwork binds the node's addresses, so that an occupied port fails at startup.
func provideNetwork(injector do.Injector) (Network, error) {
	chosen, err := do.Invoke[settings.Settings](injector)
	if err != nil {
		return nil, err
	}
	registry, err := do.Invoke[*peer.Registry](injector)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", chosen.Addresses.Peer.String())
	if err != nil {
		return nil, fmt.Errorf("node: addresses.peer: %w", err)
	}
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(chosen.Addresses.Probe))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("node: addresses.probe: %w", err), listener.Close())
	}
	transport := peer.NewTransport(registry, peer.Options{
		Registerer: do.MustInvoke[*prometheus.Registry](injector),
		Logger:     componentLogger(injector, "peer"),
	})
	return &sockets{transport: transport, listener: listener, packets: packets}, nil
}

// Client implements Network.
func (s *sockets) Client() peer.Client { return s.transport }

// Packets implements Network.
func (s *sockets) Packets() membership.PacketConn { return s.packets }

// Serve implements Network.
func (s *sockets) Serve() error {
	go func() { _ = s.transport.Serve(s.listener) }() // ends with Close; the transport counts the errors of connections
	return nil
}

// Shutdown implements Network.
func (s *sockets) Shutdown(ctx context.Context) error { return s.transport.Shutdown(ctx) }

// Close implements Network.
func (s *sockets) Close() {
	s.transport.Close()
	_ = s.listener.Close() // already closed by Shutdown in a planned stop
	_ = s.packets.Close()
}

// providePlatform registers the network and the clients of the platform services and back
// ends.
func providePlatform(injector do.Injector) {
	do.Provide(injector, func(i do.Injector) (siteservices.Log, error) {
		chosen := do.MustInvoke[settings.Settings](i)
		return siteservices.NewLogClient(clientOptions(i, chosen.Platform.LogService)), nil
	})
	do.Provide(injector, func(i do.Injector) (siteservices.MachineList, error) {
		chosen := do.MustInvoke[settings.Settings](i)
		return siteservices.NewMachineListClient(clientOptions(i, chosen.Platform.MachineList)), nil
	})
	do.Provide(injector, func(i do.Injector) (siteservices.WeightStore, error) {
		chosen := do.MustInvoke[settings.Settings](i)
		return siteservices.NewWeightStoreClient(clientOptions(i, chosen.Platform.WeightStore)), nil
	})
	do.Provide(injector, func(i do.Injector) (backend.Directory, error) {
		chosen := do.MustInvoke[settings.Settings](i)
		options := backend.DefaultOptions()
		options.DialTimeout = chosen.Backends.ConnectTimeout
		return backend.NewDirectory(options), nil
	})
	do.Provide(injector, provideNetwork)
}

func clientOptions(injector do.Injector, address platformAddress) siteservices.ClientOptions {
	self := do.MustInvoke[identity.Node](injector)
	return siteservices.ClientOptions{Address: address, Caller: string(self.Name)}
}
