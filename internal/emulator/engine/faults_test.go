package engine_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
)

// begin starts a request in the background and returns the channel of its error.
func begin(ctx context.Context, e *engine.Engine, r backend.GenerateRequest) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := e.Generate(ctx, r, nil)
		ended <- err
	}()
	synctest.Wait()
	return ended
}

// A request that reaches a frozen engine takes effect after the thaw, even if its sender
// has given up; a cancel must cover this case.
func TestFrozenEngineHandlesRequestsAfterThaw(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		e.SetFaults(engine.Faults{Frozen: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.True(errors.Is(<-begin(ctx, e, request("p", 1)), backend.ErrOutcomeUnknown))
		is.True(errors.Is(<-begin(ctx, e, request("q", 1)), backend.ErrNotDelivered)) // its deadline passed before it was sent
		is.Equal(len(e.Truth().Arrivals), 0)
		e.SetFaults(engine.Faults{})
		time.Sleep(time.Minute)
		truth := e.Truth()
		is.Equal(len(truth.Arrivals), 1)
		is.Equal(truth.Arrivals[0].Outcome, engine.OutcomeFinished)
	})
}

func TestFreezePausesRunningStream(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		ended := begin(t.Context(), e, request("p", 1))
		time.Sleep(100 * time.Millisecond)
		e.SetFaults(engine.Faults{Frozen: true})
		time.Sleep(time.Hour)
		synctest.Wait()
		is.Equal(e.Truth().Arrivals[0].Outcome, engine.OutcomeRunning)
		e.SetFaults(engine.Faults{})
		is.NoErr(<-ended)
	})
}

func TestDownBreaksConnectionsNotStreams(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		ended := begin(t.Context(), e, request("p", 1))
		e.SetFaults(engine.Faults{Down: true})
		is.True(errors.Is(<-ended, backend.ErrOutcomeUnknown))
		is.True(errors.Is(e.Cancel(t.Context(), streamID("p", 1, 1)), backend.ErrNotDelivered))
		time.Sleep(time.Minute)
		e.SetFaults(engine.Faults{})
		_, err := e.Resume(t.Context(), streamID("p", 1, 1), 0, nil)
		is.NoErr(err)
	})
}

func TestRestartLosesState(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		is.NoErr(<-begin(t.Context(), e, request("done", 1)))
		is.NoErr(e.Order(t.Context(), backend.Order{Kind: backend.OrderLoadModel, Subject: "other", Fence: 9}))
		is.NoErr(e.Cancel(t.Context(), streamID("cancelled", 1, 1)))
		ended := begin(t.Context(), e, request("running", 1))
		e.Restart()
		is.True(errors.Is(<-ended, backend.ErrOutcomeUnknown))
		truth := e.Truth()
		is.Equal(truth.Arrivals[1].Outcome, engine.OutcomeLost)
		is.Equal(len(truth.Held), 0)
		is.Equal(truth.Memory[len(truth.Memory)-1].Tokens, 0)
		_, err := e.Resume(t.Context(), streamID("done", 1, 1), 0, nil)
		is.True(errors.Is(err, backend.ErrStreamUnknown))
		report, err := e.Load(t.Context())
		is.NoErr(err)
		is.Equal(report.Models, []string{"advisor"})
		is.NoErr(e.Order(t.Context(), backend.Order{Kind: backend.OrderSetRole, Subject: "prefill", Fence: 1}))
		is.NoErr(<-begin(t.Context(), e, request("cancelled", 1))) // the restarted engine does not know the cancellation
	})
}

func TestSlowMultipliesTheTime(t *testing.T) {
	took := func(faults engine.Faults) (took time.Duration) {
		inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
			e.SetFaults(faults)
			started := time.Now()
			if err := <-begin(t.Context(), e, request("p", 1)); err != nil {
				t.Error(err)
			}
			took = time.Since(started)
		})
		return took
	}
	is := is.New(t)
	is.Equal(took(engine.Faults{Slow: 5}), 5*took(engine.Faults{}))
}

// Every request whose response is lost has taken effect.
func TestLostResponseKeepsEffect(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		lose := func(run func() error) {
			t.Helper()
			e.SetFaults(engine.Faults{LoseNext: 1})
			is.True(errors.Is(run(), backend.ErrOutcomeUnknown))
			is.Equal(e.Faults().LoseNext, 0)
		}
		lose(func() error { return <-begin(t.Context(), e, request("p", 1)) })
		_, err := e.Resume(t.Context(), streamID("p", 1, 1), 0, nil)
		is.NoErr(err)
		lose(func() error { return e.Release(t.Context(), "p", "") })
		is.Equal(len(e.Truth().Held), 0)
		lose(func() error { return e.Cancel(t.Context(), streamID("q", 1, 1)) })
		is.True(errors.Is(<-begin(t.Context(), e, request("q", 1)), backend.ErrStreamCancelled))
		order := backend.Order{Kind: backend.OrderSetRole, Subject: "prefill", Fence: 5}
		lose(func() error { return e.Order(t.Context(), order) })
		is.NoErr(e.Order(t.Context(), order))
		is.Equal(len(e.Truth().Orders), 2)
		is.True(e.Truth().Orders[0].Done)
		is.True(!e.Truth().Orders[1].Done)
	})
}

