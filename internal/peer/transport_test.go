package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/wire"
)

const kindBlob peer.Kind = 1

type blob struct{ data []byte }

func (*blob) Kind() peer.Kind          { return kindBlob }
func (m *blob) Encode(e *wire.Encoder) { e.Blob(m.data) }
func (m *blob) Decode(d *wire.Decoder) { m.data = d.Blob() }

// handle behaves according to the prefix of the request.
func handle(ctx context.Context, request peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
	data := request.(*blob).data
	switch {
	case bytes.HasPrefix(data, []byte("fail")):
		return nil, errors.New("refused")
	case bytes.HasPrefix(data, []byte("wait")):
		if err := sendPart(&blob{[]byte("started")}); err != nil {
			return nil, err
		}
		<-ctx.Done()
		return nil, ctx.Err()
	case bytes.HasPrefix(data, []byte("parts")):
		for i := range 5000 {
			if err := sendPart(&blob{[]byte(fmt.Sprintf("%04d%0200d", i, 0))}); err != nil {
				return nil, err
			}
		}
	}
	return &blob{data}, nil
}

func newRegistry(handler peer.HandlerFunc) *peer.Registry {
	registry := peer.NewRegistry()
	registry.Add(func() peer.Message { return &blob{} })
	registry.Handle(kindBlob, handler)
	registry.Add(func() peer.Message { return &journalMessage{} })
	registry.Handle(peer.KindRangeJournal+1, peer.HandlerFunc(func(context.Context, peer.Message, func(peer.Message) error) (peer.Message, error) {
		return &journalMessage{}, nil
	}))
	return registry
}

// pipeListener accepts the far ends of pipes, so that a transport runs in virtual time.
type pipeListener struct {
	sockets chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{sockets: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case socket := <-l.sockets:
		return socket, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.sockets <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pair is a client and a server transport in a synctest bubble.
type pair struct {
	listener *pipeListener
	server   *peer.Transport
	client   *peer.Transport
}

func newPair(t *testing.T, options peer.Options) *pair {
	p := &pair{listener: newPipeListener()}
	options.Dial = p.listener.dial
	p.server = peer.NewTransport(newRegistry(handle), options)
	p.client = peer.NewTransport(newRegistry(handle), options)
	go func() { _ = p.server.Serve(p.listener) }()
	t.Cleanup(func() {
		p.client.Close()
		p.server.Close()
	})
	return p
}

var anyAddress = netip.MustParseAddrPort("10.0.0.1:1")

func (p *pair) call(ctx context.Context, text string, onPart func(peer.Message) error) (string, error) {
	answer, err := p.client.Call(ctx, anyAddress, &blob{[]byte(text)}, onPart)
	if err != nil {
		return "", err
	}
	return string(answer.(*blob).data), nil
}

func TestCallOverLoopback(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := peer.NewTransport(newRegistry(handle), peer.Options{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := peer.NewTransport(newRegistry(handle), peer.Options{})
	defer client.Close()
	address := listener.Addr().(*net.TCPAddr).AddrPort()

	large := bytes.Repeat([]byte("0123456789abcdef"), 20<<20/16)
	var group sync.WaitGroup
	for i := range 50 {
		group.Go(func() {
			data := []byte(fmt.Sprint("number ", i))
			if i == 0 {
				data = large
			}
			answer, err := client.Call(t.Context(), address, &blob{data}, nil)
			is.NoErr(err)
			is.True(bytes.Equal(answer.(*blob).data, data))
		})
	}
	group.Wait()
	is.Equal(client.Stats().Dials.Load(), int64(1))
	is.True(client.Stats().SentBytes(kindBlob) > int64(len(large)))

	is.NoErr(server.Shutdown(t.Context()))
	is.NoErr(<-served)
	_, err = client.Call(t.Context(), address, &blob{}, nil)
	is.True(errors.Is(err, peer.ErrNotSent))
	server.Close()
}

func TestPartsAreOrderedAndSlowReaderDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, peer.Options{})
		first := make(chan struct{})
		done := make(chan error, 1)
		next := 0
		go func() {
			_, err := p.call(t.Context(), "parts", func(part peer.Message) error {
				is.Equal(string(part.(*blob).data[:4]), fmt.Sprintf("%04d", next))
				if next == 0 {
					close(first)
					time.Sleep(time.Hour) // slow reader
				}
				next++
				return nil
			})
			done <- err
		}()
		<-first
		start := time.Now()
		answer, err := p.call(t.Context(), "quick", nil)
		is.NoErr(err)
		is.Equal(answer, "quick")
		is.True(time.Since(start) < time.Second)
		is.NoErr(<-done)
		is.Equal(next, 5000)
	})
}

func TestFailuresAndUnknownKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, peer.Options{})
		_, err := p.call(t.Context(), "fail", nil)
		var remote *peer.RemoteError
		is.True(errors.As(err, &remote))
		is.Equal(remote.Text, "refused")
		_, err = p.client.Call(t.Context(), anyAddress, &unknownMessage{}, nil)
		is.True(errors.Is(err, peer.ErrUnknownKind))
		stop := errors.New("stop")
		_, err = p.call(t.Context(), "parts", func(peer.Message) error { return stop })
		is.Equal(err, stop)
	})
}

// failingListener returns a few errors before it accepts.
type failingListener struct {
	*pipeListener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.pipeListener.Accept()
}

func TestServeContinuesAfterAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := &failingListener{pipeListener: newPipeListener(), failures: 5}
		client := peer.NewTransport(newRegistry(handle), peer.Options{Dial: listener.dial})
		defer client.Close()
		registry := prometheus.NewPedanticRegistry()
		server := peer.NewTransport(newRegistry(handle), peer.Options{Registerer: registry, Logger: slog.New(slog.DiscardHandler)})
		defer server.Close()
		go func() { _ = server.Serve(listener) }()
		_, err := client.Call(t.Context(), anyAddress, &blob{[]byte("x")}, nil)
		is.NoErr(err)
		families, err := registry.Gather()
		is.NoErr(err)
		is.Equal(len(families), 8)
	})
}

// journalMessage is a message in the journal's range.
type journalMessage struct{ blob }

func (*journalMessage) Kind() peer.Kind { return peer.KindRangeJournal + 1 }

type unknownMessage struct{ blob }

func (*unknownMessage) Kind() peer.Kind { return 999 }

func TestCancelPropagatesToHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, peer.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		_, err := p.call(ctx, "wait", func(peer.Message) error { cancel(); return nil })
		is.True(errors.Is(err, context.Canceled))
		is.True(errors.Is(err, peer.ErrUnreachable))
		is.NoErr(p.server.Shutdown(t.Context())) // waits for the handler
	})
}

func TestShutdownRefusesNewRequestsAndWaitsForHandlers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, peer.Options{MaxHandlers: 1})
		ctx, cancel := context.WithCancel(t.Context())
		started := make(chan struct{})
		go func() {
			_, _ = p.call(ctx, "wait", func(peer.Message) error { close(started); return nil })
		}()
		<-started
		_, err := p.call(t.Context(), "second", nil)
		is.True(errors.Is(err, peer.ErrNotSent)) // over the limit of handlers
		_, err = p.client.Call(t.Context(), anyAddress, &journalMessage{}, nil)
		is.NoErr(err) // other ranges have limits of their own
		stopped := make(chan error, 1)
		go func() { stopped <- p.server.Shutdown(t.Context()) }()
		synctest.Wait()
		_, err = p.call(t.Context(), "third", nil)
		is.True(errors.Is(err, peer.ErrNotSent))
		is.Equal(len(stopped), 0)
		cancel()
		is.NoErr(<-stopped)
	})
}

func TestUnresponsivePeerIsDetectedWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := newPipeListener()
		client := peer.NewTransport(newRegistry(handle), peer.Options{Dial: listener.dial})
		defer client.Close()
		go func() {
			// A half-open peer reads everything and never responds.
			socket, _ := listener.Accept()
			_, _ = io.Copy(io.Discard, socket)
		}()
		start := time.Now()
		_, err := client.Call(t.Context(), anyAddress, &blob{}, nil)
		is.True(errors.Is(err, peer.ErrUnreachable))
		is.True(!errors.Is(err, peer.ErrNotSent))
		is.True(time.Since(start) <= 2*time.Second)
		is.Equal(client.Stats().Broken.Load(), int64(1))
	})
}

func TestLostCallerCancelsHandlersWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ended := make(chan time.Time, 1)
		listener := newPipeListener()
		server := peer.NewTransport(newRegistry(func(ctx context.Context, _ peer.Message, _ func(peer.Message) error) (peer.Message, error) {
			<-ctx.Done()
			ended <- time.Now()
			return nil, ctx.Err()
		}), peer.Options{})
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		socket, err := listener.dial(t.Context(), anyAddress)
		is.NoErr(err)
		// Sends one handcrafted request and then nothing on an open connection.
		_, err = socket.Write([]byte("STEPSEAM\x01\x00\x00\x00\x04\x01\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x00"))
		is.NoErr(err)
		start := time.Now()
		is.True((<-ended).Sub(start) <= 2*time.Second)
	})
}

func TestLongCallsAndIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, peer.Options{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		_, err := p.call(ctx, "wait", nil) // heartbeats keep it open until the caller's deadline
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(p.client.Stats().Dials.Load(), int64(1))
		time.Sleep(50 * time.Second) // idle for less than the timeout
		_, err = p.call(t.Context(), "x", nil)
		is.NoErr(err)
		is.Equal(p.client.Stats().Dials.Load(), int64(1))
		time.Sleep(10 * time.Minute)
		_, err = p.call(t.Context(), "x", nil)
		is.NoErr(err)
		is.Equal(p.client.Stats().Dials.Load(), int64(2))
	})
}

func TestBrokenConnectionsAndDialBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		listener := newPipeListener()
		client := peer.NewTransport(newRegistry(handle), peer.Options{Dial: listener.dial})
		defer client.Close()
		go func() {
			socket, _ := listener.Accept()
			_, _ = io.ReadFull(socket, make([]byte, 12))
			_ = socket.Close() // in the middle of the request
			_ = listener.Close()
		}()
		_, err := client.Call(t.Context(), anyAddress, &blob{[]byte("x")}, nil)
		is.True(errors.Is(err, peer.ErrUnreachable))
		is.True(!errors.Is(err, peer.ErrNotSent)) // a part of it was sent
		for range 1000 {
			_, err = client.Call(t.Context(), anyAddress, &blob{[]byte("x")}, nil)
			is.True(errors.Is(err, peer.ErrNotSent))
			time.Sleep(10 * time.Millisecond)
		}
		dials := client.Stats().Dials.Load()
		is.True(dials > 8 && dials < 40) // in ten seconds of failing dials
	})
}

func TestInvalidFramesCloseOnlyTheirConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, peer.Options{MaxMessageBytes: 1 << 20})
		for _, garbage := range []string{
			"GET / HTTP/1.1\r\n\r\n",
			"STEPSEAM\x01\xff\xff\xff\xff\x01\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x01",
			"STEPSEAM\x01\x00\x00\x00\x00\x63\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00\x01",
		} {
			socket, err := p.listener.dial(t.Context(), anyAddress)
			is.NoErr(err)
			_, _ = socket.Write([]byte(garbage))
			_, err = io.Copy(io.Discard, socket)
			is.NoErr(err) // closed by the server
		}
		_, err := p.client.Call(t.Context(), anyAddress, &blob{make([]byte, 2<<20)}, nil)
		is.True(errors.Is(err, peer.ErrNotSent)) // over the limit
		_, err = p.call(t.Context(), "x", nil)
		is.NoErr(err)
	})
}

