package backend

import (
	"net/http"
	"net/netip"
	"sync"
)

// HTTPDirectory returns HTTP clients. Clients of engines share a connection pool; those of
// applications open a connection for each operation. It is safe for concurrent use.
type HTTPDirectory struct {
	options      Options
	engines      *http.Transport
	applications *http.Transport

	// mutex guards the clients.
	mutex              sync.Mutex
	engineClients      map[netip.AddrPort]*EngineClient
	applicationClients map[netip.AddrPort]*ApplicationClient
}

var _ Directory = (*HTTPDirectory)(nil)

// maxCachedClients is the maximum number of cached clients of each kind. Clients have no
// connections of their own, so the cache may be cleared at any time.
const maxCachedClients = 4096

// NewDirectory returns a directory of HTTP clients.
func NewDirectory(options Options) *HTTPDirectory {
	return &HTTPDirectory{
		options:            options,
		engines:            options.engineTransport(),
		applications:       options.applicationTransport(),
		engineClients:      map[netip.AddrPort]*EngineClient{},
		applicationClients: map[netip.AddrPort]*ApplicationClient{},
	}
}

// Engine implements Directory.
func (d *HTTPDirectory) Engine(address netip.AddrPort) Engine {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return cachedClient(d.engineClients, maxCachedClients, address, func() *EngineClient {
		return &EngineClient{client: newClient(address, d.options, d.engines)}
	})
}

// Application implements Directory.
func (d *HTTPDirectory) Application(address netip.AddrPort) Application {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return cachedClient(d.applicationClients, maxCachedClients, address, func() *ApplicationClient {
		return &ApplicationClient{client: newClient(address, d.options, d.applications)}
	})
}

func cachedClient[C any](clients map[netip.AddrPort]*C, limit int, address netip.AddrPort, create func() *C) *C {
	if known, found := clients[address]; found {
		return known
	}
	if len(clients) >= limit {
		clear(clients)
	}
	created := create()
	clients[address] = created
	return created
}

// Close closes idle connections.
func (d *HTTPDirectory) Close() {
	d.engines.CloseIdleConnections()
	d.applications.CloseIdleConnections()
}
