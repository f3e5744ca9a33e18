package forwarding

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/peer"
)

// candidate is a node that may own a shard; local is true for this node.
type candidate struct {
	local bool
	hint  hint
}

// attemptFunc sends the request to one candidate. Its error is nil, a *notOwner, a peer
// error or a problem for the caller.
type attemptFunc func(ctx context.Context, at candidate) error

// search finds the owner of a shard for one request. Only one goroutine uses it.
type search struct {
	forwarder *Forwarder
	shard     identity.ShardID
	attempt   attemptFunc
	// isCall is true for Call and Fetch requests.
	isCall bool
	// ownerless is true if the search of another request failed recently.
	ownerless bool
	// accepted is true if a previous owner may have accepted the request. The next owner
	// joins or runs it, and its response is authoritative.
	accepted bool
	// uncertain is true if the outcome of an attempt is unknown. The attempt may still be
	// delivered to an owner, so that a later rejection does not prove that the request
	// does not run.
	uncertain bool
}

// run tries the candidates in rounds until one responds, ctx ends or the search times
// out.
func (s *search) run(ctx context.Context) error {
	started := time.Now()
	s.ownerless = s.forwarder.ownerless(s.shard)
	pauses := &backoff.ExponentialBackOff{
		InitialInterval:     s.forwarder.config.Timing.FirstPause,
		MaxInterval:         s.forwarder.config.Timing.MaxPause,
		RandomizationFactor: s.forwarder.config.Timing.Jitter,
		Multiplier:          2,
	}
	pauses.Reset()
	for {
		answered, err := s.round(ctx)
		if answered {
			return s.qualify(err)
		}
		pause := pauses.NextBackOff()
		if time.Since(started)+pause > s.timeout() {
			s.forwarder.ownerlessSince.Store(s.shard, time.Now())
			return s.noOwner(time.Since(started))
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return s.ended(ctx)
		}
	}
}

// timeout returns how long an owner is searched for. It is longer for a call that may
// have been accepted, since only an owner knows its outcome. It is shorter if another
// request recently searched in vain, so that requests fail fast during a long outage.
func (s *search) timeout() time.Duration {
	timing := s.forwarder.config.Timing
	switch {
	case s.isCall && (s.accepted || s.uncertain):
		return timing.AcceptedTimeout
	case s.ownerless:
		return timing.OwnerlessTimeout
	default:
		return timing.OwnerTimeout
	}
}

// round tries each candidate once, in order of likelihood; hints from responses come
// first.
func (s *search) round(ctx context.Context) (answered bool, err error) {
	tried := map[identity.NodeName]bool{}
	var hinted []candidate
	sources := s.forwarder.sources(s.shard)
	for len(tried) < maxCandidates {
		for len(hinted) == 0 && len(sources) > 0 {
			hinted = sources[0]()
			sources = sources[1:]
		}
		if len(hinted) == 0 {
			break
		}
		at := hinted[0]
		hinted = hinted[1:]
		if tried[at.hint.node.Name] {
			continue
		}
		tried[at.hint.node.Name] = true
		next, answered, err := s.attemptAt(ctx, at)
		if answered {
			return true, err
		}
		if next.node.Name != "" {
			hinted = slices.Insert(hinted, 0, s.forwarder.candidate(next))
		}
	}
	return false, nil
}

// attemptAt sends the request to one candidate. If that candidate is not the owner, next
// is its hint, if it has one.
func (s *search) attemptAt(ctx context.Context, at candidate) (next hint, answered bool, err error) {
	err = s.attempt(ctx, at)
	var refused *notOwner
	switch {
	case err == nil:
		s.forwarder.cacheOwner(s.shard, at)
		return hint{}, true, nil
	case errors.As(err, &refused):
		s.accepted = s.accepted || refused.accepted
		s.forwarder.dropOwner(s.shard, at)
		return refused.hint, false, nil
	case isProblem(err):
		return hint{}, true, err
	}
	if !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrUnknownKind) {
		s.uncertain = true
	}
	if ctx.Err() != nil {
		return hint{}, true, s.ended(ctx)
	}
	s.forwarder.dropOwner(s.shard, at)
	s.forwarder.config.Logger.Debug("request to the shard's owner failed",
		"shard", s.shard, "node", at.hint.node.Name, "error", err)
	return hint{}, false, nil
}

