// Package asynclog writes log lines to a file or pipe in the background, so that
// a slow reader never holds up whoever logs. What does not fit into the buffer
// is dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds what waits to be written.
	bufferBytes = 512 << 10
	// flushPause is how long lines gather before they are written together.
	flushPause = 50 * time.Millisecond
	// closeWait bounds how long Close waits for a reader that does not read.
	closeWait = 500 * time.Millisecond
)

// Writer takes whole lines. It is safe for concurrent use.
type Writer struct {
	output io.Writer
	wake   chan struct{}
	ended  chan struct{}

	// mutex guards all below.
	mutex   sync.Mutex
	waiting []byte
	dropped uint64
	total   uint64
	closed  bool
}

// NewWriter returns a writer that passes lines on to output until Close.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails.
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

// Dropped returns how many lines were dropped in all.
func (w *Writer) Dropped() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.total
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	w.signal()
	select {
	case <-w.ended:
	case <-time.After(closeWait):
	}
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default: // a signal waits already
	}
}

func (w *Writer) run() {
	defer close(w.ended)
	for range w.wake {
		batch, closed := w.take()
		if !closed && len(batch) == 0 {
			continue
		}
		if !closed {
			time.Sleep(flushPause)
			more, nowClosed := w.take()
			batch, closed = append(batch, more...), nowClosed
		}
		// There is nobody to tell of a failed write to the log.
		_, _ = w.output.Write(batch)
		if closed {
			return
		}
	}
}

// take returns the waiting lines, with a line on those that were dropped.
func (w *Writer) take() ([]byte, bool) {
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
