package balance

import (
	"slices"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/fleet"
)

// partsPerReplica bounds the prompt parts remembered of one replica. When it is
// reached, the older half is forgotten.
const partsPerReplica = 4096

// Tracker holds what this node knows of replicas. It is safe for concurrent use.
type Tracker struct {
	// zone is this node's own.
	zone string

	// mutex guards replicas.
	mutex    sync.Mutex
	replicas map[string]*record
}

// record is what is known of one replica.
type record struct {
	underWay int
	failures int
	// suspectUntil is a monotonic reading.
	suspectUntil time.Duration
	// recent and older hold prompt parts seen there, in two generations.
	recent, older map[uint64]bool
}

// NewTracker returns a tracker of a node in zone.
func NewTracker(zone string) *Tracker {
	return &Tracker{zone: zone, replicas: map[string]*record{}}
}

// Candidates describes the replicas that a request with the given prompt may go
// to, without those in except. now is a monotonic reading.
func (t *Tracker) Candidates(replicas []fleet.Replica, engine bool, prompt []Part, except []string, now time.Duration) []Candidate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	candidates := make([]Candidate, 0, len(replicas))
	for _, replica := range replicas {
		if slices.Contains(except, replica.Instance) {
			continue
		}
		candidate := Candidate{Instance: replica.Instance, SameZone: replica.Zone == t.zone, Engine: engine}
		if known, found := t.replicas[replica.Instance]; found {
			candidate.UnderWay = known.underWay
			candidate.Suspect = now < known.suspectUntil
			candidate.CachedTokens = known.cachedTokens(prompt)
		}
		candidates = append(candidates, candidate)
	}
	return candidates
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
func (t *Tracker) Begin(instance string, prompt []Part) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.record(instance)
	known.underWay++
	if len(known.recent)+len(prompt) > partsPerReplica/2 {
		known.older, known.recent = known.recent, map[uint64]bool{}
	}
	for _, part := range prompt {
		known.recent[part.ID] = true
	}
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
