// Package aggregator lets the nodes of a site know nearly exactly what is under way at a
// replica. For every replica one node, its keeper, adds up what all nodes report of
// it at once when something changes, and models what its prompt memory holds. A node
// that has to choose asks the keepers of a few replicas.
//
// Keepers are never on the path of a promise: what they tell only helps to choose. A
// node whose question is not answered in time chooses by what it knows itself; two
// nodes that both take themselves for a keeper break nothing; and since a report
// holds totals, not changes, a count is right again with the next report that
// arrives. Book, Memory and the messages do no I/O and read no clock.
package aggregator

import (
	"net/netip"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/loads"
	"stepseam.example/stepseam/internal/outlier"
)

const (
	// reportLife is how long a node's report counts. Reports are repeated several
	// times within it, so that only nodes that are gone lose theirs.
	reportLife = time.Second
	// settleTime is how long after the first report on a replica its keeper may not
	// have heard all nodes yet: they repeat their reports within this time.
	settleTime = 2 * refreshPause
	// bookShards is the number of locks; keepers serve many nodes at once.
	bookShards = 16
	// maxAccounts bounds the replicas of one shard against senseless keys.
	maxAccounts = 512
	// maxReporters bounds the nodes that are counted at one replica.
	maxReporters = 4096
	// idleLife is how long an account without reports is kept for its memory model.
	idleLife = time.Minute
)

// ReplicaKey stands for a replica, as in the datagrams of package loads.
type ReplicaKey = loads.ReplicaKey

// Segment is one piece of a prompt: its ID, shortened, and its length in tokens.
type Segment struct {
	ID     uint32
	Tokens int
}

// Report is what one node has at one replica.
type Report struct {
	Key ReplicaKey
	// Sequence rises with each report of a node on a replica, over restarts too unless
	// its clock goes back; then the older report's life ends the confusion.
	Sequence uint64
	Load     loads.Load
	// CapacityTokens is how many tokens the replica's prompt memory holds; 0 if unknown.
	CapacityTokens int
	// Segments is a prompt, or a whole turn, that the replica holds from now on.
	Segments []Segment
}

// State is what a keeper knows of a replica.
type State struct {
	Key ReplicaKey
	// Load adds up what the nodes other than the asking one have there.
	Load loads.Load
	// CachedTokens is how much of the prompt in question the replica holds by the
	// keeper's model.
	CachedTokens int
	// Complete tells that all nodes have had time to report.
	Complete bool
	// Ejected tells that the replica fails more than others of its service; Probe is the
	// right of the asking node to try it all the same, which no other one has meanwhile.
	Ejected bool
	Probe   outlier.Probe
}

// Aggregates is what this node keeps. It is safe for concurrent use.
type Aggregates struct {
	shards [bookShards]bookShard
}

// bookShard holds the accounts of some replicas under a lock of its own.
type bookShard struct {
	mutex    sync.Mutex
	accounts map[ReplicaKey]*account
}

// account is what is known of one replica. The shard's mutex guards it.
type account struct {
	since, touched time.Duration
	reporters      map[netip.AddrPort]reported
	memory         CacheModel
	// outcomes are those of all nodes' requests; instance names the replica for the log once
	// one of them has failed.
	outcomes outlier.Detector
	instance string
}

// reported is a node's newest report, heard at a monotonic reading.
type reported struct {
	at       time.Duration
	sequence uint64
	load     loads.Load
}

// NewAggregates returns an empty book.
func NewAggregates() *Aggregates {
	made := &Aggregates{}
	for i := range made.shards {
		made.shards[i].accounts = map[ReplicaKey]*account{}
	}
	return made
}

func (b *Aggregates) shard(key ReplicaKey) *bookShard { return &b.shards[uint32(key)%bookShards] }

// Record counts a node's report. now is a monotonic reading.
func (b *Aggregates) Record(from netip.AddrPort, report Report, now time.Duration) {
	shard := b.shard(report.Key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.account(report.Key, now).take(from, report, now)
}

// account returns the account of a replica on which a node tells something. It needs the
// mutex.
func (s *bookShard) account(key ReplicaKey, now time.Duration) *account {
	known, found := s.accounts[key]
	if !found {
		s.makeRoom(now)
		known = &account{since: now, reporters: map[netip.AddrPort]reported{}}
		s.accounts[key] = known
	}
	known.touched = now
	return known
}

func (a *account) take(from netip.AddrPort, report Report, now time.Duration) {
	before, found := a.reporters[from]
	if found && report.Sequence < before.sequence && now-before.at <= reportLife {
		return // it was overtaken by a newer one
	}
	if found || len(a.reporters) < maxReporters {
		a.reporters[from] = reported{at: now, sequence: report.Sequence, load: report.Load}
	}
	if report.CapacityTokens > 0 {
		a.memory.Resize(report.CapacityTokens)
	}
	a.memory.Insert(report.Segments)
}

// State returns what is known of a replica for a node that asks; false without any
// report.
func (b *Aggregates) State(asking netip.AddrPort, key ReplicaKey, parts []Segment, now time.Duration) (State, bool) {
	shard := b.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known, found := shard.accounts[key]
	if !found {
		return State{}, false
	}
	state := State{
		Key: key, Load: known.sum(asking, now), CachedTokens: known.memory.Cached(parts),
		Complete: now-known.since >= settleTime,
	}
	if known.outcomes.Ejected() {
		state.Ejected, state.Probe = true, known.grant(asking, state.Load.InFlight, now)
	}
	return state, true
}

// sum adds up the reports of the nodes but one and drops those that are too old.
func (a *account) sum(except netip.AddrPort, now time.Duration) loads.Load {
	total := loads.Load{}
	for node, one := range a.reporters {
		if now-one.at > reportLife {
			delete(a.reporters, node)
			continue
		}
		if node != except {
			total = total.Add(one.load)
		}
	}
	return total
}

// makeRoom drops accounts that nobody has reported on for long, and any one where
// there are too many still. It needs the mutex.
func (s *bookShard) makeRoom(now time.Duration) {
	if len(s.accounts) < maxAccounts {
		return
	}
	for key, one := range s.accounts {
		if now-one.touched > idleLife {
			delete(s.accounts, key)
		}
	}
	for key := range s.accounts {
		if len(s.accounts) < maxAccounts {
			return
		}
		delete(s.accounts, key)
	}
}

// Len returns on how many replicas this node has reports.
func (b *Aggregates) Len() int {
	total := 0
	for i := range b.shards {
		b.shards[i].mutex.Lock()
		total += len(b.shards[i].accounts)
		b.shards[i].mutex.Unlock()
	}
	return total
}