func TestOrdersAreFencedAndTakeTheirTime(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		load := backend.Order{Kind: backend.OrderLoadModel, Subject: "second", Version: "1", Fence: 3}
		started := time.Now()
		var orders sync.WaitGroup
		for range 2 { // a repeat waits for the same load
			orders.Go(func() {
				if err := e.Order(t.Context(), load); err != nil {
					t.Error(err)
				}
			})
		}
		synctest.Wait()
		r := request("p", 1)
		r.Model = "second"
		is.True(errors.Is(<-begin(t.Context(), e, r), backend.ErrRefused)) // not loaded yet
		orders.Wait()
		is.Equal(time.Since(started), 20*time.Second)
		r.Stream = streamID("p", 1, 2)
		is.NoErr(<-begin(t.Context(), e, r))
		is.NoErr(e.Order(t.Context(), load))

		late := backend.Order{Kind: backend.OrderUnloadModel, Subject: "second", Fence: 2}
		is.True(errors.Is(e.Order(t.Context(), late), backend.ErrStaleFence))
		late.Fence = 3 // the same fence may carry another order
		is.NoErr(e.Order(t.Context(), late))
		r.Stream = streamID("p", 2, 1)
		is.True(errors.Is(<-begin(t.Context(), e, r), backend.ErrRefused))
	})
}

// A load that a later order overtook does not undo it.
func TestOvertakenLoadHasNoEffect(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		ended := make(chan error, 1)
		go func() {
			ended <- e.Order(t.Context(), backend.Order{Kind: backend.OrderLoadModel, Subject: "second", Fence: 1})
		}()
		time.Sleep(time.Second)
		is.NoErr(e.Order(t.Context(), backend.Order{Kind: backend.OrderUnloadModel, Subject: "second", Fence: 2}))
		<-ended
		time.Sleep(time.Minute)
		report, err := e.Load(t.Context())
		is.NoErr(err)
		is.Equal(report.Models, []string{"advisor"})
	})
}

func TestReportsLagAndEventsComeLateWithGaps(t *testing.T) {
	inBubble(t, func(p *engine.Parameters) { p.EventLoss = 0.3 }, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		time.Sleep(time.Second)
		e.SetDraining(true)
		report, err := e.Load(t.Context())
		is.NoErr(err)
		is.True(!report.Draining)
		age := time.Since(report.AsOf)
		is.True(age >= 500*time.Millisecond && age <= 750*time.Millisecond) // the lag, and up to an interval
		time.Sleep(time.Second)
		report, err = e.Load(t.Context())
		is.NoErr(err)
		is.True(report.Draining)
		e.SetDraining(false)

		for i := range 20 {
			is.NoErr(<-begin(t.Context(), e, request(fmt.Sprint(i), 1)))
		}
		early, err := e.CacheEvents(t.Context(), 0)
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		late, err := e.CacheEvents(t.Context(), 0)
		is.NoErr(err)
		is.True(len(early) < len(late)) // the last events are still delayed
		is.True(len(late) < 20)         // some events are lost
		for i := 1; i < len(late); i++ {
			is.True(late[i].Number > late[i-1].Number)
		}
		rest, err := e.CacheEvents(t.Context(), late[3].Number)
		is.NoErr(err)
		is.Equal(rest, late[3:])
	})
}

func TestImportedPrefixIsCached(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *engine.Engine) {
		is := is.New(t)
		other, err := engine.New(engine.DefaultParameters("engine-2", "advisor"))
		is.NoErr(err)
		defer other.Close()
		result, err := e.Generate(t.Context(), request("p", 1), nil)
		is.NoErr(err)
		started := time.Now()
		state, err := e.Export(t.Context(), "p", identity.MainBranch)
		is.NoErr(err)
		is.NoErr(other.Import(t.Context(), "p", identity.MainBranch, state))
		is.True(time.Since(started) > 20*time.Millisecond) // at least twice the overhead
		next := request("p", 2)
		next.Messages = append(next.Messages, backend.Message{Role: "assistant", Content: result.Text}, backend.Message{Role: "user", Content: "?"})
		moved, err := other.Generate(t.Context(), next, nil)
		is.NoErr(err)
		is.Equal(moved.Usage.CachedTokens, backend.CountTokens(next.Messages[:2]))
		is.True(errors.Is(other.Import(t.Context(), "p", identity.MainBranch, []byte("junk")), backend.ErrRefused))
		_, err = e.Export(t.Context(), "nobody", identity.MainBranch)
		is.True(errors.Is(err, backend.ErrRefused))
	})
}

// act is one action on the engine and the pause after it.
type act struct {
	kind     int
	program  string
	sequence int
	pause    time.Duration
}

