package serving_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/serving"
)

// TestALapsedLeaseThatComesBackTakesItsOpenCallsUpAgain lets the lease lapse
// between the intent and the dispatch, and come back to the same owner.
func TestALapsedLeaseThatComesBackTakesItsOpenCallsUpAgain(t *testing.T) {
	for name, request := range map[string]api.CallRequest{"model call": modelCall(1, "one"), "unrepeatable call": payment(1, "fee-1")} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *heldShard) {
				held.lapsesOnWrite.Store(true)
				_, err := s.call(owner, p1, request)
				is.True(serving.IsNotOwner(err)) // the caller is sent on at once
				held.lapsed.Store(false)
				time.Sleep(2 * time.Second)
				_, err = s.call(owner, p1, request)
				is.NoErr(err) // the call was not lost, and what was not sent is sent
				is.True(len(s.arrivals(callID(1)))+s.ledger.Executions("pay_fee", "fee-1") == 1)
			})
		})
	}
}

// TestALeaseThatLapsesUnderARunningCall lets the lease lapse while the engine
// works, and come back before the call's end is known.
func TestALeaseThatLapsesUnderARunningCall(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *heldShard) {
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

// TestALapsedOwnerSaysThatItTookNothingUp sends a call to an owner whose lease
// has lapsed: a node that is cut off must not keep its callers waiting for
// something that was never begun.
func TestALapsedOwnerSaysThatItTookNothingUp(t *testing.T) {
	inBubble(t, func(is *is.I, s *site, owner *serving.Owner, held *heldShard) {
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
