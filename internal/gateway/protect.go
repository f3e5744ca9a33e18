package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/clientconn"
)

// protect wraps next with the limits of all requests: draining, requests in
// flight, size and receive time of the body, and time of each write.
func (g *Gateway) protect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		writer := &timedWriter{
			ResponseWriter: response,
			request:        request,
			controller:     http.NewResponseController(response),
			timeout:        g.config.WriteTimeout,
			gateway:        g,
		}
		started := time.Now()
		defer func() { g.metrics.request(request.Pattern, writer.status, time.Since(started)) }()
		if problem := g.admit(); problem != nil {
			writer.Header().Set("Connection", "close")
			writeProblem(writer, request.URL.Path, problem)
			return
		}
		defer g.inFlight.Add(-1)
		if problem := g.receiveBody(writer, request); problem != nil {
			// Close the connection instead of reading the rest of the body.
			writer.Header().Set("Connection", "close")
			writeProblem(writer, request.URL.Path, problem)
			return
		}
		next.ServeHTTP(writer, request)
		writer.end()
	})
}

// admit counts the request as in flight, or returns why it is refused.
func (g *Gateway) admit() *api.Problem {
	if g.isDraining() {
		return api.NewProblem(api.CodeDraining, "this node is stopping; use another one").WithRetryAfter(drainRetry)
	}
	if g.inFlight.Add(1) > g.config.MaxInFlight {
		g.inFlight.Add(-1)
		return api.NewProblem(api.CodeOverloaded, "this node has %d requests under way", g.config.MaxInFlight).
			WithRetryAfter(drainRetry)
	}
	return nil
}

// receiveBody reads the whole body, bounded in size and time. Nothing runs
// before the body is complete, so a request that fails here certainly did not run.
func (g *Gateway) receiveBody(writer *timedWriter, request *http.Request) *api.Problem {
	if request.Body == nil || request.Body == http.NoBody {
		return nil
	}
	limit := g.config.MaxBodyBytes
	if request.ContentLength > limit {
		return api.NewProblem(api.CodeTooLarge, "the body has %d bytes, the limit is %d", request.ContentLength, limit)
	}
	// Only a test's recorder fails to set a deadline, never a socket.
	_ = writer.controller.SetReadDeadline(time.Now().Add(g.config.BodyTimeout))
	body, err := readAll(http.MaxBytesReader(writer, request.Body, limit), request.ContentLength)
	// Clear the deadline: it covers only the body.
	_ = writer.controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		request.Body = io.NopCloser(bytes.NewReader(body))
		return nil
	case errors.As(err, &tooLarge):
		return api.NewProblem(api.CodeTooLarge, "the body is over the limit of %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return api.NewProblem(api.CodeSlowSender, "after %s the body is not complete: %d bytes came", g.config.BodyTimeout, len(body))
	default:
		problem := api.NewProblem(api.CodeInvalid, "the body broke off after %d bytes: %s", len(body), err)
		problem.Status = http.StatusBadRequest
		return problem
	}
}

// maxPreallocation bounds the memory allocated for a declared body length before any
// byte arrives.
const maxPreallocation = 64 << 10

func readAll(reader io.Reader, declaredLength int64) ([]byte, error) {
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(declaredLength, 0)+bytes.MinRead, maxPreallocation)))
	_, err := buffer.ReadFrom(reader)
	return buffer.Bytes(), err
}

// timedWriter sets a deadline for each write, records the status, and closes the
// connection after a response that begins while the gateway drains.
type timedWriter struct {
	http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	timeout    time.Duration
	gateway    *Gateway
	status     int
	// whole is set while a stream is sent that only the end of its connection delimits. Until it is called,
	// the connection ends with a reset.
	whole func()
}

func (w *timedWriter) begin(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	if w.gateway.isDraining() {
		w.Header().Set("Connection", "close")
	}
	if !w.request.ProtoAtLeast(1, 1) && w.Header().Get("Content-Type") == api.MediaEventStream {
		w.whole, _ = clientconn.ResetUnlessWhole(w.request.Context())
	}
}

// end is called once the response has been written. It is not called if the handler panics.
func (w *timedWriter) end() {
	if w.whole != nil && w.FlushError() == nil {
		w.whole()
	}
}

// WriteHeader sends the header and records the status.
func (w *timedWriter) WriteHeader(status int) {
	w.begin(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write writes within the timeout.
func (w *timedWriter) Write(data []byte) (int, error) {
	w.begin(http.StatusOK)
	w.extend()
	return w.ResponseWriter.Write(data)
}

// Flush sends buffered data, within the timeout.
func (w *timedWriter) Flush() { _ = w.FlushError() } // the next write returns the error

// FlushError is Flush, but returns the error.
func (w *timedWriter) FlushError() error {
	w.extend()
	return w.controller.Flush()
}

func (w *timedWriter) extend() {
	// Only a test's recorder fails to set a deadline.
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
