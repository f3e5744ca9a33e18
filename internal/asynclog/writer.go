// Package asynclog writes log lines to a file or pipe in the background, so that a slow reader
// never blocks the caller. Lines that exceed the buffer are dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the buffered lines.
	bufferBytes = 512 << 10
	// flushDelay is how long lines are collected before they are written together.
	flushDelay = 50 * time.Millisecond
	// closeTimeout bounds how long Close waits for a blocked output.
	closeTimeout = 500 * time.Millisecond
)

// Writer buffers whole lines. It is safe for concurrent use.
type Writer struct {
	output io.Writer
	wake   chan struct{}
	done   chan struct{}

	// mutex guards the fields below.
	mutex   sync.Mutex
	waiting []byte
	dropped uint64
	total   uint64
	closed  bool
}

// NewWriter returns a writer that writes lines to output until Close.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	first := len(w.waiting) == 0
	if len(w.waiting)+len(line) > bufferBytes {
		w.dropped++
		w.total++
	} else {
		w.waiting = append(w.waiting, line...)
	}
	w.mutex.Unlock()
	if first {
		w.signal()
	}
	return len(line), nil
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.total
}

// Close writes the buffered lines and stops the writer. It returns after closeTimeout if the
// output is blocked.
func (w *Writer) Close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	w.signal()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default: // a signal is pending
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		batch, closed := w.drain()
		if !closed && len(batch) == 0 {
			continue
		}
		if !closed {
			time.Sleep(flushDelay)
			more, nowClosed := w.drain()
			batch, closed = append(batch, more...), nowClosed
		}
		// A failed write to the log can't be reported anywhere.
		_, _ = w.output.Write(batch)
		if closed {
			return
		}
	}
}

// drain returns the buffered lines, with a line that reports dropped ones, and whether the
// writer is closed.
func (w *Writer) drain() ([]byte, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	batch := w.waiting
	w.waiting = nil
	if w.dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", w.dropped)
		w.dropped = 0
	}
	return batch, w.closed
}
