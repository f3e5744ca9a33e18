package backend

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Options are the timeouts and limits of the HTTP clients.
type Options struct {
	// DialTimeout is the timeout of a dial. A request whose dial fails was not delivered.
	DialTimeout time.Duration
	// HeaderTimeout is the timeout until a stream's response header.
	HeaderTimeout time.Duration
	// IdleTimeout is the timeout of a read from a response. Engines send comments while a
	// stream waits, so an engine that sends nothing is paused or unreachable.
	IdleTimeout time.Duration
	// CallTimeout is the timeout of a small request.
	CallTimeout time.Duration
	// TransferTimeout is the timeout of an export or import, OrderTimeout that of a fenced
	// order, and InvokeTimeout that of an application's operation.
	TransferTimeout time.Duration
	OrderTimeout    time.Duration
	InvokeTimeout   time.Duration
	// MaxBodyBytes is the maximum size of a response, and MaxEventBytes that of one event
	// of a stream.
	MaxBodyBytes  int64
	MaxEventBytes int
	// MaxConnections is the maximum number of connections to one engine. At most
	// MaxIdleConnections of them stay open while idle, for up to IdleConnectionTimeout.
	MaxConnections        int
	MaxIdleConnections    int
	IdleConnectionTimeout time.Duration
	// Dial opens connections; nil uses TCP. In-memory networks set it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// DefaultOptions returns options for a site with round trips of milliseconds between zones.
func DefaultOptions() Options {
	return Options{
		DialTimeout:           2 * time.Second,
		HeaderTimeout:         5 * time.Second,
		IdleTimeout:           5 * time.Second,
		CallTimeout:           3 * time.Second,
		TransferTimeout:       60 * time.Second,
		OrderTimeout:          5 * time.Minute,
		InvokeTimeout:         2 * time.Minute,
		MaxBodyBytes:          64 << 20,
		MaxEventBytes:         1 << 20,
		MaxConnections:        512,
		MaxIdleConnections:    16,
		IdleConnectionTimeout: 30 * time.Second,
	}
}

// engineTransport reuses connections. Requests to engines may be retried, since a repeated
// stream id joins the running stream.
func (o Options) engineTransport() *http.Transport {
	transport := o.transport()
	transport.MaxConnsPerHost = o.MaxConnections
	transport.MaxIdleConnsPerHost = o.MaxIdleConnections
	transport.IdleConnTimeout = o.IdleConnectionTimeout
	return transport
}

// applicationTransport opens a connection per operation. The replica may close a reused
// connection at any time; then a request that never arrived could not be distinguished from
// one whose response was lost, and net/http may retry it.
func (o Options) applicationTransport() *http.Transport {
	transport := o.transport()
	transport.DisableKeepAlives = true
	return transport
}
