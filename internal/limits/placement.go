package limits

import (
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// missedFor is how long a node that is gone without a word still counts when limits
	// are shared: it may live behind a cut and serve. After that the nodes that are left
	// have all of the limits.
	missedFor = 20 * time.Second
	// refusedFor is how long a node whose machine refuses connections counts as dead.
	refusedFor = time.Second
)

// placement tells which node allots a tenant's limit: of the members that live, the one
// of the highest hash together with the tenant (rendezvous hashing). It is safe for
// concurrent use.
type placement struct {
	self identity.NodeName

	// mutex guards all below.
	mutex   sync.Mutex
	members []membership.Member
	// missed holds the members that died without a word, and since when.
	missed map[identity.NodeName]time.Duration
	// refused holds until when lives count as dead since their machine refused a
	// connection, which a machine behind a cut does not.
	refused map[identity.Reference]time.Duration
	// seen holds the lives that were members; returned those of them that came back with
	// the last change.
	seen, returned map[identity.Reference]bool
}

func newPlacement(self identity.NodeName) *placement {
	return &placement{
		self: self, missed: map[identity.NodeName]time.Duration{}, refused: map[identity.Reference]time.Duration{},
		seen: map[identity.Reference]bool{}, returned: map[identity.Reference]bool{},
	}
}

// setView takes the members that live and tells whether some have come back that were not
// seen for a while, and lived.
func (p *placement) setView(view membership.View, now time.Duration) (returned bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := map[identity.Reference]membership.Status{}
	for _, member := range p.members {
		before[member.Node.Reference()] = member.Status
	}
	for _, member := range view.Members {
		life := member.Node.Reference()
		if _, known := before[life]; !known && p.seen[life] {
			if !returned {
				clear(p.returned)
			}
			returned, p.returned[life] = true, true
		}
		p.seen[life] = true
		delete(before, life)
		delete(p.missed, member.Node.Name)
	}
	p.forgetSeen()
	for gone, status := range before {
		if _, refused := p.refused[gone]; status != membership.Leaving && !refused && !replaced(gone, view.Members) {
			p.missed[gone.Name] = now
		}
	}
	p.members = slices.Clone(view.Members)
	return returned
}

// mostSeen bounds how many lives are remembered.
const mostSeen = 4096

func (p *placement) forgetSeen() {
	if len(p.seen) > mostSeen {
		clear(p.seen)
	}
}

// replaced tells whether a member's name lives on in another life.
func replaced(gone identity.Reference, members []membership.Member) bool {
	return slices.ContainsFunc(members, func(member membership.Member) bool { return member.Node.Name == gone.Name })
}

// refuse notes that a node's machine refuses connections.
func (p *placement) refuse(node identity.Node, now time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.refused[node.Reference()] = now + refusedFor
}

// allocator returns the node that allots a tenant; empty where none is known.
func (p *placement) allocator(tenant string, now time.Duration) identity.Node {
	node, _ := p.highest(tenant, now, membership.Member.Reachable)
	return node
}

// before returns the nodes that may have allotted a tenant until now: the first of the
// others, those that leave among them, and the first of those that were not seen for a
// while and lived, which may have allotted it on their side of a cut.
func (p *placement) before(tenant string, now time.Duration) []identity.Node {
	others := func(member membership.Member) bool { return member.Node.Name != p.self }
	returned := func(member membership.Member) bool { return p.returned[member.Node.Reference()] }
	var found []identity.Node
	for _, fits := range []func(membership.Member) bool{others, returned} {
		if node, known := p.highest(tenant, now, fits); known && !slices.Contains(found, node) {
			found = append(found, node)
		}
	}
	return found
}

// highest returns the first in rank of the members that fit and whose machines have not
// refused a connection lately. fits is called with the mutex held.
func (p *placement) highest(tenant string, now time.Duration, fits func(membership.Member) bool) (identity.Node, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return membership.Highest(tenant, p.members, func(member membership.Member) bool {
		return fits(member) && now >= p.refused[member.Node.Reference()]
	})
}

// alone tells whether no other member is known.
func (p *placement) alone() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !slices.ContainsFunc(p.members, func(member membership.Member) bool { return member.Node.Name != p.self })
}

// counts returns how many nodes live and how many may serve, those that died without a
// word lately among them.
func (p *placement) counts(now time.Duration) (live, all int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, since := range p.missed {
		if now-since > missedFor {
			delete(p.missed, name)
		}
	}
	for reference, until := range p.refused {
		if now >= until {
			delete(p.refused, reference)
		}
	}
	for _, member := range p.members {
		all++
		if member.Status == membership.Alive || member.Status == membership.Leaving {
			live++
		}
	}
	return max(live, 1), max(all, 1) + len(p.missed)
}
