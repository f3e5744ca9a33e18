// Package scheduling decides which calls to run, hold or refuse, in which
// order and on which back end, and which cached prefixes to evict. It has no
// clock and no side effects: functions map a snapshot and the current time to a
// decision with its reason, so that the daemon and simulations run the same code.
package scheduling

import (
	"time"

	"stepseam.example/stepseam/internal/identity"
)

// Health is the state of a back end in outlier ejection.
type Health uint8

// The health states.
const (
	Healthy Health = iota
	// Probation admits one trial call at a time after an ejection.
	Probation
	Ejected
)

// Backend is one back end as this node knows it at the time of a decision.
type Backend struct {
	Name    string
	Zone    identity.Zone
	Service string
	Health  Health
	Leaving bool
	// ServesModel is true if the call's model and adapter are loaded.
	ServesModel bool
	// ReportedRunning, ReportedWaiting and QueuedPrefillTokens are from the last
	// load report, which may be stale; ReportAge is its age.
	ReportedRunning     int
	ReportedWaiting     int
	QueuedPrefillTokens int
	ReportAge           time.Duration
	// OwnInFlight counts this node's calls there that are newer than the report,
	// OwnPrefillTokens their uncached prompt tokens.
	OwnInFlight      int
	OwnPrefillTokens int
	// CachedTokens is the expected cached prefix of this call there.
	CachedTokens int
	// CacheCapacityTokens and CacheUsedTokens are from the last load report.
	CacheCapacityTokens int
	CacheUsedTokens     int
	// PrefillRate and DecodeRate are the observed tokens per second, 0 if unknown.
	PrefillRate float64
	DecodeRate  float64
	// Latency is the one-way latency from this node.
	Latency time.Duration
}

// Call is one call to be scheduled.
type Call struct {
	ID     identity.CallID
	Tenant string
	Class  string
	// Model names the model; empty for an application call, whose Service is set.
	Model        string
	Service      string
	PromptTokens int
	MaxTokens    int
	// Arrived is when this node received the call; Deadline is when its caller
	// gives up, the zero time if it has none.
	Arrived  time.Time
	Deadline time.Time
	// ProgramStarted, ServiceSoFar and CallsSoFar are the program's start, the
	// time that back ends have spent on it, and the number of its earlier calls.
	ProgramStarted time.Time
	ServiceSoFar   time.Duration
	CallsSoFar     int
	// Weight and Priority are from the class's row of the table.
	Weight   float64
	Priority int
	// Attempt counts from 0; Excluded lists the back ends that failed this call.
	Attempt  int
	Excluded []string
	// LastBackend is where the branch's previous call ran.
	LastBackend string
	// DecisionNumber counts the node's decisions. Only RoundRobin reads it, which
	// makes the policy stateless.
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

// Decision is the outcome of scheduling one call.
type Decision struct {
	Action  Action
	Backend string
	// Reason is one line for logs and `stepseamctl explain`.
	Reason string
	// RetryAfter is when a refused caller should retry, or when a held call is
	// scheduled again.
	RetryAfter time.Duration
	// Priority is sent to the back end with the call; higher runs first there.
	Priority int
	// Candidates lists up to MaxCandidates eligible back ends with their cost,
	// cheapest first.
	Candidates []Candidate
}

// Candidate is one back end that was considered.
type Candidate struct {
	Backend string
	// Cost is the expected completion time in seconds; lower is better.
	Cost float64
	Note string
}

// Policy chooses a back end for a call. Implementations are stateless and have
// no side effects.
type Policy interface {
	Name() string
	Choose(now time.Time, call Call, backends []Backend) Decision
}
