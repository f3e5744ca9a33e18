package router

import (
	"bytes"
	"fmt"
	"log/slog"
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
