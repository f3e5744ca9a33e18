// Package guardedstore wraps a store with the circuit breakers of package storebreaker, which
// record the outcome of each call.
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

// ErrCircuitOpen reports that a call was not made, since the store has recently answered no
// call of this node or none on the partition. It wraps logstore.ErrUnavailable. Its text may be
// sent to other nodes.
var ErrCircuitOpen = fmt.Errorf("%w: it has not answered lately", logstore.ErrUnavailable)

// minEvidence is the shortest wait after which a missing response is a failure of the store. Calls that
// end sooner do so because of their callers.
const minEvidence = 250 * time.Millisecond

// Config configures a Store. All fields but CallsPerSecond, Registerer and Random are required.
type Config struct {
	Store logstore.Store
	// CallsPerSecond is the store's capacity for reads by all nodes; 0 if not known.
	CallsPerSecond float64
	Logger         *slog.Logger
	Registerer     prometheus.Registerer
	// Random returns random numbers in [0,1), which spread the probes; nil means a source
	// with a random seed.
	Random func() float64
}

// Store is a logstore.Store. Append, Newest and Changes always go out; callers that can wait
// call Await first. Read goes out or fails at once with ErrCircuitOpen. It is safe for
// concurrent use.
type Store struct {
	config  Config
	began   time.Time
	metrics *metrics

	// mutex guards the fields below.
	mutex   sync.Mutex
	breaker *storebreaker.Breaker
	// members returns the number of known nodes.
	members func() int
	// recovered is closed and replaced when calls are let out again, changed also when probes
	// are let out sooner.
	recovered, changed chan struct{}
	// nodeUnavailable and partitionsUnavailable are the last logged state: the store does not
	// answer this node, or not on some partitions. unavailableSince is when that began.
	nodeUnavailable, partitionsUnavailable bool
	unavailableSince                       time.Time
}

var _ logstore.Store = (*Store)(nil)

// New returns a store with closed breakers.
func New(config Config) *Store {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	created := &Store{
		config: config, began: time.Now(), breaker: storebreaker.New(config.CallsPerSecond),
		members: func() int { return 1 }, recovered: make(chan struct{}), changed: make(chan struct{}),
	}
	created.metrics = newMetrics(created, config.Registerer)
	return created
}

// SetMembers sets the source of the number of known nodes.
func (s *Store) SetMembers(members func() int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.members = members
}

// conditions requires the mutex.
func (s *Store) conditions() storebreaker.Conditions {
	return storebreaker.Conditions{Now: time.Since(s.began), Nodes: s.members(), Random: s.config.Random()}
}

// NodeAvailable reports whether the store answers this node, as far as known.
func (s *Store) NodeAvailable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.breaker.NodeAnswered(s.conditions())
}

// Available reports whether calls on a partition are answered, as far as known.
func (s *Store) Available(place logstore.Partition) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.breaker.Answered(place, s.conditions())
}

// Recovered returns a channel that is closed once the store, or one of its partitions, has
// recovered.
func (s *Store) Recovered() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.recovered
}

// PeerAnswered records that the store answers another node.
func (s *Store) PeerAnswered() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.breaker.PeerAnswered(s.conditions())
	s.wake()
}

