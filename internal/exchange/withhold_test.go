package exchange

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/emulator/replica"
)

var errWithheld = errors.New("withheld")

func TestWithheldRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	to, client := start(t, func(e *replica.Exchange) bool {
		respond(e, "done")
		return true
	})
	request := newRequest("1")
	request.MaySend = func() error { return errWithheld }
	for range 2 { // on a new connection, and after one was used
		_, _, err := send(t, client, to, request)
		failure := failureOf(t, err)
		is.Equal(failure.Reason, ReasonWithheld)
		is.Equal(failure.Outcome, OutcomeNotRun)
		is.True(errors.Is(err, errWithheld))
		_, _, err = send(t, client, to, newRequest("2"))
		is.NoErr(err)
	}
	for _, received := range to.Received() {
		is.Equal(received.Header.Get("Test-Id"), "2")
	}
}

// TestRetryChecksMaySend rejects the retry after a reused connection turned out to be
// stale. The outcome is unknown, since the first attempt may have run.
func TestRetryChecksMaySend(t *testing.T) {
	is := is.New(t)
	to, client := start(t, func(e *replica.Exchange) bool {
		if e.Number == 1 {
			respond(e, "done")
			return true
		}
		return false
	})
	_, _, err := send(t, client, to, newRequest("1"))
	is.NoErr(err)
	request, checks := newRequest("2"), 0
	request.Repeatable = true
	request.MaySend = func() error {
		checks++
		if checks == 2 {
			return errWithheld
		}
		return nil
	}
	_, _, err = send(t, client, to, request)
	failure := failureOf(t, err)
	is.Equal(failure.Reason, ReasonWithheld)
	is.Equal(failure.Outcome, OutcomeUnknown)
	is.Equal(len(to.Received()), 2)
}
