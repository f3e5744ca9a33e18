package quota

import (
	"iter"
	"math/bits"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/identity"
)

// Partitions is the number of partitions of the tenants. The authority to grant a tenant's
// tokens is leased by partition.
const Partitions = 64

// Partition identifies a group of tenants, from 0 to Partitions-1.
type Partition uint8

// PartitionOf returns the partition of a tenant.
func PartitionOf(tenant string) Partition {
	return Partition(xxhash.Sum64String(tenant) % Partitions)
}

// PartitionSet is a set of partitions.
type PartitionSet uint64

// AllPartitions contains every partition.
const AllPartitions = ^PartitionSet(0)

// Has reports whether the set contains a partition.
func (s PartitionSet) Has(p Partition) bool { return s&(1<<p) != 0 }

// With returns the set with a partition added.
func (s PartitionSet) With(p Partition) PartitionSet { return s | 1<<p }

// Len returns the number of partitions in the set.
func (s PartitionSet) Len() int { return bits.OnesCount64(uint64(s)) }

// All returns the partitions of the set in order.
func (s PartitionSet) All() iter.Seq[Partition] {
	return func(yield func(Partition) bool) {
		for rest := uint64(s); rest != 0; rest &= rest - 1 {
			if !yield(Partition(bits.TrailingZeros64(rest))) {
				return
			}
		}
	}
}

const (
	// LeaseTTL is how long a lease is valid. The lessee counts it from when it sent its
	// request, the lessor from when it received it, so that the lessee stops first.
	LeaseTTL = 600 * time.Millisecond
	// LeaseCallTimeout is the maximum age of a request whose response the lessee accepts.
	LeaseCallTimeout = 200 * time.Millisecond
)

// Lessee identifies an allocator that leases shares.
type Lessee struct {
	Node identity.Reference
	// Address is the node's address for other nodes.
	Address netip.AddrPort
	ID      AllocatorID
}

// supersedes reports whether l proves that the process of other has ended: l has been bound
// to the same address since.
func (l Lessee) supersedes(other Lessee) bool {
	return l.Node.Name == other.Node.Name && l.Address.IsValid() && l.Address == other.Address && l.Node.Incarnation > other.Node.Incarnation
}

// Cession is a set of partitions whose leases a lessee has given up: those that it got by
// requests up to a sequence number.
type Cession struct {
	From       AllocatorID
	UpTo       uint64
	Partitions PartitionSet
}

// LeaseRequest requests the leases of a lessor's share of some partitions.
type LeaseRequest struct {
	Lessee Lessee
	// Sequence counts the requests of the lessee.
	Sequence uint64
	// Wanted are the partitions to lease. Held are those of which the lessee has a lease of
	// the same node that stays valid for LeaseCallTimeout at least.
	Wanted, Held PartitionSet
	// Ceded are leases that lessees have given up: earlier ones in favor of this one, or this
	// one before its process ends.
	Ceded []Cession
}

// Conflict is a set of partitions that another lessee has leased.
type Conflict struct {
	Partitions PartitionSet
	// Lessee is empty if the lessor does not know it.
	Lessee Lessee
	// Remaining is the longest time until these leases end.
	Remaining time.Duration
}

// LeaseResponse is the response to a LeaseRequest.
type LeaseResponse struct {
	Granted PartitionSet
	// Share is the lessor's fraction of each limit.
	Share     float64
	Conflicts []Conflict
}

// Lessor leases the share of one node to one allocator per partition at a time. It is not
// safe for concurrent use.
type Lessor struct {
	leases [Partitions]lease
}

// lease is the current or last lease of one partition.
type lease struct {
	lessee   Lessee
	sequence uint64
	expires  time.Duration
}

// NewLessor returns a lessor of a process that started at a given time. The leases of an
// earlier process of the same node may be valid for LeaseTTL from then on.
func NewLessor(startedAt time.Duration) *Lessor {
	result := &Lessor{}
	for p := range result.leases {
		result.leases[p].expires = startedAt + LeaseTTL
	}
	return result
}

// Lease responds to a request. share is the node's current fraction.
func (l *Lessor) Lease(request LeaseRequest, share float64, now time.Duration) LeaseResponse {
	response := LeaseResponse{Share: share}
	l.release(request.Ceded, now)
	if share <= 0 {
		return response
	}
	for p := range request.Wanted.All() {
		current := &l.leases[p]
		if now < current.expires && !request.entitled(p, *current) {
			response.addConflict(p, current.lessee, current.expires-now)
			continue
		}
		sequence := request.Sequence
		if current.lessee == request.Lessee {
			sequence = max(sequence, current.sequence) // requests may arrive out of order
		}
		*current = lease{lessee: request.Lessee, sequence: sequence, expires: now + LeaseTTL}
		response.Granted = response.Granted.With(p)
	}
	return response
}

// release ends the leases that have been given up.
func (l *Lessor) release(ceded []Cession, now time.Duration) {
	for _, cession := range ceded {
		for p := range cession.Partitions.All() {
			if current := &l.leases[p]; current.lessee.ID == cession.From && current.lessee != (Lessee{}) && current.sequence <= cession.UpTo {
				current.expires = min(current.expires, now)
			}
		}
	}
}

// entitled reports whether the lessee may take over an unexpired lease.
func (r LeaseRequest) entitled(p Partition, current lease) bool {
	if current.lessee == (Lessee{}) {
		return r.Held.Has(p)
	}
	return current.lessee.ID == r.Lessee.ID || r.Lessee.supersedes(current.lessee)
}

func (r *LeaseResponse) addConflict(p Partition, lessee Lessee, remaining time.Duration) {
	for i := range r.Conflicts {
		if c := &r.Conflicts[i]; c.Lessee == lessee {
			c.Partitions, c.Remaining = c.Partitions.With(p), max(c.Remaining, remaining)
			return
		}
	}
	r.Conflicts = append(r.Conflicts, Conflict{Partitions: PartitionSet(0).With(p), Lessee: lessee, Remaining: remaining})
}
