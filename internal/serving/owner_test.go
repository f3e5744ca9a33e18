package serving_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/table"
)

const p1 = identity.ProgramID("program-1")

func callID(sequence identity.Sequence) identity.CallID {
	return identity.CallID{Program: p1, Branch: identity.MainBranch, Sequence: sequence}
}

// inBubble runs test in virtual time on a site with two engines and one program.
func inBubble(t *testing.T, test func(is *is.I, s *site, owner *serving.Owner, held *ownedShard)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2)
		defer s.close()
		owner, held := s.open()
		s.create(owner, p1)
		test(is.New(t), s, owner, held)
	})
}

func TestOutOfOrderCallsRunInOrder(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		third := s.start(owner, p1, modelCall(3, "three"), 0)
		synctest.Wait()
		second := s.start(owner, p1, modelCall(2, "two"), 0)
		synctest.Wait()
		first := s.start(owner, p1, modelCall(1, "one"), 0)
		joined := s.start(owner, p1, modelCall(1, "one"), 0)
		replies := []reply{<-first, <-second, <-third}
		var began time.Time
		for i, got := range replies {
			is.NoErr(got.err)
			is.Equal(got.answer.Sequence, uint64(i+1))
			is.Equal(strings.Join(got.tokens, ""), got.answer.Text)
			arrivals := s.arrivals(callID(identity.Sequence(i + 1)))
			is.Equal(len(arrivals), 1)
			is.Equal(len(arrivals[0].Messages), 2*i+1) // preceded by the whole history
			is.True(!arrivals[0].Arrived.Before(began))
			began = arrivals[0].Ended
		}
		again := <-joined
		is.NoErr(again.err)
		is.Equal(again.tokens, replies[0].tokens)
	})
}

func TestRepeatedCallReplaysAndChangedBodyConflicts(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		first := <-s.start(owner, p1, modelCall(1, "one"), 0)
		is.NoErr(first.err)
		replay := <-s.start(owner, p1, modelCall(1, "one"), 2)
		is.NoErr(replay.err)
		is.True(replay.answer.Replayed)
		is.Equal(replay.tokens, first.tokens[2:])
		_, err := s.call(owner, p1, modelCall(1, "other"))
		is.Equal(codeOf(err), api.CodeConflict)
		fetched, err := owner.Fetch(s.running, serving.FetchRequest{Call: callID(1)}, nil)
		is.NoErr(err)
		is.Equal(fetched.Text, first.answer.Text)
		_, err = owner.Fetch(s.running, serving.FetchRequest{Call: callID(2)}, nil)
		is.Equal(codeOf(err), api.CodeUnknownCall)

		_, err = s.call(owner, p1, payment(2, "fee-1"))
		is.NoErr(err)
		repeated, err := s.call(owner, p1, payment(3, "fee-1"))
		is.NoErr(err)
		is.True(repeated.Replayed)
		is.Equal(s.ledger.Executions("pay_fee", "fee-1"), 1)
		is.Equal(len(s.arrivals(callID(1))), 1)
	})
}

func TestConcurrentCallsWithOneKeyRunOnce(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		one, other := payment(1, "fee-1"), payment(1, "fee-1")
		other.Branch = "sub"
		first, second := s.start(owner, p1, one, 0), s.start(owner, p1, other, 0)
		a, b := <-first, <-second
		is.NoErr(a.err)
		is.NoErr(b.err)
		is.Equal(string(a.answer.Output), string(b.answer.Output))
		is.Equal(s.ledger.Executions("pay_fee", "fee-1"), 1)
	})
}

func TestSequenceGapTimesOut(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		began := time.Now()
		_, err := s.call(owner, p1, modelCall(2, "two"))
		problem := problemOf(t, err)
		is.Equal(problem.Code, api.CodeSequenceGap)
		is.True(problem.NotRun && problem.RetryAfter > 0)
		is.Equal(time.Since(began), 5*time.Second)
		_, err = s.call(owner, p1, modelCall(100, "far ahead"))
		is.Equal(codeOf(err), api.CodeSequenceGap)
		is.Equal(time.Since(began), 5*time.Second) // immediately
	})
}

func TestDeadlineBeforeDispatchWithdrawsCall(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		s.engines[0].SetFaults(engine.Faults{Frozen: true})
		s.engines[1].SetFaults(engine.Faults{Frozen: true})
		s.start(owner, p1, modelCall(1, "one"), 0)
		early := modelCall(2, "two")
		early.DeadlineSeconds = 1
		_, err := s.call(owner, p1, early)
		problem := problemOf(t, err)
		is.Equal(problem.Code, api.CodeDeadline)
		is.True(problem.NotRun && problem.RetryAfter > 0)
		s.engines[0].SetFaults(engine.Faults{})
		s.engines[1].SetFaults(engine.Faults{})
		time.Sleep(time.Minute)
		is.Equal(len(s.arrivals(callID(2))), 0) // the withdrawn call never ran
		changed := modelCall(2, "another body, since the first never ran")
		_, err = s.call(owner, p1, changed)
		is.NoErr(err)
	})
}

