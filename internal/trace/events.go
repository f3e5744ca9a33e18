package trace

import (
	"strings"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

// Kind names a kind of event in a line's field "event".
type Kind string

// NodeReference names a node: by its name, or as "owner:PROGRAM", which is the
// node that owns the program's shard when the event happens. Empty is any node.
type NodeReference string

const ownerPrefix = "owner:"

// OwnerOf returns the program whose owner r names, if it names one.
func (r NodeReference) OwnerOf() (identity.ProgramID, bool) {
	program, found := strings.CutPrefix(string(r), ownerPrefix)
	return identity.ProgramID(program), found
}

// Create is a caller that makes a program. It insists until the program stands.
type Create struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Tenant  string             `json:"tenant" validate:"required"`
	Class   string             `json:"class" validate:"required"`
	Node    NodeReference      `json:"node,omitempty"`
}

// Call is a caller that makes a call, with what has to come of it.
type Call struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Node    NodeReference      `json:"node,omitempty"`
	// Pause is the time that the caller's tools take after the call of the branch
	// on the line before: the call leaves that long after that one has its outcome,
	// and not before its own time. Without it the call leaves at its own time.
	Pause *Duration `json:"pause,omitempty"`
	// Timeout is how long the caller waits for one answer before it gives the
	// connection up; 0 is as long as it takes.
	Timeout Duration `json:"timeout,omitempty" validate:"min=0"`
	// Patience is how long the caller asks again, through other nodes, where asking
	// again may help. 0 is one attempt.
	Patience Duration        `json:"patience,omitempty" validate:"min=0"`
	Call     api.CallRequest `json:"call"`
	Outcome  Outcome         `json:"outcome"`
}

// CallID names the call.
func (c Call) CallID() identity.CallID {
	branch := identity.BranchID(c.Call.Branch)
	if branch == "" {
		branch = identity.MainBranch
	}
	return identity.CallID{Program: c.Program, Branch: branch, Sequence: identity.Sequence(c.Call.Sequence)}
}

// OutcomeKind is what became of a call.
type OutcomeKind string

// The outcomes of calls.
const (
	// OutcomeAnswered is an answer, fresh or from the journal.
	OutcomeAnswered OutcomeKind = "answered"
	// OutcomeReplayed is an answer from the journal.
	OutcomeReplayed OutcomeKind = "replayed"
	// OutcomeRefused is a problem with a code.
	OutcomeRefused OutcomeKind = "refused"
	// OutcomeUnknown is the problem outcome_unknown: sent once, never again.
	OutcomeUnknown OutcomeKind = "outcome_unknown"
	// OutcomeLost is a connection that ended without any answer.
	OutcomeLost OutcomeKind = "lost"
)

// Outcome states what has to come of a call.
type Outcome struct {
	Is OutcomeKind `json:"is" validate:"oneof=answered replayed refused outcome_unknown lost"`
	// Code and NotRun belong to a refusal.
	Code   api.Code `json:"code,omitempty"`
	NotRun bool     `json:"not_run,omitempty"`
	// Digest is of a model's answer, in hexadecimal; empty takes any.
	Digest string `json:"digest,omitempty"`
	// Within is the longest time from the call's first attempt to its outcome; 0 is
	// no bound.
	Within Duration `json:"within,omitempty" validate:"min=0"`
	// Attempts bounds the caller's attempts; 0 is no bound.
	Attempts int `json:"attempts,omitempty" validate:"min=0"`
}

// End is a caller that ends a program, once its calls before have an outcome.
type End struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Node    NodeReference      `json:"node,omitempty"`
}

// Cancel is a caller or operator that cancels a program at once.
type Cancel struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Node    NodeReference      `json:"node,omitempty"`
}

// For is how long a failure lasts; 0 is until the trace's last event is over.
type For struct {
	For Duration `json:"for,omitempty" validate:"min=0"`
}

