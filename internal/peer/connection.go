package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeHighWater is the number of pending bytes above which senders of messages block.
	// Control frames never block.
	writeHighWater = 1 << 20
	// readBufferSize is the size of the read buffer of each connection. It holds several
	// typical frames; longer ones bypass the buffer. It is small, since a node may have a
	// thousand connections.
	readBufferSize = 8 << 10
)

// errHeartbeatTimeout means that nothing was received for SilenceTimeout.
var errHeartbeatTimeout = errors.New("peer: connection silent")

// connection frames messages over one socket. Its reader waits only for the socket, so that
// a slow request does not block others.
//
// While requests are in flight, heartbeats detect a dead connection. An idle connection
// sends none and is closed after a timeout.
type connection struct {
	socket  net.Conn
	options *Options
	stats   *Stats
	// isClient is set on the dialling side, which sends the pings.
	isClient bool
	start    time.Time
	// lastRead is the time of the last read, relative to start.
	lastRead atomic.Int64
	wake     chan struct{}
	closed   chan struct{}

	// mutex guards all fields below.
	mutex   sync.Mutex
	pending []byte
	// appended counts the bytes ever appended to pending; attempted counts those passed to
	// the socket. If the connection fails, data at positions from attempted on was
	// certainly not sent.
	appended  uint64
	attempted uint64
	written   uint64
	// progress is closed when pending was taken or written; nil if nothing waits for it.
	progress chan struct{}
	active   int
	// idleSince is when active last became 0.
	idleSince time.Time
	// lastTick is when the timer last fired or was started for the first request.
	lastTick time.Time
	timer    *time.Timer
	err      error
}