func TestDeadlineAfterDispatchLeavesCallRunning(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		s.engines[0].SetFaults(engine.Faults{Slow: 100})
		s.engines[1].SetFaults(engine.Faults{Slow: 100})
		hasty := modelCall(1, "one")
		hasty.DeadlineSeconds = 0.5
		began := time.Now()
		_, err := s.call(owner, p1, hasty)
		problem := problemOf(t, err)
		is.Equal(problem.Code, api.CodeDeadline)
		is.True(!problem.NotRun && problem.RetryAfter > 0)
		is.Equal(time.Since(began), 500*time.Millisecond) // at the deadline, not when the answer arrives
		answer, err := owner.Fetch(s.running, serving.FetchRequest{Call: callID(1)}, nil)
		is.NoErr(err)
		is.True(answer.Text != "")
		is.Equal(len(s.arrivals(callID(1))), 1)
	})
}

func TestCallerCancellationDoesNotStopCall(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		ctx, cancel := context.WithTimeout(s.running, 50*time.Millisecond)
		defer cancel()
		_, err := owner.Call(ctx, serving.CallRequest{Program: p1, Call: modelCall(1, "one")}, nil)
		is.Equal(codeOf(err), api.CodeInterrupted)
		answer, err := owner.Fetch(s.running, serving.FetchRequest{Call: callID(1)}, nil)
		is.NoErr(err)
		is.True(answer.Text != "")
	})
}

func TestUnrepeatableCallRequiresLog(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		s.log.durableDown = true
		_, err := s.call(owner, p1, payment(1, "fee-1"))
		problem := problemOf(t, err)
		is.Equal(problem.Code, api.CodeLogUnavailable)
		is.True(problem.NotRun && problem.RetryAfter > 0)
		is.Equal(s.ledger.Executions("pay_fee", "fee-1"), 0)
		_, err = s.call(owner, p1, modelCall(1, "models need no log"))
		is.NoErr(err)
		s.log.durableDown = false
		_, err = s.call(owner, p1, payment(2, "fee-1"))
		is.NoErr(err)
		is.Equal(s.ledger.Executions("pay_fee", "fee-1"), 1)
	})
}

func TestUnrepeatableCallWithLostResponseStaysOutcomeUnknown(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
		for _, portal := range s.portals {
			portal.SetFaults(application.Faults{LoseNext: 1})
		}
		_, err := s.call(owner, p1, payment(1, "fee-1"))
		problem := problemOf(t, err)
		is.Equal(problem.Code, api.CodeOutcomeUnknown)
		is.True(!problem.NotRun)
		held.lose()
		next, _ := s.open()
		for _, sequence := range []uint64{1, 2} { // the repeat, and the key under a new sequence
			_, err = s.call(next, p1, payment(sequence, "fee-1"))
			is.Equal(codeOf(err), api.CodeOutcomeUnknown)
		}
		is.Equal(s.ledger.Executions("pay_fee", "fee-1"), 1)
		_, err = s.call(next, p1, modelCall(3, "the program goes on"))
		is.NoErr(err)
	})
}

func TestRejectedUnrepeatableCallUsesAnotherBackend(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		s.portals[0].SetFaults(application.Faults{Down: true})
		for sequence := range uint64(4) {
			_, err := s.call(owner, p1, payment(sequence+1, string(rune('a'+sequence))))
			is.NoErr(err)
		}
		s.portals[1].SetDraining(true)
		_, err := s.call(owner, p1, payment(5, "e"))
		problem := problemOf(t, err)
		is.Equal(problem.Code, api.CodeNoBackend)
		is.True(problem.NotRun && problem.RetryAfter > 0)
		is.Equal(s.ledger.Executions("pay_fee", "e"), 0)
		leaving, _ := s.board.Backends.Load("portal-1")
		is.True(leaving.Leaving) // set on the board, independent of the machine list
		s.portals[0].SetFaults(application.Faults{})
		_, err = s.call(owner, p1, payment(5, "e"))
		is.NoErr(err)
		is.Equal(s.ledger.Executions("pay_fee", "e"), 1)
	})
}

func TestBrokenStreamIsResumed(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		call := s.start(owner, p1, modelCall(1, "one"), 0)
		time.Sleep(200 * time.Millisecond)
		for _, e := range s.engines {
			e.SetFaults(engine.Faults{Down: true})
			e.SetFaults(engine.Faults{})
		}
		got := <-call
		is.NoErr(got.err)
		is.Equal(strings.Join(got.tokens, ""), got.answer.Text)
		is.Equal(len(s.arrivals(callID(1))), 1)
	})
}

func TestEngineRestartMidStreamRetriesElsewhere(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		call := s.start(owner, p1, modelCall(1, "one"), 0)
		time.Sleep(200 * time.Millisecond)
		for _, e := range s.engines {
			e.Restart()
		}
		got := <-call
		is.NoErr(got.err)
		is.Equal(strings.Join(got.tokens, ""), got.answer.Text) // one complete stream despite two attempts
		is.Equal(len(s.arrivals(callID(1))), 2)
		view, err := owner.Get(s.running, p1)
		is.NoErr(err)
		is.True(view.Spent > int64(got.answer.Usage.PromptTokens+got.answer.Usage.CompletionTokens)) // the lost attempt stays charged
	})
}

