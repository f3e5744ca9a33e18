// Package api holds the public types of stepseam's HTTP interface for callers:
// programs, calls, answers, stream events and problems.
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
	// ID may be chosen by the caller so that creating can be repeated safely;
	// left empty, the node chooses one.
	ID string `json:"id,omitempty" maxLength:"64" pattern:"^[A-Za-z0-9._:-]*$" patternDescription:"letters, digits and . _ : -"`
}

// ProgramState is where a program is in its life.
type ProgramState string

// The states of programs.
const (
	ProgramRunning   ProgramState = "running"
	ProgramEnded     ProgramState = "ended"
	ProgramCancelled ProgramState = "cancelled"
	ProgramExpired   ProgramState = "expired"
)

// Program is what a caller or operator sees of a program.
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
	// Branches gives the last answered sequence of each branch.
	Branches map[string]uint64 `json:"branches"`
	Calls    int               `json:"calls"`
	Owner    string            `json:"owner"`
	Shard    uint32            `json:"shard"`
	Epoch    uint64            `json:"epoch"`
}

// CallKind tells a model call from an application call.
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
	// Branch is the chain the call belongs to; empty means main.
	Branch string   `json:"branch,omitempty" maxLength:"64" pattern:"^[A-Za-z0-9._:-]*$" patternDescription:"letters, digits and . _ : -"`
	Kind   CallKind `json:"kind" enum:"model,application"`
	// Model names a row of the table; empty takes the class's model.
	Model string `json:"model,omitempty" maxLength:"128"`
	// Messages are the new turns; the branch's history goes before them.
	Messages []Message `json:"messages,omitempty"`
	// WholeHistory tells that Messages repeats the branch's history from its
	// start, as OpenAI clients do; it must continue the stored one.
	WholeHistory bool `json:"whole_history,omitempty"`
	MaxTokens    int  `json:"max_tokens,omitempty" minimum:"0" maximum:"1000000"`
	Stream       bool `json:"stream,omitempty"`
	// Application and Operation name what an application call does; Input is
	// its JSON body.
	Application string          `json:"application,omitempty" maxLength:"128"`
	Operation   string          `json:"operation,omitempty" maxLength:"128"`
	Input       json.RawMessage `json:"input,omitempty"`
	// IdempotencyKey names the action; one key runs once in a program.
	IdempotencyKey string `json:"idempotency_key,omitempty" maxLength:"256"`
	// Unrepeatable calls run at most once, whatever fails.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
	// DeadlineSeconds is how long the caller waits for the answer; 0 takes the
	// class's limit.
	DeadlineSeconds float64 `json:"deadline_seconds,omitempty" minimum:"0"`
}

// Usage counts the tokens of one call.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Answer is the whole answer of a call.
type Answer struct {
	Program  string `json:"program"`
	Branch   string `json:"branch"`
	Sequence uint64 `json:"sequence"`
	// Text is a model's answer; Output is an application's.
	Text         string          `json:"text,omitempty"`
	Output       json.RawMessage `json:"output,omitempty"`
	FinishReason string          `json:"finish_reason,omitempty"`
	Usage        Usage           `json:"usage"`
	// Backend and Reason tell where the call ran and why there.
	Backend string `json:"backend"`
	Reason  string `json:"reason,omitempty"`
	// Replayed tells that the answer came from the journal.
	Replayed bool `json:"replayed,omitempty"`
	// QueuedSeconds and RunSeconds are the call's time before and at the back end.
	QueuedSeconds float64 `json:"queued_seconds"`
	RunSeconds    float64 `json:"run_seconds"`
}

// EventKind is the kind of a stream event.
type EventKind string

// The kinds of stream events. A stream is tokens, then one answer or problem.
const (
	EventToken   EventKind = "token"
	EventAnswer  EventKind = "answer"
	EventProblem EventKind = "problem"
)

// Event is one server-sent event of a call's stream. Tokens are numbered from
// 0; a client that reconnects gives the number after the last one it has.
type Event struct {
	Kind   EventKind `json:"kind"`
	Index  int       `json:"index"`
	Text   string    `json:"text,omitempty"`
	Answer *Answer   `json:"answer,omitempty"`
	// Problem ends a stream that failed.
	Problem *Problem `json:"problem,omitempty"`
}
