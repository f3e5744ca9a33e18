package siteservices

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/headsyntax"
)

// Defaults of ClientOptions.
const (
	DefaultDialTimeout    = 2 * time.Second
	DefaultRequestTimeout = 10 * time.Second
	idleConnectionTimeout = 90 * time.Second
	maxIdleConnections    = 16
	// errorTextLimit is the maximum length of an error response quoted in errors.
	errorTextLimit = 512
)

// ClientOptions configure the client of one service.
type ClientOptions struct {
	// Address is the address of the service.
	Address netip.AddrPort
	// Caller is the name of this node. It is sent in CallerHeader.
	Caller string
	// DialTimeout is the timeout of a dial; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// RequestTimeout is the timeout of one request, in addition to its long poll; 0 means
	// DefaultRequestTimeout.
	RequestTimeout time.Duration
}

// client sends requests to one service. Its errors distinguish requests that had no effect
// from those whose outcome is unknown.
type client struct {
	options ClientOptions
	http    *http.Client
}

func newClient(options ClientOptions) *client {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.RequestTimeout == 0 {
		options.RequestTimeout = DefaultRequestTimeout
	}
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	transport := &http.Transport{
		DialContext:         headsyntax.Checked(dialer.DialContext),
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}
	return &client{options: options, http: &http.Client{Transport: transport, CheckRedirect: noRedirects}}
}

func noRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// close closes idle connections.
func (c *client) close() { c.http.CloseIdleConnections() }

// exchange is one request and the destination of its response.
type exchange struct {
	method string
	// path is escaped.
	path   string
	query  url.Values
	body   any
	answer any
	// wait is the duration of the request's long poll.
	wait time.Duration
}

// do sends the request and decodes the response. Errors wrap ErrUnavailable if the request
// had no effect, else ErrOutcomeUnknown.
func (c *client) do(ctx context.Context, e exchange) error {
	operation := e.method + " " + e.path
	ctx, cancel := context.WithTimeout(ctx, e.wait+c.options.RequestTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), e)
	if err != nil {
		return fmt.Errorf("site services: %s: %w: %w", operation, ErrUnavailable, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if !connected.Load() {
			return fmt.Errorf("site services: %s: %w: %w", operation, ErrUnavailable, err)
		}
		return fmt.Errorf("site services: %s: %w: %w", operation, ErrOutcomeUnknown, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return responseError(operation, response)
	}
	return decode(operation, response.Body, e.answer)
}

func (c *client) request(ctx context.Context, e exchange) (*http.Request, error) {
	var body io.Reader
	if e.body != nil {
		encoded, err := json.Marshal(e.body)
		if err != nil {
			return nil, fmt.Errorf("encode body: %w", err)
		}
		if len(encoded) > MaxBodyBytes {
			return nil, fmt.Errorf("body of %d bytes is over the limit of %d", len(encoded), MaxBodyBytes)
		}
		body = bytes.NewReader(encoded)
	}
	base := &url.URL{Scheme: "http", Host: c.options.Address.String(), RawQuery: e.query.Encode()}
	target := base.JoinPath(e.path)
	request, err := http.NewRequestWithContext(ctx, e.method, target.String(), body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.options.Caller != "" {
		request.Header.Set(CallerHeader, c.options.Caller)
	}
	return request, nil
}

// responseError returns the error of a response other than 200. Only EffectHeader proves that
// the request had no effect, since a proxy may have sent the response.
func responseError(operation string, response *http.Response) error {
	kind := ErrOutcomeUnknown
	if response.Header.Get(EffectHeader) == EffectNone {
		kind = ErrUnavailable
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, errorTextLimit))
	return fmt.Errorf("site services: %s: %w: status %d: %s", operation, kind, response.StatusCode, bytes.TrimSpace(text))
}

// decode decodes a response of limited size. The outcome of a request with an invalid response
// is unknown.
func decode(operation string, body io.Reader, answer any) error {
	limited := &io.LimitedReader{R: body, N: MaxBodyBytes + 1}
	encoded, err := io.ReadAll(limited)
	if err != nil {
		return fmt.Errorf("site services: %s: %w: read answer: %w", operation, ErrOutcomeUnknown, err)
	}
	if len(encoded) > MaxBodyBytes {
		return fmt.Errorf("site services: %s: %w: answer is over the limit of %d bytes", operation, ErrOutcomeUnknown, MaxBodyBytes)
	}
	if err := json.Unmarshal(encoded, answer); err != nil {
		return fmt.Errorf("site services: %s: %w: decode answer: %w", operation, ErrOutcomeUnknown, err)
	}
	return nil
}
