package api

// The headers with which clients of the OpenAI-compatible endpoint assign a call to a
// program and branch. Responses return the program, sequence and branch.
const (
	HeaderProgram  = "Stepseam-Program"
	HeaderSequence = "Stepseam-Sequence"
	HeaderBranch   = "Stepseam-Branch"
	HeaderTenant   = "Stepseam-Tenant"
	HeaderClass    = "Stepseam-Class"
)

// HeaderLastEventID is the index of the last event received; the stream resumes after it.
const HeaderLastEventID = "Last-Event-ID"

// The media types of responses.
const (
	MediaJSON        = "application/json"
	MediaProblem     = "application/problem+json"
	MediaEventStream = "text/event-stream"
)
