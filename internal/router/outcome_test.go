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

// TestAReplicaThatFailsAtOnceGetsFewTurns: it looks idle, and is the nearest besides.
func TestAReplicaThatFailsAtOnceGetsFewTurns(t *testing.T) {
	for _, path := range []string{"/stream/x", "/unsafe/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			served := replica.Script(sound)
			if path == "/stream/x" {
				served = events(1, 3, true)
			}
			h := newHarness(t, failing, served, served, served)
			log := &bytes.Buffer{}
			h.router.config.Logger = slog.New(slog.NewTextHandler(log, nil))
			failed := 0
			const turns = 200
			for i := range turns {
				if got := h.ask(path, fmt.Sprint(i)); got.StatusCode != http.StatusOK {
					is.Equal(got.StatusCode, http.StatusInternalServerError)
					failed++
				}
			}
			is.True(failed >= 3)
			is.True(failed <= 3+3) // probes that had to be tried
			is.Equal(strings.Count(log.String(), "replica ejected"), 1)
		})
	}
}

// TestAServiceThatFailsAsAWholeIsUsedAllTheSame: its answers are passed on.
func TestAServiceThatFailsAsAWholeIsUsedAllTheSame(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, failing, failing, failing, failing, failing)
	for i := range 100 {
		is.Equal(h.ask("/unsafe/x", fmt.Sprint(i)).StatusCode, http.StatusInternalServerError)
	}
}

// TestAReplicaThatServesAgainReturns by probes, of requests that may go elsewhere.
func TestAReplicaThatServesAgainReturns(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, func(e *replica.Exchange) bool {
		if e.Number <= 4 { // one probe too
			return failing(e)
		}
		return sound(e)
	}, sound, sound, sound)
	for i := range 3 {
		is.Equal(h.ask("/unsafe/x", fmt.Sprint(i)).StatusCode, http.StatusInternalServerError)
	}
	is.Equal(h.ask("/unsafe/x", "4").StatusCode, http.StatusOK)
	is.Equal(len(h.replicas[0].Received()), 3)
	end := time.Now().Add(5 * time.Second)
	for i := 0; len(h.replicas[0].Received()) < 50; i++ {
		is.True(time.Now().Before(end))
		is.Equal(h.ask("/safe/x", fmt.Sprintf("p%d", i)).StatusCode, http.StatusOK)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestAFailureBeforeTheFirstEventGoesElsewhere where the stream may be resumed, only there.
func TestAFailureBeforeTheFirstEventGoesElsewhere(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, failing, events(1, 3, true))
	got := h.ask("/resume/x", "1")
	is.Equal(got.StatusCode, http.StatusOK)
	is.Equal(got.body, numbered(1, 3))
	h = newHarness(t, failing, events(1, 3, true))
	is.Equal(h.ask("/stream/x", "1").StatusCode, http.StatusInternalServerError)
	is.Equal(len(h.replicas[1].Received()), 0)
}

// TestAMuteReplicaStaysLeftAlone also after its requests have run out of time.
func TestAMuteReplicaStaysLeftAlone(t *testing.T) {
	is := is.New(t)
	const servedFirst, mute = 5, 4
	h := newHarness(t, func(e *replica.Exchange) bool {
		if e.Number <= servedFirst {
			return events(1, 3, true)(e)
		}
		return silent(e)
	}, events(1, 3, true), events(1, 3, true), events(1, 3, true))
	for i := range servedFirst {
		is.Equal(h.ask("/stream/x", fmt.Sprint(i)).StatusCode, http.StatusOK)
	}
	var waiting sync.WaitGroup
	for i := range mute {
		waiting.Go(func() { h.ask("/stream/x", fmt.Sprintf("m%d", i)) })
	}
	waiting.Wait()
	for i := range 5 {
		is.Equal(h.ask("/stream/x", fmt.Sprintf("n%d", i)).StatusCode, http.StatusOK)
	}
}

// TestRefusalsAreNoFailures of a replica's soundness.
func TestRefusalsAreNoFailures(t *testing.T) {
	is := is.New(t)
	for reason, want := range map[exchange.Reason]outlier.Outcome{
		exchange.ReasonShed: none, exchange.ReasonMoved: none, exchange.ReasonCancelled: none, exchange.ReasonWithheld: none,
		exchange.ReasonConnect: outlier.Unreachable, exchange.ReasonReset: outlier.NoResponse, exchange.ReasonSend: outlier.NoResponse,
		exchange.ReasonMalformed: outlier.BrokenResponse, exchange.ReasonForeign: outlier.BrokenResponse, exchange.ReasonIncomplete: outlier.BrokenResponse,
	} {
		is.Equal(outcomeOf(&exchange.FailureError{Reason: reason}), want)
	}
	is.Equal(outcomeOf(&exchange.FailureError{Reason: exchange.ReasonUnsigned, Status: 503}), outlier.ErrorResponse)
	is.Equal(outcomeOf(&exchange.FailureError{Reason: exchange.ReasonUnsigned, Status: 200}), outlier.BrokenResponse)
}
