// Package nodestatus describes what a node of a platform tells operators of itself: whom it
// knows, what it does for others, and how old what it knows of the store is.
package nodestatus

import "stepseam.example/stepseam/internal/distribution"

// Status is what one node believes.
type Status struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Members is how many nodes it knows to live, itself among them.
	Members int `json:"members"`
	// Millicores is its processor in thousandths of a core, by its settings.
	Millicores uint32 `json:"thousandths"`
	// Partitions are those of the ledger that it keeps.
	Partitions []int `json:"partitions"`
	// ReplicasKept is on how many replicas other nodes report to it.
	ReplicasKept int `json:"replicas_kept"`
	// Version is the configuration in force; 0 if there is none.
	Version uint64 `json:"version"`
	// Replicas is how many it knows.
	Replicas int `json:"replicas"`
	// Topics are what it knows of the store's topics, and from whom.
	Topics []distribution.TopicStatus `json:"topics"`
}
