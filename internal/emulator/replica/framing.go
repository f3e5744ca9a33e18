package replica

import (
	"fmt"
	"strings"
)

// Framing is how a response tells the end of its body.
type Framing int

// The framings of responses.
const (
	// FramingLength states the length of the body.
	FramingLength Framing = iota
	// FramingChunked sends the body in chunks.
	FramingChunked
	// FramingNone ends the body by closing the connection.
	FramingNone
)

// String returns the name of the framing.
func (f Framing) String() string { return [...]string{"length", "chunked", "none"}[f] }

// Response returns a whole response with status 200. Each part of its body is a chunk, if it has chunks.
func (f Framing) Response(lines []string, parts ...string) string {
	body := strings.Join(parts, "")
	switch f {
	case FramingLength:
		lines = append(lines[:len(lines):len(lines)], fmt.Sprintf("Content-Length: %d", len(body)))
	case FramingChunked:
		lines = append(lines[:len(lines):len(lines)], "Transfer-Encoding: chunked")
		var chunks strings.Builder
		for _, part := range parts {
			fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(part), part)
		}
		body = chunks.String() + "0\r\n\r\n"
	case FramingNone:
		lines = append(lines[:len(lines):len(lines)], "Connection: close")
	}
	return "HTTP/1.1 200 OK\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// Interleave returns what is written, in order, if another thread writes a surplus response while one
// is under way on the same connection: the surplus in pieces, each behind as many bytes of own as at
// states, in ascending order.
func Interleave(own string, surplus []string, at []int) []string {
	var writes []string
	written := 0
	for i, piece := range surplus {
		writes = append(writes, own[written:at[i]], piece)
		written = at[i]
	}
	return append(writes, own[written:])
}
