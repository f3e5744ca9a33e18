package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/gateway"
)

// countingListener counts the bytes that are read from each connection, by the client's address.
type countingListener struct {
	net.Listener
	read sync.Map
}

type countedConn struct {
	*net.TCPConn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := countedConn{socket.(*net.TCPConn), new(atomic.Int64)}
	l.read.Store(socket.RemoteAddr().String(), counted.bytes)
	return counted, nil
}

func (c countedConn) Read(buffer []byte) (int, error) {
	count, err := c.TCPConn.Read(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

// shutdownRace is a gateway that stops while clients reuse their connections.
type shutdownRace struct {
	t                      *testing.T
	listener               *countingListener
	ready                  sync.WaitGroup
	answered, unread, lost atomic.Int64
}

func (r *shutdownRace) client() {
	const request = "GET /v1/programs/p HTTP/1.1\r\nHost: h.example\r\n\r\n"
	readied := sync.OnceFunc(r.ready.Done)
	defer readied()
	socket, err := net.Dial("tcp4", r.listener.Addr().String())
	if err != nil {
		r.t.Error(err)
		return
	}
	defer func() { _ = socket.Close() }()
	reader, answered := bufio.NewReader(socket), int64(0)
	for {
		if _, err := io.WriteString(socket, request); err != nil {
			return // closed before anything was sent
		}
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			break
		}
		if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable {
			r.t.Errorf("status %d", response.StatusCode)
		}
		answered++
		r.answered.Add(1)
		if response.Close {
			return
		}
		readied()
		time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond)
	}
	time.Sleep(5 * time.Millisecond)
	bytes, _ := r.listener.read.Load(socket.LocalAddr().String())
	if bytes.(*atomic.Int64).Load() > answered*int64(len(request)) {
		r.lost.Add(1)
		return
	}
	r.unread.Add(1)
}

// Requests that had been read as a stop closed their connections got no response.
func TestRequestsReadDuringShutdownAreAnswered(t *testing.T) {
	is := is.New(t)
	var answered, unread, lost int64
	for range 20 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		race := &shutdownRace{t: t, listener: &countingListener{Listener: listener}}
		g := gateway.New(gateway.Config{Programs: &programs{}, Board: blackboard.NewBoard()})
		served := make(chan error, 1)
		go func() { served <- g.Serve(race.listener) }()
		var clients sync.WaitGroup
		race.ready.Add(40)
		for range 40 {
			clients.Go(race.client)
		}
		race.ready.Wait()
		time.Sleep(time.Duration(rand.IntN(1000)) * time.Microsecond)
		is.NoErr(g.Shutdown(t.Context()))
		clients.Wait()
		is.NoErr(<-served)
		answered, unread, lost = answered+race.answered.Load(), unread+race.unread.Load(), lost+race.lost.Load()
	}
	t.Logf("%d answered, %d not read, %d read without a response", answered, unread, lost)
	is.Equal(lost, int64(0))
	is.True(answered >= 20*40)
}

// A stream of HTTP/1.0 that was cut off as the gateway closed all connections ended like a whole one.
func TestStreamOfUnknownLengthThatIsCutOffIsReset(t *testing.T) {
	for _, cutOff := range []bool{true, false} {
		is := is.New(t)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		g := gateway.New(gateway.Config{Programs: &programs{pause: 50 * time.Millisecond}, Board: blackboard.NewBoard()})
		served := make(chan error, 1)
		go func() { served <- g.Serve(listener) }()
		socket, err := net.Dial("tcp4", listener.Addr().String())
		is.NoErr(err)
		is.NoErr(socket.SetDeadline(time.Now().Add(10 * time.Second)))
		_, err = fmt.Fprintf(socket, "POST /v1/programs/p/calls HTTP/1.0\r\nHost: node\r\nAccept: text/event-stream\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(modelCall), modelCall)
		is.NoErr(err)
		first := make([]byte, 12)
		_, err = io.ReadFull(socket, first)
		is.NoErr(err)
		is.Equal(string(first), "HTTP/1.0 200")
		if cutOff {
			is.NoErr(g.Close())
		}
		_, err = io.ReadAll(socket)
		is.Equal(errors.Is(err, syscall.ECONNRESET), cutOff)
		is.Equal(err == nil, !cutOff)
		_ = socket.Close()
		is.NoErr(g.Close())
		is.NoErr(<-served)
	}
}

// A gateway that closes connections itself must ask callers to close, and neither wait for unused connections nor beyond ctx.
func TestShutdownClosesConnectionsAfterTheirResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFace(t, &programs{pause: time.Second}, gateway.Config{})
		fresh, err := f.listener.dial(t.Context())
		is.NoErr(err)
		defer func() { _ = fresh.Close() }()
		running := make(chan response, 1)
		go func() { running <- f.do(t, "POST", "/v1/programs/p/calls", modelCall) }()
		time.Sleep(time.Millisecond)
		f.gateway.Drain()
		began := time.Now()
		short, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		is.True(errors.Is(f.gateway.Shutdown(short), context.DeadlineExceeded))
		_, err = fresh.Read(make([]byte, 1))
		is.True(errors.Is(err, io.EOF)) // it had no request for a second
		is.Equal(time.Since(began), 2*time.Second)
		is.NoErr(f.gateway.Shutdown(t.Context()))
		answered := <-running
		is.Equal(answered.status, http.StatusOK)
		is.True(answered.closes)
		is.NoErr(f.gateway.Serve(newPipeListener()))
	})
}
