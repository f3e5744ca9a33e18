package headsyntax

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// ErrRequestLength reports a request whose body is not delimited by a length.
var ErrRequestLength = errors.New("headsyntax: the length of a request's body is unknown")

// requests follows the requests that are written to a connection, each of which ends behind the number of bytes
// that its head states. The zero value expects the first one.
type requests struct {
	// head is what was written of the current head.
	head []byte
	// left is the number of bytes that the current body still lacks.
	left int
}

// next takes the bytes of the current body, and those of a head that follows. It reports whether a request begins,
// and how many bytes it took.
func (r *requests) next(written []byte) (begins bool, taken int, err error) {
	if body := min(r.left, len(written)); body > 0 {
		r.left -= body
		return false, body, nil
	}
	begins = len(r.head) == 0
	before := len(r.head)
	r.head = append(r.head, written...)
	const end = "\r\n\r\n"
	at := bytes.Index(r.head, []byte(end))
	if at < 0 {
		return begins, len(written), nil
	}
	r.left, err = bodyLength(r.head[:at])
	r.head = nil
	return begins, at + len(end) - before, err
}

// bodyLength returns the length of the body that follows a head.
func bodyLength(head []byte) (int, error) {
	length := 0
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		field, text, _ := bytes.Cut(line, []byte(":"))
		switch string(bytes.ToLower(field)) {
		case encodingName:
			return 0, ErrRequestLength
		case lengthName:
			stated, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 62)
			if err != nil {
				return 0, fmt.Errorf("%w: %w", ErrRequestLength, err)
			}
			length = int(stated)
		}
	}
	return length, nil
}
