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
	"strings"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/operator"
)

// client asks the operators' address of the first node that answers.
type client struct {
	addresses []string
	http      *http.Client
}

func newClient(addresses []string, timeout time.Duration) *client {
	return &client{
		addresses: lo.FlatMap(addresses, func(a string, _ int) []string {
			return lo.Compact(strings.Split(strings.ReplaceAll(a, " ", ""), ","))
		}),
		http: &http.Client{Timeout: timeout},
	}
}

// checkAddresses refuses a command line that names no node.
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

// get asks for a document.
func (c *client) get(ctx context.Context, path string, document any) error {
	return c.ask(ctx, http.MethodGet, path, func(bool) any { return nil }, document)
}

// post sends a body that may be sent again to another node without harm.
func (c *client) post(ctx context.Context, path string, body, document any) error {
	return c.ask(ctx, http.MethodPost, path, func(bool) any { return body }, document)
}

// ask tries one address after the other until a node answers. body is told
// whether an earlier node may have got the request.
func (c *client) ask(ctx context.Context, method, path string, body func(repeated bool) any, document any) error {
	if err := c.checkAddresses(); err != nil {
		return err
	}
	var causes []error
	sent := false
	for _, address := range c.addresses {
		err := c.askOne(ctx, address, method, path, body(sent), document)
		if !errors.Is(err, errNoAnswer) {
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

// errNoAnswer tells that a node gave no answer; it may have got the request.
var errNoAnswer = errors.New("no answer")

// errNotSent is an errNoAnswer for which the request certainly never left.
var errNotSent = fmt.Errorf("%w, not connected", errNoAnswer)

// noAnswer names a failure of the connection to address.
func noAnswer(address string, err error) error {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return fmt.Errorf("%w: %s: %w", errNotSent, address, err)
	}
	return fmt.Errorf("%w from %s: %w", errNoAnswer, address, err)
}

func (c *client) askOne(ctx context.Context, address, method, path string, body, document any) error {
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
		return noAnswer(address, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return noAnswer(address, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return refusal(address, response.StatusCode, content)
	}
	if err := json.Unmarshal(content, document); err != nil {
		return &failure{
			code: exitFailed, reason: fmt.Sprintf("%s answered with something else than stepseam's JSON: %s", address, err),
			advice: "See that the address is the operators' address of a stepseamd of the same release.",
		}
	}
	return nil
}

// refusals gives exit code and advice for the codes that need their own.
var refusals = map[api.Code]failure{
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

// refusal turns a problem document into an error.
func refusal(address string, status int, content []byte) error {
	var problem api.Problem
	if err := json.Unmarshal(content, &problem); err != nil || problem.Status == 0 {
		return &failure{
			code: exitFailed, reason: fmt.Sprintf("%s answered %d: %s", address, status, strings.TrimSpace(string(content))),
			advice: "See that the address is the operators' address of a stepseamd of the same release.",
		}
	}
	made, found := refusals[problem.Code]
	if !found {
		made.code = exitFailed
	}
	lines := []string{fmt.Sprintf("%s: %s", problem.Title, problem.Detail)}
	for _, finding := range problem.Findings {
		lines = append(lines, "  "+finding.Place+": "+finding.Message)
	}
	made.reason = strings.Join(lines, "\n")
	if problem.RetryAfterSeconds > 0 {
		made.advice = strings.TrimSpace(fmt.Sprintf("%s Come back in %.0f s.", made.advice, problem.RetryAfterSeconds))
	}
	return &made
}
