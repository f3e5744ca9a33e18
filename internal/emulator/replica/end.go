package replica

import "net"

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
	// more. New connections are accepted, since the emulator can't drop packets.
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
		return
	}
	_ = r.listener.Close()
	for socket := range r.open {
		if tcp, ok := socket.(*net.TCPConn); ok && how == EndReset {
			// Closing the socket sends a reset then.
			_ = tcp.SetLinger(0)
		}
		_ = socket.Close()
	}
}

// silent reports whether the replica has lost power.
func (r *Replica) silent() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ended == EndSilent
}
