package balance

import (
	"math"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/distance"
	"stepseam.example/stepseam/internal/estimate"
	"stepseam.example/stepseam/internal/fleet"
)

// Requirements is what a request needs of a replica.
type Requirements struct {
	// Engine tells that requests are batched and prompts cached.
	Engine bool
	Prompt Prompt
	// NotRetryable tells that a failure of the replica fails the request, which must not
	// go to another.
	NotRetryable bool
	// Exclude lists the lives of replicas that it has been to.
	Exclude []string
	// PathTo returns the way to a zone; nil takes all for zones of one region.
	PathTo func(zone string) distance.Path
	// Cold tells whether a replica is cold; nil counts all as warm.
	Cold func(replica fleet.Replica) bool
	// Connected tells whether a connection to a replica is open; nil counts all as
	// connected.
	Connected func(replica fleet.Replica) bool
}

// Candidates describes the replicas that a request may go to. now is a monotonic
// reading.
func (t *Tracker) Candidates(replicas []fleet.Replica, need Requirements, now time.Duration) []Candidate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	candidates := make([]Candidate, 0, len(replicas))
	ways := waysOf(need)
	for _, replica := range replicas {
		if !slices.Contains(need.Exclude, replica.IncarnationID()) {
			candidates = append(candidates, t.candidate(replica, need, ways(replica.Zone), now))
		}
	}
	keepLag(candidates)
	return candidates
}

// waysOf returns need.Way that looks each zone up once.
func waysOf(need Requirements) func(zone string) distance.Path {
	if need.PathTo == nil {
		return func(string) distance.Path { return distance.Path{RoundTrip: distance.DefaultZoneRoundTrip} }
	}
	known := map[string]distance.Path{}
	return func(zone string) distance.Path {
		way, found := known[zone]
		if !found {
			way = need.PathTo(zone)
			known[zone] = way
		}
		return way
	}
}

// candidate describes one replica; its lag is its whole pace still. It needs the mutex.
func (t *Tracker) candidate(replica fleet.Replica, need Requirements, way distance.Path, now time.Duration) Candidate {
	life := replica.IncarnationID()
	elsewhere := t.heard.load(life, now)
	described := Candidate{
		Instance: life, SameZone: replica.Zone == t.zone, Engine: need.Engine, Slots: replica.Slots,
		OtherRegion: way.OtherRegion, RoundTripMilliseconds: milliseconds(way.RoundTrip),
		Lapsed:            replica.State == fleet.StateLapsed,
		InFlightElsewhere: elsewhere.InFlight, PendingTokensElsewhere: elsewhere.PendingTokens,
		CachedTokens:   t.cached(life, need.Prompt),
		FailedRecently: need.NotRetryable && elsewhere.Failing,
		Unconnected:    need.Connected != nil && !need.Connected(replica),
		Cold:           need.Cold != nil && need.Cold(replica),
	}
	if known, found := t.replicas[life]; found {
		described.InFlight = known.underWay
		described.PendingTokens = known.unread
		described.Suspect = now < known.suspectUntil || known.waiting > 0 && now-known.waitingSince > patience
		described.LagMilliseconds = known.pace
		described.FailedRecently = described.FailedRecently || need.NotRetryable && known.unproven(now)
		described.Ejected, described.Probe = known.soundness.standing(known.underWay, now)
	}
	return described
}

// cached returns how much of a prompt the replica holds, as far as this node knows.
// It needs the mutex.
func (t *Tracker) cached(instance string, prompt Prompt) int {
	cached := 0
	if prompt.CacheLocation.Instance == instance {
		cached = min(prompt.CacheLocation.Tokens, prompt.Tokens)
	}
	if known, found := t.replicas[instance]; found {
		cached = max(cached, known.prompts.cached(prompt.Segments))
	}
	return cached
}

// Rates returns how fast the replicas of a service work.
func (t *Tracker) Rates(service string) estimate.Rates {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.service(service).Rates()
}

// Utilization returns the requests under way at replicas, of this node and the
// others, by the slots that the replicas have; usualSlots is taken of those that
// don't tell. It is 0 without slots.
func (t *Tracker) Utilization(replicas []fleet.Replica, usualSlots int, now time.Duration) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	underWay, slots := 0, 0
	for _, replica := range replicas {
		if replica.Slots > 0 {
			slots += replica.Slots
		} else {
			slots += usualSlots
		}
		if known, found := t.replicas[replica.IncarnationID()]; found {
			underWay += known.underWay
		}
		underWay += t.heard.load(replica.IncarnationID(), now).InFlight
	}
	if slots == 0 {
		return 0
	}
	return float64(underWay) / float64(slots)
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
