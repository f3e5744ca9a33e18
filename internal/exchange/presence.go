package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// settleTime is how long a connection to a replica must stay open after another one has ended, since a
	// process that ends closes its sockets one after the other.
	settleTime = 10 * time.Millisecond
	// presenceTimeout bounds the connection that tells whether a replica has ended. presenceTries are made
	// in that time: a link may lose the packet that asks for it, which is sent again after a second only.
	presenceTimeout = 250 * time.Millisecond
	presenceTries   = 2
	// addressReuse is how long the address of a replica that has ended stays unused at least, with a margin
	// for the time that a connection to it takes.
	addressReuse = time.Second
)

var (
	// ErrReplicaEnded means that a replica's process has ended, perhaps within its response.
	ErrReplicaEnded = errors.New("exchange: the replica has ended with its connection")
	// ErrPresenceUnknown means that it is not known whether a replica's process has ended.
	ErrPresenceUnknown = errors.New("exchange: the replica did not answer after the end of its connection")
	// errAddressReused means that another replica may have the address by now.
	errAddressReused = errors.New("exchange: the body's end is too old")
)

// ConfirmEnd returns nil if the end of the body is the replica's own as far as can be known. A process
// that is killed ends the connection like one that has sent a whole body of FramingConnection, so another
// connection to the process must be open: an idle one, or else a new one. The replica must have got the whole
// request, and not have reset the connection. It returns an error within settleTime, presenceTimeout and
// heldUpTimeout, which wraps ErrReplicaEnded or ErrPresenceUnknown if that is all that is missing.
func (a *Answer) ConfirmEnd(ctx context.Context) error {
	if a.Framing != FramingConnection {
		return nil
	}
	if err := a.confirmPresence(ctx); err != nil {
		return err
	}
	return a.checkEnd()
}

// confirmPresence returns nil if the replica has not ended.
func (a *Answer) confirmPresence(ctx context.Context) error {
	if a.client.hasOpen(a.connection.target) {
		if err := pause(ctx, a.client.settle); err != nil || a.client.hasOpen(a.connection.target) {
			return err
		}
	}
	var err error
	for range presenceTries {
		if err = a.confirmByDial(ctx); err == nil || errors.Is(err, ErrReplicaEnded) || ctx.Err() != nil {
			break
		}
	}
	return err
}

// confirmByDial connects to the replica and returns nil if it has not ended.
func (a *Answer) confirmByDial(ctx context.Context) error {
	target := a.connection.target
	ctx, cancel := context.WithTimeout(ctx, presenceTimeout/presenceTries)
	defer cancel()
	if target.StartedAtMs != 0 && a.client.names.ReportPath != "" {
		return a.client.confirmIncarnation(ctx, target)
	}
	if err := a.client.confirmOpen(ctx, target); err != nil {
		return err
	}
	if silence, err := a.connection.silence(); err != nil || silence >= addressReuse {
		return fmt.Errorf("%w: %w", ErrPresenceUnknown, errors.Join(errAddressReused, err))
	}
	return nil
}

// confirmIncarnation returns nil if the target's incarnation answers on a new connection. Another one may
// have started at the address at any time.
func (c *Client) confirmIncarnation(ctx context.Context, target Target) error {
	used, err := c.pool.dial(ctx, target)
	if err != nil {
		return presenceError(err)
	}
	defer used.close()
	err = c.ask(ctx, used)
	switch {
	case errors.Is(err, errOtherIncarnation):
		return fmt.Errorf("%w: %w", ErrReplicaEnded, err)
	case err != nil && used.incarnation != IncarnationSame:
		return fmt.Errorf("%w: %w", ErrPresenceUnknown, err)
	}
	return nil
}

func presenceError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", ErrReplicaEnded, err)
	}
	return fmt.Errorf("%w: %w", ErrPresenceUnknown, err)
}

func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("exchange: confirm the end of a body: %w", ctx.Err())
	}
}

// confirmOpen connects to an address, and returns nil if the connection stays open. A replica that
// accepts connections and closes them has too many.
func (c *Client) confirmOpen(ctx context.Context, target Target) error {
	for {
		socket, err := Dial(ctx, target.Address)
		if err != nil {
			return presenceError(err)
		}
		open := staysOpen(socket, c.settle)
		_ = socket.Close()
		if open || pause(ctx, c.settle) != nil {
			return nil
		}
	}
}

// staysOpen reports whether a new connection is not closed within a time.
func staysOpen(socket net.Conn, within time.Duration) bool {
	_ = socket.SetReadDeadline(time.Now().Add(within))
	_, err := socket.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// hasOpen reports whether an idle connection to the target's incarnation is open.
func (c *Client) hasOpen(target Target) bool {
	c.pool.mutex.Lock()
	defer c.pool.mutex.Unlock()
	for _, idle := range c.pool.idle[target] {
		if c.incarnationOf(idle) == IncarnationSame && idle.isOpenAndEmpty() {
			return true
		}
	}
	return false
}

// silence returns the time since data arrived last. The end of the connection came later than that, even if
// this process stood still or read other data meanwhile.
func (c *connection) silence() (time.Duration, error) {
	info, err := c.info()
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}
