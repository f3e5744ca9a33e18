// Package exchange sends requests to replicas over HTTP/1.1 and reads their
// answers, on connections of its own pool. Unlike a general client it never
// repeats a request by itself, tells whether a failed request may have run, and
// never takes an answer that belongs to another request.
package exchange

import (
	"fmt"
	"net/http"
	"net/netip"
)

// Outcome tells what is known of a request that got no usable answer.
type Outcome int

const (
	// OutcomeUnknown tells that the request may have run, or may still run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun tells that it has not run and never will, for certain.
	OutcomeNotRun
	// OutcomeRan tells that the replica worked on it.
	OutcomeRan
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not_run"
	case OutcomeRan:
		return "ran"
	}
	return "unknown"
}

// Reason is why an attempt failed, for logs and decisions.
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
	// ReasonWithheld is that of a request that was not sent after all, see
	// Request.MaySend.
	ReasonWithheld Reason = "withheld"
)

// FailureError tells why an attempt brought no usable answer.
type FailureError struct {
	Outcome Outcome
	Reason  Reason
	// Status is the replica's status, or 0.
	Status int
	Cause  error
}

// Error gives reason, outcome and cause.
func (e *FailureError) Error() string {
	return fmt.Sprintf("exchange: %s (%s): %v", e.Reason, e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *FailureError) Unwrap() error { return e.Cause }

// Target is the replica that a request goes to.
type Target struct {
	Instance string
	// StartedAtMs tells the lives of an instance apart: what is open to an earlier one is dead.
	StartedAtMs int64
	Address     netip.AddrPort
}

// Request is sent as it is; Header must hold no field that concerns a connection.
type Request struct {
	// ID is echoed by the replica.
	ID string
	// URI is the request line's target, unaltered.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Repeatable tells that the request may run more than once.
	Repeatable bool
	// MaySend is asked once a connection is there, right before the request is written;
	// an error withholds it. nil never does.
	MaySend func() error
}

// Names are the header fields by which replicas speak.
type Names struct {
	// RequestID is echoed in answers.
	RequestID string
	// ExpectInstance names the only replica that may run the request.
	ExpectInstance string
	// NotRun marks an answer to a request that has not run.
	NotRun string
	// Stamp marks answers that a replica made.
	Stamp string
}
