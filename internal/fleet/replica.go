package fleet

import (
	"net/netip"
	"strconv"
	"time"
)

// State is the state of a replica.
type State string

// The states of a replica.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
	// StateLapsed is the state of a replica whose entry was removed without draining first.
	// It has stopped, or could not write to the store.
	StateLapsed State = "lapsed"
)

// Replica is one incarnation of a server of a service, as published by itself.
type Replica struct {
	// Instance is the key of its entry. A replica may restart with the same instance.
	Instance string
	// StartedAtMs is the start time of this incarnation by the replica's own clock, in Unix
	// milliseconds; 0 if the replica does not publish it, in which case each start has a
	// new instance.
	StartedAtMs int64
	Service     string
	// Version is the version of the replica's software; empty if it publishes none.
	// VersionUnknown is set if the entry came from a node of a build that does not pass the
	// version on.
	Version        string
	VersionUnknown bool
	Address        netip.AddrPort
	Zone           string
	Slots          int
	State          State
	// Sequence increases with each write of an incarnation.
	Sequence uint64
	// ColdRemaining is how long the replica remains cold from the write of the entry on; 0
	// if it is warm.
	ColdRemaining time.Duration
	// incarnationID caches the result of IncarnationID.
	incarnationID string
}

// IncarnationID identifies this incarnation of the replica. Data about an earlier one, such
// as its cached prompts, has a different ID.
func (r *Replica) IncarnationID() string {
	if r.StartedAtMs == 0 {
		return r.Instance
	}
	if r.incarnationID != "" {
		return r.incarnationID
	}
	return r.Instance + "@" + strconv.FormatInt(r.StartedAtMs, 36)
}

// Change is a new entry of a replica, or its removal if Replica is nil.
type Change struct {
	Instance string
	Replica  *Replica
	// PreviousIncarnation is the ID of the incarnation that the change ends, if any.
	PreviousIncarnation string
	// Unreadable means that the entry cannot be decoded. The replica is removed without a
	// grace period. Replica is nil then.
	Unreadable bool
	// ColdOnly means that only ColdRemaining has changed.
	ColdOnly bool
}
