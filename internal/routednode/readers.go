package routednode

import (
	"sync/atomic"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/settings"
)

const (
	// frequentReaderCount is the number of nodes that read the configuration more often
	// than the others. Peers learn from them how fresh their own configuration is when the
	// store becomes unavailable.
	frequentReaderCount = 3
	// readsPerLease and frequentReadsPerLease are the numbers of reads in one lease on the
	// configuration, at an ordinary node and at a frequent reader. A confirmation is as old
	// as the read that gave it, and leaves that much less of the lease when the store
	// becomes unavailable. Each read is a billed call, so that only a few nodes read often.
	readsPerLease         = 4
	frequentReadsPerLease = 24
)

// frequentReader determines whether this node is one of the few that read the configuration
// often. It is safe for concurrent use.
type frequentReader struct {
	self     identity.NodeName
	selected atomic.Bool
}

// SetView selects the live members with the highest hashes, so that all nodes with the same
// view agree.
func (r *frequentReader) SetView(view membership.View) {
	own, higher, known := membership.Score(readerKey, r.self), 0, false
	for _, member := range view.Members {
		known = known || member.Node.Name == r.self
		if member.Status == membership.Alive && membership.Score(readerKey, member.Node.Name) > own {
			higher++
		}
	}
	r.selected.Store(known && higher < frequentReaderCount)
}

// readerKey is the hash key by which frequent readers are ranked.
const readerKey = "reader"

// wait returns how long a read of the configuration waits for a change.
func (r *frequentReader) wait(cfg settings.Routed) time.Duration {
	lease := cfg.Keys.Lease()
	switch {
	case lease == 0:
		return cfg.Watch.Wait
	case r.selected.Load():
		return min(cfg.Watch.Wait, lease/frequentReadsPerLease)
	}
	return min(cfg.Watch.Wait, lease/readsPerLease)
}
