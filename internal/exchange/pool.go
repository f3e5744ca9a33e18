package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"stepseam.example/stepseam/internal/heldbytes"
	"stepseam.example/stepseam/internal/keepalive"
)

const (
	// dialTimeout bounds the establishment of a connection.
	dialTimeout = 600 * time.Millisecond
	// defaultIdleTTL is how long an idle connection is kept if the replica states no
	// timeout; maxIdleTTL bounds the timeout that a replica states.
	defaultIdleTTL = 4 * time.Second
	maxIdleTTL     = 30 * time.Second
	// idleLimitTTL is how long the idle limit derived from a stale connection applies;
	// minIdleLimit is the lower bound of that limit.
	idleLimitTTL = 30 * time.Second
	minIdleLimit = 10 * time.Millisecond
	// restTime is how long a connection rests before it is used for a request that is not repeatable.
	// Bytes that follow an answer arrive meanwhile and end the connection.
	restTime = 10 * time.Millisecond
	// idlePerReplica limits the idle connections to one replica.
	idlePerReplica = 8
	// readBuffer is the buffer size in bytes, enough for a typical event or head.
	readBuffer = 4 << 10
)

// connection is one connection to a replica. It carries at most one request at a time.
type connection struct {
	socket net.Conn
	// reader reads from wire.
	reader *bufio.Reader
	wire   *headReader
	target Target
	// served counts the completed requests, former holds the IDs of the last ones.
	served int
	former []string
	// sending is the write of the present request.
	sending *sending
	// incarnation is what is known of the process at the other end, which does not change. ended is set if
	// the connection can't be used after asking for it.
	incarnation Incarnation
	ended       bool
	// expires is when an idle connection must no longer be used; idleSince is when it
	// became idle.
	expires, idleSince time.Time
}

// idleFor returns how long the connection has been idle, and false if it is new.
func (c *connection) idleFor() (time.Duration, bool) {
	return time.Since(c.idleSince), c.served > 0
}

// pool keeps idle connections by replica. It is safe for concurrent use.
type pool struct {
	// largeHeads bounds the heads beyond readBuffer that are being read, by replica.
	largeHeads *heldbytes.Limit

	surplus surplus

	// mutex guards the rest.
	mutex sync.Mutex
	idle  map[Target][]*connection
	// idleLimit applies until idleLimitUntil: replicas were found to drop connections
	// that had been idle for longer.
	idleLimit      time.Duration
	idleLimitUntil time.Time
}

// idleRange is how long a connection may have been idle to be used for a request.
type idleRange struct{ least, most time.Duration }

func (r idleRange) contains(idle time.Duration) bool { return idle >= r.least && idle <= r.most }

// idleRange returns how long a connection may have been idle to be used for a request. A replica may
// drop an idle connection without closing it, or send bytes behind its last answer, which leaves
// unknown whether a request sent on it has run. A request that is not repeatable therefore avoids
// connections idle for longer than the current limit, and those that have just become idle.
func (p *pool) idleRange(repeatable bool) idleRange {
	if repeatable {
		return idleRange{most: maxIdleTTL}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if time.Now().After(p.idleLimitUntil) {
		return idleRange{restTime, maxIdleTTL}
	}
	return idleRange{restTime, max(p.idleLimit, restTime)}
}

// recordStale lowers the idle limit after a connection was found stale.
func (p *pool) recordStale(idle time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	limit := max(idle/2, minIdleLimit)
	if now.Before(p.idleLimitUntil) {
		limit = min(limit, p.idleLimit)
	}
	p.idleLimit, p.idleLimitUntil = limit, now.Add(idleLimitTTL)
}

func newPool() *pool {
	return &pool{idle: map[Target][]*connection{}, largeHeads: heldbytes.New(maxLargeHeads * maxHeadBytes)}
}

// get returns a connection that is still open and has been idle for an allowed time, or a new one. Only
// a request that bears surplus bytes gets a connection to a replica that has sent some lately.
func (p *pool) get(ctx context.Context, target Target, allowed idleRange, bearsSurplus bool) (*connection, error) {
	if !bearsSurplus && p.surplus.lately(target, time.Now()) {
		if idle := p.takeIdle(target, idleRange{most: maxIdleTTL}); idle != nil {
			idle.close() // the new one takes its place
		}
		return p.dial(ctx, target)
	}
	for {
		idle := p.takeIdle(target, allowed)
		if idle == nil {
			return p.dial(ctx, target)
		}
		if time.Now().Before(idle.expires) && idle.isOpenAndEmpty() {
			return idle, nil
		}
		if isSurplus(idle.unread()) {
			p.surplus.record(target, SurplusIdle)
		}
		idle.close()
	}
}

// hasIdle reports whether takeIdle would return a connection to target that has not
// expired at now.
func (p *pool) hasIdle(target Target, allowed idleRange, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	place := p.mostRecent(target, allowed)
	return place >= 0 && now.Before(p.idle[target][place].expires)
}

// takeIdle removes and returns the most recently used connection that has been idle for an allowed
// time, or nil.
func (p *pool) takeIdle(target Target, allowed idleRange) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	place := p.mostRecent(target, allowed)
	if place < 0 {
		return nil
	}
	connections := p.idle[target]
	taken := connections[place]
	p.idle[target] = slices.Delete(connections, place, place+1)
	return taken
}

