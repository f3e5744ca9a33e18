package clientconn

import (
	"cmp"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// lateReadTimeout is the timeout for the rest of a request that began to arrive as the timeout of its
// connection passed.
const lateReadTimeout = 10 * time.Second

// phase is what a connection is used for.
type phase int

const (
	// phaseFresh lasts until the first byte has been received.
	phaseFresh phase = iota
	// phaseActive lasts from the first byte of a request until its response has been sent.
	phaseActive
	// phaseResting follows a response.
	phaseResting
)

// connection is a client's connection as the server uses it. An idle one is closed by its reader:
// closing it sets a read deadline in the past, and the reader either gives up, or has received bytes
// and withdraws the closing. So no request that has been read is on a closed connection.
type connection struct {
	net.Conn
	tracker *Tracker

	// mutex guards the fields below and orders the end of each read before or after a closing.
	mutex sync.Mutex
	phase phase
	// idleSince is when the last response was sent, idleLimit the greatest limit in force since then.
	idleSince time.Time
	idleLimit time.Duration
	// idleDeadlines counts the read deadlines that the server has set while the connection rests. It
	// sets the second one when it has bytes of the next request, which it may have received along
	// with the last one.
	idleDeadlines int
	// readDeadline is the one that the server has set.
	readDeadline time.Time
	// closing is set while the reader is to give up.
	closing closeReason
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if !c.endRead(count, err) {
			return count, err
		}
	}
}

// endRead updates the state after a read. It returns true if bytes have arrived after the deadline has
// passed, to be read as if they had arrived before.
func (c *connection) endRead(count int, err error) (again bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.begin()
		return false
	}
	if c.phase == phaseActive || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if c.unread() {
		c.begin()
		if !c.readDeadline.IsZero() && !c.readDeadline.After(time.Now()) {
			// An error recurs at the next read.
			_ = c.Conn.SetReadDeadline(time.Now().Add(lateReadTimeout))
		}
		return true
	}
	// Closed here and not by the server, since another request may arrive until then.
	_ = c.Conn.Close()
	c.tracker.count(cmp.Or(c.closing, closedIdle), "closed", c.RemoteAddr(), c.idle())
	return false
}

// begin marks the connection as active. The caller must hold the mutex.
func (c *connection) begin() {
	if c.closing != "" {
		c.tracker.count(c.closing, "kept", c.RemoteAddr(), c.idle())
		c.closing = ""
		// An error recurs at the next read.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.phase = phaseActive
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readDeadline = deadline
	if c.phase == phaseResting {
		c.idleDeadlines++
		if c.idleDeadlines > 1 {
			c.begin()
		}
	}
	if c.closing != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, with which the server delays closing until the client has
// received the response.
func (c *connection) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// rest marks the connection as idle after a response.
func (c *connection) rest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.idleDeadlines = phaseResting, 0
	c.idleSince, c.idleLimit = time.Now(), time.Duration(c.tracker.idleLimit.Load())
}

func (c *connection) raiseIdleLimit(limit time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idleLimit = max(c.idleLimit, limit)
}

// closeIfResting closes the connection if it has exceeded its idle limit.
func (c *connection) closeIfResting() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseResting && c.idle() > c.idleLimit {
		c.expire(closedIdle)
	}
}

// closeIfIdle closes the connection if it is idle after a request or, if fresh is set, before the first.
func (c *connection) closeIfIdle(fresh bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseResting || fresh && c.phase == phaseFresh {
		c.expire(closedStop)
	}
}

// expire has the reader close the connection unless a request has begun to arrive. The caller must hold
// the mutex.
func (c *connection) expire(reason closeReason) {
	if c.closing != "" || c.unread() {
		return
	}
	c.closing = reason
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *connection) idle() time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return time.Since(c.idleSince)
}

// ended reports whether the peer has closed the connection. It does not wait for the goroutine that
// reads.
func (c *connection) ended() bool {
	count, err := c.peek()
	return count == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// unread reports whether bytes have arrived that have not been read.
func (c *connection) unread() bool {
	count, err := c.peek()
	return count > 0 && err == nil
}

// peek returns how many bytes can be read, one at most. At the end of the input it returns 0 and no
// error.
func (c *connection) peek() (count int, err error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	closed := raw.Control(func(descriptor uintptr) {
		var peeked [1]byte
		count, _, err = syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return count, errors.Join(err, closed)
}
