// Package nodestatus defines the status that a node of a platform serves to operators: its
// members, its duties and the age of its topics.
package nodestatus

import "stepseam.example/stepseam/internal/distribution"

// Status is one node's view of itself and its site.
type Status struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Members is the number of known live nodes, including this one.
	Members int `json:"members"`
	// Millicores is the node's configured processor capacity in thousandths of a core.
	Millicores uint32 `json:"thousandths"`
	// Partitions are the ledger partitions that the node coordinates.
	Partitions []int `json:"partitions"`
	// ReplicasKept is the number of replicas that this node aggregates reports on.
	ReplicasKept int `json:"replicas_kept"`
	// Version is the current configuration version; 0 if there is none.
	Version uint64 `json:"version"`
	// Replicas is the number of known replicas.
	Replicas int `json:"replicas"`
	// Topics is the status of the distributed topics.
	Topics []distribution.TopicStatus `json:"topics"`
}
