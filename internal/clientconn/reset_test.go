package clientconn

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// readToEnd sends a request of HTTP/1.0 and returns what was received and how the connection ended.
func readToEnd(t *testing.T, handler http.HandlerFunc, beforeRead func(*http.Server)) (string, error) {
	is := is.New(t)
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	listener = NewTracker(slog.New(slog.DiscardHandler), nil).Track(server, listener)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	socket, err := net.Dial("tcp4", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = socket.Close() }()
	_, err = io.WriteString(socket, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	if beforeRead != nil {
		beforeRead(server)
	}
	is.NoErr(socket.SetReadDeadline(time.Now().Add(10 * time.Second)))
	received, err := io.ReadAll(socket)
	return string(received), err
}

// A response without a length that broke off ended with FIN, as a whole one does.
func TestConnectionEndsWithAResetUnlessItsResponseIsWhole(t *testing.T) {
	// part is more than a socket's buffers hold at once.
	part := strings.Repeat("x", 8<<20)
	begin := func(writer http.ResponseWriter, request *http.Request, body string) (whole func()) {
		whole, found := ResetUnlessWhole(request.Context())
		if !found {
			panic("not tracked")
		}
		_, _ = io.WriteString(writer, body)
		_ = http.NewResponseController(writer).Flush()
		return whole
	}
	slow := func(*http.Server) { time.Sleep(50 * time.Millisecond) }
	for name, c := range map[string]struct {
		handler    http.HandlerFunc
		beforeRead func(*http.Server)
		reset      bool
		// least is how much of the body must arrive at least.
		least int
	}{
		"whole": {func(w http.ResponseWriter, r *http.Request) { begin(w, r, part)() }, slow, false, len(part)},
		"not tracked": {func(w http.ResponseWriter, _ *http.Request) {
			if _, found := ResetUnlessWhole(t.Context()); found {
				t.Error("found")
			}
			_, _ = io.WriteString(w, "x")
		}, nil, false, 1},
		"returns early": {func(w http.ResponseWriter, r *http.Request) { begin(w, r, "x") }, nil, true, 0},
		"aborts after all was sent": {func(w http.ResponseWriter, r *http.Request) {
			begin(w, r, part)
			AwaitSent(r.Context(), 10*time.Second)
			panic(http.ErrAbortHandler)
		}, slow, true, len(part)},
		"server is closed": {func(w http.ResponseWriter, r *http.Request) {
			begin(w, r, "x")
			<-r.Context().Done()
		}, func(server *http.Server) { time.Sleep(50 * time.Millisecond); _ = server.Close() }, true, 1},
		"write times out": {func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
			begin(w, r, strings.Repeat(part, 4))
		}, func(*http.Server) { time.Sleep(200 * time.Millisecond) }, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			received, err := readToEnd(t, c.handler, c.beforeRead)
			is.Equal(errors.Is(err, syscall.ECONNRESET), c.reset)
			is.Equal(err == nil, !c.reset)
			is.True(strings.Count(received, "x") >= c.least)
		})
	}
}

// A wait for a client that does not read lasted until it did.
func TestWaitForAClientThatDoesNotReadIsBounded(t *testing.T) {
	is := is.New(t)
	waited := make(chan time.Duration, 1)
	_, err := readToEnd(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = ResetUnlessWhole(r.Context())
		tracked := r.Context().Value(contextKey{}).(*connection)
		go func() { _, _ = tracked.Write(make([]byte, 64<<20)) }()
		for before, equal := 0, 0; equal < 20; time.Sleep(5 * time.Millisecond) { // until the buffers are full
			unsent := tracked.unsent()
			if equal++; unsent == 0 || unsent != before {
				before, equal = unsent, 0
			}
		}
		began := time.Now()
		AwaitSent(r.Context(), 50*time.Millisecond)
		waited <- time.Since(began)
		panic(http.ErrAbortHandler)
	}, func(*http.Server) {
		took := <-waited
		is.True(took >= 50*time.Millisecond && took < 5*time.Second)
	})
	is.True(errors.Is(err, syscall.ECONNRESET))
}
