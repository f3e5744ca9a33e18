package membership

import (
	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/identity"
)

// scoreBufferBytes suffices for usual keys and names, so that no allocation is needed.
const scoreBufferBytes = 96

// Score ranks a node for a key by rendezvous hashing. All nodes with the same members agree
// on the order, and a member that joins or leaves moves only its own keys.
func Score(key string, node identity.NodeName) uint64 {
	var buffer [scoreBufferBytes]byte
	text := append(buffer[:0], key...)
	text = append(text, '/')
	return xxhash.Sum64(append(text, node...))
}

// Highest returns the eligible member with the highest score for key; false if there is
// none.
func Highest(key string, members []Member, eligible func(Member) bool) (highest identity.Node, found bool) {
	maxScore := uint64(0)
	for _, member := range members {
		if !eligible(member) {
			continue
		}
		if score := Score(key, member.Node.Name); !found || score > maxScore {
			highest, maxScore, found = member.Node, score, true
		}
	}
	return highest, found
}
