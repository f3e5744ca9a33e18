package api

// The headers of the OpenAI-shaped endpoint, by which a client of that shape
// gives its calls their place in a program. Answers carry the program, sequence
// and branch back.
const (
	HeaderProgram  = "Stepseam-Program"
	HeaderSequence = "Stepseam-Sequence"
	HeaderBranch   = "Stepseam-Branch"
	HeaderTenant   = "Stepseam-Tenant"
	HeaderClass    = "Stepseam-Class"
)

// HeaderLastEventID resumes a stream after the event of that number.
const HeaderLastEventID = "Last-Event-ID"

// The media types of answers.
const (
	MediaJSON        = "application/json"
	MediaProblem     = "application/problem+json"
	MediaEventStream = "text/event-stream"
)
