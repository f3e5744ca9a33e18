package routednode

import (
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/settings"
)

const (
	// readerCount is how many nodes of a site read the configuration often. The others
	// learn from them how new theirs is when the store goes away.
	readerCount = 3
	// readsInLease is how many reads of the configuration fit into the lease on it, at a
	// usual node and at a reader. What a read confirms is as old as the read when that
	// ends, and so much less of the lease is left when the store goes away: with usual
	// reads alone, requests with keys are refused a second sooner. Each read is a priced
	// call, so that only a few nodes read as often as readers.
	readsInLease       = 4
	readerReadsInLease = 24
)

// readers tells whether this node is one of the few that read the configuration often.
// It is safe for concurrent use.
type readers struct {
	self   identity.NodeName
	chosen atomic.Bool
}

// SetView chooses the living members of the highest hashes, so that nodes agree.
func (r *readers) SetView(view membership.View) {
	own, higher, known := membership.Score(readerKey, r.self), 0, false
	for _, member := range view.Members {
		known = known || member.Node.Name == r.self
		if member.Status == membership.Alive && membership.Score(readerKey, member.Node.Name) > own {
			higher++
		}
	}
	r.chosen.Store(known && higher < readerCount)
}

// readerKey is what nodes are ranked for as readers.
const readerKey = "reader"

// wait returns how long a read of the configuration waits for a change.
func (r *readers) wait(chosen settings.Routed) time.Duration {
	lease := chosen.Keys.Lease()
	switch {
	case lease == 0:
		return chosen.Watch.Wait
	case r.chosen.Load():
		return min(chosen.Watch.Wait, lease/readerReadsInLease)
	}
	return min(chosen.Watch.Wait, lease/readsInLease)
}