// wake wakes the callers of Await. It requires the mutex.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Await returns once a call on the partition may go out, or an error when ctx ends.
func (s *Store) Await(ctx context.Context, place logstore.Partition) error {
	for ctx.Err() == nil {
		decision, changed := s.admit(place, true)
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
	return fmt.Errorf("guardedstore: partition %d of %s: %w", place.Number, place.Topic, ctx.Err())
}

func (s *Store) admit(place logstore.Partition, waits bool) (storebreaker.Decision, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conditions := s.conditions()
	decision := s.breaker.Admit(place, waits, conditions)
	s.logChanges(conditions)
	switch {
	case decision.Probe:
		s.metrics.probes.Inc()
	case !decision.Allow:
		s.metrics.blocked.Inc()
	}
	return decision, s.changed
}

// Append implements logstore.Store.
func (s *Store) Append(ctx context.Context, request logstore.AppendRequest) (logstore.AppendResult, error) {
	began := time.Now()
	overdue := time.AfterFunc(answerWithin(request), func() { s.record(context.Background(), request.Partition, began, errOverdue) })
	result, err := s.config.Store.Append(ctx, request)
	if overdue.Stop() || err == nil {
		s.record(ctx, request.Partition, began, err)
	}
	return result, err
}

// errOverdue is recorded for a call whose response is overdue.
var errOverdue = fmt.Errorf("%w: the response is overdue", logstore.ErrOutcomeUnknown)

// answerWithin returns after which time a missing response is recorded as a failure.
func answerWithin(request logstore.AppendRequest) time.Duration {
	const never = time.Hour
	if request.AnswerWithin == 0 {
		return never
	}
	return request.AnswerWithin
}

// Read implements logstore.Store. A call whose context ends within minEvidence is not used as a
// probe, since its failure would imply nothing.
func (s *Store) Read(ctx context.Context, request logstore.ReadRequest) (logstore.ReadResult, error) {
	began := time.Now()
	if ends, limited := ctx.Deadline(); limited && ends.Sub(began) < minEvidence && !s.Available(request.Partition) {
		s.metrics.blocked.Inc()
		return logstore.ReadResult{}, s.openError(request.Partition)
	}
	if decision, _ := s.admit(request.Partition, false); !decision.Allow {
		return logstore.ReadResult{}, s.openError(request.Partition)
	}
	result, err := s.config.Store.Read(ctx, request)
	s.record(ctx, request.Partition, began, err)
	return result, err
}

// openError returns the error of a call that is not made, which names the open breaker.
func (s *Store) openError(place logstore.Partition) error {
	if !s.NodeAvailable() {
		return fmt.Errorf("%w: circuit breaker of the node is open", ErrCircuitOpen)
	}
	return fmt.Errorf("%w: circuit breaker of partition %d of %s is open", ErrCircuitOpen, place.Number, place.Topic)
}

// Newest implements logstore.Store.
func (s *Store) Newest(ctx context.Context, request logstore.NewestRequest) (logstore.NewestResult, error) {
	began := time.Now()
	result, err := s.config.Store.Newest(ctx, request)
	s.record(ctx, request.Partition, began, err)
	return result, err
}

// Changes implements logstore.Store.
func (s *Store) Changes(ctx context.Context, request logstore.ReadRequest) (logstore.ChangesResult, error) {
	began := time.Now()
	result, err := s.config.Store.Changes(ctx, request)
	s.record(ctx, request.Partition, began, err)
	return result, err
}

// record records the outcome of a call, unless its caller cancelled it or waited for less than
// minEvidence, which implies nothing about the store.
func (s *Store) record(ctx context.Context, place logstore.Partition, began time.Time, err error) {
	if err != nil && (errors.Is(ctx.Err(), context.Canceled) || ctx.Err() != nil && time.Since(began) < minEvidence) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conditions := s.conditions()
	if s.breaker.Record(place, answered(err), conditions) {
		s.wake()
		close(s.recovered)
		s.recovered = make(chan struct{})
	}
	s.logChanges(conditions)
}

// answered reports whether err is a response of the store, whatever its content.
func answered(err error) bool {
	var trimmed *logstore.TrimmedError
	var end *logstore.EndError
	return err == nil || errors.As(err, &trimmed) || errors.As(err, &end) || errors.Is(err, logstore.ErrSequence) || errors.Is(err, logstore.ErrFenced)
}

// logChanges logs changes of the store's availability. It requires the mutex.
func (s *Store) logChanges(conditions storebreaker.Conditions) {
	nodeUnavailable, openPartitions := !s.breaker.NodeAnswered(conditions), s.breaker.OpenPartitions(conditions)
	if nodeUnavailable == s.nodeUnavailable && (nodeUnavailable || (openPartitions > 0) == s.partitionsUnavailable) {
		return
	}
	if !s.nodeUnavailable && !s.partitionsUnavailable {
		s.unavailableSince = time.Now()
	}
	s.nodeUnavailable, s.partitionsUnavailable = nodeUnavailable, openPartitions > 0
	if !nodeUnavailable && openPartitions == 0 {
		s.config.Logger.Info("store answers again", "away_ms", time.Since(s.unavailableSince).Milliseconds())
		return
	}
	s.config.Logger.Warn("store unavailable; circuit breaker open, sending only probes", "whole", nodeUnavailable, "partitions", openPartitions,
		"probe_pause_ms", s.breaker.ProbePause(conditions.Nodes).Milliseconds())
}

// open returns the number of open breakers, including the node's.
func (s *Store) open() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conditions := s.conditions()
	open := s.breaker.OpenPartitions(conditions)
	if !s.breaker.NodeAnswered(conditions) {
		open++
	}
	return float64(open)
}
