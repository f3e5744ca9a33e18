package limits

import (
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// lostTTL is how long a node that disappeared without leaving still counts in the
	// division of limits, since it may be partitioned and still serve requests. Afterwards
	// the remaining nodes divide the limits among themselves.
	lostTTL = 20 * time.Second
	// refusedTTL is how long a node whose machine refuses connections counts as dead.
	refusedTTL = time.Second
)

// placement maps tenants to their allocators by rendezvous hashing over the reachable
// members. It is safe for concurrent use.
type placement struct {
	self identity.NodeName

	// mutex guards all fields below.
	mutex   sync.Mutex
	members []membership.Member
	// lost holds the members that disappeared without leaving, and since when.
	lost map[identity.NodeName]time.Duration
	// refusedUntil holds the incarnations that count as dead because their machine refused
	// a connection, which rules out a network partition.
	refusedUntil map[identity.Reference]time.Duration
	// seen holds the incarnations that have ever been members. reappeared holds those that
	// were removed and came back with the last change of this kind.
	seen, reappeared map[identity.Reference]bool
}

func newPlacement(self identity.NodeName) *placement {
	return &placement{
		self: self, lost: map[identity.NodeName]time.Duration{}, refusedUntil: map[identity.Reference]time.Duration{},
		seen: map[identity.Reference]bool{}, reappeared: map[identity.Reference]bool{},
	}
}

// setView sets the members and reports whether an incarnation has reappeared, which means
// that it was alive in the meantime.
func (p *placement) setView(view membership.View, now time.Duration) (reappeared bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	previous := map[identity.Reference]membership.Status{}
	for _, member := range p.members {
		previous[member.Node.Reference()] = member.Status
	}
	for _, member := range view.Members {
		reference := member.Node.Reference()
		if _, known := previous[reference]; !known && p.seen[reference] {
			if !reappeared {
				clear(p.reappeared)
			}
			reappeared, p.reappeared[reference] = true, true
		}
		p.seen[reference] = true
		delete(previous, reference)
		delete(p.lost, member.Node.Name)
	}
	p.limitSeen()
	for departed, status := range previous {
		if _, refused := p.refusedUntil[departed]; status != membership.Leaving && !refused && !replaced(departed, view.Members) {
			p.lost[departed.Name] = now
		}
	}
	p.members = slices.Clone(view.Members)
	return reappeared
}

// maxSeen bounds the number of remembered incarnations.
const maxSeen = 4096

func (p *placement) limitSeen() {
	if len(p.seen) > maxSeen {
		clear(p.seen)
	}
}

// replaced reports whether a member has a later incarnation among members.
func replaced(departed identity.Reference, members []membership.Member) bool {
	return slices.ContainsFunc(members, func(member membership.Member) bool { return member.Node.Name == departed.Name })
}

// recordRefusal records that a node's machine refuses connections.
func (p *placement) recordRefusal(node identity.Node, now time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refusedUntil[node.Reference()] = now + refusedTTL
}

// allocator returns the tenant's allocator; empty if none is known.
func (p *placement) allocator(tenant string, now time.Duration) identity.Node {
	node, _ := p.highestRanked(tenant, now, membership.Member.Reachable)
	return node
}

// previousAllocators returns the nodes that may have been the tenant's allocator until now:
// the first in rank of the other nodes, including leaving ones, and the first in rank of
// the reappeared ones, which may have been the allocator on their side of a partition.
func (p *placement) previousAllocators(tenant string, now time.Duration) []identity.Node {
	others := func(member membership.Member) bool { return member.Node.Name != p.self }
	reappeared := func(member membership.Member) bool { return p.reappeared[member.Node.Reference()] }
	var found []identity.Node
	for _, eligible := range []func(membership.Member) bool{others, reappeared} {
		if node, known := p.highestRanked(tenant, now, eligible); known && !slices.Contains(found, node) {
			found = append(found, node)
		}
	}
	return found
}

// highestRanked returns the first in rank of the eligible members whose machines have not
// refused a connection recently. eligible is called with the mutex held.
func (p *placement) highestRanked(tenant string, now time.Duration, eligible func(membership.Member) bool) (identity.Node, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return membership.Highest(tenant, p.members, func(member membership.Member) bool {
		return eligible(member) && now >= p.refusedUntil[member.Node.Reference()]
	})
}

// isAlone reports whether no other members are known.
func (p *placement) isAlone() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !slices.ContainsFunc(p.members, func(member membership.Member) bool { return member.Node.Name != p.self })
}

// counts returns the number of alive nodes and the number of nodes that may be serving
// requests, which includes those lost recently.
func (p *placement) counts(now time.Duration) (alive, total int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, since := range p.lost {
		if now-since > lostTTL {
			delete(p.lost, name)
		}
	}
	for reference, until := range p.refusedUntil {
		if now >= until {
			delete(p.refusedUntil, reference)
		}
	}
	for _, member := range p.members {
		total++
		if member.Status == membership.Alive || member.Status == membership.Leaving {
			alive++
		}
	}
	return max(alive, 1), max(total, 1) + len(p.lost)
}
