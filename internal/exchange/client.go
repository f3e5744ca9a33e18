package exchange

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"stepseam.example/stepseam/internal/heldbytes"
)

const (
	// maxSkippedResponses limits the late responses to earlier requests that are skipped.
	maxSkippedResponses = 3
	// keepAliveMargin is subtracted from the time that a replica keeps an idle connection
	// open.
	keepAliveMargin = 700 * time.Millisecond
	sweepInterval   = time.Second
	// sentTimeout bounds the wait for the end of the write of a request that has its
	// response, and heldUpTimeout that for a write which only this process holds up.
	sentTimeout   = 5 * time.Millisecond
	heldUpTimeout = 500 * time.Millisecond
	// maxErrorText bounds the text of an error that quotes a response.
	maxErrorText = 200
	// typicalHeadSize is the initial buffer size in bytes for a request's head.
	typicalHeadSize = 1 << 10
)

var errMismatched = errors.New("the response belongs to another request")

// Client sends requests to replicas. It is safe for concurrent use.
type Client struct {
	names Names
	pool  *pool
	// settle is settleTime.
	settle time.Duration
	asked  incarnationCounts
}

// NewClient returns a client without open connections.
func NewClient(names Names) *Client {
	return &Client{names: names, pool: newPool(), settle: settleTime}
}

// Run closes expired idle connections periodically until ctx ends, and then closes all
// idle ones.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer c.pool.closeAll()
	for {
		select {
		case now := <-ticker.C:
			c.pool.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

// Answer is the response of a replica, with its body still unread. Close must be called.
// The connection is reused only if the body was read to its end.
type Answer struct {
	Status int
	Header http.Header
	// Body returns io.EOF only at the end of a complete body.
	Body *bufio.Reader
	// Length is the Content-Length, or -1 if unknown.
	Length int64
	// Framing is what delimits the body.
	Framing Framing
	// Reused reports that the connection has carried an earlier request.
	Reused bool
	// Incarnation is what is known of the process that made the response.
	Incarnation Incarnation

	connection *connection
	client     *Client
	response   *http.Response
	body       *bodyReader
	sending    *sending
	stop       func() bool
}

// Send sends request to target and returns once the head of the response is read. Every
// error is a *FailureError. The end of ctx closes the connection, also while the body is
// read. If a reused connection turns out to be stale, a repeatable request is sent once
// more to the same target on a new connection.
func (c *Client) Send(ctx context.Context, target Target, request Request) (*Answer, error) {
	used, err := c.connect(ctx, target, request, false)
	if err != nil {
		return nil, err
	}
	idle, reused := used.idleFor()
	if err := checkMaySend(used, request); err != nil {
		return nil, &FailureError{Outcome: OutcomeNotRun, Reason: ReasonWithheld, Cause: err}
	}
	answer, err := c.exchange(ctx, used, request)
	if err == nil || !reused || !isStale(ctx, err) {
		return answer, err
	}
	c.pool.recordStale(idle)
	if !request.Repeatable {
		return nil, err
	}
	used, err = c.connect(ctx, target, request, true)
	if err != nil {
		// The first attempt may have run.
		return nil, &FailureError{Reason: ReasonReset, Cause: err}
	}
	if err := checkMaySend(used, request); err != nil {
		return nil, &FailureError{Reason: ReasonWithheld, Cause: err}
	}
	return c.exchange(ctx, used, request)
}

// checkMaySend closes the connection and returns the error if request.MaySend rejects the
// request.
func checkMaySend(used *connection, request Request) error {
	if request.MaySend == nil {
		return nil
	}
	err := request.MaySend()
	if err != nil {
		used.close()
	}
	return err
}

// Connected returns a function that reports whether a request to a target could use an
// open idle connection at the time of this call.
func (c *Client) Connected(repeatable bool) func(Target) bool {
	allowed, now := c.pool.idleRange(repeatable), time.Now()
	return func(target Target) bool {
		return (repeatable || !c.pool.surplus.lately(target, now)) && c.pool.hasIdle(target, allowed, now)
	}
}

// isStale reports whether a connection ended without a response.
func isStale(ctx context.Context, err error) bool {
	var failure *FailureError
	return ctx.Err() == nil && errors.As(err, &failure) && failure.Reason == ReasonReset
}

// exchange sends a request on a connection and reads the head of the response.
func (c *Client) exchange(ctx context.Context, used *connection, request Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, used.close)
	// The response is read concurrently with the write, since a replica may respond
	// before it has read a long body.
	used.sending = startSending(used.socket, c.encodeHead(request, used.target.Instance), request.Body)
	response, err := c.readHead(used, request)
	if err != nil {
		stop()
		used.close()
		return nil, withContext(ctx, err)
	}
	reused := used.served > 0
	used.served++
	whole := &bodyReader{body: response.Body, connection: used, foreign: func() { c.pool.surplus.record(used.target, SurplusWithin) }}
	if reused {
		whole.heads = &headFinder{names: c.names, former: slices.Clone(used.former)}
	}
	used.remember(request.ID)
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Framing: framingOf(request.Method, response), Reused: reused, Incarnation: c.incarnationOf(used),
		Body:       bufio.NewReaderSize(whole, readBuffer),
		connection: used, client: c, response: response, body: whole, sending: used.sending, stop: stop,
	}, nil
}

func withContext(ctx context.Context, err error) error {
	var failure *FailureError
	if ctx.Err() != nil && errors.As(err, &failure) {
		failure.Reason = ReasonCancelled
	}
	return err
}

