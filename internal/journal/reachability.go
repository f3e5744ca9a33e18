package journal

import (
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// reachability tracks nodes that do not respond to renewals although the membership
// view shows them as live, as in a partition of the network between the two.
type reachability struct {
	mutex   sync.Mutex
	failing map[identity.Reference]time.Time
	// version increases with each change of failing.
	version uint64
	// firstSeen is when each incarnation was first seen in the membership view.
	firstSeen map[identity.Reference]time.Time
}

func newReachability() *reachability {
	return &reachability{failing: map[identity.Reference]time.Time{}, firstSeen: map[identity.Reference]time.Time{}}
}

// observeView records the incarnations in view.
func (r *reachability) observeView(view membership.View) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen := make(map[identity.Reference]time.Time, len(view.Members))
	for _, member := range view.Members {
		reference := member.Node.Reference()
		since, known := r.firstSeen[reference]
		if !known {
			since = time.Now()
		}
		seen[reference] = since
	}
	r.firstSeen = seen
}

// hasNewerIncarnation reports whether a later incarnation of node has been in the
// view for at least minimum.
func (r *reachability) hasNewerIncarnation(node identity.Reference, minimum time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for reference, since := range r.firstSeen {
		if reference.Name == node.Name && reference.Incarnation > node.Incarnation && time.Since(since) >= minimum {
			return true
		}
	}
	return false
}

func (r *reachability) recordOutcome(node identity.Reference, answered bool) {
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

// unreachable returns the nodes that have not responded for at least minimum.
func (r *reachability) unreachable(minimum time.Duration) (nodes map[identity.Reference]bool, version uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for node, since := range r.failing {
		if time.Since(since) < minimum {
			continue
		}
		if nodes == nil {
			nodes = map[identity.Reference]bool{}
		}
		nodes[node] = true
	}
	return nodes, r.version
}

// minReachableNodes is how many live nodes are needed for three replicas of every
// shard in addition to its owner.
const minReachableNodes = 4

// reachable returns view without the members that this node cannot reach, provided
// that enough others are left: a replica set never shrinks because of a partition.
func (m *Manager) reachable(view membership.View) membership.View {
	nodes, version := m.reachability.unreachable(m.config.ReplaceDelay)
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
	if alive < minReachableNodes {
		return view
	}
	// Placements are cached by version, so this view needs a version of its own;
	// versions of views are small counts.
	view.Members, view.Version = members, view.Version^(version*reachabilityVersionStep)|reachabilityVersion
	return view
}

const (
	// reachabilityVersion marks the version of a view without unreachable members.
	reachabilityVersion = 1 << 62
	// reachabilityVersionStep separates the count of changes from the view's version.
	reachabilityVersionStep = 1 << 40
)
