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

// candidate is a node that may own a shard; local is this node.
type candidate struct {
	local bool
	hint  hint
}

// tryFunc makes the request at one candidate. Its error is nil, a *notOwner, a
// peer error or a problem for the caller.
type tryFunc func(ctx context.Context, at candidate) error

// search looks for a shard's owner on behalf of one request.
type search struct {
	forwarder *Forwarder
	shard     identity.ShardID
	try       tryFunc
	// isCall is set for calls and fetches of them.
	isCall bool
	// ownerless tells that another request has just looked in vain.
	ownerless bool
	// accepted tells that an owner may have taken the request up and is gone;
	// the next owner joins it or runs it, and what that one says holds.
	accepted bool
	// uncertain tells that a try vanished on its way. It may still arrive late at
	// an owner, so no later refusal proves that the request does not run.
	uncertain bool
}

// run tries candidates in rounds until one answers, the request's time is over
// or there was no owner for too long.
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
		if time.Since(started)+pause > s.patience() {
			s.forwarder.vacant.Store(s.shard, time.Now())
			return s.noOwner(time.Since(started))
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return s.ended(ctx)
		}
	}
}

// patience is how long an owner is looked for. A call that may have been taken
// up is worth more: only an owner can tell what became of it. A shard that had no
// owner for the whole patience of another request a moment ago is worth less, so
// that in a long outage requests are refused at once.
func (s *search) patience() time.Duration {
	timing := s.forwarder.config.Timing
	switch {
	case s.isCall && (s.accepted || s.uncertain):
		return timing.AcceptedPatience
	case s.ownerless:
		return timing.OwnerlessPatience
	default:
		return timing.Patience
	}
}

// round tries each candidate once, hinted ones first.
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
		next, answered, err := s.tryAt(ctx, at)
		if answered {
			return true, err
		}
		if next.node.Name != "" {
			hinted = slices.Insert(hinted, 0, s.forwarder.candidate(next))
		}
	}
	return false, nil
}

// tryAt makes the request at one candidate. Where it has no answer it may have
// a hint of whom to try next.
func (s *search) tryAt(ctx context.Context, at candidate) (next hint, answered bool, err error) {
	err = s.try(ctx, at)
	var refused *notOwner
	switch {
	case err == nil:
		s.forwarder.remember(s.shard, at)
		return hint{}, true, nil
	case errors.As(err, &refused):
		s.accepted = s.accepted || refused.accepted
		s.forwarder.forget(s.shard, at)
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
	s.forwarder.forget(s.shard, at)
	s.forwarder.config.Logger.Debug("request to the shard's owner failed",
		"shard", s.shard, "node", at.hint.node.Name, "error", err)
	return hint{}, false, nil
}

// qualify takes the certainty off a refusal where an earlier try may still arrive.
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

// ended is the outcome of a request whose context ended while no owner answered.
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

// sources list who may own shard, likeliest first; each is only asked when those
// before it did not lead to the owner. This node comes first: asking it costs
// nothing.
func (f *Forwarder) sources(shard identity.ShardID) []func() []candidate {
	return []func() []candidate{
		func() []candidate { return []candidate{{local: true, hint: hint{node: f.config.Self}}} },
		func() []candidate { return f.rememberedOwner(shard) },
		func() []candidate { return f.journalOwner(shard) },
		func() []candidate { return f.rankedNodes(shard) },
	}
}

func (f *Forwarder) rememberedOwner(shard identity.ShardID) []candidate {
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
	nodes := f.config.Ranks(shard, f.config.Board.Members.Load(), ranksAsked)
	ranked := make([]candidate, 0, len(nodes))
	for _, node := range nodes {
		ranked = append(ranked, f.candidate(hint{node: node.Reference(), peer: node.PeerAddress}))
	}
	return ranked
}

func (f *Forwarder) candidate(given hint) candidate {
	return candidate{local: given.node.Name == f.config.Self.Name, hint: given}
}

// ownerless tells whether a search for the shard's owner failed a moment ago.
func (f *Forwarder) ownerless(shard identity.ShardID) bool {
	failed, found := f.vacant.Load(shard)
	return found && time.Since(failed) < f.config.Timing.OwnerlessMemory
}

// remember keeps who answered, as the first to be asked next time.
func (f *Forwarder) remember(shard identity.ShardID, at candidate) {
	f.vacant.Delete(shard)
	if at.local {
		f.config.Board.Owners.Delete(shard)
		return
	}
	f.config.Board.Owners.Store(shard, blackboard.Owner{Node: at.hint.node, Peer: at.hint.peer, Epoch: at.hint.epoch})
}

// forget drops a hint that proved wrong, if it still is the one that stands.
func (f *Forwarder) forget(shard identity.ShardID, at candidate) {
	f.config.Board.Owners.Update(shard, func(known blackboard.Owner, found bool) (blackboard.Owner, bool) {
		return known, found && (known.Node != at.hint.node || known.Peer != at.hint.peer)
	})
}
