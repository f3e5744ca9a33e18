package serving_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/serving"
)

// TestRenewedLeaseResumesOpenCalls lets the lease lapse between the intent and the
// dispatch and then renews it for the same owner: the call must run exactly once.
func TestRenewedLeaseResumesOpenCalls(t *testing.T) {
	for name, request := range map[string]api.CallRequest{"model call": modelCall(1, "one"), "unrepeatable call": payment(1, "fee-1")} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
				held.lapsesOnWrite.Store(true)
				_, err := s.call(owner, p1, request)
				is.True(serving.IsNotOwner(err)) // the caller is redirected immediately
				held.lapsed.Store(false)
				time.Sleep(2 * time.Second)
				_, err = s.call(owner, p1, request)
				is.NoErr(err) // the call was not lost, and the unsent attempt is sent
				is.True(len(s.arrivals(callID(1)))+s.ledger.Executions("pay_fee", "fee-1") == 1)
			})
		})
	}
}

// TestLeaseLapsesDuringRunningCall lets the lease lapse and renews it while the engine
// generates: the call must not run a second time.
func TestLeaseLapsesDuringRunningCall(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
		running := s.start(owner, p1, modelCall(1, "one"), 0)
		time.Sleep(100 * time.Millisecond)
		held.lapsed.Store(true)
		is.True(serving.IsNotOwner((<-running).err))
		held.lapsed.Store(false)
		answer, err := s.call(owner, p1, modelCall(1, "one"))
		is.NoErr(err)
		is.True(answer.Replayed)
		is.Equal(len(s.arrivals(callID(1))), 1)
	})
}

// TestOwnerWithLapsedLeaseReturnsNotRun sends a call to an owner whose lease has lapsed.
// An isolated node must not leave its callers in doubt about a call that it did not
// accept.
func TestOwnerWithLapsedLeaseReturnsNotRun(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *ownedShard) {
		_, err := s.call(owner, p1, modelCall(1, "one"))
		is.NoErr(err)
		held.lapsed.Store(true)
		_, err = s.call(owner, p1, modelCall(2, "two"))
		var problem *api.Problem
		is.True(serving.IsNotOwner(err) && errors.As(err, &problem))
		is.True(problem.NotRun)
		held.lapsed.Store(false)
		_, err = s.call(owner, p1, modelCall(2, "another two"))
		is.NoErr(err) // its sequence is free
		is.Equal(len(s.arrivals(callID(2))), 1)
	})
}
