// Package keepalive configures TCP connections to detect an unreachable peer by missing
// acknowledgements, since a lost host or network path sends no reset.
package keepalive

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// SilentAfter is how long sent data may remain unacknowledged before the connection is
	// closed. It allows for several retransmissions on a lossy link.
	SilentAfter = 1200 * time.Millisecond
	// idleBeforeProbe is the idle time before the first keepalive probe and probeInterval
	// the time between probes. The kernel's resolution is one second.
	idleBeforeProbe = time.Second
	probeInterval   = time.Second
	// maxProbes is the number of unacknowledged probes that closes the connection.
	maxProbes = 1
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux's tcp.h.
	tcpUserTimeout = 18
)

// Dialer returns a dialer of such connections. timeout bounds the dial.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: idleBeforeProbe, Interval: probeInterval, Count: maxProbes},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(SilentAfter.Milliseconds()))
	})
	return errors.Join(err, failed)
}
