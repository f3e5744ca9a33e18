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
	// candidateCount is how many nodes, by rank, may keep a partition: enough that the store
	// answers one of them also where it turns many nodes away.
	candidateCount = 5
	// stayPercent of the first candidates must be without the store for homes to stay where
	// they are: then it answers nobody, as far as is known.
	stayPercent = 67
)

// StoreUnreachable tells whether a member has told that the store does not answer it. What it tells
// rises with each change and is odd from the first change on, even from the second.
func StoreUnreachable(member membership.Member) bool { return member.TableVersion%2 == 1 }

// lacking returns the names of the members that have told that the store does not answer
// them.
func lacking(members []membership.Member) map[identity.NodeName]bool {
	names := map[identity.NodeName]bool{}
	for _, member := range members {
		if StoreUnreachable(member) {
			names[member.Node.Name] = true
		}
	}
	return names
}

// rankedNode is a candidate with its score for a partition.
type rankedNode struct {
	node  identity.Node
	score uint64
}

// candidatesOf returns the nodes that may keep a partition, the first by rank first: of the
// members that take work, without self if it closes.
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

// keeperOf returns the candidate that keeps a partition: the first that the store answers, so
// that all who know the same ask the same node while the store turns some nodes away and
// serves the others. Where it answers none of them, it is the first, whose credits may last.
func keeperOf(candidates []identity.Node, lacks func(identity.NodeName) bool) identity.Node {
	for _, candidate := range candidates {
		if !lacks(candidate.Name) {
			return candidate
		}
	}
	if len(candidates) == 0 {
		return identity.Node{}
	}
	return candidates[0]
}

// answersNobody tells whether so many of the first candidates lack the store that it answers
// nobody, as far as is known. Only they call it all the time, so that the others count for
// nothing.
func answersNobody(firsts []identity.Node, lacks map[identity.NodeName]bool) bool {
	distinct, without := map[identity.NodeName]bool{}, 0
	for _, first := range firsts {
		if distinct[first.Name] {
			continue
		}
		distinct[first.Name] = true
		if lacks[first.Name] {
			without++
		}
	}
	return without*100 > len(distinct)*stayPercent
}
