package serving

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
	"stepseam.example/stepseam/internal/wait"
)

// processOutbox releases the cache of a program until every engine has confirmed. One
// goroutine per program with pending releases runs it. It ends with the shard; the next
// owner recovers the outbox from the journal.
func (s *shard) processOutbox(id identity.ProgramID) {
	defer s.drivers.Done()
	timing := s.owner.config.Timing
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = timing.ReleaseRetryMin
	pause.MaxInterval = timing.ReleaseRetryMax
	began := time.Now()
	for s.context.Err() == nil {
		pending, over := s.pendingReleases(id)
		if over {
			return
		}
		confirmed := 0
		for _, release := range pending {
			if s.release(id, release, began) {
				confirmed++
			}
		}
		if confirmed == len(pending) {
			pause.Reset()
			continue
		}
		if wait.For(s.context, pause.NextBackOff()) != nil {
			return
		}
	}
}

// pendingReleases returns the outbox of the program; over is true once it is empty.
func (s *shard) pendingReleases(id identity.ProgramID) (pending []program.Release, over bool) {
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	p := s.machine.set.Get(id)
	if p == nil {
		return nil, true
	}
	pending = p.Outbox()
	if len(pending) == 0 {
		s.entryOf(id).releasing = false
		return nil, true
	}
	return pending, false
}

// release cancels the streams that may still run, frees the memory and records the
// engine's confirmation. An engine that was removed from the machine list counts as
// confirmed.
func (s *shard) release(id identity.ProgramID, release program.Release, startedAt time.Time) bool {
	if rule := s.owner.config.Hooks.Release; rule != nil && !rule(id) {
		return false
	}
	if s.checkLease() != nil {
		return false
	}
	if err := s.releaseAtEngine(id, release); err != nil {
		s.owner.metrics.releaseFailures.WithLabelValues(release.Backend).Inc()
		removed := time.Since(startedAt) >= s.owner.config.Timing.RemovedEngineDelay && !s.owner.listed(release.Address)
		if !removed {
			return false
		}
		s.owner.logger.Info("engine is not in the machine list; treating its cache as released", "program", id, "backend", release.Backend,
			"shard", s.journal.ID(), "epoch", s.journal.Epoch())
	}
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	if s.stopped {
		return false
	}
	_, err := s.commit(false, program.Released{ID: id, Backend: release.Backend, Branch: release.Branch})
	s.owner.metrics.released.Inc()
	return err == nil
}

func (s *shard) releaseAtEngine(id identity.ProgramID, release program.Release) error {
	ctx, cancel := context.WithTimeout(s.context, s.owner.config.Timing.RequestTimeout)
	defer cancel()
	engine := s.owner.config.Directory.Engine(release.Address)
	for _, stream := range release.Streams {
		if err := engine.Cancel(ctx, stream); err != nil {
			return err
		}
	}
	return engine.Release(ctx, id, release.Branch)
}
