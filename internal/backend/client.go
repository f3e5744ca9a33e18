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
)

// errIdle is the cause of a request that ended because nothing came for too long.
var errIdle = errors.New("backend: no bytes for too long")

// errTooLarge is the cause of an answer that was given up for its size.
var errTooLarge = errors.New("backend: answer too large")

func (o Options) transport() *http.Transport {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	return &http.Transport{
		Proxy:              nil,
		DialContext:        dial,
		DisableCompression: true,
	}
}

// client sends requests to one back end and maps all failures to the package's
// errors. It is safe for concurrent use.
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
	// header must come within headerTimeout; the whole request within
	// wholeTimeout unless that is 0.
	headerTimeout time.Duration
	wholeTimeout  time.Duration
}

// incoming is an answer under way. Its reader fails once nothing came for
// IdleTimeout; close ends the request.
type incoming struct {
	response *http.Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
	idle     *time.Timer
	timeout  time.Duration
}

// send sends a request and returns its answer once the header is there. An
// answer that is a refusal comes back as an error.
//
// ErrNotDelivered is returned only if no connection was ever handed to the
// request: then no byte of it was written. All other failures are ErrBroken.
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
	// Without GetBody, net/http cannot send a request with a body a second time.
	request.GetBody = nil
	idle := time.AfterFunc(out.headerTimeout, func() { cancel(errIdle) })
	response, err := c.http.Do(request)
	if err != nil {
		idle.Stop()
		err = because(ctx, err)
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
		return nil, c.refusal(in)
	}
	return in, nil
}

// because prefers the cause that ended a request over what net/http says of it.
func because(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// Read implements io.Reader over the answer's body with the idle timeout. Time
// between two reads, which is the reader's own, does not count.
func (in *incoming) Read(buffer []byte) (int, error) {
	in.idle.Reset(in.timeout)
	count, err := in.response.Body.Read(buffer)
	in.idle.Stop()
	if err != nil && !errors.Is(err, io.EOF) {
		err = because(in.ctx, err)
	}
	return count, err
}

func (in *incoming) close() {
	in.idle.Stop()
	_ = in.response.Body.Close()
	in.cancel(nil)
}

// statusError is an HTTP status that came without a problem document.
type statusError int

// Error tells the status.
func (s statusError) Error() string {
	return fmt.Sprintf("status %d without a problem document", int(s))
}

// maxErrorBytes bounds the body of a refusal.
const maxErrorBytes = 64 << 10

// refusal reads the error document of an answer.
func (c *client) refusal(in *incoming) error {
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

// exchange sends a request and reads its whole answer.
func (c *client) exchange(ctx context.Context, out outgoing) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, out.wholeTimeout)
	defer cancel()
	out.headerTimeout = out.wholeTimeout
	in, err := c.send(ctx, out)
	if err != nil {
		return nil, err
	}
	defer in.close()
	body, err := readAll(in, c.options.MaxBodyBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return body, nil
}

// exchangeJSON sends input as JSON and reads the answer into output; either may
// be nil.
func (c *client) exchangeJSON(ctx context.Context, out outgoing, input, output any) error {
	if input != nil {
		body, err := json.Marshal(input)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotDelivered, err)
		}
		out.body, out.contentType = body, contentTypeJSON
	}
	out.wholeTimeout = max(out.wholeTimeout, c.options.CallTimeout)
	body, err := c.exchange(ctx, out)
	if err != nil || output == nil {
		return err
	}
	if err := json.Unmarshal(body, output); err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return nil
}
