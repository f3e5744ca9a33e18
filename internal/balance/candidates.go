package balance

import (
	"math"
	"slices"
	"time"

	"stepseam.example/stepseam/internal/distance"
	"stepseam.example/stepseam/internal/estimate"
	"stepseam.example/stepseam/internal/fleet"
)

// Requirements describes a request for the selection of its replica.
type Requirements struct {
	// Engine reports whether the replicas batch requests and cache prompts.
	Engine bool
	Prompt Prompt
	// NotRetryable reports that the request must not be sent to another replica after a
	// failure.
	NotRetryable bool
	// Exclude lists the incarnation IDs of replicas that were already tried.
	Exclude []string
	// PathTo returns the network path to a zone; nil places all zones in one region.
	PathTo func(zone string) distance.Path
	// Cold reports whether a replica is cold; nil treats all as warm.
	Cold func(replica fleet.Replica) bool
	// Connected reports whether a connection to a replica is open; nil treats all as
	// connected.
	Connected func(replica fleet.Replica) bool
}

// Candidates returns the candidates for a request among replicas. now is a monotonic
// reading.
func (t *Tracker) Candidates(replicas []fleet.Replica, requirements Requirements, now time.Duration) []Candidate {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	candidates := make([]Candidate, 0, len(replicas))
	pathTo := cachedPaths(requirements)
	for _, replica := range replicas {
		if !slices.Contains(requirements.Exclude, replica.IncarnationID()) {
			candidates = append(candidates, t.candidate(replica, requirements, pathTo(replica.Zone), now))
		}
	}
	replacePaceByLag(candidates)
	return candidates
}

// cachedPaths returns requirements.PathTo with the result cached per zone.
func cachedPaths(requirements Requirements) func(zone string) distance.Path {
	if requirements.PathTo == nil {
		return func(string) distance.Path { return distance.Path{RoundTrip: distance.DefaultZoneRoundTrip} }
	}
	paths := map[string]distance.Path{}
	return func(zone string) distance.Path {
		path, found := paths[zone]
		if !found {
			path = requirements.PathTo(zone)
			paths[zone] = path
		}
		return path
	}
}

// candidate describes one replica. Its LagMilliseconds is the replica's absolute time
// between events until replacePaceByLag makes it relative. The caller must hold the mutex.
func (t *Tracker) candidate(replica fleet.Replica, requirements Requirements, path distance.Path, now time.Duration) Candidate {
	id := replica.IncarnationID()
	elsewhere := t.peerLoads.load(id, now)
	candidate := Candidate{
		Instance: id, Version: replica.Version, SameZone: replica.Zone == t.zone, Engine: requirements.Engine, Slots: replica.Slots,
		OtherRegion: path.OtherRegion, RoundTripMilliseconds: milliseconds(path.RoundTrip),
		Lapsed:            replica.State == fleet.StateLapsed,
		InFlightElsewhere: elsewhere.InFlight, PendingTokensElsewhere: elsewhere.PendingTokens,
		CachedTokens:   t.cached(id, requirements.Prompt),
		FailedRecently: requirements.NotRetryable && elsewhere.Failing,
		Unconnected:    requirements.Connected != nil && !requirements.Connected(replica),
		Cold:           requirements.Cold != nil && requirements.Cold(replica),
	}
	if state, found := t.replicas[id]; found {
		candidate.InFlight = state.inFlight
		candidate.PendingTokens = state.pendingTokens
		candidate.Suspect = now < state.suspectUntil || state.awaitingHeader > 0 && now-state.noHeaderSince > minResponseTimeout
		candidate.LagMilliseconds = state.pace
		candidate.FailedRecently = candidate.FailedRecently || requirements.NotRetryable && state.failedRecently(now)
		candidate.Ejected, candidate.Probe = state.ejection.status(state.inFlight, now)
	}
	return candidate
}

// cached estimates the number of a prompt's tokens in the replica's cache from this node's
// own requests. The caller must hold the mutex.
func (t *Tracker) cached(instance string, prompt Prompt) int {
	cached := 0
	if prompt.CacheLocation.Instance == instance {
		cached = min(prompt.CacheLocation.Tokens, prompt.Tokens)
	}
	if state, found := t.replicas[instance]; found {
		cached = max(cached, state.sentSegments.cached(prompt.Segments))
	}
	return cached
}

// Rates returns the estimated speed of a service's replicas.
func (t *Tracker) Rates(service string) estimate.Rates {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.service(service).Rates()
}

// Utilization returns the ratio of requests in flight, of all nodes, to the slots of
// replicas. Replicas that do not report their slots count as having defaultSlots. It is 0
// if there are no slots.
func (t *Tracker) Utilization(replicas []fleet.Replica, defaultSlots int, now time.Duration) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	inFlight, slots := 0, 0
	for _, replica := range replicas {
		if replica.Slots > 0 {
			slots += replica.Slots
		} else {
			slots += defaultSlots
		}
		if state, found := t.replicas[replica.IncarnationID()]; found {
			inFlight += state.inFlight
		}
		inFlight += t.peerLoads.load(replica.IncarnationID(), now).InFlight
	}
	if slots == 0 {
		return 0
	}
	return float64(inFlight) / float64(slots)
}

// paceCost returns the cost per event of a replica's pace compared with the fastest one,
// in milliseconds: a fraction of the whole difference, plus the full difference above the
// threshold for slow replicas.
func paceCost(pace, fastest float64) float64 {
	if pace == 0 {
		return 0
	}
	return paceWeightInCost*(pace-fastest) + max(pace-slowPaceFactor*fastest, 0)
}

// replacePaceByLag replaces each candidate's pace by its lag behind the fastest candidate.
func replacePaceByLag(candidates []Candidate) {
	fastest := math.Inf(1)
	for _, candidate := range candidates {
		if candidate.LagMilliseconds > 0 {
			fastest = min(fastest, candidate.LagMilliseconds)
		}
	}
	for i := range candidates {
		candidates[i].LagMilliseconds = paceCost(candidates[i].LagMilliseconds, fastest)
	}
}
