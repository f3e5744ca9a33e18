package router

import (
	"context"

	"github.com/samber/lo"

	"stepseam.example/stepseam/internal/aggregator"
	"stepseam.example/stepseam/internal/balance"
	"stepseam.example/stepseam/internal/fleet"
)

// chosenReplica is where an attempt goes; known is what the replica's keeper has told
// of it, or nil.
type chosenReplica struct {
	replica fleet.Replica
	known   *balance.AggregatedState
	// probe tells that the replica is ejected and is tried all the same.
	probe bool
}

// choose finds the replica for the next attempt; false if none is left.
func (r *Router) choose(ctx context.Context, call *call, course *attempts) (chosenReplica, bool) {
	scans := r.scans(call)
	var usable []fleet.Replica
	if scans {
		usable = r.eligible(call)
	} else {
		usable = r.gather(call, course)
	}
	connected := r.config.Replicas.Connected(call.route.Repeatable())
	need := balance.Requirements{
		Engine: call.service.Slots > 0, Prompt: call.prompt, Exclude: course.except,
		NotRetryable: !call.route.Repeatable() || call.route.MaxAttempts <= 1,
		Connected:    func(replica fleet.Replica) bool { return connected(targetOf(replica)) },
	}
	if r.config.Distances != nil {
		need.PathTo = r.config.Distances.PathTo
	}
	if r.bounded(call) {
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
	learned, known := r.askKeepers(ctx, call, candidates, byInstance, shortlist, need.NotRetryable)
	sound, probe := balance.FilterEjected(learned, candidates, need.NotRetryable)
	sound = balance.PreferOwnRegion(sound)
	if probe != nil {
		sound = []balance.Candidate{*probe}
	}
	choice, found := balance.Choose(sound, work, r.config.Random())
	if !found {
		return chosenReplica{}, false
	}
	chosen := chosenReplica{replica: byInstance[choice.Candidate.Instance], probe: probe != nil}
	if told, found := known[choice.Candidate.Instance]; found {
		chosen.known = &told
	}
	return chosen, true
}

// askKeepers returns the candidates to choose from, with what the keepers of their
// replicas know. Without any answer all candidates stay as they are.
func (r *Router) askKeepers(ctx context.Context, call *call, candidates []balance.Candidate, replicas map[string]fleet.Replica, shortlisted func([]balance.Candidate) []balance.Candidate, exposed bool) ([]balance.Candidate, map[string]balance.AggregatedState) {
	if r.config.Keepers == nil || len(candidates) < 2 {
		return candidates, nil
	}
	near, far := balance.SplitByRoundTrip(candidates, float64(aggregator.QueryTimeout.Milliseconds()))
	if len(near) == 0 {
		return candidates, nil // no keeper can answer in time
	}
	shortlist := shortlisted(near)
	asked := lo.Map(shortlist, func(candidate balance.Candidate, _ int) aggregator.Replica {
		return kept(replicas[candidate.Instance], call)
	})
	states := r.config.Keepers.Query(ctx, asked, keptParts(call.prompt.Segments))
	if len(states) == 0 {
		return candidates, nil
	}
	known := lo.MapValues(states, func(state aggregator.State, _ string) balance.AggregatedState {
		return balance.AggregatedState{Load: state.Load, CachedTokens: state.CachedTokens, Complete: state.Complete, Ejected: state.Ejected, Probe: state.Probe}
	})
	learned := lo.Map(shortlist, func(candidate balance.Candidate, _ int) balance.Candidate {
		if told, found := known[candidate.Instance]; found {
			candidate.Ejected, candidate.Probe = r.config.Tracker.ApplyAggregatedState(candidate.Instance, told, r.Now())
			return candidate.WithAggregatedState(told, exposed)
		}
		return candidate
	})
	return append(learned, far...), known
}

// report tells a replica's keeper what this node has there now; parts is a prompt
// that the replica holds from now on.
func (r *Router) report(call *call, replica fleet.Replica, parts []balance.Segment) {
	if r.config.Keepers == nil {
		return
	}
	load := r.config.Tracker.Load(replica.IncarnationID(), r.Now())
	r.config.Keepers.Report(kept(replica, call), load, keptParts(parts))
}

func kept(replica fleet.Replica, call *call) aggregator.Replica {
	return aggregator.Replica{Instance: replica.IncarnationID(), Zone: replica.Zone, CapacityTokens: call.service.MemoryTokens}
}

func keptParts(parts []balance.Segment) []aggregator.Segment {
	return lo.Map(parts, func(part balance.Segment, _ int) aggregator.Segment {
		return aggregator.Segment{ID: uint32(part.ID), Tokens: part.Tokens}
	})
}

// held returns the parts of the prompt with what the stream has added to the last one,
// which is the program's own.
func (s *stream) held() []balance.Segment {
	parts := append([]balance.Segment(nil), s.call.prompt.Segments...)
	if len(parts) > 0 {
		parts[len(parts)-1].Tokens += int(s.tokens)
	}
	return parts
}
