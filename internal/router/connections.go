package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Connections tracks the clients' connections, so that a planned stop can close
// those without a request and never one with a request.
type Connections struct {
	// mutex guards open.
	mutex sync.Mutex
	open  map[net.Conn]*clientConnection
}

// clientConnection is one connection of a client. Invariant: once closed is set,
// no request that arrives on it is passed on.
type clientConnection struct {
	// mutex guards all below.
	mutex  sync.Mutex
	busy   bool
	closed bool
	// fresh tells that no request has come on it yet.
	fresh bool
	// restsSince is when its last answer was sent; zero while none has been.
	restsSince time.Time
}

type connectionKey struct{}

// NewConnections returns a tracker without connections.
func NewConnections() *Connections {
	return &Connections{open: map[net.Conn]*clientConnection{}}
}

// Context is the ConnContext hook of http.Server.
func (c *Connections) Context(ctx context.Context, socket net.Conn) context.Context {
	tracked := &clientConnection{fresh: true}
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
		// The last answer has been sent whole.
		if tracked, found := c.open[socket]; found {
			tracked.endRequest()
		}
	}
}

// CloseIdle closes the connections that have served requests and wait for one
// more; with fresh, also those on which none has come yet. It returns how many
// are left.
func (c *Connections) CloseIdle(fresh bool) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	left := 0
	for socket, tracked := range c.open {
		if !tracked.closeIfIdle(fresh) {
			left++
			continue
		}
		// There is nobody to tell of an error.
		_ = socket.Close()
	}
	return left
}

func (t *clientConnection) closeIfIdle(fresh bool) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.busy || t.fresh && !fresh {
		return false
	}
	t.closed = true
	return true
}

// beginRequest marks the connection as busy; false if it is being closed.
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
	tracked.busy, tracked.fresh = true, false
	return true
}

func (t *clientConnection) endRequest() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.busy = false
	t.restsSince = time.Now()
}

// restsLonger tells whether the connection has rested for longer than limit.
func (t *clientConnection) restsLonger(limit time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return !t.busy && !t.restsSince.IsZero() && time.Since(t.restsSince) > limit
}

// CloseResting closes the connections that have rested for longer than limit.
func (c *Connections) CloseResting(limit time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for socket, tracked := range c.open {
		if tracked.restsLonger(limit) && tracked.closeIfIdle(false) {
			// There is nobody to tell of an error.
			_ = socket.Close()
		}
	}
}

// Count returns how many connections are open.
func (c *Connections) Count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}
