package router

import (
	"net/http"
	"strconv"
	"time"

	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/exchange"
)

// How long clients are asked to wait after a refusal.
const (
	shortComeBack = 100 * time.Millisecond
	longComeBack  = 400 * time.Millisecond
)

// awayComeBack is when a client may come back whose request needs a store that answers no
// node. Stores are away for seconds, and a client tries only so often.
const awayComeBack = time.Second

// comeBackFromStore is when a client may come back that was refused since the store does
// not answer this node: after awayComeBack where it answers no other node either, else
// after elsewhere, since another node will do.
func (r *Router) comeBackFromStore(elsewhere time.Duration) time.Duration {
	if r.config.Freshness != nil && r.config.Freshness.UnavailableForAll() {
		return awayComeBack
	}
	return elsewhere
}

// refusal is a failure of the router's own.
type refusal struct {
	// reason is one word for log and metrics.
	reason string
	// comeBack is when the client may try again; 0 says nothing of it.
	comeBack time.Duration
	cause    error
}

// reply is the answer to one request and what the log says of it.
type reply struct {
	writer http.ResponseWriter
	router *Router
	// status is 0 while nothing has been sent.
	status   int
	reason   string
	cause    error
	replica  string
	attempts int
	// expected is what was believed of the replica.
	expected balance.Expected
	// cold tells that the replica counted as cold.
	cold bool
	// known is what the keeper of the replica of the last attempt has told, or nil.
	known  *balance.AggregatedState
	events int
	bytes  int
	// charged is what stood against the program's budget.
	charged uint64
	// ahead tells that the reservation did not stand in the log yet, home which
	// node keeps the program's sums.
	ahead bool
	home  string
	// waitedLedger is how long the reservation took.
	waitedLedger time.Duration
	// firstByte is when the first byte of the body was sent.
	firstByte time.Time
	// cut tells that the answer was broken off.
	cut bool
}

func (a *reply) note(reason string, cause error) {
	a.reason = reason
	a.cause = cause
}

// refuse answers with a failure of the router's own. Of the statuses, 408, 421,
// 429 and 503 promise that the request has not run and never will.
func (a *reply) refuse(status int, refusal refusal) {
	a.note(refusal.reason, refusal.cause)
	a.status = status
	header := a.writer.Header()
	if refusal.comeBack > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.comeBack.Seconds(), 'f', 2, 64))
	}
	header["Date"] = nil
	header.Set("Content-Type", "text/plain")
	body := refusal.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	a.writer.WriteHeader(status)
	// A client that is gone needs no answer.
	_, _ = a.writer.Write([]byte(body))
}

// begin sends the head of a replica's answer; length is -1 where it is not known.
func (a *reply) begin(answer *exchange.Answer, length int) {
	header := a.writer.Header()
	for name, values := range forwardable(answer.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := header[name]; !given {
			header[name] = nil
		}
	}
	a.status = answer.Status
	a.firstByte = time.Now()
	a.writer.WriteHeader(answer.Status)
}

// breakOff ends the connection, so that the answer can't be taken for whole. It does not
// return.
func (a *reply) breakOff(reason string, cause error) {
	a.cut = true
	a.note(reason, cause)
	panic(http.ErrAbortHandler)
}
