package serving_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/emulator/application"
	"stepseam.example/stepseam/internal/emulator/engine"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/table"
)

func TestNextOwnerResumesStream(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
		first := s.start(owner, p1, modelCall(1, "one"), 0)
		time.Sleep(200 * time.Millisecond)
		held.lose()
		cut := <-first
		is.True(serving.IsNotOwner(cut.err))
		is.True(len(cut.tokens) > 0)
		next, _ := s.open()
		rest := <-s.start(next, p1, modelCall(1, "one"), len(cut.tokens))
		is.NoErr(rest.err)
		is.Equal(strings.Join(append(cut.tokens, rest.tokens...), ""), rest.answer.Text)
		is.Equal(len(s.arrivals(callID(1))), 1)
	})
}

func TestNextOwnerRerunsMissingStream(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
		first := s.start(owner, p1, modelCall(1, "one"), 0)
		time.Sleep(200 * time.Millisecond)
		held.lose()
		cut := <-first
		for _, e := range s.engines {
			e.Restart()
		}
		next, _ := s.open()
		rest := <-s.start(next, p1, modelCall(1, "one"), len(cut.tokens))
		is.NoErr(rest.err)
		is.Equal(strings.Join(append(cut.tokens, rest.tokens...), ""), rest.answer.Text)
		arrivals := s.arrivals(callID(1))
		is.Equal(len(arrivals), 2)
		is.True(arrivals[0].Stream != arrivals[1].Stream)
	})
}

// pauseDispatch blocks the first dispatch of a call between the owner's last lease check and the
// send, until the returned function is called.
func (s *site) pauseDispatch(id identity.CallID) (resume func()) {
	paused := make(chan struct{})
	var stopped atomic.Bool
	s.setBeforeSend(func(stream identity.StreamID) {
		if stream.Call == id && stopped.CompareAndSwap(false, true) {
			<-paused
		}
	})
	return func() { close(paused) }
}

func TestDelayedDispatchOfPausedOwnerIsFenced(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		resume := s.pauseDispatch(callID(1))
		late := s.start(owner, p1, modelCall(1, "one"), 0)
		time.Sleep(10 * time.Millisecond)
		next, _ := s.open()
		for sequence, content := range []string{"one", "two"} {
			_, err := s.call(next, p1, modelCall(uint64(sequence+1), content))
			is.NoErr(err)
		}
		resume()
		is.True(serving.IsNotOwner((<-late).err))
		time.Sleep(time.Minute)
		is.Equal(len(s.arrivals(callID(1))), 1) // the late stream was refused
		is.Equal(len(s.arrivals(callID(2))), 1)
	})
}

func TestUnrepeatableCallOfPausedOwnerRunsAtMostOnce(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		resume := s.pauseDispatch(callID(1))
		late := s.start(owner, p1, payment(1, "fee-1"), 0)
		time.Sleep(10 * time.Millisecond)
		next, _ := s.open()
		_, err := s.call(next, p1, payment(1, "fee-1"))
		problem := problemOf(t, err)
		is.Equal(problem.Code, api.CodeOutcomeUnknown)
		is.True(!problem.NotRun)
		resume()
		is.True(serving.IsNotOwner((<-late).err))
		time.Sleep(time.Minute)
		is.Equal(s.ledger.Executions("pay_fee", "fee-1"), 1)
		_, err = s.call(next, p1, payment(2, "fee-1"))
		is.Equal(codeOf(err), api.CodeOutcomeUnknown) // permanent, also under another sequence
	})
}

