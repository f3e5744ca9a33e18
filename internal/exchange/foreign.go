package exchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
)

const (
	// maxFormerIDs bounds the earlier requests that a connection remembers, maxFormerID the length of an ID.
	maxFormerIDs = 16
	maxFormerID  = 256
	// statusLength is the length of the part of a status line that is compared.
	statusLength = len(protocolPrefix) + len("1 200")
)

// ErrForeign means that a response holds bytes of another one.
var ErrForeign = errors.New("the response holds bytes of another one")

// remember keeps the ID of a request that the connection has carried.
func (c *connection) remember(id string) {
	if len(id) > maxFormerID {
		return
	}
	if len(c.former) == maxFormerIDs {
		c.former = slices.Delete(c.former, 0, 1)
	}
	c.former = append(c.former, id)
}

// isMixed reports whether a head has differing values of a field that each response has once: another
// thread of the replica wrote a second head into it.
func (n Names) isMixed(head http.Header) bool {
	for _, name := range []string{n.RequestID, n.Stamp} {
		values := head.Values(name)
		if len(values) > 1 && slices.ContainsFunc(values, func(one string) bool { return one != values[0] }) {
			return true
		}
	}
	return false
}

// IsHeadLine reports whether a line, without its end, can only be one of a response's head: a status
// line, or a field that delimits a response or tells whose it is.
func (n Names) IsHeadLine(line []byte) bool {
	if statusPrefix(line) == statusLength {
		return true
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return false
	}
	return slices.ContainsFunc([]string{n.RequestID, n.Stamp, n.NotRun, "Content-Length", "Transfer-Encoding"}, func(field string) bool {
		return strings.EqualFold(field, string(name))
	})
}

// statusPrefix returns how many bytes at the start of a text can begin a status line.
func statusPrefix(text []byte) int {
	matched := 0
	for matched < min(len(text), statusLength) && isStatusByte(matched, text[matched]) {
		matched++
	}
	return matched
}

// isStatusByte reports whether a byte can be the one at a place of a status line.
func isStatusByte(place int, one byte) bool {
	switch {
	case place < len(protocolPrefix):
		return one == protocolPrefix[place]
	case place == len(protocolPrefix)+1:
		return one == ' '
	}
	return '0' <= one && one <= '9'
}

// headFinder finds in the body of a response the head of a response to an earlier request of the same
// connection. Such a head may begin anywhere, also within a line.
type headFinder struct {
	names  Names
	former []string

	// read counts the bytes of the body, matched those at its end that can begin a status line.
	read, matched int
	// lines is the number of lines since a status line, which began at start; 0 without one.
	lines, start int
	// line is the beginning of the current line.
	line []byte
}

// find reads a part of the body. If it completes a field of a foreign head that names an earlier
// request, it returns how many bytes of the part precede this head.
func (f *headFinder) find(part []byte) (before int, found bool) {
	from := f.read
	f.read += len(part)
	for i := 0; i < len(part); i++ {
		if f.lines == 0 && f.matched == 0 {
			next := bytes.IndexByte(part[i:], protocolPrefix[0])
			if next < 0 {
				return 0, false
			}
			i += next
		}
		if f.lines > 0 && f.addToHead(part[i]) {
			return max(f.start-from, 0), true
		}
		if f.matchStatus(part[i]) {
			f.lines, f.start, f.line = 1, from+i+1-statusLength, f.line[:0]
		}
	}
	return 0, false
}

// matchStatus reports whether a byte completes the compared part of a status line.
func (f *headFinder) matchStatus(one byte) bool {
	if !isStatusByte(f.matched, one) {
		f.matched = 0
	}
	if isStatusByte(f.matched, one) {
		f.matched++
	}
	if f.matched < statusLength {
		return false
	}
	f.matched = 0
	return true
}

// addToHead adds a byte behind a status line, and reports whether it ends a field that names an earlier
// request.
func (f *headFinder) addToHead(one byte) bool {
	if one != '\n' {
		if len(f.line) < len(f.names.RequestID)+2*maxFormerID {
			f.line = append(f.line, one)
		}
		return false
	}
	line := bytes.TrimSuffix(f.line, []byte("\r"))
	f.line = f.line[:0]
	if len(line) == 0 && f.lines > 1 || f.lines == maxHeadLines {
		f.lines = 0
		return false
	}
	f.lines++
	name, value, _ := bytes.Cut(line, []byte(":"))
	return f.lines > 2 && strings.EqualFold(string(name), f.names.RequestID) && slices.Contains(f.former, string(bytes.TrimSpace(value)))
}

// undecided reports whether the body ended where a foreign head may have begun.
func (f *headFinder) undecided() bool { return f.lines > 0 || f.matched > 0 }

// bodyReader reads the body of a response. It records how much of it was read, and whether it was read
// to its end.
type bodyReader struct {
	body       io.ReadCloser
	connection *connection
	// heads is nil for the first response of a connection.
	heads    *headFinder
	received int64
	ended    bool
	// foreign is called once if the body holds bytes of another response.
	foreign func()
	failure error
}

func (b *bodyReader) Read(into []byte) (int, error) {
	if b.failure != nil {
		return 0, b.failure
	}
	n, err := b.body.Read(into)
	if b.heads != nil {
		before, found := b.heads.find(into[:n])
		if !found && errors.Is(err, io.EOF) && b.heads.undecided() {
			start := b.heads.read
			_, found = b.heads.find(b.connection.unread())
			found = found && b.heads.start < start
			before = max(n-(start-b.heads.start), 0)
		}
		if found {
			b.foreign()
			n, err, b.failure = before, ErrForeign, ErrForeign
		}
	}
	b.received += int64(n)
	b.ended = errors.Is(err, io.EOF)
	return n, err
}
