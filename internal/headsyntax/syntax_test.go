package headsyntax

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"regexp"
	"strings"
	"testing"
)

// check returns the error of the first byte that is not part of a head, and whether the head ended.
func check(text string) (*Head, bool, error) {
	head := &Head{}
	for i := range len(text) {
		if err := head.Add(text[i]); err != nil {
			return head, false, err
		}
		if head.Ended() {
			return head, true, head.CheckFraming()
		}
	}
	return head, false, nil
}

// TestInvalidHeadsAreRejected guards against responses with an impossible status, or with a line that no
// field is, which were taken for a whole response without that line.
func TestInvalidHeadsAreRejected(t *testing.T) {
	for text, want := range map[string]error{
		"HTTP/1.1 000 OK\r\n\r\n":                                                    ErrStatus,
		"HTTP/1.1 099 OK\r\n\r\n":                                                    ErrStatus,
		"HTTP/1.1 0 OK\r\n\r\n":                                                      ErrStatus,
		"HTTP/1.1 +20 OK\r\n\r\n":                                                    ErrStatus,
		"HTTP/1.1 -20 OK\r\n\r\n":                                                    ErrStatus,
		"HTTP/1.1 2000 OK\r\n\r\n":                                                   ErrStatus,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":                                   ErrStatus,
		"HTTP/1.1 600 OK\r\n\r\n":                                                    ErrStatus,
		"HTTP/1.1 999 OK\r\n\r\n":                                                    ErrStatus,
		"HTTP/1.1  200 OK\r\n\r\n":                                                   ErrStatus,
		"HTTP/2.0 200 OK\r\n\r\n":                                                    ErrNotHTTP,
		"http/1.1 200 OK\r\n\r\n":                                                    ErrNotHTTP,
		"\r\nHTTP/1.1 200 OK\r\n\r\n":                                                ErrNotHTTP,
		"HTTP/1.1 200 O\x01K\r\n\r\n":                                                ErrValue,
		"HTTP/1.1 200 OK\rX: v\r\n\r\n":                                              ErrLineEnd,
		"HTTP/1.1 200 OK\r\n folded\r\n\r\n":                                         ErrFolded,
		"HTTP/1.1 200 OK\r\nA: b\r\n\tfolded\r\n\r\n":                                ErrFolded,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n":                         ErrName,
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n":                                  ErrName,
		"HTTP/1.1 200 OK\r\nX Odd: v\r\n":                                            ErrName,
		"HTTP/1.1 200 OK\r\nX-Odd\t: v\r\n":                                          ErrName,
		"HTTP/1.1 200 OK\r\nX\x00: v\r\n":                                            ErrName,
		"HTTP/1.1 200 OK\r\nX\x7f: v\r\n":                                            ErrName,
		"HTTP/1.1 200 OK\r\nX\xff: v\r\n":                                            ErrName,
		"HTTP/1.1 200 OK\r\nX/Y: v\r\n":                                              ErrName,
		"HTTP/1.1 200 OK\r\nX(Y): v\r\n":                                             ErrName,
		"HTTP/1.1 200 OK\r\nX\rY: v\r\n":                                             ErrName,
		"HTTP/1.1 200 OK\r\n: v\r\n":                                                 ErrName,
		"HTTP/1.1 200 OK\r\nno colon\r\n":                                            ErrName,
		"HTTP/1.1 200 OK\r\nnone\r\n":                                                ErrName,
		"HTTP/1.1 200 OK\r\nX: v\x01\r\n":                                            ErrValue,
		"HTTP/1.1 200 OK\r\nX: v\rw\r\n":                                             ErrLineEnd,
		"HTTP/1.1 200 OK\r\nX: v\r\n\rA":                                             ErrLineEnd,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                      ErrFraming,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n": ErrFraming,
		"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n": ErrFraming,
	} {
		if _, _, err := check(text); !errors.Is(err, want) || !errors.Is(err, ErrSyntax) {
			t.Errorf("%q: %v, want %v", text, err, want)
		}
	}
}

func TestValidHeadsAreAccepted(t *testing.T) {
	for text, status := range map[string]int{
		"HTTP/1.1 200 OK\r\n\r\n":        200,
		"HTTP/1.1 200\r\n\r\n":           200,
		"HTTP/1.1 200 \r\n\r\n":          200,
		"HTTP/1.0 599 Odd but valid\n\n": 599,
		"HTTP/1.9 200 OK\r\n\r\n":        200,
		"HTTP/1.1 100 Continue\r\n\r\n":  100,
		"HTTP/1.1 200 \xe9t\xe9\r\nX-Y_z!#$%&'*+.^`|~9: a\tb \xff\r\n\r\n":             200,
		"HTTP/1.1 204 No Content\r\nX:\r\nContent-Length: 0\r\n\r\n":                   204,
		"HTTP/1.1 200 OK\r\nContent-Length-X: 3\r\nTransfer-Encoding: chunked\r\n\r\n": 200,
	} {
		if head, whole, err := check(text); err != nil || !whole || head.Status != status {
			t.Errorf("%q: %d, whole %t, %v", text, head.Status, whole, err)
		}
	}
}

func TestTrailersAreCheckedLikeFields(t *testing.T) {
	for text, want := range map[string]error{"\r\n": nil, "A: b\r\n\r\n": nil, "X Odd: v\r\n\r\n": ErrName, "X-Odd : v\r\n\r\n": ErrName, "A: b\r\n c\r\n\r\n": ErrFolded, "A: \x01\r\n\r\n": ErrValue} {
		trailer, failed := NewTrailer(), error(nil)
		for i := 0; i < len(text) && failed == nil; i++ {
			failed = trailer.Add(text[i])
		}
		if !errors.Is(failed, want) || (want == nil) != trailer.Ended() {
			t.Errorf("%q: %v, ended %t", text, failed, trailer.Ended())
		}
	}
}

// headModel is the grammar of RFC 9112 and RFC 9110 as one pattern over a character for each byte. A
// line may end without its carriage return, and a status line without a reason, as recipients may accept.
var headModel = regexp.MustCompile("^HTTP/1\\.[0-9] (?:10[02-9]|1[1-9][0-9]|[2-5][0-9]{2})(?: [\t -~\u0080-\u00ff]*)?\r?\n" +
	"(?:[A-Za-z0-9!#$%&'*+\\-.^_`|~]+:[\t -~\u0080-\u00ff]*\r?\n)*\r?\n")

// characters returns a string that has a character for each byte.
func characters(text []byte) string {
	var made strings.Builder
	for _, one := range text {
		made.WriteRune(rune(one))
	}
	return made.String()
}

// FuzzHead compares the checks with the grammar, and requires that net/http reads what they accept.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 101 \n\n", "HTTP/1.1 099 x\r\n\r\n", "HTTP/1.0 200\nA:\n\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
		"HTTP/1.1 200 OK\r\n b\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 \xff\r\nA: \xff\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		head, whole, err := check(string(text))
		matched := headModel.MatchString(characters(text))
		if accepted := whole && (err == nil || errors.Is(err, ErrFraming)); accepted != matched {
			t.Fatalf("%q: accepted %t (%v), the grammar says %t", text, accepted, err, matched)
		}
		if !whole || err != nil {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err == nil && response.StatusCode != head.Status {
			t.Fatalf("%q: status %d, net/http reads %d", text, head.Status, response.StatusCode)
		}
	})
}
