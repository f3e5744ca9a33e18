// Package aggregator gives the nodes of a site a nearly exact count of the requests in
// flight at each replica. One node per replica, its aggregator, sums the load reports that
// all nodes send whenever their load changes, and models the replica's prefix cache. A node
// that chooses a replica queries the aggregators of a few candidates.
//
// Aggregators only inform the choice of a replica; no guarantee depends on them. A node
// whose query times out falls back to its own data. Two nodes that both act as a replica's
// aggregator do no harm. A report carries totals rather than deltas, so that a lost report
// is corrected by the next one. Aggregates, CacheModel and the messages do no I/O and read
// no clock.
package aggregator

import (
	"net/netip"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/outlier"
)

const (
	// reportTTL is how long a node's report is valid. Reports are repeated several times
	// within it, so that only those of unreachable nodes expire.
	reportTTL = time.Second
	// completeAfter is the time after the first report on a replica within which its
	// aggregator may still miss reports of some nodes. All nodes repeat theirs within it.
	completeAfter = 2 * refreshInterval
	// shardCount is the number of locks, which limits contention between the nodes served.
	shardCount = 16
	// maxAggregatesPerShard bounds the memory that arbitrary keys can take.
	maxAggregatesPerShard = 512
	// maxReporters bounds the nodes whose reports are stored per replica.
	maxReporters = 4096
	// idleTTL is how long an aggregate without reports is kept for its cache model.
	idleTTL = time.Minute
)

// ReplicaKey is the hash that identifies a replica in datagrams, see package loads.
type ReplicaKey = loads.ReplicaKey

// Segment is a piece of a prompt, given by its shortened ID and its length in tokens.
type Segment struct {
	ID     uint32
	Tokens int
}

// Report is the load that one node has at one replica.
type Report struct {
	Key ReplicaKey
	// Sequence increases with each report of a node on a replica, also across restarts of
	// the node. If the node's clock goes back, its reports are ignored until the last one
	// expires.
	Sequence uint64
	Load     loads.Load
	// CapacityTokens is the size of the replica's prefix cache; 0 if unknown.
	CapacityTokens int
	// Segments is a prompt, or a whole turn, that the replica caches from now on.
	Segments []Segment
}

// State is the aggregated state of a replica.
type State struct {
	Key ReplicaKey
	// Load is the sum over all nodes but the querying one.
	Load loads.Load
	// CachedTokens is the length of the queried prompt's cached prefix, as modelled.
	CachedTokens int
	// Complete reports whether all nodes have had time to report.
	Complete bool
	// Ejected reports whether the replica is ejected as an outlier. Probe is the permission
	// of the querying node to send a request to it nevertheless; no other node gets one at
	// the same time.
	Ejected bool
	Probe   outlier.Probe
}

// Aggregates holds the state of the replicas that this node aggregates. It is safe for
// concurrent use.
type Aggregates struct {
	shards [shardCount]aggregateShard
}

// aggregateShard holds the aggregates of some replicas under its own lock.
type aggregateShard struct {
	mutex sync.Mutex
	byKey map[ReplicaKey]*aggregate
}

// aggregate is the state of one replica. The shard's mutex guards it.
type aggregate struct {
	firstReportAt, updatedAt time.Duration
	reporters                map[netip.AddrPort]storedReport
	cache                    CacheModel
	// detector observes the outcomes of all nodes' requests. instance is the replica's name
	// for the log; it is empty until a request has failed.
	detector outlier.Detector
	instance string
}

// storedReport is the latest report of a node. at is a monotonic reading.
type storedReport struct {
	at       time.Duration
	sequence uint64
	load     loads.Load
}

// NewAggregates returns an empty Aggregates.
func NewAggregates() *Aggregates {
	created := &Aggregates{}
	for i := range created.shards {
		created.shards[i].byKey = map[ReplicaKey]*aggregate{}
	}
	return created
}

func (a *Aggregates) shard(key ReplicaKey) *aggregateShard { return &a.shards[uint32(key)%shardCount] }

// Record stores a node's report. now is a monotonic reading.
func (a *Aggregates) Record(from netip.AddrPort, report Report, now time.Duration) {
	shard := a.shard(report.Key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.aggregate(report.Key, now).record(from, report, now)
}

// aggregate returns the aggregate of a replica and creates it if necessary. The caller must
// hold the mutex.
func (s *aggregateShard) aggregate(key ReplicaKey, now time.Duration) *aggregate {
	entry, found := s.byKey[key]
	if !found {
		s.makeRoom(now)
		entry = &aggregate{firstReportAt: now, reporters: map[netip.AddrPort]storedReport{}}
		s.byKey[key] = entry
	}
	entry.updatedAt = now
	return entry
}

func (a *aggregate) record(from netip.AddrPort, report Report, now time.Duration) {
	before, found := a.reporters[from]
	if found && report.Sequence < before.sequence && now-before.at <= reportTTL {
		return // reordered
	}
	if found || len(a.reporters) < maxReporters {
		a.reporters[from] = storedReport{at: now, sequence: report.Sequence, load: report.Load}
	}
	if report.CapacityTokens > 0 {
		a.cache.Resize(report.CapacityTokens)
	}
	a.cache.Insert(report.Segments)
}

// State returns the state of a replica for the querying node, or false if there are no
// reports on it. If the replica is ejected, it may grant the node a probe.
func (a *Aggregates) State(requester netip.AddrPort, key ReplicaKey, segments []Segment, now time.Duration) (State, bool) {
	shard := a.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	entry, found := shard.byKey[key]
	if !found {
		return State{}, false
	}
	state := State{
		Key: key, Load: entry.sum(requester, now), CachedTokens: entry.cache.Cached(segments),
		Complete: now-entry.firstReportAt >= completeAfter,
	}
	if entry.detector.Ejected() {
		state.Ejected, state.Probe = true, entry.grantProbe(requester, state.Load.InFlight, now)
	}
	return state, true
}

// sum adds up the reports of all nodes but one and deletes the expired ones.
func (a *aggregate) sum(except netip.AddrPort, now time.Duration) loads.Load {
	total := loads.Load{}
	for node, report := range a.reporters {
		if now-report.at > reportTTL {
			delete(a.reporters, node)
			continue
		}
		if node != except {
			total = total.Add(report.load)
		}
	}
	return total
}

// makeRoom evicts the idle aggregates of a full shard, and arbitrary ones if that is not
// enough. The caller must hold the mutex.
func (s *aggregateShard) makeRoom(now time.Duration) {
	if len(s.byKey) < maxAggregatesPerShard {
		return
	}
	for key, entry := range s.byKey {
		if now-entry.updatedAt > idleTTL {
			delete(s.byKey, key)
		}
	}
	for key := range s.byKey {
		if len(s.byKey) < maxAggregatesPerShard {
			return
		}
		delete(s.byKey, key)
	}
}

// Len returns the number of replicas with aggregates.
func (a *Aggregates) Len() int {
	total := 0
	for i := range a.shards {
		a.shards[i].mutex.Lock()
		total += len(a.shards[i].byKey)
		a.shards[i].mutex.Unlock()
	}
	return total
}
