// Package tools emulates the tool services that programs call between model calls, with
// latency, failures and hangs. Its core runs inside a testing/synctest bubble; NewServer
// serves it over HTTP.
package tools

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"stepseam.example/stepseam/internal/wait"
)

// ErrFailed is returned if the tool ran and failed.
var ErrFailed = errors.New("tools: the tool failed")

// Options configure the tools. Probabilities are between 0 and 1.
type Options struct {
	Seed uint64 `yaml:"seed" json:"seed"`
	// MinimumLatency and MaximumLatency bound the uniformly distributed duration of a
	// call.
	MinimumLatency time.Duration `yaml:"minimum_latency" json:"minimum_latency" validate:"gte=0"`
	MaximumLatency time.Duration `yaml:"maximum_latency" json:"maximum_latency" validate:"gtefield=MinimumLatency"`
	// Fail is the probability of a failure, Hang that of blocking until the context ends.
	Fail float64 `yaml:"fail" json:"fail" validate:"gte=0,lte=1"`
	Hang float64 `yaml:"hang" json:"hang" validate:"gte=0,lte=1"`
}

// DefaultOptions returns tools that take 50 to 200 ms and never fail.
func DefaultOptions() Options {
	return Options{Seed: 1, MinimumLatency: 50 * time.Millisecond, MaximumLatency: 200 * time.Millisecond}
}

// Result is what a tool returns.
type Result struct {
	Tool   string          `json:"tool"`
	Number uint64          `json:"number"`
	Input  json.RawMessage `json:"input,omitempty"`
}

// Service is the core of the tool service.
type Service struct {
	// mutex guards everything below.
	mutex   sync.Mutex
	options Options
	random  *rand.Rand
	calls   map[string]uint64
}

// New returns a tool service.
func New(options Options) *Service {
	return &Service{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		calls:   make(map[string]uint64),
	}
}

// SetOptions replaces the behaviour of further calls; the seed stays.
func (s *Service) SetOptions(options Options) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.options = options
}

// Calls returns how often each tool was called.
func (s *Service) Calls() map[string]uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := make(map[string]uint64, len(s.calls))
	for tool, count := range s.calls {
		copied[tool] = count
	}
	return copied
}

// Call runs tool. A call that hangs ends only with ctx.
func (s *Service) Call(ctx context.Context, tool string, input json.RawMessage) (Result, error) {
	number, latency, fails, hangs := s.draw(tool)
	if hangs {
		<-ctx.Done()
		return Result{}, fmt.Errorf("tools: %s hangs: %w", tool, ctx.Err())
	}
	if err := wait.For(ctx, latency); err != nil {
		return Result{}, fmt.Errorf("tools: %s: %w", tool, err)
	}
	if fails {
		return Result{}, fmt.Errorf("%w: %s", ErrFailed, tool)
	}
	return Result{Tool: tool, Number: number, Input: input}, nil
}

// draw counts a call and draws its latency and outcome.
func (s *Service) draw(tool string) (number uint64, latency time.Duration, fails, hangs bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls[tool]++
	span := s.options.MaximumLatency - s.options.MinimumLatency
	latency = s.options.MinimumLatency + time.Duration(s.random.Float64()*float64(span))
	fails = s.random.Float64() < s.options.Fail
	hangs = s.random.Float64() < s.options.Hang
	return s.calls[tool], latency, fails, hangs
}
