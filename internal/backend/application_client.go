package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
)

// ApplicationClient is an Application over HTTP.
type ApplicationClient struct{ client client }

var (
	_ Application  = (*ApplicationClient)(nil)
	_ LoadReporter = (*ApplicationClient)(nil)
)

// emptyInput is the body of an operation without input. Every operation has a body, since
// net/http may retry a request without one.
const emptyInput = "null"

// Invoke implements Application. A request is written at most once.
func (a *ApplicationClient) Invoke(ctx context.Context, request InvokeRequest) ([]byte, error) {
	header := http.Header{}
	header.Set(HeaderStream, FormatStreamID(request.Stream))
	if request.IdempotencyKey != "" {
		header.Set(HeaderIdempotencyKey, headerValue(request.IdempotencyKey))
	}
	body := request.Body
	if len(body) == 0 {
		body = []byte(emptyInput)
	}
	answer, err := a.client.exchange(ctx, outgoing{
		method: http.MethodPost, path: PathOperations + url.PathEscape(request.Operation),
		header: header, body: body, contentType: contentTypeJSON,
		totalTimeout: a.client.options.InvokeTimeout,
	})
	var output []byte
	if err == nil {
		output, err = answer.json()
	}
	if err != nil {
		return nil, fmt.Errorf("invoke %s for %s: %w", request.Operation, request.Stream, err)
	}
	return output, nil
}

// Load implements LoadReporter. It returns ErrNoReport if the replica does not serve load
// reports.
func (a *ApplicationClient) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := a.client.exchangeJSON(ctx, outgoing{method: http.MethodGet, path: PathLoad}, nil, &report)
	var status statusError
	if errors.As(err, &status) && (status == http.StatusNotFound || status == http.StatusMethodNotAllowed) {
		return report, fmt.Errorf("load: %w: %w", ErrNoReport, err)
	}
	if err != nil {
		return report, fmt.Errorf("load: %w", err)
	}
	return report, nil
}

// headerValue returns key unchanged if it is a valid header value, else escaped.
func headerValue(key string) string {
	for _, letter := range []byte(key) {
		if letter <= ' ' || letter > '~' {
			return url.QueryEscape(key)
		}
	}
	return key
}
