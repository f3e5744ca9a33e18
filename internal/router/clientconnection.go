package router

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

// connectionPhase is what a connection is used for.
type connectionPhase int

const (
	// phaseFresh lasts until the first byte has been received.
	phaseFresh connectionPhase = iota
	// phaseActive lasts from the first byte of a request until its response has been sent.
	phaseActive
	// phaseResting follows a response.
	phaseResting
)

// clientConnection is a client's connection as the server uses it. An idle one is closed by its reader:
// closing it sets a read deadline in the past, and the reader either gives up, or has received bytes
// and withdraws the closing. So no request that has been read is on a closed connection.
type clientConnection struct {
	net.Conn
	connections *Connections

	// mutex guards the fields below and orders the end of each read before or after a closing.
	mutex sync.Mutex
	phase connectionPhase
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
func (t *clientConnection) Read(buffer []byte) (int, error) {
	for {
		count, err := t.Conn.Read(buffer)
		if !t.endRead(count, err) {
			return count, err
		}
	}
}

// endRead updates the state after a read. It returns true if bytes have arrived after the deadline has
// passed, to be read as if they had arrived before.
func (t *clientConnection) endRead(count int, err error) (again bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if count > 0 {
		t.begin()
		return false
	}
	if t.phase == phaseActive || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if t.unread() {
		t.begin()
		if !t.readDeadline.IsZero() && !t.readDeadline.After(time.Now()) {
			// An error recurs at the next read.
			_ = t.Conn.SetReadDeadline(time.Now().Add(lateReadTimeout))
		}
		return true
	}
	// Closed here and not by the server, since another request may arrive until then.
	_ = t.Conn.Close()
	t.connections.count(cmp.Or(t.closing, closedIdle), "closed", t.RemoteAddr(), t.idle())
	return false
}

// begin marks the connection as active. The caller must hold the mutex.
func (t *clientConnection) begin() {
	if t.closing != "" {
		t.connections.count(t.closing, "kept", t.RemoteAddr(), t.idle())
		t.closing = ""
		// An error recurs at the next read.
		_ = t.Conn.SetReadDeadline(t.readDeadline)
	}
	t.phase = phaseActive
}

// SetReadDeadline implements net.Conn.
func (t *clientConnection) SetReadDeadline(deadline time.Time) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.readDeadline = deadline
	if t.phase == phaseResting {
		t.idleDeadlines++
		if t.idleDeadlines > 1 {
			t.begin()
		}
	}
	if t.closing != "" {
		return nil
	}
	return t.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (t *clientConnection) Close() error {
	t.connections.remove(t)
	return t.Conn.Close()
}

// CloseWrite closes the sending side, with which the server delays closing until the client has
// received the response.
func (t *clientConnection) CloseWrite() error {
	half, ok := t.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// rest marks the connection as idle after a response.
func (t *clientConnection) rest() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.phase, t.idleDeadlines = phaseResting, 0
	t.idleSince, t.idleLimit = time.Now(), time.Duration(t.connections.idleLimit.Load())
}

func (t *clientConnection) raiseIdleLimit(limit time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.idleLimit = max(t.idleLimit, limit)
}

// closeIfResting closes the connection if it has exceeded its idle limit.
func (t *clientConnection) closeIfResting() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.phase == phaseResting && t.idle() > t.idleLimit {
		t.expire(closedIdle)
	}
}

// closeIfIdle closes the connection if it is idle after a request or, if fresh is set, before the first.
func (t *clientConnection) closeIfIdle(fresh bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.phase == phaseResting || fresh && t.phase == phaseFresh {
		t.expire(closedStop)
	}
}

// expire has the reader close the connection unless a request has begun to arrive. The caller must hold
// the mutex.
func (t *clientConnection) expire(reason closeReason) {
	if t.closing != "" || t.unread() {
		return
	}
	t.closing = reason
	// An error means that the connection is closed already.
	_ = t.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (t *clientConnection) idle() time.Duration {
	if t.idleSince.IsZero() {
		return 0
	}
	return time.Since(t.idleSince)
}

// ended reports whether the peer has closed the connection. It does not wait for the goroutine that
// reads.
func (t *clientConnection) ended() bool {
	count, err := t.peek()
	return count == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// unread reports whether bytes have arrived that have not been read.
func (t *clientConnection) unread() bool {
	count, err := t.peek()
	return count > 0 && err == nil
}

// peek returns how many bytes can be read, one at most. At the end of the input it returns 0 and no
// error.
func (t *clientConnection) peek() (count int, err error) {
	conn, ok := t.Conn.(syscall.Conn)
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
