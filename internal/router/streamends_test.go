package router

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
)

// stalls responds with the first events of a stream and then waits until the test ends.
func stalls(t *testing.T, began chan<- struct{}) replica.Script {
	return func(e *replica.Exchange) bool {
		e.Write("%s", streamHeader(e)+chunk(numbered(1, 3)))
		began <- struct{}{}
		<-t.Context().Done()
		return false
	}
}

// A stream that this node ends by itself, at its deadline or as it stops, isn't whole for its client.
func TestStreamsThatTheNodeEndsAreNotWhole(t *testing.T) {
	for name, end := range map[string]func(*harness){
		"deadline": func(*harness) {},
		"stop":     func(h *harness) { h.router.EndCalls() },
		"replica":  func(h *harness) { h.replicas[0].End(replica.EndClosed) },
		"reset":    func(h *harness) { h.replicas[0].End(replica.EndReset) },
	} {
		for _, path := range []string{"/stream/x", "/resume/x", "/kept/x"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				began := make(chan struct{}, 4)
				h := newHarness(t, stalls(t, began))
				go func() {
					<-began
					time.Sleep(50 * time.Millisecond)
					end(h)
				}()
				got := h.post(path, "1", turnHeader("p", 1000, 100, "Test-Timeout", "300")...)
				is.Equal(got.StatusCode, http.StatusOK)
				is.True(got.err != nil)
				is.Equal(got.body, numbered(1, 3))
			})
		}
	}
}

// A client that did not read in time gets no end of its stream, even if it reads the rest later.
func TestStreamThatIsNotReadInTimeIsNotWhole(t *testing.T) {
	is := is.New(t)
	const events, size = 900, 32 << 10 // more than kernels buffer
	h := newHarness(t, func(e *replica.Exchange) bool {
		e.Write("%s", streamHeader(e))
		for id := 1; id <= events; id++ {
			if !e.TryWrite(chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", size)))) {
				return false
			}
		}
		e.Write("0\r\n\r\n")
		return true
	})
	client := dial(t, h.server.Listener.Addr().String())
	const timeout = 100 * time.Millisecond
	_, err := fmt.Fprintf(client, "GET /stream/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: 1\r\nTest-Timeout: %d\r\n\r\n", timeout.Milliseconds())
	is.NoErr(err)
	time.Sleep(timeout + writeGracePeriod + 200*time.Millisecond)
	response, err := http.ReadResponse(client.reader, nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.True(err != nil)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(len(body) > 0 && len(body) < events*size)
}
