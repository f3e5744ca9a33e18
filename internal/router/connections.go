package router

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Connections tracks the clients' connections, so that a shutdown can close idle ones
// without interrupting a request. It is safe for concurrent use.
type Connections struct {
	logger *slog.Logger
	closed *prometheus.CounterVec

	// mutex guards open.
	mutex sync.Mutex
	open  map[net.Conn]*clientConnection
}

// clientConnection is the state of one connection. Invariant: once closed is set, no
// request that arrives on it is processed.
type clientConnection struct {
	connections *Connections
	socket      net.Conn

	// mutex guards the fields below.
	mutex  sync.Mutex
	busy   bool
	closed bool
	// unused reports that no request has arrived on it yet.
	unused bool
	// idleSince is the time at which the last response was sent; zero if there was none.
	idleSince time.Time
}

type connectionKey struct{}

// Reasons for which the node closes a connection by itself.
const (
	closedIdle = "idle"
	closedStop = "stop"
)

// NewConnections returns an empty tracker. registerer may be nil.
func NewConnections(logger *slog.Logger, registerer prometheus.Registerer) *Connections {
	built := &Connections{
		logger: logger, open: map[net.Conn]*clientConnection{},
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_client_connections_closed_total",
			Help: "Clients' connections closed by the node, by reason and what had arrived of a request: none, unread or read.",
		}, []string{"reason", "request"}),
	}
	if registerer != nil {
		registerer.MustRegister(built.closed)
	}
	return built
}

// Context is the ConnContext hook of http.Server.
func (c *Connections) Context(ctx context.Context, socket net.Conn) context.Context {
	tracked := &clientConnection{connections: c, socket: socket, unused: true}
	c.mutex.Lock()
	c.open[socket] = tracked
	c.mutex.Unlock()
	return context.WithValue(ctx, connectionKey{}, tracked)
}

// State is the ConnState hook of http.Server.
func (c *Connections) State(socket net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, socket)
	case http.StateIdle:
		// The last response has been sent completely.
		if tracked, found := c.open[socket]; found {
			tracked.endRequest()
		}
	}
}

// CloseIdle closes the connections that are idle after a request and, if fresh is set,
// also those without a request so far. It returns the number of connections left open.
func (c *Connections) CloseIdle(fresh bool) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	left := 0
	for socket, tracked := range c.open {
		if !tracked.closeIfIdle(fresh) {
			left++
			continue
		}
		c.close(socket, tracked, closedStop)
	}
	return left
}

func (c *Connections) close(socket net.Conn, tracked *clientConnection, reason string) {
	request := "none"
	if tracked.unread() {
		request = "unread"
	}
	// A failure to close is of no consequence.
	_ = socket.Close()
	tracked.logClosed(reason, request)
}

// logClosed counts a connection that the node has closed, and logs it if a request had arrived on it.
func (t *clientConnection) logClosed(reason, request string) {
	t.connections.closed.WithLabelValues(reason, request).Inc()
	if request == "none" {
		return
	}
	t.mutex.Lock()
	rested := time.Duration(0)
	if !t.idleSince.IsZero() {
		rested = time.Since(t.idleSince)
	}
	t.mutex.Unlock()
	t.connections.logger.LogAttrs(context.Background(), slog.LevelWarn, "connection closed with a request in it",
		slog.String("reason", reason), slog.String("request", request), slog.String("client", t.socket.RemoteAddr().String()), durationAttr("rested", rested))
}

func (t *clientConnection) closeIfIdle(fresh bool) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.busy || t.unused && !fresh {
		return false
	}
	t.closed = true
	return true
}

// beginRequest marks the connection as busy. It returns false if the connection is being
// closed.
func beginRequest(ctx context.Context) bool {
	tracked, found := ctx.Value(connectionKey{}).(*clientConnection)
	if !found {
		return true
	}
	tracked.mutex.Lock()
	defer tracked.mutex.Unlock()
	if tracked.closed {
		return false
	}
	tracked.busy, tracked.unused = true, false
	return true
}

// clientLeft reports whether the client has closed its connection. The request's context ends a little
// later, or much later on a busy machine, since another goroutine detects that.
func clientLeft(ctx context.Context) bool {
	tracked, found := ctx.Value(connectionKey{}).(*clientConnection)
	return found && tracked.ended()
}

// ended reports whether the peer has closed the connection. It does not wait for the goroutine that
// reads.
func (t *clientConnection) ended() bool {
	count, err := t.peek()
	return count == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// unread reports whether bytes have arrived that no reader has taken.
func (t *clientConnection) unread() bool {
	count, err := t.peek()
	return count > 0 && err == nil
}

// peek returns how many bytes can be read, one at most. At the end of the input it returns 0 and no
// error.
func (t *clientConnection) peek() (count int, err error) {
	conn, ok := t.socket.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	closed := raw.Control(func(descriptor uintptr) {
		var peeked [1]byte
		count, _, err = syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return count, errors.Join(err, closed)
}

func (t *clientConnection) endRequest() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.busy = false
	t.idleSince = time.Now()
}

// idleLongerThan reports whether the connection has been idle for longer than limit after
// a request.
func (t *clientConnection) idleLongerThan(limit time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.busy && !t.idleSince.IsZero() && time.Since(t.idleSince) > limit
}

// CloseResting closes the connections that have been idle for longer than limit.
func (c *Connections) CloseResting(limit time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for socket, tracked := range c.open {
		if tracked.idleLongerThan(limit) && tracked.closeIfIdle(false) {
			c.close(socket, tracked, closedIdle)
		}
	}
}

// Count returns the number of open connections.
func (c *Connections) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}