func drawAct(t *rapid.T) act {
	return act{
		kind:     rapid.IntRange(0, 8).Draw(t, "kind"),
		program:  rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "program"),
		sequence: rapid.IntRange(1, 6).Draw(t, "sequence"),
		pause:    time.Duration(rapid.IntRange(0, 500).Draw(t, "milliseconds")) * time.Millisecond,
	}
}

// storm applies random actions to one engine and records their results.
type storm struct {
	engine  *engine.Engine
	mutex   sync.Mutex
	answers map[identity.StreamID]string
	cancels map[identity.StreamID]bool
	callers sync.WaitGroup
}

// call runs one request in the background with a timeout.
func (s *storm) call(run func(ctx context.Context) error, then func()) {
	s.callers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if run(ctx) == nil {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			then()
		}
	})
}

func (s *storm) generate(program string, sequence int) {
	r := request(program, sequence)
	r.Seed = uint64(sequence)
	var result backend.GenerateResult
	s.call(func(ctx context.Context) (err error) {
		result, err = s.engine.Generate(ctx, r, nil)
		return err
	}, func() { s.answers[r.Stream] = result.Text })
}

func (s *storm) do(next act) {
	id := streamID(next.program, next.sequence, 1)
	switch next.kind {
	case 0, 1, 2:
		s.generate(next.program, next.sequence)
	case 3:
		s.call(func(ctx context.Context) error { return s.engine.Cancel(ctx, id) }, func() { s.cancels[id] = true })
	case 4:
		s.call(func(ctx context.Context) error { return s.engine.Release(ctx, id.Call.Program, "") }, func() {})
	case 5:
		s.engine.SetFaults(engine.Faults{Frozen: true})
	case 6:
		s.engine.SetFaults(engine.Faults{Down: true})
	case 7:
		s.engine.SetFaults(engine.Faults{LoseAnswers: 0.3})
	default:
		s.engine.SetFaults(engine.Faults{})
	}
	time.Sleep(next.pause)
}

// Invariants under any mix of faults: every stream ends, a cancelled stream does not run
// afterwards, equal requests get equal answers, and memory stays within its bound and is
// free once all programs are released.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		acts := rapid.SliceOfN(rapid.Custom(drawAct), 1, 25).Draw(drawn, "acts")
		var found error
		inBubble(t, func(p *engine.Parameters) {
			p.Timing.CacheCapacityTokens, p.Timing.MaxBatch = stormCapacity, 2
		}, func(_ *testing.T, e *engine.Engine) {
			s := &storm{engine: e, answers: map[identity.StreamID]string{}, cancels: map[identity.StreamID]bool{}}
			for _, next := range acts {
				s.do(next)
			}
			e.SetFaults(engine.Faults{})
			s.callers.Wait()
			time.Sleep(time.Minute)
			found = errors.Join(s.checkStreams(), s.checkCancelled(), s.checkAnswers(), s.checkMemory())
		})
		if found != nil {
			drawn.Fatal(found)
		}
	})
}

// stormCapacity is room for three prompts.
const stormCapacity = 600

func (s *storm) checkStreams() error {
	finished := map[identity.StreamID]int{}
	for _, arrival := range s.engine.Truth().Arrivals {
		if arrival.Outcome == engine.OutcomeRunning {
			return fmt.Errorf("%s never ended", arrival.Stream)
		}
		if arrival.Outcome == engine.OutcomeFinished {
			finished[arrival.Stream]++
		}
	}
	for id := range s.answers {
		if finished[id] != 1 {
			return fmt.Errorf("%s has an answer and finished %d times", id, finished[id])
		}
	}
	return nil
}

func (s *storm) checkCancelled() error {
	for id := range s.cancels {
		again := request(string(id.Call.Program), int(id.Call.Sequence))
		if _, err := s.engine.Generate(context.Background(), again, nil); !errors.Is(err, backend.ErrStreamCancelled) {
			return fmt.Errorf("%s was cancelled and ran: %v", id, err)
		}
	}
	return nil
}

func (s *storm) checkAnswers() error {
	texts := map[identity.Sequence]string{}
	for id, text := range s.answers {
		if other, known := texts[id.Call.Sequence]; known && other != text {
			return fmt.Errorf("equal requests got %q and %q", other, text)
		}
		texts[id.Call.Sequence] = text
	}
	return nil
}

func (s *storm) checkMemory() error {
	for _, sample := range s.engine.Truth().Memory {
		if sample.Tokens > stormCapacity || sample.Tokens < 0 {
			return fmt.Errorf("%d tokens held", sample.Tokens)
		}
	}
	for _, program := range []identity.ProgramID{"p", "q", "r"} {
		if err := s.engine.Release(context.Background(), program, ""); err != nil {
			return err
		}
	}
	if held := s.engine.Truth().Held; len(held) != 0 {
		return fmt.Errorf("left behind: %v", held)
	}
	return nil
}
