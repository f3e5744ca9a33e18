package routednode

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/internal/logstore"
)

// countedStore counts the calls to a store by type, topic and outcome.
type countedStore struct {
	logstore.Store
	calls *prometheus.CounterVec
}

var _ logstore.Store = (*countedStore)(nil)

// newCountedStore wraps store and registers its metrics.
func newCountedStore(store logstore.Store, registerer prometheus.Registerer) *countedStore {
	made := &countedStore{Store: store, calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "stepseam_store_calls_total", Help: "Calls of the store by call, topic and outcome.",
	}, []string{"call", "topic", "outcome"})}
	registerer.MustRegister(made.calls)
	return made
}

// Append implements logstore.Store.
func (s *countedStore) Append(ctx context.Context, request logstore.AppendRequest) (logstore.AppendResult, error) {
	result, err := s.Store.Append(ctx, request)
	s.count("append", request.Partition, err)
	return result, err
}

// Read implements logstore.Store.
func (s *countedStore) Read(ctx context.Context, request logstore.ReadRequest) (logstore.ReadResult, error) {
	result, err := s.Store.Read(ctx, request)
	s.count("read", request.Partition, err)
	return result, err
}

// Newest implements logstore.Store.
func (s *countedStore) Newest(ctx context.Context, request logstore.NewestRequest) (logstore.NewestResult, error) {
	result, err := s.Store.Newest(ctx, request)
	s.count("newest", request.Partition, err)
	return result, err
}

// Changes implements logstore.Store.
func (s *countedStore) Changes(ctx context.Context, request logstore.ReadRequest) (logstore.ChangesResult, error) {
	result, err := s.Store.Changes(ctx, request)
	s.count("changes", request.Partition, err)
	return result, err
}

func (s *countedStore) count(call string, partition logstore.Partition, err error) {
	outcome := "done"
	var trimmed *logstore.TrimmedError
	var end *logstore.EndError
	switch {
	case errors.As(err, &trimmed):
		outcome = "trimmed"
	case errors.As(err, &end):
		outcome = "conflict"
	case errors.Is(err, logstore.ErrOutcomeUnknown):
		outcome = "answer_lost"
	case err != nil:
		outcome = "refused"
	}
	s.calls.WithLabelValues(call, partition.Topic, outcome).Inc()
}
