package exchange

import "net/http"

// Framing is what delimits the body of a response.
type Framing string

// The framings of responses.
const (
	FramingChunked Framing = "chunked"
	FramingLength  Framing = "length"
	// FramingConnection is that of a body that lasts until the end of its connection. It ends in the same
	// way if the replica's process is killed.
	FramingConnection Framing = "connection"
	// FramingNone is that of a response that has no body.
	FramingNone Framing = "none"
)

// framingOf returns the framing of a response to a request with a method.
func framingOf(method string, response *http.Response) Framing {
	switch {
	case method == http.MethodHead, response.StatusCode == http.StatusNoContent, response.StatusCode == http.StatusNotModified:
		return FramingNone
	case len(response.TransferEncoding) > 0:
		return FramingChunked
	case response.ContentLength >= 0:
		return FramingLength
	}
	return FramingConnection
}

// Received returns the number of bytes of the body that have arrived.
func (a *Answer) Received() int64 { return a.body.received }
