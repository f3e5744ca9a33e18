package coordinator

import (
	"context"
	"time"
)

const (
	// standingPause is the time between two looks whether the store answers this node.
	standingPause = 50 * time.Millisecond
	// returnAfter is how long the store must have answered this node again before it takes
	// its partitions back, so that homes don't move to and fro. Where it ceases to answer
	// again within flapWithin, twice as long each time, up to longestReturn.
	returnAfter   = time.Second
	flapWithin    = 5 * time.Second
	longestReturn = 4 * time.Second
	// candidateProbePause and otherProbePause are the times between two reads of a node that
	// the store does not answer, by whether partitions wait for it: it gets no work in the
	// store, and would not hear that the store answers again.
	candidateProbePause = 250 * time.Millisecond
	otherProbePause     = time.Second
	// probeTimeout bounds one such read.
	probeTimeout = 400 * time.Millisecond
	// tellAllRank is up to which rank for some partition a node tells all others at once:
	// its work goes elsewhere, or would come to it next.
	tellAllRank = 3
)

// standing is what a node tells others of the store: away as soon as the store does not
// answer it, back once it has answered for hold.
type standing struct {
	away bool
	// hold is how long the store must answer before the node is back, which was so at backAt
	// last.
	hold, backAt time.Duration
	// changes counts the changes of away, see LacksStore.
	changes uint64
	// answering tells that the store has answered since answeredSince.
	answering     bool
	answeredSince time.Duration
}

// observe takes whether the store answers now, and tells whether away has changed.
func (s *standing) observe(answers bool, now time.Duration) (changed bool) {
	if !s.answering && answers {
		s.answeredSince = now
	}
	s.answering = answers
	away := !answers || s.away && now-s.answeredSince < s.hold
	if away == s.away {
		return false
	}
	s.away = away
	s.changes++
	switch {
	case !away:
		s.backAt = now
	case s.hold > 0 && now-s.backAt < flapWithin:
		s.hold = min(2*s.hold, longestReturn)
	default:
		s.hold = returnAfter
	}
	return true
}

// watchStore tells the other nodes whether the store answers this one, and asks the store
// again and again while it does not, until ctx ends.
func (s *Service) watchStore(ctx context.Context) {
	if s.config.Announce == nil || s.config.StoreAvailable == nil {
		return
	}
	ticker := time.NewTicker(standingPause)
	defer ticker.Stop()
	seen, probed, probes := standing{}, time.Duration(0), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Since(s.began)
		if seen.observe(s.config.StoreAvailable(), now) {
			s.announce(seen)
		}
		if !seen.away || seen.answering {
			continue
		}
		if rank, partitions := s.candidacies(); now-probed >= probePauseOf(rank) {
			probed = now
			go s.probe(ctx, probePlace(partitions, probes))
			probes++
		}
	}
}

// probePlace returns the partition for a probe: each of those that this node may keep in turn,
// since a single one may be away while the store answers on all others.
func probePlace(partitions []int, probes int) int {
	if len(partitions) == 0 {
		return 0
	}
	return partitions[probes%len(partitions)]
}

func probePauseOf(rank int) time.Duration {
	if rank < candidateCount {
		return candidateProbePause
	}
	return otherProbePause
}

// announce tells the others of this node's standing.
func (s *Service) announce(seen standing) {
	s.away.Store(seen.away)
	rank, _ := s.candidacies()
	everybody := rank < tellAllRank
	s.config.Logger.Info("store's answers to this node told", "away", seen.away, "changes", seen.changes, "everybody", everybody)
	s.standings.WithLabelValues(standingName(seen.away)).Inc()
	s.config.Announce(seen.changes, everybody)
}

func standingName(away bool) string {
	if away {
		return "away"
	}
	return "back"
}

// probe asks the store; its answer counts as any call's does.
func (s *Service) probe(ctx context.Context, partition int) {
	within, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s.config.Ledger.CatchUp(within, partition)
}

// candidacies returns this node's best rank for a partition, 0 for the first and
// candidateCount if it is no candidate of any, and the partitions that it is a candidate of.
func (s *Service) candidacies() (rank int, partitions []int) {
	view := s.view.Load()
	if view == nil {
		return candidateCount, nil
	}
	return view.candidacies(s.config.Self)
}
