package forwarding_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/forwarding"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/serving"
)

// instantOwner is an owner that responds immediately.
type instantOwner struct {
	owner
	tokens int
}

func (o *instantOwner) Call(_ context.Context, request serving.CallRequest, onToken serving.TokenFunc) (api.Answer, error) {
	if err := o.check(false); err != nil {
		return api.Answer{}, err
	}
	for index := range o.tokens {
		if err := onToken(index, "token "); err != nil {
			return api.Answer{}, err
		}
	}
	return api.Answer{Program: string(request.Program), Text: "answer"}, nil
}

// BenchmarkCall measures a call at the local owner, at a remote owner over loopback TCP,
// and there with 100 tokens.
func BenchmarkCall(b *testing.B) {
	for _, bench := range []struct {
		name   string
		owner  identity.NodeName
		tokens int
	}{{"local", "a", 0}, {"remote", "b", 0}, {"remote_100_tokens", "b", 100}} {
		b.Run(bench.name, func(b *testing.B) {
			forwarder := loopbackPair(b, bench.owner, bench.tokens)
			b.ReportAllocs()
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := forwarder.Call(context.Background(), request(1), func(int, string) error { return nil }); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

// loopbackPair returns the forwarder of node a, which is connected to node b over
// loopback TCP.
func loopbackPair(b *testing.B, ownerName identity.NodeName, tokens int) *forwarding.Forwarder {
	b.Helper()
	shared := &site{owner: ownerName}
	var nodes []identity.Node
	var forwarders []*forwarding.Forwarder
	for _, name := range []identity.NodeName{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		nodes = append(nodes, identity.Node{Name: name, PeerAddress: netip.MustParseAddrPort(listener.Addr().String())})
		registry := peer.NewRegistry()
		transport := peer.NewTransport(registry, peer.Options{})
		forwarders = append(forwarders, forwarding.New(forwarding.Config{
			Self: identity.Reference{Name: name}, ShardCount: 1,
			Local: &instantOwner{owner: owner{site: shared, name: name}, tokens: tokens}, Client: transport, Board: blackboard.NewBoard(),
			Ranks: func(identity.ShardID, membership.View, int) []identity.Node { return nodes },
		}, registry))
		go func() { _ = transport.Serve(listener) }()
		b.Cleanup(transport.Close)
	}
	return forwarders[0]
}
