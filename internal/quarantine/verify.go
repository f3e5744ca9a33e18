package quarantine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/peer"
)

const (
	// verifyTimeout bounds the connection that tells whether a replica has ended, and settleTime
	// how long that must stay open: a process that ends closes its sockets one after the other.
	verifyTimeout = 250 * time.Millisecond
	settleTime    = 10 * time.Millisecond
	// confirmPeers is the number of nodes that are asked to connect as well, within confirmTimeout.
	confirmPeers   = 2
	confirmTimeout = 100 * time.Millisecond
	// redialDelay is how long a connection may take before a second one is tried beside it: a link may
	// lose the packet that asks for it, which is sent again after a second only.
	redialDelay = 40 * time.Millisecond
)

// finding is what a new connection to a replica tells.
type finding int

const (
	findingUnclear finding = iota
	findingEnded
	findingAlive
)

// verify finds out whether a replica has ended. A partition may refuse connections too, so another
// node must find the same.
func (s *Service) verify(ctx context.Context, address netip.AddrPort, cause error) finding {
	found := findingEnded
	if !errors.Is(cause, syscall.ECONNREFUSED) {
		found = s.connect(ctx, address)
	}
	if found != findingEnded || s.config.Peers == nil {
		return found
	}
	return s.confirm(ctx, address)
}

// confirm has other nodes find out whether a replica has ended that refuses connections to this one.
func (s *Service) confirm(ctx context.Context, address netip.AddrPort) finding {
	others := lo.Samples(lo.Reject(s.copies.Members().All.Nodes(), func(node identity.Node, _ int) bool { return node.Name == s.config.Self }), confirmPeers)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	findings := make(chan finding, len(others))
	for _, other := range others {
		go func() {
			answer, err := s.config.Peers.Call(ctx, other.PeerAddress, &probe{address: address}, nil)
			response, ok := answer.(*probeResponse)
			if err != nil || !ok {
				findings <- findingUnclear
				return
			}
			findings <- response.found
		}()
	}
	confirmed := findingUnclear
	for range others {
		switch <-findings {
		case findingAlive:
			return findingAlive
		case findingEnded:
			confirmed = findingEnded
		case findingUnclear:
		}
	}
	return confirmed
}

func (s *Service) handleProbe(ctx context.Context, request peer.Message, _ func(peer.Message) error) (peer.Message, error) {
	received, ok := request.(*probe)
	if !ok {
		return nil, fmt.Errorf("quarantine: unexpected %T", request)
	}
	return &probeResponse{found: s.connect(ctx, received.address)}, nil
}

// dial connects to an address, with a second try beside the first one if that takes long.
func (s *Service) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		connection net.Conn
		err        error
	}
	results := make(chan result)
	try := func() {
		connection, err := s.config.Dial(ctx, address)
		select {
		case results <- result{connection, err}:
		case <-ctx.Done():
			if err == nil {
				_ = connection.Close()
			}
		}
	}
	go try()
	timer := time.NewTimer(redialDelay)
	defer timer.Stop()
	for {
		select {
		case one := <-results:
			return one.connection, one.err
		case <-timer.C:
			go try()
		case <-ctx.Done():
			return nil, fmt.Errorf("quarantine: connect to %s: %w", address, ctx.Err())
		}
	}
}

// connect connects to a replica's address to find out whether it has ended.
func (s *Service) connect(ctx context.Context, address netip.AddrPort) finding {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	for {
		connection, err := s.dial(ctx, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return findingEnded
		}
		if err != nil {
			return findingUnclear
		}
		stays := staysOpen(connection)
		_ = connection.Close()
		if stays {
			return findingAlive
		}
		select {
		case <-ctx.Done():
			return findingAlive // it accepts connections, and closes them
		case <-time.After(settleTime):
		}
	}
}

// staysOpen reports whether a new connection is not closed within settleTime.
func staysOpen(connection net.Conn) bool {
	_ = connection.SetReadDeadline(time.Now().Add(settleTime))
	_, err := connection.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}
