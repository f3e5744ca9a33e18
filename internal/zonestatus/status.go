// Package zonestatus defines the status of zones and cold replicas that a node serves to
// operators.
package zonestatus

import "stepseam.example/stepseam/internal/coldstart"

// Status is one node's view of the zones.
type Status struct {
	Node  string `json:"node"`
	Zones []Zone `json:"zones"`
	// Cold lists the replicas whose request rate is limited because they are cold.
	Cold []coldstart.Status `json:"cold"`
}

// Zone is a zone that has replicas or is evacuated.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Replicas is the number of ready replicas, whether or not the zone is evacuated; Slots
	// is the sum of their slots.
	Replicas int `json:"replicas"`
	Slots    int `json:"slots"`
	// EvacuatedMs is the time since the zone's evacuation; nil if it is not evacuated.
	EvacuatedMs *int64 `json:"evacuated_ms,omitempty"`
	// LastSendMs is the time since this node's last request to the zone; nil if there was
	// none.
	LastSendMs *int64 `json:"last_send_ms,omitempty"`
}
