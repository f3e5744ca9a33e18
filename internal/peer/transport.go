package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/wire"
)

// The defaults of Options.
const (
	defaultDialTimeout       = time.Second
	defaultHeartbeatInterval = 450 * time.Millisecond
	defaultSilenceTimeout    = 1500 * time.Millisecond
	defaultIdleTimeout       = time.Minute
	defaultMaxMessageBytes   = 64 << 20
	defaultMaxHandlers       = 16384
	defaultPartWindowBytes   = 256 << 10

	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = time.Second
)

// Options configures a Transport; zero fields have defaults. A dead connection with
// requests in flight is detected within SilenceTimeout plus HeartbeatInterval, which is
// less than two seconds by default.
type Options struct {
	DialTimeout       time.Duration
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration
	// IdleTimeout is how long a connection without requests is kept.
	IdleTimeout time.Duration
	// MaxMessageBytes bounds the size of one message.
	MaxMessageBytes int
	// MaxHandlers bounds the handlers running concurrently in each range of kinds. Further
	// requests are refused.
	MaxHandlers int
	// PartWindowBytes is the flow-control window for the parts of one request.
	PartWindowBytes int
	// Dial opens a connection; nil dials TCP.
	Dial   func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Logger *slog.Logger
	// Registerer registers the transport's metrics; it may be nil.
	Registerer prometheus.Registerer
}

func (o Options) withDefaults() Options {
	o.DialTimeout = cmp.Or(o.DialTimeout, defaultDialTimeout)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeatInterval)
	o.SilenceTimeout = cmp.Or(o.SilenceTimeout, defaultSilenceTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, defaultIdleTimeout)
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, defaultMaxMessageBytes)
	o.MaxHandlers = cmp.Or(o.MaxHandlers, defaultMaxHandlers)
	o.PartWindowBytes = cmp.Or(o.PartWindowBytes, defaultPartWindowBytes)
	o.Logger = cmp.Or(o.Logger, slog.Default())
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address.String())
		}
	}
	return o
}

// Transport implements the protocol over TCP. There is one connection per direction between
// two nodes, on which all requests are multiplexed. It implements Client; Serve accepts the
// connections of other nodes.
type Transport struct {
	registry *Registry
	options  Options
	stats    Stats
	server   server

	// mutex guards links and closed.
	mutex  sync.Mutex
	links  map[netip.AddrPort]*link
	closed bool
}

// NewTransport returns a transport. The registry may be filled until the first Call or
// Serve.
func NewTransport(registry *Registry, options Options) *Transport {
	t := &Transport{
		registry: registry,
		options:  options.withDefaults(),
		links:    map[netip.AddrPort]*link{},
	}
	t.server = newServer(t)
	if options.Registerer != nil {
		options.Registerer.MustRegister(&collector{&t.stats})
	}
	return t
}

// Stats returns the transport's counters.
func (t *Transport) Stats() *Stats { return &t.stats }

// Call implements Client. It returns ErrNotSent for errors before the request was passed to
// the socket, and for requests that the other node has refused.
func (t *Transport) Call(ctx context.Context, address netip.AddrPort, request Message, onPart func(Message) error) (Message, error) {
	encoder := wire.NewEncoder(nil)
	request.Encode(encoder)
	fields := encoder.Bytes()
	if len(fields) > t.options.MaxMessageBytes {
		return nil, fmt.Errorf("%w: message of %d bytes", ErrNotSent, len(fields))
	}
	message, err := t.callOnce(ctx, address, request.Kind(), fields, onPart)
	if errors.Is(err, errConnectionEnded) && errors.Is(err, ErrNotSent) {
		// The connection was idle for too long or broke just before, so retry on a new one.
		message, err = t.callOnce(ctx, address, request.Kind(), fields, onPart)
	}
	return message, err
}

func (t *Transport) callOnce(ctx context.Context, address netip.AddrPort, kind Kind, fields []byte, onPart func(Message) error) (Message, error) {
	connection, err := t.connect(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrNotSent, address, err)
	}
	message, err := connection.call(ctx, kind, fields, onPart)
	if errors.Is(err, ErrUnreachable) {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return message, err
}

// Close closes all connections immediately. For a graceful stop, call Shutdown first.
func (t *Transport) Close() {
	t.mutex.Lock()
	t.closed = true
	links := t.links
	t.links = map[netip.AddrPort]*link{}
	t.mutex.Unlock()
	for _, link := range links {
		link.close()
	}
	t.server.close()
}

// link is the state of the connection to one address: connected, dialling, or waiting to
// retry a failed dial.
type link struct {
	transport *Transport
	address   netip.AddrPort

	// mutex guards all fields below. dialling is closed at the end of a dial and nil if
	// there is none in progress.
	mutex      sync.Mutex
	connection *clientConnection
	dialling   chan struct{}
	lastError  error
	failures   int
	notBefore  time.Time
	closed     bool
}

func (t *Transport) link(address netip.AddrPort) (*link, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil, net.ErrClosed
	}
	found := t.links[address]
	if found == nil {
		found = &link{transport: t, address: address}
		t.links[address] = found
	}
	return found, nil
}

// connect returns the connection to address and dials if there is none. Concurrent callers
// share one dial.
func (t *Transport) connect(ctx context.Context, address netip.AddrPort) (*clientConnection, error) {
	link, err := t.link(address)
	if err != nil {
		return nil, err
	}
	for {
		connection, dialling, err := link.current()
		if connection != nil || err != nil {
			return connection, err
		}
		select {
		case <-dialling:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// current returns the connection, a dial to wait for, or the error of the last dial.
func (l *link) current() (*clientConnection, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return nil, nil, net.ErrClosed
	}
	if l.connection != nil && l.connection.alive() {
		return l.connection, nil, nil
	}
	if l.dialling != nil {
		return nil, l.dialling, nil
	}
	if time.Now().Before(l.notBefore) {
		return nil, nil, l.lastError
	}
	l.dialling = make(chan struct{})
	go l.dial(l.dialling)
	return nil, l.dialling, nil
}

func (l *link) dial(done chan struct{}) {
	t := l.transport
	t.stats.Dials.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), t.options.DialTimeout)
	defer cancel()
	socket, err := t.options.Dial(ctx, l.address)
	if err == nil {
		_ = socket.SetWriteDeadline(time.Now().Add(t.options.DialTimeout)) // if this fails, so does the write
		_, err = socket.Write([]byte(preface))
		_ = socket.SetWriteDeadline(time.Time{})
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	defer close(done)
	l.dialling = nil
	switch {
	case err != nil:
		t.stats.DialFailures.Add(1)
		l.lastError = err
		l.failures++
		l.notBefore = time.Now().Add(dialBackoff(l.failures))
	case l.closed:
		_ = socket.Close()
	default:
		l.failures = 0
		l.connection = newClientConnection(socket, t)
	}
}

// dialBackoff returns an exponential delay with jitter, so that nodes do not all dial a
// recovered node at once.
func dialBackoff(failures int) time.Duration {
	limit := min(minDialBackoff<<min(failures-1, 10), maxDialBackoff)
	return limit/2 + rand.N(limit/2)
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	if l.connection != nil {
		l.connection.fail(net.ErrClosed)
	}
}
