package distribution

import (
	"context"
	"sync"
)

// readGate blocks reads of the store until it is opened. It is safe for concurrent use.
type readGate struct {
	// mutex guards the fields below. opened is closed while the gate is open.
	mutex  sync.Mutex
	opened chan struct{}
	isOpen bool
}

func newReadGate() *readGate { return &readGate{opened: make(chan struct{})} }

// set opens or closes the gate and reports whether its state changed.
func (g *readGate) set(open bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if open == g.isOpen {
		return false
	}
	g.isOpen = open
	if open {
		close(g.opened)
	} else {
		g.opened = make(chan struct{})
	}
	return true
}

func (g *readGate) open() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.isOpen
}

// await blocks until the gate is open, or returns an error when ctx is canceled.
func (g *readGate) await(ctx context.Context) error {
	g.mutex.Lock()
	opened := g.opened
	g.mutex.Unlock()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
