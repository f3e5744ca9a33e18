package exchange

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/headsyntax"
)

// invalidHeads are responses that are none. ID stands for the request's.
var invalidHeads = map[string]string{
	"status 000, a whole response behind":  "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: ID\r\nContent-Length: 5\r\n\r\nwhole",
	"status 099, a whole response behind":  "HTTP/1.1 099 OK\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: ID\r\nContent-Length: 5\r\n\r\nwhole",
	"status 101, a whole response behind":  "HTTP/1.1 101 OK\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: ID\r\nContent-Length: 5\r\n\r\nwhole",
	"status 000 with a body":               "HTTP/1.1 000 OK\r\nTest-Id: ID\r\nContent-Length: 5\r\n\r\nwhole",
	"status 600":                           "HTTP/1.1 600 OK\r\nTest-Id: ID\r\nContent-Length: 5\r\n\r\nwhole",
	"status 999":                           "HTTP/1.1 999 OK\r\nTest-Id: ID\r\nContent-Length: 5\r\n\r\nwhole",
	"a blank before the colon of encoding": "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"a blank before the colon of length":   "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nContent-Length : 3\r\nConnection: close\r\n\r\nwhole and more",
	"a blank in a name":                    "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nX Odd: v\r\nContent-Length: 5\r\n\r\nwhole",
	"a blank behind a name":                "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nX-Odd : v\r\nContent-Length: 5\r\n\r\nwhole",
	"a control byte in a name":             "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nX\x01Odd: v\r\nContent-Length: 5\r\n\r\nwhole",
	"NUL in a name":                        "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nX\x00Odd: v\r\nContent-Length: 5\r\n\r\nwhole",
	"a control byte in a value":            "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nX-Odd: v\x01\r\nContent-Length: 5\r\n\r\nwhole",
	"a control byte in the reason":         "HTTP/1.1 200 O\x01K\r\nTest-Id: ID\r\nContent-Length: 5\r\n\r\nwhole",
	"a folded line":                        "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Stamp: s\r\n folded\r\nContent-Length: 5\r\n\r\nwhole",
	"no colon":                             "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nodd\r\nContent-Length: 5\r\n\r\nwhole",
	"no name":                              "HTTP/1.1 200 OK\r\nTest-Id: ID\r\n: odd\r\nContent-Length: 5\r\n\r\nwhole",
	"encoding and length":                  "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"encoding in HTTP/1.0":                 "HTTP/1.0 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"a signed length":                      "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nContent-Length: +5\r\n\r\nwhole",
	"two encodings":                        "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"a trailer with a blank in its name":   "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Odd: v\r\n\r\n",
	"a trailer with a blank behind it":     "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Odd : v\r\n\r\n",
	"a trailer with a control byte":        "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX: \x01\r\n\r\n",
	"a trailer without an end":             "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX: v\r\n",
}

// TestInvalidHeadsAreNoResponses guards against responses whose head is none, which clients got without the
// line that could not be read, or with a body that was not the replica's: first on a connection, on one that was
// used before, behind an informational response, and behind a late one.
func TestInvalidHeadsAreNoResponses(t *testing.T) {
	for name, text := range invalidHeads {
		for place, before := range map[string]string{"first": "", "used before": "", "behind an informational head": "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", "behind a late response": "HTTP/1.1 200 OK\r\nTest-Id: 0\r\nContent-Length: 4\r\n\r\nlate"} {
			t.Run(name+", "+place, func(t *testing.T) {
				is := is.New(t)
				to, client := start(t, func(e *replica.Exchange) bool {
					if e.Request.Header.Get("Test-Id") == "0" {
						respond(e, "hello")
						return true
					}
					e.Write("%s", before+strings.ReplaceAll(text, "ID", e.Request.Header.Get("Test-Id")))
					return false
				})
				if place == "used before" || place == "behind a late response" {
					first := newRequest("0")
					first.Repeatable = true
					_, body, err := send(t, client, to, first)
					is.NoErr(err)
					is.Equal(body, "hello")
				}
				request := newRequest("1")
				request.Repeatable = true
				answer, body, err := send(t, client, to, request)
				if err == nil {
					t.Fatalf("status %d and body %q count as whole", answer.Status, body)
				}
				var failure *FailureError
				is.True(!errors.As(err, &failure) || failure.Reason == ReasonMalformed)
				is.Equal(client.pool.largeHeads.Used(), int64(0))
			})
		}
	}
}

// TestConnectionIsUsedAgainBehindATrailer guards against connections that are given up, or whose next response
// is misread, since the lines behind the last chunk were not read.
func TestConnectionIsUsedAgainBehindATrailer(t *testing.T) {
	is := is.New(t)
	to, client := start(t, func(e *replica.Exchange) bool {
		e.Write("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n0\r\nX: v\r\nY:\r\n\r\n", e.Request.Header.Get("Test-Id"))
		return true
	})
	for _, id := range []string{"1", "2", "3"} {
		request := newRequest(id)
		request.Repeatable = true
		answer, body, err := send(t, client, to, request)
		is.NoErr(err)
		is.Equal(body, "whole")
		is.Equal(answer.Framing, FramingChunked)
	}
	is.Equal(to.Connections(), 1)
}

// TestResponseToHeadHasNoBody guards against a wait for chunks that never come.
func TestResponseToHeadHasNoBody(t *testing.T) {
	is := is.New(t)
	to, client := start(t, func(e *replica.Exchange) bool {
		e.Write("HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
		return true
	})
	request := newRequest("1")
	request.Method, request.Body = http.MethodHead, nil
	_, body, err := send(t, client, to, request)
	is.NoErr(err)
	is.Equal(body, "")
}

// TestInvalidReportTellsNothing guards against the start of a process that is taken from a report with an invalid
// head.
func TestInvalidReportTellsNothing(t *testing.T) {
	is := is.New(t)
	to, _ := start(t, func(e *replica.Exchange) bool {
		e.Write("HTTP/1.1 200 OK\r\nContent-Length : 3\r\nContent-Length: 12\r\n\r\n{\"born\":700}")
		return false
	})
	client := NewClient(Names{RequestID: "Test-Id", ExpectInstance: "Test-Instance", ReportPath: "/report", ReportedStart: "born"})
	t.Cleanup(client.pool.closeAll)
	request := newRequest("1")
	request.Incarnation = IncarnationConfirmed
	_, err := client.Send(t.Context(), Target{Instance: "i", Address: to.Address, StartedAtMs: 700}, request)
	is.Equal(failureOf(t, err).Outcome, OutcomeNotRun)
}

// FuzzTrailer compares what ends a body in chunks with the grammar of fields.
func FuzzTrailer(f *testing.F) {
	for _, seed := range []string{"\r\n", "A: b\r\n\r\n", "A : b\r\n\r\n", "A: b\r\n c\r\n\r\n", "A"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		body := newChunkedBody(bufio.NewReader(strings.NewReader("3\r\nabc\r\n0\r\n" + string(text))))
		read, err := io.ReadAll(body)
		trailer, valid := headsyntax.NewTrailer(), false
		for i := 0; i < min(len(text), maxTrailerBytes) && trailer.Add(text[i]) == nil && !valid; i++ {
			valid = trailer.Ended()
		}
		if string(read) != "abc" || (err == nil) != valid {
			t.Fatalf("%q behind the last chunk: %q, %v, valid %t", text, read, err, valid)
		}
	})
}
