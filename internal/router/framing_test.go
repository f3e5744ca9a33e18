package router

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"

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
