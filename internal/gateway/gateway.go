// Package gateway is the HTTP face for callers: programs, calls and their
// streams, and an endpoint in the shape that OpenAI clients use. It holds no
// state of programs; every request goes to a serving.Programs, which takes any
// program on any node.
package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/serving"
)

// Defaults of Config.
const (
	defaultMaxBodyBytes = 8 << 20
	defaultBodyTimeout  = 20 * time.Second
	defaultWriteTimeout = 10 * time.Second
	defaultHeartbeat    = 10 * time.Second
	defaultMaxWait      = 15 * time.Minute
	defaultMaxInFlight  = 20000
	defaultTenant       = "default"

	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10

	// drainRetry is when callers of a draining node should come back, to another.
	drainRetry = time.Second
	// endTimeout bounds the end of a program of one call after its answer.
	endTimeout = 10 * time.Second
)

// keepAlive finds half-open connections of callers who wait for an answer.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// Config is what a Gateway needs. Programs and Board are required; zero fields
// take their defaults.
type Config struct {
	Programs serving.Programs
	// Board tells whether the node drains and which classes the table has.
	Board  *blackboard.Board
	Logger *slog.Logger
	// Registerer takes the gateway's metrics; it may be nil.
	Registerer prometheus.Registerer
	// MaxBodyBytes bounds a request's body, BodyTimeout the time until it is there.
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	// WriteTimeout bounds each write to a caller who reads slowly.
	WriteTimeout time.Duration
	// Heartbeat is the time between comments on a quiet stream; they find
	// callers that are gone.
	Heartbeat time.Duration
	// MaxWait bounds the wait for an answer where the call has no deadline.
	MaxWait time.Duration
	// MaxInFlight bounds the requests under way; more are refused as overloaded.
	MaxInFlight int64
	// DefaultTenant and DefaultClass are for OpenAI-shaped calls without headers.
	// With no DefaultClass it is the table's class "default", or its only one.
	DefaultTenant string
	DefaultClass  string
	// NewID makes program ids; nil makes random UUIDs.
	NewID func() string
}

func (c Config) withDefaults() Config {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, defaultMaxBodyBytes)
	c.BodyTimeout = cmp.Or(c.BodyTimeout, defaultBodyTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, defaultWriteTimeout)
	c.Heartbeat = cmp.Or(c.Heartbeat, defaultHeartbeat)
	c.MaxWait = cmp.Or(c.MaxWait, defaultMaxWait)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, defaultMaxInFlight)
	c.DefaultTenant = cmp.Or(c.DefaultTenant, defaultTenant)
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.NewID == nil {
		c.NewID = uuid.NewString
	}
	return c
}

// Gateway answers callers. It is safe for concurrent use.
type Gateway struct {
	config   Config
	metrics  *metrics
	handler  http.Handler
	server   *http.Server
	draining atomic.Bool
	inFlight atomic.Int64
	// endings counts the ends of one-call programs that are under way.
	endings sync.WaitGroup
}

// New returns a gateway that does not listen yet.
func New(config Config) *Gateway {
	g := &Gateway{config: config.withDefaults()}
	g.metrics = newMetrics(g.config.Registerer, g)
	g.handler = g.protect(g.routes())
	g.server = &http.Server{
		Handler:           g.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(g.config.Logger.Handler(), slog.LevelDebug),
	}
	return g
}

// Handler returns the whole interface as a handler.
func (g *Gateway) Handler() http.Handler { return g.handler }

// Serve answers on listener until Shutdown or Close, and then returns nil.
func (g *Gateway) Serve(listener net.Listener) error {
	err := g.server.Serve(keepAliveListener{listener})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("gateway: serve %s: %w", listener.Addr(), err)
}

type keepAliveListener struct{ net.Listener }

func (l keepAliveListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if tcp, isTCP := socket.(*net.TCPConn); isTCP {
		_ = tcp.SetKeepAliveConfig(keepAlive) // without it the connection works all the same
	}
	return socket, err
}

// Drain refuses new requests from now on as node_draining and lets those under
// way finish. The node's Draining cell has the same effect.
func (g *Gateway) Drain() { g.draining.Store(true) }

func (g *Gateway) drains() bool { return g.draining.Load() || g.config.Board.Draining.Load() }

// Shutdown drains, waits until every request under way is answered, or ctx ends,
// and closes the listener.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	if err := g.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("gateway: shutdown with %d requests under way: %w", g.inFlight.Load(), err)
	}
	g.endings.Wait()
	return nil
}

// Close cuts off everything.
func (g *Gateway) Close() error { return g.server.Close() }
