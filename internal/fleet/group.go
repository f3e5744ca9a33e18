package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// group holds the replicas of one service in one zone that may take work, in the order of
// their hashes, so that one is found for a key, or drawn, without a look at the others.
// The directory's lock guards it.
type group struct {
	ring []*entry
}

// entry is what is known of one replica.
type entry struct {
	replica Replica
	// life is the replica's, computed once.
	life string
	// hash places the entry in its group's ring; equal hashes go by instance.
	hash uint64
	// heard is when the last word of this life was heard, by a monotonic reading.
	heard time.Duration
	// until is when an entry that is gone must not be used any more; 0 while it is there.
	until time.Duration
}

func newEntry(replica Replica, now time.Duration) *entry {
	life := replica.IncarnationID()
	if replica.StartedAtMs != 0 {
		replica.life = life
	}
	return &entry{replica: replica, life: life, hash: xxhash.Sum64String(replica.Instance), heard: now}
}

// expired tells whether the entry is gone for too long to be used.
func (e *entry) expired(now time.Duration) bool { return e.until > 0 && now >= e.until }

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

func (g *group) remove(gone *entry) {
	if position, found := slices.BinarySearchFunc(g.ring, gone, compareEntries); found {
		g.ring = slices.Delete(g.ring, position, position+1)
	}
}

// from calls visit with the entries from a place of the ring on, each once, until it
// returns false.
func (g *group) from(position int, visit func(*entry) bool) {
	for i := range g.ring {
		if !visit(g.ring[(position+i)%len(g.ring)]) {
			return
		}
	}
}

// after returns the place of the first entry whose hash is at least key.
func (g *group) after(key uint64) int {
	position, _ := slices.BinarySearchFunc(g.ring, key, func(one *entry, key uint64) int { return cmp.Compare(one.hash, key) })
	return position
}
