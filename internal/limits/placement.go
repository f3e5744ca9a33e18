package limits

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
	"stepseam.example/stepseam/internal/quota"
	"stepseam.example/stepseam/internal/shares"
)

// failureTTL is how long a node that did not respond is passed over.
const failureTTL = time.Second

// placement ranks the holders of shares as allocators of each partition, by rendezvous
// hashing. The rank only suggests whom to ask; the leases decide who may grant. It is safe
// for concurrent use.
type placement struct {
	self identity.NodeName

	// mutex guards all fields below.
	mutex   sync.Mutex
	members []membership.Member
	holders []shares.Holder
	// ranked are the members that hold shares, or all members while no holders are known.
	ranked []membership.Member
	// allLeaving means that no ranked member is reachable.
	allLeaving bool
	// failedUntil holds the incarnations that did not respond recently.
	failedUntil map[identity.Reference]time.Duration
}

func newPlacement(self identity.NodeName) *placement {
	return &placement{self: self, failedUntil: map[identity.Reference]time.Duration{}}
}

func (p *placement) setView(view membership.View) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.members = slices.Clone(view.Members)
	p.rankLocked()
}

func (p *placement) setHolders(holders []shares.Holder) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.holders = slices.Clone(holders)
	p.rankLocked()
}

// rankLocked requires the mutex.
func (p *placement) rankLocked() {
	p.ranked = slices.Clone(p.members)
	if len(p.holders) > 0 {
		p.ranked = slices.DeleteFunc(p.ranked, func(m membership.Member) bool { return !shares.HolderOf(m.Node).IsAmong(p.holders) })
	}
	p.allLeaving = !slices.ContainsFunc(p.ranked, membership.Member.Reachable)
}

// eligible reports whether a member may be an allocator. Leaving ones still serve, so that
// they remain allocators until another one is reachable. It requires the mutex.
func (p *placement) eligible(member membership.Member) bool {
	return p.allLeaving || member.Reachable()
}

// rankKeys are the keys of the partitions for the rank.
var rankKeys = func() (keys [quota.Partitions]string) {
	for p := range keys {
		keys[p] = "limits/" + strconv.Itoa(p)
	}
	return keys
}()

// allocator returns the node that should allocate a partition; false if none is known.
// bypassed reports whether a node that ranks higher is passed over because it did not
// respond. If none has responded recently, the highest one is asked again.
func (p *placement) allocator(partition quota.Partition, now time.Duration) (node identity.Node, bypassed, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	first, found := membership.Highest(rankKeys[partition], p.ranked, p.eligible)
	if !found || now >= p.failedUntil[first.Reference()] {
		return first, false, found
	}
	next, found := membership.Highest(rankKeys[partition], p.ranked, func(member membership.Member) bool {
		return p.eligible(member) && now >= p.failedUntil[member.Node.Reference()]
	})
	if !found {
		return first, false, true
	}
	return next, true, true
}

// ranksFirst reports whether this node should allocate a partition as far as it knows. No
// node does before the holders are known.
func (p *placement) ranksFirst(partition quota.Partition) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.holders) == 0 {
		return false
	}
	first, found := membership.Highest(rankKeys[partition], p.ranked, p.eligible)
	return found && first.Name == p.self
}

// outranks reports whether one node ranks higher than another one.
func outranks(partition quota.Partition, node, other identity.NodeName) bool {
	return membership.Score(rankKeys[partition], node) > membership.Score(rankKeys[partition], other)
}

// lessors returns the holders of shares that are members, without this node.
func (p *placement) lessors() []identity.Node {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var nodes []identity.Node
	if len(p.holders) == 0 {
		return nil
	}
	for _, member := range p.ranked {
		if member.Node.Name != p.self {
			nodes = append(nodes, member.Node)
		}
	}
	return nodes
}

// member returns a member by its name.
func (p *placement) member(name identity.NodeName) (identity.Node, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, member := range p.members {
		if member.Node.Name == name {
			return member.Node, true
		}
	}
	return identity.Node{}, false
}

// isReplaced reports whether a later process of a node's name is a member. Others reach that
// one under the name.
func (p *placement) isReplaced(node identity.Reference) bool {
	present, found := p.member(node.Name)
	return found && present.Incarnation > node.Incarnation
}

// recordFailure records that a node did not respond.
func (p *placement) recordFailure(node identity.Node, now time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for reference, until := range p.failedUntil {
		if now >= until {
			delete(p.failedUntil, reference)
		}
	}
	p.failedUntil[node.Reference()] = now + failureTTL
}

// recordResponse records that a node responded.
func (p *placement) recordResponse(node identity.Node) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.failedUntil, node.Reference())
}
