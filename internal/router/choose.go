package router

import (
	"context"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/fleet"
)

// chosenReplica is the target of an attempt. aggregated is the state reported by the
// replica's aggregator, or nil.
type chosenReplica struct {
	replica    fleet.Replica
	aggregated *balance.AggregatedState
	// probe reports whether the replica is ejected and the request probes it.
	probe bool
}

// choose selects the replica for the next attempt. It returns false if there is none.
func (r *Router) choose(ctx context.Context, call *call, retry *retryState) (chosenReplica, bool) {
	retry.chosenAt = r.Now()
	scans := r.scansAll(call)
	var usable []fleet.Replica
	if scans {
		usable = r.eligible(call, retry.chosenAt)
	} else {
		usable = r.sampleReplicas(call, retry)
	}
	connected := r.config.Replicas.Connected(call.route.Repeatable())
	need := balance.Requirements{
		Engine: call.service.Slots > 0, Prompt: call.prompt, Exclude: retry.excluded,
		NotRetryable: !call.route.Repeatable() || call.route.MaxAttempts <= 1,
		Connected:    func(replica fleet.Replica) bool { return connected(targetOf(replica)) },
	}
	if r.config.Distances != nil {
		need.PathTo = r.config.Distances.PathTo
	}
	if r.limitsCold(call) {
		need.Cold = func(replica fleet.Replica) bool { return r.isCold(call, replica.IncarnationID()) }
	}
	candidates := r.config.Tracker.Candidates(usable, need, r.Now())
	work := balance.Work{PromptTokens: call.prompt.Tokens, Rates: r.config.Tracker.Rates(call.service.Name)}
	if len(call.prompt.Segments) > 0 {
		work.FirstSegment = call.prompt.Segments[0].ID
	}
	byInstance := lo.KeyBy(usable, func(replica fleet.Replica) string { return replica.IncarnationID() })
	shortlist := func(near []balance.Candidate) []balance.Candidate { return near }
	if scans {
		shortlist = func(near []balance.Candidate) []balance.Candidate {
			return balance.Shortlist(near, work, r.config.Random)
		}
	}
	updated, aggregated := r.queryAggregators(ctx, call, candidates, byInstance, shortlist, need.NotRetryable)
	healthy, probe := balance.FilterEjected(updated, candidates, need.NotRetryable)
	healthy = balance.PreferOwnRegion(healthy)
	if call.route.Resumable && call.origin == nil {
		healthy = balance.LeaveRoom(healthy)
	}
	if r.mayEndReplica(call) {
		healthy, probe = balance.FewestRunning(healthy), nil
	}
	if probe != nil {
		healthy = []balance.Candidate{*probe}
	}
	choice, found := balance.Choose(healthy, work, r.config.Random())
	if !found {
		return chosenReplica{}, false
	}
	chosen := chosenReplica{replica: byInstance[choice.Candidate.Instance], probe: probe != nil}
	if state, found := aggregated[choice.Candidate.Instance]; found {
		chosen.aggregated = &state
	}
	return chosen, true
}

// queryAggregators queries the aggregators of the shortlisted candidates and returns the
// candidates updated with their responses. Without any response all candidates are
// returned unchanged.
func (r *Router) queryAggregators(ctx context.Context, call *call, candidates []balance.Candidate, replicas map[string]fleet.Replica, selectShortlist func([]balance.Candidate) []balance.Candidate, notRetryable bool) ([]balance.Candidate, map[string]balance.AggregatedState) {
	if r.config.Keepers == nil || len(candidates) < 2 {
		return candidates, nil
	}
	near, far := balance.SplitByRoundTrip(candidates, float64(aggregator.QueryTimeout.Milliseconds()))
	if len(near) == 0 {
		return candidates, nil // no aggregator can respond in time
	}
	shortlist := selectShortlist(near)
	queries := lo.Map(shortlist, func(candidate balance.Candidate, _ int) aggregator.Replica {
		return aggregatorReplica(replicas[candidate.Instance], call)
	})
	states := r.config.Keepers.Query(ctx, queries, aggregatorSegments(call.prompt.Segments))
	if len(states) == 0 {
		return candidates, nil
	}
	aggregated := lo.MapValues(states, func(state aggregator.State, _ string) balance.AggregatedState {
		return balance.AggregatedState{Load: state.Load, CachedTokens: state.CachedTokens, Complete: state.Complete, Ejected: state.Ejected, Probe: state.Probe}
	})
	updated := lo.Map(shortlist, func(candidate balance.Candidate, _ int) balance.Candidate {
		if state, found := aggregated[candidate.Instance]; found {
			candidate.Ejected, candidate.Probe = r.config.Tracker.ApplyAggregatedState(candidate.Instance, state, r.Now())
			return candidate.WithAggregatedState(state, notRetryable)
		}
		return candidate
	})
	return append(updated, far...), aggregated
}

// reportLoad reports this node's load at a replica to the replica's aggregator. segments
// are the prompt segments that the replica now has in its cache.
func (r *Router) reportLoad(call *call, replica fleet.Replica, segments []balance.Segment) {
	if r.config.Keepers == nil {
		return
	}
	load := r.config.Tracker.Load(replica.IncarnationID(), r.Now())
	r.config.Keepers.Report(aggregatorReplica(replica, call), load, aggregatorSegments(segments))
}

func aggregatorReplica(replica fleet.Replica, call *call) aggregator.Replica {
	return aggregator.Replica{Instance: replica.IncarnationID(), Zone: replica.Zone, CapacityTokens: call.service.MemoryTokens}
}

func aggregatorSegments(segments []balance.Segment) []aggregator.Segment {
	return lo.Map(segments, func(segment balance.Segment, _ int) aggregator.Segment {
		return aggregator.Segment{ID: uint32(segment.ID), Tokens: segment.Tokens}
	})
}

// cachedSegments returns the prompt's segments. The last one, which is specific to the
// program, is extended by the tokens of the stream.
func (s *stream) cachedSegments() []balance.Segment {
	segments := append([]balance.Segment(nil), s.call.prompt.Segments...)
	if len(segments) > 0 {
		segments[len(segments)-1].Tokens += int(s.tokens)
	}
	return segments
}
