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
)

// Defaults of ClientOptions.
const (
	DefaultDialTimeout    = 2 * time.Second
	DefaultRequestTimeout = 10 * time.Second
	idleConnectionTimeout = 90 * time.Second
	maxIdleConnections    = 16
	// errorTextLimit bounds how much of an error answer is quoted.
	errorTextLimit = 512
)

// ClientOptions sets how a client reaches one service.
type ClientOptions struct {
	// Address is where the service listens.
	Address netip.AddrPort
	// Caller is the name of this node, for the service's records.
	Caller string
	// DialTimeout bounds making a connection; 0 takes DefaultDialTimeout.
	DialTimeout time.Duration
	// RequestTimeout bounds one request beyond its long poll, if the caller's
	// context sets no earlier end; 0 takes DefaultRequestTimeout.
	RequestTimeout time.Duration
}

// client sends requests to one service and tells apart, for each failure,
// whether the request can have had an effect.
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
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}
	return &client{options: options, http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// close drops idle connections.
func (c *client) close() { c.http.CloseIdleConnections() }

// exchange is one request and the place its answer goes.
type exchange struct {
	method string
	// path is escaped already.
	path   string
	query  url.Values
	body   any
	answer any
	// wait is the long poll that is part of the request.
	wait time.Duration
}

// do carries out one exchange. Errors wrap ErrUnavailable where the request
// certainly had no effect and ErrAnswerLost otherwise.
func (c *client) do(ctx context.Context, e exchange) error {
	place := e.method + " " + e.path
	ctx, cancel := context.WithTimeout(ctx, e.wait+c.options.RequestTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), e)
	if err != nil {
		return fmt.Errorf("site services: %s: %w: %w", place, ErrUnavailable, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if !connected.Load() {
			return fmt.Errorf("site services: %s: %w: %w", place, ErrUnavailable, err)
		}
		return fmt.Errorf("site services: %s: %w: %w", place, ErrOutcomeUnknown, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(place, response)
	}
	return decode(place, response.Body, e.answer)
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

// refusal turns an answer other than 200 into an error. Only the service's own
// word counts as proof that nothing happened.
func refusal(place string, response *http.Response) error {
	kind := ErrOutcomeUnknown
	if response.Header.Get(EffectHeader) == EffectNone {
		kind = ErrUnavailable
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, errorTextLimit))
	return fmt.Errorf("site services: %s: %w: status %d: %s", place, kind, response.StatusCode, bytes.TrimSpace(text))
}

// decode reads a bounded answer. An answer that can't be read is a lost one.
func decode(place string, body io.Reader, answer any) error {
	limited := &io.LimitedReader{R: body, N: MaxBodyBytes + 1}
	encoded, err := io.ReadAll(limited)
	if err != nil {
		return fmt.Errorf("site services: %s: %w: read answer: %w", place, ErrOutcomeUnknown, err)
	}
	if len(encoded) > MaxBodyBytes {
		return fmt.Errorf("site services: %s: %w: answer is over the limit of %d bytes", place, ErrOutcomeUnknown, MaxBodyBytes)
	}
	if err := json.Unmarshal(encoded, answer); err != nil {
		return fmt.Errorf("site services: %s: %w: decode answer: %w", place, ErrOutcomeUnknown, err)
	}
	return nil
}
