package router

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"stepseam.example/stepseam/internal/emulator/replica"
)

// The log told neither what delimits a response of a replica nor where it broke off.
func TestFramingOfResponsesIsLogged(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	h := newHarness(t, func(e *replica.Exchange) bool {
		if e.Number == 1 {
			e.Write("%s", streamHeader(e)+chunk(numbered(1, 2)))
			return false
		}
		return healthy(e)
	})
	h.router.config.Logger = slog.New(slog.NewTextHandler(&log, nil))
	is.True(h.post("/stream/x", "1").err != nil)
	is.NoErr(h.post("/safe/x", "2").err)
	is.NoErr(h.post("/safe/x", "3").err)
	lines := strings.Split(log.String(), "\n")
	ended := func(id string) string {
		for _, line := range lines {
			if strings.Contains(line, `msg="request ended" id=`+id) {
				return line
			}
		}
		return ""
	}
	sent := len(numbered(1, 2))
	is.True(strings.Contains(ended("1"), fmt.Sprintf("framing=chunked reused=false received=%d", sent)))
	is.True(strings.Contains(ended("1"), fmt.Sprintf("after %d bytes of a body delimited by chunked", sent)))
	is.True(strings.Contains(ended("2"), "framing=length reused=false received=4"))
	is.True(strings.Contains(ended("3"), "framing=length reused=true received=4"))
	count := func(framing string, result responseResult) float64 {
		return testutil.ToFloat64(h.router.metrics.responses.WithLabelValues(framing, string(result)))
	}
	is.Equal(count("chunked", resultBroken), 1.0)
	is.Equal(count("length", resultWhole), 2.0)
}

// A replica that closed its connection behind the head of a stream gave clients an empty stream that was whole.
func TestStreamThatEndsWithItsConnectionNeedsAnEvent(t *testing.T) {
	begin := func(framing string) replica.Script {
		return func(e *replica.Exchange) bool {
			e.Write("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Stamp: s\r\n%s\r\n: no event\n\n", e.Request.Header.Get("Test-Id"), framing)
			return false
		}
	}
	is := is.New(t)
	is.Equal(newHarness(t, begin("")).post("/stream/x", "1").StatusCode, http.StatusBadGateway)
	h := newHarness(t, begin(""), events(1, 3, true))
	is.Equal(h.post("/stream/x", "1").StatusCode, http.StatusBadGateway)
	is.Equal(len(h.replicas[1].Received()), 0) // it must not run again
	got := newHarness(t, begin(""), events(1, 3, true)).post("/resume/x", "1")
	is.NoErr(got.err)
	is.Equal(got.body, numbered(1, 3))
	got = newHarness(t, begin("Content-Length: 12\r\n")).post("/stream/x", "1")
	is.NoErr(got.err) // an empty stream of the replica's own
	is.Equal(got.body, ": no event\n\n")
}

// A stream that went on at a replica which closes its connection at the end was ended as certainly whole.
func TestFramedStreamDoesNotEndWithAnUnframedOne(t *testing.T) {
	is := is.New(t)
	open := func(from, to int) replica.Script {
		return func(e *replica.Exchange) bool {
			e.Write("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Stamp: s\r\n\r\n%s", e.Request.Header.Get("Test-Id"), numbered(from, to))
			return false
		}
	}
	h := newHarness(t, events(1, 2, false), open(3, 4))
	got := h.post("/resume/x", "1")
	is.True(got.err != nil)
	is.Equal(got.body, numbered(1, 4))
	h = newHarness(t, open(1, 2))
	got = h.post("/resume/x", "1")
	is.NoErr(got.err)
	is.Equal(got.body, numbered(1, 2))
	is.True(got.ContentLength < 0 && got.TransferEncoding == nil && got.Close)
}

// A body that ended with its replica's connection was given a length; a request that a client sent then on a kept connection was lost.
func TestFramingOfAResponseIsPassedOn(t *testing.T) {
	unframed := func(e *replica.Exchange) bool {
		e.Write("HTTP/1.1 %s\r\nTest-Id: %s\r\nTest-Stamp: s\r\n\r\n", e.Request.Header.Get("X-Status"), e.Request.Header.Get("Test-Id"))
		if e.Request.Method != http.MethodHead {
			e.Write("%s", e.Request.Header.Get("X-Body"))
		}
		return false
	}
	long := strings.Repeat("x", 2*maxBufferedBody)
	for _, c := range []struct {
		method, version, status, body string
		// closes reports that the response must close the connection.
		closes bool
	}{
		{"POST", "1.1", "200 OK", "body", true},
		{"POST", "1.0", "200 OK", "body", true},
		{"POST", "1.1", "404 Not Found", "body", true},
		{"POST", "1.1", "200 OK", "", true},
		{"POST", "1.1", "200 OK", long, true},
		{"HEAD", "1.1", "200 OK", "", false},
		{"POST", "1.1", "204 No Content", "", false},
		{"POST", "1.1", "304 Not Modified", "", false},
	} {
		t.Run(c.method+" "+c.version+" "+c.status, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, func(e *replica.Exchange) bool {
				e.Request.Header.Set("X-Body", c.body)
				return unframed(e)
			})
			_, address := trackedServer(t, h.router)
			socket, err := net.Dial("tcp4", address)
			is.NoErr(err)
			defer func() { _ = socket.Close() }()
			is.NoErr(socket.SetDeadline(time.Now().Add(10 * time.Second)))
			reader := bufio.NewReader(socket)
			for range 2 {
				_, err = fmt.Fprintf(socket, "%s /unsafe/x HTTP/%s\r\nHost: h.example\r\nTest-Id: 1\r\nX-Status: %s\r\nContent-Length: 0\r\n\r\n", c.method, c.version, c.status)
				is.NoErr(err)
				response, err := http.ReadResponse(reader, &http.Request{Method: c.method})
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(len(body), len(c.body))
				is.Equal(response.Close, c.closes)
				if c.closes {
					is.True(response.ContentLength < 0 && response.TransferEncoding == nil)
					_, err = reader.ReadByte()
					is.True(errors.Is(err, io.EOF))
					return
				}
			}
		})
	}
}
