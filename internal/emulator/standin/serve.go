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

// Serve serves HTTP at address until ctx ends. It calls ready once with the address of
// the listener, which includes the port if address leaves it open. When ctx ends, the
// contexts of running requests are cancelled and the requests have a short time to
// finish.
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
