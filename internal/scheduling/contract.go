// Package scheduling decides: which calls to run, hold or refuse, in which
// order, on which back end, and what cache to keep warm. All of it is pure: a
// snapshot and the time go in, a decision with its reasons comes out. The
// daemon, the emulator and the tests run the same code.
package scheduling

import (
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// Health is what trials and failures say of a back end.
type Health uint8

// The healths of back ends.
const (
	Healthy Health = iota
	// Probation admits one trial call at a time after an ejection.
	Probation
	Ejected
)

// Backend is one back end in a snapshot.
type Backend struct {
	Name    string
	Zone    identity.Zone
	Service string
	Health  Health
	Leaving bool
	// ServesModel tells that model and adapter of the call are loaded.
	ServesModel bool
	// ReportedRunning, ReportedWaiting and QueuedPrefillTokens are the lagging
	// report; ReportAge is its age.
	ReportedRunning     int
	ReportedWaiting     int
	QueuedPrefillTokens int
	ReportAge           time.Duration
	// OwnInFlight counts this node's calls there that the report cannot know yet,
	// OwnPrefillTokens their uncached prompt tokens.
	OwnInFlight      int
	OwnPrefillTokens int
	// CachedTokens is the expected cached prefix of this call there.
	CachedTokens int
	// CacheCapacityTokens and CacheUsedTokens are of the lagging report.
	CacheCapacityTokens int
	CacheUsedTokens     int
	// PrefillRate and DecodeRate are tokens per second as observed, 0 if unknown.
	PrefillRate float64
	DecodeRate  float64
	// Latency is the one-way latency from this node.
	Latency time.Duration
}

// Call is one call in a snapshot.
type Call struct {
	ID     identity.CallID
	Tenant string
	Class  string
	// Model names the model; empty for an application call, whose Service is set.
	Model        string
	Service      string
	PromptTokens int
	MaxTokens    int
	// Arrived is when the call came; Deadline when its caller gives up (zero: none).
	Arrived  time.Time
	Deadline time.Time
	// ProgramStarted, ServiceSoFar and CallsSoFar tell the program's progress.
	ProgramStarted time.Time
	ServiceSoFar   time.Duration
	CallsSoFar     int
	// Weight and Priority are from the table's row of the class.
	Weight   float64
	Priority int
	// Attempt counts from 0; Excluded are back ends that failed this call.
	Attempt  int
	Excluded []string
	// LastBackend is where the branch's previous call ran.
	LastBackend string
	// DecisionNumber is the node's running count of decisions. Only RoundRobin reads it,
	// so that it needs no state of its own.
	DecisionNumber uint64
}

// Action is what to do with a call.
type Action uint8

// The actions.
const (
	Run Action = iota + 1
	Hold
	Refuse
)

// Decision is what to do with one call, and why.
type Decision struct {
	Action  Action
	Backend string
	// Reason is one line for logs and `stepseamctl explain`.
	Reason string
	// RetryAfter is when a refused caller should come back, or when a held call
	// is looked at again.
	RetryAfter time.Duration
	// Priority is handed to the back end with the call; higher runs first there.
	Priority int
	// Candidates are the best back ends weighed, best first, with their cost;
	// at most MaxCandidates of them.
	Candidates []Candidate
}

// Candidate is one back end that was weighed.
type Candidate struct {
	Backend string
	// Cost is the expected completion time in seconds; lower is better.
	Cost float64
	Note string
}

// Policy picks a back end for a call that is first in line. Implementations are
// pure and keep no state between calls.
type Policy interface {
	Name() string
	Choose(now time.Time, call Call, backends []Backend) Decision
}
