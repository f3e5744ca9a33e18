// Package clientconn tracks the connections of a server's clients. It closes idle ones through their
// reader, so that no connection is closed whose next request has been read, and detects clients that
// have left.
package clientconn

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// noIdleLimit is the idle limit if there is none.
const noIdleLimit = time.Duration(math.MaxInt64)

// drainPollInterval is the time between two checks for idle connections.
const drainPollInterval = 20 * time.Millisecond

// closeReason is a reason for which the node closes a connection by itself.
type closeReason string

const (
	closedIdle closeReason = "idle"
	closedStop closeReason = "stop"
)

// Tracker tracks the clients' connections, so that idle ones can be closed without losing a
// request. It is safe for concurrent use.
type Tracker struct {
	logger *slog.Logger
	closed *prometheus.CounterVec
	// idleLimit is the limit in force, in nanoseconds.
	idleLimit atomic.Int64

	// mutex guards open. It is locked before that of a connection.
	mutex sync.Mutex
	open  map[*connection]struct{}
}

type contextKey struct{}

// NewTracker returns an empty tracker without an idle limit. registerer may be nil.
func NewTracker(logger *slog.Logger, registerer prometheus.Registerer) *Tracker {
	built := &Tracker{
		logger: logger, open: map[*connection]struct{}{},
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "stepseam_client_connections_closed_total",
			Help: "Clients' connections that the node was to close by itself, by reason and outcome: closed, or kept since a request arrived.",
		}, []string{"reason", "outcome"}),
	}
	built.idleLimit.Store(int64(noIdleLimit))
	if registerer != nil {
		registerer.MustRegister(built.closed)
	}
	return built
}

// Track makes a server report the connections of a listener to the tracker. The server must be served
// with the returned listener.
func (t *Tracker) Track(server *http.Server, listener net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, socket net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, socket)
	}
	server.ConnState = func(socket net.Conn, state http.ConnState) {
		if tracked, ok := socket.(*connection); ok && state == http.StateIdle {
			// The last response has been sent completely.
			tracked.rest()
		}
	}
	return &trackedListener{Listener: listener, tracker: t}
}

// trackedListener tracks the connections that it accepts.
type trackedListener struct {
	net.Listener
	tracker *Tracker
	// accepting is held until an accepted connection is tracked.
	accepting sync.Mutex
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	l.accepting.Lock()
	defer l.accepting.Unlock()
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &connection{Conn: socket, tracker: l.tracker}
	l.tracker.mutex.Lock()
	defer l.tracker.mutex.Unlock()
	l.tracker.open[tracked] = struct{}{}
	return tracked, nil
}

// Close implements net.Listener. Once it has returned, all connections that were accepted are tracked.
func (l *trackedListener) Close() error {
	err := l.Listener.Close()
	l.accepting.Lock()
	defer l.accepting.Unlock()
	return err
}

// SetIdleLimit sets the time after which connections without a request are closed; 0 sets no limit.
// A connection that is idle keeps the greatest limit in force since it became so, since its client
// may reuse it by that one.
func (t *Tracker) SetIdleLimit(limit time.Duration) {
	if limit <= 0 {
		limit = noIdleLimit
	}
	t.idleLimit.Store(int64(limit))
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for tracked := range t.open {
		tracked.raiseIdleLimit(limit)
	}
}

// CloseResting closes the connections that have exceeded their idle limit.
func (t *Tracker) CloseResting() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for tracked := range t.open {
		tracked.closeIfResting()
	}
}

// CloseIdle closes the connections that are idle after a request and, if fresh is set, also those
// without a request so far. It returns the number of connections that are still open.
func (t *Tracker) CloseIdle(fresh bool) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for tracked := range t.open {
		tracked.closeIfIdle(fresh)
	}
	return len(t.open)
}

// Drain closes connections as they become idle, and from freshUntil on also those without a request so
// far, until none is open or ctx has ended. It returns the number of connections that are still open.
// The listener must be closed.
func (t *Tracker) Drain(ctx context.Context, freshUntil time.Time) int {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if t.CloseIdle(time.Now().After(freshUntil)) == 0 {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return t.Count()
		}
	}
}

// Count returns the number of open connections.
func (t *Tracker) Count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.open)
}

func (t *Tracker) remove(tracked *connection) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.open, tracked)
}

func (t *Tracker) count(reason closeReason, outcome string, client net.Addr, idle time.Duration) {
	t.closed.WithLabelValues(string(reason), outcome).Inc()
	t.logger.LogAttrs(context.Background(), slog.LevelDebug, "idle connection expired", slog.String("reason", string(reason)),
		slog.String("outcome", outcome), slog.String("client", client.String()), slog.Float64("idle_ms", float64(idle.Microseconds())/1000))
}

// PeerClosed reports whether the client has closed its connection, or its sending side, which looks the
// same. The request's context ends a little later, or much later on a busy machine, since another
// goroutine detects that.
func PeerClosed(ctx context.Context) bool {
	tracked, found := ctx.Value(contextKey{}).(*connection)
	return found && tracked.ended()
}
