package trace

import (
	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/table"
)

// ExpectExecutions states how often the applications executed an operation with
// a key, over the whole trace.
type ExpectExecutions struct {
	Operation string `json:"operation" validate:"required"`
	Key       string `json:"key" validate:"required"`
	AtLeast   int    `json:"at_least" validate:"min=0"`
	AtMost    int    `json:"at_most" validate:"gtefield=AtLeast"`
}

// ExpectOrder states the order in which a branch's model calls first reached the
// engines, all of them; no call may arrive after a later one.
type ExpectOrder struct {
	Program   identity.ProgramID  `json:"program" validate:"required"`
	Branch    identity.BranchID   `json:"branch" validate:"required"`
	Sequences []identity.Sequence `json:"sequences" validate:"min=1"`
}

// ExpectConversation states that each model call of a branch reached the engines
// with all turns that its callers sent and all answers they got, in order and
// nothing else, and how many turns the longest one had.
type ExpectConversation struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Branch  identity.BranchID  `json:"branch" validate:"required"`
	Turns   int                `json:"turns" validate:"min=1"`
}

// ExpectSpent bounds the tokens that the engines computed for a program, repeats
// included.
type ExpectSpent struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	AtLeast int64              `json:"at_least" validate:"min=0"`
	AtMost  int64              `json:"at_most" validate:"gtefield=AtLeast"`
}

// ExpectVersion states the version of the table in force at its time on every
// live node.
type ExpectVersion struct {
	Version table.Version `json:"version" validate:"required"`
}

// ExpectMemory states whether any engine holds memory of a program at its time.
type ExpectMemory struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	Held    bool               `json:"held"`
}

// ExpectState states where a program is in its life at its time.
type ExpectState struct {
	Program identity.ProgramID `json:"program" validate:"required"`
	State   api.ProgramState   `json:"state" validate:"oneof=running ended cancelled expired"`
}

// ExpectNoNewWork states that an engine takes on no stream from its time on. It
// must have taken one on before.
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
