package exchange

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

var (
	// errNotSent means that a response ended before its request had been sent.
	errNotSent = errors.New("exchange: the connection ended before the request had been sent")
	// errResetBehindEnd means that the connection had been reset when the end of a body was read.
	errResetBehindEnd = errors.New("exchange: the connection was reset")
)

// tcpClosed is the state of a connection that was reset, or that both ends have closed.
const tcpClosed = unix.BPF_TCP_CLOSE

// sending is the write of a request, concurrent with the read of its response. The kernel reports the
// reset of a connection once, to whichever call asks first, so its error may be all that tells of one.
type sending struct {
	// done is closed once the write has ended. err is set before.
	done chan struct{}
	err  error
}

// startSending writes the head and the body of a request.
func startSending(socket net.Conn, head, body []byte) *sending {
	made := &sending{done: make(chan struct{})}
	message := net.Buffers{head, body}
	go func() {
		_, made.err = message.WriteTo(socket)
		close(made.done)
	}()
	return made
}

// wait returns nil if the whole request has been written to its connection. The response may arrive before the
// writing goroutine has signalled its end, so wait waits up to sentTimeout for it, and up to heldUpTimeout while
// the replica has taken all that was written so far: this process then holds up the rest, not the replica.
func (s *sending) wait(on *connection) error {
	timer := time.NewTimer(sentTimeout)
	defer timer.Stop()
	for range int(heldUpTimeout / sentTimeout) {
		select {
		case <-s.done:
			return s.err
		case <-timer.C:
		}
		select {
		case <-s.done: // this process may have been held up
			return s.err
		default:
		}
		switch taken, err := on.hasTaken(); {
		case err != nil:
			return err
		case !taken:
			return errNotSent
		}
		timer.Reset(sentTimeout)
	}
	return errNotSent
}

// checkEnd returns nil if a connection whose end was read had taken the whole request by then and was
// closed, not reset. A replica that has not got all of its request ends by a reset, which may come just
// behind the close.
func (a *Answer) checkEnd() error {
	if err := a.sending.wait(a.connection); err != nil {
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	taken, err := a.connection.hasTaken()
	switch {
	case err != nil:
		return err
	case !taken:
		return errNotSent
	}
	return nil
}

// hasTaken reports whether the replica has taken all that was written so far. It returns errResetBehindEnd if
// the connection was reset.
func (c *connection) hasTaken() (bool, error) {
	info, err := c.info()
	switch {
	case err != nil:
		return false, err
	case info.State == tcpClosed:
		return false, errResetBehindEnd
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}

// info returns the kernel's state of the connection.
func (c *connection) info() (*unix.TCPInfo, error) {
	raw, err := c.socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("exchange: state of a connection: %w", err)
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(descriptor uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err = errors.Join(err, failed); err != nil {
		return nil, fmt.Errorf("exchange: state of a connection: %w", err)
	}
	return info, nil
}
