// Package operator is a node's face for operators: the HTTP endpoints behind
// stepseamctl, metrics, and the health and readiness checks. What other nodes
// know is asked over the peer protocol, so any node answers for the site.
//
// Its types are the JSON documents of that interface.
package operator

import (
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/table"
)

// Version is one publication of the table.
type Version struct {
	// Version is the accepted version; of a publication that lost, the version
	// that won on its base.
	Version   table.Version `json:"version"`
	Base      table.Version `json:"base"`
	ID        string        `json:"id"`
	Author    string        `json:"author"`
	Note      string        `json:"note"`
	Published time.Time     `json:"published"`
	Status    table.Status  `json:"status"`
	// Reason says why a table was refused.
	Reason string `json:"reason,omitempty"`
}

// Table is one accepted version with its text.
type Table struct {
	Version
	// InForce is the version in force at the node that answers.
	InForce table.Version `json:"in_force"`
	// Known is the newest accepted version that the node knows of.
	Known table.Version `json:"known"`
	CSV   string        `json:"csv"`
}

// Publication asks to publish a table.
type Publication struct {
	// ID is unique to the publication. A client that repeats one, after an answer
	// was lost, sends the same id and sets Repeated.
	ID       string        `json:"id" minLength:"1" maxLength:"128"`
	Repeated bool          `json:"repeated,omitempty"`
	Base     table.Version `json:"base" doc:"version that the table was made from; 0 for the first"`
	Author   string        `json:"author" minLength:"1" maxLength:"128"`
	Note     string        `json:"note,omitempty" maxLength:"1024"`
	CSV      string        `json:"csv" minLength:"1"`
}

// CodeTableUnknown is the code of a publication whose outcome is not known yet.
const CodeTableUnknown api.Code = "table_outcome_unknown"

// CodeUnknownVersion is the code of a table version that is not remembered.
const CodeUnknownVersion api.Code = "unknown_version"

// CodeUnknownNode is the code of a node that is not a member.
const CodeUnknownNode api.Code = "unknown_node"

// CodeNoExplanation is the code of a call that no node remembers deciding on.
const CodeNoExplanation api.Code = "no_explanation"

// NodeStatus is one node as it describes itself.
type NodeStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"`
	// Membership is alive, suspect or leaving, as the answering node sees it.
	Membership string `json:"membership"`
	// Reached tells that the node answered; else the rest is what membership
	// last heard.
	Reached bool `json:"reached"`
	Ready   bool `json:"ready"`
	// NotReady lists why the node is not ready.
	NotReady     []string      `json:"not_ready,omitempty"`
	Draining     bool          `json:"draining"`
	TableInForce table.Version `json:"table_in_force"`
	TableKnown   table.Version `json:"table_known"`
	// LogFailure is why the node cannot follow the table stream; empty if it can.
	LogFailure string `json:"log_failure,omitempty"`
	Shards     int    `json:"shards"`
}

// BackendStatus is one back end as the answering node sees it.
type BackendStatus struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State is healthy, probation, ejected or leaving.
	State               string   `json:"state"`
	Running             int      `json:"running"`
	Waiting             int      `json:"waiting"`
	CacheUsedTokens     int      `json:"cache_used_tokens"`
	CacheCapacityTokens int      `json:"cache_capacity_tokens"`
	Models              []string `json:"models,omitempty"`
	Adapters            []string `json:"adapters,omitempty"`
	// ReportAgeSeconds is the age of the load report; below 0 there is none.
	ReportAgeSeconds float64 `json:"report_age_seconds"`
}

// SiteStatus is the site as the answering node sees it.
type SiteStatus struct {
	// Node is the node that answers.
	Node     string          `json:"node"`
	AsOf     time.Time       `json:"as_of"`
	Nodes    []NodeStatus    `json:"nodes"`
	Backends []BackendStatus `json:"backends"`
	// ShardCount is the site's number of shards, ShardsOwned how many the reached
	// nodes serve.
	ShardCount  int `json:"shard_count"`
	ShardsOwned int `json:"shards_owned"`
}

// ProgramList is a selection of the programs of the site.
type ProgramList struct {
	Programs []api.Program `json:"programs"`
	// Truncated tells that there are more than the limit.
	Truncated bool `json:"truncated"`
	// Unreached names nodes whose programs are missing.
	Unreached []string `json:"unreached,omitempty"`
}

// Explanation is why a call went where it went.
type Explanation struct {
	Program  string    `json:"program"`
	Branch   string    `json:"branch"`
	Sequence uint64    `json:"sequence"`
	Node     string    `json:"node"`
	At       time.Time `json:"at"`
	Attempt  int       `json:"attempt"`
	// Action is run, hold or refuse.
	Action            string      `json:"action"`
	Backend           string      `json:"backend,omitempty"`
	Reason            string      `json:"reason"`
	RetryAfterSeconds float64     `json:"retry_after_seconds,omitempty"`
	Candidates        []Candidate `json:"candidates"`
}

// Candidate is one back end that was weighed.
type Candidate struct {
	Backend string `json:"backend"`
	// CostSeconds is the expected time to completion.
	CostSeconds float64 `json:"cost_seconds"`
	Note        string  `json:"note,omitempty"`
}

// DrainRequest names the node to stop; empty is the one that is asked.
type DrainRequest struct {
	Node string `json:"node,omitempty" maxLength:"64"`
}

// DrainStarted confirms that a node begins its planned stop.
type DrainStarted struct {
	Node string `json:"node"`
}

// Readiness is the answer of /readyz.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}
