package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/headsyntax"
	"stepseam.example/stepseam/internal/operator"
)

// client sends requests to the operators' addresses of the nodes, in order, until one
// responds.
type client struct {
	addresses []string
	http      *http.Client
}

func newClient(addresses []string, timeout time.Duration) *client {
	return &client{
		addresses: lo.FlatMap(addresses, func(a string, _ int) []string {
			return lo.Compact(strings.Split(strings.ReplaceAll(a, " ", ""), ","))
		}),
		http: &http.Client{Timeout: timeout, Transport: newTransport(http.ProxyFromEnvironment)},
	}
}

// transport sends requests directly or through a proxy. It checks the heads of direct responses; bytes of a proxy's
// own protocol may precede others.
type transport struct {
	proxy           func(*http.Request) (*url.URL, error)
	direct, proxied *http.Transport
}

func newTransport(proxy func(*http.Request) (*url.URL, error)) *transport {
	return &transport{
		proxy:   proxy,
		direct:  &http.Transport{DialContext: headsyntax.Checked((&net.Dialer{}).DialContext)},
		proxied: &http.Transport{Proxy: proxy},
	}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if proxy, err := t.proxy(request); err == nil && proxy == nil {
		return t.direct.RoundTrip(request)
	}
	return t.proxied.RoundTrip(request)
}

// checkAddresses returns a usage failure if no address is given or one is invalid.
func (c *client) checkAddresses() error {
	if len(c.addresses) == 0 {
		return &failure{
			code: exitUsage, reason: "no node named",
			advice: "Give --address IP:PORT of a node's operators' address, or set STEPSEAM_ADDRESS.",
		}
	}
	for _, address := range c.addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return &failure{code: exitUsage, reason: fmt.Sprintf("address %q is no IP number with a port", address), advice: "Give it as in 10.0.0.1:8081."}
		}
	}
	return nil
}

// get fetches a document.
func (c *client) get(ctx context.Context, path string, document any) error {
	return c.send(ctx, http.MethodGet, path, func(bool) any { return nil }, document)
}

// post sends a body. The request must be idempotent, since it may be repeated at another
// node.
func (c *client) post(ctx context.Context, path string, body, document any) error {
	return c.send(ctx, http.MethodPost, path, func(bool) any { return body }, document)
}

// send tries the addresses in order until a node responds. The argument of body is true if
// an earlier node may have received the request.
func (c *client) send(ctx context.Context, method, path string, body func(repeated bool) any, document any) error {
	if err := c.checkAddresses(); err != nil {
		return err
	}
	var causes []error
	sent := false
	for _, address := range c.addresses {
		err := c.sendTo(ctx, address, method, path, body(sent), document)
		if !errors.Is(err, errNoResponse) {
			return err
		}
		sent = sent || !errors.Is(err, errNotSent)
		causes = append(causes, err)
	}
	return &failure{
		code: exitUnreachable, sent: sent, reason: errors.Join(causes...).Error(),
		advice: "See that a node runs there and that its operators' address is meant (addresses.operators in its settings); give further nodes by repeating --address.",
	}
}

// errNoResponse means that a node did not respond. It may have received the request.
var errNoResponse = errors.New("no answer")

// errNotSent is an errNoResponse of a request that was not sent.
var errNotSent = fmt.Errorf("%w, not connected", errNoResponse)

// errStatus means that the status of a response is not that of an answer.
var errStatus = errors.New("invalid status")

// responseError wraps a connection error with errNotSent if the dial failed, else with
// errNoResponse.
func responseError(address string, err error) error {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return fmt.Errorf("%w: %s: %w", errNotSent, address, err)
	}
	return fmt.Errorf("%w from %s: %w", errNoResponse, address, err)
}

func (c *client) sendTo(ctx context.Context, address, method, path string, body, document any) error {
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, payload)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return responseError(address, err)
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusOK {
		return responseError(address, fmt.Errorf("%w: %03d", errStatus, response.StatusCode))
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return responseError(address, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return problemFailure(address, response.StatusCode, content)
	}
	if err := json.Unmarshal(content, document); err != nil {
		return &failure{
			code: exitFailed, reason: fmt.Sprintf("%s answered with something else than stepseam's JSON: %s", address, err),
			advice: "See that the address is the operators' address of a stepseamd of the same release.",
		}
	}
	return nil
}

// failuresByCode maps the codes of problems to exit codes and advice. Other codes exit with
// exitFailed.
var failuresByCode = map[api.Code]failure{
	api.CodeInvalid:             {code: exitFindings, advice: "Mend the places named and publish again; nothing was published."},
	api.CodeTableConflict:       {code: exitConflict, advice: "Fetch the version in force (table show --csv), make your change in it, and publish on its version."},
	api.CodeConflict:            {code: exitConflict},
	operator.CodeTableUnknown:   {code: exitUnknown, advice: "Publish again with the same --id, which is safe; or look for the id in table history."},
	api.CodeLogUnavailable:      {code: exitUnreachable, advice: "Try again when the log service answers; see log in status."},
	api.CodeUnknownProgram:      {code: exitNotFound, advice: "See program list."},
	operator.CodeUnknownNode:    {code: exitNotFound, advice: "See status for the nodes' names."},
	operator.CodeUnknownVersion: {code: exitNotFound, advice: "See table history for the versions remembered."},
	operator.CodeNoExplanation:  {code: exitNotFound, advice: "Give program, sequence and branch as in the call; decisions are kept in memory for the last calls only."},
	api.CodeNoTable:             {code: exitNotFound, advice: "Publish the first table on base 0, or see in status why the node has none."},
}

// problemFailure converts an error response to a failure.
func problemFailure(address string, status int, content []byte) error {
	var problem api.Problem
	if err := json.Unmarshal(content, &problem); err != nil || problem.Status == 0 {
		return &failure{
			code: exitFailed, reason: fmt.Sprintf("%s answered %d: %s", address, status, strings.TrimSpace(string(content))),
			advice: "See that the address is the operators' address of a stepseamd of the same release.",
		}
	}
	result, found := failuresByCode[problem.Code]
	if !found {
		result.code = exitFailed
	}
	lines := []string{fmt.Sprintf("%s: %s", problem.Title, problem.Detail)}
	for _, finding := range problem.Findings {
		lines = append(lines, "  "+finding.Place+": "+finding.Message)
	}
	result.reason = strings.Join(lines, "\n")
	if problem.RetryAfterSeconds > 0 {
		result.advice = strings.TrimSpace(fmt.Sprintf("%s Come back in %.0f s.", result.advice, problem.RetryAfterSeconds))
	}
	return &result
}
