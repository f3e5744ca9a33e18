package exchange

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"stepseam.example/stepseam/internal/headsyntax"
	"stepseam.example/stepseam/internal/heldbytes"
)

const (
	// maxHeadBytes and maxHeadLines bound the heads that a replica sends in response to one request,
	// informational ones included.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxLargeHeads bounds the heads beyond readBuffer that are read at a time.
	maxLargeHeads = 64
	// headTimeout bounds the time from the first byte of a head to its end. Timeouts are extended once:
	// the rest may have arrived while this process was paused.
	headTimeout = 500 * time.Millisecond
	// maxSkippedBytes and skipTimeout bound the body of a late response to an earlier request.
	maxSkippedBytes = 256 << 10
	skipTimeout     = 500 * time.Millisecond
)

var (
	errHeadTooLarge = errors.New("the head of the response exceeds the limit")
	errTooSlow      = errors.New("the head of the response, or a late response before it, did not end in time")
	errSkippedSize  = errors.New("the body of a response that is not passed on exceeds the limit")
)

// protocolPrefix begins each head.
const protocolPrefix = "HTTP/1."

// headReader reads from a connection. While a head is read, it fails once the bytes can't be a head, or
// exceed the limits, before net/http acts on them or collects more.
type headReader struct {
	socket net.Conn
	// large counts the head if it exceeds readBuffer.
	large *heldbytes.Holder

	// reading is set while a head is read. bytes and lines are those of all heads of the current
	// request, syntax checks the current one.
	reading      bool
	bytes, lines int
	syntax       headsyntax.Head
	// timeout is set while it runs, and extended once it was extended.
	timeout  time.Duration
	extended bool
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
	r.reading, r.syntax = true, headsyntax.Head{}
	return r.scan(buffered)
}

// end ends the heads of a request.
func (r *headReader) end() error {
	r.reading = false
	r.large.Release()
	return r.clearTimeout()
}

// startTimeout limits the time of all reads from now on.
func (r *headReader) startTimeout(timeout time.Duration) error {
	r.timeout, r.extended = timeout, false
	if err := r.socket.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return fmt.Errorf("exchange: set the timeout: %w", err)
	}
	return nil
}

func (r *headReader) clearTimeout() error {
	if r.timeout == 0 {
		return nil
	}
	r.timeout, r.extended = 0, false
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
	if r.timeout > 0 && !r.extended && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		r.extended = true
		if err = r.socket.SetReadDeadline(time.Now().Add(r.timeout)); err == nil {
			n, err = r.socket.Read(into)
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.failure = errTooSlow
		return 0, r.failure
	}
	if !r.reading {
		return n, err
	}
	if r.failure = r.scan(into[:n]); r.failure != nil {
		return 0, r.failure
	}
	return n, err
}

// scan checks bytes of the current head, up to its end.
func (r *headReader) scan(received []byte) error {
	if len(received) > 0 && r.timeout == 0 {
		if err := r.startTimeout(headTimeout); err != nil {
			return err
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
	if err := r.syntax.Add(one); err != nil {
		return fmt.Errorf("exchange: %w", err)
	}
	r.reading = !r.syntax.Ended()
	r.bytes++
	if one == '\n' {
		r.lines++
	}
	if r.bytes > maxHeadBytes || r.lines > maxHeadLines {
		return errHeadTooLarge
	}
	if r.bytes > readBuffer {
		return r.large.Grow(maxHeadBytes)
	}
	return nil
}
