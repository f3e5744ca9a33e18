package serving

import (
	"context"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/program"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/siteservices"
)

// pauses keeps, for each kind of branch, how long its pauses last.
type pauses struct {
	mutex sync.Mutex
	book  *scheduling.PauseHistories
}

func newPauses() *pauses { return &pauses{book: scheduling.NewPauseHistories()} }

func (p *pauses) returned(kind string, pause time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.book.History(kind).Returned(pause)
}

func (p *pauses) abandoned(kind string, pause time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.book.History(kind).Abandoned(pause)
}

func (p *pauses) keepWarm(now time.Time, paused []scheduling.Paused, patience time.Duration) []scheduling.Eviction {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.book.SelectEvictions(now, paused, patience)
}

// pauseKind is the kind of pause history that a branch belongs to: people pause
// differently from tools.
func pauseKind(class string, branch identity.BranchID) string {
	if branch == identity.MainBranch {
		return class
	}
	return class + "/sub-agent"
}

// noteReturn counts the pause that a call ends; the caller holds the mutex of
// the program's shard.
func (o *Owner) noteReturn(p *program.Program, branch identity.BranchID, now time.Time) {
	if answered := p.LastAnswered(branch); !answered.IsZero() {
		o.pauses.returned(pauseKind(p.Class(), branch), now.Sub(answered))
	}
}

// noteEnd counts the pauses that no call will end; the caller holds the mutex of
// the program's shard.
func (o *Owner) noteEnd(p *program.Program, now time.Time) {
	for _, paused := range p.Paused() {
		o.pauses.abandoned(pauseKind(p.Class(), paused.Branch), now.Sub(paused.Since))
	}
}

// evictIdle gives up the cache of paused branches that are not worth their
// memory any more, by the same rule that the experiments measure.
func (o *Owner) evictIdle(context.Context) {
	now := time.Now()
	var paused []scheduling.Paused
	for _, s := range o.allShards() {
		paused = append(paused, s.paused()...)
	}
	for _, release := range o.pauses.keepWarm(now, paused, o.patience(now)) {
		if s, err := o.shardOf(release.Program); err == nil {
			s.evictBranch(release)
		}
	}
}

// patience is how long holding a token is worth prefilling it again, by how full
// the engines last said they are.
func (o *Owner) patience(now time.Time) time.Duration {
	used, capacity := 0, 0
	for _, engine := range o.candidates.of(siteservices.RoleEngine, now) {
		used += engine.Report.CacheUsedTokens
		capacity += engine.Report.CacheCapacityTokens
	}
	return scheduling.BreakEvenInterval(scheduling.DefaultBreakEvenInterval, used, capacity)
}

// paused returns the shard's branches that wait for their programs' next calls.
func (s *shard) paused() []scheduling.Paused {
	published := s.owner.config.Board.Table.Load()
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	if published == nil || s.closing || s.stopped || s.checkLease() != nil {
		return nil
	}
	var all []scheduling.Paused
	for p := range s.machine.set.All {
		if !s.idle(p) {
			continue // a call waits or runs, so some branch is about to go on
		}
		for _, branch := range p.Paused() {
			all = append(all, scheduling.Paused{
				Program: p.ID(), Branch: branch.Branch, Cached: branch.Cached, IdleSince: branch.Since,
				KeepWarm: published.Classes[p.Class()].KeepWarm, Kind: pauseKind(p.Class(), branch.Branch),
			})
		}
	}
	return all
}

// evictBranch queues the release of a branch unless a call came meanwhile.
func (s *shard) evictBranch(release scheduling.Eviction) {
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	p := s.machine.set.Get(release.Program)
	if p == nil || s.closing || s.stopped || !s.idle(p) {
		return
	}
	if _, err := s.commit(false, program.Evicted{ID: release.Program, Branch: release.Branch}); err != nil {
		return
	}
	s.owner.metrics.evicted.Inc()
	s.owner.logger.Debug("idle cache evicted", "program", release.Program, "branch", release.Branch,
		"shard", s.journal.ID(), "epoch", s.journal.Epoch(), "reason", release.Reason)
}
