package trace

import (
	"strings"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

// Kind is the value of the field "event", which selects the type of a line.
type Kind string

// NodeReference identifies a node: a name, or "owner:PROGRAM" for the node that
// owns the program's shard at the time of the event. The empty reference means
// any node.
type NodeReference string

const ownerPrefix = "owner:"

// OwnerOf returns the program of a reference of the form "owner:PROGRAM", and
// false for any other reference.
func (r NodeReference) OwnerOf() (identity.ProgramID, bool) {
	program, found := strings.CutPrefix(string(r), ownerPrefix)
	return identity.ProgramID(program), found
}

// Create is a caller's creation of a program, retried until it succeeds.
type Create struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Tenant  string             `json:"tenant" validate:"required"`
	Class   string             `json:"class" validate:"required"`
	Node    NodeReference      `json:"node,omitempty"`
}

// Call is a caller's model or application call, with its expected outcome.
type Call struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Node    NodeReference      `json:"node,omitempty"`
	// Pause is how long the caller waits, once the event's time has come and all
	// earlier calls of the branch have an outcome, before it sends the call; it
	// stands for the caller's tools. If Pause is nil, the call is sent at the
	// event's time.
	Pause *Duration `json:"pause,omitempty"`
	// Timeout bounds one attempt, after which the caller closes the connection; 0
	// selects the default of the replay.
	Timeout Duration `json:"timeout,omitempty" validate:"min=0"`
	// RetryTimeout is how long the caller retries retryable errors through other nodes;
	// 0 allows one attempt.
	RetryTimeout Duration        `json:"patience,omitempty" validate:"min=0"`
	Call         api.CallRequest `json:"call"`
	Outcome      Outcome         `json:"outcome"`
}

// CallID returns the call's ID; an empty branch is the main branch.
func (c Call) CallID() identity.CallID {
	branch := identity.BranchID(c.Call.Branch)
	if branch == "" {
		branch = identity.MainBranch
	}
	return identity.CallID{Program: c.Program, Branch: branch, Sequence: identity.Sequence(c.Call.Sequence)}
}

// OutcomeKind classifies the result of a call.
type OutcomeKind string

// The outcomes of calls.
const (
	// OutcomeAnswered is an answer, newly computed or replayed from the journal.
	OutcomeAnswered OutcomeKind = "answered"
	// OutcomeReplayed is an answer replayed from the journal.
	OutcomeReplayed OutcomeKind = "replayed"
	// OutcomeRefused is a problem with a code other than outcome_unknown.
	OutcomeRefused OutcomeKind = "refused"
	// OutcomeUnknown is the problem outcome_unknown: an unrepeatable call was sent
	// and its effect is not known.
	OutcomeUnknown OutcomeKind = "outcome_unknown"
	// OutcomeConnectionLost is a connection that ended without a response.
	OutcomeConnectionLost OutcomeKind = "lost"
)

// Outcome is the expected result of a call.
type Outcome struct {
	Kind OutcomeKind `json:"is" validate:"oneof=answered replayed refused outcome_unknown lost"`
	// Code and NotRun are set for OutcomeRefused only.
	Code   api.Code `json:"code,omitempty"`
	NotRun bool     `json:"not_run,omitempty"`
	// Digest is the hexadecimal hash of a model's answer; empty matches any answer.
	Digest string `json:"digest,omitempty"`
	// Within bounds the time from the first attempt to the outcome; 0 means
	// unbounded.
	Within Duration `json:"within,omitempty" validate:"min=0"`
	// Attempts bounds the number of attempts; 0 means unbounded.
	Attempts int `json:"attempts,omitempty" validate:"min=0"`
}

// End is a caller's end of a program, sent after the outcomes of all its earlier
// calls.
type End struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Node    NodeReference      `json:"node,omitempty"`
}

// Cancel is the cancellation of a program, which doesn't wait for its calls.
type Cancel struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Node    NodeReference      `json:"node,omitempty"`
}

// For is embedded in failures and bounds their duration; 0 lasts until all
// events of the trace have finished.
type For struct {
	For Duration `json:"for,omitempty" validate:"min=0"`
}

// FailureDuration returns the duration of the failure.
func (f For) FailureDuration() Duration { return f.For }

// Kill terminates a node as SIGKILL does; after For it restarts with empty state.
type Kill struct {
	Node NodeReference `json:"node" validate:"required"`
	For
}

// Freeze pauses a node's process between its last checks and the resulting sends;
// after For it resumes.
type Freeze struct {
	Node NodeReference `json:"node" validate:"required"`
	For
}

// Drain shuts a node down gracefully; after For it restarts.
type Drain struct {
	Node NodeReference `json:"node" validate:"required"`
	For
}

