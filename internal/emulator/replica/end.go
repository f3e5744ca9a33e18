package replica

import (
	"net"
	"syscall"
	"time"
)

// End is a way in which a replica's process ends.
type End int

// The ways in which a replica ends.
const (
	endNone End = iota
	// EndReset resets all connections, and refuses new ones.
	EndReset
	// EndClosed closes all connections, also in the middle of a response, and refuses new ones.
	EndClosed
	// EndSilent is a loss of power: all connections stay open, and nothing is sent or read any
	// more. New connections get no answer.
	EndSilent
)

// End ends the replica. Requests that it runs get no further bytes.
func (r *Replica) End(how End) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ended != endNone {
		return
	}
	r.ended = how
	if how == EndSilent {
		r.ignoreConnections()
		return
	}
	r.stopListening()
	for socket := range r.open {
		if tcp, ok := socket.(*net.TCPConn); ok && how == EndReset {
			// Closing the socket sends a reset then.
			_ = tcp.SetLinger(0)
		}
		_ = socket.Close()
	}
}

// stopListening closes the listener. A process that is being started has a copy of it until it runs
// its program, so that closing alone would let the kernel accept connections until then.
func (r *Replica) stopListening() {
	// The errors mean that the replica is closed.
	if raw, err := r.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(descriptor uintptr) { _ = syscall.Shutdown(int(descriptor), syscall.SHUT_RDWR) })
	}
	_ = r.listener.Close()
}

// fillTimeout is how long a connection to a full queue is tried. The queue counts as full after
// fullAfter tries in a row that failed: on a busy machine one may fail before its packets are
// delivered. maxFillers bounds the tries.
const (
	fillTimeout = 50 * time.Millisecond
	fullAfter   = 2
	maxFillers  = 6
)

// ignoreConnections stops accepting connections and fills the kernel's queue of those that wait for
// that, so that it drops the packets of further ones. The caller holds the mutex.
func (r *Replica) ignoreConnections() {
	// The errors mean that the replica is closed.
	_ = r.listener.SetDeadline(time.Unix(1, 0))
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { _ = syscall.Listen(int(descriptor), 0) })
	failed := 0
	for range maxFillers {
		filler, err := net.DialTimeout("tcp4", r.Address.String(), fillTimeout)
		if err == nil {
			r.fillers, failed = append(r.fillers, filler), 0
		} else if failed++; failed == fullAfter {
			return
		}
	}
}

// silent reports whether the replica has lost power.
func (r *Replica) silent() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ended == EndSilent
}
