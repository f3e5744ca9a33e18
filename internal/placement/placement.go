// Package placement maps shards to nodes by rendezvous hashing and spreads replicas over
// zones. It is deterministic: the same members give the same result on every node, and a
// node that joins or leaves only moves the shards that it gains or loses.
//
// Scores depend on node names and shard numbers only, not on incarnations, so a node that
// restarts under its name is assigned the same shards again.
package placement

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

// ReplicaCount is the size of a shard's replica set if enough nodes are live.
const ReplicaCount = 3

// regionalReplicas is the preferred number of replicas in the owner's region. A majority of
// the replica set then responds without a round trip between regions, and a partitioned
// region continues to serve the shards it owns.
const regionalReplicas = 2

// Assignment is the desired owner and replica set of a shard.
type Assignment struct {
	Owner identity.Node
	// Replicas are in order of preference. With four or more live nodes, they are
	// ReplicaCount nodes other than the owner; with fewer, the owner is one of them.
	Replicas []identity.Node
}

// Desired returns the assignment of shard among the live members of view; false if no
// member is alive. To look up many shards, use a Cache.
func Desired(shard identity.ShardID, view membership.View) (Assignment, bool) {
	return New(view).Desired(shard)
}

// Ranks returns the first n members of view in the shard's order of preference, to look up
// its owner. Suspect and leaving members keep their ranks, since they may still own the
// shard.
func Ranks(shard identity.ShardID, view membership.View, n int) []identity.Node {
	return New(view).Ranks(shard, n)
}

// Placement computes and caches assignments for one view. It is safe for concurrent use.
type Placement struct {
	nodes []identity.Node
	// candidates contains the data of nodes that scoring needs, in compact form.
	candidates []candidate
	// regionOfZone maps zone numbers to region numbers.
	regionOfZone []int
	alive        int

	mutex sync.Mutex
	// mutex guards choices and the scratch space.
	choices   map[identity.ShardID]choice
	scores    []uint64
	penalties []int
}

// candidate is a member: its hash and its zone number.
type candidate struct {
	hash  uint64
	zone  int
	alive bool
}

// choice is an Assignment as indexes into candidates.
type choice struct {
	owner    int32
	replicas [ReplicaCount]int32
	count    int8
}

// location names a zone; two regions may use the same name for a zone.
type location struct {
	region identity.Region
	zone   identity.Zone
}

// New prepares the placement of view.
func New(view membership.View) *Placement {
	p := &Placement{
		nodes:      make([]identity.Node, 0, len(view.Members)),
		candidates: make([]candidate, 0, len(view.Members)),
		choices:    map[identity.ShardID]choice{},
	}
	zones := map[location]int{}
	regions := map[identity.Region]int{}
	for _, member := range view.Members {
		if member.Status == membership.Dead {
			continue
		}
		alive := member.Status == membership.Alive
		if alive {
			p.alive++
		}
		zone := number(zones, location{region: member.Node.Region, zone: member.Node.Zone})
		if zone == len(p.regionOfZone) {
			p.regionOfZone = append(p.regionOfZone, number(regions, member.Node.Region))
		}
		p.nodes = append(p.nodes, member.Node)
		p.candidates = append(p.candidates, candidate{
			hash:  xxhash.Sum64String(string(member.Node.Name)),
			zone:  zone,
			alive: alive,
		})
	}
	p.scores = make([]uint64, len(p.candidates))
	p.penalties = make([]int, len(p.regionOfZone))
	return p
}

// number returns the number of key, a new one where it has none yet.
func number[K comparable](numbers map[K]int, key K) int {
	if known, found := numbers[key]; found {
		return known
	}
	numbers[key] = len(numbers)
	return numbers[key]
}

// Desired returns the assignment of shard; false if no member is alive.
func (p *Placement) Desired(shard identity.ShardID) (Assignment, bool) {
	if p.alive == 0 {
		return Assignment{}, false
	}
	picked := p.choose(shard)
	assignment := Assignment{
		Owner:    p.nodes[picked.owner],
		Replicas: make([]identity.Node, 0, picked.count),
	}
	for _, index := range picked.replicas[:picked.count] {
		assignment.Replicas = append(assignment.Replicas, p.nodes[index])
	}
	return assignment, true
}

