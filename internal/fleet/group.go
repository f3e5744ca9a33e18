package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// group holds the usable replicas of one service in one zone, sorted by hash, so that a
// replica is found for a key or at random without a scan. The directory's lock guards it.
type group struct {
	ring []*entry
}

// entry is the directory's state of one replica.
type entry struct {
	replica Replica
	// incarnationID caches the replica's incarnation ID.
	incarnationID string
	// hash is the entry's position in the ring. Equal hashes are ordered by instance.
	hash uint64
	// updatedAt is the time of the last update of this incarnation, as a monotonic reading.
	updatedAt time.Duration
	// expiresAt is the end of the grace period of a removed entry; 0 if it is present.
	expiresAt time.Duration
}

func newEntry(replica Replica, now time.Duration) *entry {
	incarnationID := replica.IncarnationID()
	if replica.StartedAtMs != 0 {
		replica.incarnationID = incarnationID
	}
	return &entry{replica: replica, incarnationID: incarnationID, hash: xxhash.Sum64String(replica.Instance), updatedAt: now}
}

// expired reports whether the grace period of a removed entry has ended.
func (e *entry) expired(now time.Duration) bool { return e.expiresAt > 0 && now >= e.expiresAt }

func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.replica.Instance, b.replica.Instance))
}

func (g *group) insert(added *entry) {
	position, found := slices.BinarySearchFunc(g.ring, added, compareEntries)
	if found {
		g.ring[position] = added
		return
	}
	g.ring = slices.Insert(g.ring, position, added)
}

func (g *group) remove(removed *entry) {
	if position, found := slices.BinarySearchFunc(g.ring, removed, compareEntries); found {
		g.ring = slices.Delete(g.ring, position, position+1)
	}
}

// forEachFrom calls visit with each entry once, starting at a position of the ring, until
// visit returns false.
func (g *group) forEachFrom(position int, visit func(*entry) bool) {
	for i := range g.ring {
		if !visit(g.ring[(position+i)%len(g.ring)]) {
			return
		}
	}
}

// successor returns the position of the first entry whose hash is at least key.
func (g *group) successor(key uint64) int {
	position, _ := slices.BinarySearchFunc(g.ring, key, func(e *entry, key uint64) int { return cmp.Compare(e.hash, key) })
	return position
}
