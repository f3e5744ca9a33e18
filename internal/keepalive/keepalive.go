// Package keepalive makes TCP connections that notice when the other side, or the way
// there, has gone silent for good: no reset tells of that, only acknowledgements that
// don't come.
package keepalive

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// SilentAfter ends a connection whose data is not acknowledged for so long. It is
	// several retransmissions on a link that loses packets.
	SilentAfter = 1200 * time.Millisecond
	// probeAfter is how long a connection rests before it is probed, and probePause the
	// time between probes; the kernel counts in seconds.
	probeAfter = time.Second
	probePause = time.Second
	// probes is how many may go unanswered.
	probes = 1
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux's tcp.h.
	tcpUserTimeout = 18
)

// Dialer returns a dialer of such connections. It gives a connection up that is not made
// within timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probePause, Count: probes},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(SilentAfter.Milliseconds()))
	})
	return errors.Join(err, failed)
}