// Owner returns the node that should own shard; false if no member is alive.
func (p *Placement) Owner(shard identity.ShardID) (identity.Node, bool) {
	if p.alive == 0 {
		return identity.Node{}, false
	}
	return p.nodes[p.choose(shard).owner], true
}

// Ranks returns the first n members in the shard's order of preference, including suspect
// and leaving ones.
func (p *Placement) Ranks(shard identity.ShardID, n int) []identity.Node {
	n = min(n, len(p.candidates))
	shardHash := mix(uint64(shard) + 1)
	taken := make([]bool, len(p.candidates))
	ranked := make([]identity.Node, 0, n)
	for len(ranked) < n {
		best, bestScore := -1, uint64(0)
		for i := range p.candidates {
			score := mix(p.candidates[i].hash ^ shardHash)
			if !taken[i] && (best < 0 || score > bestScore) {
				best, bestScore = i, score
			}
		}
		taken[best] = true
		ranked = append(ranked, p.nodes[best])
	}
	return ranked
}

func (p *Placement) choose(shard identity.ShardID) choice {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, found := p.choices[shard]; found {
		return known
	}
	picked := p.compute(shard)
	p.choices[shard] = picked
	return picked
}

// compute chooses the nodes of a shard. At least one candidate must be live, and the caller
// must hold the mutex.
func (p *Placement) compute(shard identity.ShardID) choice {
	shardHash := mix(uint64(shard) + 1)
	owner := -1
	for i := range p.candidates {
		p.scores[i] = mix(p.candidates[i].hash ^ shardHash)
		if p.candidates[i].alive && (owner < 0 || p.scores[i] > p.scores[owner]) {
			owner = i
		}
	}
	picked := choice{owner: int32(owner)}
	if p.alive <= ReplicaCount {
		picked.add(owner)
	}
	for int(picked.count) < min(ReplicaCount, p.alive) {
		picked.add(p.nextReplica(&picked))
	}
	return picked
}

func (c *choice) add(index int) {
	c.replicas[c.count] = int32(index)
	c.count++
}

func (c *choice) contains(index int) bool {
	for _, replica := range c.replicas[:c.count] {
		if replica == int32(index) {
			return true
		}
	}
	return c.owner == int32(index)
}

// nextReplica returns the best live candidate that is not picked yet: lowest penalty first,
// then highest score. Penalties depend only on the nodes already picked, so a candidate
// that is not picked does not influence the others.
func (p *Placement) nextReplica(picked *choice) int {
	p.setPenalties(picked)
	best, bestPenalty, bestScore := -1, 0, uint64(0)
	for i := range p.candidates {
		candidate := &p.candidates[i]
		penalty, score := p.penalties[candidate.zone], p.scores[i]
		if best >= 0 && (penalty > bestPenalty || (penalty == bestPenalty && score <= bestScore)) {
			continue
		}
		if candidate.alive && !picked.contains(i) {
			best, bestPenalty, bestScore = i, penalty, score
		}
	}
	return best
}

// The penalties of a zone; each outweighs the sum of those below it.
const (
	penaltySharedZone  = 100
	penaltyWrongRegion = 10
	penaltyOwnersZone  = 1
)

// setPenalties sets the penalty of each zone for the next replica: highest for a zone that
// already has a replica, then for one on the wrong side of the owner's region boundary,
// then for the owner's zone.
func (p *Placement) setPenalties(picked *choice) {
	ownersZone := p.candidates[picked.owner].zone
	ownersRegion := p.regionOfZone[ownersZone]
	inRegion := 0
	for _, replica := range picked.replicas[:picked.count] {
		if p.regionOfZone[p.candidates[replica].zone] == ownersRegion {
			inRegion++
		}
	}
	wantRegional := inRegion < regionalReplicas
	for zone, region := range p.regionOfZone {
		p.penalties[zone] = 0
		if (region == ownersRegion) != wantRegional {
			p.penalties[zone] = penaltyWrongRegion
		}
	}
	p.penalties[ownersZone] += penaltyOwnersZone
	for _, replica := range picked.replicas[:picked.count] {
		p.penalties[p.candidates[replica].zone] += penaltySharedZone
	}
}

// mix is the finalizer of splitmix64, a bijection that spreads every input bit.
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ (v >> 30)) * 0xbf58476d1ce4e5b9
	v = (v ^ (v >> 27)) * 0x94d049bb133111eb
	return v ^ (v >> 31)
}
