package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// needsAttribution reports whether an error response without an ID may be a late one to an earlier request of
// the connection, where a wrong guess would let a request run twice. A request that was not wholly sent can't
// run, since its connection is closed.
func (c *Client) needsAttribution(used *connection, request Request, response *http.Response) bool {
	delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return !request.Repeatable && request.Method != http.MethodHead && used.served > 0 && c.names.ReportPath != "" && delimited && !response.Close && used.sending.wait(used) == nil
}

// attribute requests a report behind a response without an ID. A replica answers the requests of a connection
// in their order: the response to the first one comes before the report, unless it has come already. The body
// of the response is held meanwhile.
func (c *Client) attribute(used *connection, response *http.Response) error {
	if err := used.wire.end(); err != nil {
		return err
	}
	if err := used.wire.startTimeout(skipTimeout); err != nil {
		return err
	}
	body, err := readBounded(response.Body, readBuffer)
	if err != nil {
		return fmt.Errorf("exchange: read a response without an ID: %w", err)
	}
	if err := used.wire.clearTimeout(); err != nil {
		return err
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return c.requestReport(used)
}

// attributedTo returns the response that names the request. If one without an ID came before, that was another
// request's, and the report follows.
func (c *Client) attributedTo(used *connection, response, unattributed *http.Response) *http.Response {
	if unattributed != nil {
		c.pool.surplus.record(used.target, SurplusSkipped)
		response.Close = true
	}
	return response
}

// attributed returns a response without an ID once the report behind it has come. The connection is reusable
// if the report is whole.
func attributed(used *connection, response, report *http.Response) (*http.Response, error) {
	if err := skipBody(used, report); err != nil {
		return nil, errors.Join(errMismatched, err)
	}
	response.Close = report.Close
	return response, nil
}