func TestFenceEndsWhenEngineIsUnlisted(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
		first := s.start(owner, p1, modelCall(1, "one"), 0)
		time.Sleep(200 * time.Millisecond)
		held.lose()
		<-first
		lost := 0
		if len(s.engines[1].Truth().Arrivals) > 0 {
			lost = 1
		}
		s.engines[lost].SetFaults(engine.Faults{Down: true})
		next, _ := s.open()
		began := time.Now()
		again := s.start(next, p1, modelCall(1, "one"), 0)
		time.Sleep(2 * time.Second)
		machines := s.board.Machines.Load()
		s.board.Machines.Store(append(machines[:lost:lost], machines[lost+1:]...))
		is.NoErr((<-again).err)
		is.True(time.Since(began) < 10*time.Second)
	})
}

func TestEndReleasesMemoryDespiteOwnerLossAndEngineOutage(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
		sub := modelCall(1, "sub-agent")
		sub.Branch = "sub"
		for _, call := range []api.CallRequest{modelCall(1, "one"), modelCall(2, "two"), sub} {
			_, err := s.call(owner, p1, call)
			is.NoErr(err)
		}
		is.True(s.held(p1) != "")
		for _, e := range s.engines {
			e.SetFaults(engine.Faults{Down: true})
		}
		view, err := owner.End(s.running, p1)
		is.NoErr(err)
		is.Equal(view.State, api.ProgramEnded)
		time.Sleep(10 * time.Second)
		is.True(s.held(p1) != "")
		held.lose()
		next, _ := s.open()
		time.Sleep(10 * time.Second)
		for _, e := range s.engines {
			e.SetFaults(engine.Faults{LoseNext: 2})
		}
		time.Sleep(15 * time.Second)
		is.Equal(s.held(p1), "")
		view, err = next.End(s.running, p1)
		is.NoErr(err)
		is.Equal(view.State, api.ProgramEnded)
	})
}

func TestCancelStopsStreamsAndReleasesMemory(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		running := s.start(owner, p1, modelCall(1, "one"), 0)
		waiting := s.start(owner, p1, modelCall(2, "two"), 0)
		paying := payment(1, "fee-1")
		paying.Branch = "pay"
		paid := s.start(owner, p1, paying, 0)
		time.Sleep(10 * time.Millisecond)
		_, err := owner.Cancel(s.running, p1)
		is.NoErr(err)
		stopped, never := <-running, <-waiting
		is.Equal(codeOf(stopped.err), api.CodeCancelled)
		is.True(!problemOf(t, stopped.err).NotRun)
		is.Equal(codeOf(never.err), api.CodeCancelled)
		is.True(problemOf(t, never.err).NotRun)
		is.NoErr((<-paid).err) // an application call cannot be stopped; its caller gets the result
		time.Sleep(5 * time.Second)
		is.Equal(s.held(p1), "")
		is.Equal(s.arrivals(callID(1))[0].Outcome, engine.OutcomeCancelled)
		is.Equal(len(s.arrivals(callID(2))), 0)
		_, err = s.call(owner, p1, modelCall(3, "three"))
		is.Equal(codeOf(err), api.CodeProgramEnded)
	})
}

func TestAuditReleasesOnlyOrphans(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		_, err := s.call(owner, p1, modelCall(1, "one"))
		is.NoErr(err)
		orphan := s.arrivals(callID(1))[0].Stream
		orphan.Call.Program = "orphan"
		_, err = s.engines[0].Generate(s.running, generate(orphan), nil)
		is.NoErr(err)
		is.True(s.held("orphan") != "")
		time.Sleep(time.Minute)
		is.Equal(s.held("orphan"), "")
		is.True(s.held(p1) != "")
	})
}

func TestTombstonesExpire(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		_, err := owner.End(s.running, p1)
		is.NoErr(err)
		time.Sleep(5 * time.Minute)
		_, err = s.call(owner, p1, modelCall(1, "one"))
		is.Equal(codeOf(err), api.CodeProgramEnded)
		time.Sleep(6 * time.Minute)
		_, err = s.call(owner, p1, modelCall(1, "one"))
		is.Equal(codeOf(err), api.CodeUnknownProgram)
	})
}

