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

// pauseTracker records the durations of pauses by kind of branch. It is safe for
// concurrent use.
type pauseTracker struct {
	mutex     sync.Mutex
	histories *scheduling.PauseHistories
}

func newPauses() *pauseTracker { return &pauseTracker{histories: scheduling.NewPauseHistories()} }

func (p *pauseTracker) returned(kind string, pause time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.histories.History(kind).Returned(pause)
}

func (p *pauseTracker) abandoned(kind string, pause time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.histories.History(kind).Abandoned(pause)
}

func (p *pauseTracker) selectEvictions(now time.Time, paused []scheduling.Paused, breakEven time.Duration) []scheduling.Eviction {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.histories.SelectEvictions(now, paused, breakEven)
}

// pauseKind returns the kind of pause history of a branch. Main branches and sub-agents
// pause for different reasons, so they have separate histories.
func pauseKind(class string, branch identity.BranchID) string {
	if branch == identity.MainBranch {
		return class
	}
	return class + "/sub-agent"
}

// recordReturn records the pause that a call ends. The caller holds the mutex of the
// program's shard.
func (o *Owner) recordReturn(p *program.Program, branch identity.BranchID, now time.Time) {
	if answered := p.LastAnswered(branch); !answered.IsZero() {
		o.pauses.returned(pauseKind(p.Class(), branch), now.Sub(answered))
	}
}

// recordEnd records the pauses of a program that ends without further calls. The caller
// holds the mutex of the program's shard.
func (o *Owner) recordEnd(p *program.Program, now time.Time) {
	for _, paused := range p.Paused() {
		o.pauses.abandoned(pauseKind(p.Class(), paused.Branch), now.Sub(paused.Since))
	}
}

// evictIdle evicts the cache of paused branches that are no longer worth their memory.
func (o *Owner) evictIdle(context.Context) {
	now := time.Now()
	var paused []scheduling.Paused
	for _, s := range o.allShards() {
		paused = append(paused, s.paused()...)
	}
	for _, release := range o.pauses.selectEvictions(now, paused, o.breakEven(now)) {
		if s, err := o.shardOf(release.Program); err == nil {
			s.evictBranch(release)
		}
	}
}

// breakEven returns the idle time at which keeping a cached token costs as much as
// prefilling it again, given the cache utilization in the engines' last reports.
func (o *Owner) breakEven(now time.Time) time.Duration {
	used, capacity := 0, 0
	for _, engine := range o.candidates.withRole(siteservices.RoleEngine, now) {
		used += engine.Report.CacheUsedTokens
		capacity += engine.Report.CacheCapacityTokens
	}
	return scheduling.BreakEvenInterval(scheduling.DefaultBreakEvenInterval, used, capacity)
}

// paused returns the branches of the shard that wait for their programs' next calls.
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
			continue // a branch with a waiting or running call is not paused
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

// evictBranch queues the release of a branch unless a call has arrived meanwhile.
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
