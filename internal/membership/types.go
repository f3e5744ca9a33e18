// Package membership implements failure detection and membership in the manner of SWIM:
// direct and indirect probes over UDP, suspicion, incarnations, and updates that are
// piggybacked on the probes. The cost per node is constant. State is the pure protocol;
// Runner connects it to a socket and the clock.
package membership

import (
	"stepseam.example/stepseam/internal/identity"
)

// Status is the status of a member.
type Status uint8

// The statuses of members. A leaving member still responds but takes no shards.
const (
	Alive Status = iota + 1
	Suspect
	Leaving
	Dead
)

// Member is a member as seen by this node.
type Member struct {
	Node   identity.Node
	Status Status
	// TableVersion is the version of the table in force at the member, which increases
	// within an incarnation. A routed node publishes in it the number of times that the
	// store has become unavailable or available to it, see coordinator.StoreUnreachable.
	TableVersion uint64
	// Load is published by the member: the number of shards that it owns, or the CPU
	// capacity of a routed node in millicores; 0 if unknown.
	Load uint32
}

// Reachable reports whether the member may be sent work: it is alive, or suspected and may
// refute that. A leaving member is not reachable.
func (m Member) Reachable() bool { return m.Status == Alive || m.Status == Suspect }

// View is the set of all members that are not dead, including this node, sorted by name.
// Version increases with each change of the set, a status or an incarnation.
type View struct {
	Self    identity.Reference
	Version uint64
	Members []Member
}

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}
