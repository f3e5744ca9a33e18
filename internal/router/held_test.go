package router

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/heldbytes"
)

// Bodies in chunks did not count against the limit on buffered bodies.
func TestBodyInChunksIsRejectedIfBuffersAreFull(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, healthy)
	inChunks := func() int {
		body := struct{ io.Reader }{strings.NewReader(strings.Repeat("x", 1000))}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.server.URL+"/safe/x", body)
		is.NoErr(err)
		request.Host = "h.example"
		request.Header.Set("Test-Id", "1")
		response, err := http.DefaultTransport.RoundTrip(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	others := h.router.requests.Holder("")
	is.NoErr(others.Grow(1<<20 - 100))
	is.Equal(inChunks(), http.StatusServiceUnavailable)
	others.Release()
	is.Equal(inChunks(), http.StatusOK)
	is.Equal(h.router.requests.Used(), int64(0))
}

func TestBodyOfUnknownLengthIsReadWhole(t *testing.T) {
	is := is.New(t)
	for size := range 3 * minBodyBuffer {
		if size%997 != 0 && size%minBodyBuffer > 1 {
			continue
		}
		limit := heldbytes.New(1 << 20)
		held := limit.Holder("")
		text := strings.Repeat("x", size)
		body, err := readBodyOfUnknownLength(strings.NewReader(text), 2*minBodyBuffer, held)
		is.Equal(err != nil, size > 2*minBodyBuffer)
		is.True(err != nil || string(body) == text)
		is.True(limit.Used() >= int64(len(body)))
	}
}

// Histories counted against the limit only once they had been read, so that those that were being read together
// were not bounded.
func TestHistoryIsNotReadIfBuffersAreFull(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, events(0, 3, true))
	is.NoErr(h.postBody("/kept/x", "t1", strings.Repeat("x", 1000), turnHeader("p", 1000, 60)...).err)
	h.router.config.Turns = h.newRouter("other").config.Turns // its texts are not in memory
	others := h.router.requests.Holder("")
	is.NoErr(others.Grow(1<<20 - 500))
	reads := h.log.Calls("read")
	is.Equal(h.post("/kept/x", "t2", "Test-Program", "p", "Test-Previous", "t1").body, reasonBuffersFull+"\n")
	is.Equal(h.log.Calls("read"), reads+1) // of the index
	others.Release()
	is.Equal(h.post("/kept/x", "t3", "Test-Program", "p", "Test-Previous", "t1").StatusCode, http.StatusOK)
	is.Equal(h.log.Calls("read"), reads+2)
	is.Equal(h.router.requests.Used(), int64(0))
}
