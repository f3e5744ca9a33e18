package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
)

// Requests that were being served as the grace period ended saw their connection close with the process.
func TestRequestsThatANodeCannotFinishGetAStatus(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for _, one := range []struct {
		path   string
		script replica.Script
		status int
	}{
		{"/unsafe/x", func(*replica.Exchange) bool { <-release; return false }, http.StatusBadGateway},
		{"/stream/x", func(*replica.Exchange) bool { <-release; return false }, http.StatusBadGateway},
		{"/unsafe/x", func(e *replica.Exchange) bool { // waits for capacity
			e.Answer(http.StatusServiceUnavailable, "", "Test-Not-Run: 1", "Test-Id: "+e.Request.Header.Get("Test-Id"))
			return true
		}, http.StatusServiceUnavailable},
	} {
		is := is.New(t)
		h := newHarness(t, one.script)
		began := time.Now()
		time.AfterFunc(60*time.Millisecond, h.router.EndCalls)
		is.Equal(h.post(one.path, "1", "Test-Program", "p").StatusCode, one.status)
		is.True(time.Since(began) < 150*time.Millisecond) // at once
	}
}
