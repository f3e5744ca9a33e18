package journal

import (
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// reach remembers which nodes have not answered renewals for a while although the
// members' view counts them as live: the link between the two may be cut.
type reach struct {
	mutex   sync.Mutex
	failing map[identity.Reference]time.Time
	// version rises with each change of failing.
	version uint64
	// seen holds when each live life of a node was first seen in the members' view.
	seen map[identity.Reference]time.Time
}

func newReach() *reach {
	return &reach{failing: map[identity.Reference]time.Time{}, seen: map[identity.Reference]time.Time{}}
}

// see takes note of the lives that view shows.
func (r *reach) see(view membership.View) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen := make(map[identity.Reference]time.Time, len(view.Members))
	for _, member := range view.Members {
		reference := member.Node.Reference()
		since, known := r.seen[reference]
		if !known {
			since = time.Now()
		}
		seen[reference] = since
	}
	r.seen = seen
}

// replaced tells whether a later life of node has been seen for at least patience.
func (r *reach) replaced(node identity.Reference, patience time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for reference, since := range r.seen {
		if reference.Name == node.Name && reference.Incarnation > node.Incarnation && time.Since(since) >= patience {
			return true
		}
	}
	return false
}

func (r *reach) note(node identity.Reference, answered bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, known := r.failing[node]
	if known != answered {
		return
	}
	r.version++
	if answered {
		delete(r.failing, node)
		return
	}
	r.failing[node] = time.Now()
}

// cutOff returns the nodes that have failed for at least patience.
func (r *reach) cutOff(patience time.Duration) (nodes map[identity.Reference]bool, version uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for node, since := range r.failing {
		if time.Since(since) < patience {
			continue
		}
		if nodes == nil {
			nodes = map[identity.Reference]bool{}
		}
		nodes[node] = true
	}
	return nodes, r.version
}

// fullSite is how many live nodes give every shard three replicas apart from its
// owner.
const fullSite = 4

// reachable returns view without the members that this node cannot reach, as long
// as enough others are left: a set of replicas never shrinks for a cut link.
func (m *Manager) reachable(view membership.View) membership.View {
	nodes, version := m.reach.cutOff(m.config.ReplaceDelay)
	if len(nodes) == 0 {
		return view
	}
	var members []membership.Member
	alive := 0
	for _, member := range view.Members {
		if nodes[member.Node.Reference()] {
			continue
		}
		members = append(members, member)
		if member.Status == membership.Alive {
			alive++
		}
	}
	if alive < fullSite {
		return view
	}
	// Those who remember placements by version must tell this view from the others;
	// versions of views are small counts.
	view.Members, view.Version = members, view.Version^(version*reachStep)|reachVersion
	return view
}

const (
	// reachVersion marks the version of a view without unreachable members.
	reachVersion = 1 << 62
	// reachStep keeps the count of changes clear of the views' own versions.
	reachStep = 1 << 40
)
