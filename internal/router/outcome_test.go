package router

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
	"stepseam.example/stepseam/internal/exchange"
	"stepseam.example/stepseam/internal/outlier"
)

func failing(e *replica.Exchange) bool {
	return withStatus(http.StatusInternalServerError, "Test-Stamp: s")(e)
}

// A replica that fails immediately must be ejected, though it is idle and in the nearest
// zone.
func TestReplicaThatFailsImmediatelyIsEjected(t *testing.T) {
	for _, path := range []string{"/stream/x", "/unsafe/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			healthyScript := replica.Script(healthy)
			if path == "/stream/x" {
				healthyScript = events(1, 3, true)
			}
			h := newHarness(t, failing, healthyScript, healthyScript, healthyScript)
			log := &bytes.Buffer{}
			h.router.config.Logger = slog.New(slog.NewTextHandler(log, nil))
			failed := 0
			const turns = 200
			for i := range turns {
				if got := h.post(path, fmt.Sprint(i)); got.StatusCode != http.StatusOK {
					is.Equal(got.StatusCode, http.StatusInternalServerError)
					failed++
				}
			}
			is.True(failed >= 3)
			is.True(failed <= 3+3) // includes probes
			is.Equal(strings.Count(log.String(), "replica ejected"), 1)
		})
	}
}

// If all replicas of a service fail, their responses must still be forwarded.
func TestServiceWithOnlyFailingReplicasIsStillUsed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, failing, failing, failing, failing, failing)
	for i := range 100 {
		is.Equal(h.post("/unsafe/x", fmt.Sprint(i)).StatusCode, http.StatusInternalServerError)
	}
}

// An ejected replica must be reinstated by probes with retryable requests.
func TestRecoveredReplicaIsReinstated(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(e *replica.Exchange) bool {
		if e.Number <= 4 { // includes one probe
			return failing(e)
		}
		return healthy(e)
	}, healthy, healthy, healthy)
	for i := range 3 {
		is.Equal(h.post("/unsafe/x", fmt.Sprint(i)).StatusCode, http.StatusInternalServerError)
	}
	is.Equal(h.post("/unsafe/x", "4").StatusCode, http.StatusOK)
	is.Equal(len(h.replicas[0].Received()), 3)
	end := time.Now().Add(5 * time.Second)
	for i := 0; len(h.replicas[0].Received()) < 50; i++ {
		is.True(time.Now().Before(end))
		is.Equal(h.post("/safe/x", fmt.Sprintf("p%d", i)).StatusCode, http.StatusOK)
		time.Sleep(5 * time.Millisecond)
	}
}

// A failure before the first event must be retried if, and only if, the stream is
// resumable.
func TestFailureBeforeFirstEventIsRetriedIfResumable(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, failing, events(1, 3, true))
	got := h.post("/resume/x", "1")
	is.Equal(got.StatusCode, http.StatusOK)
	is.Equal(got.body, numbered(1, 3))
	h = newHarness(t, failing, events(1, 3, true))
	is.Equal(h.post("/stream/x", "1").StatusCode, http.StatusInternalServerError)
	is.Equal(len(h.replicas[1].Received()), 0)
}

// A replica that stops responding must stay ejected after its requests have timed out.
func TestUnresponsiveReplicaStaysEjected(t *testing.T) {
	is := is.New(t)
	const servedFirst, stuck = 5, 4
	h := newHarness(t, func(e *replica.Exchange) bool {
		if e.Number <= servedFirst {
			return events(1, 3, true)(e)
		}
		return unresponsive(e)
	}, events(1, 3, true), events(1, 3, true), events(1, 3, true))
	for i := range servedFirst {
		is.Equal(h.post("/stream/x", fmt.Sprint(i)).StatusCode, http.StatusOK)
	}
	var waiting sync.WaitGroup
	for i := range stuck {
		waiting.Go(func() { h.post("/stream/x", fmt.Sprintf("m%d", i)) })
	}
	waiting.Wait()
	for i := range 5 {
		is.Equal(h.post("/stream/x", fmt.Sprintf("n%d", i)).StatusCode, http.StatusOK)
	}
}

// Rejections by a replica must not count as failures.
func TestRejectionsAreNotFailures(t *testing.T) {
	is := is.New(t)
	for reason, want := range map[exchange.Reason]outlier.Outcome{
		exchange.ReasonShed: noOutcome, exchange.ReasonMoved: noOutcome, exchange.ReasonCancelled: noOutcome, exchange.ReasonWithheld: noOutcome,
		exchange.ReasonConnect: outlier.Unreachable, exchange.ReasonReset: outlier.NoResponse, exchange.ReasonSend: outlier.NoResponse,
		exchange.ReasonMalformed: outlier.BrokenResponse, exchange.ReasonForeign: outlier.BrokenResponse, exchange.ReasonIncomplete: outlier.BrokenResponse,
	} {
		is.Equal(outcomeOf(&exchange.FailureError{Reason: reason}), want)
	}
	is.Equal(outcomeOf(&exchange.FailureError{Reason: exchange.ReasonUnsigned, Status: 503}), outlier.ErrorResponse)
	is.Equal(outcomeOf(&exchange.FailureError{Reason: exchange.ReasonUnsigned, Status: 200}), outlier.BrokenResponse)
}
