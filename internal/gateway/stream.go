package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/serving"
)

// eventWriter writes server-sent events. It sends the status with the first one,
// so that a request that fails earlier gets a problem with its own status. While
// the stream is idle it writes comments, which detect callers that disconnected.
type eventWriter struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController

	// mutex guards the fields below and serializes writes.
	mutex   sync.Mutex
	buffer  bytes.Buffer
	opened  bool
	written time.Time
	err     error
}

func newEventWriter(writer http.ResponseWriter) *eventWriter {
	return &eventWriter{writer: writer, flusher: http.NewResponseController(writer), written: time.Now()}
}

// open sends the header. The caller holds mutex.
func (w *eventWriter) open() {
	if w.opened {
		return
	}
	w.opened = true
	w.writer.Header().Set("Content-Type", api.MediaEventStream)
	w.writer.Header().Set("Cache-Control", "no-store")
	w.writer.WriteHeader(http.StatusOK)
}

// isOpen reports whether the header was sent.
func (w *eventWriter) isOpen() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.opened
}

// send writes one event; an empty name or id is omitted.
func (w *eventWriter) send(name, id string, data any) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.err != nil {
		return w.err
	}
	w.open()
	w.buffer.Reset()
	if id != "" {
		fmt.Fprintf(&w.buffer, "id: %s\n", id)
	}
	if name != "" {
		fmt.Fprintf(&w.buffer, "event: %s\n", name)
	}
	w.buffer.WriteString("data: ")
	encoder := json.NewEncoder(&w.buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(data); err != nil {
		return fmt.Errorf("gateway: event: %w", err)
	}
	w.buffer.WriteString("\n")
	return w.flush()
}

// sendText writes text verbatim.
func (w *eventWriter) sendText(text string) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.err != nil {
		return w.err
	}
	w.open()
	w.buffer.Reset()
	w.buffer.WriteString(text)
	return w.flush()
}

// flush sends the buffer. The caller holds mutex.
func (w *eventWriter) flush() error {
	w.written = time.Now()
	if _, w.err = w.writer.Write(w.buffer.Bytes()); w.err == nil {
		w.err = w.flusher.Flush()
	}
	return w.err
}

// keepAlive checks the stream every interval and writes a comment if it was idle
// for half of it, until ctx ends. If a write fails it calls onDisconnect and
// returns.
func (w *eventWriter) keepAlive(ctx context.Context, interval time.Duration, onDisconnect func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.mutex.Lock()
		quiet := time.Since(w.written) >= interval/2
		w.mutex.Unlock()
		if quiet && w.sendText(": waiting\n\n") != nil {
			onDisconnect()
			return
		}
	}
}

// beginStream returns a stream that sends keep-alive comments in the background.
// streamContext ends when the caller disconnects. finish stops the comments and
// returns once no background write is in progress.
func (g *Gateway) beginStream(ctx context.Context, writer http.ResponseWriter) (stream *eventWriter, streamContext context.Context, finish func()) {
	stream = newEventWriter(writer)
	streamContext, cancel := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stream.keepAlive(streamContext, g.config.Heartbeat, cancel)
	}()
	return stream, streamContext, func() {
		cancel()
		<-stopped
	}
}

// streamAnswer streams tokens, then one answer or problem. Token events have the
// token's index as their id. The last event has none, so a caller that resumes
// after the last token receives it again.
func (g *Gateway) streamAnswer(ctx context.Context, writer http.ResponseWriter, options responseOptions, run answerFunc) {
	stream, ctx, finish := g.beginStream(ctx, writer)
	next := options.from
	var onToken serving.TokenFunc
	if options.tokens {
		onToken = func(index int, text string) error {
			next = index + 1
			g.metrics.tokens.Inc()
			return stream.send(string(api.EventToken), strconv.Itoa(index), api.Event{Kind: api.EventToken, Index: index, Text: text})
		}
	}
	answer, err := run(ctx, onToken)
	finish()
	if err != nil {
		problem := outcomeOf(ctx, err)
		if !stream.isOpen() {
			writeProblem(writer, "", problem)
			return
		}
		// An error means that the caller disconnected.
		_ = stream.send(string(api.EventProblem), "", api.Event{Kind: api.EventProblem, Index: next, Problem: problem})
		return
	}
	_ = stream.send(string(api.EventAnswer), "", api.Event{Kind: api.EventAnswer, Index: next, Answer: &answer})
}

// maxTokenIndex bounds the index in a Last-Event-ID: longer than any answer, and
// safe against integer overflow.
const maxTokenIndex = 1 << 30

// resumeFrom returns the index of the first token to send to a caller whose last
// received event is id; an empty id means none.
func resumeFrom(id string) (int, *api.Problem) {
	if id == "" {
		return 0, nil
	}
	last, err := strconv.Atoi(id)
	if err != nil || last < 0 || last > maxTokenIndex {
		problem := api.NewProblem(api.CodeInvalid, "the id of the last event is not a token's index")
		problem.Findings = []api.Finding{{Place: "header " + api.HeaderLastEventID, Message: fmt.Sprintf("%q is not a number from 0 on", id)}}
		return 0, problem
	}
	return last + 1, nil
}
