package api

import (
	"fmt"
	"time"
)

// Code is the stable, machine-readable identifier of a problem. Codes are never renamed and
// never change their meaning.
type Code string

// The codes of problems. Each comment gives the HTTP status and, where it is certain, that
// the request did not run.
const (
	// CodeInvalid: 400/422, not run. The request is malformed; Findings list the places.
	CodeInvalid Code = "invalid_request"
	// CodeTooLarge: 413, not run. The body is over the limit.
	CodeTooLarge Code = "body_too_large"
	// CodeSlowSender: 408, not run. The body did not arrive in time.
	CodeSlowSender Code = "body_timeout"
	// CodeUnknownProgram: 404, not run.
	CodeUnknownProgram Code = "unknown_program"
	// CodeUnknownCall: 404, not run. The program has no call with that sequence.
	CodeUnknownCall Code = "unknown_call"
	// CodeUnknownClass: 422, not run. The table has no such program class.
	CodeUnknownClass Code = "unknown_class"
	// CodeUnknownModel: 422, not run. The table has no such model.
	CodeUnknownModel Code = "unknown_model"
	// CodeConflict: 409, not run. The sequence or key was used with a different body.
	CodeConflict Code = "sequence_conflict"
	// CodeHistoryMismatch: 409, not run. The messages do not continue the stored history.
	CodeHistoryMismatch Code = "history_mismatch"
	// CodeSequenceGap: 409, not run. An earlier call did not arrive in time.
	CodeSequenceGap Code = "sequence_gap"
	// CodeProgramEnded: 410, not run. The program was ended, cancelled or timed out.
	CodeProgramEnded Code = "program_ended"
	// CodeBudget: 402, not run. The call could exceed the program's budget.
	CodeBudget Code = "budget_exhausted"
	// CodeLimit: 429, not run. A limit of the class (calls, branches, time) is reached.
	CodeLimit Code = "limit_reached"
	// CodeOverloaded: 429, not run. Admission control rejected the call; see Retry-After.
	CodeOverloaded Code = "overloaded"
	// CodeNoOwner: 503, not run. The shard has no owner yet; Retry-After.
	CodeNoOwner Code = "shard_unavailable"
	// CodeNoBackend: 503, not run. No back end can take the call; Retry-After.
	CodeNoBackend Code = "no_backend"
	// CodeLogUnavailable: 503, not run. An unrepeatable request could not be made durable.
	CodeLogUnavailable Code = "log_unavailable"
	// CodeNoTable: 503, not run. The node has no table yet.
	CodeNoTable Code = "no_table"
	// CodeDraining: 503, not run. The node is stopping; use another one.
	CodeDraining Code = "node_draining"
	// CodeDeadline: 504. The caller's deadline passed; see not_run.
	CodeDeadline Code = "deadline_exceeded"
	// CodeOutcomeUnknown: 502, may have run. An unrepeatable request was sent and its
	// response was lost; it is never sent again.
	CodeOutcomeUnknown Code = "outcome_unknown"
	// CodeBackendFailed: 502. The back end returned an error.
	CodeBackendFailed Code = "backend_failed"
	// CodeCancelled: 410. The call was cancelled; see not_run.
	CodeCancelled Code = "cancelled"
	// CodeInterrupted: 503. The connection broke before the answer was complete; fetch
	// it again by its sequence.
	CodeInterrupted Code = "interrupted"
	// CodeTableConflict: 409, not run. Another version was accepted on the base first.
	CodeTableConflict Code = "table_conflict"
	// CodeInternal: 500. An internal error of the node.
	CodeInternal Code = "internal"
)

// Finding is one error in an input, with its location.
type Finding struct {
	// Place is a JSON path, or file:line and a field, or row and column.
	Place   string `json:"place"`
	Message string `json:"message"`
}

// Problem is an RFC 9457 problem document, and the error type that nodes exchange. NotRun is
// true only if the request is known not to have run at any back end.
type Problem struct {
	Type     string    `json:"type"`
	Title    string    `json:"title"`
	Status   int       `json:"status"`
	Detail   string    `json:"detail,omitempty"`
	Code     Code      `json:"code"`
	NotRun   bool      `json:"not_run"`
	Findings []Finding `json:"findings,omitempty"`
	// RetryAfter is the time after which to retry. It is also sent as the Retry-After
	// header, in whole seconds rounded up. 0 means that a retry does not help.
	RetryAfter time.Duration `json:"-"`
	// RetryAfterSeconds is RetryAfter in the JSON document.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Code, p.Detail) }

type codeProperties struct {
	status int
	title  string
	notRun bool
}

var propertiesByCode = map[Code]codeProperties{
	CodeInvalid:         {422, "The request is not valid", true},
	CodeTooLarge:        {413, "The request body is too large", true},
	CodeSlowSender:      {408, "The request body did not arrive in time", true},
	CodeUnknownProgram:  {404, "There is no such program", true},
	CodeUnknownCall:     {404, "The program has no such call", true},
	CodeUnknownClass:    {422, "The table has no such program class", true},
	CodeUnknownModel:    {422, "The table has no such model", true},
	CodeConflict:        {409, "The sequence or key stands with another body", true},
	CodeHistoryMismatch: {409, "The messages do not continue the program's history", true},
	CodeSequenceGap:     {409, "An earlier call of the branch is missing", true},
	CodeProgramEnded:    {410, "The program has ended", true},
	CodeBudget:          {402, "The call could pass the program's budget", true},
	CodeLimit:           {429, "A limit of the program's class is reached", true},
	CodeOverloaded:      {429, "The site is at capacity", true},
	CodeNoOwner:         {503, "The program's shard has no owner at the moment", true},
	CodeNoBackend:       {503, "No back end can take the call", true},
	CodeLogUnavailable:  {503, "The request could not be made durable", true},
	CodeNoTable:         {503, "The node has no table yet", true},
	CodeDraining:        {503, "The node is stopping", true},
	CodeDeadline:        {504, "The deadline has passed", false},
	CodeOutcomeUnknown:  {502, "The request was sent once and its outcome is unknown", false},
	CodeBackendFailed:   {502, "The back end failed", false},
	CodeCancelled:       {410, "The call was cancelled", false},
	CodeInterrupted:     {503, "The answer was interrupted", false},
	CodeTableConflict:   {409, "Another version was published on that base", true},
	CodeInternal:        {500, "Internal error", false},
}

// Codes returns all codes, in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(propertiesByCode))
	for code := range propertiesByCode {
		codes = append(codes, code)
	}
	return codes
}

// NewProblem returns a problem with the default status, title and NotRun of code.
func NewProblem(code Code, format string, arguments ...any) *Problem {
	properties := propertiesByCode[code]
	return &Problem{
		Type:   "urn:stepseam:problem:" + string(code),
		Title:  properties.title,
		Status: properties.status,
		Detail: fmt.Sprintf(format, arguments...),
		Code:   code,
		NotRun: properties.notRun,
	}
}

// WithRetryAfter sets RetryAfter and returns p.
func (p *Problem) WithRetryAfter(after time.Duration) *Problem {
	p.RetryAfter = after
	p.RetryAfterSeconds = after.Seconds()
	return p
}

// WithNotRun sets NotRun and returns p.
func (p *Problem) WithNotRun(notRun bool) *Problem {
	p.NotRun = notRun
	return p
}
