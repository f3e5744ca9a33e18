package engine_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
)

func streamID(program string, sequence, attempt int) identity.StreamID {
	return identity.StreamID{
		Call: identity.CallID{
			Program: identity.ProgramID(program), Branch: identity.MainBranch, Sequence: identity.Sequence(sequence),
		},
		Epoch: 1, Attempt: uint32(attempt),
	}
}

func request(program string, sequence int) backend.GenerateRequest {
	return backend.GenerateRequest{
		Stream: streamID(program, sequence, 1), Model: "advisor", MaxTokens: 64, Seed: 7,
		Messages: []backend.Message{{Role: "user", Content: strings.Repeat("question ", 50)}},
	}
}

// inBubble runs test with an engine in virtual time.
func inBubble(t *testing.T, change func(*engine.Parameters), test func(t *testing.T, e *engine.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		parameters := engine.DefaultParameters("engine-1", "advisor")
		if change != nil {
			change(&parameters)
		}
		e, err := engine.New(parameters)
		if err != nil {
			t.Fatal(err)
		}
		defer e.Close()
		test(t, e)
	})
}

func TestAnswersAreDeterministicAndComplete(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		var text strings.Builder
		next := 0
		first, err := e.Generate(t.Context(), request("p", 1), func(token backend.Token) error {
			is.Equal(token.Index, next)
			next++
			text.WriteString(token.Text)
			return nil
		})
		is.NoErr(err)
		is.Equal(text.String(), first.Text)
		is.Equal(first.Usage.CompletionTokens, next)
		is.Equal(backend.CountTextTokens(first.Text), next)

		again := request("q", 1)
		second, err := e.Generate(t.Context(), again, nil)
		is.NoErr(err)
		is.Equal(second.Text, first.Text)
		again = request("r", 1)
		again.Seed = 8
		third, err := e.Generate(t.Context(), again, nil)
		is.NoErr(err)
		is.True(third.Text != first.Text)
	})
}

func TestNextTurnHitsCachedPrefix(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		first := request("p", 1)
		result, err := e.Generate(t.Context(), first, nil)
		is.NoErr(err)
		second := request("p", 2)
		answer := backend.Message{Role: "assistant", Content: result.Text}
		second.Messages = append(second.Messages, answer, backend.Message{Role: "user", Content: "and then?"})
		next, err := e.Generate(t.Context(), second, nil)
		is.NoErr(err)
		is.Equal(next.Usage.CachedTokens, backend.CountTokens(second.Messages[:2]))
		held, err := e.CachedPrefixes(t.Context())
		is.NoErr(err)
		is.Equal(len(held), 1)
		is.NoErr(e.Release(t.Context(), "p", ""))
		held, err = e.CachedPrefixes(t.Context())
		is.NoErr(err)
		is.Equal(len(held), 0)
	})
}

func TestStreamContinuesWithoutCallerAndIsResumed(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		seen := 0
		_, err := e.Generate(ctx, request("p", 1), func(backend.Token) error {
			if seen++; seen == 3 {
				cancel()
			}
			return nil
		})
		is.True(errors.Is(err, backend.ErrOutcomeUnknown))
		var rest strings.Builder
		whole, err := e.Resume(t.Context(), streamID("p", 1, 1), 3, func(token backend.Token) error {
			is.True(token.Index >= 3)
			rest.WriteString(token.Text)
			return nil
		})
		is.NoErr(err)
		is.True(strings.HasSuffix(whole.Text, rest.String()))
		is.Equal(len(e.Truth().Arrivals), 1)
		time.Sleep(3 * time.Minute)
		_, err = e.Resume(t.Context(), streamID("p", 1, 1), 0, nil)
		is.True(errors.Is(err, backend.ErrStreamUnknown))
	})
}

func TestLateArrivalOfCancelledStreamIsRejected(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		is.NoErr(e.Cancel(t.Context(), streamID("p", 1, 1)))
		_, err := e.Generate(t.Context(), request("p", 1), nil)
		is.True(errors.Is(err, backend.ErrStreamCancelled))
		is.Equal(e.Truth().Arrivals[0].Outcome, engine.OutcomeRefused)

		// A running stream stops at once and frees its memory.
		go func() {
			time.Sleep(100 * time.Millisecond)
			_ = e.Cancel(t.Context(), streamID("q", 1, 1))
			_ = e.Release(t.Context(), "q", "")
		}()
		_, err = e.Generate(t.Context(), request("q", 1), nil)
		is.True(errors.Is(err, backend.ErrStreamCancelled))
		synctest.Wait()
		is.Equal(len(e.Truth().Held), 0)
	})
}

func TestPriorityAndBatchLimit(t *testing.T) {
	inBubble(t, func(p *engine.Parameters) { p.Timing.MaxBatch = 1 }, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		done := make(chan string, 3)
		for i, priority := range []int{0, 1, 5} {
			r := request([]string{"first", "low", "high"}[i], 1)
			r.Priority = priority
			go func() {
				_, err := e.Generate(t.Context(), r, nil)
				if err != nil {
					t.Error(err)
				}
				done <- string(r.Stream.Call.Program)
			}()
			synctest.Wait()
		}
		is.Equal(<-done, "first")
		is.Equal(<-done, "high")
		is.Equal(<-done, "low")
	})
}

func TestDrainingRejectsNewStreamsAndFinishesRunning(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		finished := make(chan error, 1)
		go func() {
			_, err := e.Generate(t.Context(), request("old", 1), nil)
			finished <- err
		}()
		synctest.Wait()
		e.SetDraining(true)
		_, err := e.Generate(t.Context(), request("new", 1), nil)
		is.True(errors.Is(err, backend.ErrDraining))
		is.True(errors.Is(err, backend.ErrRefused))
		is.NoErr(<-finished)
		report, err := e.Load(t.Context())
		is.NoErr(err)
		is.True(report.Draining) // the stream took longer than the report's lag
	})
}
