package coordinator

import (
	"net/netip"
	"slices"
	"sync"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/ledger"
	"stepseam.example/stepseam/internal/membership"
)

// clusterView is a membership view with results derived from it. Each result is computed on
// first use and cached, so that requests do not scan all members.
type clusterView struct {
	members []membership.Member
	// partitions is the number of partitions.
	partitions int
	// storeUnavailableAt names the members that have announced that the store is unavailable to
	// them.
	storeUnavailableAt map[identity.NodeName]bool

	// mutex guards the fields below, which are computed on first use.
	mutex        sync.Mutex
	incarnations map[ledger.IncarnationID]bool
	// candidates caches the ranked candidates of each partition.
	candidates map[candidateKey][]identity.Node
	// pinned is valid once pinnedKnown is set; it reports that the store is unavailable to all
	// nodes, so that partitions stay with their first candidate.
	pinned, pinnedKnown bool
	// ownRank and own are valid once ownKnown is set: this node's best rank for any partition,
	// and the partitions of which it is a candidate.
	ownRank  int
	own      []int
	ownKnown bool
	// peerAddresses are the peer addresses of the other members that are alive.
	peerAddresses []netip.AddrPort
}

// candidateKey identifies a partition's candidates, with or without this node.
type candidateKey struct {
	partition int
	closing   bool
}

func newClusterView(view membership.View, partitions int) *clusterView {
	return &clusterView{
		members: view.Members, partitions: partitions, storeUnavailableAt: storeUnavailableAt(view.Members),
		candidates: map[candidateKey][]identity.Node{},
	}
}

// isMember reports whether an incarnation is a member.
func (v *clusterView) isMember(incarnation ledger.IncarnationID) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.incarnations == nil {
		v.incarnations = make(map[ledger.IncarnationID]bool, len(v.members))
		for _, member := range v.members {
			v.incarnations[IncarnationOf(member.Node.Reference())] = true
		}
	}
	return v.incarnations[incarnation]
}

// ranked returns a partition's candidates ordered by rank, without self if it is closing. The
// caller must not modify the slice.
func (v *clusterView) ranked(partition int, self identity.NodeName, closing bool) []identity.Node {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.rankedLocked(candidateKey{partition: partition, closing: closing}, self)
}

// rankedLocked is ranked for callers that hold the mutex.
func (v *clusterView) rankedLocked(key candidateKey, self identity.NodeName) []identity.Node {
	known, found := v.candidates[key]
	if !found {
		known = candidatesOf(key.partition, v.members, self, key.closing)
		v.candidates[key] = known
	}
	return known
}

// coordinatorsPinned reports whether the store is unavailable to all nodes, as far as members
// have announced, so that moving a partition would not help.
func (v *clusterView) coordinatorsPinned(self identity.NodeName) bool {
	if len(v.storeUnavailableAt) == 0 {
		return false
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.pinnedKnown {
		return v.pinned
	}
	var firstCandidates []identity.Node
	for partition := range v.partitions {
		if ranked := v.rankedLocked(candidateKey{partition: partition}, self); len(ranked) > 0 {
			firstCandidates = append(firstCandidates, ranked[0])
		}
	}
	v.pinned, v.pinnedKnown = unavailableToMost(firstCandidates, v.storeUnavailableAt), true
	return v.pinned
}

// candidacies returns self's best rank for a partition, candidateCount if it is no candidate of
// any, and the partitions of which it is a candidate. The caller must not modify the slice.
func (v *clusterView) candidacies(self identity.NodeName) (rank int, partitions []int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.ownKnown {
		return v.ownRank, v.own
	}
	v.ownRank, v.ownKnown = candidateCount, true
	for number := range v.partitions {
		ranked := v.rankedLocked(candidateKey{partition: number}, self)
		place := slices.IndexFunc(ranked, func(node identity.Node) bool { return node.Name == self })
		if place < 0 {
			continue
		}
		v.ownRank = min(v.ownRank, place)
		v.own = append(v.own, number)
	}
	return v.ownRank, v.own
}

// addresses returns the peer addresses of the other members that are alive. The caller must not
// modify the slice.
func (v *clusterView) addresses(self identity.NodeName) []netip.AddrPort {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.peerAddresses == nil {
		v.peerAddresses = make([]netip.AddrPort, 0, len(v.members))
		for _, member := range v.members {
			if member.Node.Name != self && member.Status == membership.Alive {
				v.peerAddresses = append(v.peerAddresses, member.Node.PeerAddress)
			}
		}
	}
	return v.peerAddresses
}
