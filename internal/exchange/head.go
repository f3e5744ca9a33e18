package exchange

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// maxHeadBytes and maxHeadLines bound the heads that a replica sends in response to one request,
	// informational ones included.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxLargeHeads bounds the heads beyond readBuffer that are read at a time.
	maxLargeHeads = 64
	// headTimeout bounds the time from the first byte of a head to its end, and is extended once: the
	// rest may have arrived while this process was paused.
	headTimeout = 500 * time.Millisecond
	// maxSkippedBytes and skipTimeout bound the body of a late response to an earlier request.
	maxSkippedBytes = 256 << 10
	skipTimeout     = 500 * time.Millisecond
)

var (
	errNotHTTP      = errors.New("the bytes are no HTTP response")
	errHeadTooLarge = errors.New("the head of the response exceeds the limit")
	errTooManyHeads = errors.New("too many large heads are being read")
	errHeadTooSlow  = errors.New("the head of the response did not end in time")
	errSkippedSize  = errors.New("the body of the late response exceeds the limit")
)

// protocolPrefix begins each head.
const protocolPrefix = "HTTP/1."

// headReader reads from a connection. While a head is read, it fails once the bytes can't be a head
// within the limits, so that net/http collects no more of them.
type headReader struct {
	socket net.Conn
	// large counts the heads beyond readBuffer that the client reads.
	large *atomic.Int64

	// reading is set while a head is read. bytes and lines are those of all heads of the current
	// request, matched is the length of the protocol prefix in the current one.
	reading      bool
	bytes, lines int
	matched      int
	// lineEmpty reports that the current line has no characters so far.
	lineEmpty bool
	// counted is set once the head counts as large, timed once the timeout runs, and extended once it
	// was extended.
	counted, timed, extended bool
	// failure is why the head can't be read. net/http may report another error for what came before.
	failure error
}

// begin starts the first head of a request, or one that follows another head. buffered are bytes of it
// that were read before.
func (r *headReader) begin(first bool, buffered []byte) error {
	if first {
		r.bytes, r.lines = 0, 0
	}
	if err := r.clearTimeout(); err != nil {
		return err
	}
	r.reading, r.matched, r.lineEmpty = true, 0, true
	return r.scan(buffered)
}

// end ends the heads of a request.
func (r *headReader) end() error {
	r.reading = false
	if r.counted {
		r.large.Add(-1)
		r.counted = false
	}
	return r.clearTimeout()
}

func (r *headReader) clearTimeout() error {
	if !r.timed {
		return nil
	}
	r.timed, r.extended = false, false
	if err := r.socket.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("exchange: clear the timeout: %w", err)
	}
	return nil
}

// Read implements io.Reader.
func (r *headReader) Read(into []byte) (int, error) {
	if r.failure != nil {
		return 0, r.failure
	}
	n, err := r.socket.Read(into)
	if r.timed && !r.extended && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		r.extended = true
		if err = r.socket.SetReadDeadline(time.Now().Add(headTimeout)); err == nil {
			n, err = r.socket.Read(into)
		}
	}
	if !r.reading {
		return n, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.failure = errHeadTooSlow
		return 0, r.failure
	}
	if r.failure = r.scan(into[:n]); r.failure != nil {
		return 0, r.failure
	}
	return n, err
}

// scan checks bytes of the current head, up to its end.
func (r *headReader) scan(received []byte) error {
	if len(received) > 0 && !r.timed {
		r.timed = true
		if err := r.socket.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
			return fmt.Errorf("exchange: set the timeout: %w", err)
		}
	}
	for _, one := range received {
		if !r.reading {
			return nil
		}
		if err := r.add(one); err != nil {
			return err
		}
	}
	return nil
}

func (r *headReader) add(one byte) error {
	if r.matched < len(protocolPrefix) {
		if one != protocolPrefix[r.matched] {
			return errNotHTTP
		}
		r.matched++
	}
	r.bytes++
	switch one {
	case '\n':
		r.lines++
		r.reading = !r.lineEmpty
		r.lineEmpty = true
	case '\r':
	default:
		r.lineEmpty = false
	}
	if r.bytes > maxHeadBytes || r.lines > maxHeadLines {
		return errHeadTooLarge
	}
	if r.bytes > readBuffer && !r.counted {
		r.counted = true
		if r.large.Add(1) > maxLargeHeads {
			return errTooManyHeads
		}
	}
	return nil
}
