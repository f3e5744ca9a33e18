package serving

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
)

// Owner serves the programs of the shards that this node owns. It implements Programs for
// them, and journal.Host for the manager that claims the shards.
type Owner struct {
	config     Config
	logger     *slog.Logger
	metrics    *metrics
	inFlight   *inFlightTracker
	retries    *rate.Limiter
	explained  *explanations
	durations  *durations
	pauses     *pauseTracker
	candidates *candidates
	auditor    *auditor

	// mutex guards shards.
	mutex  sync.RWMutex
	shards map[identity.ShardID]*shard
}

var (
	_ Programs     = (*Owner)(nil)
	_ journal.Host = (*Owner)(nil)
)

// NewOwner returns an owner without shards. Run starts its background work.
func NewOwner(config Config) *Owner {
	config.Timing.setDefaults()
	config.Limits.setDefaults()
	logger := config.Logger
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	owner := &Owner{
		config:     config,
		logger:     logger,
		inFlight:   newInFlightTracker(),
		retries:    rate.NewLimiter(rate.Limit(config.Limits.RetryRate), config.Limits.RetryBurst),
		explained:  newExplanations(config.Limits.MaxExplanations),
		durations:  newDurations(),
		pauses:     newPauses(),
		candidates: newCandidates(config.Board),
		auditor:    &auditor{suspects: map[suspect]struct{}{}},
		shards:     map[identity.ShardID]*shard{},
	}
	owner.metrics = newMetrics(config.Registerer, owner)
	return owner
}

// Run expires programs, audits engines and evicts idle cache until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.every(ctx, o.config.Timing.SweepInterval, o.sweep) })
	group.Go(func() error { return o.every(ctx, o.config.Timing.AuditInterval, o.audit) })
	group.Go(func() error { return o.every(ctx, o.config.Timing.EvictionInterval, o.evictIdle) })
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serving: %w", err)
	}
	return nil
}

func (o *Owner) every(ctx context.Context, interval time.Duration, work func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			work(ctx)
		}
	}
}

// Shards returns the number of shards that this node serves.
func (o *Owner) Shards() int {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	return len(o.shards)
}

func (o *Owner) shardOf(program identity.ProgramID) (*shard, error) {
	id := program.Shard(o.config.ShardCount)
	o.mutex.RLock()
	found := o.shards[id]
	o.mutex.RUnlock()
	if found == nil {
		return nil, notOwnerNotRun(id)
	}
	return found, nil
}

func (o *Owner) allShards() []*shard {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	all := make([]*shard, 0, len(o.shards))
	for _, s := range o.shards {
		all = append(all, s)
	}
	return all
}

// NewStateMachine implements journal.Host.
func (o *Owner) NewStateMachine(identity.ShardID) journal.StateMachine { return newMachine() }

// ShardOpened implements journal.Host. It resumes the open calls and pending releases of the
// previous owner.
func (o *Owner) ShardOpened(opened journal.Shard, state journal.StateMachine) {
	s := newShard(o, opened, state.(*machine))
	o.mutex.Lock()
	former := o.shards[opened.ID()]
	o.shards[opened.ID()] = s
	o.mutex.Unlock()
	if former != nil {
		former.stop()
	}
	o.logger.Info("shard opened", "shard", opened.ID(), "epoch", opened.Epoch(), "programs", s.machine.len())
	s.recoverOpenCalls()
	go s.watch()
}

// Checkpoint implements journal.Host.
func (o *Owner) Checkpoint(owned journal.Shard) {
	o.mutex.RLock()
	s := o.shards[owned.ID()]
	o.mutex.RUnlock()
	if s == nil || s.journal != owned {
		return
	}
	s.machine.mutex.Lock()
	defer s.machine.mutex.Unlock()
	_, _ = s.commit(false) // there are no records to wait for
}

// PrepareHandOver implements journal.Host. From now on new calls are sent to the next owner.
// Application calls in flight cannot be resumed elsewhere, so PrepareHandOver waits up to
// HandoverTimeout for them. Model streams continue at their engines, and the next owner
// resumes them.
func (o *Owner) PrepareHandOver(ctx context.Context, owned journal.Shard) {
	o.mutex.RLock()
	s := o.shards[owned.ID()]
	o.mutex.RUnlock()
	if s == nil || s.journal != owned {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, o.config.Timing.HandoverTimeout)
	defer cancel()
	s.close(ctx)
	o.removeShard(s)
	o.logger.Info("shard handed over", "shard", owned.ID(), "epoch", owned.Epoch())
}

// removeShard stops s and removes it, unless a later epoch of the shard has replaced it.
func (o *Owner) removeShard(s *shard) {
	o.mutex.Lock()
	if o.shards[s.journal.ID()] == s {
		delete(o.shards, s.journal.ID())
	}
	o.mutex.Unlock()
	s.stop()
}
