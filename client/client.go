// Package client is the Go client of stepseam. It retries requests at another node when a
// node fails or drains. Any node serves any program, and a repeated sequence with the same
// body joins the running call or replays its answer, so retries are safe even for
// unrepeatable calls. The client never changes the sequence of a call.
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
	"stepseam.example/stepseam/internal/headsyntax"
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

// ErrUnreachable means that no node responded. The request may have had its effect, unless
// NotRun reports otherwise.
var ErrUnreachable = errors.New("client: no node responded")

// errNotSent marks attempts that never reached a node.
var errNotSent = errors.New("client: request not sent")

// Options configure a Client. Nodes is required; other zero fields get defaults.
type Options struct {
	// Nodes are the callers' addresses of nodes, as host:port.
	Nodes []string
	// Patience bounds the time spent on failing attempts, in addition to the context's
	// deadline. It does not limit how long a call may run.
	Patience time.Duration
	// FirstPause and MaxPause are the initial and maximum backoff between attempts
	// where the response has no Retry-After.
	FirstPause time.Duration
	MaxPause   time.Duration
	// StreamSilence is the idle timeout of a stream, after which another node is tried.
	// Nodes send a comment every ten seconds.
	StreamSilence time.Duration
	// Transport carries the requests; nil uses one with a short dial timeout and
	// TCP keep-alive, which accepts only responses with valid heads.
	Transport http.RoundTripper
}

// Client sends requests to nodes. It is safe for concurrent use.
type Client struct {
	options Options
	nodes   *nodes
	http    *http.Client
}

// New returns a client, or an error if the options have no nodes or an invalid address.
func New(options Options) (*Client, error) {
	if len(options.Nodes) == 0 {
		return nil, errors.New("client: no nodes configured")
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

// newTransport returns a transport whose keep-alive detects dead nodes within about 20
// seconds, also while a request waits for a long answer. Responses with invalid heads fail.
func newTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 3},
	}
	return &http.Transport{
		DialContext:         headsyntax.Checked(dialer.DialContext),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// CreateProgram creates a program. If the request has no id, the client chooses one, so
// that a retry after a lost response does not create a second program.
func (c *Client) CreateProgram(ctx context.Context, request api.ProgramRequest) (api.Program, error) {
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	return c.requestProgram(ctx, http.MethodPost, "/v1/programs", request)
}

// Program returns the current state of a program.
func (c *Client) Program(ctx context.Context, id string) (api.Program, error) {
	return c.requestProgram(ctx, http.MethodGet, "/v1/programs/"+url.PathEscape(id), nil)
}

// EndProgram ends a program. It is idempotent.
func (c *Client) EndProgram(ctx context.Context, id string) (api.Program, error) {
	return c.requestProgram(ctx, http.MethodPost, "/v1/programs/"+url.PathEscape(id)+"/end", nil)
}

// CancelProgram cancels a program. It is idempotent.
func (c *Client) CancelProgram(ctx context.Context, id string) (api.Program, error) {
	return c.requestProgram(ctx, http.MethodDelete, "/v1/programs/"+url.PathEscape(id), nil)
}

func (c *Client) requestProgram(ctx context.Context, method, path string, body any) (api.Program, error) {
	var program api.Program
	err := c.retry(ctx, func(ctx context.Context, node string) error {
		return c.exchange(ctx, node, method, path, body, &program)
	})
	return program, err
}

// Call runs a call and returns its complete answer. All attempts have the same sequence and
// body. It waits on a stream without tokens, whose comments distinguish a failed node from
// a long-running call.
func (c *Client) Call(ctx context.Context, program string, call api.CallRequest) (api.Answer, error) {
	call.Stream = true
	return c.stream(ctx, http.MethodPost, callsPath(program)+"?"+withoutTokens, call, nil)
}

// Fetch returns the answer of an earlier call and waits for it if it still runs.
func (c *Client) Fetch(ctx context.Context, program, branch string, sequence uint64) (api.Answer, error) {
	return c.stream(ctx, http.MethodGet, fetchPath(program, branch, sequence)+"&"+withoutTokens, nil, nil)
}

// withoutTokens is the query that omits the tokens from a stream.
const withoutTokens = "tokens=false"

func callsPath(program string) string { return "/v1/programs/" + url.PathEscape(program) + "/calls" }

func fetchPath(program, branch string, sequence uint64) string {
	return callsPath(program) + "/" + strconv.FormatUint(sequence, 10) + "?branch=" + url.QueryEscape(branch)
}

// exchange makes one request to one node and decodes the JSON response.
func (c *Client) exchange(ctx context.Context, node, method, path string, body, into any) error {
	response, err := c.send(ctx, node, method, path, body, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return fmt.Errorf("%w: %s: response interrupted: %w", ErrUnreachable, node, err)
	}
	return nil
}

// send makes one request to one node. Errors are *api.Problem or wrap ErrUnreachable, except
// if the request itself is invalid. The caller closes the response's body.
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
		return nil, unreachableError(node, err)
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		return nil, readProblem(node, response)
	}
	return response, nil
}

// unreachableError wraps the error of an attempt without a response, with errNotSent if the
// dial failed.
func unreachableError(node string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %w: %s: %w", ErrUnreachable, errNotSent, node, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrUnreachable, node, err)
}

// readProblem decodes the problem document of an error response. Any other body does not
// come from a node, so the outcome is unknown.
func readProblem(node string, response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err != nil {
		return fmt.Errorf("%w: %s: response interrupted: %w", ErrUnreachable, node, err)
	}
	var problem api.Problem
	if err := json.Unmarshal(body, &problem); err != nil || problem.Code == "" {
		return fmt.Errorf("%w: %s: status %d without a problem document", ErrUnreachable, node, response.StatusCode)
	}
	return decodeRetryAfter(&problem)
}

// decodeRetryAfter sets RetryAfter from the seconds in the problem document.
func decodeRetryAfter(problem *api.Problem) *api.Problem {
	return problem.WithRetryAfter(time.Duration(problem.RetryAfterSeconds * float64(time.Second)))
}

// NotRun reports whether the request that failed with err is known not to have run.
func NotRun(err error) bool {
	var problem *api.Problem
	if errors.As(err, &problem) {
		return problem.NotRun
	}
	return errors.Is(err, errNotSent)
}