func TestClassLimits(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		s.publish(table.Class{Name: testClass, Model: testModel, BudgetTokens: 100, MaxTokens: 200, IdleTimeout: time.Minute})
		s.create(owner, "poor")
		_, err := s.call(owner, "poor", modelCall(1, strings.Repeat("x", 100)))
		is.Equal(codeOf(err), api.CodeBudget)
		_, err = s.call(owner, p1, modelCall(1, strings.Repeat("x", 100))) // p1 keeps the limits of its creation
		is.NoErr(err)
		_, err = owner.Create(s.running, serving.CreateRequest{ID: "x", Tenant: "t", Class: "nobody"})
		is.Equal(codeOf(err), api.CodeUnknownClass)
		_, err = owner.Create(s.running, serving.CreateRequest{ID: "poor", Tenant: "other", Class: testClass})
		is.Equal(codeOf(err), api.CodeConflict)
		call := modelCall(1, "x")
		call.Model = "nobody"
		_, err = s.call(owner, "poor", call)
		is.Equal(codeOf(err), api.CodeUnknownModel)
		_, err = s.call(owner, "poor", api.CallRequest{Kind: "x", MaxTokens: -1})
		is.Equal(len(problemOf(t, err).Findings), 3)
		_, err = s.call(owner, "nobody", modelCall(1, "x"))
		is.Equal(codeOf(err), api.CodeUnknownProgram)
		time.Sleep(2 * time.Minute)
		view, err := owner.Get(s.running, "poor")
		is.NoErr(err)
		is.Equal(view.State, api.ProgramExpired)
		_, err = s.call(owner, "poor", modelCall(1, "x"))
		is.Equal(codeOf(err), api.CodeProgramEnded)
	})
}

func TestFormerOwnerReturnsNotOwner(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
		s.open() // claims the shard; the previous owner is not notified yet
		_, err := s.call(owner, p1, modelCall(1, "one"))
		is.True(serving.IsNotOwner(err))
		is.Equal(codeOf(err), api.CodeNoOwner)
		held.lose()
		synctest.Wait()
		_, err = owner.Get(s.running, p1)
		is.True(errors.Is(err, journal.ErrNotOwner))
		is.Equal(owner.Shards(), 0)
	})
}

// recordingPolicy records the cached tokens in its input.
type recordingPolicy struct {
	scheduling.LeastInFlight
	shown map[string]int
}

func (p *recordingPolicy) Choose(now time.Time, call scheduling.Call, backends []scheduling.Backend) scheduling.Decision {
	clear(p.shown)
	for _, b := range backends {
		p.shown[b.Name] = b.CachedTokens
	}
	return p.LeastInFlight.Choose(now, call, backends)
}

func TestPolicyInputHasCacheEstimates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 2)
		defer s.close()
		policy := &recordingPolicy{shown: map[string]int{}}
		estimated := map[string]int{}
		s.policy = policy
		s.cached = func(backend string, _ identity.ProgramID, _ identity.BranchID) int { return estimated[backend] }
		owner, held := s.open()
		s.create(owner, p1)
		first, err := s.call(owner, p1, modelCall(1, "one"))
		is.NoErr(err)
		counted := first.Usage.PromptTokens + first.Usage.CompletionTokens
		held.lose()
		owner, _ = s.open()
		_, err = s.call(owner, p1, modelCall(2, "two"))
		is.NoErr(err)
		is.Equal(policy.shown[first.Backend], counted) // another owner answered, so the journal's count applies
		estimated["engine-0"], estimated["engine-1"] = 3, 0
		_, err = s.call(owner, p1, modelCall(3, "three"))
		is.NoErr(err)
		is.Equal(policy.shown["engine-0"], 3)
		is.Equal(policy.shown["engine-1"], 0) // evicted, or never cached
	})
}

func TestCallUsesEngineWithItsAdapter(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		s.publish(table.Class{Name: testClass, Model: testModel, Adapter: "sierra", BudgetTokens: 10_000, MaxTokens: 20})
		s.create(owner, "adapted")
		_, err := s.call(owner, "adapted", modelCall(1, "x"))
		is.Equal(codeOf(err), api.CodeNoBackend)
		is.NoErr(s.engines[1].Order(s.running, backend.Order{Kind: backend.OrderLoadAdapter, Subject: "sierra", Version: "1", Fence: 1}))
		s.board.Backends.Update("engine-1", func(b blackboard.Backend, found bool) (blackboard.Backend, bool) {
			b.Report.Adapters = []string{"sierra"}
			return b, found
		})
		time.Sleep(time.Second)
		answer, err := s.call(owner, "adapted", modelCall(1, "x"))
		is.NoErr(err)
		is.Equal(answer.Backend, "engine-1")
	})
}
