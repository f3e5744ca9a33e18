// Package exchange is an HTTP/1.1 client for replicas with its own connection pool.
// Unlike net/http it reports whether a failed request may have run, retries only requests
// that are marked repeatable, and never returns a response that belongs to another
// request.
package exchange

import (
	"fmt"
	"net/http"
	"net/netip"
)

// Outcome is what is known about the execution of a failed request.
type Outcome int

const (
	// OutcomeUnknown means that the request may have run or may still run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request has not run and never will.
	OutcomeNotRun
	// OutcomeRan means that the replica processed the request.
	OutcomeRan
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not_run"
	case OutcomeRan:
		return "ran"
	}
	return "unknown"
}

// Reason is the cause of a failed attempt, for logs and decisions.
type Reason string

// The reasons of failed attempts.
const (
	ReasonConnect    Reason = "connect"
	ReasonSend       Reason = "send"
	ReasonReset      Reason = "no_answer"
	ReasonMalformed  Reason = "malformed_answer"
	ReasonForeign    Reason = "foreign_answer"
	ReasonUnsigned   Reason = "unsigned_answer"
	ReasonShed       Reason = "shed"
	ReasonMoved      Reason = "another_instance"
	ReasonIncomplete Reason = "incomplete_answer"
	ReasonCancelled  Reason = "cancelled"
	// ReasonVersion means that the replica's version is no longer the one it was selected for.
	ReasonVersion Reason = "version_changed"
	// ReasonIncarnation means that the replica did not say whether it has started again since.
	ReasonIncarnation Reason = "incarnation_unknown"
	// ReasonBuffersFull means that this node can't hold the head of the response.
	ReasonBuffersFull Reason = "buffers_full"
	// ReasonWithheld means that Request.MaySend rejected the request.
	ReasonWithheld Reason = "withheld"
)

// FailureError reports an attempt without a usable response.
type FailureError struct {
	Outcome Outcome
	Reason  Reason
	// Status is the HTTP status, or 0 without a response.
	Status int
	Cause  error
}

// Error implements error.
func (e *FailureError) Error() string {
	return fmt.Sprintf("exchange: %s (%s): %v", e.Reason, e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *FailureError) Unwrap() error { return e.Cause }

// Target is the replica that a request is sent to.
type Target struct {
	Instance string
	// StartedAtMs distinguishes incarnations of an instance. Connections to an earlier
	// incarnation are not reused.
	StartedAtMs int64
	Address     netip.AddrPort
}

// Request is sent unmodified. Header must not contain fields that concern the connection.
type Request struct {
	// ID identifies the request; the replica echoes it in the response.
	ID string
	// URI is the request target, sent without normalization.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Stream reports that parts of the response are passed on before its end.
	Stream bool
	// Incarnation is what is required of the process that receives the request.
	Incarnation IncarnationCheck
	// MaySend, if set, is called with the connection established, right before the
	// request is written. An error prevents the write.
	MaySend func() error
}

// Names are the names of the header fields of the replica protocol.
type Names struct {
	// RequestID identifies the request; responses echo it.
	RequestID string
	// ExpectInstance names the only instance that may run the request.
	ExpectInstance string
	// NotRun marks the response to a request that has not run.
	NotRun string
	// Stamp marks the responses that a replica made.
	Stamp string
	// ReportPath is where a replica tells about itself in a JSON object. Its field ReportedStart is the start
	// of the process in Unix milliseconds. They are empty if replicas don't report.
	ReportPath, ReportedStart string
}