// Lasts returns how long the failure lasts.
func (f For) Lasts() Duration { return f.For }

// Kill ends a node as SIGKILL does; after For it starts again with nothing kept.
type Kill struct {
	Node NodeReference `json:"node" validate:"required"`
	For
}

// Freeze stops a node between its last checks and its sends; after For it goes on.
type Freeze struct {
	Node NodeReference `json:"node" validate:"required"`
	For
}

// Drain stops a node as planned; after For it starts again.
type Drain struct {
	Node NodeReference `json:"node" validate:"required"`
	For
}

// Cut takes the link from one node to another away, in this direction.
type Cut struct {
	From NodeReference `json:"from" validate:"required"`
	To   NodeReference `json:"to" validate:"required"`
	For
}

// CutZone cuts a zone off from all others: its nodes from the other nodes and
// from the other zones' back ends, and from the log and the machine list if
// Platform is set.
type CutZone struct {
	Zone     identity.Zone `json:"zone" validate:"required"`
	Platform bool          `json:"platform,omitempty"`
	For
}

// Log changes what is wrong with the log service.
type Log struct {
	Down        bool     `json:"down,omitempty"`
	AppendDelay Duration `json:"append_delay,omitempty" validate:"min=0"`
	ReadDelay   Duration `json:"read_delay,omitempty" validate:"min=0"`
	// LoseAnswers is the share of appends that take effect and whose answer is lost.
	LoseAnswers float64 `json:"lose_answers,omitempty" validate:"min=0,max=1"`
	For
}

// Engine changes what is wrong with an engine.
type Engine struct {
	Name   string  `json:"name" validate:"required"`
	Down   bool    `json:"down,omitempty"`
	Frozen bool    `json:"frozen,omitempty"`
	Slow   float64 `json:"slow,omitempty" validate:"min=0"`
	// LoseNext answers are lost after their effect.
	LoseNext int `json:"lose_next,omitempty" validate:"min=0"`
	For
}

// RestartEngine ends an engine's process and starts another with nothing kept.
type RestartEngine struct {
	Name string `json:"name" validate:"required"`
}

// Application changes what is wrong with an application replica.
type Application struct {
	Name       string  `json:"name" validate:"required"`
	Down       bool    `json:"down,omitempty"`
	HangBefore bool    `json:"hang_before,omitempty"`
	HangAfter  bool    `json:"hang_after,omitempty"`
	Slow       float64 `json:"slow,omitempty" validate:"min=0"`
	LoseNext   int     `json:"lose_next,omitempty" validate:"min=0"`
	For
}

// Leave is a back end that begins to leave: it finishes what it has, refuses new
// work and says so in its reports; the machine list shows it later.
type Leave struct {
	Name string `json:"name" validate:"required"`
}

// Publish is an operator who publishes a table, with what has to come of it.
type Publish struct {
	ID     string        `json:"id" validate:"required"`
	Node   NodeReference `json:"node,omitempty"`
	Base   table.Version `json:"base"`
	Author string        `json:"author" validate:"required"`
	Table  []string      `json:"table" validate:"min=1"`
	// RaceOf groups publications of which exactly one has to win; Outcome is then
	// left out. Else Outcome says what has to come of this one.
	RaceOf  string             `json:"race_of,omitempty"`
	Outcome PublicationOutcome `json:"outcome,omitempty" validate:"omitempty,oneof=accepted lost invalid refused"`
}

// PublicationOutcome is what an operator is told.
type PublicationOutcome string

// The outcomes of publications.
const (
	PublicationAccepted PublicationOutcome = "accepted"
	// PublicationLost: another version was accepted on the base.
	PublicationLost PublicationOutcome = "lost"
	// PublicationInvalid: the table has findings.
	PublicationInvalid PublicationOutcome = "invalid"
	// PublicationRefused: nothing was published, for certain.
	PublicationRefused PublicationOutcome = "refused"
	// PublicationUnknown: the operator was not told.
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
