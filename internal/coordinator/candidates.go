package coordinator

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/membership"
)

const (
	// candidateCount is how many nodes, by rank, may coordinate a partition. With several
	// candidates, the store is likely to be available to one of them even if it refuses many
	// nodes.
	candidateCount = 5
	// pinPercent is the percentage of first candidates to which the store must be unavailable before
	// it is taken to be unavailable to all nodes. Partitions then stay with their first
	// candidate.
	pinPercent = 67
)

// StoreUnreachable reports whether a member has announced that the store is unavailable to it.
// TableVersion counts the changes of that state: odd is unavailable, even is available.
func StoreUnreachable(member membership.Member) bool { return member.TableVersion%2 == 1 }

// storeUnavailableAt returns the names of the members that have announced that the store is
// unavailable to them.
func storeUnavailableAt(members []membership.Member) map[identity.NodeName]bool {
	names := map[identity.NodeName]bool{}
	for _, member := range members {
		if StoreUnreachable(member) {
			names[member.Node.Name] = true
		}
	}
	return names
}

type rankedNode struct {
	node  identity.Node
	score uint64
}

// candidatesOf returns the reachable members that may coordinate a partition, ordered by rank.
// It leaves self out if this node is closing.
func candidatesOf(partition int, members []membership.Member, self identity.NodeName, closing bool) []identity.Node {
	key := strconv.Itoa(partition)
	best := make([]rankedNode, 0, candidateCount+1)
	for _, member := range members {
		if !member.Reachable() || closing && member.Node.Name == self {
			continue
		}
		one := rankedNode{node: member.Node, score: membership.Score(key, member.Node.Name)}
		place, _ := slices.BinarySearchFunc(best, one, func(a, b rankedNode) int { return cmp.Compare(b.score, a.score) })
		if place == candidateCount {
			continue
		}
		best = slices.Insert(best, place, one)
		best = best[:min(len(best), candidateCount)]
	}
	return lo.Map(best, func(one rankedNode, _ int) identity.Node { return one.node })
}

// selectCoordinator returns the first candidate to which the store is available, so that all
// nodes with the same view choose the same one. If there is none, it returns the first
// candidate, whose credits may last.
func selectCoordinator(candidates []identity.Node, storeUnavailable func(identity.NodeName) bool) identity.Node {
	for _, candidate := range candidates {
		if !storeUnavailable(candidate.Name) {
			return candidate
		}
	}
	if len(candidates) == 0 {
		return identity.Node{}
	}
	return candidates[0]
}

// unavailableToMost reports whether more than pinPercent of the distinct first candidates have
// announced that the store is unavailable. Other members are not counted, since only first
// candidates call the store all the time.
func unavailableToMost(firstCandidates []identity.Node, storeUnavailable map[identity.NodeName]bool) bool {
	distinct, without := map[identity.NodeName]bool{}, 0
	for _, first := range firstCandidates {
		if distinct[first.Name] {
			continue
		}
		distinct[first.Name] = true
		if storeUnavailable[first.Name] {
			without++
		}
	}
	return without*100 > len(distinct)*pinPercent
}