// encodeHead returns the request's head in its HTTP/1.1 wire format.
func (c *Client) encodeHead(request Request, instance string) []byte {
	var message bytes.Buffer
	message.Grow(typicalHeadSize)
	fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.URI, request.Host)
	// Writing to a buffer does not fail.
	_ = request.Header.Write(&message)
	fmt.Fprintf(&message, "%s: %s\r\n", c.names.ExpectInstance, instance)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		fmt.Fprintf(&message, "Content-Length: %d\r\n", len(request.Body))
	}
	message.WriteString("\r\n")
	return message.Bytes()
}

// readHead reads response heads until the one that belongs to request.
func (c *Client) readHead(used *connection, request Request) (*http.Response, error) {
	response, err := c.readMatchingHead(used, request)
	if cleared := used.wire.end(); err == nil && cleared != nil {
		return nil, readHeadError(cleared)
	}
	return response, err
}

func (c *Client) readMatchingHead(used *connection, request Request) (*http.Response, error) {
	var unattributed *http.Response
	for heads := range maxSkippedResponses + 1 {
		response, err := readOneHead(used, request.Method, heads == 0)
		if err != nil {
			return nil, readHeadError(err)
		}
		if response.StatusCode < http.StatusOK {
			continue // an informational response
		}
		if c.names.isMixed(response.Header) {
			c.pool.surplus.record(used.target, SurplusWithin)
			return nil, &FailureError{Reason: ReasonForeign, Cause: ErrForeign}
		}
		switch echoed := response.Header.Get(c.names.RequestID); {
		case echoed == request.ID:
			return c.attributedTo(used, response, unattributed), nil
		case echoed == "" && unattributed != nil:
			response, err = attributed(used, unattributed, response)
		case echoed == "" && response.StatusCode >= http.StatusBadRequest:
			if c.needsAttribution(used, request, response) {
				unattributed, response, err = response, nil, c.attribute(used, response)
			}
		case echoed == "" || used.served == 0 || response.Close:
			err = errMismatched
		default:
			// A late response to an earlier request; the response to this one follows.
			err = c.skipLate(used, response)
			response = nil
		}
		if err != nil {
			return nil, &FailureError{Reason: ReasonForeign, Cause: err}
		}
		if response != nil {
			return response, nil
		}
	}
	return nil, &FailureError{Reason: ReasonForeign, Cause: errMismatched}
}

// readOneHead reads the head of a response to a request with a method, the first one for this request or one
// that follows another.
func readOneHead(used *connection, method string, first bool) (*http.Response, error) {
	buffered, _ := used.reader.Peek(used.reader.Buffered())
	if err := used.wire.begin(first, buffered); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(used.reader, &http.Request{Method: method})
	if err != nil {
		return nil, cmp.Or(used.wire.failure, err)
	}
	if err := used.wire.syntax.CheckFraming(); err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	if framingOf(method, response) == FramingChunked {
		response.Body = newChunkedBody(used.reader)
	}
	return response, nil
}

// skipLate reads the rest of a late response to an earlier request.
func (c *Client) skipLate(used *connection, response *http.Response) error {
	if err := skipBody(used, response); err != nil {
		return err
	}
	c.pool.surplus.record(used.target, SurplusSkipped)
	return nil
}

// skipBody reads the body of a response that belongs to another request.
func skipBody(used *connection, response *http.Response) error {
	if err := used.wire.end(); err != nil {
		return err
	}
	if err := used.wire.startTimeout(skipTimeout); err != nil {
		return err
	}
	switch _, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes+1); {
	case err == nil:
		return errSkippedSize
	case !errors.Is(err, io.EOF):
		return fmt.Errorf("exchange: skip a late response: %w", err)
	}
	return used.wire.clearTimeout()
}

func readHeadError(err error) error {
	switch text := err.Error(); {
	case errors.Is(err, heldbytes.ErrFull), errors.Is(err, heldbytes.ErrOwnerFull):
		return &FailureError{Reason: ReasonBuffersFull, Cause: err}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isNetworkError(err):
		return &FailureError{Reason: ReasonReset, Cause: err}
	case len(text) > maxErrorText:
		err = errors.New(text[:maxErrorText]) // it quotes what was received
	}
	return &FailureError{Reason: ReasonMalformed, Cause: err}
}

func isNetworkError(err error) bool {
	var network interface{ Timeout() bool }
	return errors.As(err, &network)
}

// NotRun reports whether the replica states that it has not run the request.
func (a *Answer) NotRun() bool {
	return a.Header.Get(a.client.names.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
}

// Stamped reports whether a replica, and not an intermediary, made the response.
func (a *Answer) Stamped() bool { return a.Header.Get(a.client.names.Stamp) != "" }

// Close returns the connection to the pool if it is reusable, and closes it otherwise.
func (a *Answer) Close() {
	if !a.stop() {
		return // the end of the context has closed the connection
	}
	if a.body.ended && a.connection.reader.Buffered() > 0 {
		a.client.pool.surplus.record(a.connection.target, SurplusBehind)
	}
	if !a.reusable() {
		a.connection.close()
		return
	}
	a.client.pool.put(a.connection, keepAliveTTL(a.Header))
}

func (a *Answer) reusable() bool {
	// The process that answers 421 is not the target.
	return a.body.ended && !a.response.Close && a.Status != http.StatusMisdirectedRequest && a.connection.reader.Buffered() == 0 && a.sending.wait(a.connection) == nil
}

// keepAliveTTL returns how long an idle connection may be reused, from the timeout
// parameter of the Keep-Alive header.
func keepAliveTTL(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return defaultIdleTTL
}