func TestPlannedHandoverInterruptsNothing(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
		stream := s.start(owner, p1, modelCall(1, "one"), 0)
		paying := payment(1, "fee-1")
		paying.Branch = "pay"
		paid := s.start(owner, p1, paying, 0)
		queued := payment(2, "fee-2")
		queued.Branch = "pay"
		behind := s.start(owner, p1, queued, 0)
		time.Sleep(10 * time.Millisecond)
		owner.PrepareHandOver(s.running, held)
		is.NoErr((<-paid).err)
		is.True(serving.IsNotOwner((<-behind).err)) // not started on the closing owner
		cut := <-stream
		is.True(serving.IsNotOwner(cut.err))
		next, _ := s.open()
		rest := <-s.start(next, p1, modelCall(1, "one"), len(cut.tokens))
		is.NoErr(rest.err)
		is.Equal(strings.Join(append(cut.tokens, rest.tokens...), ""), rest.answer.Text)
		is.Equal(len(s.arrivals(callID(1))), 1)
		_, err := s.call(next, p1, queued)
		is.NoErr(err)
		is.Equal(s.ledger.Executions("pay_fee", "fee-1"), 1)
		is.Equal(s.ledger.Executions("pay_fee", "fee-2"), 1)
	})
}

func TestRejectedRetryIsNotReportedAsNotRun(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		// The budget suffices for one attempt, and the lost one stays charged.
		s.publish(table.Class{Name: testClass, Model: testModel, BudgetTokens: 100, MaxTokens: 30})
		s.create(owner, "poor")
		call := s.start(owner, "poor", modelCall(1, "one"), 0)
		time.Sleep(200 * time.Millisecond)
		for _, e := range s.engines {
			e.Restart()
		}
		problem := problemOf(t, (<-call).err)
		is.Equal(problem.Code, api.CodeBudget)
		is.True(!problem.NotRun)
		_, err := s.call(owner, "poor", modelCall(1, "one")) // neither is its repeat reported as not run
		problem = problemOf(t, err)
		is.Equal(problem.Code, api.CodeBudget)
		is.True(!problem.NotRun)

		// The program ends between two attempts of an application call.
		for _, portal := range s.portals {
			portal.SetFaults(application.Faults{LoseAnswers: 1})
		}
		reading := payment(1, "")
		reading.Operation, reading.Unrepeatable = "read_file", false
		read := s.start(owner, p1, reading, 0)
		time.Sleep(60 * time.Millisecond)
		_, err = owner.End(s.running, p1)
		is.NoErr(err)
		is.True(!problemOf(t, (<-read).err).NotRun)
	})
}

func TestHangingApplicationCallTimesOut(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		for _, portal := range s.portals {
			portal.SetFaults(application.Faults{HangAfter: true})
		}
		_, err := s.call(owner, p1, payment(1, "fee-1"))
		is.Equal(codeOf(err), api.CodeDeadline)
		time.Sleep(time.Second)
		_, err = s.call(owner, p1, payment(1, "fee-1"))
		is.Equal(codeOf(err), api.CodeOutcomeUnknown)
		_, err = s.call(owner, p1, modelCall(2, "the program goes on"))
		is.NoErr(err)
	})
}

func TestHeldCallsRunInOrderOfUrgency(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		programs := []identity.ProgramID{"first", "second", "third", "fourth"}
		for _, id := range programs {
			s.create(owner, id)
			_, err := s.call(owner, id, modelCall(1, "x"))
			is.NoErr(err)
		}
		s.publish(table.Class{Name: testClass, Model: testModel, BudgetTokens: 1000, MaxTokens: 200, MaxConcurrent: 1})
		var replies []<-chan reply
		for _, id := range programs {
			replies = append(replies, s.start(owner, id, modelCall(2, "y"), 0))
			time.Sleep(20 * time.Millisecond)
		}
		var ended time.Time
		for i, id := range programs {
			is.NoErr((<-replies[i]).err)
			arrival := s.arrivals(identity.CallID{Program: id, Branch: identity.MainBranch, Sequence: 2})[0]
			is.True(!arrival.Arrived.Before(ended)) // one at a time, longest waiting first
			ended = arrival.Ended
		}
	})
}

