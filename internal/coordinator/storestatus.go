package coordinator

import (
	"context"
	"time"
)

const (
	// statusPollInterval is the time between two checks whether the store is available to this
	// node.
	statusPollInterval = 50 * time.Millisecond
	// recoveryDelay is how long the store must have been available to this node again before
	// the node takes its partitions back, so that partitions do not move back and forth. The
	// delay doubles, up to maxRecoveryDelay, if the store becomes unavailable again within
	// flapWindow.
	recoveryDelay    = time.Second
	flapWindow       = 5 * time.Second
	maxRecoveryDelay = 4 * time.Second
	// candidateProbeInterval and otherProbeInterval are the times between two probes by a node
	// to which the store is unavailable, depending on whether it is a candidate for any
	// partition. Such a node gets no work that needs the store, so that only a probe can show a
	// recovery.
	candidateProbeInterval = 250 * time.Millisecond
	otherProbeInterval     = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 400 * time.Millisecond
	// broadcastRank is the rank, exclusive, below which a candidate announces its status to all
	// nodes at once: its work moves to others, or would come to it next.
	broadcastRank = 3
)

// storeStatus is the availability of the store as this node announces it: unavailable at once,
// and available again after a delay.
type storeStatus struct {
	unavailable bool
	// recoverAfter is how long the store must be available before that is announced, which last
	// happened at recoveredAt.
	recoverAfter, recoveredAt time.Duration
	// changes counts the changes of unavailable, see StoreUnreachable.
	changes uint64
	// available is set if the store has been available since availableSince.
	available      bool
	availableSince time.Duration
}

// observe records whether the store is available now and reports whether unavailable has
// changed.
func (s *storeStatus) observe(answers bool, now time.Duration) (changed bool) {
	if !s.available && answers {
		s.availableSince = now
	}
	s.available = answers
	unavailable := !answers || s.unavailable && now-s.availableSince < s.recoverAfter
	if unavailable == s.unavailable {
		return false
	}
	s.unavailable = unavailable
	s.changes++
	switch {
	case !unavailable:
		s.recoveredAt = now
	case s.recoverAfter > 0 && now-s.recoveredAt < flapWindow:
		s.recoverAfter = min(2*s.recoverAfter, maxRecoveryDelay)
	default:
		s.recoverAfter = recoveryDelay
	}
	return true
}

// watchStore announces the store's availability to this node and probes the store while it is
// unavailable, until ctx ends.
func (s *Service) watchStore(ctx context.Context) {
	if s.config.Announce == nil || s.config.StoreAvailable == nil {
		return
	}
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	seen, probed, probes := storeStatus{}, time.Duration(0), 0
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
		if !seen.unavailable || seen.available {
			continue
		}
		if rank, partitions := s.candidacies(); now-probed >= probeIntervalOf(rank) {
			probed = now
			go s.probe(ctx, probePartition(partitions, probes))
			probes++
		}
	}
}

// probePartition returns the partition to probe. It rotates over the partitions of which this
// node is a candidate, since a single one may be unavailable while the store serves all others.
func probePartition(partitions []int, probes int) int {
	if len(partitions) == 0 {
		return 0
	}
	return partitions[probes%len(partitions)]
}

func probeIntervalOf(rank int) time.Duration {
	if rank < candidateCount {
		return candidateProbeInterval
	}
	return otherProbeInterval
}

// announce announces this node's status, to all nodes at once if this node ranks high for any
// partition.
func (s *Service) announce(seen storeStatus) {
	s.unavailable.Store(seen.unavailable)
	rank, _ := s.candidacies()
	everybody := rank < broadcastRank
	s.config.Logger.Info("announced the store's availability to this node", "away", seen.unavailable, "changes", seen.changes, "everybody", everybody)
	s.statusChanges.WithLabelValues(statusLabel(seen.unavailable)).Inc()
	s.config.Announce(seen.changes, everybody)
}

func statusLabel(unavailable bool) string {
	if unavailable {
		return "away"
	}
	return "back"
}

// probe reads from the store; its outcome counts like that of any other call.
func (s *Service) probe(ctx context.Context, partition int) {
	within, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s.config.Ledger.CatchUp(within, partition)
}

// candidacies returns this node's best rank for a partition, 0 for the first and candidateCount
// if it is no candidate of any, and the partitions of which it is a candidate.
func (s *Service) candidacies() (rank int, partitions []int) {
	view := s.view.Load()
	if view == nil {
		return candidateCount, nil
	}
	return view.candidacies(s.config.Self)
}
