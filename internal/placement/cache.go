package placement

import (
	"sync"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// Cache keeps the Placement of the latest view, for one node, and carries what
// was worked out over to the next view. It is safe for concurrent use.
type Cache struct {
	mutex sync.Mutex
	// self, version and placement are guarded by mutex.
	self      identity.Reference
	version   uint64
	placement *Placement
}

// Get returns the placement of view, the remembered one if view has the version
// of the last call's.
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

// gone is the index of a former candidate that no longer counts.
const gone int32 = -1

// inherit takes over the former placement's choices that cannot have changed: all
// their nodes still live, and no node that has come since would be picked. A
// change of one node then costs a few comparisons per shard instead of a score
// of every node. The caller has p to itself.
func (p *Placement) inherit(former *Placement) {
	if p.alive <= ReplicaCount || former.alive <= ReplicaCount {
		return // the rule for small sites counts the owner in
	}
	moved, came := p.compare(former)
	former.mutex.Lock()
	defer former.mutex.Unlock()
	for shard, picked := range former.known {
		if picked.renumber(moved) && !p.anyEnters(shard, picked, came) {
			p.known[shard] = picked
		}
	}
}

// compare returns each former candidate's index here, and the live candidates
// that were not live before or stand in another zone now.
func (p *Placement) compare(former *Placement) (moved, came []int32) {
	before := make(map[identity.NodeName]int, len(former.nodes))
	moved = make([]int32, len(former.nodes))
	for i := range former.nodes {
		before[former.nodes[i].Name] = i
		moved[i] = gone
	}
	for i := range p.candidates {
		if !p.candidates[i].alive {
			continue
		}
		node := &p.nodes[i]
		at, found := before[node.Name]
		if found && former.candidates[at].alive &&
			former.nodes[at].Zone == node.Zone && former.nodes[at].Region == node.Region {
			moved[at] = int32(i)
			continue
		}
		came = append(came, int32(i))
	}
	return moved, came
}

// renumber replaces the choice's indexes and tells whether all its nodes remain.
func (c *choice) renumber(moved []int32) bool {
	c.owner = moved[c.owner]
	remain := c.owner != gone
	for i := range c.replicas[:c.count] {
		c.replicas[i] = moved[c.replicas[i]]
		remain = remain && c.replicas[i] != gone
	}
	return remain
}

// anyEnters tells whether one of the candidates that came would be in the choice.
// It replays the picks: the former choice stands if no newcomer wins one of them.
func (p *Placement) anyEnters(shard identity.ShardID, picked choice, came []int32) bool {
	if len(came) == 0 {
		return false
	}
	shardHash := mix(uint64(shard) + 1)
	score := func(index int32) uint64 { return mix(p.candidates[index].hash ^ shardHash) }
	ownersScore := score(picked.owner)
	for _, newcomer := range came {
		if score(newcomer) > ownersScore {
			return true
		}
	}
	replayed := choice{owner: picked.owner}
	for _, replica := range picked.replicas[:picked.count] {
		p.weighZones(&replayed)
		penalty, replicasScore := p.penalties[p.candidates[replica].zone], score(replica)
		for _, newcomer := range came {
			newPenalty := p.penalties[p.candidates[newcomer].zone]
			if newPenalty < penalty || newPenalty == penalty && score(newcomer) > replicasScore {
				return true
			}
		}
		replayed.add(int(replica))
	}
	return false
}