// qualify clears NotRun of a problem if an earlier attempt may still be delivered.
func (s *search) qualify(err error) error {
	var problem *api.Problem
	if !s.uncertain || !errors.As(err, &problem) || !problem.NotRun {
		return err
	}
	qualified := *problem
	return qualified.WithNotRun(false)
}

func (s *search) noOwner(sought time.Duration) error {
	problem := api.NewProblem(api.CodeNoOwner, "shard %d had no owner for %s", s.shard, sought.Round(time.Millisecond))
	return problem.WithNotRun(!s.accepted && !s.uncertain).WithRetryAfter(s.forwarder.config.Timing.RetryAfter)
}

// ended returns the error of a request whose context ended before an owner responded.
func (s *search) ended(ctx context.Context) error {
	certain := !s.accepted && !s.uncertain
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return api.NewProblem(api.CodeDeadline, "the deadline passed before an owner of shard %d answered", s.shard).
			WithNotRun(certain).WithRetryAfter(s.forwarder.config.Timing.RetryAfter)
	}
	return api.NewProblem(api.CodeInterrupted, "the caller left").WithNotRun(certain)
}

func isProblem(err error) bool {
	var problem *api.Problem
	return errors.As(err, &problem) && !errors.Is(err, journal.ErrNotOwner)
}

// sources returns the sources of candidates for shard, most likely first. Each is queried
// only if those before it did not lead to the owner. This node comes first, as a local
// attempt costs nothing.
func (f *Forwarder) sources(shard identity.ShardID) []func() []candidate {
	return []func() []candidate{
		func() []candidate { return []candidate{{local: true, hint: hint{node: f.config.Self}}} },
		func() []candidate { return f.cachedOwner(shard) },
		func() []candidate { return f.journalOwner(shard) },
		func() []candidate { return f.rankedNodes(shard) },
	}
}

func (f *Forwarder) cachedOwner(shard identity.ShardID) []candidate {
	owner, found := f.config.Board.Owners.Load(shard)
	if !found {
		return nil
	}
	return []candidate{f.candidate(hint{node: owner.Node, peer: owner.Peer, epoch: owner.Epoch})}
}

func (f *Forwarder) journalOwner(shard identity.ShardID) []candidate {
	if f.config.OwnerHint == nil {
		return nil
	}
	node, epoch, found := f.config.OwnerHint(shard)
	if !found {
		return nil
	}
	return []candidate{f.candidate(hint{node: node.Reference(), peer: node.PeerAddress, epoch: epoch})}
}

func (f *Forwarder) rankedNodes(shard identity.ShardID) []candidate {
	nodes := f.config.Ranks(shard, f.config.Board.Members.Load(), maxRankedNodes)
	ranked := make([]candidate, 0, len(nodes))
	for _, node := range nodes {
		ranked = append(ranked, f.candidate(hint{node: node.Reference(), peer: node.PeerAddress}))
	}
	return ranked
}

func (f *Forwarder) candidate(given hint) candidate {
	return candidate{local: given.node.Name == f.config.Self.Name, hint: given}
}

// ownerless reports whether a search for the shard's owner failed recently.
func (f *Forwarder) ownerless(shard identity.ShardID) bool {
	failed, found := f.ownerlessSince.Load(shard)
	return found && time.Since(failed) < f.config.Timing.OwnerlessTTL
}

// cacheOwner stores the node that responded as the first remote candidate for later
// requests.
func (f *Forwarder) cacheOwner(shard identity.ShardID, at candidate) {
	f.ownerlessSince.Delete(shard)
	if at.local {
		f.config.Board.Owners.Delete(shard)
		return
	}
	f.config.Board.Owners.Store(shard, blackboard.Owner{Node: at.hint.node, Peer: at.hint.peer, Epoch: at.hint.epoch})
}

// dropOwner removes the cached owner if it is still the given candidate.
func (f *Forwarder) dropOwner(shard identity.ShardID, at candidate) {
	f.config.Board.Owners.Update(shard, func(known blackboard.Owner, found bool) (blackboard.Owner, bool) {
		return known, found && (known.Node != at.hint.node || known.Peer != at.hint.peer)
	})
}
