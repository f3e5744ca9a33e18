package coordinator

import (
	"net/netip"
	"slices"
	"sync"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/membership"
)

// siteView is a view of the members, prepared for the questions that requests bring: only
// the first question of a kind after a change looks at all members.
type siteView struct {
	members []membership.Member
	// partitions is how many there are.
	partitions int
	// lacking are the members that have told that the store does not answer them.
	lacking map[identity.NodeName]bool

	// mutex guards all below, which is computed when it is asked for first.
	mutex sync.Mutex
	lives map[ledger.IncarnationID]bool
	// candidates remembers the nodes that may keep a partition, by whether this node closes.
	candidates map[homeKey][]identity.Node
	// stays tells, once stayKnown, that the store answers nobody, so that homes stay.
	stays, stayKnown bool
	// ownRank is, once ownKnown, this node's best rank for a partition, and own are the
	// partitions that it is a candidate of.
	ownRank  int
	own      []int
	ownKnown bool
	// others are the peer addresses of the other living members.
	others []netip.AddrPort
}

// homeKey names a partition as it is placed with or without this node.
type homeKey struct {
	partition int
	closing   bool
}

func newSiteView(view membership.View, partitions int) *siteView {
	return &siteView{
		members: view.Members, partitions: partitions, lacking: lacking(view.Members),
		candidates: map[homeKey][]identity.Node{},
	}
}

// isMember tells whether a life is a member.
func (v *siteView) isMember(life ledger.IncarnationID) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.lives == nil {
		v.lives = make(map[ledger.IncarnationID]bool, len(v.members))
		for _, member := range v.members {
			v.lives[IncarnationOf(member.Node.Reference())] = true
		}
	}
	return v.lives[life]
}

// ranked returns the nodes that may keep a partition, the first by rank first, in a slice that
// the caller must not change; without self if it closes.
func (v *siteView) ranked(partition int, self identity.NodeName, closing bool) []identity.Node {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.rankedLocked(homeKey{partition: partition, closing: closing}, self)
}

// rankedLocked needs the mutex.
func (v *siteView) rankedLocked(key homeKey, self identity.NodeName) []identity.Node {
	known, found := v.candidates[key]
	if !found {
		known = candidatesOf(key.partition, v.members, self, key.closing)
		v.candidates[key] = known
	}
	return known
}

// homesStay tells whether the store answers nobody, as far as members have told, so that
// nothing is won by moving homes.
func (v *siteView) homesStay(self identity.NodeName) bool {
	if len(v.lacking) == 0 {
		return false
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.stayKnown {
		return v.stays
	}
	var firsts []identity.Node
	for partition := range v.partitions {
		if ranked := v.rankedLocked(homeKey{partition: partition}, self); len(ranked) > 0 {
			firsts = append(firsts, ranked[0])
		}
	}
	v.stays, v.stayKnown = answersNobody(firsts, v.lacking), true
	return v.stays
}

// candidacies returns self's best rank for a partition, candidateCount if it is no candidate
// of any, and the partitions that it is one of, in a slice that the caller must not change.
func (v *siteView) candidacies(self identity.NodeName) (rank int, partitions []int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.ownKnown {
		return v.ownRank, v.own
	}
	v.ownRank, v.ownKnown = candidateCount, true
	for number := range v.partitions {
		ranked := v.rankedLocked(homeKey{partition: number}, self)
		place := slices.IndexFunc(ranked, func(node identity.Node) bool { return node.Name == self })
		if place < 0 {
			continue
		}
		v.ownRank = min(v.ownRank, place)
		v.own = append(v.own, number)
	}
	return v.ownRank, v.own
}

// addresses returns the peer addresses of the other nodes that live, in a slice that the
// caller must not change.
func (v *siteView) addresses(self identity.NodeName) []netip.AddrPort {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.others == nil {
		v.others = make([]netip.AddrPort, 0, len(v.members))
		for _, member := range v.members {
			if member.Node.Name != self && member.Status == membership.Alive {
				v.others = append(v.others, member.Node.PeerAddress)
			}
		}
	}
	return v.others
}
