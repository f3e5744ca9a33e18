package fleet

import (
	"net/netip"
	"strconv"
	"time"
)

// State tells whether a replica takes new work.
type State string

// The states of a replica.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
	// StateLapsed is that of a replica whose entry is gone though it never said that
	// it drains: it may have left, or it could not write to the store.
	StateLapsed State = "lapsed"
)

// Replica is one life of a server of a service, as it describes itself.
type Replica struct {
	// Instance is the name that it keeps its entry under. A replica may start again
	// under the same one.
	Instance string
	// StartedAtMs is when this life started by the replica's own clock, in Unix milliseconds; 0
	// where replicas don't tell, whose instances are new with each start.
	StartedAtMs int64
	Service     string
	Address     netip.AddrPort
	Zone        string
	Slots       int
	State       State
	// Sequence rises with each write of one life.
	Sequence uint64
	// ColdRemaining is for how long it stayed slow from when it wrote the entry on; 0 if it
	// was warm.
	ColdRemaining time.Duration
	// life is what Life returns, where the directory has computed it.
	life string
}

// IncarnationID names this life of the replica: whatever is known of an earlier one, such as the
// prompts that it held, is kept under another name.
func (r *Replica) IncarnationID() string {
	if r.StartedAtMs == 0 {
		return r.Instance
	}
	if r.life != "" {
		return r.life
	}
	return r.Instance + "@" + strconv.FormatInt(r.StartedAtMs, 36)
}

// Change is a new entry of a replica, or its removal where Replica is nil.
type Change struct {
	Instance string
	Replica  *Replica
	// PreviousIncarnation is the life that ends with the change; empty if none does.
	PreviousIncarnation string
	// Unreadable tells that the entry names no replica to use, so that the one that was
	// known under it is dropped at once. Replica is nil then.
	Unreadable bool
	// ColdOnly tells that nothing is new but for how long the replica stays cold.
	ColdOnly bool
}