// mostRecent returns the place of the most recently used connection that has been idle for an allowed
// time, or -1. The caller holds the mutex.
func (p *pool) mostRecent(target Target, allowed idleRange) int {
	connections := p.idle[target]
	for place := len(connections) - 1; place >= 0; place-- {
		if idle, _ := connections[place].idleFor(); allowed.contains(idle) {
			return place
		}
	}
	return -1
}

// Dial opens a connection to a replica, which detects that the replica can't be reached.
func Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return keepalive.Dialer(dialTimeout).DialContext(ctx, "tcp4", address.String())
}

func (p *pool) dial(ctx context.Context, target Target) (*connection, error) {
	socket, err := Dial(ctx, target.Address)
	if err != nil {
		return nil, err
	}
	wire := &headReader{socket: socket, large: p.largeHeads.Holder(target.Instance)}
	return &connection{socket: socket, reader: bufio.NewReaderSize(wire, readBuffer), wire: wire, target: target}, nil
}

// put keeps a connection whose last response was read completely, for at most ttl.
func (p *pool) put(c *connection, ttl time.Duration) {
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(min(ttl, maxIdleTTL))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[c.target]) >= idlePerReplica {
		c.close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// sweep closes the idle connections that have expired.
func (p *pool) sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for target, connections := range p.idle {
		live := connections[:0]
		for _, c := range connections {
			if now.After(c.expires) {
				c.close()
				continue
			}
			live = append(live, c)
		}
		p.idle[target] = live
		if len(live) == 0 {
			delete(p.idle, target)
		}
	}
}

func (p *pool) closeAll() {
	p.sweep(time.Now().Add(time.Hour))
}

// close closes the socket. Its error is irrelevant, as the connection is discarded.
func (c *connection) close() { _ = c.socket.Close() }

// maxUnread bounds the bytes that are looked at.
const maxUnread = 512

// isOpenAndEmpty reports whether an idle connection is open and has no unread bytes,
// which would belong to no request.
func (c *connection) isOpenAndEmpty() bool {
	unread, blocked := c.peek()
	return blocked && len(unread) == 0
}

// isSurplus reports whether unread bytes of an idle connection belong to no request. Some servers end a
// connection that has rested for too long with a status.
func isSurplus(unread []byte) bool {
	return len(unread) > 0 && !(statusPrefix(unread) == statusLength && bytes.HasSuffix(unread[:statusLength], []byte("408")))
}

// unread returns bytes that have arrived and were not read.
func (c *connection) unread() []byte {
	unread, _ := c.peek()
	return unread
}

// peek returns bytes that have arrived and were not read, and whether the connection is open otherwise.
func (c *connection) peek() (unread []byte, blocked bool) {
	if buffered := c.reader.Buffered(); buffered > 0 {
		unread, _ = c.reader.Peek(buffered)
		return unread, false
	}
	raw, err := c.socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, false
	}
	peeked := make([]byte, maxUnread)
	err = raw.Read(func(descriptor uintptr) bool {
		n, _, failed := syscall.Recvfrom(int(descriptor), peeked, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		blocked, unread = errors.Is(failed, syscall.EAGAIN), peeked[:max(n, 0)]
		return true
	})
	return unread, err == nil && blocked
}
