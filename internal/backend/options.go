package backend

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Options bound what the HTTP clients wait for, read and keep open.
type Options struct {
	// DialTimeout bounds connecting; a dial that fails was never delivered.
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for an answer's first byte.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the silence inside a stream. Engines send comments
	// while a stream waits, so a silent engine is a frozen or unreachable one.
	IdleTimeout time.Duration
	// CallTimeout bounds a small request as a whole.
	CallTimeout time.Duration
	// TransferTimeout bounds an export or import, OrderTimeout a fenced order,
	// InvokeTimeout an application's operation.
	TransferTimeout time.Duration
	OrderTimeout    time.Duration
	InvokeTimeout   time.Duration
	// MaxBodyBytes bounds a whole answer, MaxEventBytes one event of a stream.
	MaxBodyBytes  int64
	MaxEventBytes int
	// MaxConnections bounds the connections to one engine, MaxIdleConnections
	// those that are kept open unused, for IdleConnectionTimeout.
	MaxConnections        int
	MaxIdleConnections    int
	IdleConnectionTimeout time.Duration
	// Dial makes connections; nil takes TCP. In-memory networks set it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// DefaultOptions returns the bounds for a site whose zones are milliseconds apart.
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

// engineTransport reuses connections. Requests to engines are safe to repeat:
// the stream id joins a stream that runs already.
func (o Options) engineTransport() *http.Transport {
	transport := o.transport()
	transport.MaxConnsPerHost = o.MaxConnections
	transport.MaxIdleConnsPerHost = o.MaxIdleConnections
	transport.IdleConnTimeout = o.IdleConnectionTimeout
	return transport
}

// applicationTransport opens a connection per operation. On a reused one, which
// the replica may just have closed, a request that never arrived could not be
// told from one whose answer was lost, and net/http may send it a second time.
func (o Options) applicationTransport() *http.Transport {
	transport := o.transport()
	transport.DisableKeepAlives = true
	return transport
}
