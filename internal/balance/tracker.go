package balance

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/fleet"
	"stepseam.example/stepseam/internal/loads"
)

// partsPerReplica bounds the prompt parts remembered of one replica. When it is
// reached, the older half is forgotten.
const partsPerReplica = 4096

const (
	// patience is how long requests may wait at a replica without any of them
	// getting an answer, before it is avoided.
	patience = 600 * time.Millisecond
	// unprovenLife is how long after a replica was avoided requests that a failure
	// would fail leave it to others, unless one has been served there.
	unprovenLife = 3 * time.Second
	// paceWeight is the weight of the newest stream in a replica's usual pace.
	paceWeight = 0.2
	// leastEvents is how many events a stream must have to tell the pace.
	leastEvents = 4
)

// Tracker holds what this node knows of replicas. It is safe for concurrent use.
type Tracker struct {
	// zone is this node's own.
	zone string

	// mutex guards all below.
	mutex    sync.Mutex
	replicas map[string]*record
	// others holds what other nodes have under way, by node, and elsewhere the sums.
	others    map[netip.AddrPort]otherNode
	elsewhere map[loads.Key]int
	// failing holds the replicas at which other nodes' requests fail.
	failing map[loads.Key]bool
	// coverage is the part of the other nodes that elsewhere holds.
	coverage float64
	// heardAt is when another node told last.
	heardAt time.Duration
}

// otherNode is what another node has told last.
type otherNode struct {
	at     time.Duration
	counts map[loads.Key]loads.Load
}

// record is what is known of one replica.
type record struct {
	underWay int
	failures int
	// suspectUntil is a monotonic reading.
	suspectUntil time.Duration
	// waiting is how many requests have got no answer yet; since when none of them
	// has, by a monotonic reading.
	waiting      int
	waitingSince time.Duration
	// pace is the usual time between two events, in milliseconds; 0 if not known.
	pace float64
	// recent and older hold prompt parts seen there, in two generations.
	recent, older map[uint64]bool
}

// NewTracker returns a tracker of a node in zone.
func NewTracker(zone string) *Tracker {
	return &Tracker{
		zone: zone, replicas: map[string]*record{},
		others: map[netip.AddrPort]otherNode{}, elsewhere: map[loads.Key]int{}, failing: map[loads.Key]bool{}, coverage: 1,
	}
}

// Need is what a request needs of a replica.
type Need struct {
	// Engine tells that requests are batched and prompts cached.
	Engine bool
	Prompt []Part
	// Exposed tells that a failure of the replica fails the request, which must not
	// go to another.
	Exposed bool
	// Except lists the replicas that it has been to.
	Except []string
}

// Candidates describes the replicas that a request may go to. now is a monotonic
// reading.
func (t *Tracker) Candidates(replicas []fleet.Replica, need Need, now time.Duration) []Candidate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	candidates := make([]Candidate, 0, len(replicas))
	for _, replica := range replicas {
		if slices.Contains(need.Except, replica.Instance) {
			continue
		}
		candidate := Candidate{
			Instance: replica.Instance, SameZone: replica.Zone == t.zone, Engine: need.Engine, Slots: replica.Slots,
			Doubtful:  replica.State == fleet.StateLapsed,
			Elsewhere: t.elsewhereAt(replica.Instance, now),
		}
		if known, found := t.replicas[replica.Instance]; found {
			candidate.UnderWay = known.underWay
			candidate.Suspect = now < known.suspectUntil || known.waiting > 0 && now-known.waitingSince > patience
			candidate.LagMilliseconds = known.pace
			candidate.CachedTokens = known.cachedTokens(need.Prompt)
			candidate.Unproven = need.Exposed && known.unproven(now)
		}
		candidate.Unproven = candidate.Unproven || need.Exposed && t.failsElsewhere(replica.Instance, now)
		candidates = append(candidates, candidate)
	}
	keepLag(candidates)
	return candidates
}

// Utilization returns the requests under way at replicas, of this node and the
// others, by the slots that the replicas have. It is 0 without replicas.
func (t *Tracker) Utilization(replicas []fleet.Replica, now time.Duration) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	underWay, slots := 0.0, 0
	for _, replica := range replicas {
		slots += cmp.Or(replica.Slots, usualSlots)
		if known, found := t.replicas[replica.Instance]; found {
			underWay += float64(known.underWay)
		}
		underWay += float64(t.elsewhereAt(replica.Instance, now))
	}
	if slots == 0 {
		return 0
	}
	return underWay / float64(slots)
}

