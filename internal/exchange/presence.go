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
)

var (
	// ErrReplicaEnded means that a replica's process has ended, perhaps within its response.
	ErrReplicaEnded = errors.New("exchange: the replica has ended with its connection")
	// ErrPresenceUnknown means that it is not known whether a replica's process has ended.
	ErrPresenceUnknown = errors.New("exchange: the replica did not answer after the end of its connection")
)

// ConfirmEnd returns nil if the end of the body is the replica's own as far as can be known. A process
// that is killed ends the connection like one that has sent a whole body of FramingConnection, so another
// connection to the replica must stay open: an idle one, or else a new one. It returns an error that wraps
// ErrReplicaEnded, ErrPresenceUnknown or the one of ctx, within settleTime and presenceTimeout.
func (a *Answer) ConfirmEnd(ctx context.Context) error {
	if a.Framing != FramingConnection {
		return nil
	}
	target := a.connection.target
	if a.client.pool.hasOpen(target) {
		if err := pause(ctx, a.client.settle); err != nil || a.client.pool.hasOpen(target) {
			return err
		}
	}
	var err error
	for range presenceTries {
		if err = a.client.confirmByDial(ctx, target); err == nil || errors.Is(err, ErrReplicaEnded) || ctx.Err() != nil {
			break
		}
	}
	return err
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

// confirmByDial connects to a replica, and returns nil if the connection stays open. A replica that
// accepts connections and closes them has too many.
func (c *Client) confirmByDial(ctx context.Context, target Target) error {
	ctx, cancel := context.WithTimeout(ctx, presenceTimeout/presenceTries)
	defer cancel()
	for {
		socket, err := Dial(ctx, target.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return fmt.Errorf("%w: %w", ErrReplicaEnded, err)
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrPresenceUnknown, err)
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

// hasOpen reports whether an idle connection to target is open.
func (p *pool) hasOpen(target Target) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, idle := range p.idle[target] {
		if idle.isOpenAndEmpty() {
			return true
		}
	}
	return false
}
