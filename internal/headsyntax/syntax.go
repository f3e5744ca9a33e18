// Package headsyntax decides which bytes are the head of an HTTP/1.1 response, by the grammar of RFC 9112
// and RFC 9110, before anything acts on them. Package net/http accepts more: it drops fields that it
// can't read, among them those that delimit the body, and takes status codes for informational that don't
// exist.
package headsyntax

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrSyntax reports that a head is not one of the grammar. All errors of this package wrap it.
var ErrSyntax = errors.New("headsyntax: not the head of a response")

var (
	// ErrNotHTTP reports bytes that don't begin like a response of HTTP/1.
	ErrNotHTTP = fmt.Errorf("%w: no HTTP response", ErrSyntax)
	// ErrStatus reports a status line without a valid status code (RFC 9112, 4; RFC 9110, 15).
	ErrStatus = fmt.Errorf("%w: invalid status line", ErrSyntax)
	// ErrName reports a line without the name of a field, or with an invalid one (RFC 9112, 5.1).
	ErrName = fmt.Errorf("%w: invalid name of a field", ErrSyntax)
	// ErrValue reports a control character in the value of a field, or in a reason (RFC 9110, 5.5).
	ErrValue = fmt.Errorf("%w: control character in a field or a reason", ErrSyntax)
	// ErrFolded reports a line that continues the one before (RFC 9112, 5.2).
	ErrFolded = fmt.Errorf("%w: folded line", ErrSyntax)
	// ErrLineEnd reports a carriage return within a line (RFC 9112, 2.2).
	ErrLineEnd = fmt.Errorf("%w: carriage return within a line", ErrSyntax)
	// ErrFraming reports fields that delimit the body in ways that contradict each other (RFC 9112, 6).
	ErrFraming = fmt.Errorf("%w: contradictory delimiters of the body", ErrSyntax)
)

// versionPrefix begins each head. A digit, a blank and the status code follow.
const versionPrefix = "HTTP/1."

// The positions in a status line.
const (
	minorPosition  = len(versionPrefix)
	blankPosition  = minorPosition + 1
	statusPosition = blankPosition + 1
	reasonPosition = statusPosition + 3
)

const (
	minStatus = 100
	maxStatus = 599
)

// encodingName and lengthName are the fields that delimit a body, in lower case.
const (
	encodingName = "transfer-encoding"
	lengthName   = "content-length"
)

// state is what the next byte is part of.
type state int

const (
	statusLine state = iota
	reason
	lineStart
	name
	value
	lineEnd // behind a carriage return
	emptyLineEnd
	ended
)

// Head checks the bytes of one head, one after the other. The zero value expects the first one.
type Head struct {
	state state
	// position is that of the next byte in the status line.
	position int
	// Status is the status code, once the status line was read.
	Status int
	// field is the beginning of the current field's name, in lower case.
	field []byte
	// old is set for HTTP/1.0, which has no transfer codings.
	old bool
	// encodings and lengths count the fields that delimit the body.
	encodings, lengths int
}

// NewTrailer returns a Head that checks the lines behind the last chunk of a body, up to the empty one.
func NewTrailer() *Head { return &Head{state: lineStart} }

// Ended reports whether the head has ended.
func (h *Head) Ended() bool { return h.state == ended }

// Add checks the next byte. Its error wraps ErrSyntax.
func (h *Head) Add(one byte) error {
	switch h.state {
	case statusLine:
		return h.addToStatus(one)
	case reason, value:
		return h.addText(one)
	case lineStart:
		return h.startLine(one)
	case name:
		return h.addToName(one)
	case lineEnd, emptyLineEnd:
		if one != '\n' {
			return ErrLineEnd
		}
		h.endLine()
	case ended:
	}
	return nil
}

func (h *Head) addToStatus(one byte) error {
	place := h.position
	h.position++
	switch {
	case place < minorPosition:
		if one != versionPrefix[place] {
			return ErrNotHTTP
		}
	case place == minorPosition:
		if one < '0' || one > '9' {
			return ErrNotHTTP
		}
		h.old = one == '0'
	case place == blankPosition:
		if one != ' ' {
			return ErrStatus
		}
	case place < reasonPosition:
		if one < '0' || one > '9' {
			return ErrStatus
		}
		h.Status = h.Status*10 + int(one-'0')
	default:
		return h.endStatus(one)
	}
	return nil
}

// endStatus checks the byte behind the status code. Some servers leave the blank out.
func (h *Head) endStatus(one byte) error {
	if h.Status < minStatus || h.Status > maxStatus || h.Status == http.StatusSwitchingProtocols {
		return ErrStatus // nothing asks for another protocol
	}
	switch one {
	case ' ':
		h.state = reason
	case '\r', '\n':
		return h.addText(one)
	default:
		return ErrStatus
	}
	return nil
}

// addText adds to a reason or the value of a field.
func (h *Head) addText(one byte) error {
	switch {
	case one == '\n':
		h.endLine()
	case one == '\r':
		h.state = lineEnd
	case one < ' ' && one != '\t' || one == 0x7f:
		return ErrValue
	}
	return nil
}

func (h *Head) endLine() {
	if h.state == emptyLineEnd {
		h.state = ended
		return
	}
	h.state, h.field = lineStart, h.field[:0]
}

func (h *Head) startLine(one byte) error {
	switch one {
	case '\n':
		h.state = ended
	case '\r':
		h.state = emptyLineEnd
	case ' ', '\t':
		return ErrFolded
	default:
		h.state = name
		return h.addToName(one)
	}
	return nil
}

func (h *Head) addToName(one byte) error {
	switch {
	case one == ':' && len(h.field) > 0:
		h.count()
		h.state = value
	case !isTokenByte(one):
		return ErrName
	case len(h.field) <= len(encodingName): // longer names are neither
		h.field = append(h.field, lower(one))
	}
	return nil
}

func (h *Head) count() {
	switch string(h.field) {
	case encodingName:
		h.encodings++
	case lengthName:
		h.lengths++
	}
}

// CheckFraming returns an error if the fields that delimit the body contradict each other. A recipient
// would take one of them, and what sent the response another.
func (h *Head) CheckFraming() error {
	if h.encodings > 0 && (h.lengths > 0 || h.old) {
		return ErrFraming
	}
	return nil
}

// isTokenByte reports whether a byte may be in a token (RFC 9110, 5.6.2).
func isTokenByte(one byte) bool {
	return 'a' <= one && one <= 'z' || 'A' <= one && one <= 'Z' || '0' <= one && one <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", one) >= 0
}

func lower(one byte) byte {
	if 'A' <= one && one <= 'Z' {
		return one + 'a' - 'A'
	}
	return one
}