// Arbitrary frames must neither crash the server, nor leave handlers running, nor affect
// other connections.
func TestServerSurvivesArbitraryFrames(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stream := []byte("STEPSEAM\x01")
		for range rapid.IntRange(0, 30).Draw(rt, "frames") {
			payload := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(rt, "payload")
			stream = binary.BigEndian.AppendUint32(stream, uint32(len(payload)))
			stream = append(stream, rapid.SampledFrom([]byte{1, 1, 1, 7, 8, 9, 2, 99}).Draw(rt, "type"), rapid.Byte().Draw(rt, "flags"))
			stream = binary.BigEndian.AppendUint16(stream, rapid.SampledFrom([]uint16{1, 101, 999}).Draw(rt, "kind"))
			stream = binary.BigEndian.AppendUint64(stream, rapid.Uint64Range(1, 3).Draw(rt, "request"))
			stream = append(stream, payload...)
		}
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t, peer.Options{MaxMessageBytes: 100})
			socket, err := p.listener.dial(t.Context(), anyAddress)
			is.NoErr(err)
			go func() { _, _ = io.Copy(io.Discard, socket) }()
			_, _ = socket.Write(stream)
			_ = socket.Close()
			_, err = p.call(t.Context(), "x", nil)
			is.NoErr(err)
			is.NoErr(p.server.Shutdown(t.Context()))
		})
	})
}

func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := peer.NewTransport(newRegistry(handle), peer.Options{})
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := peer.NewTransport(newRegistry(handle), peer.Options{})
	defer client.Close()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	data := make([]byte, 512)
	for _, parallel := range []int{1, 16} {
		b.Run(fmt.Sprintf("parallel=%d", parallel), func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(parallel)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := client.Call(context.Background(), address, &blob{data}, nil); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

// cutConn ends, as that of a process that is killed, at the byte that follows a number of bytes read.
type cutConn struct {
	net.Conn
	left int
	read atomic.Int64
}

func (c *cutConn) Read(into []byte) (int, error) {
	if c.left == 0 {
		// The request has arrived once a byte follows.
		_, _ = c.Conn.Read(make([]byte, 1))
		_ = c.Conn.Close()
		return 0, io.EOF
	}
	n, err := c.Conn.Read(into[:min(len(into), c.left)])
	c.left -= n
	c.read.Add(int64(n))
	return n, err
}

// TestPartOfAResponseIsNoResponse guards against a response that its caller takes for whole although the node that
// sent it ended within it: at each of the first and last bytes of two parts and a last message of two frames, and at
// some between.
func TestPartOfAResponseIsNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const frame = 64 << 10
		last := bytes.Repeat([]byte("x"), frame+100)
		listener := newPipeListener()
		server := peer.NewTransport(newRegistry(func(_ context.Context, _ peer.Message, sendPart func(peer.Message) error) (peer.Message, error) {
			for range 2 {
				if err := sendPart(&blob{[]byte("part")}); err != nil {
					return nil, err
				}
			}
			return &blob{last}, nil
		}), peer.Options{})
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		call := func(bytes int) (read int, answer peer.Message, err error) {
			var socket *cutConn
			client := peer.NewTransport(newRegistry(handle), peer.Options{Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
				dialed, err := listener.dial(ctx, to)
				socket = &cutConn{Conn: dialed, left: bytes}
				return socket, err
			}})
			defer client.Close()
			answer, err = client.Call(t.Context(), anyAddress, &blob{[]byte("x")}, func(peer.Message) error { return nil })
			return int(socket.read.Load()), answer, err
		}
		whole, answer, err := call(10 * frame)
		is.NoErr(err)
		is.Equal(answer.(*blob).data, last)
		for cut := range whole {
			if cut > 300 && cut < whole-300 && cut%997 != 0 {
				continue
			}
			if _, _, err := call(cut); err == nil || errors.Is(err, peer.ErrNotSent) {
				t.Errorf("%d of %d bytes: %v", cut, whole, err)
			}
		}
		_, _, err = call(whole)
		is.NoErr(err)
	})
}
