package network_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/network"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

const kindText peer.Kind = 1

// text is a message of one string.
type text struct{ value string }

func (*text) Kind() peer.Kind          { return kindText }
func (m *text) Encode(e *wire.Encoder) { e.String(m.value) }
func (m *text) Decode(d *wire.Decoder) { m.value = d.String() }

// site is a network of nodes a, b, c in zones of the same names.
type site struct {
	network *network.Network
	nodes   map[identity.NodeName]*network.Endpoint
	handled atomic.Int64
}

func newSite(seed uint64) *site {
	s := &site{network: network.New(seed), nodes: map[identity.NodeName]*network.Endpoint{}}
	for i, name := range []identity.NodeName{"a", "b", "c"} {
		s.join(name, byte(i+1))
	}
	for _, pair := range [][2]identity.Zone{{"a", "b"}, {"a", "c"}, {"b", "c"}} {
		s.network.SetLatency(pair[0], pair[1], time.Millisecond)
	}
	return s
}

func (s *site) join(name identity.NodeName, last byte) *network.Endpoint {
	address := netip.AddrFrom4([4]byte{10, 0, 0, last})
	node := identity.Node{
		Name: name, Zone: identity.Zone(name),
		PeerAddress: netip.AddrPortFrom(address, 1), ProbeAddress: netip.AddrPortFrom(address, 2),
	}
	registry := peer.NewRegistry()
	registry.Add(func() peer.Message { return &text{} })
	registry.Handle(kindText, peer.HandlerFunc(s.handle))
	endpoint := s.network.Join(node, registry)
	endpoint.Serve()
	s.nodes[name] = endpoint
	return endpoint
}

// handle echoes "echo", answers "parts" with three parts and "slow" after ten seconds;
// "wait" blocks until the caller stops waiting.
func (s *site) handle(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	s.handled.Add(1)
	requested := request.(*text).value
	switch requested {
	case "parts":
		for i := range 3 {
			if err := sendPart(&text{fmt.Sprint(i)}); err != nil {
				return nil, err
			}
		}
	case "slow":
		time.Sleep(10 * time.Second)
	case "wait":
		<-ctx.Done()
		return nil, ctx.Err()
	case "fail":
		return nil, errors.New("refused")
	}
	return &text{"echo " + requested}, nil
}

func (s *site) call(ctx context.Context, from, to identity.NodeName, value string, onPart func(peer.Message) error) (string, error) {
	message, err := s.nodes[from].Call(ctx, s.nodes[to].Node().PeerAddress, &text{value}, onPart)
	if err != nil {
		return "", err
	}
	return message.(*text).value, nil
}

func TestCallBringsPartsInOrderAfterTheLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		start := time.Now()
		parts := ""
		answer, err := s.call(t.Context(), "a", "b", "parts", func(part peer.Message) error {
			parts += part.(*text).value
			return nil
		})
		is.NoErr(err)
		is.Equal(answer, "echo parts")
		is.Equal(parts, "012")
		is.Equal(time.Since(start), 2*time.Millisecond)

		_, err = s.call(t.Context(), "a", "b", "fail", nil)
		var remote *peer.RemoteError
		is.True(errors.As(err, &remote))
		is.Equal(remote.Text, "refused")
	})
}

func TestCutIsDetectedAndTimelyHealKeepsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		s.network.Cut("b", "a") // only the direction of the response
		start := time.Now()
		_, err := s.call(t.Context(), "a", "b", "x", nil)
		is.True(errors.Is(err, peer.ErrUnreachable))
		is.True(!errors.Is(err, peer.ErrNotSent))
		is.Equal(time.Since(start), network.DetectionTime)
		is.Equal(s.handled.Load(), int64(1)) // the request itself arrived

		time.AfterFunc(time.Second, s.network.HealAll)
		answer, err := s.call(t.Context(), "a", "b", "x", nil)
		is.NoErr(err)
		is.Equal(answer, "echo x")
	})
}

func TestRandomLossDistinguishesRequestFromResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		s.network.SetFaults(network.Faults{RequestLoss: 1})
		_, err := s.call(t.Context(), "a", "b", "x", nil)
		is.True(errors.Is(err, peer.ErrUnreachable))
		is.Equal(s.handled.Load(), int64(0))
		s.network.SetFaults(network.Faults{AnswerLoss: 1})
		_, err = s.call(t.Context(), "a", "b", "x", nil)
		is.True(errors.Is(err, peer.ErrUnreachable))
		is.Equal(s.handled.Load(), int64(1))
		s.network.SetFaults(network.Faults{Duplicate: 1, DuplicateDelay: time.Second})
		_, err = s.call(t.Context(), "a", "b", "x", nil)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.Equal(s.handled.Load(), int64(3))
	})
}

func TestKillEndsCallsInAndOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		time.AfterFunc(time.Second, s.nodes["b"].Kill)
		start := time.Now()
		_, err := s.call(t.Context(), "a", "b", "slow", nil)
		is.True(errors.Is(err, peer.ErrUnreachable))
		is.Equal(time.Since(start), time.Second)
		_, err = s.call(t.Context(), "a", "b", "x", nil)
		is.True(errors.Is(err, peer.ErrNotSent))
		_, err = s.call(t.Context(), "b", "a", "x", nil)
		is.True(errors.Is(err, network.ErrKilled))
		is.True(errors.Is(s.nodes["b"].Gate(t.Context()), network.ErrKilled))

		s.join("b", 2)
		_, err = s.call(t.Context(), "a", "b", "x", nil)
		is.NoErr(err)
		time.Sleep(10 * time.Second) // lets the handler of the killed incarnation end
	})
}

// A message whose sender passed its checks before a freeze is sent after the thaw,
// although the sender's deadline has passed; fencing must cover this case.
func TestFrozenSenderSendsAfterTheThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		s.nodes["a"].Freeze()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		done := make(chan error, 1)
		go func() {
			_, err := s.call(ctx, "a", "b", "x", nil)
			done <- err
		}()
		gated := make(chan error, 1)
		go func() { gated <- s.nodes["a"].Gate(ctx) }()
		time.Sleep(30 * time.Second)
		is.Equal(s.handled.Load(), int64(0))
		is.Equal(len(done), 0) // a paused process does not notice its deadline
		s.nodes["a"].Thaw()
		time.Sleep(time.Second)
		is.Equal(s.handled.Load(), int64(1))
		is.True(errors.Is(<-done, context.DeadlineExceeded))
		is.NoErr(<-gated)
	})
}

func TestFrozenReceiverHandlesAfterTheThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		s.nodes["b"].Freeze()
		start := time.Now()
		_, err := s.call(t.Context(), "a", "b", "x", nil)
		is.True(errors.Is(err, peer.ErrUnreachable))
		is.Equal(time.Since(start), network.DetectionTime)
		is.Equal(s.handled.Load(), int64(0))
		s.nodes["b"].Thaw()
		time.Sleep(time.Second)
		is.Equal(s.handled.Load(), int64(1)) // the buffered request is read now
	})
}

func TestCancelReachesTheHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.call(ctx, "a", "b", "wait", nil)
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(time.Second) // the bubble ends only if the handler returned
	})
}

func TestDatagramsAreReorderedLostAndCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(7)
		a, b := s.nodes["a"], s.nodes["b"]
		s.network.SetFaults(network.Faults{DatagramReorder: 0.5, ReorderDelay: time.Second, DatagramLoss: 0.2})
		for i := range 100 {
			_, err := a.Packets().WriteToUDPAddrPort([]byte{byte(i)}, b.Node().ProbeAddress)
			is.NoErr(err)
		}
		s.network.SetFaults(network.Faults{})
		s.network.Cut("a", "b")
		_, err := a.Packets().WriteToUDPAddrPort([]byte{200}, b.Node().ProbeAddress)
		is.NoErr(err)
		time.AfterFunc(5*time.Second, func() { _ = b.Packets().Close() })
		received, reordered := 0, 0
		last := -1
		buffer := make([]byte, 1500)
		for {
			count, from, err := b.Packets().ReadFromUDPAddrPort(buffer)
			if err != nil {
				break
			}
			is.Equal(count, 1)
			is.Equal(from, a.Node().ProbeAddress)
			is.True(buffer[0] != 200)
			if int(buffer[0]) < last {
				reordered++
			}
			last = max(last, int(buffer[0]))
			received++
		}
		is.True(received > 60 && received < 95)
		is.True(reordered > 10)
	})
}
