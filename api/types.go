// Package api defines the types of stepseam's HTTP API for callers: programs, calls,
// answers, stream events and problems.
package api

import (
	"encoding/json"
	"time"
)

// Message is one turn of a conversation, in the shape OpenAI clients use.
type Message struct {
	Role    string `json:"role" enum:"system,user,assistant,tool"`
	Content string `json:"content"`
}

// ProgramRequest creates a program.
type ProgramRequest struct {
	Tenant string `json:"tenant" minLength:"1" maxLength:"128"`
	Class  string `json:"class" minLength:"1" maxLength:"128"`
	// ID is chosen by the caller to make retries of the request safe. If it is empty,
	// the node chooses one.
	ID string `json:"id,omitempty" maxLength:"64" pattern:"^[A-Za-z0-9._:-]*$" patternDescription:"letters, digits and . _ : -"`
}

// ProgramState is a program's state. All states but ProgramRunning are final.
type ProgramState string

// The states of programs.
const (
	ProgramRunning   ProgramState = "running"
	ProgramEnded     ProgramState = "ended"
	ProgramCancelled ProgramState = "cancelled"
	ProgramExpired   ProgramState = "expired"
)

// Program is a program's state as shown to callers and operators.
type Program struct {
	ID      string       `json:"id"`
	Tenant  string       `json:"tenant"`
	Class   string       `json:"class"`
	State   ProgramState `json:"state"`
	Created time.Time    `json:"created"`
	// Budget, Spent and Reserved are in tokens.
	Budget   int64 `json:"budget"`
	Spent    int64 `json:"spent"`
	Reserved int64 `json:"reserved"`
	// Branches is the last answered sequence of each branch.
	Branches map[string]uint64 `json:"branches"`
	Calls    int               `json:"calls"`
	Owner    string            `json:"owner"`
	Shard    uint32            `json:"shard"`
	Epoch    uint64            `json:"epoch"`
}

// CallKind is the kind of a call.
type CallKind string

// The kinds of calls.
const (
	CallModel       CallKind = "model"
	CallApplication CallKind = "application"
)

// CallRequest is one call of a program.
type CallRequest struct {
	// Sequence is the call's position in its branch, from 1.
	Sequence uint64 `json:"sequence" minimum:"1"`
	// Branch is the sequence of calls that the call belongs to; empty means main.
	Branch string   `json:"branch,omitempty" maxLength:"64" pattern:"^[A-Za-z0-9._:-]*$" patternDescription:"letters, digits and . _ : -"`
	Kind   CallKind `json:"kind" enum:"model,application"`
	// Model is the name of a model in the table; empty means the class's model.
	Model string `json:"model,omitempty" maxLength:"128"`
	// Messages are the new messages; the branch's history precedes them.
	Messages []Message `json:"messages,omitempty"`
	// WholeHistory is set if Messages includes the branch's history from its start, as
	// OpenAI clients send it. It must continue the stored history.
	WholeHistory bool `json:"whole_history,omitempty"`
	MaxTokens    int  `json:"max_tokens,omitempty" minimum:"0" maximum:"1000000"`
	Stream       bool `json:"stream,omitempty"`
	// Application and Operation select what an application call runs; Input is its JSON
	// body.
	Application string          `json:"application,omitempty" maxLength:"128"`
	Operation   string          `json:"operation,omitempty" maxLength:"128"`
	Input       json.RawMessage `json:"input,omitempty"`
	// IdempotencyKey identifies the action; calls with the same key run once per program.
	IdempotencyKey string `json:"idempotency_key,omitempty" maxLength:"256"`
	// Unrepeatable calls run at most once, even after failures.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
	// DeadlineSeconds is how long the caller waits for the answer; 0 means the
	// class's limit.
	DeadlineSeconds float64 `json:"deadline_seconds,omitempty" minimum:"0"`
}

// Usage counts the tokens of one call.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Answer is the complete answer of a call.
type Answer struct {
	Program  string `json:"program"`
	Branch   string `json:"branch"`
	Sequence uint64 `json:"sequence"`
	// Text is a model's answer; Output is an application's.
	Text         string          `json:"text,omitempty"`
	Output       json.RawMessage `json:"output,omitempty"`
	FinishReason string          `json:"finish_reason,omitempty"`
	Usage        Usage           `json:"usage"`
	// Backend is where the call ran, and Reason why it was selected.
	Backend string `json:"backend"`
	Reason  string `json:"reason,omitempty"`
	// Replayed is set if the answer was read from the journal.
	Replayed bool `json:"replayed,omitempty"`
	// QueuedSeconds and RunSeconds are the time before the call was sent to the back end
	// and the time it ran there.
	QueuedSeconds float64 `json:"queued_seconds"`
	RunSeconds    float64 `json:"run_seconds"`
}

// EventKind is the kind of a stream event.
type EventKind string

// The kinds of stream events. A stream consists of tokens followed by one answer or problem.
const (
	EventToken   EventKind = "token"
	EventAnswer  EventKind = "answer"
	EventProblem EventKind = "problem"
)

// Event is one server-sent event of a call's stream. Tokens are numbered from 0. A client
// that reconnects sends the number of the last token it received as Last-Event-ID.
type Event struct {
	Kind   EventKind `json:"kind"`
	Index  int       `json:"index"`
	Text   string    `json:"text,omitempty"`
	Answer *Answer   `json:"answer,omitempty"`
	// Problem is the error that ended the stream.
	Problem *Problem `json:"problem,omitempty"`
}
