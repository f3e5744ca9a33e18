package engine

import (
	"strings"
	"time"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/engine/model"
)

// stream is one attempt of one call. The engine's mutex guards all fields.
type stream struct {
	request  backend.GenerateRequest
	segments []model.Segment
	digest   uint64
	// number orders streams by arrival.
	number uint64
	writer *model.Writer
	// wanted is the length of the answer, limited by MaxTokens.
	wanted int
	lease  *model.Lease
	// prefill counts prompt tokens not yet computed (for a waiting stream, the estimate
	// at its arrival); overhead is the unspent part of the prompt's fixed cost.
	prefill  int
	overhead time.Duration
	tokens   []string
	ended    bool
	endedAt  time.Time
	// err is set on a stream that ended without an answer.
	err error
	// changed is closed and replaced at each new token and at the end; nil while there is
	// no follower.
	changed chan struct{}
	record  *Arrival
}

func (s *stream) key() model.Key {
	return model.Key{Program: s.request.Stream.Call.Program, Branch: s.request.Stream.Call.Branch}
}

func (s *stream) result() backend.GenerateResult {
	reason := "stop"
	if s.wanted >= s.request.MaxTokens {
		reason = "length"
	}
	return backend.GenerateResult{
		Text:         strings.Join(s.tokens, ""),
		FinishReason: reason,
		Usage: backend.Usage{
			PromptTokens:     model.CountTokens(s.segments),
			CachedTokens:     s.record.CachedTokens,
			CompletionTokens: len(s.tokens),
		},
	}
}

// wait returns the channel that is closed at the next change.
func (s *stream) wait() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// wake notifies all followers of a change.
func (s *stream) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// runsBefore orders waiting streams: higher priority, then earlier arrival.
func (s *stream) runsBefore(other *stream) int {
	switch {
	case s.request.Priority != other.request.Priority:
		return other.request.Priority - s.request.Priority
	case s.number < other.number:
		return -1
	default:
		return 1
	}
}
