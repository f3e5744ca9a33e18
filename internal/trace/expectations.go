package trace

import (
	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

// ExpectExecutions bounds the number of executions of an operation with a key,
// over all application replicas and the whole trace.
type ExpectExecutions struct {
	Operation string `json:"operation" validate:"required"`
	Key       string `json:"key" validate:"required"`
	AtLeast   int    `json:"at_least" validate:"min=0"`
	AtMost    int    `json:"at_most" validate:"gtefield=AtLeast"`
}

// ExpectOrder lists all model calls of a branch in the order in which they first
// reached an engine. No call may arrive after one with a higher sequence.
type ExpectOrder struct {
	Program   identity.ProgramID  `json:"program" validate:"required"`
	Branch    identity.BranchID   `json:"branch" validate:"required"`
	Sequences []identity.Sequence `json:"sequences" validate:"min=1"`
}

// ExpectConversation requires that each model call of a branch reached the engines
// with exactly the messages that callers sent and the answers that they received,
// in order. Turns is the number of messages of the longest prompt.
type ExpectConversation struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Branch  identity.BranchID  `json:"branch" validate:"required"`
	Turns   int                `json:"turns" validate:"min=1"`
}

// ExpectSpent bounds the tokens that the engines computed for a program, including
// repeated attempts.
type ExpectSpent struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	AtLeast int64              `json:"at_least" validate:"min=0"`
	AtMost  int64              `json:"at_most" validate:"gtefield=AtLeast"`
}

// ExpectVersion is the version of the table in force on every live node at the
// time of the event.
type ExpectVersion struct {
	Version table.Version `json:"version" validate:"required"`
}

// ExpectMemory states whether any engine caches a prefix of a program at the time
// of the event.
type ExpectMemory struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Held    bool               `json:"held"`
}

// ExpectState is the state of a program at the time of the event.
type ExpectState struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	State   api.ProgramState   `json:"state" validate:"oneof=running ended cancelled expired"`
}

// ExpectNoNewWork requires that an engine receives no stream from the time of the
// event on, and at least one before.
type ExpectNoNewWork struct {
	Name string `json:"name" validate:"required"`
}

// Kind implements Body.
func (ExpectExecutions) Kind() Kind { return "expect_executions" }

// Kind implements Body.
func (ExpectOrder) Kind() Kind { return "expect_order" }

// Kind implements Body.
func (ExpectConversation) Kind() Kind { return "expect_conversation" }

// Kind implements Body.
func (ExpectSpent) Kind() Kind { return "expect_spent" }

// Kind implements Body.
func (ExpectVersion) Kind() Kind { return "expect_version" }

// Kind implements Body.
func (ExpectMemory) Kind() Kind { return "expect_memory" }

// Kind implements Body.
func (ExpectState) Kind() Kind { return "expect_state" }

// Kind implements Body.
func (ExpectNoNewWork) Kind() Kind { return "expect_no_new_work" }
