package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"
	"unicode"

	"stepseam.example/stepseam/internal/headsyntax"
)

// errIdle is the cause of a request that was cancelled by the idle or header timeout.
var errIdle = errors.New("backend: no bytes for too long")

// errUndelimited is the error of a body that may be a part of one.
var errUndelimited = errors.New("backend: only the end of the connection delimits the answer")

// errTooLarge is the error of a response that exceeds its size limit.
var errTooLarge = errors.New("backend: answer too large")

func (o Options) transport() *http.Transport {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return &http.Transport{
		Proxy:              nil,
		DialContext:        headsyntax.Checked(dial),
		DisableCompression: true,
	}
}

// client sends requests to one back end and maps all failures to the errors of this package.
// It is safe for concurrent use.
type client struct {
	base    string
	options Options
	http    *http.Client
}

func newClient(address netip.AddrPort, options Options, transport http.RoundTripper) client {
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client{
		base: "http://" + address.String(), options: options,
		http: &http.Client{Transport: transport, CheckRedirect: noRedirects},
	}
}

// outgoing is one request to send.
type outgoing struct {
	method, path string
	header       http.Header
	body         []byte
	contentType  string
	// headerTimeout is the timeout until the response's header, and totalTimeout, unless
	// it is 0, that of the complete response.
	headerTimeout time.Duration
	totalTimeout  time.Duration
}

// incoming is a response whose body is being read. Reads fail after IdleTimeout without data;
// close ends the request.
type incoming struct {
	response *http.Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
	idle     *time.Timer
	timeout  time.Duration
}

// send sends a request and returns the response when its header has arrived. A response with
// a status of 300 or above is returned as an error.
//
// ErrNotDelivered is returned only if the request never got a connection, so that no byte of
// it was written. Other failures, except error documents, are ErrOutcomeUnknown.
func (c *client) send(ctx context.Context, out outgoing) (*incoming, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, out.method, c.base+out.path, bytes.NewReader(out.body))
	if err != nil {
		cancel(nil)
		return nil, fmt.Errorf("%w: %w", ErrNotDelivered, err)
	}
	for name, values := range out.header {
		request.Header[name] = values
	}
	if out.contentType != "" {
		request.Header.Set("Content-Type", out.contentType)
	}
	// Without GetBody, net/http can't retry a request with a body.
	request.GetBody = nil
	idle := time.AfterFunc(out.headerTimeout, func() { cancel(errIdle) })
	response, err := c.http.Do(request)
	if err != nil {
		idle.Stop()
		err = withCause(ctx, err)
		cancel(nil)
		if !connected.Load() {
			return nil, fmt.Errorf("%w: %w", ErrNotDelivered, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	in := &incoming{response: response, ctx: ctx, cancel: cancel, idle: idle, timeout: c.options.IdleTimeout}
	idle.Stop()
	if response.StatusCode >= http.StatusMultipleChoices {
		defer in.close()
		return nil, c.readError(in)
	}
	return in, nil
}

// withCause wraps err with the cause of ctx, if there is one.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// Read implements io.Reader over the response's body with the idle timeout. The time between
// reads does not count.
func (in *incoming) Read(buffer []byte) (int, error) {
	in.idle.Reset(in.timeout)
	count, err := in.response.Body.Read(buffer)
	in.idle.Stop()
	if err != nil && !errors.Is(err, io.EOF) {
		err = withCause(in.ctx, err)
	}
	return count, err
}

func (in *incoming) close() {
	in.idle.Stop()
	_ = in.response.Body.Close()
	in.cancel(nil)
}

// statusError is the HTTP status of a response without a problem document.
type statusError int

// Error implements error.
func (s statusError) Error() string {
	return fmt.Sprintf("status %d without a problem document", int(s))
}

// maxErrorBytes is the maximum size of an error document.
const maxErrorBytes = 64 << 10

// readError returns the error of an error response.
func (c *client) readError(in *incoming) error {
	status := in.response.StatusCode
	body, err := readAll(in, maxErrorBytes)
	if err != nil {
		return fmt.Errorf("%w: status %d: %w", ErrOutcomeUnknown, status, err)
	}
	document := ErrorDocument{Status: status}
	mediaType, _, _ := mime.ParseMediaType(in.response.Header.Get("Content-Type"))
	if mediaType != contentTypeProblem || json.Unmarshal(body, &document) != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, statusError(status))
	}
	return document.sentinel()
}

// readAll reads a body of at most limit bytes.
func readAll(reader io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w: over %d bytes", errTooLarge, limit)
	}
	return body, nil
}

// answer is a body that was read to its end. If it is not delimited by a length or chunks, it may be a part: the
// end of the process, or a reset that the write of the request learned of, looks like the end of the body.
type answer struct {
	body      []byte
	delimited bool
}

// exchange sends a request and reads the response to its end.
func (c *client) exchange(ctx context.Context, out outgoing) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, out.totalTimeout)
	defer cancel()
	out.headerTimeout = out.totalTimeout
	in, err := c.send(ctx, out)
	if err != nil {
		return answer{}, err
	}
	defer in.close()
	body, err := readAll(in, c.options.MaxBodyBytes)
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return answer{body: body, delimited: in.response.ContentLength >= 0 || len(in.response.TransferEncoding) > 0}, nil
}

// bytes returns the body if it is certainly complete.
func (a answer) bytes() ([]byte, error) {
	if !a.delimited {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, errUndelimited)
	}
	return a.body, nil
}

// json returns the body if it is certainly complete. A document of JSON shows its own end, unless digits end it.
func (a answer) json() ([]byte, error) {
	if json.Valid(a.body) && !unicode.IsDigit(rune(a.body[len(a.body)-1])) {
		return a.body, nil
	}
	return a.bytes()
}

// exchangeJSON sends input as JSON and decodes the response into output. Either may be nil.
func (c *client) exchangeJSON(ctx context.Context, out outgoing, input, output any) error {
	if input != nil {
		body, err := json.Marshal(input)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotDelivered, err)
		}
		out.body, out.contentType = body, contentTypeJSON
	}
	out.totalTimeout = max(out.totalTimeout, c.options.CallTimeout)
	answer, err := c.exchange(ctx, out)
	if err != nil || output == nil {
		return err
	}
	if err := json.Unmarshal(answer.body, output); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}
