package clientconn

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sentPollInterval is the time between two looks at the bytes that a client has not acknowledged.
const sentPollInterval = time.Millisecond

// ResetUnlessWhole makes the client's connection end with a reset, whatever ends it, the end of the process
// included, until whole is called. It is for responses that only the end of their connection delimits, and
// must be called before the head is sent. whole must be called once the response has been flushed, before
// the handler returns. ctx is that of the request. found reports that the connection is tracked and can be
// reset.
func ResetUnlessWhole(ctx context.Context) (whole func(), found bool) {
	tracked, found := ctx.Value(contextKey{}).(*connection)
	if !found {
		return func() {}, false
	}
	socket, found := tracked.Conn.(interface{ SetLinger(seconds int) error })
	if !found || socket.SetLinger(0) != nil {
		return func() {}, false
	}
	// An error means that the connection is closed.
	return func() { _ = socket.SetLinger(-1) }, true
}

// AwaitSent waits, for at most timeout, until the client's system has what was written. A reset discards
// what it does not have.
func AwaitSent(ctx context.Context, timeout time.Duration) {
	tracked, found := ctx.Value(contextKey{}).(*connection)
	if !found {
		return
	}
	ticker := time.NewTicker(sentPollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(timeout); tracked.unsent() > 0 && time.Now().Before(deadline); {
		<-ticker.C
	}
}

// unsent returns how many bytes were written that the peer has not acknowledged, 0 if that is unknown.
func (c *connection) unsent() (count int) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	// The errors mean that the connection is closed.
	_ = raw.Control(func(descriptor uintptr) { count, _ = unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ) })
	return count
}
