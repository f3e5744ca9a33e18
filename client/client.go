// Package client is the Go client for callers of stepseam. It knows several
// nodes and asks another one when a node fails or drains: any node takes any
// program, and the same sequence with the same body joins or replays a call, so
// asking again is safe, also for unrepeatable calls. It never gives a call
// another sequence.
package client

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"stepseam.example/stepseam/api"
)

// Defaults of Options.
const (
	defaultPatience      = 30 * time.Second
	defaultFirstPause    = 100 * time.Millisecond
	defaultMaxPause      = 2 * time.Second
	defaultStreamSilence = 25 * time.Second
	dialTimeout          = 2 * time.Second
	maxProblemBytes      = 1 << 20
)

// ErrUnreachable tells that no node answered. What was asked for may have been
// done, unless NotRun says otherwise.
var ErrUnreachable = errors.New("client: no node answered")

// errNotSent marks tries that certainly never reached a node.
var errNotSent = errors.New("client: not sent")

// Options are a client's settings. Nodes is required; zero fields take their
// defaults.
type Options struct {
	// Nodes are the addresses of nodes for callers, as host:port.
	Nodes []string
	// Patience bounds the time spent on tries that fail, beside the context's
	// deadline. Waiting for an answer that is being made does not count.
	Patience time.Duration
	// FirstPause and MaxPause bound the pauses between tries where the answer
	// does not say when to come back.
	FirstPause time.Duration
	MaxPause   time.Duration
	// StreamSilence is how long a stream may be silent before another node is
	// asked; nodes send a comment every ten seconds.
	StreamSilence time.Duration
	// Transport carries the requests; nil makes one with short dials and
	// keep-alive.
	Transport http.RoundTripper
}

// Client sends requests to nodes. It is safe for concurrent use.
type Client struct {
	options Options
	nodes   *nodes
	http    *http.Client
}

// New returns a client.
func New(options Options) (*Client, error) {
	if len(options.Nodes) == 0 {
		return nil, errors.New("client: no nodes are given")
	}
	for i, node := range options.Nodes {
		if _, _, err := net.SplitHostPort(node); err != nil {
			return nil, fmt.Errorf("client: node %d: %w", i+1, err)
		}
	}
	options.Patience = cmp.Or(options.Patience, defaultPatience)
	options.FirstPause = cmp.Or(options.FirstPause, defaultFirstPause)
	options.MaxPause = cmp.Or(options.MaxPause, defaultMaxPause)
	options.StreamSilence = cmp.Or(options.StreamSilence, defaultStreamSilence)
	if options.Transport == nil {
		options.Transport = newTransport()
	}
	return &Client{options: options, nodes: newNodes(options.Nodes), http: &http.Client{Transport: options.Transport}}, nil
}

// newTransport finds dead nodes within about 20 seconds also while it waits for
// a long answer.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 3},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// CreateProgram makes a program. Without an id it chooses one, so that a try
// whose answer was lost is not made twice.
func (c *Client) CreateProgram(ctx context.Context, request api.ProgramRequest) (api.Program, error) {
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	return c.onProgram(ctx, http.MethodPost, "/v1/programs", request)
}

// Program returns a program as it stands.
func (c *Client) Program(ctx context.Context, id string) (api.Program, error) {
	return c.onProgram(ctx, http.MethodGet, "/v1/programs/"+url.PathEscape(id), nil)
}

// EndProgram ends a program; it may be repeated.
func (c *Client) EndProgram(ctx context.Context, id string) (api.Program, error) {
	return c.onProgram(ctx, http.MethodPost, "/v1/programs/"+url.PathEscape(id)+"/end", nil)
}

// CancelProgram cancels a program; it may be repeated.
func (c *Client) CancelProgram(ctx context.Context, id string) (api.Program, error) {
	return c.onProgram(ctx, http.MethodDelete, "/v1/programs/"+url.PathEscape(id), nil)
}

func (c *Client) onProgram(ctx context.Context, method, path string, body any) (api.Program, error) {
	var program api.Program
	err := c.retry(ctx, func(ctx context.Context, node string) error {
		return c.exchange(ctx, node, method, path, body, &program)
	})
	return program, err
}

// Call runs a call and returns its whole answer. The call's sequence and body
// stay the same however often it is sent. It waits on a stream without tokens,
// whose comments tell a node that is gone from an answer that takes long.
func (c *Client) Call(ctx context.Context, program string, call api.CallRequest) (api.Answer, error) {
	call.Stream = true
	return c.stream(ctx, http.MethodPost, callsPath(program)+"?"+withoutTokens, call, nil)
}

// Fetch returns the answer of a call that was made before, and waits for it if
// it still runs.
func (c *Client) Fetch(ctx context.Context, program, branch string, sequence uint64) (api.Answer, error) {
	return c.stream(ctx, http.MethodGet, fetchPath(program, branch, sequence)+"&"+withoutTokens, nil, nil)
}

// withoutTokens leaves the tokens out of a stream.
const withoutTokens = "tokens=false"

func callsPath(program string) string { return "/v1/programs/" + url.PathEscape(program) + "/calls" }

func fetchPath(program, branch string, sequence uint64) string {
	return callsPath(program) + "/" + strconv.FormatUint(sequence, 10) + "?branch=" + url.QueryEscape(branch)
}

// exchange makes one request at one node and decodes its answer.
func (c *Client) exchange(ctx context.Context, node, method, path string, body, into any) error {
	response, err := c.send(ctx, node, method, path, body, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("%w: %s: the answer broke off: %w", ErrUnreachable, node, err)
	}
	return nil
}

// send makes one request. Its error is a problem, or wraps ErrUnreachable.
func (c *Client) send(ctx context.Context, node, method, path string, body any, headers http.Header) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("client: encode request: %w", err)
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, reader)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	for name, values := range headers {
		request.Header[name] = values
	}
	if body != nil {
		request.Header.Set("Content-Type", api.MediaJSON)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, unreachable(node, err)
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		return nil, readProblem(node, response)
	}
	return response, nil
}

// unreachable tells what is certain of a try that brought no answer.
func unreachable(node string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %w: %s: %w", ErrUnreachable, errNotSent, node, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrUnreachable, node, err)
}

// readProblem decodes a refusal. Anything that is no problem document does not
// come from a node, so nothing is certain about it.
func readProblem(node string, response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err != nil {
		return fmt.Errorf("%w: %s: the answer broke off: %w", ErrUnreachable, node, err)
	}
	var problem api.Problem
	if err := json.Unmarshal(body, &problem); err != nil || problem.Code == "" {
		return fmt.Errorf("%w: %s: status %d without a problem document", ErrUnreachable, node, response.StatusCode)
	}
	return restored(&problem)
}

// restored puts back what a problem's JSON form holds in seconds.
func restored(problem *api.Problem) *api.Problem {
	return problem.WithRetryAfter(time.Duration(problem.RetryAfterSeconds * float64(time.Second)))
}

// NotRun tells that what failed with err certainly did not run.
func NotRun(err error) bool {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem.NotRun
	}
	return errors.Is(err, errNotSent)
}
