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

// eventWriter writes server-sent events. Until the first one the response's
// status is open, so that a request which is refused gets a proper problem.
// While nothing happens it writes comments, which find callers that are gone.
type eventWriter struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController

	// mutex guards all below and the order of writes.
	mutex   sync.Mutex
	buffer  bytes.Buffer
	opened  bool
	written time.Time
	err     error
}

func newEventWriter(writer http.ResponseWriter) *eventWriter {
	return &eventWriter{writer: writer, flusher: http.NewResponseController(writer), written: time.Now()}
}

// open sends the header; the caller holds the mutex.
func (w *eventWriter) open() {
	if w.opened {
		return
	}
	w.opened = true
	w.writer.Header().Set("Content-Type", api.MediaEventStream)
	w.writer.Header().Set("Cache-Control", "no-store")
	w.writer.WriteHeader(http.StatusOK)
}

// isOpen tells whether anything was sent.
func (w *eventWriter) isOpen() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.opened
}

// send writes one event; an empty name or id is left out.
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

// sendText writes data as it is.
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

// flush sends the buffer; the caller holds the mutex.
func (w *eventWriter) flush() error {
	w.written = time.Now()
	if _, w.err = w.writer.Write(w.buffer.Bytes()); w.err == nil {
		w.err = w.flusher.Flush()
	}
	return w.err
}

// keepAlive writes a comment whenever nothing was written for interval, until
// ctx ends. A caller who cannot be written to is gone: gone is called.
func (w *eventWriter) keepAlive(ctx context.Context, interval time.Duration, gone func()) {
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
			gone()
			return
		}
	}
}

// beginStream starts the comments. finish stops them and returns once no more
// is written behind the handler's back.
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

// streamAnswer answers with tokens and then one answer or problem. The events'
// ids are the tokens' indexes; the last event has the id of the last token, so
// that a caller who lost it can resume and gets it again.
func (g *Gateway) streamAnswer(ctx context.Context, writer http.ResponseWriter, wanted wish, ask answerFunc) {
	stream, ctx, finish := g.beginStream(ctx, writer)
	next := wanted.from
	var onToken serving.TokenFunc
	if wanted.tokens {
		onToken = func(index int, text string) error {
			next = index + 1
			g.metrics.tokens.Inc()
			return stream.send(string(api.EventToken), strconv.Itoa(index), api.Event{Kind: api.EventToken, Index: index, Text: text})
		}
	}
	answer, err := ask(ctx, onToken)
	finish()
	if err != nil {
		problem := outcomeOf(ctx, err)
		if !stream.isOpen() {
			writeProblem(writer, "", problem)
			return
		}
		// A caller that is gone wants no answer.
		_ = stream.send(string(api.EventProblem), "", api.Event{Kind: api.EventProblem, Index: next, Problem: problem})
		return
	}
	_ = stream.send(string(api.EventAnswer), "", api.Event{Kind: api.EventAnswer, Index: next, Answer: &answer})
}

// maxTokenIndex is far above any answer's length and far below what an index holds.
const maxTokenIndex = 1 << 30

// resumeFrom is the first token that a caller lacks who has seen event id last.
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