// elsewhereAt is how many requests of other nodes are under way at instance, as
// far as they have told lately. It needs the mutex.
func (t *Tracker) elsewhereAt(instance string, now time.Duration) int {
	if now-t.heardAt > loads.Life {
		return 0
	}
	return int(float64(t.elsewhere[loads.KeyOf(instance)]) / t.coverage)
}

// failsElsewhere tells whether other nodes' requests fail at instance. It needs the
// mutex.
func (t *Tracker) failsElsewhere(instance string, now time.Duration) bool {
	return now-t.heardAt <= loads.Life && t.failing[loads.KeyOf(instance)]
}

// unproven tells whether the replica has failed lately and not served since.
func (r *record) unproven(now time.Duration) bool {
	return r.failures > 0 && now < r.suspectUntil+unprovenLife
}

// lag is how much of a slower pace counts, in milliseconds an event: a part of any
// difference, all of what is over that of a slow replica.
func lag(pace, fastest float64) float64 {
	if pace == 0 {
		return 0
	}
	return paceShare*(pace-fastest) + max(pace-slowPace*fastest, 0)
}

// keepLag replaces each candidate's pace by its lag behind the fastest.
func keepLag(candidates []Candidate) {
	fastest := math.Inf(1)
	for _, candidate := range candidates {
		if candidate.LagMilliseconds > 0 {
			fastest = min(fastest, candidate.LagMilliseconds)
		}
	}
	for i := range candidates {
		candidates[i].LagMilliseconds = lag(candidates[i].LagMilliseconds, fastest)
	}
}

// Own returns this node's load at each replica, where there is any.
func (t *Tracker) Own(now time.Duration) map[loads.Key]loads.Load {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own := map[loads.Key]loads.Load{}
	for instance, known := range t.replicas {
		failing := now < known.suspectUntil
		if known.underWay > 0 || failing {
			own[loads.KeyOf(instance)] = loads.Load{UnderWay: known.underWay, Failing: failing}
		}
	}
	return own
}

// Heard takes what another node has under way. coverage is the part of the other
// nodes that is heard of.
func (t *Tracker) Heard(from netip.AddrPort, counts map[loads.Key]loads.Load, coverage float64, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.coverage = coverage
	t.heardAt = now
	t.others[from] = otherNode{at: now, counts: counts}
	clear(t.elsewhere)
	clear(t.failing)
	for node, told := range t.others {
		if now-told.at > loads.Life {
			delete(t.others, node)
			continue
		}
		for key, load := range told.counts {
			t.elsewhere[key] += load.UnderWay
			if load.Failing {
				t.failing[key] = true
			}
		}
	}
}

// cachedTokens counts the parts from the first on that were seen without a gap.
func (r *record) cachedTokens(prompt []Part) int {
	total := 0
	for _, part := range prompt {
		if !r.recent[part.ID] && !r.older[part.ID] {
			break
		}
		total += part.Tokens
	}
	return total
}

// Begin notes that a request goes to instance.
func (t *Tracker) Begin(instance string, prompt []Part, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.record(instance)
	known.underWay++
	if known.waiting == 0 {
		known.waitingSince = now
	}
	known.waiting++
	if len(known.recent)+len(prompt) > partsPerReplica/2 {
		known.older, known.recent = known.recent, map[uint64]bool{}
	}
	for _, part := range prompt {
		known.recent[part.ID] = true
	}
}

// Answered notes that a request has got the head of an answer, or none will come.
func (t *Tracker) Answered(instance string, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.record(instance)
	known.waiting--
	known.waitingSince = now
}

// Paced notes how long the events of a stream took from the first to the last.
func (t *Tracker) Paced(instance string, events int, took time.Duration) {
	if events < leastEvents {
		return
	}
	pace := float64(took.Microseconds()) / 1000 / float64(events-1)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.record(instance)
	if known.pace == 0 {
		known.pace = pace
	}
	known.pace += paceWeight * (pace - known.pace)
}

// End notes that a request has left instance. failed tells that the replica, or
// the way to it, is at fault.
func (t *Tracker) End(instance string, failed bool, now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.record(instance)
	known.underWay--
	if !failed {
		known.failures = 0
		return
	}
	known.failures++
	known.suspectUntil = now + suspicion(known.failures)
}

func (t *Tracker) record(instance string) *record {
	known, found := t.replicas[instance]
	if !found {
		known = &record{recent: map[uint64]bool{}}
		t.replicas[instance] = known
	}
	return known
}

// Forget drops a replica that is gone, unless requests are under way there.
func (t *Tracker) Forget(instance string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, found := t.replicas[instance]; found && known.underWay == 0 {
		delete(t.replicas, instance)
	}
}
