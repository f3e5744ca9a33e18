// Package weightstore emulates the platform's rate-limited store of model weights.
// Fetches run one after the other at a fixed rate. Its core runs inside a
// testing/synctest bubble; NewServer serves it over HTTP.
package weightstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/wait"
)

// Options configure the store's size and rate.
type Options struct {
	// BytesPerSecond is the rate that all fetches share.
	BytesPerSecond int64 `yaml:"bytes_per_second" json:"bytes_per_second" validate:"gt=0"`
	// ModelBytes is the size of each model's weights.
	ModelBytes map[string]int64 `yaml:"model_bytes" json:"model_bytes" validate:"dive,gt=0"`
	// DefaultBytes is the size of a model that is not in ModelBytes.
	DefaultBytes int64 `yaml:"default_bytes" json:"default_bytes" validate:"gt=0"`
}

// DefaultOptions returns a store with a rate of eight gigabytes a second and models of
// sixteen gigabytes.
func DefaultOptions() Options {
	return Options{BytesPerSecond: 8 << 30, DefaultBytes: 16 << 30}
}

// Store is the core of the weight store.
type Store struct {
	options Options
	// mutex guards everything below.
	mutex sync.Mutex
	down  bool
	// busyUntil is when all accepted fetches are done.
	busyUntil time.Time
	fetches   uint64
}

var _ siteservices.WeightStore = (*Store)(nil)

// New returns an idle store.
func New(options Options) *Store { return &Store{options: options} }

// SetDown starts or ends an outage of the store.
func (s *Store) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

// Fetches returns the number of accepted fetches.
func (s *Store) Fetches() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fetches
}

// Wait implements siteservices.WeightStore.
func (s *Store) Wait(ctx context.Context, _, _ string) (time.Duration, error) {
	if ctx.Err() != nil {
		return 0, fmt.Errorf("weightstore: %w: %w", siteservices.ErrUnavailable, ctx.Err())
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return 0, fmt.Errorf("weightstore: %w", siteservices.ErrUnavailable)
	}
	return max(0, time.Until(s.busyUntil)), nil
}

// Fetch queues a fetch of model's weights and returns once it is complete. The fetch uses
// its share of the rate even if ctx ends first.
func (s *Store) Fetch(ctx context.Context, model, version string) error {
	done, err := s.reserve(model)
	if err != nil {
		return err
	}
	if err := wait.For(ctx, time.Until(done)); err != nil {
		return fmt.Errorf("weightstore: fetch %s %s: %w: %w", model, version, siteservices.ErrOutcomeUnknown, err)
	}
	return nil
}

// reserve queues a fetch and returns the time at which it completes.
func (s *Store) reserve(model string) (time.Time, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return time.Time{}, fmt.Errorf("weightstore: fetch %s: %w", model, siteservices.ErrUnavailable)
	}
	size, known := s.options.ModelBytes[model]
	if !known {
		size = s.options.DefaultBytes
	}
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	seconds := float64(size) / float64(s.options.BytesPerSecond)
	s.busyUntil = s.busyUntil.Add(time.Duration(seconds * float64(time.Second)))
	s.fetches++
	return s.busyUntil, nil
}
