// Package guardedstore is a store whose calls go through the circuit breakers of package
// storegate, which see how all of them end.
package guardedstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/logstore"
	"stepseam.example/stepseam/internal/storebreaker"
)

// ErrCircuitOpen tells that a call was not made, since the store has not answered this node, or no
// call on the partition, lately. It wraps logstore.ErrUnavailable.
var ErrCircuitOpen = fmt.Errorf("%w: it has not answered lately", logstore.ErrUnavailable)

// Config is what a Store is made from; all fields but Registerer are required.
type Config struct {
	Store logstore.Store
	// CallsPerSecond is how many reading calls of all nodes the store takes; 0 where that
	// is not known.
	CallsPerSecond float64
	Logger         *slog.Logger
	Registerer     prometheus.Registerer
}

// Store is a logstore.Store. Whoever can wait calls Await before Append, Newest and
// Changes, which always go out; a Read goes out, or fails at once with ErrAway. It is safe
// for concurrent use.
type Store struct {
	config  Config
	began   time.Time
	metrics *metrics

	// mutex guards all below.
	mutex sync.Mutex
	gate  *storebreaker.Breaker
	// members returns how many nodes are known.
	members func() int
	// regained is closed and replaced when calls are let out again, changed also when
	// probes are let out sooner.
	regained, changed chan struct{}
	// nodeAway and partAway are what was last logged: whether the store does not answer this
	// node, and whether it does not answer some partitions. awaySince is when that began.
	nodeAway, partAway bool
	awaySince          time.Time
}

var _ logstore.Store = (*Store)(nil)

// New returns a store of which nothing is known yet.
func New(config Config) *Store {
	made := &Store{
		config: config, began: time.Now(), gate: storebreaker.New(config.CallsPerSecond),
		members: func() int { return 1 }, regained: make(chan struct{}), changed: make(chan struct{}),
	}
	made.metrics = newMetrics(made, config.Registerer)
	return made
}

// SetMembers tells how to learn how many nodes are known.
func (s *Store) SetMembers(members func() int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.members = members
}

// situation needs the mutex.
func (s *Store) situation() storebreaker.Conditions {
	return storebreaker.Conditions{Now: time.Since(s.began), Nodes: s.members(), Random: rand.Float64()}
}

// NodeAvailable tells whether the store answers this node, as far as is known.
func (s *Store) NodeAvailable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.gate.NodeAnswered(s.situation())
}

// Available tells whether calls on a partition are answered, as far as is known.
func (s *Store) Available(place logstore.Partition) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.gate.Answered(place, s.situation())
}

// Recovered returns a channel that is closed once the store, or one of its partitions,
// answers again.
func (s *Store) Recovered() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.regained
}

// PeerAnswered tells that the store answers another node.
func (s *Store) PeerAnswered() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.gate.PeerAnswered(s.situation())
	s.wake()
}

// wake needs the mutex.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Await returns once a call on the partition may go out, or an error when ctx ends.
func (s *Store) Await(ctx context.Context, place logstore.Partition) error {
	for ctx.Err() == nil {
		decision, changed := s.ask(place, true)
		if decision.Allow {
			return nil
		}
		timer := time.NewTimer(decision.RetryAfter)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return fmt.Errorf("gatedstore: partition %d of %s: %w", place.Number, place.Topic, ctx.Err())
}

func (s *Store) ask(place logstore.Partition, waits bool) (storebreaker.Decision, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	situation := s.situation()
	decision := s.gate.Admit(place, waits, situation)
	s.tell(situation)
	switch {
	case decision.Probe:
		s.metrics.probes.Inc()
	case !decision.Allow:
		s.metrics.held.Inc()
	}
	return decision, s.changed
}

// Append is logstore.Store's.
func (s *Store) Append(ctx context.Context, request logstore.AppendRequest) (logstore.AppendResult, error) {
	result, err := s.config.Store.Append(ctx, request)
	s.note(ctx, request.Partition, err)
	return result, err
}

// Read is logstore.Store's.
func (s *Store) Read(ctx context.Context, request logstore.ReadRequest) (logstore.ReadResult, error) {
	if decision, _ := s.ask(request.Partition, false); !decision.Allow {
		return logstore.ReadResult{}, ErrCircuitOpen
	}
	result, err := s.config.Store.Read(ctx, request)
	s.note(ctx, request.Partition, err)
	return result, err
}

// Newest is logstore.Store's.
func (s *Store) Newest(ctx context.Context, request logstore.NewestRequest) (logstore.NewestResult, error) {
	result, err := s.config.Store.Newest(ctx, request)
	s.note(ctx, request.Partition, err)
	return result, err
}

// Changes is logstore.Store's.
func (s *Store) Changes(ctx context.Context, request logstore.ReadRequest) (logstore.ChangesResult, error) {
	result, err := s.config.Store.Changes(ctx, request)
	s.note(ctx, request.Partition, err)
	return result, err
}

// note counts how a call ended. One whose caller has left says nothing of the store.
func (s *Store) note(ctx context.Context, place logstore.Partition, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	situation := s.situation()
	if s.gate.Record(place, answered(err), situation) {
		s.wake()
		close(s.regained)
		s.regained = make(chan struct{})
	}
	s.tell(situation)
}

// answered tells whether a call's outcome is the store's answer, whatever that says.
func answered(err error) bool {
	var trimmed *logstore.TrimmedError
	return err == nil || errors.As(err, &trimmed) || errors.Is(err, logstore.ErrSequence) || errors.Is(err, logstore.ErrFenced)
}

// tell logs what has changed. It needs the mutex.
func (s *Store) tell(situation storebreaker.Conditions) {
	nodeAway, away := !s.gate.NodeAnswered(situation), s.gate.OpenPartitions(situation)
	if nodeAway == s.nodeAway && (nodeAway || (away > 0) == s.partAway) {
		return
	}
	if !s.nodeAway && !s.partAway {
		s.awaySince = time.Now()
	}
	s.nodeAway, s.partAway = nodeAway, away > 0
	if !nodeAway && away == 0 {
		s.config.Logger.Info("store answers again", "away_ms", time.Since(s.awaySince).Milliseconds())
		return
	}
	s.config.Logger.Warn("store is away, only probes go out", "whole", nodeAway, "partitions", away,
		"probe_pause_ms", s.gate.ProbePause(situation.Nodes).Milliseconds())
}

// open returns how many breakers are open, the node's own among them.
func (s *Store) open() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	situation := s.situation()
	open := s.gate.OpenPartitions(situation)
	if !s.gate.NodeAnswered(situation) {
		open++
	}
	return float64(open)
}
