package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	headerTimeout   = 10 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Serve answers HTTP requests at address until ctx ends. ready is called once
// with the address listened on, which tells the port where address leaves it
// open. At the end running requests see their contexts cancelled and get a
// moment to answer.
func Serve(ctx context.Context, address netip.AddrPort, handler http.Handler, ready func(netip.AddrPort)) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("standin: listen: %w", err)
	}
	requests, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return requests },
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	ready(listener.Addr().(*net.TCPAddr).AddrPort())
	select {
	case err := <-served:
		return fmt.Errorf("standin: serve: %w", err)
	case <-ctx.Done():
	}
	cancel()
	ending, release := context.WithTimeout(context.Background(), shutdownTimeout)
	defer release()
	if err := server.Shutdown(ending); err != nil {
		err = server.Close()
		if err != nil && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("standin: close: %w", err)
		}
	}
	return nil
}
