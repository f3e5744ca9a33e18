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

// Defaults of Options.
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

// Options are a transport's settings; zero fields take their defaults. A dead
// connection with requests under way is noticed within SilenceTimeout plus
// HeartbeatInterval, below two seconds by default.
type Options struct {
	DialTimeout       time.Duration
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration
	// IdleTimeout closes connections without requests.
	IdleTimeout time.Duration
	// MaxMessageBytes bounds one message, whatever its chunks.
	MaxMessageBytes int
	// MaxHandlers bounds the requests of each range of kinds that are handled at
	// once; more are refused.
	MaxHandlers int
	// PartWindowBytes is how many bytes of parts one request may have on their way.
	PartWindowBytes int
	// Dial opens a connection; nil dials TCP.
	Dial   func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Logger *slog.Logger
	// Registerer takes the transport's metrics; it may be nil.
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

// Transport carries the peer protocol over TCP: one connection per direction
// between two nodes, on which all requests are multiplexed. It implements
// Client; Serve takes the other nodes' connections.
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

// NewTransport returns a transport. The registry may be filled until the first
// Call or Serve.
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

// Call implements Client. Errors before the request was handed to the socket,
// and refusals of a node that handed it to no handler, are ErrNotSent.
func (t *Transport) Call(ctx context.Context, address netip.AddrPort, request Message, onPart func(Message) error) (Message, error) {
	encoder := wire.NewEncoder(nil)
	request.Encode(encoder)
	fields := encoder.Bytes()
	if len(fields) > t.options.MaxMessageBytes {
		return nil, fmt.Errorf("%w: message of %d bytes", ErrNotSent, len(fields))
	}
	message, err := t.callOnce(ctx, address, request.Kind(), fields, onPart)
	if errors.Is(err, errConnectionEnded) && errors.Is(err, ErrNotSent) {
		// The connection idled out or broke just before; a new one is worth a try.
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

// Close ends all connections at once; Shutdown of the serving side comes first
// in a planned stop.
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

// link is the way to one address: a connection, or a dial under way, or a time
// before which no new dial is made.
type link struct {
	transport *Transport
	address   netip.AddrPort

	// mutex guards all below. dialling is not nil while a dial is under way and
	// closed after it.
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

// connect returns the live connection to address, dialling if there is none.
// All callers share one dial.
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

// current returns the live connection, or the dial to wait for, or why not.
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
		_ = socket.SetWriteDeadline(time.Now().Add(t.options.DialTimeout)) // a socket that cannot fails at the write
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

// dialBackoff doubles with each failure in a row, with jitter so that nodes do
// not dial a returning one all at once.
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
