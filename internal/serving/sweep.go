package serving

import (
	"cmp"
	"context"
	"slices"
	"time"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/program"
)

// sweep ends idle and over-age programs and removes those that ended long ago.
func (o *Owner) sweep(context.Context) {
	now := time.Now()
	var total programCounts
	for _, s := range o.allShards() {
		s.sweep(now, &total)
	}
	o.metrics.running.Set(float64(total.running))
	o.metrics.pending.Set(float64(total.releases))
}

// programCounts are the program counts reported as metrics.
type programCounts struct{ running, releases int }

func (c *programCounts) count(p *program.Program) {
	if p.Running() {
		c.running++
	}
	c.releases += p.OutboxLength()
}

func (s *shard) sweep(now time.Time, total *programCounts) {
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	if s.stopped || s.closing || s.checkLease() != nil {
		return
	}
	var expired, ended []*program.Program
	s.machine.set.All(func(p *program.Program) bool {
		total.count(p)
		switch {
		case p.Expired(now, s.opened) && (s.idle(p) || s.overAge(p, now)):
			expired = append(expired, p)
		case p.Removable() && s.idle(p):
			ended = append(ended, p)
		}
		return true
	})
	for _, p := range expired {
		if err := s.end(p, api.ProgramExpired); err != nil {
			return
		}
	}
	s.removeEnded(now, ended)
	s.resumeOpen(now)
}

// idle reports whether no call of the program is running or waiting on this node.
func (s *shard) idle(p *program.Program) bool {
	e := s.entries[p.ID()]
	return e == nil || e.runs == 0
}

func (s *shard) overAge(p *program.Program, now time.Time) bool {
	limit := p.Limits().MaxDuration
	return limit > 0 && now.Sub(p.Created()) >= limit
}

// removeEnded removes ended programs that are older than TombstoneTTL, and the oldest
// ones beyond MaxTombstones. The caller holds the mutex.
func (s *shard) removeEnded(now time.Time, ended []*program.Program) {
	slices.SortFunc(ended, func(a, b *program.Program) int {
		return cmp.Or(a.Ended().Compare(b.Ended()), cmp.Compare(a.ID(), b.ID()))
	})
	surplus := len(ended) - s.owner.config.Limits.MaxTombstones
	for i, p := range ended {
		if i >= surplus && now.Sub(p.Ended()) < s.owner.config.Timing.TombstoneTTL {
			return
		}
		if _, err := s.commit(false, program.Removed{ID: p.ID()}); err != nil {
			return
		}
	}
}
