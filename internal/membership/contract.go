// Package membership tells each node which nodes live, with constant cost per
// node: UDP probing with indirect probes, suspicion, incarnations and updates
// that ride on the probes. State is pure; Runner puts it on a socket.
package membership

import (
	"stepseam.example/stepseam/internal/identity"
)

// Status is what is known of a member.
type Status uint8

// The statuses of members. A leaving member still answers but wants no shards.
const (
	Alive Status = iota + 1
	Suspect
	Leaving
	Dead
)

// Member is one node as this node sees it.
type Member struct {
	Node   identity.Node
	Status Status
	// TableVersion is the table version in force there; it rides on the probes. Within one
	// life it only rises. Of a routed node, it is how often the store has ceased or begun to
	// answer it, see homes.LacksStore.
	TableVersion uint64
	// Load is what the node tells of itself: the shards that a site's node owns, or the
	// processor of a routed node in thousandths of a core; 0 where it tells nothing.
	Load uint32
}

// Reachable tells whether a member takes work as far as is known: it lives, or is suspected
// and may refute that. One that leaves does not.
func (m Member) Reachable() bool { return m.Status == Alive || m.Status == Suspect }

// View is all members as this node sees them, sorted by name; it includes this
// node itself. Dead members are left out. Version rises with each change of the
// set, a status or an incarnation.
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
