// Package gateway is the HTTP API for callers: programs, calls and their
// streams, and an endpoint compatible with OpenAI clients. It keeps no state of
// programs; every request goes to a serving.Programs, which serves any program
// on any node.
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
	"stepseam.example/stepseam/internal/clientconn"
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

	// drainRetry is the Retry-After of requests that a draining or overloaded node
	// refuses.
	drainRetry = time.Second
	// endTimeout bounds the request that ends a single-call program.
	endTimeout = 10 * time.Second
)

// keepAlive detects half-open connections of callers that wait for an answer.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// Config configures a Gateway. Programs and Board are required; other fields
// that are zero get their defaults.
type Config struct {
	Programs serving.Programs
	// Board provides the node's draining state and the table.
	Board  *blackboard.Board
	Logger *slog.Logger
	// Registerer registers the gateway's metrics; it may be nil.
	Registerer prometheus.Registerer
	// MaxBodyBytes bounds the size of a request body, BodyTimeout the time to
	// receive it.
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// Heartbeat is the time between comments on an idle stream; they detect
	// callers that disconnected.
	Heartbeat time.Duration
	// MaxWait bounds the wait for an answer. It applies to calls without a
	// deadline and caps longer deadlines.
	MaxWait time.Duration
	// MaxInFlight bounds the requests in flight; more are refused as overloaded.
	MaxInFlight int64
	// DefaultTenant and DefaultClass apply to OpenAI-compatible calls without
	// headers. If DefaultClass is empty, the class is the table's only class, or
	// "default".
	DefaultTenant string
	DefaultClass  string
	// NewID generates program ids; nil means random UUIDs.
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

// Gateway serves the API. It is safe for concurrent use.
type Gateway struct {
	config   Config
	metrics  *metrics
	handler  http.Handler
	server   *clientconn.Server
	draining atomic.Bool
	inFlight atomic.Int64
	// endings counts the single-call programs that are being ended.
	endings sync.WaitGroup
}

// New returns a gateway; Serve starts it.
func New(config Config) *Gateway {
	g := &Gateway{config: config.withDefaults()}
	g.metrics = newMetrics(g.config.Registerer, g)
	g.handler = g.protect(g.routes())
	g.server = clientconn.NewServer(&http.Server{
		Handler:           g.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(g.config.Logger.Handler(), slog.LevelDebug),
	}, clientconn.NewTracker(g.config.Logger, g.config.Registerer))
	return g
}

// Handler returns the HTTP handler of the API.
func (g *Gateway) Handler() http.Handler { return g.handler }

// Serve serves requests on listener until Shutdown or Close, and then returns
// nil. It may be called once.
func (g *Gateway) Serve(listener net.Listener) error {
	if err := g.server.Serve(keepAliveListener{listener}); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	return nil
}

type keepAliveListener struct{ net.Listener }

func (l keepAliveListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if tcp, isTCP := socket.(*net.TCPConn); isTCP {
		_ = tcp.SetKeepAliveConfig(keepAlive) // best effort: the connection works without it
	}
	return socket, err
}

// Drain makes the gateway refuse new requests with node_draining; requests in
// flight finish. The Draining cell of the board has the same effect.
func (g *Gateway) Drain() { g.draining.Store(true) }

func (g *Gateway) isDraining() bool { return g.draining.Load() || g.config.Board.Draining.Load() }

// Shutdown drains the gateway, closes the listener, and waits until every request
// in flight is answered or ctx ends. Requests that were read are answered, unlike
// with http.Server.Shutdown.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.Drain()
	open, err := g.server.Shutdown(ctx)
	if open > 0 {
		return errors.Join(err, fmt.Errorf("gateway: shutdown with %d connections and %d requests in flight: %w", open, g.inFlight.Load(), ctx.Err()))
	}
	g.endings.Wait()
	return err
}

// Close closes the listener and all connections immediately.
func (g *Gateway) Close() error { return g.server.Close() }