func TestClassLimitHoldsRunningProgramsAndRejectsNewOnes(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		_, err := s.call(owner, p1, modelCall(1, "one"))
		is.NoErr(err)
		s.publish(table.Class{Name: testClass, Model: testModel, BudgetTokens: 1000, MaxTokens: 200, MaxConcurrent: 1})
		s.create(owner, "second")
		s.create(owner, "third")
		running := s.start(owner, "second", modelCall(1, "x"), 0)
		time.Sleep(10 * time.Millisecond)
		underWay := s.start(owner, p1, modelCall(2, "two"), 0)
		began := time.Now()
		_, err = s.call(owner, "third", modelCall(1, "x"))
		problem := problemOf(t, err)
		is.Equal(problem.Code, api.CodeOverloaded)
		is.True(problem.NotRun && problem.RetryAfter > 0)
		is.True(time.Since(began) < time.Second)
		is.NoErr((<-running).err)
		is.NoErr((<-underWay).err)
		explained, known := owner.Explain(callID(2))
		is.True(known && explained.Decision.Reason != "")
	})
}

func TestUnfencedStreamIsCancelledByRelease(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
		first := s.start(owner, p1, modelCall(1, "one"), 0)
		time.Sleep(200 * time.Millisecond)
		lost := 0
		if len(s.engines[1].Truth().Arrivals) > 0 {
			lost = 1
		}
		s.engines[lost].SetFaults(engine.Faults{Frozen: true}) // for longer than the fence timeout
		s.setHealth(s.engines[lost].Name(), scheduling.Ejected)
		held.lose()
		<-first
		next, _ := s.open()
		is.NoErr((<-s.start(next, p1, modelCall(1, "one"), 0)).err)
		s.engines[lost].SetFaults(engine.Faults{})
		time.Sleep(10 * time.Second) // less than two audits
		for _, arrival := range s.engines[lost].Truth().Arrivals {
			is.Equal(arrival.Outcome, engine.OutcomeCancelled)
		}
		is.Equal(s.held(p1), s.engines[1-lost].Name()+"/main")
	})
}

func TestIdleBranchIsEvicted(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, _ *ownedShard) {
		s.publish(table.Class{
			Name: testClass, Model: testModel, BudgetTokens: 1_000_000, MaxTokens: 20,
			KeepWarm: 30 * time.Second, IdleTimeout: 10 * time.Minute,
		})
		const turns = 10 // branches that return do so within seconds
		for sequence := uint64(1); sequence <= turns; sequence++ {
			_, err := s.call(owner, p1, modelCall(sequence, "next"))
			is.NoErr(err)
			time.Sleep(time.Second)
		}
		time.Sleep(40 * time.Minute)
		is.True(s.held(p1) != "") // a single pause is no evidence

		for number := range 30 { // and none returns after minutes
			id := identity.ProgramID(fmt.Sprintf("gone-%d", number))
			s.create(owner, id)
			_, err := s.call(owner, id, modelCall(1, "once"))
			is.NoErr(err)
		}
		time.Sleep(11 * time.Minute)
		_, err := s.call(owner, p1, modelCall(turns+1, "again"))
		is.NoErr(err)
		time.Sleep(20 * time.Second)
		is.True(s.held(p1) != "") // within KeepWarm of its class
		time.Sleep(30 * time.Second)
		is.Equal(s.held(p1), "")
		last, err := s.call(owner, p1, modelCall(turns+2, "back after all"))
		is.NoErr(err)
		is.Equal(last.Usage.CachedTokens, 0)
		is.Equal(len(s.arrivals(callID(turns + 2))[0].Messages), 2*(turns+1)+1) // with its whole history
	})
}
