package placement

import (
	"sync"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// Cache contains the Placement of one node's latest view, and reuses its results for the
// next view. It is safe for concurrent use.
type Cache struct {
	mutex sync.Mutex
	// self, version and placement are guarded by mutex.
	self      identity.Reference
	version   uint64
	placement *Placement
}

// Get returns the placement of view, which is cached by the view's version.
func (c *Cache) Get(view membership.View) *Placement {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.placement == nil || c.version != view.Version || c.self != view.Self {
		next := New(view)
		if c.placement != nil {
			next.inherit(c.placement)
		}
		c.self, c.version, c.placement = view.Self, view.Version, next
	}
	return c.placement
}

// removed is the new index of a candidate that is no longer live or has moved.
const removed int32 = -1

// inherit copies the choices of the previous placement that cannot have changed: all their
// nodes are still live, and no added node would be picked. If one node changes, this costs
// a few comparisons per shard instead of a score of every node. The caller must have
// exclusive access to p.
func (p *Placement) inherit(previous *Placement) {
	if p.alive <= ReplicaCount || previous.alive <= ReplicaCount {
		return // at small sites the owner is one of the replicas
	}
	moved, added := p.compare(previous)
	previous.mutex.Lock()
	defer previous.mutex.Unlock()
	for shard, picked := range previous.choices {
		if picked.renumber(moved) && !p.anyEnters(shard, picked, added) {
			p.choices[shard] = picked
		}
	}
}

// compare returns the new index of each previous candidate, and the live candidates that
// are new, were not live before, or have moved to another zone.
func (p *Placement) compare(previous *Placement) (moved, added []int32) {
	before := make(map[identity.NodeName]int, len(previous.nodes))
	moved = make([]int32, len(previous.nodes))
	for i := range previous.nodes {
		before[previous.nodes[i].Name] = i
		moved[i] = removed
	}
	for i := range p.candidates {
		if !p.candidates[i].alive {
			continue
		}
		node := &p.nodes[i]
		at, found := before[node.Name]
		if found && previous.candidates[at].alive &&
			previous.nodes[at].Zone == node.Zone && previous.nodes[at].Region == node.Region {
			moved[at] = int32(i)
			continue
		}
		added = append(added, int32(i))
	}
	return moved, added
}

// renumber replaces the indexes in the choice and reports whether all its nodes remain.
func (c *choice) renumber(moved []int32) bool {
	c.owner = moved[c.owner]
	remain := c.owner != removed
	for i := range c.replicas[:c.count] {
		c.replicas[i] = moved[c.replicas[i]]
		remain = remain && c.replicas[i] != removed
	}
	return remain
}

// anyEnters reports whether one of the added candidates would be in the choice. It replays
// the picks: the previous choice remains valid if no added candidate wins any of them.
func (p *Placement) anyEnters(shard identity.ShardID, picked choice, added []int32) bool {
	if len(added) == 0 {
		return false
	}
	shardHash := mix(uint64(shard) + 1)
	score := func(index int32) uint64 { return mix(p.candidates[index].hash ^ shardHash) }
	ownersScore := score(picked.owner)
	for _, newcomer := range added {
		if score(newcomer) > ownersScore {
			return true
		}
	}
	replayed := choice{owner: picked.owner}
	for _, replica := range picked.replicas[:picked.count] {
		p.setPenalties(&replayed)
		penalty, replicasScore := p.penalties[p.candidates[replica].zone], score(replica)
		for _, newcomer := range added {
			newPenalty := p.penalties[p.candidates[newcomer].zone]
			if newPenalty < penalty || newPenalty == penalty && score(newcomer) > replicasScore {
				return true
			}
		}
		replayed.add(int(replica))
	}
	return false
}
