package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"stepseam.example/stepseam/internal/identity"
)

// bucketCount is the number of buckets of members that a sync compares. A difference in one
// member costs the transfer of its bucket only.
const bucketCount = 64

func bucketOf(name identity.NodeName) int {
	return int(xxhash.Sum64String(string(name)) % bucketCount)
}

// digest hashes the incarnation and refutation count of a record. Suspicion is left out,
// since it is transient.
func (r *record) digest() uint32 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(r.node.Name))
	var numbers [12]byte
	binary.BigEndian.PutUint64(numbers[:8], uint64(r.node.Incarnation))
	binary.BigEndian.PutUint32(numbers[8:], r.refutation)
	_, _ = hash.Write(numbers[:])
	return uint32(hash.Sum64())
}

// digest combines the digests of all live members.
func (s *State) digest() uint32 {
	sum := uint32(0)
	for _, bucket := range s.digests {
		sum ^= bucket
	}
	return sum
}
