package clientconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// firstRequestTimeout is how long a server that shuts down waits for the first request of a
// connection.
const firstRequestTimeout = time.Second

// Server is an http.Server whose Shutdown answers the requests that were read. That of
// http.Server drops those whose header it reads from then on.
type Server struct {
	http    *http.Server
	tracker *Tracker

	// mutex guards the fields below.
	mutex    sync.Mutex
	listener net.Listener
	stopped  bool
}

// NewServer returns a server whose connections are tracked.
func NewServer(server *http.Server, tracker *Tracker) *Server {
	return &Server{http: server, tracker: tracker}
}

// Serve serves requests on listener until Shutdown or Close, and then returns nil. It may be
// called once.
func (s *Server) Serve(listener net.Listener) error {
	tracked := s.track(listener)
	if tracked == nil {
		_ = listener.Close() // nothing was accepted from it
		return nil
	}
	err := s.http.Serve(tracked)
	if errors.Is(err, http.ErrServerClosed) || s.isStopped() {
		return nil
	}
	return fmt.Errorf("clientconn: serve %s: %w", listener.Addr(), err)
}

// track returns the listener to serve, or nil if the server has been shut down.
func (s *Server) track(listener net.Listener) net.Listener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return nil
	}
	s.listener = s.tracker.Track(s.http, listener)
	return s.listener
}

func (s *Server) isStopped() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopped
}

// Shutdown closes the listener, and each connection once it is idle. It returns how many are still
// open when ctx ends. Handlers should ask clients to close their connections meanwhile.
func (s *Server) Shutdown(ctx context.Context) (open int, err error) {
	err = s.stopListening()
	return s.tracker.Drain(ctx, time.Now().Add(firstRequestTimeout)), err
}

func (s *Server) stopListening() error {
	s.mutex.Lock()
	listener := s.listener
	s.listener, s.stopped = nil, true
	s.mutex.Unlock()
	if listener == nil {
		return nil
	}
	if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("clientconn: close listener: %w", err)
	}
	return nil
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }
