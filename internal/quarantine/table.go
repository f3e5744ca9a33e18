package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/quarantinestatus"
)

const (
	// maxRecords bounds the records of a node, maxAttempts the attempts in one.
	maxRecords  = 4096
	maxAttempts = 24
	// endMemory is how long the end of a replica is known, maxEnds bounds the number of such replicas.
	endMemory = 2 * time.Minute
	maxEnds   = 4096
	// minLifetime and maxLifetime bound the lifetime of a record. A client makes several attempts,
	// and repeats them.
	minLifetime = time.Minute
	maxLifetime = time.Hour
	// sharedTime is how long after its last end a content that does not identify its request is sent
	// for nobody. After that it is tried once more, one attempt at a time over all nodes, if as many
	// other replicas ended within doubtTime before its first end or after its last: many may have ended
	// by themselves while nobody was answered. It is not tried for clients that may be those of the ends,
	// who wait until the same time; clientSkew is what the times of one client may differ at different
	// nodes.
	sharedTime = 10 * time.Second
	doubtTime  = 2 * time.Second
	clientSkew = time.Second
	// maxShared is the number of registered attempts under way up to which those of a content that
	// does not identify its request are registered.
	maxShared = 3
)

// entry is the record of one content at this node.
type entry struct {
	key        Key
	identified bool
	attempts   []*attempt
	// voidBefore is the time before which attempts that broke off do not count: the request was
	// answered since, or an operator lets it be sent again. void is set if there is such a time.
	void       bool
	voidBefore time.Duration
	expiresAt  time.Duration
	// clientUntil is until when the clients wait under whose requests replicas ended.
	clientUntil time.Duration
	// announced is the number of counting attempts that all nodes were told of.
	announced int
	// quarantined is set once MaxEnded replicas are known to have ended.
	quarantined bool
	// doubt is whether the ends may have another cause; nil until Service.doubtful finds out.
	doubt *bool
}

// table holds the records. It is safe for concurrent use.
type table struct {
	// size is the number of records, read without the mutex.
	size atomic.Int64

	// mutex guards all fields below, and the entries.
	mutex   sync.Mutex
	records map[Key]*entry
	// byAge holds the keys of the records, oldest first.
	byAge   []Key
	evicted uint64
	// ended holds when replicas ended under attempts, also under ones that do not count any more, for
	// endMemory, maxEnds of them at most.
	ended map[Replica]time.Duration
	// onRemoved is called with each record that is removed, while the mutex is held.
	onRemoved func(removed *entry)
}

func newTable() *table {
	return &table{records: map[Key]*entry{}, ended: map[Replica]time.Duration{}, onRemoved: func(*entry) {}}
}

// entry returns the record of a key, and creates it if needed. The record lives for at least left
// from now on. The caller must hold the mutex.
func (t *table) entry(key Key, identified bool, left, now time.Duration) *entry {
	found, known := t.records[key]
	if !known {
		t.makeRoom(now)
		found = &entry{key: key}
		t.records[key] = found
		t.byAge = append(t.byAge, key)
		t.size.Store(int64(len(t.records)))
	}
	found.identified = found.identified || identified
	found.expiresAt = max(found.expiresAt, now+min(left, maxLifetime))
	return found
}

// makeRoom removes expired records, and one that counts the fewest attempts of the oldest if the
// table is full. The caller must hold the mutex.
func (t *table) makeRoom(now time.Duration) {
	t.purge(now)
	if len(t.records) < maxRecords {
		return
	}
	oldest := t.byAge[:min(len(t.byAge), maxRecords/16)]
	victim := slices.MinFunc(oldest, func(a, b Key) int { return cmp.Compare(t.records[a].count(), t.records[b].count()) })
	t.evicted++
	t.remove(victim)
}

// forgetEnds forgets the replicas that ended long ago. The caller must hold the mutex.
func (t *table) forgetEnds(now time.Duration) {
	t.ended = lo.PickBy(t.ended, func(_ Replica, at time.Duration) bool { return at+endMemory > now })
}

func (t *table) purge(now time.Duration) {
	for _, key := range slices.Clone(t.byAge) {
		if now >= t.records[key].expiresAt {
			t.remove(key)
		}
	}
}

func (t *table) remove(key Key) {
	t.onRemoved(t.records[key])
	delete(t.records, key)
	t.byAge = slices.DeleteFunc(t.byAge, func(one Key) bool { return one == key })
	t.size.Store(int64(len(t.records)))
}

// find returns an attempt of a record, or nil.
func (e *entry) find(id uint64) *attempt {
	found, _ := lo.Find(e.attempts, func(one *attempt) bool { return one.id == id })
	return found
}

// add adds an attempt. The oldest that does not count gives way if there are too many.
func (e *entry) add(added *attempt) *attempt {
	if len(e.attempts) >= maxAttempts {
		victim := slices.IndexFunc(e.attempts, func(one *attempt) bool { return !one.state.counts() })
		e.attempts = slices.Delete(e.attempts, max(victim, 0), max(victim, 0)+1)
	}
	e.attempts = append(e.attempts, added)
	return added
}

// merge merges an attempt. Times seem later by as much as their notice took to arrive, so that the
// earliest is the nearest. Attempts that followed each other still do then: a notice with the later one
// contains the earlier one as well.
func (e *entry) merge(received attempt) {
	known := e.find(received.id)
	if known == nil {
		if !e.voids(&received) {
			e.add(&received)
		}
		return
	}
	if !known.own {
		known.began, known.until = min(known.began, received.began), min(known.until, received.until)
	}
	switch {
	case received.broken && !known.broken && !known.own:
		known.broken, known.brokeAt = true, received.brokeAt
	case received.broken && !known.own:
		known.brokeAt = min(known.brokeAt, received.brokeAt)
	}
	known.state = max(known.state, received.state)
}

// voids reports whether an attempt does not count since it broke off before voidBefore.
func (e *entry) voids(one *attempt) bool { return e.void && one.broken && one.brokeAt <= e.voidBefore }

// voidUntil lets no attempt count that broke off before a time. It returns those that counted.
func (e *entry) voidUntil(before time.Duration) []*attempt {
	if e.void && before <= e.voidBefore {
		return nil
	}
	e.void, e.voidBefore = true, before
	voided, kept := lo.FilterReject(e.attempts, func(one *attempt, _ int) bool { return e.voids(one) })
	e.attempts = kept
	return lo.Filter(voided, func(one *attempt, _ int) bool { return one.state.counts() })
}

// counting returns one attempt for each replica that has ended or may have: one under which it
// ended, if there is one.
func (e *entry) counting() []*attempt {
	byReplica := map[Replica]*attempt{}
	for _, one := range e.attempts {
		if known, found := byReplica[one.replica]; one.state.counts() && (!found || known.state < one.state) {
			byReplica[one.replica] = one
		}
	}
	return lo.Values(byReplica)
}

// suspect lets attempts count whose replicas have been silent, and reports whether there were any.
func (e *entry) suspect() bool {
	found := false
	for _, one := range e.attempts {
		if one.state == stateWatched && one.silent {
			one.state, found = stateOpen, true
		}
	}
	return found
}

// broken returns the number of counting attempts that are not under way.
func (e *entry) broken() int {
	return lo.CountBy(e.counting(), func(one *attempt) bool { return one.broken })
}

// lastBroken returns when the last counting attempt broke off.
func (e *entry) lastBroken() time.Duration {
	return lo.Max(lo.FilterMap(e.counting(), func(one *attempt, _ int) (time.Duration, bool) { return one.brokeAt, one.broken }))
}

// count returns the number of replicas that have ended, or may have.
func (e *entry) count() int { return len(e.counting()) }

// ended returns the number of replicas that have ended under attempts of one request. Where the
// content does not identify the request, attempts that overlap in time are taken for those of
// several clients.
func (e *entry) ended() int {
	return e.chain(func(one *attempt) bool { return one.state == stateEnded })
}

// possible is like ended, and includes replicas that may have ended, except those under the attempt
// with the given ID. Where the content does not identify the request, attempts under way may be those of
// other clients, which do not wait for each other.
func (e *entry) possible(except uint64) int {
	return e.chain(func(one *attempt) bool { return one.id != except && (e.identified || one.broken) })
}

func (e *entry) chain(fits func(*attempt) bool) int {
	counted := lo.Filter(e.counting(), func(one *attempt, _ int) bool { return fits(one) })
	if e.identified {
		return len(counted)
	}
	over := func(one *attempt) time.Duration {
		if one.broken {
			return one.brokeAt
		}
		return one.until
	}
	slices.SortFunc(counted, func(a, b *attempt) int { return cmp.Compare(over(a), over(b)) })
	length, last := 0, time.Duration(-1<<62)
	for _, one := range counted {
		if one.began >= last {
			length++
			last = over(one)
		}
	}
	return length
}

// underWay returns the number of registered attempts that are not over.
func (e *entry) underWay() int {
	return lo.CountBy(e.attempts, func(one *attempt) bool { return one.state == stateOpen && !one.broken })
}

// isTried reports whether a registered attempt is under way that began after the last end, except the
// one with the given ID.
func (e *entry) isTried(except uint64) bool {
	last := e.lastBroken()
	return lo.SomeBy(e.attempts, func(one *attempt) bool {
		return one.state == stateOpen && !one.broken && one.id != except && one.began >= last
	})
}

// sharedByMany reports whether a content that does not identify its request has enough registered
// attempts.
func (e *entry) sharedByMany() bool { return !e.identified && e.underWay() >= maxShared }

// othersEnded returns the number of replicas that ended at about the same time as those under an entry,
// but not under that. The caller must hold the mutex.
func (t *table) othersEnded(entry *entry) int {
	own := map[Replica]bool{}
	from, until := time.Duration(1<<62), time.Duration(-1<<62)
	for _, one := range entry.counting() {
		own[one.replica] = true
		from, until = min(from, one.began-doubtTime), max(until, one.brokeAt+doubtTime)
	}
	count := 0
	for replica, at := range t.ended {
		if !own[replica] && at >= from && at <= until {
			count++
		}
	}
	return count
}

// noteEnds notes the replicas that have ended under an entry. The caller must hold the mutex.
func (t *table) noteEnds(entry *entry) {
	for _, one := range entry.attempts {
		if one.state == stateEnded && one.broken && len(t.ended) < maxEnds {
			t.ended[one.replica] = one.brokeAt
		}
	}
}

// ends returns the counting attempts, the oldest first.
func (e *entry) ends(now time.Duration) []quarantinestatus.End {
	counted := e.counting()
	slices.SortFunc(counted, func(a, b *attempt) int { return cmp.Compare(a.began, b.began) })
	return lo.Map(counted, func(one *attempt, _ int) quarantinestatus.End {
		at := one.began
		if one.broken {
			at = one.brokeAt
		}
		return quarantinestatus.End{Replica: one.replica.String(), AgoMs: (now - at).Milliseconds(), Certain: one.state == stateEnded}
	})
}