func newConnection(socket net.Conn, options *Options, stats *Stats, isClient bool) *connection {
	c := &connection{
		socket: socket, options: options, stats: stats, isClient: isClient,
		start:  time.Now(),
		wake:   make(chan struct{}, 1),
		closed: make(chan struct{}),

		idleSince: time.Now(),
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.timer = time.AfterFunc(c.idleTimeout(), c.tick)
	return c
}

// idleTimeout is longer on the accepting side, so that normally the side that sends
// requests closes the connection.
func (c *connection) idleTimeout() time.Duration {
	if c.isClient {
		return c.options.IdleTimeout
	}
	return 3 * c.options.IdleTimeout
}

// sendMessage appends a message in chunks and returns the position of its first byte. It
// blocks while too many bytes are pending.
func (c *connection) sendMessage(ctx context.Context, h header, fields []byte) (uint64, error) {
	c.stats.countSent(h.kind, len(fields))
	var position uint64
	for first := true; first || len(fields) > 0; first = false {
		chunk := fields[:min(len(fields), chunkSize)]
		fields = fields[len(chunk):]
		h.flags = 0
		if len(fields) > 0 {
			h.flags = flagMore
		}
		at, err := c.sendChunk(ctx, h, chunk)
		if first {
			position = at
		}
		if err != nil {
			return position, err
		}
	}
	return position, nil
}

func (c *connection) sendChunk(ctx context.Context, h header, chunk []byte) (uint64, error) {
	for {
		c.mutex.Lock()
		position := c.appended
		if c.err != nil {
			c.mutex.Unlock()
			return position, c.err
		}
		if len(c.pending) < writeHighWater {
			c.appendLocked(h, chunk)
			c.mutex.Unlock()
			return position, nil
		}
		progress := c.progressLocked()
		c.mutex.Unlock()
		select {
		case <-progress:
		case <-c.closed:
		case <-ctx.Done():
			return position, ctx.Err()
		}
	}
}

// sendControl appends a small frame without blocking.
func (c *connection) sendControl(h header, payload []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err == nil {
		c.appendLocked(h, payload)
	}
}

func (c *connection) appendLocked(h header, payload []byte) {
	before := len(c.pending)
	c.pending = appendFrame(c.pending, h, payload)
	c.appended += uint64(len(c.pending) - before)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *connection) progressLocked() <-chan struct{} {
	if c.progress == nil {
		c.progress = make(chan struct{})
	}
	return c.progress
}

func (c *connection) signalProgressLocked() {
	if c.progress != nil {
		close(c.progress)
		c.progress = nil
	}
}

// flush waits until all appended bytes are written or the connection has ended.
func (c *connection) flush(ctx context.Context) {
	for {
		c.mutex.Lock()
		if c.err != nil || c.written == c.appended {
			c.mutex.Unlock()
			return
		}
		progress := c.progressLocked()
		c.mutex.Unlock()
		select {
		case <-progress:
		case <-c.closed:
		case <-ctx.Done():
			return
		}
	}
}

// writeLoop writes all pending bytes at once whenever there are any.
func (c *connection) writeLoop() {
	var buffer []byte
	for {
		select {
		case <-c.wake:
		case <-c.closed:
			return
		}
		c.mutex.Lock()
		buffer, c.pending = c.pending, buffer[:0]
		c.attempted = c.appended
		c.signalProgressLocked()
		c.mutex.Unlock()
		written, err := c.socket.Write(buffer)
		c.stats.BytesSent.Add(int64(written))
		if err != nil {
			c.fail(err)
			return
		}
		c.mutex.Lock()
		c.written += uint64(written)
		c.signalProgressLocked()
		c.mutex.Unlock()
		if cap(buffer) > 2*writeHighWater {
			buffer = nil
		}
	}
}

// readLoop passes every frame to handle until the connection or handle fails.
func (c *connection) readLoop(handle func(h header, payload []byte) error) {
	reader := bufio.NewReaderSize(&countingReader{c}, readBufferSize)
	var scratch [headerSize]byte
	for {
		h, payload, err := readFrame(reader, &scratch)
		if err == nil {
			err = handle(h, payload)
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

type countingReader struct{ connection *connection }

func (r *countingReader) Read(buffer []byte) (int, error) {
	count, err := r.connection.socket.Read(buffer)
	r.connection.stats.BytesReceived.Add(int64(count))
	r.connection.lastRead.Store(int64(time.Since(r.connection.start)))
	return count, err
}

// beginRequest counts a request in flight. The first one starts the heartbeats.
func (c *connection) beginRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active++
	if c.active > 1 || c.err != nil {
		return
	}
	c.lastRead.Store(int64(time.Since(c.start)))
	c.lastTick = time.Now()
	c.timer.Reset(c.options.HeartbeatInterval)
}

// endRequest counts the end of a request. The last one stops the heartbeats.
func (c *connection) endRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.active--
	if c.active == 0 && c.err == nil {
		c.idleSince = time.Now()
		c.timer.Reset(c.idleTimeout())
	}
}

// rearmLocked resets the timer and reports whether to check for a heartbeat timeout. A
// timer that fired for a heartbeat may run after the last request has ended; only the time
// since then counts as idle.
func (c *connection) rearmLocked() bool {
	if c.err != nil {
		return false
	}
	if c.active > 0 {
		c.resetAfterPauseLocked()
		c.timer.Reset(c.options.HeartbeatInterval)
		return true
	}
	if left := c.idleTimeout() - time.Since(c.idleSince); left > 0 {
		c.timer.Reset(left)
		return false
	}
	c.failLocked(errIdle)
	return false
}

// resetAfterPauseLocked restarts the heartbeat timeout after a pause of this process. Data
// that arrived during the pause has not been read yet.
func (c *connection) resetAfterPauseLocked() {
	now := time.Now()
	if now.Sub(c.lastTick) > 2*c.options.HeartbeatInterval {
		c.lastRead.Store(int64(now.Sub(c.start)))
	}
	c.lastTick = now
}

// tick checks for a heartbeat timeout, or closes a connection that has been idle for too
// long.
func (c *connection) tick() {
	c.mutex.Lock()
	watch := c.rearmLocked()
	c.mutex.Unlock()
	if !watch {
		return
	}
	silence := time.Since(c.start) - time.Duration(c.lastRead.Load())
	if silence > c.options.SilenceTimeout {
		c.fail(fmt.Errorf("%w for %s", errHeartbeatTimeout, silence.Round(time.Millisecond)))
		return
	}
	if c.isClient {
		c.sendControl(header{frameType: framePing}, nil)
	}
}

// errIdle is the reason for closing a connection without requests.
var errIdle = errors.New("peer: connection idle")

// fail ends the connection. Only the first error is kept.
func (c *connection) fail(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failLocked(err)
}

func (c *connection) failLocked(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	if c.active > 0 {
		c.stats.Broken.Add(1)
	}
	c.timer.Stop()
	close(c.closed)
	_ = c.socket.Close() // nothing can be done about a close error
}

// failure returns the error that ended the connection, or nil, and whether data at position
// was certainly not sent.
func (c *connection) failure(position uint64) (notSent bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return position >= c.attempted, c.err
}
