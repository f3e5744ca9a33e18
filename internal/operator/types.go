// Package operator serves a node's API for operators: the HTTP endpoints of stepseamctl,
// metrics, and the health and readiness checks. A node queries the others over the peer
// protocol, so any node serves the whole site.
//
// The exported types are the JSON documents of the API.
package operator

import (
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/table"
)

// Version is one publication of the table.
type Version struct {
	// Version is the accepted version. For a publication that lost a conflict, it is the
	// version that was accepted on the same base.
	Version   table.Version `json:"version"`
	Base      table.Version `json:"base"`
	ID        string        `json:"id"`
	Author    string        `json:"author"`
	Note      string        `json:"note"`
	Published time.Time     `json:"published"`
	Status    table.Status  `json:"status"`
	// Reason is why the table was rejected.
	Reason string `json:"reason,omitempty"`
}

// Table is an accepted version with its content.
type Table struct {
	Version
	// InForce is the version in force at the responding node.
	InForce table.Version `json:"in_force"`
	// Known is the newest accepted version that the node has seen.
	Known table.Version `json:"known"`
	CSV   string        `json:"csv"`
}

// Publication is a request to publish a table.
type Publication struct {
	// ID is unique to the publication. A client that retries after a lost response sends
	// the same id and sets Repeated.
	ID       string        `json:"id" minLength:"1" maxLength:"128"`
	Repeated bool          `json:"repeated,omitempty"`
	Base     table.Version `json:"base" doc:"version that the table was made from; 0 for the first"`
	Author   string        `json:"author" minLength:"1" maxLength:"128"`
	Note     string        `json:"note,omitempty" maxLength:"1024"`
	CSV      string        `json:"csv" minLength:"1"`
}

// CodeTableUnknown is the code for a publication whose outcome is unknown.
const CodeTableUnknown api.Code = "table_outcome_unknown"

// CodeUnknownVersion is the code for a table version that is not retained.
const CodeUnknownVersion api.Code = "unknown_version"

// CodeUnknownNode is the code for a node that is not a member.
const CodeUnknownNode api.Code = "unknown_node"

// CodeNoExplanation is the code for a call without a recorded decision on any node.
const CodeNoExplanation api.Code = "no_explanation"

// NodeStatus is the status of one node.
type NodeStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Incarnation uint64 `json:"incarnation"`
	// Membership is alive, suspect or leaving, as seen by the responding node.
	Membership string `json:"membership"`
	// Reached is set if the node responded. Otherwise the other fields are the last state
	// known from membership.
	Reached bool `json:"reached"`
	Ready   bool `json:"ready"`
	// NotReady lists the reasons why the node is not ready.
	NotReady     []string      `json:"not_ready,omitempty"`
	Draining     bool          `json:"draining"`
	TableInForce table.Version `json:"table_in_force"`
	TableKnown   table.Version `json:"table_known"`
	// LogFailure is the error of reading the table stream, or empty.
	LogFailure string `json:"log_failure,omitempty"`
	Shards     int    `json:"shards"`
}

// BackendStatus is the status of one back end as seen by the responding node.
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
	// ReportAgeSeconds is the age of the load report, or negative if there is none.
	ReportAgeSeconds float64 `json:"report_age_seconds"`
}

// SiteStatus is the status of the site as seen by the responding node.
type SiteStatus struct {
	// Node is the responding node.
	Node     string          `json:"node"`
	AsOf     time.Time       `json:"as_of"`
	Nodes    []NodeStatus    `json:"nodes"`
	Backends []BackendStatus `json:"backends"`
	// ShardCount is the number of shards of the site, and ShardsOwned the number owned by
	// the nodes that responded.
	ShardCount  int `json:"shard_count"`
	ShardsOwned int `json:"shards_owned"`
}

// ProgramList is a list of programs of the site.
type ProgramList struct {
	Programs []api.Program `json:"programs"`
	// Truncated is set if there are more programs than the limit.
	Truncated bool `json:"truncated"`
	// Unreached lists the nodes that did not respond; their programs are missing.
	Unreached []string `json:"unreached,omitempty"`
}

// Explanation is the last scheduling decision on a call.
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

// Candidate is one back end that the decision considered.
type Candidate struct {
	Backend string `json:"backend"`
	// CostSeconds is the estimated time to completion.
	CostSeconds float64 `json:"cost_seconds"`
	Note        string  `json:"note,omitempty"`
}

// DrainRequest names the node to stop. An empty name means the node that gets the request.
type DrainRequest struct {
	Node string `json:"node,omitempty" maxLength:"64"`
}

// DrainStarted confirms that a node starts its planned stop.
type DrainStarted struct {
	Node string `json:"node"`
}

// Readiness is the response of /readyz.
type Readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}
