package backend

import (
	"net/http"
	"net/netip"
	"sync"
)

// HTTPDirectory makes HTTP clients. Clients of engines share connections, those
// of applications share none.
type HTTPDirectory struct {
	options      Options
	engines      *http.Transport
	applications *http.Transport

	mutex              sync.Mutex
	engineClients      map[netip.AddrPort]*EngineClient
	applicationClients map[netip.AddrPort]*ApplicationClient
}

var _ Directory = (*HTTPDirectory)(nil)

// maxRememberedClients bounds the clients that a directory keeps; a client holds
// no connection itself, so forgetting one costs nothing.
const maxRememberedClients = 4096

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
	return remember(d.engineClients, maxRememberedClients, address, func() *EngineClient {
		return &EngineClient{client: newClient(address, d.options, d.engines)}
	})
}

// Application implements Directory.
func (d *HTTPDirectory) Application(address netip.AddrPort) Application {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return remember(d.applicationClients, maxRememberedClients, address, func() *ApplicationClient {
		return &ApplicationClient{client: newClient(address, d.options, d.applications)}
	})
}

func remember[C any](clients map[netip.AddrPort]*C, limit int, address netip.AddrPort, create func() *C) *C {
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

// Close closes the connections that are idle.
func (d *HTTPDirectory) Close() {
	d.engines.CloseIdleConnections()
	d.applications.CloseIdleConnections()
}