// Cut drops all messages from one node to another, in this direction only.
type Cut struct {
	From NodeReference `json:"from" validate:"required"`
	To   NodeReference `json:"to" validate:"required"`
	For
}

// CutZone partitions a zone from all others: its nodes lose the other zones'
// nodes and back ends and, if Platform is set, the log and the machine list.
type CutZone struct {
	Zone     identity.Zone `json:"zone" validate:"required"`
	Platform bool          `json:"platform,omitempty"`
	For
}

// Log sets the faults of the log service.
type Log struct {
	Down        bool     `json:"down,omitempty"`
	AppendDelay Duration `json:"append_delay,omitempty" validate:"min=0"`
	ReadDelay   Duration `json:"read_delay,omitempty" validate:"min=0"`
	// LoseAnswers is the fraction of appends that take effect but whose response is
	// lost.
	LoseAnswers float64 `json:"lose_answers,omitempty" validate:"min=0,max=1"`
	For
}

// Engine sets the faults of an engine.
type Engine struct {
	Name   string  `json:"name" validate:"required"`
	Down   bool    `json:"down,omitempty"`
	Frozen bool    `json:"frozen,omitempty"`
	Slow   float64 `json:"slow,omitempty" validate:"min=0"`
	// LoseNext is the number of next responses that are lost after the request took
	// effect.
	LoseNext int `json:"lose_next,omitempty" validate:"min=0"`
	For
}

// RestartEngine restarts an engine with an empty cache and no streams.
type RestartEngine struct {
	Name string `json:"name" validate:"required"`
}

// Application sets the faults of an application replica.
type Application struct {
	Name       string  `json:"name" validate:"required"`
	Down       bool    `json:"down,omitempty"`
	HangBefore bool    `json:"hang_before,omitempty"`
	HangAfter  bool    `json:"hang_after,omitempty"`
	Slow       float64 `json:"slow,omitempty" validate:"min=0"`
	LoseNext   int     `json:"lose_next,omitempty" validate:"min=0"`
	For
}

// Leave starts to drain a back end: it finishes its requests, rejects new ones
// and reports that it is draining. The machine list shows the change after its
// lag.
type Leave struct {
	Name string `json:"name" validate:"required"`
}

// Publish is an operator's publication of a table, with its expected outcome.
type Publish struct {
	ID     string        `json:"id" validate:"required"`
	Node   NodeReference `json:"node,omitempty"`
	Base   table.Version `json:"base"`
	Author string        `json:"author" validate:"required"`
	Table  []string      `json:"table" validate:"min=1"`
	// RaceOf names a group of concurrent publications of which exactly one must be
	// accepted. Either RaceOf or Outcome is set.
	RaceOf  string             `json:"race_of,omitempty"`
	Outcome PublicationOutcome `json:"outcome,omitempty" validate:"omitempty,oneof=accepted lost invalid refused"`
}

// PublicationOutcome is the result of a publication as its operator sees it.
type PublicationOutcome string

// The outcomes of publications.
const (
	PublicationAccepted PublicationOutcome = "accepted"
	// PublicationConflict means that another version was accepted on the same base.
	PublicationConflict PublicationOutcome = "lost"
	// PublicationInvalid means that the table has findings.
	PublicationInvalid PublicationOutcome = "invalid"
	// PublicationRefused means that nothing was published.
	PublicationRefused PublicationOutcome = "refused"
	// PublicationUnknown means that the operator got no definite response.
	PublicationUnknown PublicationOutcome = "unknown"
)

// Kind implements Body.
func (Create) Kind() Kind { return "create" }

// Kind implements Body.
func (Call) Kind() Kind { return "call" }

// Kind implements Body.
func (End) Kind() Kind { return "end" }

// Kind implements Body.
func (Cancel) Kind() Kind { return "cancel" }

// Kind implements Body.
func (Kill) Kind() Kind { return "kill" }

// Kind implements Body.
func (Freeze) Kind() Kind { return "freeze" }

// Kind implements Body.
func (Drain) Kind() Kind { return "drain" }

// Kind implements Body.
func (Cut) Kind() Kind { return "cut" }

// Kind implements Body.
func (CutZone) Kind() Kind { return "cut_zone" }

// Kind implements Body.
func (Log) Kind() Kind { return "log" }

// Kind implements Body.
func (Engine) Kind() Kind { return "engine" }

// Kind implements Body.
func (RestartEngine) Kind() Kind { return "restart_engine" }

// Kind implements Body.
func (Application) Kind() Kind { return "application" }

// Kind implements Body.
func (Leave) Kind() Kind { return "leave" }

// Kind implements Body.
func (Publish) Kind() Kind { return "publish" }
